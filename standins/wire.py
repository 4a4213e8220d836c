"""The HTTP rim that all stand-ins share.

A stand-in is an `App`: a method that turns a `Call` into an `Answer`. This
module puts it behind a cheroot server, and gives every stand-in the faults
that sit below HTTP: refusing callers of a cut zone, and closing a connection
without an answer.
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
    body: The body.
    source_ip: Where the connection comes from.
    socket: The connection.
  """

  method: str
  path: str
  argument_by_name: dict[str, str]
  headers: Mapping[str, str]
  body: bytes
  source_ip: str
  socket: socket.socket

  def is_caller_gone(self) -> bool:
    """Looks whether the caller closed the connection."""
    # MSG_DONTWAIT alone is not enough: a Python socket with a timeout waits
    # for bytes before it calls recv.
    poll = select.poll()
    try:
      poll.register(self.socket, select.POLLIN)
      if not poll.poll(0):
        return False
      return self.socket.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
      return True

  def drop(self) -> None:
    """Closes the connection at once."""
    try:
      self.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
      return


class Answer(NamedTuple):
  """One HTTP response.

  Attributes:
    status: HTTP status.
    body: The body, or an iterable that streams it.
    content_type: Media type of the body.
    headers: Further headers.
  """

  status: int
  body: bytes | Iterable[bytes]
  content_type: str = JSON
  headers: tuple[tuple[str, str], ...] = ()


class DropConnectionError(Exception):
  """The connection is to be closed without an answer."""


class CutFault(NamedTuple):
  """Callers that can't reach the stand-in.

  Attributes:
    prefixes: Prefixes of their source IPs.
    is_dropped: Whether to close their connections instead of answering 403.
  """

  prefixes: tuple[str, ...] = ()
  is_dropped: bool = False


class App(abc.ABC):
  """A stand-in behind HTTP.

  Attributes:
    cut: Callers that are cut off.
    frozen_until: Monotonic time up to which nothing is answered.
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
  def take_fault(self, name: str, value: object) -> None:
    """Takes one fault of `POST /faults` that is not common to all."""

  def freeze(self, until: float) -> None:
    """Answers nothing up to a monotonic time."""
    self.frozen_until = until

  def dispatch(self, call: Call) -> Answer:
    """Applies the common faults, then answers."""
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
      self.take_fault(name, value)
    return json_answer({})


def json_answer(
    value: object,
    status: int = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
  """Makes a JSON answer."""
  return Answer(status, msgspec.json.encode(value), headers=headers)


def error_answer(status: int, error: str, **fields: object) -> Answer:
  """Makes an answer that names an error."""
  return json_answer({'error': error, **fields}, status)


def decode_record(body: bytes, record_type: type) -> object:
  """Decodes a JSON object into a `NamedTuple`, with its types checked.

  Raises:
    KeyError: A field is missing.
    msgspec.MsgspecError: A field has another type.
  """
  fields = msgspec.json.decode(body, type=dict)
  values = [fields[name] for name in record_type._fields]
  return msgspec.convert(values, record_type)


class _Gateway(wsgi.Gateway_10):
  """Hands the connection to the application, which may have to break it."""

  def get_environ(self):
    environ = super().get_environ()
    environ[_SOCKET_KEY] = self.req.conn.socket
    return environ


def _read_call(environ: Mapping[str, object]) -> Call:
  length = int(environ.get('CONTENT_LENGTH') or 0)
  # PATH_INFO is decoded already, but as Latin-1 and without `%2F`.
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
  """Makes a server that is ready to be run by `serve()`.

  Args:
    app: The application.
    host: IP to listen on.
    port: Port to listen on, 0 for any.
    threads: Requests answered at once, streams and watches included.

  Returns:
    The server, listening.
  """

  def run_wsgi(environ, start_response):
    call = _read_call(environ)
    answer = _answer_call(app, call)
    headers = [('Content-Type', answer.content_type), *answer.headers]
    is_whole = isinstance(answer.body, bytes)
    if is_whole:
      headers.append(('Content-Length', str(len(answer.body))))
    status = HTTPStatus(answer.status)
    start_response(f'{status.value} {status.phrase}', headers)
    return [answer.body] if is_whole else answer.body

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
  """Splits `ip:port`."""
  host, _, port = address.rpartition(':')
  return host, int(port)


def set_up_logs() -> None:
  """Logs one line of key=value pairs per event to standard error."""
  handler = logging.StreamHandler(sys.stderr)
  handler.setFormatter(
      logfmter.Logfmter(keys=['level'], mapping={'level': 'levelname'})
  )
  logging.basicConfig(handlers=[handler], level=logging.INFO)


def run(app: App, listen: str, threads: int, name: str) -> None:
  """Serves until the process ends, and says when it listens.

  Args:
    app: The application.
    listen: `ip:port` to listen on; port 0 takes a free one.
    threads: Requests answered at once.
    name: Name for the log.
  """
  host, port = split_address(listen)
  server = make_server(app, host, port, threads)
  address = listen_address(server)
  print(f'event=ready name={name} address={address}', file=sys.stderr)
  sys.stderr.flush()
  server.serve()
