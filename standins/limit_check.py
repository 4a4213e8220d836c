"""Checks the requests that an endpoint got while it named a limit."""

from collections.abc import Iterable
from typing import NamedTuple

WINDOW_S = 4.0
# A host may send on for this long after the first answer with the limit that it
# passed on.
TOLD_MARGIN_S = 0.5
MAX_LIMIT_FACTOR = 1.5
# Requests per window beyond those that the limit allows.
EXTRA_REQUESTS = 5


class Arrival(NamedTuple):
  """A request at a limited endpoint.

  Attributes:
    at: When it arrived (s).
    host: Name of the host that sent it.
  """

  at: float
  host: str


def allowed_requests(limit: float) -> float:
  """Returns how many requests may arrive in a window, given the limit."""
  return MAX_LIMIT_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS


def count_worst_window(
    arrivals: Iterable[Arrival],
    told_at_by_host: dict[str, float],
    checked_from: float,
) -> int:
  """Returns the largest number of counted requests in a window.

  Args:
    arrivals: The requests.
    told_at_by_host: When each host passed on its first answer with the limit.
    checked_from: Windows that end earlier are ignored.
  """
  times = []
  for arrival in arrivals:
    told_at = told_at_by_host.get(arrival.host)
    if told_at is not None and arrival.at >= told_at + TOLD_MARGIN_S:
      times.append(arrival.at)
  times.sort()
  worst, first = 0, 0
  for number, at in enumerate(times):
    while times[first] < at - WINDOW_S:
      first += 1
    if at >= checked_from:
      worst = max(worst, number - first + 1)
  return worst
