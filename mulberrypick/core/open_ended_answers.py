"""Answers whose end was the end of their connection.

Such an answer has neither a length nor chunks. If its endpoint crashes, its end
may look regular. Whether it was complete is known when its endpoint is known to
be alive later, or to have crashed.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import crash_evidence

# Time between the ends of connections of one crash.
CRASH_WINDOW_S = 1.5
# Time after its crash within which the store drops the entry of an endpoint:
# three missed heartbeats of 1.2 s, and the delay of the change.
ENTRY_EXPIRY_S = 6.0
# Longest time between the arrival of data and its processing.
MAX_DATA_DELAY_S = 0.5
MAX_AGE_S = 15.0
MAX_ANSWERS = 2000
MAX_CRASHED = 256


class CompleteAnswer(NamedTuple):
  """An answer that seems to be complete.

  Attributes:
    fingerprint: Hash of the request's content.
    parts: Parts of its prompt that may crash endpoints.
    began_at: When the answer began.
    ended_at: When it ended.
  """

  fingerprint: int
  parts: frozenset[int]
  began_at: float
  ended_at: float


class OpenEndedAnswers:
  """Answers of which it is not known whether they were complete."""

  def __init__(self):
    self._answers_by_key: dict[
        crash_evidence.IncarnationKey, list[CompleteAnswer]
    ] = {}
    self._crashed_at: collections.OrderedDict[
        crash_evidence.IncarnationKey, float
    ] = collections.OrderedDict()
    self._count = 0

  def add(
      self, key: crash_evidence.IncarnationKey, answer: CompleteAnswer
  ) -> bool:
    """Remembers an answer unless its endpoint has just crashed.

    Returns:
      Whether it was remembered. If not, the crash ended it.
    """
    crashed_at = self._crashed_at.get(key, float('-inf'))
    if answer.ended_at - crashed_at <= CRASH_WINDOW_S:
      return False
    if self._count < MAX_ANSWERS:
      self._answers_by_key.setdefault(key, []).append(answer)
      self._count += 1
    return True

  def record_alive(
      self,
      key: crash_evidence.IncarnationKey,
      received_at: float,
      known_since: float,
  ) -> list[CompleteAnswer]:
    """Returns answers that were complete, as their endpoint was alive later.

    Args:
      key: The incarnation.
      received_at: When data of it was received.
      known_since: Time since when it is known to be the same process.
    """

    def is_complete(answer: CompleteAnswer) -> bool:
      ended_at = answer.ended_at
      return known_since <= ended_at < received_at - MAX_DATA_DELAY_S

    return self._take(key, is_complete)

  def record_crash(
      self, key: crash_evidence.IncarnationKey, at: float
  ) -> list[CompleteAnswer]:
    """Returns the answers that a crash ended; forgets the others.

    Args:
      key: The incarnation that crashed.
      at: When another attempt broke off there.
    """
    self._crashed_at.setdefault(key, at)
    if len(self._crashed_at) > MAX_CRASHED:
      self._crashed_at.popitem(last=False)
    return self._take_since(key, at - CRASH_WINDOW_S)

  def record_end(
      self, key: crash_evidence.IncarnationKey, now: float
  ) -> list[CompleteAnswer]:
    """Returns answers that ended with an endpoint that the store dropped."""
    return self._take_since(key, now - ENTRY_EXPIRY_S)

  def expire(self, now: float) -> None:
    """Forgets answers of which nothing became known."""
    for key in list(self._answers_by_key):
      self._take(key, lambda answer: answer.ended_at < now - MAX_AGE_S)

  def _take_since(
      self, key: crash_evidence.IncarnationKey, since: float
  ) -> list[CompleteAnswer]:
    answers = self._take(key, lambda answer: True)
    return [answer for answer in answers if answer.ended_at >= since]

  def _take(
      self,
      key: crash_evidence.IncarnationKey,
      is_taken: Callable[[CompleteAnswer], bool],
  ) -> list[CompleteAnswer]:
    """Removes and returns some answers of an incarnation."""
    taken, kept = [], []
    for answer in self._answers_by_key.pop(key, ()):
      (taken if is_taken(answer) else kept).append(answer)
    if kept:
      self._answers_by_key[key] = kept
    self._count -= len(taken)
    return taken
