"""Crashes that this host has withdrawn and still has to tell others of."""

from collections.abc import Iterable
from typing import Protocol

from mulberrypick.core import crash_evidence

# Time for which they are repeated: as long as others repeat recent crashes.
REPEATED_S = 3.0
# Requests in one message; the rest follows in the next ones.
MAX_REQUESTS = 200


class Evidence(Protocol):
  """Evidence from which crashes can be withdrawn."""

  def withdraw(
      self,
      key: crash_evidence.IncarnationKey,
      requests: Iterable[int],
      at: float,
  ) -> set[int]:
    """Withdraws requests from a crash up to a time; returns the new ones."""


class Withdrawals:
  """Withdrawn crashes by incarnation, until all hosts know of them.

  Attributes:
    has_unsent: Whether there is anything new for the next message.
  """

  def __init__(self, evidence: Evidence):
    self.has_unsent = False
    self._evidence = evidence
    # Requests and when they were withdrawn.
    self._by_key: dict[crash_evidence.IncarnationKey, dict[int, float]] = {}

  def withdraw(
      self,
      withdrawal: crash_evidence.Withdrawal,
      is_told: bool,
      now: float,
  ) -> set[int]:
    """Withdraws the involvement of requests in a crash.

    Args:
      withdrawal: The requests and the crash.
      is_told: Whether other hosts are told.
      now: Monotonic time.

    Returns:
      The requests for which this is new.
    """
    key = (withdrawal.endpoint, withdrawal.incarnation)
    at = now - withdrawal.age_s
    withdrawn = self._evidence.withdraw(key, withdrawal.requests, at)
    if withdrawn and is_told:
      self.has_unsent = True
      for request in withdrawn:
        self._by_key.setdefault(key, {})[request] = at
    return withdrawn

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
