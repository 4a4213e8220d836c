"""Logs decisions on requests at a limited rate.

Each kind of decision that is rare and matters to its caller has lines of its
own, which a flood of another kind can't take. The rest is shared in the order
of arrival. Served requests are sampled. The number of suppressed lines is
logged by kind.
"""

import collections
import logging
from typing import Any

from mulberrypick.adapters import logs
from mulberrypick.ops import stop_guard

_log = logging.getLogger(__name__)
# Limits the time spent on logging: at 0.1 ms per line, 0.6% of a core.
MAX_LINES_PER_S = 60
# Lines per second out of `MAX_LINES_PER_S` that only one outcome may use.
RESERVED_LINES_BY_OUTCOME = {
    'cut': 12,
    'failed': 8,
    'broke': 6,
    'waited': 3,
    'moved': 3,
    'retried': 2,
    'left': 1,
    'resumed': 1,
    'passed_on': 4,
    'taken': 4,
    'undelivered': 4,
}
SHARED_LINES_PER_S = MAX_LINES_PER_S - sum(RESERVED_LINES_BY_OUTCOME.values())
# One in this many served requests is logged.
SERVED_PER_LOG_LINE = 50
# Reason of a stream that was served whole, with a pause longer than its route
# allows. Each of them is logged.
SLOW_STREAM = 'slow_stream'


# Outcomes of requests that a stop ends or refuses. Their lines have a limit of
# their own: so many of each outcome in the life of a process.
ENDED_OUTCOMES = ('refused', 'failed', 'cut', 'undelivered', 'unreceived')
MAX_STOP_LINES = 1000


class CallLog:
  """Logs and counts decisions on requests.

  Attributes:
    count_by_outcome: Number of decisions by outcome, reason and route.
  """

  def __init__(self):
    self.count_by_outcome: dict[tuple[str, str, str], int] = {}
    self._second = 0
    self._shared_lines = 0
    self._reserved_lines: collections.Counter[str] = collections.Counter()
    self._suppressed: collections.Counter[str] = collections.Counter()
    self._stop_lines: collections.Counter[str] = collections.Counter()
    self._served = 0

  def record(
      self,
      outcome: str,
      reason: str,
      now: float,
      route: str,
      **fields: Any,
  ) -> None:
    """Counts a decision, and logs it unless the rate limit is reached.

    Args:
      outcome: `served`, `refused`, `failed`, `retried`, `left`, `cut`,
        `broke` for an attempt whose connection to the endpoint broke off,
        `waited` or `moved` for one whose endpoint is silent, `resumed` for a
        stream that its caller takes up, `passed_on` for a request that
        another host answered, `taken` for one of another host,
        `undelivered` for a response that did not reach its caller whole, or
        `unreceived` for a request that did not reach this host whole.
      reason: Identifier of the cause.
      now: Time on the event loop's clock.
      route: Name of the route, empty if there is none.
      **fields: The request's id and the inputs of the decision, to be logged.
    """
    key = (outcome, reason, route)
    self.count_by_outcome[key] = self.count_by_outcome.get(key, 0) + 1
    if outcome == 'served' and reason != SLOW_STREAM:
      self._served += 1
      if self._served % SERVED_PER_LOG_LINE:
        return
    if int(now) != self._second:
      self._start_second(int(now))
    is_by_stop = reason in stop_guard.REASONS and outcome in ENDED_OUTCOMES
    if not (is_by_stop and self._take_stop_line(outcome)) and (
        not self._take_line(outcome)
    ):
      self._suppressed[outcome] += 1
      return
    logs.log_event(
        _log,
        logging.INFO,
        f'call_{outcome}',
        reason=reason,
        route=route,
        **fields,
    )

  def count_ended_by_stop(self) -> dict[str, int]:
    """Returns how many requests a stop ended or refused, by outcome."""
    count_by_outcome = dict.fromkeys(ENDED_OUTCOMES, 0)
    for (outcome, reason, _), count in self.count_by_outcome.items():
      if reason in stop_guard.REASONS and outcome in count_by_outcome:
        count_by_outcome[outcome] += count
    return count_by_outcome

  def _take_stop_line(self, outcome: str) -> bool:
    """Returns whether a line about a stop may be logged, and uses it up."""
    if self._stop_lines[outcome] >= MAX_STOP_LINES:
      return False
    self._stop_lines[outcome] += 1
    return True

  def _take_line(self, outcome: str) -> bool:
    """Returns whether a line may be logged, and uses it up."""
    reserved = RESERVED_LINES_BY_OUTCOME.get(outcome, 0)
    if self._reserved_lines[outcome] < reserved:
      self._reserved_lines[outcome] += 1
      return True
    if self._shared_lines < SHARED_LINES_PER_S:
      self._shared_lines += 1
      return True
    return False

  def report_left_out(self) -> None:
    """Logs how many lines were left out; called when no decision may follow."""
    if self._suppressed:
      logs.log_event(
          _log,
          logging.INFO,
          'lines_left_out',
          count=self._suppressed.total(),
          **self._suppressed,
      )
    self._suppressed.clear()

  def _start_second(self, second: int) -> None:
    self.report_left_out()
    self._second = second
    self._shared_lines = 0
    self._reserved_lines.clear()


def format_hash(fingerprint: int) -> str:
  """Returns the fingerprint of a request as it is logged, 16 hex digits."""
  return f'{fingerprint:016x}'
