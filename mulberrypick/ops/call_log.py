"""Logs decisions on requests at a limited rate.

Requests that are not served have precedence over served ones: they are all
logged up to the rate limit, while served requests are sampled. Refusals can use
up the limit, so answers that were given up have a limit of their own. The
number of suppressed lines is logged.
"""

import logging
from typing import Any

from mulberrypick.adapters import logs

_log = logging.getLogger(__name__)
# Limits the time spent on logging: at 0.1 ms per line, 0.4% of a core.
MAX_LINES_PER_S = 40
# Outcomes of requests that endpoints had received, and their own limit.
GIVEN_UP_OUTCOMES = ('cut', 'failed', 'broke', 'waited', 'moved')
MAX_GIVEN_UP_LINES_PER_S = 40
# One in this many served requests is logged.
SERVED_PER_LOG_LINE = 50


class CallLog:
  """Logs and counts decisions on requests.

  Attributes:
    count_by_outcome: Number of decisions by outcome, reason and route.
  """

  def __init__(self):
    self.count_by_outcome: dict[tuple[str, str, str], int] = {}
    self._second = 0
    self._lines = 0
    self._given_up_lines = 0
    self._suppressed = 0
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
        `waited` or `moved` for one whose endpoint is silent, or `resumed` for a
        stream that its caller takes up.
      reason: Identifier of the cause.
      now: Time on the event loop's clock.
      route: Name of the route, empty if there is none.
      **fields: The request's id and the inputs of the decision, to be logged.
    """
    key = (outcome, reason, route)
    self.count_by_outcome[key] = self.count_by_outcome.get(key, 0) + 1
    if outcome == 'served':
      self._served += 1
      if self._served % SERVED_PER_LOG_LINE:
        return
    if int(now) != self._second:
      self._start_second(int(now))
    if not self._may_log(outcome):
      self._suppressed += 1
      return
    logs.log_event(
        _log,
        logging.INFO,
        f'call_{outcome}',
        reason=reason,
        route=route,
        **fields,
    )

  def _may_log(self, outcome: str) -> bool:
    if outcome in GIVEN_UP_OUTCOMES:
      self._given_up_lines += 1
      return self._given_up_lines <= MAX_GIVEN_UP_LINES_PER_S
    self._lines += 1
    return self._lines <= MAX_LINES_PER_S

  def _start_second(self, second: int) -> None:
    if self._suppressed:
      logs.log_event(
          _log, logging.INFO, 'lines_left_out', count=self._suppressed
      )
    self._second = second
    self._lines = 0
    self._given_up_lines = 0
    self._suppressed = 0


def format_hash(fingerprint: int) -> str:
  """Returns the fingerprint of a request as it is logged, 16 hex digits."""
  return f'{fingerprint:016x}'
