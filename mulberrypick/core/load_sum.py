"""Sums of the work that hosts have at endpoints.

A relay hands on sums in place of what each host said: their size follows the
number of endpoints, whatever the number of hosts.
"""

from collections.abc import Iterable

# Count, urgent tokens, other tokens and decoding, by endpoint.
LoadByEndpoint = dict[str, tuple[int, int, int, int]]


def sum_loads(loads: Iterable[LoadByEndpoint]) -> LoadByEndpoint:
  """Adds loads up, endpoint by endpoint."""
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
  """Returns a sum without one of its parts, and without idle endpoints.

  Args:
    total: A sum in which `part` was added up.
    part: What is taken out.
  """
  rest = dict(total)
  for name, item in part.items():
    left = tuple(a - b for a, b in zip(total[name], item, strict=True))
    if any(left):
      rest[name] = left
    else:
      del rest[name]
  return rest
