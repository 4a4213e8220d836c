"""Attempts without an answer on endpoints that may have crashed silently.

An endpoint whose machine loses power, or that is cut off, breaks off no
connection: its attempts end by a time limit or because their callers leave.
Whether it crashed is known only when the store drops its entry. Until then its
unanswered attempts are remembered.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import crash_evidence

# Entries of endpoints expire after three missed heartbeats of 1.2 s, and later
# if the store is down.
MAX_AGE_S = 15.0
MAX_ATTEMPTS = 2000
MAX_ENDED = 256


class UnansweredAttempt(NamedTuple):
  """An attempt that was given up.

  Attributes:
    fingerprint: Hash of the request's content.
    has_token: Whether a part of the answer had arrived.
    ended_at: When it was given up.
    parts: Parts of its prompt that may crash endpoints.
  """

  fingerprint: int
  has_token: bool
  ended_at: float
  parts: frozenset[int] = frozenset()


class UnansweredAttempts:
  """Unanswered attempts of this host by incarnation of the endpoint."""

  def __init__(self):
    self._attempts_by_key: dict[
        crash_evidence.IncarnationKey, list[UnansweredAttempt]
    ] = {}
    self._ended: collections.OrderedDict[
        crash_evidence.IncarnationKey, None
    ] = collections.OrderedDict()
    self._count = 0

  def add(
      self, key: crash_evidence.IncarnationKey, attempt: UnansweredAttempt
  ) -> bool:
    """Remembers an attempt unless its endpoint has already ended.

    Returns:
      Whether it was remembered. If not, the endpoint crashed during it.
    """
    if key in self._ended:
      return False
    self._expire(attempt.ended_at)
    if self._count < MAX_ATTEMPTS:
      self._attempts_by_key.setdefault(key, []).append(attempt)
      self._count += 1
    return True

  def record_response(
      self, key: crash_evidence.IncarnationKey, connected_at: float
  ) -> None:
    """Forgets attempts after which the endpoint was alive.

    An endpoint that was cut off from the store may respond after its end.

    Args:
      key: The incarnation that is expected to respond.
      connected_at: When the connection was opened. The endpoint may have
        restarted since then only if the connection is newer than the attempt.
    """
    self._ended.pop(key, None)
    attempts = self._attempts_by_key.get(key)
    if attempts is None:
      return
    kept = [a for a in attempts if a.ended_at <= connected_at]
    self._replace(key, kept)

  def drop_since(self, since: float) -> None:
    """Forgets the attempts that ended since a time."""
    for key, attempts in list(self._attempts_by_key.items()):
      self._replace(key, [a for a in attempts if a.ended_at < since])

  def record_end(
      self, key: crash_evidence.IncarnationKey, now: float
  ) -> list[UnansweredAttempt]:
    """Returns the attempts on an incarnation that ended unplanned."""
    self._expire(now)
    attempts = self._attempts_by_key.get(key, [])
    self._replace(key, [])
    self._ended[key] = None
    if len(self._ended) > MAX_ENDED:
      self._ended.popitem(last=False)
    return attempts

  def _expire(self, now: float) -> None:
    for key, attempts in list(self._attempts_by_key.items()):
      if attempts[0].ended_at < now - MAX_AGE_S:
        kept = [a for a in attempts if a.ended_at >= now - MAX_AGE_S]
        self._replace(key, kept)

  def _replace(
      self,
      key: crash_evidence.IncarnationKey,
      attempts: list[UnansweredAttempt],
  ) -> None:
    self._count += len(attempts) - len(self._attempts_by_key.pop(key, ()))
    if attempts:
      self._attempts_by_key[key] = attempts
