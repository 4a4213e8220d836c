"""The attempts in flight, and the number of attempts of each request.

The counts are bounded, as a request whose caller disappears may never be
reported as ended.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import records
from mulberrypick.core import waiting as waiting_base

MAX_REQUESTS = 20000


class RunningAttempt(NamedTuple):
  """An attempt in flight.

  Attributes:
    waiting: The request as it was queued.
    queue: Name of its queue.
    attempt: The attempt.
    is_suspect: Whether the request was part of a crash and runs in isolation.
    is_prefill: Whether it only prefills the prompt for another attempt.
  """

  waiting: waiting_base.WaitingRequest
  queue: str
  attempt: records.Attempt
  is_suspect: bool
  is_prefill: bool = False


class Attempts:
  """Attempts by attempt id, and counts of attempts by request id."""

  def __init__(self):
    self.running_by_attempt: dict[str, RunningAttempt] = {}
    self._attempts_with_token: set[str] = set()
    self._attempts_by_request: collections.OrderedDict[str, int] = (
        collections.OrderedDict()
    )
    self._failures_by_request: collections.OrderedDict[str, int] = (
        collections.OrderedDict()
    )

  def next_id(self, request_id: str) -> str:
    """Returns the id of a request's next attempt."""
    number = _count(self._attempts_by_request, request_id)
    return f'{request_id}/{number}'

  def add(self, running: RunningAttempt) -> None:
    """Adds a started attempt."""
    self.running_by_attempt[running.attempt.attempt_id] = running

  def record_first_token(self, attempt_id: str) -> RunningAttempt | None:
    """Records an attempt's first token; returns None if it has ended."""
    running = self.running_by_attempt.get(attempt_id)
    if running is not None:
      self._attempts_with_token.add(attempt_id)
    return running

  def remove(self, attempt_id: str) -> RunningAttempt | None:
    """Removes an attempt that ended; returns None for an unknown one."""
    return self.running_by_attempt.pop(attempt_id, None)

  def pop_has_token(self, attempt_id: str) -> bool:
    """Returns whether an attempt generated a token, and forgets it."""
    has_token = attempt_id in self._attempts_with_token
    self._attempts_with_token.discard(attempt_id)
    return has_token

  def record_failure(self, request_id: str) -> None:
    """Counts a failed attempt of a request."""
    _count(self._failures_by_request, request_id)

  def failures(self, request_id: str) -> int:
    """Returns the number of failed attempts of a request."""
    return self._failures_by_request.get(request_id, 0)

  def forget(self, request_id: str) -> None:
    """Drops the counts of a request that ended."""
    self._attempts_by_request.pop(request_id, None)
    self._failures_by_request.pop(request_id, None)

  def suspect_endpoints(self) -> tuple[str, ...]:
    """Returns the names of the endpoints that run a suspect, sorted."""
    endpoints = set()
    for running in self.running_by_attempt.values():
      if running.is_suspect:
        endpoints.add(running.attempt.endpoint)
    return tuple(sorted(endpoints))

  def is_suspect_running(self, fingerprint: int) -> bool:
    """Returns whether a suspect with this fingerprint is running."""
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
