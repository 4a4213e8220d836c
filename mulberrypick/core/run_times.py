"""How long requests took lately, by route.

It predicts the longest time that another request of a route is likely to take.
A mean would not do: half of the requests take longer.
"""

import collections
from typing import NamedTuple

# Runs of one route that are remembered.
MAX_RUNS = 64
# Fewer runs predict nothing.
MIN_RUNS = 8
# Routes that are remembered, those of the latest runs.
MAX_ROUTES = 512
# The next run may take longer than all that are remembered.
SAFETY_FACTOR = 1.5


class RunTime(NamedTuple):
  """How long one request took.

  Attributes:
    first_s: Time to the first event of its stream, or to its whole response.
    whole_s: Time to the end of its response.
    event_s: Mean time between two events, 0 if there were fewer than two.
  """

  first_s: float
  whole_s: float
  event_s: float = 0.0


class RunTimes:
  """The times of the latest requests of each route."""

  def __init__(self):
    self._runs_by_route: collections.OrderedDict[
        str, collections.deque[RunTime]
    ] = collections.OrderedDict()

  def record(self, route: str, run: RunTime) -> None:
    """Records a request that ended, also without a response."""
    runs = self._runs_by_route.get(route)
    if runs is None:
      runs = collections.deque(maxlen=MAX_RUNS)
      self._runs_by_route[route] = runs
    self._runs_by_route.move_to_end(route)
    runs.append(run)
    while len(self._runs_by_route) > MAX_ROUTES:
      self._runs_by_route.popitem(last=False)

  def predict_s(
      self, route: str, events: int | None, spent_s: float = 0.0
  ) -> float | None:
    """Returns the longest time that the rest of a request is likely to take.

    Args:
      route: Name of its route.
      events: Events of its stream that are still missing, at most; None if
        that is unknown or it is not a stream.
      spent_s: Time that it has already taken on the way to its first event.

    Returns:
      The time in seconds; None if too few requests were seen.
    """
    runs = self._runs_by_route.get(route, ())
    if len(runs) < MIN_RUNS:
      return None
    longest_s = 0.0
    for run in runs:
      if events is None:
        longest_s = max(longest_s, run.whole_s - spent_s)
        continue
      first_s = max(0.0, run.first_s - spent_s)
      longest_s = max(longest_s, first_s + events * run.event_s)
    return SAFETY_FACTOR * longest_s
