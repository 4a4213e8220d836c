"""Logs how this host's part of the retry budget is used."""

import logging

from mulberrypick.adapters import logs
from mulberrypick.core import shared_retry_budget

_log = logging.getLogger(__name__)
# Shortest interval between two lines for a service.
LOG_INTERVAL_S = 1.0


class _Counts:

  def __init__(self):
    self.taken = 0
    self.returned = 0
    self.denied = 0
    self.logged_at = float('-inf')


class RetryLog:
  """Counts retries by service, and logs the counts at a limited rate.

  Attributes:
    taken: Number of retries taken from the budget since the start, without
      those that were returned.
    denied: Number of retries denied since the start.
  """

  def __init__(self, budget: shared_retry_budget.SharedRetryBudget):
    self._budget = budget
    self._counts_by_service: dict[str, _Counts] = {}
    self.taken = 0
    self.denied = 0

  def record(self, service: str, is_taken: bool) -> None:
    """Counts a retry that was taken from the budget or denied."""
    counts = self._counts_by_service.setdefault(service, _Counts())
    counts.taken += is_taken
    counts.denied += not is_taken
    self.taken += is_taken
    self.denied += not is_taken

  def record_returned(self, service: str) -> None:
    """Counts a retry that was taken and not used."""
    counts = self._counts_by_service.setdefault(service, _Counts())
    counts.returned += 1
    self.taken -= 1

  def log_changes(self, now: float) -> None:
    """Logs the services with new counts whose last line is old enough."""
    for service, counts in self._counts_by_service.items():
      if not (counts.taken or counts.returned or counts.denied):
        continue
      if now - counts.logged_at < LOG_INTERVAL_S:
        continue
      usage = self._budget.usage(service, now)
      logs.log_event(
          _log,
          logging.INFO,
          'retry_budget',
          service=service,
          taken=counts.taken,
          returned=counts.returned,
          denied=counts.denied,
          hosts=self._budget.hosts,
          slack=round(usage.slack, 2),
          requests=usage.requests,
          retries=usage.retries,
          allowed=round(usage.allowed, 2),
      )
      counts.taken = counts.returned = counts.denied = 0
      counts.logged_at = now
