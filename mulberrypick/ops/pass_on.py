"""Decides whether a request is passed on to another host, and does so."""

from mulberrypick.adapters import stream_server
from mulberrypick.ops import caller_stream
from mulberrypick.ops import forward_run
from mulberrypick.ops import forward_server
from mulberrypick.ops import gateway_state
from mulberrypick.ops import next_run


class PassOn:
  """One request at a host that may be apart from all endpoints.

  A request that another host passed on is never passed on again.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      next_: next_run.NextRun,
      received: stream_server.ReceivedRequest,
      caller: stream_server.ServerConnection | forward_server.ForwardedCaller,
      stream: caller_stream.CallerStream,
      forwarded: forward_server.ForwardedCaller | None,
  ):
    """Creates the decision.

    Args:
      state: The state of this host.
      next_: The runs of the request.
      received: The request as it was received.
      caller: Its caller.
      stream: The stream to the caller.
      forwarded: The caller if it is that of another host, None otherwise.
    """
    self._state = state
    self._next = next_
    self._received = received
    self._caller = caller
    self._stream = stream
    self._forwarded = forwarded
    self._earlier_runs = 0
    if forwarded is not None:
      self._earlier_runs = next_.runs = forwarded.origin.runs

  def may_begin(self) -> bool:
    """Returns whether a request of another host may be sent to an endpoint.

    If it may have run before, this takes a retry from the budget.
    """
    if not self._earlier_runs:
      return True
    passed_on = next_run.AttemptResult(False, True, 'forwarded')
    return self._next.may_retry(passed_on)

  async def is_needed_after_failure(self) -> bool:
    """Returns whether this host is found to be apart, and others may help.

    It waits for that only if the request may be sent once more.
    """
    if not self._may_run():
      return False
    await self._state.reach.wait_for_verdict()
    return self.is_needed()

  def is_needed(self) -> bool:
    """Returns whether this host is apart, and others may help."""
    if not self._state.reach.is_apart:
      return False
    if self._forwarded is not None:
      return self._next.runs == self._earlier_runs
    return self._may_run() and self._state.may_pass_on()

  async def run(self) -> forward_run.ForwardResult:
    """Passes the request on until it has a response or may not run again."""
    call = self._next.call
    if not self._next.runs:
      # The host that sends it to an endpoint counts it.
      self._state.budget.forget_request(call.service)
    passing = forward_run.ForwardRun(
        self._state,
        self._received,
        self._caller,
        self._stream,
        call.route.is_idempotent,
    )
    while True:
      result = await passing.run(self._next.runs, call.software)
      if result.outcome is not forward_run.Outcome.BROKEN:
        return result
      self._next.runs += 1
      call = self._next.call = call._replace(software=passing.software)
      if not self._may_run():
        return result

  def _may_run(self) -> bool:
    """Returns whether the request may be sent to an endpoint once more."""
    route = self._next.call.route
    if not self._next.runs:
      return True
    return route.is_idempotent and self._next.runs < route.attempts
