"""HTTP/1.1 connections to endpoints and to the store, on the event loop.

A connection carries one exchange at a time. It is strict about what belongs to
the exchange: an answer that the exchange does not accept as its own is skipped,
and whatever arrives after a whole answer ends the connection, so that no byte
of one answer can reach another caller.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import httptools

from mulberrypick.core import errors

# Probes after this long without traffic, so often, so many (s, s, count): a
# peer without power is noticed in about 3 s, within the time that one host may
# take to be seen as lost.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bytes that no peer acknowledges for this long end the connection (ms).
USER_TIMEOUT_MS = 3000
# Bytes of an answer that wait for a caller who reads slowly, before the
# connection to the endpoint waits as well.
MAX_UNREAD_BYTES = 1 << 20
# Requests without a body of the caller carry no length.
_METHODS_WITHOUT_BODY = (b'GET', b'HEAD', b'DELETE')
_STATUSES_WITHOUT_BODY = (204, 304)


class Head(NamedTuple):
  """Status line and headers of an answer.

  Attributes:
    status: The status code.
    headers: Names as sent, and values.
    is_open_ended: Whether only the end of the connection ends the body.
  """

  status: int
  headers: list[tuple[bytes, bytes]]
  is_open_ended: bool

  def get(self, name: bytes) -> bytes | None:
    """Returns the value of the first header of a name in lower case."""
    for key, value in self.headers:
      if key.lower() == name:
        return value
    return None


class Exchange:
  """One request on a connection, and what has come of its answer.

  Attributes:
    is_response_head: Decides from a head whether it answers this request.
    head: The head, once it is here.
    is_done: Whether the answer is whole.
    failure: Why the answer will never be whole, empty if it may be.
    pause: Lets the connection wait, or go on; set by the connection.
  """

  def __init__(self, is_response_head: Callable[[Head], bool]):
    self.is_response_head = is_response_head
    self.head: Head | None = None
    self.is_done = False
    self.failure = ''
    self.pause: Callable[[bool], None] | None = None
    self._chunks: list[bytes] = []
    self._unread_bytes = 0
    self._changed = asyncio.Event()

  def add_head(self, head: Head) -> None:
    """Takes the head in."""
    self.head = head
    self._changed.set()

  def add_body(self, data: bytes) -> None:
    """Takes a part of the body in."""
    self._chunks.append(data)
    self._unread_bytes += len(data)
    if self._unread_bytes > MAX_UNREAD_BYTES and self.pause is not None:
      self.pause(True)
    self._changed.set()

  def finish(self) -> None:
    """Notes that the answer is whole."""
    self.is_done = True
    self._changed.set()

  def fail(self, reason: str) -> None:
    """Notes that the answer will not become whole."""
    if self.is_done or self.failure:
      return
    self.failure = reason
    self._changed.set()

  async def read_head(self) -> Head:
    """Waits for the head.

    Raises:
      ExchangeBrokenError: The connection ended first.
    """
    while self.head is None:
      if self.failure:
        raise errors.ExchangeBrokenError(self.failure)
      self._changed.clear()
      await self._changed.wait()
    return self.head

  async def read_some(self) -> bytes:
    """Waits for more of the body.

    Returns:
      What has arrived; empty at the end of a whole answer.

    Raises:
      ExchangeBrokenError: The answer broke off.
    """
    while not self._chunks:
      if self.is_done:
        return b''
      if self.failure:
        raise errors.ExchangeBrokenError(self.failure)
      self._changed.clear()
      await self._changed.wait()
    data = b''.join(self._chunks)
    self._chunks.clear()
    if self._unread_bytes > MAX_UNREAD_BYTES and self.pause is not None:
      self.pause(False)
    self._unread_bytes = 0
    return data

  async def read_all(self, max_bytes: int) -> bytes:
    """Waits for the whole body.

    Args:
      max_bytes: Bytes at most.

    Raises:
      ExchangeBrokenError: The answer broke off or is larger.
    """
    parts = []
    size = 0
    while data := await self.read_some():
      size += len(data)
      if size > max_bytes:
        raise errors.ExchangeBrokenError('answer_too_large')
      parts.append(data)
    return b''.join(parts)


class ClientConnection(asyncio.Protocol):
  """A connection that this process opened.

  Attributes:
    idle_since: When the last exchange ended, on the loop's clock.
    keep_alive_s: How long the peer keeps it idle, None if it did not say.
    is_reusable: Whether another exchange may follow.
  """

  def __init__(self):
    self.idle_since = 0.0
    self.keep_alive_s: float | None = None
    self.is_reusable = True
    self.on_lost: Callable[[ClientConnection], None] | None = None
    self._transport: asyncio.Transport | None = None
    self._exchange: Exchange | None = None
    self._parser = httptools.HttpResponseParser(self)
    self._headers: list[tuple[bytes, bytes]] = []
    self._is_skipping = False
    self._is_open_ended = False
    self._has_ended = False

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Keeps the transport; called by the loop."""
    self._transport = transport
    set_tcp_options(transport.get_extra_info('socket'))

  @property
  def is_open(self) -> bool:
    """Whether another exchange can be sent here."""
    transport = self._transport
    return (
        self.is_reusable
        and self._exchange is None
        and transport is not None
        and not transport.is_closing()
    )

  def send(self, request: bytes, exchange: Exchange) -> None:
    """Sends a request; the exchange hears of its answer."""
    self._exchange = exchange
    exchange.pause = self._pause
    self._transport.write(request)

  def abort(self) -> None:
    """Ends the connection at once, so that the peer stops its work."""
    self.is_reusable = False
    if self._transport is not None:
      self._transport.abort()

  def close(self) -> None:
    """Closes an idle connection."""
    self.is_reusable = False
    if self._transport is not None:
      self._transport.close()

  def data_received(self, data: bytes) -> None:
    """Parses what arrived; called by the loop."""
    if self._exchange is None:
      self.abort()
      return
    try:
      self._parser.feed_data(data)
    except httptools.HttpParserError:
      self._fail_exchange('not_http')
      self.abort()

  def eof_received(self) -> bool:
    """Ends an answer that has no other end; called by the loop."""
    exchange = self._exchange
    if exchange is not None and self._is_open_ended and not self._is_skipping:
      self._exchange = None
      exchange.finish()
    return False

  def connection_lost(self, exc: Exception | None) -> None:
    """Fails what was under way; called by the loop."""
    self.is_reusable = False
    self._fail_exchange('reset' if exc else 'closed')
    if self.on_lost is not None:
      self.on_lost(self)

  def on_message_begin(self) -> None:
    """Starts a head; called by the parser."""
    self._headers = []
    if self._exchange is None:
      self.is_reusable = False

  def on_header(self, name: bytes, value: bytes) -> None:
    """Keeps a header; called by the parser."""
    self._headers.append((name, value))

  def on_headers_complete(self) -> None:
    """Hands a head to its exchange; called by the parser."""
    status = self._parser.get_status_code()
    if status < 200:
      self._is_skipping = True
      return
    self._is_open_ended = _is_open_ended(status, self._headers)
    head = Head(status, self._headers, self._is_open_ended)
    self._read_connection_headers(head)
    exchange = self._exchange
    if exchange is None:
      return
    if not exchange.is_response_head(head):
      # The rest of the connection is not to be trusted with another request.
      self.is_reusable = False
      self._is_skipping = True
      return
    exchange.add_head(head)

  def on_body(self, data: bytes) -> None:
    """Hands a part of the body on; called by the parser."""
    if self._exchange is not None and not self._is_skipping:
      self._exchange.add_body(data)

  def on_message_complete(self) -> None:
    """Ends the exchange; called by the parser."""
    if self._is_skipping:
      self._is_skipping = False
      return
    exchange = self._exchange
    if exchange is None:
      return
    self._exchange = None
    self.idle_since = asyncio.get_running_loop().time()
    exchange.finish()

  def _pause(self, should_pause: bool) -> None:
    if self._transport.is_closing():
      return
    if should_pause:
      self._transport.pause_reading()
      return
    self._transport.resume_reading()

  def _read_connection_headers(self, head: Head) -> None:
    if (head.get(b'connection') or b'').lower() == b'close':
      self.is_reusable = False
    if head.is_open_ended:
      self.is_reusable = False
    self.keep_alive_s = parse_keep_alive(head.get(b'keep-alive'))

  def _fail_exchange(self, reason: str) -> None:
    exchange = self._exchange
    self._exchange = None
    self.is_reusable = False
    if exchange is not None:
      exchange.fail(reason)


def set_tcp_options(sock: socket.socket) -> None:
  """Lets the kernel notice a peer that is gone without a word."""
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  tcp = socket.IPPROTO_TCP
  sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
  sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
  sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
  sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def parse_keep_alive(value: bytes | None) -> float | None:
  """Reads the seconds of a Keep-Alive header, None if it names none."""
  if value is None:
    return None
  for part in value.split(b','):
    key, _, number = part.strip().partition(b'=')
    if key.lower() == b'timeout' and number.isdigit():
      return float(number)
  return None


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
  """Writes a request with a length."""
  lines = [method + b' ' + target + b' HTTP/1.1\r\n']
  for name, value in headers:
    lines.append(name + b': ' + value + b'\r\n')
  if body or method not in _METHODS_WITHOUT_BODY:
    lines.append(b'Content-Length: %d\r\n' % len(body))
  lines.append(b'\r\n')
  lines.append(body)
  return b''.join(lines)


async def connect(host: str, port: int, timeout_s: float) -> ClientConnection:
  """Opens a connection.

  Raises:
    ConnectError: It could not be opened in time.
  """
  loop = asyncio.get_running_loop()
  try:
    async with asyncio.timeout(timeout_s):
      _, connection = await loop.create_connection(ClientConnection, host, port)
  except (OSError, TimeoutError) as error:
    raise errors.ConnectError(f'{host}:{port}', repr(error)) from error
  return connection


def _is_open_ended(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
  if status in _STATUSES_WITHOUT_BODY:
    return False
  for name, _ in headers:
    if name.lower() in (b'content-length', b'transfer-encoding'):
      return False
  return True
