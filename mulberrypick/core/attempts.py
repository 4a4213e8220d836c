"""The attempts under way, and how many each request has had.

Bounded: a request whose caller is gone without a word leaves no trace for
long.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import records
from mulberrypick.core import waiting as waiting_base

MAX_REQUESTS = 20000


class RunningAttempt(NamedTuple):
  """An attempt under way.

  Attributes:
    waiting: The request, as it waited.
    queue: Name of its queue.
    attempt: The attempt.
    is_suspect: Whether it has to run alone for having been in a crash.
    is_prefill: Whether it only prefills, for another attempt to generate.
  """

  waiting: waiting_base.WaitingRequest
  queue: str
  attempt: records.Attempt
  is_suspect: bool
  is_prefill: bool = False


class Attempts:
  """Books of attempts by id, and of counts by request."""

  def __init__(self):
    self.running_by_attempt: dict[str, RunningAttempt] = {}
    self._has_token: set[str] = set()
    self._number_by_request: collections.OrderedDict[str, int] = (
        collections.OrderedDict()
    )
    self._failures_by_request: collections.OrderedDict[str, int] = (
        collections.OrderedDict()
    )

  def next_id(self, request_id: str) -> str:
    """Returns the id of a request's next attempt."""
    number = _count(self._number_by_request, request_id)
    return f'{request_id}/{number}'

  def add(self, running: RunningAttempt) -> None:
    """Adds an attempt that starts."""
    self.running_by_attempt[running.attempt.attempt_id] = running

  def record_first_token(self, attempt_id: str) -> RunningAttempt | None:
    """Notes an attempt's first token; None for one that is over."""
    running = self.running_by_attempt.get(attempt_id)
    if running is not None:
      self._has_token.add(attempt_id)
    return running

  def remove(self, attempt_id: str) -> RunningAttempt | None:
    """Removes an attempt that ended; None for an unknown one."""
    return self.running_by_attempt.pop(attempt_id, None)

  def pop_has_token(self, attempt_id: str) -> bool:
    """Tells, once, whether an attempt gave a token."""
    has_token = attempt_id in self._has_token
    self._has_token.discard(attempt_id)
    return has_token

  def record_failure(self, request_id: str) -> None:
    """Counts an attempt that broke off."""
    _count(self._failures_by_request, request_id)

  def failures(self, request_id: str) -> int:
    """Returns how many attempts of a request broke off."""
    return self._failures_by_request.get(request_id, 0)

  def forget(self, request_id: str) -> None:
    """Forgets the counts of a request that is over."""
    self._number_by_request.pop(request_id, None)
    self._failures_by_request.pop(request_id, None)

  def suspect_endpoints(self) -> tuple[str, ...]:
    """Returns the endpoints that run a suspect."""
    endpoints = set()
    for running in self.running_by_attempt.values():
      if running.is_suspect:
        endpoints.add(running.attempt.endpoint)
    return tuple(sorted(endpoints))

  def is_suspect_running(self, fingerprint: int) -> bool:
    """Tells whether a suspect of this content is being tried."""
    for running in self.running_by_attempt.values():
      if running.is_suspect and running.waiting.fingerprint == fingerprint:
        return True
    return False


def _count(count_by_request: collections.OrderedDict, request_id: str) -> int:
  count = count_by_request.get(request_id, 0) + 1
  count_by_request[request_id] = count
  if len(count_by_request) > MAX_REQUESTS:
    count_by_request.popitem(last=False)
  return count
