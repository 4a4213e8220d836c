"""HTTP server for callers and operators, based on cheroot.

cheroot serves each request on a thread of a fixed pool. This module keeps slow
or disconnected clients from occupying the pool, and gives errors of the server
itself the JSON body that the rest of the system uses:

* a watchdog aborts requests that take too long to arrive,
* a monitor detects clients that disconnect while their request is processed,
* if all threads are busy and the short queue is full, a new connection gets
  status 503 at once.
"""

import json
import queue
import select
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cheroot import server as cheroot_server
from cheroot import wsgi

ENVIRON_CONNECTION = 'mulberrypick.connection'
READ_CHECK_INTERVAL_S = 0.25
DISCONNECT_CHECK_INTERVAL_S = 0.1
BUSY_RETRY_AFTER_S = 1
ERROR_TYPE_BY_STATUS = {
    400: 'bad_request',
    408: 'request_timeout',
    413: 'too_large',
    414: 'too_large',
    500: 'internal_error',
    503: 'overloaded',
}


class ServerLimits(NamedTuple):
  """Limits of the server.

  Attributes:
    threads: Number of threads, and so of requests served at the same time.
    queue: Maximum number of connections that wait for a thread.
    max_header_bytes: Maximum size of the request line and headers.
    request_read_timeout_s: Time that a client may take to send its request.
    idle_timeout_s: Time that a connection may stay idle.
  """

  threads: int = 256
  queue: int = 64
  max_header_bytes: int = 16_384
  request_read_timeout_s: float = 10.0
  idle_timeout_s: float = 30.0


def encode_server_error(status: int, message: str) -> bytes:
  """Encodes the JSON body of an error response of the server itself."""
  error = {
      'type': ERROR_TYPE_BY_STATUS.get(status, 'bad_request'),
      'message': message,
      'run': 'not_run',
      'retry_after_s': BUSY_RETRY_AFTER_S if status == 503 else 0,
      'request_id': '',
  }
  return json.dumps({'error': error}).encode()


class RequestReadWatchdog(threading.Thread):
  """Aborts requests that take too long to arrive."""

  def __init__(self, request_read_timeout_s: float):
    super().__init__(name='sender-guard', daemon=True)
    self._request_read_timeout_s = request_read_timeout_s
    self._lock = threading.Lock()
    self._started_at_by_connection: dict[Any, float] = {}

  def begin(self, connection: Any) -> None:
    """Starts the timeout of a request."""
    with self._lock:
      self._started_at_by_connection[connection] = time.monotonic()

  def end(self, connection: Any) -> None:
    """Ends the timeout: the request has arrived or the connection ended."""
    with self._lock:
      self._started_at_by_connection.pop(connection, None)

  def run(self) -> None:
    """Checks for overdue requests until the process ends."""
    while True:
      time.sleep(READ_CHECK_INTERVAL_S)
      started_before = time.monotonic() - self._request_read_timeout_s
      for connection in self._pop_overdue(started_before):
        connection.is_too_slow = True
        _shut_down_reading(connection.socket)

  def _pop_overdue(self, started_before: float) -> list[Any]:
    with self._lock:
      overdue = [
          connection
          for connection, at in self._started_at_by_connection.items()
          if at < started_before
      ]
      for connection in overdue:
        del self._started_at_by_connection[connection]
    return overdue


def _shut_down_reading(sock: socket.socket) -> None:
  try:
    sock.shutdown(socket.SHUT_RD)
  except OSError:
    pass  # The connection is already closed.


class DisconnectMonitor(threading.Thread):
  """Detects clients that disconnect while their request is processed."""

  def __init__(self) -> None:
    super().__init__(name='caller-watch', daemon=True)
    self._selector = selectors.DefaultSelector()
    self._lock = threading.Lock()

  def begin(self, connection: Any, on_disconnect: Callable[[], None]) -> None:
    """Watches a connection; calls `on_disconnect` at most once before `end`."""
    with self._lock:
      try:
        self._selector.register(
            connection.socket, selectors.EVENT_READ, on_disconnect
        )
      except (ValueError, KeyError, OSError):
        on_disconnect()

  def end(self, connection: Any) -> None:
    """Stops watching a connection."""
    with self._lock:
      self._unregister(connection.socket)

  def run(self) -> None:
    """Checks for disconnects until the process ends."""
    while True:
      # Not all selectors allow changes while `select` waits in another thread.
      # So this loop sleeps, and polls without waiting.
      time.sleep(DISCONNECT_CHECK_INTERVAL_S)
      for on_disconnect in self._pop_disconnected():
        on_disconnect()

  def _pop_disconnected(self) -> list[Callable[[], None]]:
    callbacks = []
    with self._lock:
      for key, _ in self._selector.select(timeout=0):
        if _is_disconnected(key.fileobj):
          callbacks.append(key.data)
        # A pipelined request would keep the socket readable permanently.
        self._unregister(key.fileobj)
    return callbacks

  def _unregister(self, sock: Any) -> None:
    try:
      self._selector.unregister(sock)
    except (ValueError, KeyError):
      pass  # It was already removed, or never registered.


def _is_disconnected(sock: Any) -> bool:
  try:
    ready, _, _ = select.select([sock], [], [], 0)
    return bool(ready) and not sock.recv(1, socket.MSG_PEEK)
  except (OSError, ValueError):
    return True


class _JsonRequest(cheroot_server.HTTPRequest):
  """A request whose errors outside the application have a JSON body."""

  def write(self, chunk: bytes) -> None:
    """Writes a part of the response; a chunk takes one system call."""
    if self.chunked_write and chunk:
      self.conn.send_chunk(chunk)
      return
    super().write(chunk)

  def simple_response(self, status: Any, msg: Any = '') -> None:
    """Sends an error of the server itself and closes the connection."""
    code = int(str(status)[:3])
    if getattr(self.conn, 'is_too_slow', False):
      code, status, msg = 408, '408 Request Timeout', 'request sent too slowly'
    if isinstance(msg, bytes):
      msg = msg.decode('latin-1')
    body = encode_server_error(code, msg or str(status)[4:])
    self.close_connection = True
    head = (
        f'HTTP/1.1 {status}\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    try:
      self.conn.wfile.write(head.encode('latin-1') + body)
    except OSError:
      pass  # The client has disconnected.


class _MonitoredConnection(cheroot_server.HTTPConnection):
  """A connection that is closed if a request takes too long to arrive."""

  RequestHandlerClass = _JsonRequest
  is_too_slow = False
  _is_blocking = False

  def communicate(self) -> bool:
    """Serves one request."""
    self.server.read_watchdog.begin(self)
    try:
      return super().communicate()
    finally:
      self.server.read_watchdog.end(self)
      self._restore_timeout()

  def send_chunk(self, chunk: bytes) -> None:
    """Sends a chunk of a stream.

    A Python socket with a timeout polls before each write, and cheroot's
    writer adds a buffer; together they double the system calls for each token.
    Here the socket is in blocking mode with a kernel send timeout instead.

    Raises:
      TimeoutError: The client reads too slowly.
    """
    if not self._is_blocking:
      self._set_blocking()
    try:
      self.socket.sendall(b'%x\r\n%b\r\n' % (len(chunk), chunk))
    except BlockingIOError:
      raise TimeoutError('the client reads too slowly') from None

  def _set_blocking(self) -> None:
    self._is_blocking = True
    timeout = struct.pack('ll', int(self.server.timeout), 0)
    self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
    self.socket.settimeout(None)

  def _restore_timeout(self) -> None:
    if not self._is_blocking:
      return
    self._is_blocking = False
    try:
      self.socket.settimeout(self.server.timeout)
    except OSError:
      pass  # The connection is already closed.


class _Gateway(wsgi.Gateway_10):
  """WSGI gateway that gives the application access to the connection."""

  def get_environ(self) -> dict[str, Any]:
    """Returns the WSGI environment."""
    environ = super().get_environ()
    environ[ENVIRON_CONNECTION] = self.req.conn
    return environ


class HttpServer(wsgi.Server):
  """HTTP server: `prepare` binds, `serve` runs, `stop` drains.

  Attributes:
    read_watchdog: Aborts requests that take too long to arrive.
    disconnect_monitor: Detects clients that disconnect.
  """

  ConnectionClass = _MonitoredConnection

  def __init__(
      self,
      listen: tuple[str, int],
      application: Callable[..., Any],
      limits: ServerLimits,
      drain_s: float,
  ):
    """Creates a server that does not listen yet.

    Args:
      listen: IP and port.
      application: The WSGI application.
      limits: Limits of the server.
      drain_s: Maximum time that `stop` waits for running requests.
    """
    super().__init__(
        listen,
        application,
        numthreads=limits.threads,
        max=limits.threads,
        request_queue_size=1024,
        timeout=limits.idle_timeout_s,
        shutdown_timeout=drain_s,
        accepted_queue_size=limits.queue,
        accepted_queue_timeout=0.01,
    )
    self.gateway = _Gateway
    self.max_request_header_size = limits.max_header_bytes
    self.server_name = 'mulberrypick'
    self.read_watchdog = RequestReadWatchdog(limits.request_read_timeout_s)
    self.disconnect_monitor = DisconnectMonitor()

  def start_in_background(self) -> None:
    """Binds the socket, then serves on background threads."""
    self.prepare()
    self.read_watchdog.start()
    self.disconnect_monitor.start()
    threading.Thread(target=self.serve, name='http', daemon=True).start()

  def process_conn(self, conn: Any) -> None:
    """Queues a connection, or refuses it at once if the queue is full."""
    try:
      self.requests.put(conn)
    except queue.Full:
      _refuse_connection(conn)


def _refuse_connection(conn: Any) -> None:
  body = encode_server_error(503, 'all threads of this entry are busy')
  head = (
      'HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n'
      f'Content-Length: {len(body)}\r\nRetry-After: {BUSY_RETRY_AFTER_S}\r\n'
      'Connection: close\r\n\r\n'
  )
  try:
    conn.socket.settimeout(0.1)
    conn.socket.sendall(head.encode('latin-1') + body)
  except OSError:
    pass  # The client has disconnected.
  conn.linger = True
  conn.close()
