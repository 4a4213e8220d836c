"""A retry budget that all hosts share without coordination.

The platform limits the retries of the whole system in any time window to a
ratio of the requests plus a fixed number, the slack. Each host uses its part of
the limit: the slack divided by the number of hosts that may be running, and the
ratio of its own requests. A host that does not know that number, or that was
restarted and does not know what it spent before, uses the ratio only.

Retries arrive some time after they are granted, for example after a prefill, so
they count for longer than the window. A process that was paused may still have
to send those that it granted just before.
"""

import collections
from typing import NamedTuple

# Fraction of the allowance that is used; the rest covers hosts that are unknown
# here.
MAX_USED_FRACTION = 0.7
# Longest time from the grant of a retry to its arrival at an endpoint.
MAX_ARRIVAL_DELAY_S = 2.0
# After this time without an update of the hosts, this process was paused.
MAX_UPDATE_INTERVAL_S = 0.65


class Usage(NamedTuple):
  """Use of a host's part of the budget of a service.

  Attributes:
    requests: Number of requests in the window.
    retries: Number of retries in the window.
    slack: This host's part of the slack.
    allowed: Number of retries allowed in the window.
  """

  requests: int
  retries: int
  slack: float
  allowed: float


class _Retry:
  """A retry that was granted.

  Attributes:
    counted_at: Time from which it counts.
    unsent_until: Time until which it may be unsent, on a clock that stands
      still while this process is paused.
  """

  def __init__(self, counted_at: float, unsent_until: float):
    self.counted_at = counted_at
    self.unsent_until = unsent_until


class SharedRetryBudget:
  """Retries of one host, by service, in a sliding window.

  Attributes:
    hosts: Number of hosts that may be running, None if it is unknown.
  """

  def __init__(
      self,
      ratio: float,
      slack: float,
      window_s: float,
      is_first_start: bool = True,
  ):
    """Creates a budget.

    Args:
      ratio: Retries allowed per request.
      slack: Further retries allowed per window, over all hosts.
      window_s: Length of the window.
      is_first_start: Whether the whole system starts for the first time, so
        that no earlier process of this host spent retries.
    """
    self.hosts: int | None = None
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s
    self._is_first_start = is_first_start
    self._started_at: float | None = None
    self._updated_at: float | None = None
    self._requests_by_service: dict[str, collections.deque[float]] = {}
    self._paused_s = 0.0
    self._retries_by_service: dict[str, collections.deque[_Retry]] = {}

  @property
  def retention_s(self) -> float:
    """Time for which a retry counts after it was granted."""
    return self._window_s + MAX_ARRIVAL_DELAY_S

  def reconfigure(self, ratio: float, slack: float, window_s: float) -> None:
    """Changes the limits; requests and retries so far stay counted."""
    self._ratio = ratio
    self._slack = slack
    self._window_s = window_s

  def update_hosts(self, hosts: int | None, now: float) -> None:
    """Updates the number of hosts; called regularly while this process runs."""
    self._handle_pause(now)
    self.hosts = hosts
    self._updated_at = now
    if self._started_at is None:
      self._started_at = now

  def record_request(self, service: str, now: float) -> None:
    """Records a caller's request."""
    times = self._requests_by_service.setdefault(service, collections.deque())
    times.append(now)
    self._drop_older(times, now - self._window_s)

  def forget_request(self, service: str) -> None:
    """Forgets the last request, which another host counts instead."""
    times = self._requests_by_service.get(service)
    if times:
      times.pop()

  def take(self, service: str, now: float, max_fraction: float = 1.0) -> bool:
    """Takes a retry from the budget if one is left.

    Args:
      service: Service that the request would be sent to again.
      now: Time on the event loop's clock.
      max_fraction: Part of the allowance that may be used with this one; less
        than 1 for what only saves time.

    Returns:
      Whether the request may be retried.
    """
    self._handle_pause(now)
    usage = self.usage(service, now)
    if usage.retries + 1 > max_fraction * usage.allowed:
      return False
    unsent_until = now - self._paused_s + MAX_ARRIVAL_DELAY_S
    self._retries_by_service[service].append(_Retry(now, unsent_until))
    return True

  def usage(self, service: str, now: float) -> Usage:
    """Returns how much of the budget of a service is used."""
    retries = self._retries_by_service.setdefault(service, collections.deque())
    while retries and retries[0].counted_at < now - self.retention_s:
      retries.popleft()
    requests = self._requests_by_service.get(service, collections.deque())
    self._drop_older(requests, now - self._window_s)
    slack = self._own_slack(now)
    allowed = MAX_USED_FRACTION * (self._ratio * len(requests) + slack)
    return Usage(len(requests), len(retries), slack, allowed)

  def give_back(self, service: str) -> None:
    """Returns a retry that was taken and not used."""
    retries = self._retries_by_service.get(service)
    if retries:
      retries.pop()

  def _handle_pause(self, now: float) -> None:
    """Counts retries from now if a pause may have delayed their sending."""
    updated_at = self._updated_at
    if updated_at is None or now - updated_at <= MAX_UPDATE_INTERVAL_S:
      return
    ran_until = updated_at - self._paused_s
    for retries in self._retries_by_service.values():
      for retry in retries:
        if retry.unsent_until >= ran_until:
          retry.counted_at = now
    self._paused_s += now - updated_at - MAX_UPDATE_INTERVAL_S
    self._updated_at = now

  def _own_slack(self, now: float) -> float:
    if self.hosts is None or self._started_at is None:
      return 0.0
    if not self._is_first_start and now - self._started_at <= self.retention_s:
      return 0.0
    return self._slack / max(1, self.hosts)

  def _drop_older(
      self, times: collections.deque[float], oldest_at: float
  ) -> None:
    while times and times[0] < oldest_at:
      times.popleft()
