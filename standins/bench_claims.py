"""Measures the platform writes per booking, and the bookings per second.

    python -m standins.bench_claims table      # writes per booking
    python -m standins.bench_claims budget     # with the platform's rate limits
    python -m standins.bench_claims outage     # platform calls around an outage

Entry hosts are processes with the real runner, platform adapter and peers, and
use the stand-in platform. The service is a function that takes `WORK_S`. Each
host has some callers in a closed loop, and every booking has a new key. To
measure one stored object per key, the same code runs with so many slots that
keys hardly ever share one.
"""

import contextlib
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time

import click
from hdrh import histogram

from mulberrypick.adapters import http_platform
from mulberrypick.adapters import service
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import plain_calls
from standins import claim_driver
from standins import launcher

WORK_S = 0.002
WARM_UP_S = 1.0
PLATFORM_TIMEOUT_S = 5.0
PLATFORM_WRITES_PER_S = 400
NO_LIMIT = '1000000'
MAX_WRITERS = 32
UNSHARED_SLOT_COUNT = 2**40
BODY = b'{"confirmed":true}' + b' ' * 100
US_PER_S = 1_000_000
MAX_RECORDED_US = 60 * US_PER_S


class FixedTimeService(service.PlainService):
  """A service that answers after a fixed time, without network calls."""

  def call(
      self,
      endpoint: str,
      address: str,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer:
    """Runs one call."""
    time.sleep(WORK_S)
    return records.PlainAnswer(200, 'application/json', BODY)


class ClosedLoopLoad:
  """Callers in a closed loop, and the statistics of their bookings."""

  def __init__(self, runner: plain_calls.PlainCallRunner, name: str):
    self._runner = runner
    self._name = name
    self._lock = threading.Lock()
    self._latency = histogram.HdrHistogram(1, MAX_RECORDED_US, 3)
    self._refused = 0
    self._is_measuring = False
    self._is_stopped = False

  def run(self, callers: int, seconds: float) -> dict[str, float]:
    """Runs the load, and returns its figures without the warm-up."""
    threads = [
        threading.Thread(target=self._book, args=(number,), daemon=True)
        for number in range(callers)
    ]
    for thread in threads:
      thread.start()
    time.sleep(WARM_UP_S)
    self._is_measuring = True
    time.sleep(seconds)
    self._is_measuring = False
    bookings = self._latency.get_total_count()
    self._is_stopped = True
    return {
        'bookings': bookings,
        'refused': self._refused,
        'p50_ms': self._latency.get_value_at_percentile(50) / 1000,
        'p99_ms': self._latency.get_value_at_percentile(99) / 1000,
    }

  def _book(self, number: int) -> None:
    rng = random.Random(number)
    hosts = [claim_driver.make_host('none:1')]
    while not self._is_stopped:
      key = f'{self._name}/{number}/{rng.getrandbits(64):x}'
      call = claim_driver.make_call(key)
      started_at = time.monotonic()
      try:
        self._runner.run(call, claim_driver.SERVICE, hosts, time.monotonic)
      except errors.RequestError as error:
        self._refused += self._is_measuring
        time.sleep(min(1.0, error.retry_after_s))
        continue
      took_us = int((time.monotonic() - started_at) * US_PER_S)
      with self._lock:
        if self._is_measuring:
          self._latency.record_value(took_us)


def measure(
    fleet: launcher.Fleet,
    entries: int,
    callers: int,
    slots: int,
    seconds: float,
    writes_per_s: float,
    is_forwarded: bool,
) -> dict[str, float]:
  """Runs the load of one table line, and returns its figures."""
  processes = start_entries(
      fleet, entries, callers, slots, seconds, writes_per_s, is_forwarded
  )
  results = [json.loads(process.communicate()[0]) for process in processes]
  bookings = sum(result['bookings'] for result in results)
  writes = sum(result['writes'] for result in results)
  return {
      'bookings_per_s': bookings / seconds,
      'writes_per_s': writes / seconds,
      'writes_per_booking': writes / max(1, bookings),
      'conflicts': sum(result['conflicts'] for result in results),
      'refused': sum(result['refused'] for result in results),
      'p50_ms': max(result['p50_ms'] for result in results),
      'p99_ms': max(result['p99_ms'] for result in results),
  }


def start_entries(
    fleet: launcher.Fleet,
    entries: int,
    callers: int,
    slots: int,
    seconds: float,
    writes_per_s: float,
    is_forwarded: bool,
) -> list[subprocess.Popen]:
  """Starts entry hosts, which print their figures when they end."""
  command = [sys.executable, '-m', 'standins.bench_claims', 'entry']
  command += ['--platform', fleet.platform.url, '--slots', str(slots)]
  command += ['--callers', str(callers), '--seconds', str(seconds)]
  command += ['--writes-per-s', str(writes_per_s)]
  processes = []
  addresses = [launcher.free_address('127.0.0.1') for _ in range(entries)]
  if is_forwarded:
    command += ['--others', ','.join(addresses)]
  for number, address in enumerate(addresses):
    own = ['--name', f'e{number}-{time.time_ns()}', '--peers', address]
    processes.append(
        subprocess.Popen(
            command + own, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
    )
  return processes


def print_table(
    lines: list[tuple], flags: tuple[str, ...], seconds: float, gathered: bool
) -> None:
  """Measures and prints a table.

  Args:
    lines: Entry hosts, callers, slots and writes per second of each line.
    flags: Flags of the platform.
    seconds: Duration of the measurement of each line.
    gathered: Whether all hosts forward the changes of a slot, an object with
      the claims of many keys, to one host that writes them.
  """
  print(
      'entries  callers  slots     bookings/s  writes/s  writes/booking'
      '  carried by 400/s  conflicts  refused  p50 ms  p99 ms'
  )
  for entries, callers, slots, rate in lines:
    with contextlib.ExitStack() as stack:
      folder = stack.enter_context(tempfile.TemporaryDirectory())
      fleet = stack.enter_context(launcher.Fleet(pathlib.Path(folder)))
      fleet.start_platform(*flags)
      is_forwarded = gathered and slots != UNSHARED_SLOT_COUNT
      figures = measure(
          fleet, entries, callers, slots, seconds, rate, is_forwarded
      )
    name = 'each key' if slots == UNSHARED_SLOT_COUNT else str(slots)
    carried = PLATFORM_WRITES_PER_S / max(0.001, figures['writes_per_booking'])
    print(
        f'{entries:7d}  {callers:7d}  {name:8s}'
        f'  {figures["bookings_per_s"]:10.0f}'
        f'  {figures["writes_per_s"]:8.0f}'
        f'  {figures["writes_per_booking"]:14.2f}'
        f'  {carried:16.0f}  {figures["conflicts"]:9d}'
        f'  {figures["refused"]:7d}'
        f'  {figures["p50_ms"]:6.1f}  {figures["p99_ms"]:6.1f}',
        flush=True,
    )


@click.group()
def main() -> None:
  """Measures the claims of bookings."""


@main.command()
@click.option('--seconds', default=4.0, help='Seconds measured for each line.')
@click.option(
    '--entries', default='1,3,8', help='Comma-separated numbers of entry hosts.'
)
@click.option(
    '--callers',
    default='1,16,64',
    help='Comma-separated numbers of callers per host.',
)
@click.option(
    '--slots',
    default='0,8',
    help='Comma-separated numbers of slots; 0 for one stored object per key.',
)
@click.option(
    '--gathered/--alone',
    default=True,
    help='Whether one host writes all changes of a slot.',
)
@click.option(
    '--rate',
    default=40.0,
    help='Maximum number of platform writes per second and host.',
)
def table(
    seconds: float,
    entries: str,
    callers: str,
    slots: str,
    gathered: bool,
    rate: float,
) -> None:
  """Prints the writes per booking, without rate limits of the platform."""
  lines = []
  for slot_count in map(int, slots.split(',')):
    for entry_count in map(int, entries.split(',')):
      for caller_count in map(int, callers.split(',')):
        # With one object per key, delaying writes would group no changes.
        host_writes_per_s = rate if slot_count else float(NO_LIMIT)
        slots_used = slot_count or UNSHARED_SLOT_COUNT
        lines.append((entry_count, caller_count, slots_used, host_writes_per_s))
  flags = ('--writes-per-s', NO_LIMIT, '--reads-per-s', NO_LIMIT)
  print_table(lines, flags, seconds, gathered)


@main.command()
@click.option('--seconds', default=6.0, help='Seconds measured for each line.')
@click.option('--entries', default=8, help='Number of entry hosts.')
@click.option(
    '--callers',
    default='16,64',
    help='Comma-separated numbers of callers per host.',
)
@click.option(
    '--slots',
    default='0,8',
    help='Comma-separated numbers of slots; 0 for one stored object per key.',
)
@click.option(
    '--gathered/--alone',
    default=True,
    help='Whether one host writes all changes of a slot.',
)
def budget(
    seconds: float, entries: int, callers: str, slots: str, gathered: bool
) -> None:
  """Prints the bookings per second with the platform's rate limits."""
  lines = []
  for slot_count in map(int, slots.split(',')):
    for caller_count in map(int, callers.split(',')):
      slots_used = slot_count or UNSHARED_SLOT_COUNT
      lines.append((entries, caller_count, slots_used, 40.0))
  print_table(lines, (), seconds, gathered)


@main.command()
@click.option('--entries', default=8, help='Number of entry hosts.')
@click.option('--callers', default=16, help='Number of callers per host.')
@click.option('--before-s', default=8, help='Seconds before the outage.')
@click.option('--outage-s', default=20, help='Seconds of the outage.')
@click.option('--after-s', default=10, help='Seconds after the outage.')
def outage(
    entries: int, callers: int, before_s: int, outage_s: int, after_s: int
) -> None:
  """Prints the calls to the platform in each second around an outage."""
  seconds = before_s + outage_s + after_s
  print('second  gets  puts  refused')
  with contextlib.ExitStack() as stack:
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    fleet = stack.enter_context(launcher.Fleet(pathlib.Path(folder)))
    fleet.start_platform()
    processes = start_entries(
        fleet, entries, callers, claims.SLOT_COUNT, seconds, 40.0, True
    )
    last = fleet.call(fleet.platform, 'GET', '/calls')
    for second in range(seconds):
      if second == before_s:
        fleet.put_fault(fleet.platform, outage_s=outage_s)
      time.sleep(1.0)
      now = fleet.call(fleet.platform, 'GET', '/calls')
      call_counts = [
          now[kind] - last[kind] for kind in ('get', 'put', 'refused')
      ]
      print(
          '{:6d}  {:4d}  {:4d}  {:7d}'.format(second, *call_counts), flush=True
      )
      last = now
    for process in processes:
      print(process.communicate()[0].decode().strip())


@main.command()
@click.option(
    '--platform',
    'platform_url',
    required=True,
    help='Base URL of the platform.',
)
@click.option('--name', required=True, help='Name of the host.')
@click.option('--peers', required=True, help='ip:port to listen on for peers.')
@click.option(
    '--others', default='', help='Comma-separated peer addresses of all hosts.'
)
@click.option('--slots', type=int, required=True, help='Number of slots.')
@click.option('--callers', type=int, required=True, help='Number of callers.')
@click.option('--seconds', type=float, required=True, help='Seconds measured.')
@click.option(
    '--writes-per-s',
    type=float,
    required=True,
    help='Maximum number of platform writes per second.',
)
def entry(
    platform_url: str,
    name: str,
    peers: str,
    others: str,
    slots: int,
    callers: int,
    seconds: float,
    writes_per_s: float,
) -> None:
  """Runs one entry host and prints its figures."""
  claims.SLOT_COUNT = slots
  platform_client = http_platform.HttpPlatform(
      platform_url, '', PLATFORM_TIMEOUT_S, name
  )
  own_peers = zmq_peers.ZmqPeers(peers, name)
  addresses = tuple(others.split(',')) if others else ()
  list_peers = (lambda: addresses) if addresses else None
  runner = plain_calls.PlainCallRunner(
      platform_client,
      FixedTimeService(),
      own_peers,
      name,
      peers,
      writers=min(slots, MAX_WRITERS),
      writes_per_s=writes_per_s,
      list_peers=list_peers,
  )
  own_peers.start()
  runner.start()
  load = ClosedLoopLoad(runner, name)
  writer = runner.claims.writer
  counts_at_start = []

  def count_after_warm_up():
    time.sleep(WARM_UP_S)
    counts_at_start.append((writer.groups + writer.conflicts, writer.conflicts))

  counter = threading.Thread(target=count_after_warm_up)
  counter.start()
  figures = load.run(callers, seconds)
  counter.join()
  writes, conflicts = counts_at_start[0]
  figures['writes'] = writer.groups + writer.conflicts - writes
  figures['conflicts'] = writer.conflicts - conflicts
  print(json.dumps(figures))


if __name__ == '__main__':
  main()
