"""One line for each decision that touches a request, within a budget.

Refused and failed requests go before served ones: those are told in full up to
the budget, these only now and then. What was left out is counted, and told.
"""

import logging
from typing import Any

from mulberrypick.adapters import logs

_log = logging.getLogger(__name__)
# Lines of decisions in a second; at 0.1 ms a line this is 0.4% of a core.
MAX_LINES_PER_S = 40
# One served request in so many is told.
SERVED_PER_LOG_LINE = 50


class CallLog:
  """Writes and counts decisions."""

  def __init__(self):
    self.count_by_outcome: dict[tuple[str, str, str], int] = {}
    self._second = 0
    self._lines = 0
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
    """Notes a decision.

    Args:
      outcome: `served`, `refused`, `failed`, `retried`, `left` or `cut`.
      reason: A word that tells why.
      now: Time on the loop's clock.
      route: Name of the route, empty if there is none.
      **fields: The request's id, and the inputs that decided.
    """
    key = (outcome, reason, route)
    self.count_by_outcome[key] = self.count_by_outcome.get(key, 0) + 1
    if outcome == 'served':
      self._served += 1
      if self._served % SERVED_PER_LOG_LINE:
        return
    if int(now) != self._second:
      self._start_second(int(now))
    if self._lines >= MAX_LINES_PER_S:
      self._suppressed += 1
      return
    self._lines += 1
    logs.log_event(
        _log,
        logging.INFO,
        f'call_{outcome}',
        reason=reason,
        route=route,
        **fields,
    )

  def _start_second(self, second: int) -> None:
    if self._suppressed:
      logs.log_event(
          _log, logging.INFO, 'lines_left_out', count=self._suppressed
      )
    self._second = second
    self._lines = 0
    self._suppressed = 0
