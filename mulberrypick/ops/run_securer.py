"""Secures another run of a request before its present run is given up.

A sound endpoint may be silent for a second or so. A run there may be given up
only if everything is there that another run needs: an endpoint that responds, a
connection to it, a permit, and a retry of the budget.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.ops import gateway_state

# What can't be secured because the request crashes endpoints.
CRASHES_ENDPOINTS = 'crashes_endpoints'
# Part of the retry budget that second prefills may use. They save time on the
# engine that decodes, which can prefill too; what is left serves requests that
# can't go on without a retry.
MAX_PREFILL_FRACTION = 0.75


class SecuredRun(NamedTuple):
  """What another run needs.

  Attributes:
    placement: Where it runs.
    connection: Connection to the endpoint that gets the request first.
    permit_until: When the permit expires that is reserved for the endpoint that
      decodes; negative infinity if there is none.
  """

  placement: placements.Placement
  connection: stream_client.ClientConnection
  permit_until: float

  @property
  def first_endpoint(self) -> gateway_records.Endpoint:
    """The endpoint that gets the request first."""
    return self.placement.prefiller or self.placement.endpoint


class RunSecurer:
  """Secures other runs of one request.

  Attributes:
    has_prefilled: Whether an engine prefilled the request for another one.
    has_unused_retry: Whether a retry was taken from the budget and not used.
    has_unused_prefill: Whether another one was taken, for a second prefill, and
      not used.
    lacked: What the last attempt to secure a run lacked, for logs; empty if it
      lacked nothing.
  """

  def __init__(
      self, state: gateway_state.GatewayState, service: gateway_records.Service
  ):
    self._state = state
    self._service = service
    self.has_prefilled = False
    self.has_unused_retry = False
    self.has_unused_prefill = False
    self.lacked = ''

  def take_retry(self, call: gateway_records.Call) -> bool:
    """Takes a retry from the budget unless an unused one is left."""
    if not self.has_unused_retry:
      now = asyncio.get_running_loop().time()
      self.has_unused_retry = self._state.take_retry(call.service, now)
    return self.has_unused_retry

  def take_prefill(
      self, call: gateway_records.Call, placement: placements.Placement
  ) -> placements.Placement:
    """Takes a second prefill from the budget, which is one more arrival.

    Returns:
      The placement; without budget, one where the endpoint that runs the
      request prefills it too.
    """
    if not self.has_prefilled or placement.prefiller is None:
      return placement
    if not self.has_unused_prefill:
      now = asyncio.get_running_loop().time()
      self.has_unused_prefill = self._state.take_retry(
          call.service, now, MAX_PREFILL_FRACTION
      )
    if self.has_unused_prefill:
      return placement
    return placement._replace(prefiller=None)

  def give_back_retry(self, call: gateway_records.Call) -> None:
    """Returns what was taken and not used to the budget."""
    if self.has_unused_prefill:
      self.has_unused_prefill = False
      self._state.give_back_retry(call.service)
    if self.has_unused_retry:
      self.has_unused_retry = False
      self._state.give_back_retry(call.service)

  async def secure(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      is_needed: Callable[[], bool],
  ) -> SecuredRun | None:
    """Secures another run.

    Args:
      call: The request.
      excluded: Incarnations that must not run it.
      is_needed: Returns whether the present run is still silent. It is asked
        last, and nothing happens afterwards that would let it go on.

    Returns:
      The other run; None if there is none, or if it is not needed any more.
    """
    now = asyncio.get_running_loop().time()
    if self._state.is_refused(call, now):
      self.lacked = CRASHES_ENDPOINTS
      return None
    if not self.take_retry(call):
      self.lacked = 'budget'
      return None
    secured = None
    try:
      secured = await self._secure_place(call, excluded, is_needed)
    finally:
      if secured is None:
        self.give_back_retry(call)
    return secured

  def release(self, call: gateway_records.Call, secured: SecuredRun) -> None:
    """Releases what was secured for a run that is not needed."""
    self._state.pool.release(secured.first_endpoint, secured.connection)
    self.give_back_retry(call)

  async def _secure_place(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      is_needed: Callable[[], bool],
  ) -> SecuredRun | None:
    placement, self.lacked = self._place(call, excluded)
    if placement is None:
      return None
    placement = self.take_prefill(call, placement)
    first = placement.prefiller or placement.endpoint
    try:
      connection = await self._state.pool.acquire(
          first, not call.route.is_idempotent, call.id
      )
    except errors.ConnectError:
      now = asyncio.get_running_loop().time()
      self._state.endpoints.record_failure(first, now, True)
      self.lacked = 'connection'
      return None
    permit_until = self._reserve_permit(call, placement.endpoint)
    if permit_until is None:
      self.lacked = 'permit'
    elif not self._begin_trial(placement):
      self.lacked = 'accepting_endpoint'
    elif is_needed():
      return SecuredRun(placement, connection, permit_until)
    self._state.pool.release(first, connection)
    return None

  def _begin_trial(self, placement: placements.Placement) -> bool:
    """Returns whether no other request finds out whether endpoints refuse."""
    now = asyncio.get_running_loop().time()
    pauses = []
    for endpoint in (placement.endpoint, placement.prefiller):
      if endpoint is not None:
        pauses.append(self._state.load.own(endpoint).refusal_pause)
    if not all(pause.may_try(now) for pause in pauses):
      return False
    for pause in pauses:
      pause.record_trial(now)
    return True

  def _reserve_permit(
      self, call: gateway_records.Call, endpoint: gateway_records.Endpoint
  ) -> float | None:
    """Returns when the reserved permit expires; None if one is missing."""
    known = self._state.permits
    now = asyncio.get_running_loop().time()
    is_urgent = call.route.rank == 0
    if not known.may_send(endpoint.incarnation, is_urgent, now):
      return None
    return known.reserve(endpoint.incarnation, is_urgent, now)

  def _place(
      self, call: gateway_records.Call, excluded: set[tuple[str, int]]
  ) -> tuple[placements.Placement | None, str]:
    """Returns a place whose endpoints respond, or what there is not."""
    state = self._state
    now = asyncio.get_running_loop().time()
    excluded = excluded | self._refusing(call, now)
    placement = state.placer.place(call, self._service, excluded, now)
    if state.permits.has_wanted():
      state.permits_wanted.set()
    if isinstance(placement, placements.Refusal):
      return None, placement.reason
    for endpoint in (placement.endpoint, placement.prefiller):
      if endpoint is None:
        continue
      if state.endpoints.is_suspended(endpoint, now) or state.load.is_silent(
          endpoint, now
      ):
        return None, 'responsive_endpoint'
    return placement, ''

  def _refusing(
      self, call: gateway_records.Call, now: float
  ) -> set[tuple[str, int]]:
    """Returns the incarnations that are likely to refuse another request."""
    refusing = set()
    for endpoint in self._state.endpoints.usable(call.service, now):
      if not self._state.load.own(endpoint).refusal_pause.may_try(now):
        refusing.add(endpoint.incarnation)
    return refusing
