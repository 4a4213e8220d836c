"""Limits on the requests per second that endpoints name in their responses.

An endpoint in need names a limit, which holds for all hosts together, in each
response for as long as it applies. Hosts tell each other what they learned. Of
two observations of an incarnation the later one holds.

Responses overtake each other, and the time at which one was written is unknown:
it lies between the send of the request and the arrival of the response. A limit
counts as observed when the response arrived, its absence as observed when the
request was sent. So an old response without a limit ends no newer limit.
"""

from typing import NamedTuple

REPEAT_INTERVAL_S = 1.0
# Observations without a limit are kept for this long, so that hosts which still
# hold the limit are corrected.
KEEP_ENDED_S = 10.0
# Smallest relative change of a limit that is logged, and told to other hosts at
# once. An endpoint may name a slightly different limit in each response.
MIN_NOTABLE_CHANGE = 0.1


class Limit(NamedTuple):
  """The last observation of a limit.

  Attributes:
    rate: Requests per second from all hosts; None if there is no limit.
    at: When it was observed, monotonic time.
    source: Name of the host that observed it, empty for this one.
  """

  rate: float | None
  at: float
  source: str


class LimitReport(NamedTuple):
  """An observation of a limit, as hosts report it to each other.

  Attributes:
    endpoint: Name of the endpoint.
    started_ms: Its incarnation.
    rate: Requests per second from all hosts; None if there is no limit.
    age_s: Time since the observation. Hosts share no clock.
  """

  endpoint: str
  started_ms: int
  rate: float | None
  age_s: float


class EndpointLimits:
  """Limits by incarnation, and the reports to other hosts."""

  def __init__(self):
    self._limit_by_incarnation: dict[tuple[str, int], Limit] = {}
    self._unsent: set[tuple[str, int]] = set()
    self._repeated_at = float('-inf')

  def rate(self, incarnation: tuple[str, int]) -> float | None:
    """Returns the limit of an incarnation, None if it has none."""
    limit = self._limit_by_incarnation.get(incarnation)
    return None if limit is None else limit.rate

  def limited(self) -> list[tuple[str, int]]:
    """Returns the incarnations that have a limit."""
    limited = []
    for incarnation, limit in self._limit_by_incarnation.items():
      if limit.rate is not None:
        limited.append(incarnation)
    return limited

  def observe(self, incarnation: tuple[str, int], limit: Limit) -> bool:
    """Records an observation; returns whether the limit changed notably."""
    old = self._limit_by_incarnation.get(incarnation)
    if old is None and limit.rate is None:
      return False
    if old is not None and limit.at <= old.at:
      return False
    self._limit_by_incarnation[incarnation] = limit
    is_changed = _is_notable(None if old is None else old.rate, limit.rate)
    if is_changed:
      self._unsent.add(incarnation)
    return is_changed

  def merge(
      self, report: LimitReport, source: str, is_forwarded: bool, now: float
  ) -> bool:
    """Merges what another host reports; returns whether it changed notably.

    Args:
      report: What the host reports.
      source: Name of the host.
      is_forwarded: Whether this host forwards it, as a relay does.
      now: Monotonic time.
    """
    incarnation = (report.endpoint, report.started_ms)
    was_unsent = incarnation in self._unsent
    limit = Limit(report.rate, now - report.age_s, source)
    is_changed = self.observe(incarnation, limit)
    if not is_forwarded and not was_unsent:
      self._unsent.discard(incarnation)
    return is_changed

  def has_unsent(self) -> bool:
    """Returns whether there is anything new for the next message."""
    return bool(self._unsent)

  def take_reports(self, now: float) -> list[LimitReport]:
    """Returns the reports for the next message to other hosts.

    New observations are reported at once. All are repeated, for hosts that
    missed them or started later.
    """
    selected = list(self._unsent)
    if now - self._repeated_at >= REPEAT_INTERVAL_S:
      self._repeated_at = now
      self._drop_ended(now)
      selected = list(self._limit_by_incarnation)
    self._unsent.clear()
    reports = []
    for incarnation in selected:
      report = self.report(incarnation, now)
      if report is not None:
        reports.append(report)
    return reports

  def report(
      self, incarnation: tuple[str, int], now: float
  ) -> LimitReport | None:
    """Returns the report of an incarnation, None if nothing is known."""
    limit = self._limit_by_incarnation.get(incarnation)
    if limit is None:
      return None
    return LimitReport(*incarnation, limit.rate, round(now - limit.at, 3))

  def prune(self, incarnations: set[tuple[str, int]]) -> None:
    """Drops the limits of incarnations that are not in a set."""
    for incarnation in list(self._limit_by_incarnation):
      if incarnation not in incarnations:
        del self._limit_by_incarnation[incarnation]
        self._unsent.discard(incarnation)

  def _drop_ended(self, now: float) -> None:
    for incarnation, limit in list(self._limit_by_incarnation.items()):
      if limit.rate is None and now - limit.at > KEEP_ENDED_S:
        del self._limit_by_incarnation[incarnation]


def _is_notable(old: float | None, new: float | None) -> bool:
  if old is None or new is None:
    return old != new
  return abs(new - old) > MIN_NOTABLE_CHANGE * old
