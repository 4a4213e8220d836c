"""Permits to send requests to endpoints that limit the requests per second.

A limit holds for all hosts together. Equal parts for each host would either
exceed it, as each host may send a whole request at any time, or leave most of
it unused. So one host issues the permits for an endpoint, at the rate of the
limit; a host that wants to send a request asks it for one. The permits of a
host expire soon, so that the requests in any window follow the permits issued.

The issuer is the host that all others rank first for the endpoint. No state is
handed over when it changes: the next one starts with no permits, and only after
all hosts have noticed the change. Hosts that can't reach the others issue the
part of the limit that corresponds to their number, so that the sum over all
parts of a divided fleet keeps the limit.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import endpoint_limits
from mulberrypick.core import rendezvous

Incarnation = tuple[str, int]

# An issuer stores up to this many permits. With those issued in 4 s and in the
# time before they expire, at most 3 + 4.5 x rate are used in 4 s; the platform
# allows 5 + 6 x rate.
MAX_STORED_PERMITS = 3.0
PERMIT_TTL_S = 0.5
# Requests of other ranks leave this many permits for those of rank 0.
URGENT_RESERVE = 1.0
# Permits per second for an endpoint that asks for fewer. Without any request no
# response would show that the limit has ended.
MIN_RATE = 0.25
# Time until the hosts agree on an issuer after a change: that after which a
# silent host is no longer counted as live.
HANDOVER_S = 2.0
# Bounds of the time after which a host asks again for a refused permit.
MIN_WAIT_S = 0.05
MAX_WAIT_S = 2.0
# Time after which an unanswered request for a permit counts as refused, and the
# time until the next one.
REQUEST_TIMEOUT_S = 0.1
UNANSWERED_WAIT_S = 0.25
# Interval, multiplied by the number of hosts, at which a host asks for a permit
# that it does not need, to find out whether the limit has ended.
PROBE_INTERVAL_PER_HOST_S = 0.1


class PermitRequest(NamedTuple):
  """A request for one permit.

  Attributes:
    endpoint: Name of the endpoint.
    started_ms: Its incarnation.
    number: Number of the request, to recognize the reply.
    is_urgent: Whether it is for a request of rank 0.
  """

  endpoint: str
  started_ms: int
  number: int
  is_urgent: bool


class PermitReply(NamedTuple):
  """The reply to a request for a permit.

  Attributes:
    endpoint: Name of the endpoint.
    started_ms: Its incarnation.
    number: Number of the request.
    is_granted: Whether the permit was issued.
    wait_s: Time after which to ask again if it was not.
  """

  endpoint: str
  started_ms: int
  number: int
  is_granted: bool
  wait_s: float


class _Permit(NamedTuple):
  expires_at: float
  is_urgent: bool


class _Purse:
  """The permits of this host for one endpoint, and its open request."""

  def __init__(self):
    self.permits: list[_Permit] = []
    self.open_number = 0
    self.is_open_urgent = False
    self.asked_at = float('-inf')
    # Until when this host does not ask, for requests of rank 0 and of others.
    self.urgent_wait_until = float('-inf')
    self.other_wait_until = float('-inf')

  def wait_until(self, is_urgent: bool) -> float:
    """Returns until when this host does not ask for a permit."""
    until = self.urgent_wait_until if is_urgent else self.other_wait_until
    if self.open_number:
      until = max(until, self.asked_at + UNANSWERED_WAIT_S)
    return until

  def wait(self, is_urgent: bool, until: float) -> None:
    """Stops asking until a time; what rank 0 can't get, others can't either."""
    self.other_wait_until = max(self.other_wait_until, until)
    if is_urgent:
      self.urgent_wait_until = until


class Permits:
  """The permits of this host."""

  def __init__(
      self, limits: endpoint_limits.EndpointLimits, rng: random.Random
  ):
    self._limits = limits
    self._rng = rng
    self._purse_by_incarnation: dict[Incarnation, _Purse] = {}
    self._wanted: dict[Incarnation, bool] = {}
    self._last_number = 0

  def may_send(
      self, incarnation: Incarnation, is_urgent: bool, now: float
  ) -> bool:
    """Returns whether this host may send a request to an endpoint now."""
    if self._limits.rate(incarnation) is None:
      return True
    return self._find(incarnation, is_urgent, now) is not None

  def take(self, incarnation: Incarnation, is_urgent: bool, now: float) -> bool:
    """Takes a permit for one request, if the endpoint has a limit.

    Returns:
      Whether the request may be sent.
    """
    if self._limits.rate(incarnation) is None:
      return True
    return self.reserve(incarnation, is_urgent, now) > now

  def reserve(
      self, incarnation: Incarnation, is_urgent: bool, now: float
  ) -> float:
    """Takes a permit for a request that is sent a little later.

    Returns:
      When the permit expires; negative infinity if there is none.
    """
    permit = self._find(incarnation, is_urgent, now)
    if permit is None:
      return float('-inf')
    self._purse_by_incarnation[incarnation].permits.remove(permit)
    return permit.expires_at

  def want(
      self, incarnations: Iterable[Incarnation], is_urgent: bool, now: float
  ) -> bool:
    """Asks for a permit of one of several endpoints.

    Args:
      incarnations: Endpoints without a permit that may run a request.
      is_urgent: Whether the request has rank 0.
      now: Monotonic time.

    Returns:
      Whether a reply is awaited.
    """
    is_awaiting, ready = False, []
    for incarnation in incarnations:
      if self._is_awaiting(incarnation, now):
        is_awaiting = True
      elif self._purse(incarnation).wait_until(is_urgent) <= now:
        ready.append(incarnation)
    if not ready:
      return is_awaiting
    self._wanted[self._rng.choice(ready)] = is_urgent
    return True

  def probe(
      self, incarnations: list[Incarnation], hosts: int, now: float
  ) -> None:
    """Asks now and then for a permit of an endpoint that is not needed."""
    incarnation = self._rng.choice(incarnations)
    purse = self._purse(incarnation)
    if purse.permits or now < purse.wait_until(False):
      return
    interval_s = PROBE_INTERVAL_PER_HOST_S * hosts
    if now - purse.asked_at > interval_s:
      self._wanted.setdefault(incarnation, False)

  def wait_s(
      self, incarnations: Iterable[Incarnation], is_urgent: bool, now: float
  ) -> float:
    """Returns the time until a permit of one of the endpoints may be issued.

    Args:
      incarnations: The endpoints.
      is_urgent: Whether it is for a request of rank 0.
      now: Monotonic time.
    """
    waits = []
    for incarnation in incarnations:
      waits.append(self._purse(incarnation).wait_until(is_urgent) - now)
    return max(MIN_WAIT_S, min(waits, default=MIN_WAIT_S))

  def has_wanted(self) -> bool:
    """Returns whether there are permits to be requested."""
    return bool(self._wanted)

  def take_wanted(self, now: float) -> list[PermitRequest]:
    """Returns the requests for permits that are to be sent now."""
    requests = []
    for incarnation, is_urgent in self._wanted.items():
      purse = self._purse(incarnation)
      self._last_number += 1
      purse.open_number = self._last_number
      purse.is_open_urgent = is_urgent
      purse.asked_at = now
      requests.append(PermitRequest(*incarnation, self._last_number, is_urgent))
    self._wanted.clear()
    return requests

  def handle_reply(self, reply: PermitReply, now: float) -> None:
    """Handles the reply to a request for a permit."""
    incarnation = (reply.endpoint, reply.started_ms)
    purse = self._purse_by_incarnation.get(incarnation)
    if purse is None or purse.open_number != reply.number:
      return
    purse.open_number = 0
    if not reply.is_granted:
      wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, reply.wait_s))
      purse.wait(purse.is_open_urgent, now + wait_s)
      return
    # The permit is at least as young as the request for it.
    expires_at = purse.asked_at + PERMIT_TTL_S
    purse.permits.append(_Permit(expires_at, purse.is_open_urgent))

  def prune(self) -> None:
    """Drops the permits of endpoints that have no limit any more."""
    for incarnation in list(self._purse_by_incarnation):
      if self._limits.rate(incarnation) is None:
        del self._purse_by_incarnation[incarnation]
        self._wanted.pop(incarnation, None)

  def _purse(self, incarnation: Incarnation) -> _Purse:
    return self._purse_by_incarnation.setdefault(incarnation, _Purse())

  def _is_awaiting(self, incarnation: Incarnation, now: float) -> bool:
    purse = self._purse(incarnation)
    is_open = purse.open_number and now - purse.asked_at < REQUEST_TIMEOUT_S
    return bool(is_open) or incarnation in self._wanted

  def _find(
      self, incarnation: Incarnation, is_urgent: bool, now: float
  ) -> _Permit | None:
    """Returns a permit that a request may use; drops expired ones."""
    purse = self._purse_by_incarnation.get(incarnation)
    if purse is None:
      return None
    purse.permits = [p for p in purse.permits if p.expires_at > now]
    for permit in purse.permits:
      if is_urgent or not permit.is_urgent:
        return permit
    return None


class _Bucket:
  """The permits that an issuer has for one endpoint."""

  def __init__(self, now: float):
    self.stored = 0.0
    self.updated_at = now
    # When the next host is told to ask again, if it is refused.
    self.next_turn_at = now


class PermitIssuer:
  """Issues the permits of the endpoints that this host is ranked first for.

  Attributes:
    issued: Number of permits issued.
    refused: Number of requests for permits that were refused.
  """

  def __init__(self, own_address: str, rng: random.Random):
    self._own = own_address
    self._rng = rng
    self._candidates: frozenset[str] = frozenset({own_address})
    self._changed_at = float('-inf')
    self._since_by_endpoint: dict[str, float] = {}
    self._bucket_by_incarnation: dict[Incarnation, _Bucket] = {}
    self.issued = 0
    self.refused = 0

  def update_candidates(self, candidates: frozenset[str], now: float) -> None:
    """Updates the addresses of the hosts that may issue permits."""
    if candidates == self._candidates:
      return
    self._candidates = candidates
    self._changed_at = now
    for endpoint in list(self._since_by_endpoint):
      if self.issuer_of(endpoint) != self._own:
        del self._since_by_endpoint[endpoint]
    for incarnation in list(self._bucket_by_incarnation):
      if incarnation[0] not in self._since_by_endpoint:
        del self._bucket_by_incarnation[incarnation]

  def issuer_of(self, endpoint: str) -> str | None:
    """Returns the address of the host that issues the permits of an endpoint.

    Returns:
      The address; None if no host is known.
    """
    ranked = rendezvous.rank(endpoint, self._candidates)
    return ranked[0] if ranked else None

  def issue(
      self,
      request: PermitRequest,
      rate: float,
      share: float,
      now: float,
  ) -> PermitReply:
    """Issues a permit, or tells when to ask again.

    Args:
      request: The request.
      rate: The limit of the endpoint, in requests per second.
      share: Fraction of all hosts that this one can reach.
      now: Monotonic time.
    """
    wait_s = self._try_issue(request, rate * share, now)
    self.issued += wait_s is None
    self.refused += wait_s is not None
    return PermitReply(
        request.endpoint,
        request.started_ms,
        request.number,
        wait_s is None,
        round(wait_s or 0.0, 3),
    )

  def prune(self, limited: set[Incarnation]) -> None:
    """Drops the permits of endpoints that have no limit any more."""
    for incarnation in list(self._bucket_by_incarnation):
      if incarnation not in limited:
        del self._bucket_by_incarnation[incarnation]

  def _try_issue(
      self, request: PermitRequest, rate: float, now: float
  ) -> float | None:
    """Takes a permit; returns the time to wait if there is none."""
    if self.issuer_of(request.endpoint) != self._own:
      return UNANSWERED_WAIT_S
    since = self._since_by_endpoint.setdefault(
        request.endpoint, self._changed_at
    )
    if now < since + HANDOVER_S:
      return since + HANDOVER_S - now
    rate = max(MIN_RATE, rate)
    incarnation = (request.endpoint, request.started_ms)
    bucket = self._bucket_by_incarnation.setdefault(incarnation, _Bucket(now))
    bucket.stored += rate * (now - bucket.updated_at)
    bucket.stored = min(MAX_STORED_PERMITS, bucket.stored)
    bucket.updated_at = now
    needed = 1.0 if request.is_urgent else 1.0 + URGENT_RESERVE
    if bucket.stored >= needed:
      bucket.stored -= 1.0
      return None
    turn_at = now + (needed - bucket.stored) / rate
    turn_at = max(turn_at, bucket.next_turn_at)
    if turn_at - now > MAX_WAIT_S:
      # Spreads the hosts without a turn, which would otherwise return together.
      return MAX_WAIT_S * self._rng.uniform(0.5, 1.0)
    bucket.next_turn_at = turn_at + 1.0 / rate
    return turn_at - now
