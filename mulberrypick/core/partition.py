"""Chooses the quiet endpoints, which are kept free of long prompts.

The prefill of a prompt of thousands of tokens lengthens every decode step of
its engine. Long prompts are therefore routed to some endpoints and urgent
requests to the others, the quiet ones. This needs no role change and can follow
the load within a second. All hosts order the endpoints in the same way and
compute the number of quiet ones from the demand on the whole fleet, so that
they agree without coordination.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Capacity of the quiet endpoints as a multiple of the urgent demand.
HEADROOM = 1.4
# The number of quiet endpoints is lowered only if the demand needs fewer by at
# least 1 + HYSTERESIS endpoints, so that it does not change too often.
HYSTERESIS = 0.6


class Demand(NamedTuple):
  """Demand for a queue on all entry hosts, in engine seconds per second.

  Attributes:
    urgent: Demand of urgent ranks.
    other: Demand of the other ranks.
    other_reserve: Fraction of the endpoints reserved for the other ranks.
  """

  urgent: float
  other: float
  other_reserve: float


def order_by_hash(zone_by_name: dict[str, str]) -> list[str]:
  """Orders endpoints by a hash of their names, alternating between zones."""
  names_by_zone: dict[str, list[str]] = {}
  for name in sorted(zone_by_name, key=_hash):
    names_by_zone.setdefault(zone_by_name[name], []).append(name)
  ordered = []
  zones = sorted(names_by_zone)
  longest = max((len(names) for names in names_by_zone.values()), default=0)
  for turn in range(longest):
    for zone in zones:
      if turn < len(names_by_zone[zone]):
        ordered.append(names_by_zone[zone][turn])
  return ordered


def size(engines: int, demand: Demand, present: int) -> int:
  """Returns the number of quiet endpoints.

  Args:
    engines: Number of endpoints of the queue.
    demand: Demand over the whole fleet.
    present: Current number of quiet endpoints.

  Returns:
    The number; 0 if there is no urgent demand or only one endpoint.
  """
  if engines < 2 or demand.urgent <= 0.0:
    return 0
  wanted = demand.urgent * HEADROOM
  most = engines - 1
  if demand.other > 0.0:
    most = min(most, engines - math.ceil(demand.other_reserve * engines))
  if present - 1.0 - HYSTERESIS < wanted <= present:
    wanted = present
  return max(1, min(most, math.ceil(wanted)))


def quiet_names(ordered: Iterable[str], count: int) -> frozenset[str]:
  """Returns the names of the quiet endpoints: the first in the order."""
  return frozenset(list(ordered)[:count])


def _hash(name: str) -> int:
  return xxhash.xxh64_intdigest(name.encode())
