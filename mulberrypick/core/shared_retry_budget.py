"""A retry budget that all hosts share without asking each other.

Each host takes a part of what the platform allows the whole system: the slack
divided by the hosts that live, and the share of its own requests. A part of
both is left, for hosts that are not heard of and for retries that reach an
endpoint in another window than the one in which they were granted.
"""

import collections

# Part of the allowance that is used; the rest covers hosts not heard of.
MAX_USED_FRACTION = 0.6


class SharedRetryBudget:
  """Retries of one host, by service, in a sliding window."""

  def __init__(self, ratio: float, slack: float, window_s: float):
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s
    self._requests_by_service: dict[str, collections.deque[float]] = {}
    self._retries_by_service: dict[str, collections.deque[float]] = {}

  def reconfigure(self, ratio: float, slack: float, window_s: float) -> None:
    """Puts other bounds in force; what was used stays counted."""
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s

  def record_request(self, service: str, now: float) -> None:
    """Notes a caller's request."""
    times = self._requests_by_service.setdefault(service, collections.deque())
    times.append(now)
    self._forget(times, now)

  def take(self, service: str, hosts: int, now: float) -> bool:
    """Takes a retry out, if there is one.

    Args:
      service: Where the request would be sent again.
      hosts: Hosts that live, this one among them.
      now: Time on the loop's clock.
    """
    retries = self._retries_by_service.setdefault(service, collections.deque())
    self._forget(retries, now)
    requests = self._requests_by_service.get(service, ())
    allowed = self._ratio * len(requests) + self._slack / max(1, hosts)
    if len(retries) + 1 > MAX_USED_FRACTION * allowed:
      return False
    retries.append(now)
    return True

  def _forget(self, times: collections.deque[float], now: float) -> None:
    while times and times[0] < now - self._window_s:
      times.popleft()
