"""Upper bound on the number of hosts that may be running.

Hosts that are not heard may be running: a link may be cut, or a machine may be
too busy to send in time. They stop counting only when the list of hosts in the
store, read later, no longer names them.
"""

from collections.abc import Collection


class HostCount:
  """Counts the hosts that are known, or that were and may be running.

  Attributes:
    is_complete: Whether a list of hosts has been read.
  """

  def __init__(self):
    self.is_complete = False
    self._known_at: dict[str, float] = {}
    self._lists = 0

  def update(
      self,
      known: Collection[str],
      listed: Collection[str],
      lists: int,
      keep_s: float,
      now: float,
  ) -> int:
    """Updates the hosts and returns their number.

    Args:
      known: Names of the hosts that are known now.
      listed: Names in the last list that was read.
      lists: Number of lists that were read so far.
      keep_s: Time for which a host counts after it was last known.
      now: Time on the event loop's clock.
    """
    for name in known:
      self._known_at[name] = now
    if lists > self._lists:
      self._lists = lists
      self.is_complete = True
      for name, known_at in list(self._known_at.items()):
        if name not in listed and now - known_at > keep_s:
          del self._known_at[name]
    return len(self._known_at)
