"""Client of plain services over HTTP.

Every call opens a new connection before it sends the first byte. A failure to
connect therefore means that the call was not executed, while after any later
failure the outcome is unknown.
"""

import time
from http import HTTPStatus

import urllib3
from urllib3 import connection
from urllib3 import exceptions

from mulberrypick.adapters import http_common
from mulberrypick.adapters import service
from mulberrypick.core import errors
from mulberrypick.core import records

CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
MAX_READ_BYTES = 65_536
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class HttpPlainService(service.PlainService):
  """HTTP client of plain services, which are not model engines. Thread-safe."""

  def __init__(
      self, source_ip: str = '', connect_timeout_s: float = CONNECT_TIMEOUT_S
  ):
    """Creates the client.

    Args:
      source_ip: Local IP to connect from, empty for any.
      connect_timeout_s: Timeout for connecting.
    """
    self._source_ip = source_ip
    self._connect_timeout_s = connect_timeout_s

  def call(
      self,
      endpoint: str,
      address: str,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer:
    """Sends a call to an endpoint once; see `PlainService.call`."""
    deadline = time.monotonic() + timeout_s
    connect_s = min(self._connect_timeout_s, timeout_s)
    conn = http_common.connect(endpoint, address, self._source_ip, connect_s)
    try:
      answer = _exchange(conn, call, deadline)
    except http_common.EXCHANGE_ERRORS as error:
      raise errors.EndpointFailedError(endpoint, repr(error)) from error
    finally:
      conn.close()
    _raise_if_not_run(endpoint, answer)
    return answer


def _exchange(
    conn: connection.HTTPConnection, call: records.PlainCall, deadline: float
) -> records.PlainAnswer:
  _set_timeout(conn, deadline)
  conn.request(
      call.method,
      call.path,
      body=call.body or None,
      headers=_headers(call),
      preload_content=False,
  )
  response = conn.getresponse()
  _check_framing(response)
  content_type = response.headers.get('Content-Type', '')
  return records.PlainAnswer(
      response.status, content_type, _read_body(conn, response, deadline)
  )


def _check_framing(response: urllib3.BaseHTTPResponse) -> None:
  """Raises if no header defines where the body of the response ends.

  A truncated head may look like one without a length, and its body like a
  complete one that ends with the connection.
  """
  if response.status in BODILESS_STATUSES:
    return
  if response.chunked or response.length_remaining is not None:
    return
  raise exceptions.IncompleteRead(0, 0)


def _headers(call: records.PlainCall) -> dict[str, str]:
  headers = {'X-Request-Id': call.request_id, 'Connection': 'close'}
  if call.content_type:
    headers['Content-Type'] = call.content_type
  if call.idempotency_key:
    headers['Idempotency-Key'] = call.idempotency_key
  return headers


def _read_body(
    conn: connection.HTTPConnection,
    response: urllib3.BaseHTTPResponse,
    deadline: float,
) -> bytes:
  chunks = []
  while True:
    _set_timeout(conn, deadline)
    chunk = response.read1(MAX_READ_BYTES)
    if not chunk:
      return b''.join(chunks)
    chunks.append(chunk)


def _set_timeout(conn: connection.HTTPConnection, deadline: float) -> None:
  """Limits the next read or write to the time left until the deadline."""
  if conn.sock is None:
    return
  remaining_s = deadline - time.monotonic()
  if remaining_s <= 0:
    raise TimeoutError('no complete response before the deadline')
  timeout_s = max(remaining_s, MIN_TIMEOUT_S)
  # When the library sends a request and when it reads the response head, it
  # resets the socket timeout to the connection's, which is initially the
  # connect timeout. So both are set.
  conn.timeout = timeout_s
  conn.sock.settimeout(timeout_s)


def _raise_if_not_run(endpoint: str, answer: records.PlainAnswer) -> None:
  """Raises if the response reports that the call was not executed."""
  if answer.status not in (HTTPStatus.FORBIDDEN, HTTPStatus.CONFLICT):
    return
  name = http_common.error_name(answer.body)
  if name == http_common.CUT_ERROR:
    raise errors.EndpointUnreachableError(endpoint, 'the network is cut')
  if name == http_common.DRAINING_ERROR:
    raise errors.EndpointDrainingError(endpoint, 'the service is draining')
