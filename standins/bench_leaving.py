"""Measures how long a leaving engine still gets new requests.

An entry learns that an engine leaves in three ways: from the platform's list,
from the engine's own reply during a platform outage, and from that reply in a
zone that is partitioned from the platform and from the engines of the other
zone. Links between entry hosts stay up. The time runs from the first sign to
the last request sent to the engine, whether it was accepted or refused; a
refused request goes to another engine. The platform's list lags by one second.
"""

import pathlib
import shutil
import sys
from collections.abc import Callable

import click

from standins import changes
from standins import launcher
from standins import local_cluster

LOG_FOLDER = pathlib.Path('out/bench-leaving')
RATE = 40.0
SECONDS = 12.0
MAX_LEAVING_S = 5.0
OUTAGE_S = 60.0


def measure_leaving_by_list(cluster: local_cluster.LocalCluster) -> float:
  """Measures an engine that is marked as leaving on the platform's list."""
  name = changes.find_busiest(cluster, 1)
  return changes.measure_leaving(
      cluster, name, lambda: changes.mark_leaving(cluster, name)
  )


def measure_leaving_in_outage(cluster: local_cluster.LocalCluster) -> float:
  """Measures an engine that reports draining during a platform outage."""
  name = changes.find_busiest(cluster, 1)
  cluster.fleet.put_fault(cluster.fleet.platform, outage_s=OUTAGE_S)
  took_s = changes.measure_leaving(
      cluster, name, lambda: changes.drain_directly(cluster, name)
  )
  cluster.fleet.put_fault(cluster.fleet.platform, outage_s=0)
  return took_s


def measure_leaving_in_partitioned_zone(
    cluster: local_cluster.LocalCluster,
) -> float:
  """Measures an engine that reports draining in a partitioned zone."""
  partition_zone(cluster, 2)
  name = changes.find_busiest(cluster, 2)
  return changes.measure_leaving(
      cluster, name, lambda: changes.drain_directly(cluster, name)
  )


def partition_zone(cluster: local_cluster.LocalCluster, zone: int) -> None:
  """Partitions a zone from the platform and from engines of other zones."""
  own = launcher.zone_prefix(zone)
  others = [
      launcher.zone_prefix(other) for other in changes.ZONES if other != zone
  ]
  cluster.fleet.put_fault(cluster.fleet.platform, cut=[own])
  for name, program in cluster.fleet.program_by_name.items():
    if not name.startswith('engine-'):
      continue
    is_own = name.startswith(f'engine-{zone}-')
    cluster.fleet.put_fault(program, cut=others if is_own else [own])


CASE_BY_NAME: dict[str, Callable[[local_cluster.LocalCluster], float]] = {
    "the platform's list": measure_leaving_by_list,
    'own reply, platform out': measure_leaving_in_outage,
    'own reply, zone cut off': measure_leaving_in_partitioned_zone,
}


def main() -> int:
  """Measures all cases; returns 0 if all are in time and cut no request."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  all_passed = True
  with changes.start_cluster(LOG_FOLDER) as cluster:
    click.echo(f'{"sign":28}{"requests":>9}{"bad":>5}{"last new work":>16}')
    for name, case in CASE_BY_NAME.items():
      took_s: list[float] = []
      result = changes.run_under_load(
          cluster,
          name,
          lambda c=case, t=took_s: t.append(c(cluster)),
          RATE,
          SECONDS,
      )
      click.echo(
          f'{name:28}{result.requests:9}{result.bad:5}{took_s[0]:14.2f} s'
      )
      all_passed = all_passed and took_s[0] <= MAX_LEAVING_S and result.bad == 0
  return 0 if all_passed else 1


if __name__ == '__main__':
  sys.exit(main())
