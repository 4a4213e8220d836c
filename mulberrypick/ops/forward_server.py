"""Takes requests that other hosts pass on, and sends them to endpoints.

Requests are accepted from known hosts only, on a port of their own: no request
on a caller's connection can pass for one of these.
"""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from mulberrypick.adapters import logs
from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.ops import forward_message
from mulberrypick.ops import gateway_state
from mulberrypick.platform import requests

_log = logging.getLogger(__name__)
# Requests of other hosts that this one works on at a time; it declines others.
MAX_TAKEN = 128
# Reasons for which a request is declined.
APART = 'apart'
BUSY = 'busy'
LEAVING = 'leaving'
OLD_CONFIG = 'old_config'


class ForwardedCaller:
  """Connection to the caller of another host.

  It has the interface of `ServerConnection` that responses use.

  Attributes:
    origin: The request as the other host passed it on.
    last_event: Id of the last event written, None without one.
    software: Software version that the stream is bound to, None if to none.
    leaving: Name and start time of the endpoint that answers, if it said that
      it leaves.
  """

  def __init__(
      self,
      origin: forward_message.ForwardedRequest,
      connection: server_connection.ServerConnection,
  ):
    self.origin = origin
    self.last_event = origin.last_event
    self.software = origin.software
    self.leaving: tuple[str, int] | None = None
    self._connection = connection
    self._has_begun = False

  @property
  def is_closed(self) -> bool:
    """Whether the other host has closed the connection."""
    return self._connection.is_closed

  def write_response(
      self, status: int, headers: forward_message.Headers, body: bytes
  ) -> None:
    """Writes a complete response."""
    self._write(forward_message.Whole(status, headers, body, self.leaving))
    self._end_message()

  def write_head(
      self, status: int, headers: forward_message.Headers, is_last: bool
  ) -> None:
    """Writes the head of a stream."""
    del is_last
    self._write(
        forward_message.Head(status, headers, self.software, self.leaving)
    )

  def write(self, data: bytes) -> None:
    """Writes bytes of a stream."""
    self._write(forward_message.Data(data, self.last_event))

  async def drain(self) -> None:
    """Waits until the write buffer has room again."""
    await self._connection.drain()

  def finish(self) -> None:
    """Ends a complete stream."""
    self._write(forward_message.End())
    self._end_message()

  def decline(self, reason: str, has_sent: bool = False) -> None:
    """Tells the other host that no endpoint ran the request.

    Args:
      reason: Identifier of the cause.
      has_sent: Whether an endpoint received it, to read its prompt.
    """
    self._write(forward_message.Declined(reason, has_sent))
    self._end_message()

  def abort(self) -> None:
    """Closes the connection at once; the response stays incomplete."""
    self._connection.abort()

  def _end_message(self) -> None:
    self._connection.write(b'0\r\n\r\n')

  def _write(self, frame: forward_message.Frame) -> None:
    if not self._has_begun:
      self._has_begun = True
      chunked = (b'Transfer-Encoding', b'chunked')
      self._connection.write_head(200, [chunked], False)
    encoded = forward_message.encode_frame(frame)
    self._connection.write(b'%x\r\n%s\r\n' % (len(encoded), encoded))


class ForwardServer:
  """Takes requests of other hosts."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      answer: Callable[
          [received_request.ReceivedRequest, ForwardedCaller], Awaitable[None]
      ],
      is_host: Callable[[str], bool],
  ):
    """Creates a server.

    Args:
      state: The state of this host.
      answer: Responds to a request.
      is_host: Returns whether a known host has an IP address.
    """
    self._state = state
    self._answer = answer
    self._is_host = is_host

  async def handle(
      self,
      received: received_request.ReceivedRequest,
      connection: server_connection.ServerConnection,
  ) -> None:
    """Responds to one request of another host."""
    is_forwarded = (
        received.method == forward_message.METHOD
        and received.target == forward_message.PATH
    )
    if not is_forwarded or not self._is_host(received.peer):
      self._log_refused(received, 'not_a_host')
      connection.write_response(404, [], b'')
      return
    try:
      origin = forward_message.decode_request(received.body)
    except msgspec.DecodeError as error:
      self._log_refused(received, str(error))
      connection.write_response(400, [], b'')
      return
    connection.request_id = requests.find_id(origin.headers)
    caller = ForwardedCaller(origin, connection)
    reason = self._reason_to_decline(origin)
    if reason:
      caller.decline(reason)
      return
    await self._take(origin, caller)

  async def _take(
      self,
      origin: forward_message.ForwardedRequest,
      caller: ForwardedCaller,
  ) -> None:
    state = self._state
    received = received_request.ReceivedRequest(
        origin.method,
        origin.target,
        origin.headers,
        origin.body,
        origin.peer,
        asyncio.get_running_loop().time() - origin.elapsed_s,
    )
    state.taken += 1
    state.taken_count += 1
    try:
      await self._answer(received, caller)
    except Exception:
      # It is unknown then whether the request ran.
      _log.exception('forwarded_call_fault')
      caller.abort()
    finally:
      state.taken -= 1

  def _reason_to_decline(self, origin: forward_message.ForwardedRequest) -> str:
    state = self._state
    if state.has_stopped_listening:
      return LEAVING
    if state.reach.is_apart:
      return APART
    if state.config is None or state.config.version < origin.config_version:
      return OLD_CONFIG
    if state.taken >= MAX_TAKEN:
      return BUSY
    return ''

  def _log_refused(
      self, received: received_request.ReceivedRequest, reason: str
  ) -> None:
    logs.log_event(
        _log,
        logging.WARNING,
        'forwarded_call_refused',
        peer=received.peer,
        reason=reason,
    )
