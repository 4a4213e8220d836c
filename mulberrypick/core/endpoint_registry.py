"""Registry of the endpoints that are listed and not leaving, and their health.

It combines three sources: the list in the platform's store, messages of other
hosts, and the responses of the endpoints. An incarnation that any source
reports as leaving stays unusable for good. An outage of the store removes no
endpoint. Entries that expired during an outage are kept for `STORE_RECOVERY_S`
after it, so that their endpoints can register again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import endpoint_hold_off
from mulberrypick.core import gateway_records
from mulberrypick.core import stage_switches

# Time after an outage of the store within which expired entries are registered
# again; according to the platform, this takes about two seconds.
STORE_RECOVERY_S = 2.0
# Suspension of an endpoint after consecutive failures. It doubles with each
# further failure, up to the maximum.
MIN_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# Consecutive failures that suspend an endpoint: a single one may be caused by
# the request. A connection that can't be opened suspends at once, as no
# request can be the cause.
FAILURES_TO_SUSPEND = 2
# Leaving incarnations that are remembered: a release replaces all endpoints of
# a fleet.
MAX_LEAVING = 4096
# Time for which a leaving endpoint is announced to other hosts.
ANNOUNCE_LEAVING_S = 5.0


class _Health:
  """What this host observed of one incarnation of an endpoint."""

  def __init__(self):
    self.failures = 0
    self.suspended_until = 0.0
    # Whether a request was sent to it after a suspension.
    self.is_probed = False
    self.failure_fraction = 0.0
    self.is_unreachable = False
    # Whether it sent bytes without end.
    self.is_endless = False


class EndpointChanges(NamedTuple):
  """Endpoints that became usable or unusable.

  Attributes:
    added: Names of the endpoints that became usable.
    removed: Names of the endpoints that are no longer usable.
  """

  added: list[str]
  removed: list[str]


class EndpointRegistry:
  """Usable endpoints by name and by service, with their health.

  Attributes:
    is_loaded: Whether the list of the store was read at least once.
    hold_off: Endpoints that want no requests from this host for a while.
    switches: Engines that are changing their stage.
    last_drain_s: Time for which the last endpoint of a stage is still used
      after it said that it leaves.
  """

  def __init__(self):
    self.hold_off = endpoint_hold_off.EndpointHoldOff()
    self.switches = stage_switches.StageSwitches()
    self.last_drain_s = 0.0
    # Endpoints that said that they leave, until when they may be used if there
    # is no other one.
    self._draining_until: dict[tuple[str, int], float] = {}
    self._by_name: dict[str, gateway_records.Endpoint] = {}
    self._by_service: dict[str, list[gateway_records.Endpoint]] = {}
    self._health: dict[tuple[str, int], _Health] = {}
    self._leaving_since: dict[tuple[str, int], float] = {}
    self._missing_since: dict[str, float] = {}
    self._ended: list[tuple[str, int]] = []
    self._store_recovered_at = float('-inf')
    self.is_loaded = False

  def find(self, name: str) -> gateway_records.Endpoint | None:
    """Returns an endpoint by name, None if it is unknown."""
    return self._by_name.get(name)

  def all(self) -> Iterable[gateway_records.Endpoint]:
    """Returns all known endpoints, suspended ones too."""
    return self._by_name.values()

  def usable(self, service: str, now: float) -> list[gateway_records.Endpoint]:
    """Returns the endpoints of a service that may get requests.

    Suspended endpoints are left out, unless no other endpoint of their stage
    is left. Suspended endpoints to which no connection could be opened, or that
    sent bytes without end, are always left out, those that want no requests,
    and engines that are changing their stage. Those that said that they leave
    are used only if they are the last of their stage.
    """
    listed = []
    for endpoint in self._by_service.get(service, ()):
      incarnation = endpoint.incarnation
      if self.hold_off.is_held_off(incarnation, now):
        continue
      if not self.switches.is_switching(incarnation, now):
        listed.append(endpoint)
    healthy, suspended = [], []
    for endpoint in listed:
      health = self._health.get(endpoint.incarnation)
      if health is not None and health.suspended_until > now:
        if not health.is_unreachable and not health.is_endless:
          suspended.append(endpoint)
        continue
      healthy.append(endpoint)
    healthy = self._without_draining(healthy, now)
    stages = {endpoint.stage for endpoint in healthy}
    for endpoint in suspended:
      if endpoint.stage not in stages:
        healthy.append(endpoint)
    return healthy

  def _without_draining(
      self, endpoints: list[gateway_records.Endpoint], now: float
  ) -> list[gateway_records.Endpoint]:
    """Leaves out those that leave, but for the last ones of a stage."""
    if not self._draining_until:
      return endpoints
    staying = [e for e in endpoints if not self.is_draining(e)]
    stages = {endpoint.stage for endpoint in staying}
    for endpoint in endpoints:
      if not self.is_draining(endpoint) or endpoint.stage in stages:
        continue
      if now < self._draining_until[endpoint.incarnation]:
        staying.append(endpoint)
    return staying

  def is_draining(self, endpoint: gateway_records.Endpoint) -> bool:
    """Returns whether an endpoint leaves and is the last one of its stage."""
    return endpoint.incarnation in self._draining_until

  def hold_off_wait_s(self, service: str, now: float) -> float | None:
    """Returns how long all endpoints of a service still want no requests.

    Returns:
      The shortest time; None if there is none, or if one takes requests.
    """
    endpoints = []
    for endpoint in self._by_service.get(service, ()):
      if endpoint.stage is not gateway_records.Stage.PREFILL:
        endpoints.append(endpoint)
    return self.hold_off.wait_s(endpoints, now) or None

  def record_said_leaving(
      self, incarnation: tuple[str, int], now: float
  ) -> bool:
    """Records that an endpoint says that it leaves; returns if this is new.

    It gets no requests any more if another one of its stage can run them.
    """
    if incarnation in self._leaving_since:
      return False
    if incarnation in self._draining_until:
      return False
    listed = self._by_name.get(incarnation[0])
    if listed is None or listed.incarnation != incarnation:
      return self.mark_leaving(incarnation, now)
    for other in self._by_service[listed.service]:
      is_other = other.name != listed.name and other.stage is listed.stage
      if is_other and not self.is_draining(other):
        return self.mark_leaving(incarnation, now)
    self._draining_until[incarnation] = now + self.last_drain_s
    return True

  def end_drains(self, now: float) -> list[str]:
    """Drops the last endpoints of a stage whose time to drain is over.

    Returns:
      Their names. Also those that are not the last ones any more.
    """
    ended = []
    for incarnation, until in list(self._draining_until.items()):
      endpoint = self._by_name.get(incarnation[0])
      if endpoint is None or endpoint.incarnation != incarnation:
        del self._draining_until[incarnation]
        continue
      others = self._by_service[endpoint.service]
      has_other = any(
          o.stage is endpoint.stage and not self.is_draining(o) for o in others
      )
      if now >= until or has_other:
        del self._draining_until[incarnation]
        self.mark_leaving(incarnation, now)
        ended.append(incarnation[0])
    return ended

  def is_held_off(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Returns whether an endpoint wants no requests from this host."""
    return self.hold_off.is_held_off(endpoint.incarnation, now)

  def may_send(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Returns whether an endpoint still takes requests that were placed there.

    It may have said since then that it leaves.
    """
    if endpoint.incarnation in self._leaving_since:
      return False
    return now < self._draining_until.get(endpoint.incarnation, float('inf'))

  def is_suspended(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> bool:
    """Returns whether an endpoint is suspended."""
    health = self._health.get(endpoint.incarnation)
    return health is not None and health.suspended_until > now

  def failure_fraction(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns the recent share of failed requests of an endpoint."""
    health = self._health.get(endpoint.incarnation)
    return 0.0 if health is None else health.failure_fraction

  def record_store_recovery(self, now: float) -> None:
    """Records that the store answers again after an outage."""
    self._store_recovered_at = now

  def replace_all(
      self, endpoints: list[gateway_records.Endpoint], now: float
  ) -> EndpointChanges:
    """Replaces the endpoints by a complete list of the store."""
    self.is_loaded = True
    added, removed = [], []
    names = set()
    for endpoint in endpoints:
      names.add(endpoint.name)
      if self._update(endpoint, now):
        added.append(endpoint.name)
    for name in list(self._by_name):
      if name not in names and self._handle_missing(name, now):
        removed.append(name)
    return EndpointChanges(added, removed)

  def update_entry(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> bool:
    """Updates one endpoint; returns whether it became usable."""
    return self._update(endpoint, now)

  def remove_entry(self, name: str, now: float) -> bool:
    """Handles a removed entry; returns whether its endpoint was dropped.

    After an outage of the store the endpoint is kept until `expire` drops it.
    """
    return self._handle_missing(name, now)

  def expire(self, now: float, was_store_steady: bool) -> list[str]:
    """Drops endpoints that did not register again after a store outage.

    Args:
      now: Time on the event loop's clock.
      was_store_steady: Whether another host was connected to the store during
        the outage. In this case only this host was disconnected, no entry
        expired, and missing endpoints have left.

    Returns:
      Names of the dropped endpoints.
    """
    gone = []
    for name, since in list(self._missing_since.items()):
      is_recovering = now < max(
          since, self._store_recovered_at + STORE_RECOVERY_S
      )
      if is_recovering and not was_store_steady:
        continue
      del self._missing_since[name]
      self._end(name)
      gone.append(name)
    return gone

  def take_ended(self) -> list[tuple[str, int]]:
    """Returns the incarnations that ended without leaving, since last called.

    The store dropped or replaced their entries.
    """
    ended, self._ended = self._ended, []
    return ended

  def mark_leaving(self, incarnation: tuple[str, int], now: float) -> bool:
    """Marks an incarnation as leaving; returns whether this is new."""
    if incarnation in self._leaving_since:
      return False
    self._leaving_since[incarnation] = now
    while len(self._leaving_since) > MAX_LEAVING:
      del self._leaving_since[next(iter(self._leaving_since))]
    endpoint = self._by_name.get(incarnation[0])
    if endpoint is not None and endpoint.incarnation == incarnation:
      self._remove(incarnation[0])
    return True

  def leaving(self, now: float) -> list[tuple[str, int]]:
    """Returns the leaving incarnations that are announced to other hosts."""
    recent = []
    # The latest ones are at the end.
    for incarnation, since in reversed(self._leaving_since.items()):
      if now - since >= ANNOUNCE_LEAVING_S:
        break
      recent.append(incarnation)
    return recent

  def record_success(self, endpoint: gateway_records.Endpoint) -> None:
    """Records a successful response and ends any suspension."""
    health = self._health.get(endpoint.incarnation)
    if health is None:
      return
    health.failures = 0
    health.is_probed = False
    health.is_unreachable = False
    health.is_endless = False
    health.suspended_until = 0.0
    health.failure_fraction *= 0.9

  def record_failure(
      self,
      endpoint: gateway_records.Endpoint,
      now: float,
      is_unreachable: bool = False,
  ) -> None:
    """Records a request that an endpoint failed or did not answer.

    Requests that fail while it is suspended were sent before. They are the same
    failure, and do not make the suspension longer, unless one is a probe.

    Args:
      endpoint: The endpoint.
      now: Time on the event loop's clock.
      is_unreachable: Whether no connection could be opened.
    """
    health = self._health.setdefault(endpoint.incarnation, _Health())
    if now >= health.suspended_until or health.is_probed:
      health.failures += 1
    health.is_probed = False
    health.is_unreachable = is_unreachable
    if is_unreachable:
      health.failures = max(health.failures, FAILURES_TO_SUSPEND)
    health.failure_fraction = 0.9 * health.failure_fraction + 0.1
    if health.failures < FAILURES_TO_SUSPEND:
      return
    health.suspended_until = now + _suspension_s(health.failures)

  def forget_failures(self) -> None:
    """Forgets all failures, which this host itself was the cause of."""
    self._health.clear()

  def record_probe(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> None:
    """Records that a request is sent to an endpoint after its suspension.

    The endpoint is suspended again for other requests until this one succeeds.
    """
    health = self._health.get(endpoint.incarnation)
    if health is None or health.failures < FAILURES_TO_SUSPEND:
      return
    health.is_probed = True
    health.suspended_until = now + _suspension_s(health.failures)

  def suspend_silent(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> None:
    """Suspends an endpoint that does not respond to pending requests."""
    health = self._health.setdefault(endpoint.incarnation, _Health())
    health.failures = max(health.failures, FAILURES_TO_SUSPEND)
    health.suspended_until = max(
        health.suspended_until, now + _suspension_s(health.failures)
    )

  def suspend_endless(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> None:
    """Suspends an endpoint that sent bytes without end, at once and for long.

    Each such response takes memory and time from those of others.
    """
    health = self._health.setdefault(endpoint.incarnation, _Health())
    health.failures = max(health.failures, FAILURES_TO_SUSPEND)
    health.is_probed = False
    health.is_endless = True
    health.suspended_until = now + MAX_SUSPENSION_S

  def _with_known_start(
      self, endpoint: gateway_records.Endpoint
  ) -> gateway_records.Endpoint:
    """Returns an endpoint with the start time that is known of it.

    An entry without one does not tell of a restart.
    """
    if endpoint.started_ms:
      return endpoint
    old = self._by_name.get(endpoint.name)
    if old is not None:
      return endpoint._replace(started_ms=old.started_ms)
    starts = [s for name, s in self._leaving_since if name == endpoint.name]
    return endpoint._replace(started_ms=max(starts, default=0))

  def _update(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    endpoint = self._with_known_start(endpoint)
    if endpoint.is_leaving:
      self.mark_leaving(endpoint.incarnation, now)
    if endpoint.incarnation in self._leaving_since:
      return False
    self._missing_since.pop(endpoint.name, None)
    old = self._by_name.get(endpoint.name)
    if old == endpoint:
      return False
    if old is not None and old.incarnation != endpoint.incarnation:
      self._end(endpoint.name)
    elif old is not None:
      if old.stage is not endpoint.stage:
        self.switches.end(endpoint.incarnation, now)
      self._remove(endpoint.name)
    self._by_name[endpoint.name] = endpoint
    self._by_service.setdefault(endpoint.service, []).append(endpoint)
    return old is None or old.incarnation != endpoint.incarnation

  def _handle_missing(self, name: str, now: float) -> bool:
    if name not in self._by_name:
      return False
    if now < self._store_recovered_at + STORE_RECOVERY_S:
      self._missing_since.setdefault(name, now)
      return False
    self._missing_since.pop(name, None)
    self._end(name)
    return True

  def _end(self, name: str) -> None:
    """Removes an endpoint that the store dropped while it was not leaving."""
    endpoint = self._by_name.get(name)
    if endpoint is not None:
      self._ended.append(endpoint.incarnation)
    self._remove(name)

  def _remove(self, name: str) -> None:
    endpoint = self._by_name.pop(name, None)
    if endpoint is None:
      return
    self._by_service[endpoint.service].remove(endpoint)
    self._health.pop(endpoint.incarnation, None)


def _suspension_s(failures: int) -> float:
  doublings = min(failures - FAILURES_TO_SUSPEND, 4)
  return min(MIN_SUSPENSION_S * 2**doublings, MAX_SUSPENSION_S)
