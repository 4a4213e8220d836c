"""HTTP/1.1 connection that a caller opened, based on asyncio.

A connection reads a request completely before it is handled. The request to the
endpoint can then carry an exact length, which prevents request smuggling.
Requests on a connection are handled one at a time, in order.

If a socket is closed while received bytes are unread, or gets more afterwards,
the kernel resets the connection, and the bytes that the caller has not received
are lost. So this side is closed once the caller has acknowledged all bytes, and
requests that arrive until then are answered. Further bytes are discarded until
the caller closes its side, or for some time: it may not have read the response.
"""

import asyncio
import enum
import typing
from collections.abc import Callable

import httptools

from mulberrypick.adapters import received_request
from mulberrypick.adapters import tcp_options
from mulberrypick.adapters import unsent_bytes

if typing.TYPE_CHECKING:
  from mulberrypick.adapters import stream_server

# Pipelined requests read per connection; further ones wait in the kernel.
MAX_PIPELINED_REQUESTS = 4
# Time between the end of an idle limit and the close of the connection (s). A
# request that arrived while the event loop stood still is read in it.
IDLE_CLOSE_DELAY_S = 0.01
# Time for a caller to close its side of a connection once this side is closed
# and all bytes are sent (s).
LINGER_S = 1.0
# Time between checks whether all bytes are sent (s); it is doubled after each
# one, up to the second value.
UNSENT_POLL_S = 0.01
MAX_UNSENT_POLL_S = 0.32
# Bytes buffered for a slow caller before writers have to wait.
MAX_WRITE_BUFFER_BYTES = 262144
REASON_BY_STATUS = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Activity(enum.Enum):
  """What a connection is used for."""

  # A request was received, and its answer is not written to the end.
  ANSWERING = 'answering'
  # A part of a request was received.
  RECEIVING = 'receiving'
  # All is answered, and bytes have not reached the caller.
  UNSENT = 'unsent'
  IDLE = 'idle'
  CLOSED = 'closed'


class ServerConnection(asyncio.Protocol):
  """A connection that a caller opened.

  Attributes:
    has_head: Whether the head of a response to the present request was written.
    request_id: Id of the last request, for logs; set by its handler.
  """

  def __init__(self, server: 'stream_server.StreamServer'):
    self._server = server
    self._loop = asyncio.get_running_loop()
    self._parser = httptools.HttpRequestParser(self)
    self._transport: asyncio.Transport | None = None
    self._pending: list[received_request.ReceivedRequest] = []
    self._is_last_request = False
    self._task: asyncio.Task | None = None
    self._timer: asyncio.TimerHandle | None = None
    self._idle_since = 0.0
    self._poll_s = UNSENT_POLL_S
    self._can_write = asyncio.Event()
    self._can_write.set()
    self._is_reading = False
    self._keeps_alive = True
    self._is_half_closed = False
    self._refusal_status: int | None = None
    self.has_head = False
    self.request_id = ''
    self._reset_request()

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Starts the idle timer; called by the event loop."""
    self._transport = transport
    self._unsent = unsent_bytes.UnsentBytes(transport)
    transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
    tcp_options.set_tcp_options(
        transport.get_extra_info('socket'), self._server.user_timeout_s
    )
    self._peer = (transport.get_extra_info('peername') or ('',))[0]
    self._server.connections.add(self)
    self._start_idle_timer()

  def connection_lost(self, exc: Exception | None) -> None:
    """Cancels the requests of the connection; called by the event loop."""
    self._server.connections.discard(self)
    self._stop_timer()
    self._can_write.set()
    if self._task is not None:
      self._task.cancel()
    elif exc is not None:
      self.report_undelivered('reset')
    self._pending.clear()

  def eof_received(self) -> bool:
    """Closes the connection when the caller closes its sending side."""
    return False

  def pause_writing(self) -> None:
    """Makes `drain` wait; called by the event loop."""
    self._can_write.clear()

  def resume_writing(self) -> None:
    """Ends the wait of `drain`; called by the event loop."""
    self._can_write.set()

  def data_received(self, data: bytes) -> None:
    """Parses received bytes; called by the event loop."""
    if self._refusal_status is not None or self._is_half_closed:
      return
    if not self._is_reading and self._task is None:
      self._set_timer(
          self._server.limits.header_timeout_s, self._refuse_timeout
      )
    self._request_bytes += len(data)
    try:
      self._parser.feed_data(data)
    except httptools.HttpParserUpgrade:
      self._refuse(400)
    except httptools.HttpParserError:
      if self._refusal_status is None:
        self._refuse(400)
      else:
        self._refuse(self._refusal_status)
    is_head = self._is_reading and not self._is_head_read
    if is_head and self._request_bytes > self._server.limits.max_header_bytes:
      self._refuse(431)

  def on_message_begin(self) -> None:
    """Starts a request; called by the parser."""
    self._is_reading = True

  def on_url(self, url: bytes) -> None:
    """Appends a part of the target; called by the parser."""
    self._target += url

  def on_header(self, name: bytes, value: bytes) -> None:
    """Stores a header; called by the parser."""
    self._headers.append((name, value))

  def on_headers_complete(self) -> None:
    """Checks the size of the head; called by the parser."""
    self._is_head_read = True
    self._set_timer(self._server.limits.idle_timeout_s, self._refuse_timeout)
    size = len(self._target)
    expects_continue = False
    for name, value in self._headers:
      size += len(name) + len(value) + 4
      expects_continue = expects_continue or name.lower() == b'expect'
    if size > self._server.limits.max_header_bytes:
      self._refusal_status = 431
      raise ValueError('head too large')
    if expects_continue and self._task is None:
      self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

  def on_body(self, data: bytes) -> None:
    """Appends a part of the body; called by the parser."""
    self._body.append(data)
    self._body_size += len(data)
    if self._body_size > self._server.limits.max_body_bytes:
      self._refusal_status = 413
      raise ValueError('body too large')

  def on_message_complete(self) -> None:
    """Queues a complete request; called by the parser."""
    self._stop_timer()
    if not self._parser.should_keep_alive():
      self._is_last_request = True
    self._pending.append(
        received_request.ReceivedRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._peer,
            self._loop.time(),
            not self._keeps_alive,
        )
    )
    self._reset_request()
    if len(self._pending) >= MAX_PIPELINED_REQUESTS:
      self._transport.pause_reading()
    if self._task is None:
      self._start_next()

  @property
  def is_idle(self) -> bool:
    """Whether it is open, and no request is being read or answered."""
    if self.is_closed:
      return False
    return self._task is None and not self._is_reading and not self._pending

  @property
  def activity(self) -> Activity:
    """What it is used for."""
    if self._task is not None or self._pending:
      return Activity.ANSWERING
    if self._transport.is_closing():
      return Activity.CLOSED
    if self.has_unsent:
      return Activity.UNSENT
    if self._is_half_closed:
      return Activity.CLOSED
    return Activity.RECEIVING if self._is_reading else Activity.IDLE

  @property
  def waiting(self) -> tuple[received_request.ReceivedRequest, ...]:
    """Requests that were received, and wait for the one before them."""
    return tuple(self._pending)

  @property
  def partial_headers(self) -> list[tuple[bytes, bytes]]:
    """Headers received of a request that is not complete."""
    return self._headers

  @property
  def partial_bytes(self) -> int:
    """Bytes received of a request that is not complete."""
    return self._request_bytes

  @property
  def has_unsent(self) -> bool:
    """Whether written bytes have not reached the caller."""
    return self._unsent.measure() > 0

  @property
  def is_closed(self) -> bool:
    """Whether the connection is closed or closing."""
    return self._is_half_closed or self._transport.is_closing()

  @property
  def is_lingering(self) -> bool:
    """Whether this side is closed, and the caller's may be open."""
    return self._is_half_closed and not self._transport.is_closing()

  def close(self) -> None:
    """Closes this side once all written bytes are sent; the rest follows.

    Received bytes are discarded from now on.
    """
    if self.is_closed:
      return
    self._is_half_closed = True
    self._stop_timer()
    self._poll_s = UNSENT_POLL_S
    self._transport.resume_reading()
    try:
      self._transport.write_eof()
    except OSError:
      # The caller has left.
      self._transport.abort()
      return
    self._await_close()

  def close_unused(self) -> None:
    """Closes an idle connection whose bytes are acknowledged.

    A request that crosses the close stays unread, so that its caller knows that
    it was not taken. If the last response was sent a moment ago, its caller may
    not have read it, and a reset would take it.
    """
    if self._loop.time() - self._idle_since < LINGER_S:
      self.close()
      return
    self._transport.close()

  def _close_when_sent(self) -> None:
    """Closes the connection once its caller has acknowledged all bytes."""
    if self._transport.is_closing():
      return
    if not self.has_unsent:
      self.close()
      return
    unread_s = self._loop.time() - self._unsent.since
    if unread_s >= self._server.unread_timeout_s:
      self._drop('not_read')
      return
    self._poll_again(self._close_when_sent)

  def _await_close(self) -> None:
    """Ends a half-closed connection if its caller neither reads nor closes."""
    if self._transport.is_closing():
      return
    limit_s = self._server.unread_timeout_s if self.has_unsent else LINGER_S
    if self._loop.time() - self._unsent.since >= limit_s:
      self._drop('not_read')
      return
    self._poll_again(self._await_close)

  def _poll_again(self, poll: Callable[[], None]) -> None:
    self._set_timer(self._poll_s, poll)
    self._poll_s = min(2 * self._poll_s, MAX_UNSENT_POLL_S)

  def _drop(self, reason: str) -> None:
    """Closes the connection at once, though its caller may lack bytes."""
    self.report_undelivered(reason)
    self._transport.abort()

  def report_undelivered(self, reason: str) -> None:
    """Reports the last response if it is written, and bytes are unsent."""
    if self._task is None and self._unsent.count:
      self._server.on_undelivered(self.request_id, self._unsent.count, reason)
      self._unsent.reset()

  def abort(self) -> None:
    """Closes the connection at once; an open response stays incomplete."""
    self._keeps_alive = False
    self._transport.abort()

  def write_head(
      self, status: int, headers: list[tuple[bytes, bytes]], is_last: bool
  ) -> None:
    """Writes the status line and headers.

    Args:
      status: The status code.
      headers: All headers, including Content-Length or Transfer-Encoding.
      is_last: Whether the connection closes after this response.
    """
    self.has_head = True
    # Requests that were read whole are answered before the connection closes.
    if is_last or (self._server.is_leaving and not self._pending):
      self._keeps_alive = False
    reason = REASON_BY_STATUS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %s\r\n' % (status, reason)]
    for name, value in headers:
      lines.append(name + b': ' + value + b'\r\n')
    if not self._keeps_alive:
      lines.append(b'Connection: close\r\n')
    lines.append(b'\r\n')
    self._transport.write(b''.join(lines))

  def write(self, data: bytes) -> None:
    """Writes bytes of the body as they are."""
    self._transport.write(data)

  async def drain(self) -> None:
    """Waits until the write buffer has room again."""
    await self._can_write.wait()

  def write_response(
      self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
  ) -> None:
    """Writes a complete response."""
    length = (b'Content-Length', b'%d' % len(body))
    self.write_head(status, [*headers, length], False)
    if body:
      self._transport.write(body)

  def _reset_request(self) -> None:
    self._target = b''
    self._headers: list[tuple[bytes, bytes]] = []
    self._body: list[bytes] = []
    self._body_size = 0
    self._request_bytes = 0
    self._is_head_read = False
    self._is_reading = False

  def _start_next(self) -> None:
    received = self._pending.pop(0)
    if self._is_last_request and not self._pending:
      # The caller asked to close the connection after this response.
      self._keeps_alive = False
    self._task = self._loop.create_task(self._serve(received))

  async def _serve(self, received: received_request.ReceivedRequest) -> None:
    self.has_head = False
    self._poll_s = UNSENT_POLL_S
    self._unsent.reset()
    try:
      await self._server.handle(received, self)
    finally:
      self._task = None
      self._on_response_done()

  def _on_response_done(self) -> None:
    if self._transport.is_closing():
      return
    if self._transport.get_write_buffer_size():
      # A reset from now on loses bytes that the log has to name.
      self._unsent.measure()
    if self._pending:
      # Also those before a request that is refused.
      self._transport.resume_reading()
      self._start_next()
      return
    if self._refusal_status is not None:
      if self._keeps_alive:
        self._refuse(self._refusal_status)
      self.close()
      return
    if self._is_last_request:
      self.close()
      return
    if not self._keeps_alive:
      self._close_when_sent()
      return
    if self._is_reading:
      self._set_timer(
          self._server.limits.header_timeout_s, self._refuse_timeout
      )
      return
    self._start_idle_timer()

  def _start_idle_timer(self) -> None:
    self._idle_since = self._loop.time()
    self._set_timer(self._server.limits.idle_timeout_s, self._close_idle)

  def _close_idle(self) -> None:
    # The limit may have been raised since the timer was set.
    limit_s = self._server.limits.idle_timeout_s
    since = self._idle_since
    if self.has_unsent:
      since = self._unsent.since
      limit_s = self._server.unread_timeout_s
    left_s = since + limit_s - self._loop.time()
    if left_s > 0:
      self._set_timer(left_s, self._close_idle)
      return
    if self._unsent.count:
      self._drop('not_read')
      return
    self._set_timer(IDLE_CLOSE_DELAY_S, self.close_unused)

  def _refuse_timeout(self) -> None:
    self._refuse(408)

  def _refuse(self, status: int) -> None:
    self._refusal_status = status
    self._stop_timer()
    if self._task is not None or self._transport.is_closing():
      return
    self._server.on_refused(status, self._peer)
    self._keeps_alive = False
    self.write_response(status, [], b'')
    self.close()

  def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
    self._stop_timer()
    self._timer = self._loop.call_later(delay_s, callback)

  def _stop_timer(self) -> None:
    if self._timer is not None:
      self._timer.cancel()
      self._timer = None
