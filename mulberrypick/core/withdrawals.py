"""Crashes that this host has withdrawn and still has to tell others of."""

from mulberrypick.core import crash_evidence

# Time for which they are repeated: as long as others repeat recent crashes.
REPEATED_S = 3.0
# Requests in one message; the rest follows in the next ones.
MAX_REQUESTS = 200


class Withdrawals:
  """Withdrawn crashes by incarnation, until all hosts know of them.

  Attributes:
    has_unsent: Whether there is anything new for the next message.
  """

  def __init__(self):
    self.has_unsent = False
    # Requests and when they were withdrawn.
    self._by_key: dict[crash_evidence.IncarnationKey, dict[int, float]] = {}

  def add(
      self,
      key: crash_evidence.IncarnationKey,
      requests: set[int],
      at: float,
  ) -> None:
    """Adds requests whose involvement in a crash was withdrawn."""
    self.has_unsent = True
    known = self._by_key.setdefault(key, {})
    for request in requests:
      known[request] = at

  def take(
      self, is_repeat: bool, now: float
  ) -> tuple[crash_evidence.Withdrawal, ...]:
    """Returns the withdrawals for the next message.

    Args:
      is_repeat: Whether those that were sent before are due again.
      now: Monotonic time.
    """
    if not self.has_unsent and not is_repeat:
      return ()
    self.has_unsent = False
    taken = []
    room = MAX_REQUESTS
    for key, at_by_request in list(self._by_key.items()):
      for request, at in list(at_by_request.items()):
        if at < now - REPEATED_S:
          del at_by_request[request]
      if not at_by_request:
        del self._by_key[key]
        continue
      requests = tuple(at_by_request)[:room]
      room -= len(requests)
      if requests:
        age_s = round(now - max(at_by_request.values()), 3)
        taken.append(crash_evidence.Withdrawal(*key, age_s, requests))
    return tuple(taken)
