"""Measures how fast configurations spread, and the cost of it.

    python -m standins.bench_config spread     # 8 daemons, with failures
    python -m standins.bench_config slopes     # 1 to 24 daemons
    python -m standins.bench_config tenants    # up to 43,000 tenants

Daemons are processes with the real sockets, task and adapter, in three zones,
and use the stand-in platform. Processes of one machine share a monotonic clock,
so times of acceptance and adoption can be compared.
"""

import pathlib
import statistics
import tempfile
import time

import click
import msgspec

from mulberrypick import declare
from mulberrypick.adapters import http_platform
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import config
from mulberrypick.core import config_parts
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_fetch
from standins import config_daemon
from standins import launcher
from standins import wire_bytes

ZONES = 3
PLATFORM_TIMEOUT_S = 20.0
ASK_TIMEOUT_S = 5.0
WAIT_S = 60.0
POLL_S = 0.05
IDLE_S = 20.0
OUTAGE_S = 10.0
CHANGES_A_DAY = 6000
DAY_S = 86_400.0


def make_config_text(tenants: int, number: int) -> bytes:
  """Returns a configuration in which a tenant's share depends on `number`."""
  deployment = declare.Deployment()
  rank = deployment.add_rank(
      'urgent',
      is_urgent=True,
      first_token_s=0.5,
      between_tokens_s=0.05,
      deadline_s=6.0,
  )
  model = deployment.add_model('assistant', version='1', replicas=4)
  service = deployment.add_model_service(
      'assistant', model=model, rank=rank, timeout_s=5.0
  )
  for index in range(tenants):
    share = 1 / tenants
    if index == number % tenants:
      share /= 2 + number % 7
    deployment.add_tenant(
        f'tenant-{index:05}',
        share=share,
        services=(service,),
        ranks=(rank,),
        token_sha256=declare.hash_token(str(index)),
    )
  return config.format_config(deployment.build())


class ConfigBench:
  """A platform, some daemons, and a client that applies changes."""

  def __init__(self, daemons: int, tenants: int = 4):
    self.tenants = tenants
    self.generation = 0
    folder = pathlib.Path(tempfile.mkdtemp(prefix='bench-config-'))
    self.fleet = launcher.Fleet(folder)
    platform = self.fleet.start_platform()
    self.platform = http_platform.HttpPlatform(
        platform.url, '', PLATFORM_TIMEOUT_S, 'bench'
    )
    self.peers = zmq_peers.ZmqPeers('127.0.0.1:0', 'bench')
    self.peers.start()
    self.hosts = []
    for number in range(daemons):
      zone = 1 + number % ZONES
      address = launcher.free_address(launcher.zone_ip(zone))
      name, zone_name = f'daemon-{number}', launcher.zone_name(zone)
      self.hosts.append(config_daemon.DaemonHost(name, zone_name, address))
    self.apply_first_generation()
    for host in self.hosts:
      self.start(host)
    self.wait_for_generation()

  def __enter__(self) -> 'ConfigBench':
    return self

  def __exit__(self, *error: object) -> None:
    self.peers.stop()
    self.fleet.stop()

  def start(self, host: config_daemon.DaemonHost) -> None:
    """Starts a daemon, without waiting until it is ready."""
    flags = (
        '--name',
        host.name,
        '--hosts',
        msgspec.json.encode(self.hosts).decode(),
        '--platform-url',
        self.fleet.platform.url,
    )
    self.fleet.spawn(host.name, 'standins.config_daemon', flags)

  def apply(self, starts_outage: bool = False) -> float:
    """Applies the next change, as the command for operators does.

    Args:
      starts_outage: Whether a platform outage starts as soon as the change is
        accepted; then replaced parts are not removed.

    Returns:
      The time just before the head object, whose write accepts the change, was
      sent. This is the earliest possible time of acceptance.
    """
    text = make_config_text(self.tenants, self.generation)
    _, old = config_fetch.read_tree(self.platform)
    stored = self.platform.get(config_parts.HEAD_KEY)
    acceptance = config_parts.Acceptance(
        self.generation + 1, 'bench', str(self.generation)
    )
    declared = config.parse_config(text, acceptance.generation)
    tree = config_parts.build_tree(declared, acceptance, old.tree)
    held = config_parts.list_parts(old.tree)
    for name, value in tree.part_by_name.items():
      if name not in held:
        self.platform.put(config_parts.PART_PREFIX + name, value, 0)
    head = config_parts.encode_head(tree.head)
    sent_at = time.monotonic()
    self.platform.put(config_parts.HEAD_KEY, head, stored.version)
    self.generation += 1
    if starts_outage:
      self.fleet.put_fault(self.fleet.platform, outage_s=OUTAGE_S)
    else:
      config_apply.remove_replaced_parts(self.platform, old.tree, tree)
    return sent_at

  def apply_first_generation(self) -> None:
    """Applies the first generation."""
    text = make_config_text(self.tenants, self.generation)
    config_apply.apply_config(self.platform, text, self.generation, 'bench')
    self.generation += 1

  def request(
      self, host: config_daemon.DaemonHost, kind: str, body: bytes = b''
  ) -> bytes | None:
    """Sends a request to a daemon; returns its answer."""
    return self.peers.request(host.address, kind, body, ASK_TIMEOUT_S)

  def read_report(
      self, host: config_daemon.DaemonHost
  ) -> config_daemon.DaemonReport | None:
    """Reads the report of a daemon; None if it does not answer."""
    answer = self.request(host, config_daemon.KIND_REPORT)
    if answer is None:
      return None
    return msgspec.json.decode(answer, type=config_daemon.DaemonReport)

  def wait_for_generation(
      self, hosts=None, wait_s: float = WAIT_S
  ) -> list[float]:
    """Waits until daemons have adopted the newest generation.

    Returns:
      The time at which each daemon adopted it, without those that were late.
    """
    ends_at = time.monotonic() + wait_s
    adopted_at = []
    for host in hosts or self.hosts:
      while time.monotonic() < ends_at:
        report = self.read_report(host)
        generation_adopted_at = report and report.adopted_at.get(
            str(self.generation)
        )
        if generation_adopted_at:
          adopted_at.append(generation_adopted_at)
          break
        time.sleep(POLL_S)
    return adopted_at

  def set_partition(self, zone: str, is_partitioned: bool) -> None:
    """Isolates a zone from other zones and the platform, or reconnects it."""
    kind = config_daemon.KIND_CUT if is_partitioned else config_daemon.KIND_HEAL
    for host in self.hosts:
      self.request(host, kind, zone.encode())


def print_delays(what: str, delays_s: list[float], expected: int) -> None:
  """Prints the median and the maximum of some delays."""
  if not delays_s:
    print(f'{what}: none of {expected} in time', flush=True)
    return
  print(
      f'{what}: median {statistics.median(delays_s):.3f} s, worst'
      f' {max(delays_s):.3f} s, {len(delays_s)} of {expected} in time',
      flush=True,
  )


@click.group()
def main() -> None:
  """Measures how configurations spread."""


@main.command()
@click.option('--daemons', default=8)
@click.option('--changes', default=30)
@click.option(
    '--rounds', default=10, help='Repetitions of partition, outage and restart.'
)
def spread(daemons: int, changes: int, rounds: int) -> None:
  """Measures time to adoption: normally, in partitions and in outages."""
  with ConfigBench(daemons) as bench:
    time.sleep(2.0)
    delays_s, last_delays_s = [], []
    for _ in range(changes):
      accepted_at = bench.apply()
      adopted_at = bench.wait_for_generation()
      delays_s += [at - accepted_at for at in adopted_at]
      last_delays_s.append(max(adopted_at) - accepted_at)
    print_delays('plain, each daemon', delays_s, daemons * changes)
    print_delays('plain, last daemon of a change', last_delays_s, changes)
    _measure_partitions(bench, rounds)
    _measure_outages(bench, rounds)
    _measure_restarts(bench, rounds)


def _measure_partitions(bench: ConfigBench, rounds: int) -> None:
  zone = launcher.zone_name(2)
  inside = [host for host in bench.hosts if host.zone == zone]
  outside = [host for host in bench.hosts if host.zone != zone]
  outside_delays_s, inside_delays_s = [], []
  for _ in range(rounds):
    bench.set_partition(zone, True)
    accepted_at = bench.apply()
    adopted_at = bench.wait_for_generation(outside)
    outside_delays_s.append(max(adopted_at) - accepted_at)
    time.sleep(1.0)
    healed_at = time.monotonic()
    bench.set_partition(zone, False)
    adopted_at = bench.wait_for_generation(inside)
    inside_delays_s.append(max(adopted_at) - healed_at)
  print_delays('one zone cut off, last of the others', outside_delays_s, rounds)
  print_delays(
      'last of the zone, from the start of its healing', inside_delays_s, rounds
  )


def _measure_outages(bench: ConfigBench, rounds: int) -> None:
  """Measures adoption when an outage starts right after acceptance."""
  last_delays_s = []
  expected = 0
  for _ in range(rounds):
    accepted_at = bench.apply(starts_outage=True)
    adopted_at = bench.wait_for_generation(wait_s=OUTAGE_S - 2.0)
    expected += 1
    if len(adopted_at) == len(bench.hosts):
      last_delays_s.append(max(adopted_at) - accepted_at)
    bench.fleet.put_fault(bench.fleet.platform, outage_s=0)
    bench.wait_for_generation()
    time.sleep(8.0)  # Lets watches reconnect before the next outage.
  print_delays(
      'platform out at acceptance, last daemon', last_delays_s, expected
  )


def _measure_restarts(bench: ConfigBench, rounds: int) -> None:
  """Measures adoption by a daemon that restarts empty in an outage."""
  delays_s = []
  host = bench.hosts[0]
  for _ in range(rounds):
    bench.fleet.put_fault(bench.fleet.platform, outage_s=60.0)
    bench.fleet.kill(host.name)
    started_at = time.monotonic()
    bench.start(host)
    delays_s += [at - started_at for at in bench.wait_for_generation([host])]
  bench.fleet.put_fault(bench.fleet.platform, outage_s=0)
  print_delays(
      'restart in an outage, start of process to adoption', delays_s, rounds
  )


def _count_calls(bench: ConfigBench) -> int:
  counts = bench.fleet.call(bench.fleet.platform, 'GET', '/calls')
  return sum(counts.values())


@main.command()
@click.option('--sizes', default='1,2,4,8,16,24')
@click.option('--idle-s', default=IDLE_S)
@click.option('--changes', default=20)
def slopes(sizes: str, idle_s: float, changes: int) -> None:
  """Measures bytes, calls, CPU time and memory by number of daemons."""
  print('daemons  watch  idle B/s  wire B/s  idle cpu%  calls/s  B/change  MB')
  for size in map(int, sizes.split(',')):
    with ConfigBench(size) as bench:
      time.sleep(8.0)
      _measure_slope(bench, idle_s, changes)


def _measure_slope(bench: ConfigBench, idle_s: float, changes: int) -> None:
  size = len(bench.hosts)
  before = [bench.read_report(host) for host in bench.hosts]
  calls = _count_calls(bench)
  pids = {
      bench.fleet.program_by_name[host.name].process.pid for host in bench.hosts
  }
  wire = wire_bytes.read_wire_bytes(pids)
  time.sleep(idle_s)
  wire_after = wire_bytes.read_wire_bytes(pids)
  idle = [bench.read_report(host) for host in bench.hosts]
  calls = _count_calls(bench) - calls
  started_at = time.monotonic()
  for _ in range(changes):
    bench.apply()
    bench.wait_for_generation()
  took_s = time.monotonic() - started_at
  after = [bench.read_report(host) for host in bench.hosts]

  def transferred_bytes(report: config_daemon.DaemonReport) -> int:
    return report.sent_bytes + report.received_bytes

  idle_bytes = [
      transferred_bytes(b) - transferred_bytes(a)
      for a, b in zip(before, idle, strict=True)
  ]
  busy_bytes = [
      transferred_bytes(b) - transferred_bytes(a)
      for a, b in zip(idle, after, strict=True)
  ]
  idle_rate = statistics.mean(idle_bytes) / idle_s
  per_change = (statistics.mean(busy_bytes) - idle_rate * took_s) / changes
  cpu_s = statistics.mean(
      b.cpu_s - a.cpu_s for a, b in zip(before, idle, strict=True)
  )
  print(
      f'{size:7}  {sum(r.is_watching for r in idle):5}'
      f'  {max(idle_bytes) / idle_s:8.0f}'
      f'  {max(wire_after[p] - wire[p] for p in pids) / idle_s:8.0f}'
      f'  {100 * cpu_s / idle_s:9.2f}'
      f'  {calls / idle_s:7.2f}  {per_change:8.0f}'
      f'  {max(r.resident_bytes for r in after) / 1e6:.1f}',
      flush=True,
  )


@main.command()
@click.option('--sizes', default='100,1000,10000,43000')
@click.option('--daemons', default=4)
@click.option('--changes', default=5)
def tenants(sizes: str, daemons: int, changes: int) -> None:
  """Measures time, bytes, CPU time and memory by number of tenants."""
  print('tenants  parts  largest B  B/change  last s  cpu s/change  MB')
  for size in map(int, sizes.split(',')):
    with ConfigBench(daemons, size) as bench:
      time.sleep(3.0)
      _measure_tenants(bench, size, changes)


def _measure_tenants(bench: ConfigBench, size: int, changes: int) -> None:
  before = [bench.read_report(host) for host in bench.hosts]
  last_delays_s = []
  for _ in range(changes):
    accepted_at = bench.apply()
    last_delays_s.append(max(bench.wait_for_generation()) - accepted_at)
  after = [bench.read_report(host) for host in bench.hosts]
  _, snapshot = config_fetch.read_tree(bench.platform)
  parts = [
      snapshot.tree.part_by_name[name]
      for name in config_parts.list_parts(snapshot.tree)
  ]
  transferred_bytes = statistics.mean(
      b.part_bytes - a.part_bytes for a, b in zip(before, after, strict=True)
  )
  cpu_s = statistics.mean(
      b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True)
  )
  print(
      f'{size:7}  {len(parts):5}  {max(map(len, parts)):9}'
      f'  {transferred_bytes / changes:8.0f}  {max(last_delays_s):6.3f}'
      f'  {cpu_s / changes:12.3f}'
      f'  {max(r.resident_bytes for r in after) / 1e6:.1f}',
      flush=True,
  )
  rate = transferred_bytes / changes * CHANGES_A_DAY / DAY_S
  print(f'         at {CHANGES_A_DAY} changes a day: {rate:.0f} B/s of parts')


if __name__ == '__main__':
  main()
