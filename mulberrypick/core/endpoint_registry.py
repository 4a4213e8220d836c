"""What is believed of the endpoints: listed, leaving, gone or suspected.

Three sources speak: the platform's list, other hosts, and the endpoints' own
answers. The earliest sign of leaving wins and holds for that incarnation for
good. Silence of the store changes nothing; entries that lapsed while it was
away have `STORE_RECOVERY_S` after its return to come back.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records

# Entries that lapsed during an outage of the store are back this long after
# it: the platform states about two seconds.
STORE_RECOVERY_S = 2.0
# After failures in a row an endpoint gets no new work for this long (s), and
# twice as long after each further one, up to the most.
MIN_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# Failures in a row that suspend it: one may be the request's own fault. One
# connection that can't be opened is enough: no request has part in that.
FAILURES_TO_SUSPEND = 2
# Incarnations that are remembered as leaving.
MAX_LEAVING = 512
# A leaving endpoint is told to other hosts for this long.
ANNOUNCE_LEAVING_S = 5.0


class _Health:
  """Own observations of one incarnation."""

  def __init__(self):
    self.failures = 0
    self.suspended_until = 0.0
    self.failure_share = 0.0
    self.is_unreachable = False


class EndpointChanges(NamedTuple):
  """Endpoints that changed in usability.

  Attributes:
    added: Names of endpoints that may be used from now on.
    removed: Names of those that may not any more.
  """

  added: list[str]
  removed: list[str]


class EndpointRegistry:
  """Endpoints by name and by service."""

  def __init__(self):
    self._by_name: dict[str, gateway_records.Endpoint] = {}
    self._by_service: dict[str, list[gateway_records.Endpoint]] = {}
    self._health: dict[tuple[str, int], _Health] = {}
    self._leaving_since: dict[tuple[str, int], float] = {}
    self._missing_since: dict[str, float] = {}
    self._store_back_at = float('-inf')
    self.is_loaded = False

  def find(self, name: str) -> gateway_records.Endpoint | None:
    """Returns the usable endpoint of a name."""
    return self._by_name.get(name)

  def all(self) -> Iterable[gateway_records.Endpoint]:
    """Returns all usable endpoints."""
    return self._by_name.values()

  def usable(self, service: str, now: float) -> list[gateway_records.Endpoint]:
    """Returns the endpoints of a service that may get work.

    Those suspended after failures are left out, unless that leaves none of
    their stage; those to which no connection could be opened in any case.
    """
    listed = self._by_service.get(service, [])
    sound, suspended = [], []
    for endpoint in listed:
      health = self._health.get(endpoint.incarnation)
      if health is not None and health.suspended_until > now:
        if not health.is_unreachable:
          suspended.append(endpoint)
        continue
      sound.append(endpoint)
    stages = {endpoint.stage for endpoint in sound}
    for endpoint in suspended:
      if endpoint.stage not in stages:
        sound.append(endpoint)
    return sound

  def failure_share(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns the share of recent requests that it failed."""
    health = self._health.get(endpoint.incarnation)
    return 0.0 if health is None else health.failure_share

  def record_store_recovery(self, now: float) -> None:
    """Notes that the store answers again after it did not."""
    self._store_back_at = now

  def replace_all(
      self, endpoints: list[gateway_records.Endpoint], now: float
  ) -> EndpointChanges:
    """Takes in a whole list of the store."""
    self.is_loaded = True
    added, removed = [], []
    names = set()
    for endpoint in endpoints:
      names.add(endpoint.name)
      if self._set(endpoint, now):
        added.append(endpoint.name)
    for name in list(self._by_name):
      if name not in names and self._miss(name, now):
        removed.append(name)
    return EndpointChanges(added, removed)

  def update_entry(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> bool:
    """Takes in one entry; returns whether it is newly usable."""
    return self._set(endpoint, now)

  def remove_entry(self, name: str, now: float) -> bool:
    """Takes in the removal of an entry; returns whether it is gone now."""
    return self._miss(name, now)

  def expire(self, now: float, was_store_steady: bool) -> list[str]:
    """Drops what did not come back after an outage of the store.

    Args:
      now: Time on the loop's clock.
      was_store_steady: Whether another host was in contact with the store all
        the while: then only this host was cut off, nothing lapsed meanwhile,
        and what is missing has left.
    """
    gone = []
    for name, since in list(self._missing_since.items()):
      is_early = now < max(since, self._store_back_at + STORE_RECOVERY_S)
      if is_early and not was_store_steady:
        continue
      del self._missing_since[name]
      self._drop(name)
      gone.append(name)
    return gone

  def mark_leaving(self, incarnation: tuple[str, int], now: float) -> bool:
    """Notes that an incarnation takes no new work; returns if that is new."""
    if incarnation in self._leaving_since:
      return False
    self._leaving_since[incarnation] = now
    while len(self._leaving_since) > MAX_LEAVING:
      del self._leaving_since[next(iter(self._leaving_since))]
    endpoint = self._by_name.get(incarnation[0])
    if endpoint is not None and endpoint.incarnation == incarnation:
      self._drop(incarnation[0])
    return True

  def leaving(self, now: float) -> list[tuple[str, int]]:
    """Returns incarnations that began to leave a short time ago."""
    recent = []
    for incarnation, since in self._leaving_since.items():
      if now - since < ANNOUNCE_LEAVING_S:
        recent.append(incarnation)
    return recent

  def record_success(self, endpoint: gateway_records.Endpoint) -> None:
    """Notes a good answer."""
    health = self._health.get(endpoint.incarnation)
    if health is None:
      return
    health.failures = 0
    health.is_unreachable = False
    health.suspended_until = 0.0
    health.failure_share *= 0.9

  def record_failure(
      self,
      endpoint: gateway_records.Endpoint,
      now: float,
      is_unreachable: bool = False,
  ) -> None:
    """Notes a request that it failed or did not answer.

    Args:
      endpoint: The endpoint.
      now: Time on the loop's clock.
      is_unreachable: Whether no connection could be opened.
    """
    health = self._health.setdefault(endpoint.incarnation, _Health())
    health.failures += 1
    health.is_unreachable = is_unreachable
    if is_unreachable:
      health.failures = max(health.failures, FAILURES_TO_SUSPEND)
    health.failure_share = 0.9 * health.failure_share + 0.1
    if health.failures < FAILURES_TO_SUSPEND:
      return
    health.suspended_until = now + _pause_s(health.failures)

  def record_probe(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> None:
    """Notes that a request goes to an endpoint that was suspended.

    It stays suspended for all others until this one has its answer.
    """
    health = self._health.get(endpoint.incarnation)
    if health is None or health.failures < FAILURES_TO_SUSPEND:
      return
    health.suspended_until = now + _pause_s(health.failures)

  def suspend_silent(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> None:
    """Suspends an endpoint that owes answers and says nothing."""
    health = self._health.setdefault(endpoint.incarnation, _Health())
    health.failures = max(health.failures, FAILURES_TO_SUSPEND)
    health.suspended_until = max(
        health.suspended_until, now + _pause_s(health.failures)
    )

  def _set(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    if endpoint.is_leaving:
      self.mark_leaving(endpoint.incarnation, now)
    if endpoint.incarnation in self._leaving_since:
      return False
    self._missing_since.pop(endpoint.name, None)
    old = self._by_name.get(endpoint.name)
    if old == endpoint:
      return False
    if old is not None:
      self._drop(endpoint.name)
    self._by_name[endpoint.name] = endpoint
    self._by_service.setdefault(endpoint.service, []).append(endpoint)
    return old is None or old.incarnation != endpoint.incarnation

  def _miss(self, name: str, now: float) -> bool:
    if name not in self._by_name:
      return False
    if now < self._store_back_at + STORE_RECOVERY_S:
      self._missing_since.setdefault(name, now)
      return False
    self._missing_since.pop(name, None)
    self._drop(name)
    return True

  def _drop(self, name: str) -> None:
    endpoint = self._by_name.pop(name, None)
    if endpoint is None:
      return
    self._by_service[endpoint.service].remove(endpoint)
    self._health.pop(endpoint.incarnation, None)


def _pause_s(failures: int) -> float:
  doublings = min(failures - FAILURES_TO_SUSPEND, 4)
  return min(MIN_SUSPENSION_S * 2**doublings, MAX_SUSPENSION_S)
