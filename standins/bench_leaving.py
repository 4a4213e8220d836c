"""How long a leaving engine gets new work, by where the sign comes from.

Three signs: the platform's list, the engine's own reply while the platform is
out, and the same in a zone that is cut off from the platform and from the
engines of the other zone. (Links between entry hosts stay up in this bench.)
The time runs from the first sign to the last request that was sent to the
engine, whether it took it in or refused it; a refused one goes elsewhere. The
platform's list itself lags by a second.
"""

import pathlib
import shutil
import sys
from collections.abc import Callable

import click

from standins import changes
from standins import launcher
from standins import town

LOG_FOLDER = pathlib.Path('out/bench-leaving')
RATE = 40.0
SECONDS = 12.0
LIMIT_S = 5.0
OUTAGE_S = 60.0


def measure_leaving_by_list(cluster: town.Town) -> float:
  """The platform's list says that an engine leaves."""
  name = changes.find_busiest(cluster, 1)
  return changes.measure_leaving(
      cluster, name, lambda: changes.mark_leaving(cluster, name)
  )


def measure_leaving_in_outage(cluster: town.Town) -> float:
  """An engine says so itself, while the platform is out."""
  name = changes.find_busiest(cluster, 1)
  cluster.fleet.put_fault(cluster.fleet.platform, outage_s=OUTAGE_S)
  took_s = changes.measure_leaving(
      cluster, name, lambda: changes.drain_directly(cluster, name)
  )
  cluster.fleet.put_fault(cluster.fleet.platform, outage_s=0)
  return took_s


def leave_in_cut_zone(cluster: town.Town) -> float:
  """An engine of a zone that is cut off says so itself."""
  partition_zone(cluster, 2)
  name = changes.find_busiest(cluster, 2)
  return changes.measure_leaving(
      cluster, name, lambda: changes.drain_directly(cluster, name)
  )


def partition_zone(cluster: town.Town, zone: int) -> None:
  """Cuts a zone off from the platform and the engines of other zones."""
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


CASE_BY_NAME: dict[str, Callable[[town.Town], float]] = {
    "the platform's list": measure_leaving_by_list,
    'own reply, platform out': measure_leaving_in_outage,
    'own reply, zone cut off': leave_in_cut_zone,
}


def main() -> int:
  """Measures all cases; 0 if each is within a few seconds."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  all_passed = True
  with changes.start_town(LOG_FOLDER) as cluster:
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
      all_passed = all_passed and took_s[0] <= LIMIT_S and result.bad == 0
  return 0 if all_passed else 1


if __name__ == '__main__':
  sys.exit(main())
