"""How long requests took lately, by route, service and size.

It predicts the longest time that another request is likely to take. A mean
would not do: half of the requests take longer. Requests of one route that
differ in size, or that a configuration sent to different services, say little
about each other.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

# Runs of one size that are remembered.
MAX_RUNS = 64
# Fewer runs predict nothing.
MIN_RUNS = 8
# Sizes of requests that are remembered, those of the latest runs.
MAX_SIZES = 512
# The next run may take longer than all that are remembered.
SAFETY_FACTOR = 1.5


class Work(NamedTuple):
  """What a request asks for.

  Attributes:
    route: Name of its route.
    service: Name of the service that it is sent to.
    prompt_tokens: Tokens of its prompt, 0 if unknown.
    output_tokens: Largest number of tokens to generate, 0 if unknown.
  """

  route: str
  service: str
  prompt_tokens: int = 0
  output_tokens: int = 0


class RunTime(NamedTuple):
  """How long one request took.

  Attributes:
    first_s: Time to the first event of its stream, or to its whole response.
    whole_s: Time to the end of its response.
    event_s: Mean time between two events, 0 if there were fewer than two.
    is_served: Whether it got its whole response. Others show only that a
      request may take as long.
  """

  first_s: float
  whole_s: float
  event_s: float = 0.0
  is_served: bool = True

  def rest_s(self, events: int | None, spent_s: float) -> float:
    """Returns the time that the rest of a request like this one takes.

    Args:
      events: Events of its stream that are still missing, at most; None if
        that is unknown or it is not a stream.
      spent_s: Time of that to the first event which has passed.
    """
    if events is None:
      return self.whole_s - spent_s
    return max(0.0, self.first_s - spent_s) + events * self.event_s


class _Size(NamedTuple):
  """Requests of similar size; each step of a class is a factor of four."""

  route: str
  service: str
  prompt_class: int
  output_class: int

  def covers(self, other: '_Size') -> bool:
    """Returns whether these requests take at least as long as others."""
    return (
        self[:2] == other[:2]
        and self.prompt_class >= other.prompt_class
        and self.output_class >= other.output_class
    )


class RunTimes:
  """The times of the latest requests of each size."""

  def __init__(self):
    self._runs_by_size: collections.OrderedDict[
        _Size, collections.deque[RunTime]
    ] = collections.OrderedDict()

  def record(self, work: Work, run: RunTime) -> None:
    """Records a request that ended, also without a response."""
    size = _classify(work)
    runs = self._runs_by_size.get(size)
    if runs is None:
      runs = collections.deque(maxlen=MAX_RUNS)
      self._runs_by_size[size] = runs
    self._runs_by_size.move_to_end(size)
    runs.append(run)
    while len(self._runs_by_size) > MAX_SIZES:
      self._runs_by_size.popitem(last=False)

  def predict_s(
      self,
      work: Work,
      events: int | None,
      spent_s: float = 0.0,
      may_be_larger: bool = False,
  ) -> float | None:
    """Returns the longest time that the rest of a request is likely to take.

    Args:
      work: The request.
      events: Events of its stream that are still missing, at most; None if
        that is unknown or it is not a stream.
      spent_s: Time of that to its first event which has passed.
      may_be_larger: Whether smaller requests may predict it if too few of its
        size were seen.

    Returns:
      The time in seconds; None if too few requests were seen.
    """
    for runs in self._iterate_runs(_classify(work), may_be_larger):
      if _are_enough(runs, events):
        longest_s = max(run.rest_s(events, spent_s) for run in runs)
        return SAFETY_FACTOR * max(0.0, longest_s)
    return None

  def _iterate_runs(
      self, size: _Size, may_be_larger: bool
  ) -> Iterator[list[RunTime]]:
    """Returns the runs that say most about a size, and then more of them."""
    yield list(self._runs_by_size.get(size, ()))
    yield self._collect_runs(lambda other: other.covers(size))
    if may_be_larger:
      yield self._collect_runs(lambda other: other[:2] == size[:2])

  def _collect_runs(self, is_alike: Callable[[_Size], bool]) -> list[RunTime]:
    found = []
    for size, runs in self._runs_by_size.items():
      if is_alike(size):
        found += runs
    return found


def _are_enough(runs: Iterable[RunTime], events: int | None) -> bool:
  """Returns whether runs tell how long a request with missing events takes."""
  needs_pace = events is not None and events > 1
  known = 0
  for run in runs:
    if run.is_served and (run.event_s or not needs_pace):
      known += 1
  return known >= MIN_RUNS


def _classify(work: Work) -> _Size:
  return _Size(
      work.route,
      work.service,
      (work.prompt_tokens.bit_length() + 1) // 2,
      (work.output_tokens.bit_length() + 1) // 2,
  )
