"""Helpers of the HTTP adapters: records from JSON, connections, sockets.

Calls that must distinguish "not sent" from "outcome unknown" use a new
connection: if connecting fails, no byte was sent. With a pooled connection
that was used before, the two cases can't be told apart.
"""

import http.client
import socket
import struct
from collections.abc import Iterable

import msgspec
import urllib3
from urllib3 import connection
from urllib3 import exceptions

from mulberrypick.adapters import http_limits
from mulberrypick.core import errors

CUT_ERROR = 'cut'
DRAINING_ERROR = 'draining'
# Errors of an exchange on a connection of `connect`. A response without a valid
# head raises errors of `http.client`.
EXCHANGE_ERRORS = (exceptions.HTTPError, http.client.HTTPException, OSError)
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

SocketOptions = Iterable[tuple[int, int, int | bytes]]


def decode_record(fields: dict[str, object], record_type: type) -> object:
  """Converts a JSON object to a `NamedTuple` and checks the types.

  Raises:
    KeyError: A field is missing.
    msgspec.ValidationError: A field has the wrong type.
  """
  values = [fields[name] for name in record_type._fields]
  return msgspec.convert(values, record_type)


def error_name(body: bytes) -> str:
  """Returns the `error` field of a JSON body, empty if it has none."""
  try:
    return str(msgspec.json.decode(body, type=dict).get('error', ''))
  except msgspec.MsgspecError:
    return ''


def source_address(source_ip: str) -> tuple[str, int] | None:
  """Returns the local address to bind to, None for any."""
  return (source_ip, 0) if source_ip else None


def reset_on_close_options(user_timeout_s: float) -> SocketOptions:
  """Returns socket options that reset the connection when it is closed.

  The kernel then discards unsent bytes when the process closes the socket or
  dies.

  Args:
    user_timeout_s: Time that sent bytes may stay unacknowledged.
  """
  return (
      (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
      (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE),
      (
          socket.IPPROTO_TCP,
          socket.TCP_USER_TIMEOUT,
          int(user_timeout_s * 1000),
      ),
  )


def connect(
    endpoint: str,
    address: str,
    source_ip: str,
    timeout_s: float,
    socket_options: SocketOptions | None = None,
) -> connection.HTTPConnection:
  """Opens a new connection to an endpoint.

  Args:
    endpoint: Name of the endpoint, for the error message.
    address: `ip:port` of the endpoint.
    source_ip: Local IP to connect from, empty for any.
    timeout_s: Timeout for connecting, and then for each read and write.
    socket_options: Options to set before connecting, None for the defaults.

  Returns:
    The open connection.

  Raises:
    EndpointUnreachableError: Connecting failed; no byte was sent.
  """
  host, _, port = address.rpartition(':')
  if socket_options is None:
    socket_options = connection.HTTPConnection.default_socket_options
  conn = http_limits.LimitedConnection(
      host,
      int(port),
      timeout=timeout_s,
      source_address=source_address(source_ip),
      socket_options=socket_options,
  )
  try:
    conn.connect()
  except (exceptions.HTTPError, OSError) as error:
    conn.close()
    raise errors.EndpointUnreachableError(endpoint, str(error)) from error
  return conn


def make_pool(source_ip: str, connections_per_host: int) -> urllib3.PoolManager:
  """Creates a connection pool that never retries and never redirects."""
  pool = urllib3.PoolManager(
      num_pools=2048,
      maxsize=connections_per_host,
      retries=False,
      source_address=source_address(source_ip),
  )
  http_limits.limit_pool(pool)
  return pool


def response_socket(response: urllib3.BaseHTTPResponse) -> socket.socket | None:
  """Returns the socket of a response, None if the HTTP library released it.

  The library releases the socket when the head of the response announces that
  the server will close the connection. The timeout of the socket can then no
  longer be changed, so the rest of the response is read with the timeout that
  was set before.
  """
  return response.connection and response.connection.sock


def use_kernel_read_timeout(
    response: urllib3.BaseHTTPResponse, timeout_s: float
) -> None:
  """Puts a socket into blocking mode with a kernel receive timeout.

  A Python socket with a timeout polls before every read, which is a second
  system call for each token of a stream.

  Args:
    response: The response, of which only the head has been read.
    timeout_s: Timeout for the next byte.
  """
  stream = response_socket(response)
  if stream is None:
    return
  stream.settimeout(None)
  whole_s = int(timeout_s)
  microseconds = int((timeout_s - whole_s) * 1_000_000)
  stream.setsockopt(
      socket.SOL_SOCKET,
      socket.SO_RCVTIMEO,
      struct.pack('ll', whole_s, microseconds),
  )
