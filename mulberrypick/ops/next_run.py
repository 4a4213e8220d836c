"""Decides where a request runs next, and whether it may run again.

A run that may still go on is given up only once another one is secured, see
`run_securer`.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import stream_client
from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.ops import endpoint_send
from mulberrypick.ops import gateway_state
from mulberrypick.ops import run_securer
from mulberrypick.ops import stop_guard

# Longest time for which a request waits for a permit from another host, which
# takes a few milliseconds. Without a permit it is then refused.
MAX_PERMIT_WAIT_S = 0.05
# Reasons of attempts, also of prefills, after which nothing was sent.
CONNECT_REASONS = ('connect', 'read_connect')
UNSENT_REASONS = (
    *CONNECT_REASONS,
    'limited',
    'read_limited',
    'held_off',
    'read_held_off',
    'leaving',
    'read_leaving',
    *stop_guard.REASONS,
)
# Reasons of attempts that this host ended, and that might have gone on.
GIVEN_UP_REASONS = ('silent', 'stalled')
# After a run was given up for one that failed, the endpoint of the latter is
# left out in so many attempts to secure another run.
ROUNDS_WITHOUT_LAST = 5


class AttemptResult(NamedTuple):
  """Result of one attempt to serve the request.

  Attributes:
    is_final: Whether the caller got its whole response.
    may_have_run: Whether the endpoint may have run the request.
    reason: Identifier of the result, for logs and error responses.
    is_prompt_read: False if prefill failed; True if it succeeded or there
      was none.
  """

  is_final: bool
  may_have_run: bool
  reason: str
  is_prompt_read: bool = True


class NextRun:
  """Chooses the endpoints of the runs of one request, one run at a time.

  Attributes:
    call: The request.
    excluded: Incarnations that the request is not sent to.
    runs: Number of endpoints that may have run the request.
    secured: The run that is secured and not begun, None without one.
    has_given_up: Whether this host ended the last run, which might have gone
      on.
    has_sent: Whether the request was sent to an endpoint, also only to have its
      prompt read.
    lacked: What another run lacked, for logs; empty if none was considered.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      call: gateway_records.Call,
      service: gateway_records.Service,
  ):
    self.call = call
    self.excluded: set[tuple[str, int]] = set()
    self.runs = 0
    self.secured: run_securer.SecuredRun | None = None
    self.has_given_up = False
    self.has_sent = False
    self.lacked = ''
    self._state = state
    self._service = service
    self._securer = run_securer.RunSecurer(state, service)
    self._last_failed = ('', 0)
    # When the permit expires that is reserved for the placement's endpoint.
    self._permit_until = float('-inf')

  async def place(self) -> placements.Placement | placements.Refusal:
    """Returns the secured placement, or places the request."""
    now = asyncio.get_running_loop().time()
    if self.secured is not None:
      placement = self.secured.placement
      self._permit_until = self.secured.permit_until
    else:
      placement = await self._place()
      if isinstance(placement, placements.Refusal):
        return placement
      placement = self._securer.take_prefill(self.call, placement)
      now = asyncio.get_running_loop().time()
      self._permit_until = self._state.permits.reserve(
          placement.endpoint.incarnation, self.call.route.rank == 0, now
      )
    self._state.endpoints.record_probe(placement.endpoint, now)
    if placement.prefiller is not None:
      self._state.endpoints.record_probe(placement.prefiller, now)
    return placement

  def choose_decoder(
      self, placement: placements.Placement
  ) -> placements.Placement:
    """Returns the placement with the best decode engine after the prefill.

    An engine for which a permit is reserved is kept.
    """
    prefiller = placement.prefiller
    if self._permit_until != float('-inf') or prefiller is None:
      return placement
    now = asyncio.get_running_loop().time()
    chosen = self._state.placer.choose_decoder(
        self.call, self.excluded, now, prefiller
    )
    if chosen is None or chosen is placement.endpoint:
      return placement
    self._permit_until = self._state.permits.reserve(
        chosen.incarnation, self.call.route.rank == 0, now
    )
    self._state.endpoints.record_probe(chosen, now)
    return placement._replace(endpoint=chosen)

  def record_attempt(
      self, attempt: AttemptResult, failed: gateway_records.Endpoint
  ) -> None:
    """Records an attempt that did not serve the request.

    Args:
      attempt: The attempt.
      failed: The endpoint at which it failed.
    """
    self.excluded.add(failed.incarnation)
    self._last_failed = failed.incarnation
    if attempt.may_have_run:
      self.runs += 1
      self.has_given_up = attempt.reason in GIVEN_UP_REASONS

  def record_prefill(self) -> None:
    """Records that an engine prefilled the request for another one."""
    self._securer.has_prefilled = True

  def record_send(self, is_prefill: bool) -> None:
    """Records that the request is sent, by which it uses what was taken."""
    self.has_sent = True
    if is_prefill:
      self._securer.has_unused_prefill = False
    self._securer.has_unused_retry = False

  def may_pass_on(self) -> bool:
    """Returns whether another host may send it; takes a retry for a repeat."""
    if not self.has_sent:
      return True
    if self._securer.take_retry(self.call):
      return True
    self.lacked = 'budget'
    return False

  def record_passed_on(self) -> None:
    """Records that another host has taken the request with the retry."""
    self._securer.has_unused_retry = False

  def take_permit(self) -> float:
    """Returns when the reserved permit expires; it can be used once."""
    permit_until, self._permit_until = self._permit_until, float('-inf')
    return permit_until

  def take_connection(self) -> stream_client.ClientConnection | None:
    """Returns the connection of the secured run, which is now used."""
    secured, self.secured = self.secured, None
    return secured.connection if secured is not None else None

  def close(self) -> None:
    """Releases what was secured and not used."""
    if self.secured is not None:
      self._securer.release(self.call, self.secured)
    self._securer.give_back_retry(self.call)

  def may_run_again(self) -> bool:
    """Returns whether the route allows another run beside the present one."""
    route = self.call.route
    return route.is_idempotent and self.runs + 1 < route.attempts

  def may_retry(self, attempt: AttemptResult) -> bool:
    """Returns whether the request may be sent again; takes a retry for it."""
    now = asyncio.get_running_loop().time()
    if self._state.is_refused(self.call, now):
      self.lacked = run_securer.CRASHES_ENDPOINTS
      return False
    if attempt.may_have_run:
      route = self.call.route
      if not route.is_idempotent or self.runs >= route.attempts:
        self.lacked = 'attempts'
        return False
    # Nothing was sent, so that a retry adds no load except a second prefill,
    # which is taken from the budget when it is placed.
    if attempt.reason in UNSENT_REASONS:
      return True
    if self._securer.take_retry(self.call):
      return True
    self.lacked = 'budget'
    return False

  async def secure_again(self) -> bool:
    """Secures another run if the one for which a run was given up failed.

    It waits until there is one: the caller does not lose an answer because this
    host gave a run up.
    """
    if not self.has_given_up:
      return False
    # Endpoints that were silent may respond again.
    self.excluded = {self._last_failed}
    rounds = 0
    while not await self._secure(self.excluded, lambda: True):
      if self.lacked == run_securer.CRASHES_ENDPOINTS:
        return False
      await asyncio.sleep(endpoint_send.SECURE_INTERVAL_S)
      rounds += 1
      if rounds == ROUNDS_WITHOUT_LAST:
        self.excluded = set()
    return True

  async def secure_elsewhere(
      self, present: gateway_records.Endpoint, is_needed: Callable[[], bool]
  ) -> bool:
    """Secures a run at another endpoint than that of the present one."""
    return await self._secure(self.excluded | {present.incarnation}, is_needed)

  async def _secure(
      self, excluded: set[tuple[str, int]], is_needed: Callable[[], bool]
  ) -> bool:
    self.secured = await self._securer.secure(self.call, excluded, is_needed)
    self.lacked = self._securer.lacked
    return self.secured is not None

  async def _place(self) -> placements.Placement | placements.Refusal:
    """Places the request; waits shortly for a permit if it needs one."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + MAX_PERMIT_WAIT_S
    while True:
      changed = self._state.permits_changed
      placement = self._state.placer.place(
          self.call, self._service, self.excluded, loop.time()
      )
      if self._state.permits.has_wanted():
        self._state.permits_wanted.set()
      if (
          isinstance(placement, placements.Placement)
          or not placement.awaits_permit
      ):
        return placement
      try:
        async with asyncio.timeout_at(end_at):
          await changed.wait()
      except TimeoutError:
        return placement
