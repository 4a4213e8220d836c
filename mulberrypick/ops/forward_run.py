"""Passes a request on to a host that reaches endpoints, and its answer back."""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import helper_choice
from mulberrypick.ops import caller_stream
from mulberrypick.ops import forward_message
from mulberrypick.ops import gateway_state
from mulberrypick.ops import stop_guard

_log = logging.getLogger(__name__)
# Hosts that are asked to take one request.
MAX_HELPERS = 4
# Time limit for the end of a response of which all was received.
END_TIMEOUT_S = 0.1
NO_HELPER = 'no_helper'


class Outcome(enum.Enum):
  """How passing a request on ended."""

  # The caller has its whole response.
  ANSWERED = 'answered'
  # No host took it; nothing was sent to endpoints on its behalf.
  DECLINED = 'declined'
  # The host that took it could not go on. No endpoint ran it, but one read its
  # prompt, so that sending it again needs a retry.
  PREFILLED = 'prefilled'
  # It was taken, and its response broke off; it may have run.
  BROKEN = 'broken'


class ForwardResult(NamedTuple):
  """Result of passing a request on.

  Attributes:
    outcome: How it ended.
    reason: Identifier of the cause, for logs.
    helper: Name of the host that took it, empty if none did.
  """

  outcome: Outcome
  reason: str
  helper: str


class ForwardRun:
  """Passes one request on.

  Attributes:
    software: Software version that began the stream, None if unknown.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
      stream: caller_stream.CallerStream,
      is_idempotent: bool,
      can_end: Callable[[float], bool],
  ):
    """Creates a run.

    Args:
      state: The state of this host.
      received: The request as it was received.
      caller: Its caller.
      stream: The stream to the caller.
      is_idempotent: Whether the request may run twice.
      can_end: Returns whether the request ends before this process if it is
        passed on at the given time.
    """
    self._state = state
    self._received = received
    self._caller = caller
    self._stream = stream
    self._is_idempotent = is_idempotent
    self._can_end = can_end
    self._tried: set[str] = set()
    self.software: str | None = None

  def allow_all(self) -> None:
    """Allows the hosts that declined the request to be asked again."""
    self._tried.clear()

  async def run(
      self, runs: int, is_repeat: bool, software: str | None
  ) -> ForwardResult:
    """Passes the request on to one host after the other until one takes it.

    Args:
      runs: Number of endpoints that may have run it.
      is_repeat: Whether it was sent to an endpoint before.
      software: Software version that the stream is bound to.
    """
    helpers = self._state.helpers
    self.software = software
    result = ForwardResult(Outcome.DECLINED, NO_HELPER, '')
    for _ in range(MAX_HELPERS):
      helper = helpers.choose(self._tried, asyncio.get_running_loop().time())
      if helper is None:
        break
      self._tried.add(helper.name)
      helpers.begin(helper.name)
      try:
        result = await self._send_to(helper, runs, is_repeat)
      finally:
        helpers.end(helper.name)
      if (
          result.outcome is not Outcome.DECLINED
          or result.reason == stop_guard.STOPPING
      ):
        break
      helpers.record_declined(helper.name, asyncio.get_running_loop().time())
    return result

  async def _send_to(
      self, helper: helper_choice.Helper, runs: int, is_repeat: bool
  ) -> ForwardResult:
    links = self._state.forward_links
    try:
      connection = await links.acquire(
          helper.ip, helper.port, not self._is_idempotent
      )
    except errors.ConnectError:
      return ForwardResult(Outcome.DECLINED, 'connect', helper.name)
    if not self._can_end(asyncio.get_running_loop().time()):
      links.release(helper.ip, helper.port, connection)
      return ForwardResult(Outcome.DECLINED, stop_guard.STOPPING, '')
    self._state.forwarded_count += 1
    exchange = stream_client.Exchange(source=helper.name)
    try:
      connection.send(self._encode(helper, runs, is_repeat), exchange)
      return await self._read_response(exchange, helper)
    except (errors.ExchangeBrokenError, ValueError) as error:
      self._log_broken(helper, error)
      return ForwardResult(Outcome.BROKEN, 'helper_broke', helper.name)
    finally:
      if exchange.is_done:
        links.release(helper.ip, helper.port, connection)
      else:
        # The helper ends the run at the endpoint.
        connection.abort()

  async def _read_response(
      self, exchange: stream_client.Exchange, helper: helper_choice.Helper
  ) -> ForwardResult:
    """Passes the response on to the caller as it arrives."""
    head = await exchange.read_head()
    if head.status != 200:
      # The helper does not know this host, so that it did not take it.
      return ForwardResult(
          Outcome.DECLINED, f'status_{head.status}', helper.name
      )
    reader = forward_message.FrameReader()
    while data := await exchange.read_some():
      for frame in reader.feed(data):
        reason = self._handle_frame(frame)
        if reason is None:
          continue
        outcome = Outcome.ANSWERED
        if isinstance(frame, forward_message.Declined):
          outcome = Outcome.DECLINED
          if frame.has_sent:
            outcome = Outcome.PREFILLED
        # The rest only ends the response of the helper.
        await self._finish(exchange)
        return ForwardResult(outcome, reason, helper.name)
      exchange.keep(reader.partial_bytes)
      await self._caller.drain()
    raise errors.ExchangeBrokenError('no_end')

  async def _finish(self, exchange: stream_client.Exchange) -> None:
    """Reads the end of a response, so that its connection can be reused."""
    try:
      async with asyncio.timeout(END_TIMEOUT_S):
        await exchange.read_all(forward_message.LENGTH_BYTES)
    except (errors.ExchangeBrokenError, TimeoutError) as error:
      logs.log_event(
          _log, logging.INFO, 'helper_end_missing', error=repr(error)
      )

  def _handle_frame(self, frame: forward_message.Frame) -> str | None:
    """Writes a frame to the caller.

    Returns:
      Identifier of how the request ended, None if its response goes on.
    """
    if isinstance(frame, forward_message.Declined):
      return frame.reason
    if isinstance(frame, forward_message.Whole):
      if self._stream.has_head:
        raise errors.ExchangeBrokenError('whole_in_stream')
      self._record_leaving(frame.leaving)
      self._caller.write_response(frame.status, frame.headers, frame.body)
      return f'status_{frame.status}'
    if isinstance(frame, forward_message.End):
      self._stream.write_end()
      return 'stream'
    if isinstance(frame, forward_message.Head):
      self._record_leaving(frame.leaving)
      self.software = frame.software
      self._stream.has_head = True
      self._caller.write_head(frame.status, frame.headers, False)
      return None
    self._stream.last_event = frame.last_event
    self._caller.write(frame.data)
    return None

  def _record_leaving(self, incarnation: tuple[str, int] | None) -> None:
    """Records what the answer that is passed on says of its endpoint.

    This host may send to it later, and may not hear who else knows.
    """
    if incarnation is not None:
      self._state.record_said_leaving(incarnation, 'passed_on')

  def _encode(
      self, helper: helper_choice.Helper, runs: int, is_repeat: bool
  ) -> bytes:
    received = self._received
    config = self._state.config
    now = asyncio.get_running_loop().time()
    request = forward_message.ForwardedRequest(
        host=self._state.host.name,
        method=received.method,
        target=received.target,
        headers=received.headers,
        body=received.body,
        peer=received.peer,
        elapsed_s=now - received.received_at,
        config_version=config.version if config else 0,
        runs=runs,
        is_repeat=is_repeat,
        has_head=self._stream.has_head,
        last_event=self._stream.last_event,
        software=self.software,
    )
    host = (b'Host', f'{helper.ip}:{helper.port}'.encode())
    return stream_client.encode_request(
        forward_message.METHOD,
        forward_message.PATH,
        [host],
        forward_message.encode_request(request),
    )

  def _log_broken(self, helper: helper_choice.Helper, error: Exception) -> None:
    logs.log_event(
        _log,
        logging.WARNING,
        'helper_broke',
        helper=helper.name,
        error=str(error),
        last_event=self._stream.last_event,
    )
