"""Sums of the loads of several hosts.

A relay forwards sums instead of the load of each host: their size depends on
the number of endpoints only, not on the number of hosts.
"""

from collections.abc import Iterable

# Fields of `engine_load.Load`, as a tuple, by endpoint name.
LoadByEndpoint = dict[str, tuple[int, int, int, int]]


def sum_loads(loads: Iterable[LoadByEndpoint]) -> LoadByEndpoint:
  """Adds up loads by endpoint."""
  total: LoadByEndpoint = {}
  for load in loads:
    for name, item in load.items():
      old = total.get(name)
      if old is not None:
        item = tuple(map(sum, zip(old, item, strict=True)))
      total[name] = item
  return total


def subtract_load(
    total: LoadByEndpoint, part: LoadByEndpoint
) -> LoadByEndpoint:
  """Returns a sum without one of its parts; drops endpoints without load.

  Args:
    total: A sum that includes `part`.
    part: The load to subtract.
  """
  rest = dict(total)
  for name, item in part.items():
    left = tuple(a - b for a, b in zip(total[name], item, strict=True))
    if any(left):
      rest[name] = left
    else:
      del rest[name]
  return rest
