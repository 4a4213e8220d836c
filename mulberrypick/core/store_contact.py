"""Tells an outage of the store from a connection that went silent.

Entries of endpoints expire if their endpoints can't reach the store for some
heartbeats. If this host lacked answers for a shorter time, none can have
expired, whatever the cause was: an entry that is missing then has left.
"""

from collections.abc import Callable

# Heartbeats of an endpoint that must be missing until its entry expires. The
# last one may have been due right after the store's last answer.
EXPIRY_HEARTBEATS = 3


class StoreContact:
  """When the store answered this host last, over all of its clients.

  Attributes:
    heartbeat_s: Interval at which endpoints write their entries.
    is_doubtful: Whether a call failed or is late since the last answer.
  """

  def __init__(self, heartbeat_s: float):
    """Creates the contact.

    Args:
      heartbeat_s: Interval at which endpoints write their entries.
    """
    self.heartbeat_s = heartbeat_s
    self._answered_at: float | None = None
    self.is_doubtful = False
    self._on_back: Callable[[float], None] = lambda away_s: None

  def set_callback(self, on_back: Callable[[float], None]) -> None:
    """Sets what is called with the length of an outage once it has ended."""
    self._on_back = on_back

  def record_doubt(self) -> None:
    """Records that a call failed or is late."""
    self.is_doubtful = True

  def record_answer(self, now: float) -> None:
    """Records an answer, before anything in it is handled.

    Args:
      now: Time on a clock that runs while the host is suspended.
    """
    before, self._answered_at = self._answered_at, now
    was_doubtful, self.is_doubtful = self.is_doubtful, False
    if before is None or not was_doubtful:
      return
    if now - before >= self._limit_s:
      self._on_back(now - before)

  def is_lost(self, now: float) -> bool:
    """Returns whether entries may have expired since the last answer."""
    if self._answered_at is None:
      return True
    return now - self._answered_at >= self._limit_s

  @property
  def _limit_s(self) -> float:
    return (EXPIRY_HEARTBEATS - 1) * self.heartbeat_s
