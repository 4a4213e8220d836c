"""HTTP server of all simulated programs.

A simulated program is an `App` with a method that turns a `Call` into an
`Answer`. This module serves it with cheroot, and adds the faults that all
programs support: to refuse or disconnect callers of a partitioned zone, to
freeze, and to close a connection without an answer.
"""

import abc
import logging
import select
import socket
import sys
import threading
import time
import urllib.parse
from collections.abc import Iterable
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

import logfmter
import msgspec
from cheroot import wsgi

BACKLOG = 1024
CONNECTION_TIMEOUT_S = 120
FREEZE_POLL_INTERVAL_S = 0.01
JSON = 'application/json'
EVENT_STREAM = 'text/event-stream'
_SOCKET_KEY = 'standins.socket'

log = logging.getLogger(__name__)


class Call(NamedTuple):
  """One HTTP request.

  Attributes:
    method: HTTP method.
    path: Decoded path without the query.
    argument_by_name: Query arguments.
    headers: The WSGI environment.
    body: Request body.
    source_ip: IP address of the caller.
    socket: Socket of the connection.
  """

  method: str
  path: str
  argument_by_name: dict[str, str]
  headers: Mapping[str, str]
  body: bytes
  source_ip: str
  socket: socket.socket

  def is_caller_gone(self) -> bool:
    """Returns whether the caller closed the connection."""
    # MSG_DONTWAIT does not suffice: a Python socket with a timeout waits for
    # data before it calls recv.
    poll = select.poll()
    try:
      poll.register(self.socket, select.POLLIN)
      if not poll.poll(0):
        return False
      return self.socket.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
      return True

  def drop(self) -> None:
    """Shuts the connection down immediately."""
    try:
      self.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
      return


class Answer(NamedTuple):
  """One HTTP response.

  Attributes:
    status: HTTP status.
    body: Response body, or an iterable that streams it.
    content_type: Media type of the body.
    headers: Additional headers.
  """

  status: int
  body: bytes | Iterable[bytes]
  content_type: str = JSON
  headers: tuple[tuple[str, str], ...] = ()


class DropConnectionError(Exception):
  """Raised by an app to close the connection without an answer."""


class CutFault(NamedTuple):
  """Callers that a simulated partition separates from the program.

  Attributes:
    prefixes: Prefixes of their source IP addresses.
    is_dropped: Whether to close their connections instead of answering 403.
  """

  prefixes: tuple[str, ...] = ()
  is_dropped: bool = False


class App(abc.ABC):
  """Base class of a simulated program with an HTTP interface.

  Attributes:
    cut: Callers that can't reach the program.
    frozen_until: Monotonic time until which no request is answered.
  """

  def __init__(self):
    self.cut = CutFault()
    self.frozen_until = 0.0

  @abc.abstractmethod
  def handle(self, call: Call) -> Answer:
    """Answers one request.

    Raises:
      DropConnectionError: To close the connection without an answer.
    """

  @abc.abstractmethod
  def set_fault(self, name: str, value: object) -> None:
    """Sets one fault of `POST /faults` that only this program supports.

    Raises:
      ValueError: The fault is unknown.
    """

  def freeze(self, until: float) -> None:
    """Delays all answers until a monotonic time."""
    self.frozen_until = until

  def dispatch(self, call: Call) -> Answer:
    """Applies the faults common to all programs, then answers."""
    if call.path == '/faults' and call.method == 'POST':
      return self._set_faults(call)
    if call.path == '/calls':
      return self.handle(call)
    if call.source_ip.startswith(self.cut.prefixes):
      if self.cut.is_dropped:
        raise DropConnectionError
      return error_answer(HTTPStatus.FORBIDDEN, 'cut')
    while time.monotonic() < self.frozen_until:
      time.sleep(FREEZE_POLL_INTERVAL_S)
    return self.handle(call)

  def _set_faults(self, call: Call) -> Answer:
    faults = msgspec.json.decode(call.body, type=dict)
    if 'cut' in faults:
      is_dropped = faults.pop('mode', '') == 'drop'
      self.cut = CutFault(tuple(faults.pop('cut')), is_dropped)
    if 'freeze_s' in faults:
      self.freeze(time.monotonic() + faults.pop('freeze_s'))
    for name, value in sorted(faults.items()):
      self.set_fault(name, value)
    return json_answer({})


def json_answer(
    value: object,
    status: int = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
  """Returns an answer with a JSON body."""
  return Answer(status, msgspec.json.encode(value), headers=headers)


def error_answer(status: int, error: str, **fields: object) -> Answer:
  """Returns a JSON answer with an error code and further fields."""
  return json_answer({'error': error, **fields}, status)


def decode_record(body: bytes, record_type: type) -> object:
  """Decodes a JSON object into a `NamedTuple` and checks its types.

  Raises:
    KeyError: A field is missing.
    msgspec.MsgspecError: The body is no JSON object, or a field has the wrong
      type.
  """
  fields = msgspec.json.decode(body, type=dict)
  values = [fields[name] for name in record_type._fields]
  return msgspec.convert(values, record_type)


class _Gateway(wsgi.Gateway_10):
  """Passes the connection's socket to the app, which may shut it down."""

  def get_environ(self):
    environ = super().get_environ()
    environ[_SOCKET_KEY] = self.req.conn.socket
    return environ


def _read_call(environ: Mapping[str, object]) -> Call:
  length = int(environ.get('CONTENT_LENGTH') or 0)
  # Not PATH_INFO: cheroot decodes it as Latin-1 and leaves `%2F` encoded.
  path = environ['REQUEST_URI'].partition('?')[0]
  pairs = urllib.parse.parse_qsl(
      environ['QUERY_STRING'], keep_blank_values=True
  )
  return Call(
      environ['REQUEST_METHOD'],
      urllib.parse.unquote(path),
      dict(pairs),
      environ,
      environ['wsgi.input'].read(length) if length else b'',
      environ['REMOTE_ADDR'],
      environ[_SOCKET_KEY],
  )


def _answer_call(app: App, call: Call) -> Answer:
  try:
    return app.dispatch(call)
  except DropConnectionError:
    call.drop()
    return Answer(HTTPStatus.INTERNAL_SERVER_ERROR, b'')
  except (msgspec.MsgspecError, KeyError, ValueError, TypeError) as error:
    log.warning({'event': 'bad_request', 'path': call.path, 'error': error})
    return error_answer(HTTPStatus.BAD_REQUEST, 'bad_request')


def make_server(app: App, host: str, port: int, threads: int) -> wsgi.Server:
  """Creates a listening server; its `serve()` runs it.

  Args:
    app: The application.
    host: IP to listen on.
    port: Port to listen on, 0 for any.
    threads: Maximum concurrent requests, with streams and watches.

  Returns:
    The server, which listens already.
  """

  def run_wsgi(environ, start_response):
    call = _read_call(environ)
    answer = _answer_call(app, call)
    headers = [('Content-Type', answer.content_type), *answer.headers]
    is_bytes = isinstance(answer.body, bytes)
    if is_bytes:
      headers.append(('Content-Length', str(len(answer.body))))
    status = HTTPStatus(answer.status)
    start_response(f'{status.value} {status.phrase}', headers)
    return [answer.body] if is_bytes else answer.body

  server = wsgi.Server(
      (host, port),
      run_wsgi,
      numthreads=threads,
      request_queue_size=BACKLOG,
      timeout=CONNECTION_TIMEOUT_S,
  )
  server.gateway = _Gateway
  server.keep_alive_conn_limit = BACKLOG
  server.prepare()
  return server


def start_in_thread(server: wsgi.Server) -> str:
  """Serves in a thread of this process, for tests.

  Returns:
    The `ip:port` that it listens on.
  """
  threading.Thread(target=server.serve, daemon=True).start()
  return listen_address(server)


def listen_address(server: wsgi.Server) -> str:
  """Returns the `ip:port` that a server listens on."""
  host, port = server.socket.getsockname()[:2]
  return f'{host}:{port}'


def split_address(address: str) -> tuple[str, int]:
  """Splits `ip:port` into IP and port number."""
  host, _, port = address.rpartition(':')
  return host, int(port)


def set_up_logs() -> None:
  """Sets up logging to standard error: a line of key=value pairs per event."""
  handler = logging.StreamHandler(sys.stderr)
  handler.setFormatter(
      logfmter.Logfmter(keys=['level'], mapping={'level': 'levelname'})
  )
  logging.basicConfig(handlers=[handler], level=logging.INFO)


def run(app: App, listen: str, threads: int, name: str) -> None:
  """Prints a `ready` line to standard error and serves forever.

  Args:
    app: The application.
    listen: `ip:port` to listen on; port 0 takes a free one.
    threads: Maximum concurrent requests.
    name: Name in the `ready` line.
  """
  host, port = split_address(listen)
  server = make_server(app, host, port, threads)
  address = listen_address(server)
  print(f'event=ready name={name} address={address}', file=sys.stderr)
  sys.stderr.flush()
  server.serve()
