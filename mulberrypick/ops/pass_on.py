"""Decides whether a request is passed on to another host, and does so."""

import asyncio
from collections.abc import Callable

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.ops import caller_stream
from mulberrypick.ops import endpoint_send
from mulberrypick.ops import forward_run
from mulberrypick.ops import forward_server
from mulberrypick.ops import gateway_state
from mulberrypick.ops import next_run
from mulberrypick.ops import stop_guard


class PassOn:
  """One request at a host that may be apart from all endpoints.

  A request that another host passed on is never passed on again.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      next_: next_run.NextRun,
      received: received_request.ReceivedRequest,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      stream: caller_stream.CallerStream,
      forwarded: forward_server.ForwardedCaller | None,
      can_end: Callable[[float], bool],
  ):
    """Creates the decision.

    Args:
      state: The state of this host.
      next_: The runs of the request.
      received: The request as it was received.
      caller: Its caller.
      stream: The stream to the caller.
      forwarded: The caller if it is that of another host, None otherwise.
      can_end: Returns whether the request ends before this process if it is
        passed on at the given time.
    """
    self._state = state
    self._next = next_
    self._received = received
    self._caller = caller
    self._stream = stream
    self._forwarded = forwarded
    self._can_end = can_end
    self._earlier_runs = 0
    if forwarded is not None:
      self._earlier_runs = next_.runs = forwarded.origin.runs
      if forwarded.origin.is_repeat:
        next_.record_prefill()

  async def is_needed_after_failure(self) -> bool:
    """Returns whether this host is found to be apart, and others may help.

    It waits for that only if the request may be sent once more.
    """
    if not self._may_run():
      return False
    await self._state.reach.wait_for_verdict()
    return self.is_needed()

  def is_needed(self) -> bool:
    """Returns whether this host is apart, and others may help.

    A request that was sent before also needs a retry, which is then taken.
    """
    if not self._state.reach.is_apart:
      return False
    if self._forwarded is not None:
      return self._next.runs == self._earlier_runs
    return (
        self._may_run()
        and self._state.may_pass_on()
        and self._next.may_pass_on()
    )

  async def run(self) -> forward_run.ForwardResult:
    """Passes the request on until it has a response or may not run again."""
    call = self._next.call
    if not self._next.has_sent:
      # The host that sends it to an endpoint counts it.
      self._state.budget.forget_request(call.service)
    passing = forward_run.ForwardRun(
        self._state,
        self._received,
        self._caller,
        self._stream,
        call.route.is_idempotent,
        self._can_end,
    )
    while True:
      is_repeat = self._next.has_sent
      result = await passing.run(self._next.runs, is_repeat, call.software)
      if result.outcome is forward_run.Outcome.DECLINED:
        if not self._next.has_given_up or result.reason == stop_guard.STOPPING:
          return result
        # The caller does not lose an answer because a run was given up.
        passing.allow_all()
        await asyncio.sleep(endpoint_send.SECURE_INTERVAL_S)
        continue
      self._next.record_passed_on()
      if result.outcome is forward_run.Outcome.ANSWERED:
        return result
      self._next.has_sent = True
      if result.outcome is not forward_run.Outcome.PREFILLED:
        self._next.runs += 1
      call = self._next.call = call._replace(software=passing.software)
      if not self._may_run() or not self._next.may_pass_on():
        return result

  def _may_run(self) -> bool:
    """Returns whether the request may be sent to an endpoint once more."""
    route = self._next.call.route
    if not self._next.runs:
      return True
    return route.is_idempotent and self._next.runs < route.attempts
