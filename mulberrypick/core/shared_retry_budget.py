"""A retry budget that all hosts share without coordination.

The platform limits the retries of the whole system in a time window to a ratio
of the requests plus a fixed number, the slack. Each host uses its part of the
limit: the slack divided by the number of live hosts, and the ratio of its own
requests. Only a fraction of both is used. The rest covers hosts that are
unknown here, and retries that reach an endpoint in a later window than the one
in which they were granted.
"""

import collections
from typing import NamedTuple

# Fraction of the allowance that is used; the rest covers unknown hosts and
# retries that arrive in a later window.
MAX_USED_FRACTION = 0.6


class Usage(NamedTuple):
  """Use of a host's part of the budget of a service.

  Attributes:
    requests: Number of requests in the window.
    retries: Number of retries in the window.
    allowed: Number of retries allowed in the window.
  """

  requests: int
  retries: int
  allowed: float


class SharedRetryBudget:
  """Retries of one host, by service, in a sliding window."""

  def __init__(self, ratio: float, slack: float, window_s: float):
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s
    self._requests_by_service: dict[str, collections.deque[float]] = {}
    self._retries_by_service: dict[str, collections.deque[float]] = {}

  def reconfigure(self, ratio: float, slack: float, window_s: float) -> None:
    """Changes the limits; requests and retries so far stay counted."""
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s

  def record_request(self, service: str, now: float) -> None:
    """Records a caller's request."""
    times = self._requests_by_service.setdefault(service, collections.deque())
    times.append(now)
    self._drop_expired(times, now)

  def take(self, service: str, hosts: int, now: float) -> bool:
    """Takes a retry from the budget if one is left.

    Args:
      service: Service that the request would be sent to again.
      hosts: Number of live hosts, including this one.
      now: Time on the event loop's clock.

    Returns:
      Whether the request may be retried.
    """
    usage = self.usage(service, hosts, now)
    if usage.retries + 1 > usage.allowed:
      return False
    self._retries_by_service[service].append(now)
    return True

  def usage(self, service: str, hosts: int, now: float) -> Usage:
    """Returns how much of the budget of a service is used."""
    retries = self._retries_by_service.setdefault(service, collections.deque())
    self._drop_expired(retries, now)
    requests = self._requests_by_service.get(service, ())
    allowed = self._ratio * len(requests) + self._slack / max(1, hosts)
    return Usage(len(requests), len(retries), MAX_USED_FRACTION * allowed)

  def give_back(self, service: str) -> None:
    """Returns a retry that was taken and not used."""
    retries = self._retries_by_service.get(service)
    if retries:
      retries.pop()

  def _drop_expired(self, times: collections.deque[float], now: float) -> None:
    while times and times[0] < now - self._window_s:
      times.popleft()
