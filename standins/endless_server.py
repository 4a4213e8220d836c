"""Server whose responses go on for as long as the client reads.

It runs on threads of its own, so that it sends while the event loop of a test
is busy.
"""

import enum
import socket
import threading
import time
from typing import NamedTuple

# The server gives up after this many bytes or this time on a connection.
MAX_SENT_BYTES = 256 << 20
MAX_SEND_S = 3.0
_PIECE_BYTES = 65536
# Limits the bytes that the server's kernel takes before the client reads them.
_SEND_BUFFER_BYTES = 65536
_OWN_BODY = b'own body'


class Case(enum.Enum):
  """What the server sends without end."""

  HEADER_LINE = 'header_line'
  HEADER_LINES = 'header_lines'
  STATUS_LINE = 'status_line'
  BLANK_LINES = 'blank_lines'
  INTERIM_RESPONSES = 'interim_responses'
  FOREIGN_RESPONSES = 'foreign_responses'
  FOREIGN_BODY = 'foreign_body'
  FOREIGN_LONG_BODY = 'foreign_long_body'
  FOREIGN_CHUNKS = 'foreign_chunks'
  FOREIGN_HEADER_LINES = 'foreign_header_lines'
  CHUNK_EXTENSION = 'chunk_extension'
  CHUNK_EXTENSIONS = 'chunk_extensions'
  TRAILER_LINE = 'trailer_line'
  TRAILERS = 'trailers'
  NO_HTTP = 'no_http'
  # The following ones go on in the response's own body.
  REFUSAL_BODY = 'refusal_body'
  BODY = 'body'
  EVENT = 'event'
  EVENTS = 'events'


class Script(NamedTuple):
  """What the server sends.

  Attributes:
    start: Bytes sent once.
    piece: Bytes sent again and again.
  """

  start: bytes
  piece: bytes


class ServedConnection(NamedTuple):
  """One connection on which the server sent.

  Attributes:
    sent_bytes: Bytes that the server's kernel took.
    took_s: Time from the request to the end.
    was_closed: Whether the client closed the connection.
  """

  sent_bytes: int
  took_s: float
  was_closed: bool


def make_script(case: Case, request: bytes) -> Script:
  """Returns what is sent in response to a request with this id."""
  own = (
      b'X-Mulberrypick-Request-Id: %s\r\n'
      b'X-Mulberrypick-Server-Signature: endless\r\n' % request
  )
  chunked = b'HTTP/1.1 200 OK\r\n' + own + b'Transfer-Encoding: chunked\r\n\r\n'
  ended = chunked + b'%x\r\n%s\r\n0\r\n' % (len(_OWN_BODY), _OWN_BODY)
  foreign = b'HTTP/1.1 200 OK\r\nX-Mulberrypick-Request-Id: foreign\r\n'
  line = b'X-Fill: ' + b'a' * 50 + b'\r\n'
  filler = b'a' * 1024
  event = b'id: %d\ndata: piece\n\n'
  scripts = {
      Case.HEADER_LINE: (b'HTTP/1.1 200 OK\r\nX-Fill: ', filler),
      Case.HEADER_LINES: (b'HTTP/1.1 200 OK\r\n', line),
      Case.STATUS_LINE: (b'HTTP/1.1 200 ', filler),
      Case.BLANK_LINES: (b'', b'\r\n'),
      Case.INTERIM_RESPONSES: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
      Case.FOREIGN_RESPONSES: (
          b'',
          foreign + b'Content-Length: 9\r\n\r\nsomething',
      ),
      Case.FOREIGN_BODY: (foreign + b'\r\n', filler),
      Case.FOREIGN_LONG_BODY: (
          foreign + b'Content-Length: 999999999999\r\n\r\n',
          filler,
      ),
      Case.FOREIGN_CHUNKS: (
          foreign + b'Transfer-Encoding: chunked\r\n\r\n',
          b'%x\r\n%s\r\n' % (len(filler), filler),
      ),
      Case.FOREIGN_HEADER_LINES: (foreign, line),
      Case.CHUNK_EXTENSION: (chunked + b'5;extension=', filler),
      Case.CHUNK_EXTENSIONS: (
          chunked,
          b'1;extension=%s\r\nx\r\n' % filler,
      ),
      Case.TRAILER_LINE: (ended + b'X-Fill: ', filler),
      Case.TRAILERS: (ended, line),
      Case.NO_HTTP: (b'', b'\x00\xff no response '),
      Case.REFUSAL_BODY: (
          b'HTTP/1.1 503 Service Unavailable\r\n'
          + own
          + b'X-Mulberrypick-Not-Executed: 1\r\n\r\n',
          filler,
      ),
      Case.BODY: (b'HTTP/1.1 200 OK\r\n' + own + b'\r\n', filler),
      Case.EVENT: (b'HTTP/1.1 200 OK\r\n' + own + b'\r\ndata: ', filler),
      Case.EVENTS: (b'HTTP/1.1 200 OK\r\n' + own + b'\r\n', event % 1),
  }
  start, piece = scripts[case]
  return Script(start, piece)


class EndlessServer:
  """Answers every request with the bytes of a case until the client closes.

  Attributes:
    port: Loopback port that it listens on.
    case: What it sends.
    interval_s: Time between pieces of the script; 0 to send them at once.
    connections: The connections that have ended.
    requests: Number of received requests.
  """

  def __init__(self, case: Case, interval_s: float = 0.0, port: int = 0):
    self.case = case
    self.interval_s = interval_s
    self.connections: list[ServedConnection] = []
    self.requests = 0
    self._listener = socket.create_server(('127.0.0.1', port))
    self._listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
    )
    self.port = self._listener.getsockname()[1]
    self._is_stopped = threading.Event()
    self._threads = [threading.Thread(target=self._accept, daemon=True)]
    self._threads[0].start()

  def stop(self) -> None:
    """Stops listening; waits until all connections have ended."""
    self._is_stopped.set()
    self._listener.shutdown(socket.SHUT_RDWR)
    self._listener.close()
    for thread in self._threads:
      thread.join()

  def _accept(self) -> None:
    while not self._is_stopped.is_set():
      try:
        connection, _ = self._listener.accept()
      except OSError:
        return
      thread = threading.Thread(
          target=self._serve, args=(connection,), daemon=True
      )
      self._threads.append(thread)
      thread.start()

  def _serve(self, connection: socket.socket) -> None:
    with connection:
      connection.settimeout(MAX_SEND_S)
      try:
        request = read_request(connection)
      except OSError:
        return
      if request is None:
        return
      self.requests += 1
      began = time.monotonic()
      sent, was_closed = self._send(connection, request, began)
      self.connections.append(
          ServedConnection(sent, time.monotonic() - began, was_closed)
      )

  def _send(
      self, connection: socket.socket, request: bytes, began: float
  ) -> tuple[int, bool]:
    """Sends until the client closes; returns the bytes, and whether it did."""
    start, piece = make_script(self.case, request)
    if not self.interval_s:
      piece *= max(1, _PIECE_BYTES // len(piece))
    sent = 0
    try:
      sent += connection.send(start)
      while sent < MAX_SENT_BYTES:
        if time.monotonic() - began > MAX_SEND_S:
          break
        connection.sendall(piece)
        sent += len(piece)
        if self.interval_s:
          time.sleep(self.interval_s)
    except TimeoutError:
      return sent, False
    except OSError:
      return sent, True
    return sent, False


def read_request(connection: socket.socket) -> bytes | None:
  """Reads a request; returns its id, None if the connection ended before."""
  data = b''
  while b'\r\n\r\n' not in data:
    received = connection.recv(_PIECE_BYTES)
    if not received:
      return None
    data += received
  head, _, body = data.partition(b'\r\n\r\n')
  fields = {}
  for line in head.split(b'\r\n')[1:]:
    name, _, value = line.partition(b':')
    fields[name.strip().lower()] = value.strip()
  left = int(fields.get(b'content-length', b'0')) - len(body)
  while left > 0:
    received = connection.recv(_PIECE_BYTES)
    if not received:
      return None
    left -= len(received)
  return fields.get(b'x-mulberrypick-request-id', b'')
