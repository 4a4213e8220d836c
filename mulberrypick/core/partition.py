"""Which endpoints are kept free of long prompts, for the sake of urgent work.

A prompt of thousands of tokens stretches every decode step of its engine for
as long as its prefill runs. So long prompts are kept together on some
endpoints and urgent answers on the others. This is a matter of routing alone:
it costs no role change and can follow the load within a second. All hosts
order the endpoints alike and size the set by figures of the whole fleet, so
that they agree without asking each other.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Urgent work is given this many times the engine seconds that it needs.
HEADROOM = 1.4
# Changes below this many endpoints are left alone.
HYSTERESIS = 0.6


class Demand(NamedTuple):
  """Demand on a queue over the whole fleet, in engine seconds a second.

  Attributes:
    urgent: Of urgent ranks.
    other: Of the other ranks.
    other_reserve: Part of the fleet reserved for the other ranks.
  """

  urgent: float
  other: float
  other_reserve: float


def order_by_hash(zone_by_name: dict[str, str]) -> list[str]:
  """Orders endpoints by a hash, taking turns among zones."""
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
  """Returns how many endpoints are kept free of long prompts.

  Args:
    engines: Endpoints of the queue.
    demand: Demand over the whole fleet.
    present: How many are kept free now.

  Returns:
    The count, 0 if the fleet is too small to be parted.
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
  """Returns the endpoints that are kept free of long prompts."""
  return frozenset(list(ordered)[:count])


def _hash(name: str) -> int:
  return xxhash.xxh64_intdigest(name.encode())
