"""The configuration part of one entry host, for the configuration benchmark.

It runs the production sockets, configuration task and platform adapter. Over
the same sockets it reports to the benchmark when it adopted each generation
and how much traffic, CPU time and memory it used.
"""

import pathlib
import resource
import signal
import sys
import threading
import time
from typing import NamedTuple

import click
import msgspec

from mulberrypick.adapters import http_platform
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import records
from mulberrypick.ops import config_task
from standins import partitioned_peers

KIND_REPORT = 'bench.report'
KIND_CUT = 'bench.cut'
KIND_HEAL = 'bench.heal'
PLATFORM_TIMEOUT_S = 5.0
BYTES_PER_KIB = 1024


class DaemonHost(NamedTuple):
  """Name, zone and peer address of a daemon."""

  name: str
  zone: str
  address: str


class DaemonReport(NamedTuple):
  """A daemon's report to the benchmark.

  Attributes:
    adopted_at: Monotonic time at which each generation was adopted. The keys
      are generation numbers as decimal strings.
    is_ready: Whether the configuration task is ready.
    is_watching: Whether it watches the platform.
    sent_bytes: Bytes sent to peers.
    received_bytes: Bytes received from peers.
    part_bytes: Bytes of configuration parts fetched.
    platform_calls: Calls to the platform by kind.
    cpu_s: CPU time used.
    resident_bytes: Peak resident memory.
  """

  adopted_at: dict[str, float]
  is_ready: bool
  is_watching: bool
  sent_bytes: int
  received_bytes: int
  part_bytes: int
  platform_calls: dict[str, int]
  cpu_s: float
  resident_bytes: int


def read_peak_bytes() -> int:
  """Returns the peak resident memory of this process in bytes.

  `getrusage` is not used because its peak survives `execve`: it can be the
  peak of the parent process from before this program was started.
  """
  for line in pathlib.Path('/proc/self/status').read_text().splitlines():
    if line.startswith('VmHWM:'):
      return int(line.split()[1]) * BYTES_PER_KIB
  return 0


class Daemon:
  """Peer sockets, platform client and configuration task of one daemon."""

  def __init__(self, own_host: DaemonHost, hosts: list[DaemonHost], url: str):
    self._adopted_at = {}
    self._partitions = partitioned_peers.Partitions()
    for host in hosts:
      self._partitions.join(host.zone, host.name, host.address)
    self._peers = partitioned_peers.PartitionedPeers(
        self._partitions,
        own_host.zone,
        own_host.name,
        listen_address=own_host.address,
    )
    # Requests of the benchmark are handled during a partition too.
    for kind, handler in (
        (KIND_REPORT, self._handle_report),
        (KIND_CUT, self._handle_cut),
        (KIND_HEAL, self._handle_heal),
    ):
      zmq_peers.ZmqPeers.register_handler(self._peers, kind, handler)
    source_ip = own_host.address.partition(':')[0]
    platform = http_platform.HttpPlatform(
        url, source_ip, PLATFORM_TIMEOUT_S, own_host.name
    )
    self._task = config_task.ConfigTask(
        partitioned_peers.PartitionedPlatform(
            platform, self._partitions, own_host.zone
        ),
        self._peers,
        own_host.name,
        lambda: [host.address for host in hosts],
        self._record_adoption,
        lambda: [host.address for host in hosts if host.zone == own_host.zone],
    )

  def run(self, stopping: threading.Event) -> None:
    """Runs until `stopping` is set."""
    self._peers.start()
    self._task.start()
    print('event=ready', file=sys.stderr, flush=True)
    stopping.wait()
    self._task.stop()
    self._peers.stop()

  def _record_adoption(self, config: records.Config) -> None:
    self._adopted_at[str(config.generation)] = time.monotonic()

  def _handle_report(self, sender: str, body: bytes) -> bytes:
    counts = self._task.counts()
    sent = self._peers.counts()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return msgspec.json.encode(
        DaemonReport(
            dict(self._adopted_at),
            self._task.is_ready,
            counts.is_watching,
            sent.sent_bytes,
            sent.received_bytes,
            counts.part_bytes,
            counts.platform_calls,
            usage.ru_utime + usage.ru_stime,
            read_peak_bytes(),
        )
    )

  def _handle_cut(self, sender: str, body: bytes) -> bytes:
    self._partitions.cut(body.decode())
    return b'done'

  def _handle_heal(self, sender: str, body: bytes) -> bytes:
    self._partitions.heal(body.decode())
    return b'done'


@click.command()
@click.option('--name', required=True, help='Name of this daemon.')
@click.option('--hosts', required=True, help='JSON list of all daemons.')
@click.option('--platform-url', required=True, help='Base URL of the platform.')
def main(name: str, hosts: str, platform_url: str) -> None:
  """Runs one daemon until SIGTERM."""
  stopping = threading.Event()
  signal.signal(signal.SIGTERM, lambda *_: stopping.set())
  all_hosts = msgspec.json.decode(hosts, type=list[DaemonHost])
  host_by_name = {host.name: host for host in all_hosts}
  Daemon(host_by_name[name], all_hosts, platform_url).run(stopping)


if __name__ == '__main__':
  main()
