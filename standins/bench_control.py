"""Measures the cost of control traffic by number of entries and engines.

Runs idle entries with a stand-in platform and many idle engines. Prints for
each size the CPU time, memory and peer bytes of an entry, and the platform
calls by kind. docs/CAPACITY.md is computed from the slopes.
"""

import json
import pathlib
import shutil
import statistics
import sys
import time
from typing import NamedTuple

import click

from mulberrypick.core import records
from standins import bench_entry
from standins import launcher
from standins import local_cluster

LOG_FOLDER = pathlib.Path('out/bench-control')
ZONES = 3
SETTLE_DELAY_S = 6.0
MEASURE_DURATION_S = 10.0
SIZES = (
    (1, 8),
    (4, 8),
    (8, 8),
    (16, 8),
    (24, 8),
    (6, 4),
    (6, 24),
    (6, 96),
    (6, 384),
    (6, 1700),
)
CALL_KINDS = ('get', 'put', 'list', 'watch', 'hosts')


class Cost(NamedTuple):
  """Cost of control traffic at one size.

  Attributes:
    entries: Entry hosts.
    engines: Engines.
    core: Mean fraction of a CPU core that an entry uses.
    max_core: Fraction that the busiest entry uses.
    memory_mb: Mean resident memory of an entry.
    sent_per_s: Mean bytes per second that an entry sends to peers.
    platform_per_s: Platform calls per second of all entries, by kind.
  """

  entries: int
  engines: int
  core: float
  max_core: float
  memory_mb: float
  sent_per_s: float
  platform_per_s: dict[str, float]


def start_engine_crowd(
    cluster: local_cluster.LocalCluster, engines: int
) -> None:
  """Starts idle engines in one process, and adds them to the host list."""
  address = launcher.free_address(launcher.zone_ip(1))
  flags = ('--listen', address)
  cluster.fleet.start_program(
      'crowd', 'standins.engine_crowd', flags, address=address
  )
  for number in range(engines):
    name = f'engine-{number}'
    host = launcher.make_host(
        name, 1 + number % ZONES, records.HOST_ENGINE, f'{address}/{name}'
    )
    cluster.fleet.put_host(host)


def measure(entries: int, engines: int) -> Cost:
  """Measures one size."""
  folder = LOG_FOLDER / f'{entries}-{engines}'
  with local_cluster.LocalCluster(folder, ('--reads-per-s', '5000')) as cluster:
    start_engine_crowd(cluster, engines)
    cluster.apply(json.dumps(bench_entry.DECLARATION).encode())
    for number in range(entries):
      cluster.spawn_entry(f'entry-{number}', 1 + number % ZONES)
    cluster.wait_entries()
    time.sleep(SETTLE_DELAY_S)
    hosts = list(cluster.entry_by_name.values())
    pids = [host.program.process.pid for host in hosts]
    cpu_before = [bench_entry.read_cpu_s(pid) for pid in pids]
    sent_before = [read_sent(cluster, host) for host in hosts]
    calls_before = cluster.fleet.call(cluster.fleet.platform, 'GET', '/calls')
    time.sleep(MEASURE_DURATION_S)
    cpu_after = [bench_entry.read_cpu_s(pid) for pid in pids]
    calls_after = cluster.fleet.call(cluster.fleet.platform, 'GET', '/calls')
    sent_after = [read_sent(cluster, host) for host in hosts]
    memory = [bench_entry.read_memory_mb(pid) for pid in pids]
  cores = [
      (after - before) / MEASURE_DURATION_S
      for before, after in zip(cpu_before, cpu_after, strict=True)
  ]
  sent = [
      (after - before) / MEASURE_DURATION_S
      for before, after in zip(sent_before, sent_after, strict=True)
  ]
  return Cost(
      entries,
      engines,
      statistics.mean(cores),
      max(cores),
      statistics.mean(memory),
      statistics.mean(sent),
      {
          kind: (calls_after[kind] - calls_before[kind]) / MEASURE_DURATION_S
          for kind in CALL_KINDS
      },
  )


def read_sent(
    cluster: local_cluster.LocalCluster, host: local_cluster.EntryHost
) -> int:
  """Returns the bytes that an entry has sent to its peers so far."""
  return cluster.read_status(host)['peers']['sent_bytes']


def print_cost(cost: Cost) -> None:
  """Prints one line of the table."""
  calls = ' '.join(
      f'{kind}={rate:.1f}' for kind, rate in cost.platform_per_s.items()
  )
  click.echo(
      f'{cost.entries:7}{cost.engines:9}{cost.core * 100:9.2f}'
      f'{cost.max_core * 100:9.2f}{cost.memory_mb:9.1f}'
      f'{cost.sent_per_s:11.0f}   {calls}'
  )


def main() -> int:
  """Measures all sizes."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  click.echo(
      f'{"entries":>7}{"engines":>9}{"core %":>9}{"most %":>9}{"MB":>9}'
      f'{"sent B/s":>11}   platform calls/s'
  )
  for entries, engines in SIZES:
    print_cost(measure(entries, engines))
    sys.stdout.flush()
  return 0


if __name__ == '__main__':
  sys.exit(main())
