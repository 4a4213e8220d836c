"""Assigns models to engines.

Every controller computes the assignment from the same declaration and list of
hosts. The replicas of each zone depend on these alone, so that the controllers
of several zones agree without coordination. Within its zone the holder of the
lease also considers which models the engines hold already, so that few models
move.
"""

from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import records
from mulberrypick.core import rendezvous


class LoadUnit(NamedTuple):
  """A model or an adapter, as one order loads or unloads it.

  Attributes:
    model: Name of the model.
    version: Version of its weights.
    adapter: Name of the adapter, empty for the model itself.
  """

  model: str
  version: str
  adapter: str


def parse_load_unit(loaded: str) -> LoadUnit:
  """Parses `name@version` or `name@version+adapter`."""
  model, _, rest = loaded.partition('@')
  version, _, adapter = rest.partition('+')
  return LoadUnit(model, version, adapter)


def list_load_units(model: records.Model) -> list[LoadUnit]:
  """Returns the model and its adapters, in the order of loading."""
  pieces = [LoadUnit(model.name, model.version, '')]
  for adapter in model.adapters:
    pieces.append(LoadUnit(model.name, model.version, adapter))
  return pieces


def count_by_zone(
    model: records.Model, engines_by_zone: Mapping[str, int]
) -> dict[str, int]:
  """Distributes the replicas of a model over the zones.

  Args:
    model: The model.
    engines_by_zone: Number of engines in each zone that may hold the model.

  Returns:
    Replicas by zone. They differ by at most one while no zone is full. Which
    zones get the additional replicas depends on a hash of the model's name.
  """
  share_by_zone = dict.fromkeys(engines_by_zone, 0)
  zones = rendezvous.rank(model.name, engines_by_zone)
  left = min(model.replicas, sum(engines_by_zone.values()))
  while left:
    for zone in zones:
      if not left:
        break
      if share_by_zone[zone] == engines_by_zone[zone]:
        continue
      share_by_zone[zone] += 1
      left -= 1
  return share_by_zone


def place(
    model_by_name: Mapping[str, records.Model],
    share_by_model: Mapping[str, int],
    held_by_engine: Mapping[str, frozenset[str]],
) -> dict[str, set[str]]:
  """Assigns the replicas of one zone to its engines.

  Args:
    model_by_name: The declared models.
    share_by_model: Replicas of each model in this zone.
    held_by_engine: Names of the models that each usable engine holds now.

  Returns:
    Names of the models that each engine has to hold.
  """
  wanted_by_engine = {engine: set() for engine in held_by_engine}
  for name in sorted(model_by_name):
    order = rendezvous.rank(name, held_by_engine)
    # The sort is stable: engines with equal keys stay in hash order.
    order.sort(
        key=lambda engine, name=name: (
            name not in held_by_engine[engine],
            len(wanted_by_engine[engine]),
        )
    )
    for engine in order[: share_by_model.get(name, 0)]:
      wanted_by_engine[engine].add(name)
  return wanted_by_engine
