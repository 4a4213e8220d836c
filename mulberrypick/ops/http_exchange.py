"""One HTTP request and its response, over WSGI.

Only this module depends on the keys of the WSGI environment.
"""

import http
import math
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import msgspec

from mulberrypick.adapters import http_server
from mulberrypick.core import caller as caller_checks
from mulberrypick.core import completion_format
from mulberrypick.core import errors

_CLOSE = ('Connection', 'close')


class Headers(Mapping[str, str]):
  """Request headers by name, such as `Content-Type`; case-insensitive."""

  def __init__(self, environ: Mapping[str, Any]):
    self._environ = environ

  def __getitem__(self, name: str) -> str:
    return self._environ['HTTP_' + name.upper().replace('-', '_')]

  def __iter__(self) -> Any:
    return iter(
        key[5:] for key in self._environ if str(key).startswith('HTTP_')
    )

  def __len__(self) -> int:
    return sum(1 for _ in self)


class Exchange:
  """One request and its response.

  Attributes:
    arrived_at: Monotonic time at which the headers had been received.
    headers: The request headers.
    request_id: The caller's request id if it is well-formed, or a generated
      one.
    closes_connection: Whether the connection is closed after the response.
  """

  def __init__(
      self,
      environ: dict[str, Any],
      start_response: Callable[..., Any],
      fallback_id: str,
  ):
    """Wraps a WSGI request without reading its body."""
    self.arrived_at = time.monotonic()
    self.headers = Headers(environ)
    self.request_id = caller_checks.read_request_id(self.headers, fallback_id)
    self.closes_connection = False
    self._environ = environ
    self._start_response = start_response

  @property
  def method(self) -> str:
    """The HTTP method."""
    return self._environ['REQUEST_METHOD']

  @property
  def path(self) -> str:
    """The path without the query."""
    return self._environ['PATH_INFO']

  @property
  def query(self) -> str:
    """The query without its question mark."""
    return self._environ.get('QUERY_STRING', '')

  @property
  def content_type(self) -> str:
    """Media type of the body."""
    return self._environ.get('CONTENT_TYPE', 'application/octet-stream')

  @property
  def connection(self) -> Any:
    """The server's connection object, or None outside the HTTP server."""
    return self._environ.get(http_server.ENVIRON_CONNECTION)

  def require_method(self, method: str) -> None:
    """Checks the HTTP method.

    Raises:
      MethodNotAllowedError: The request has another method.
    """
    if self.method != method:
      raise errors.MethodNotAllowedError(f'{self.path} only accepts {method}')

  def read_body(self, limit_bytes: int) -> bytes:
    """Reads the whole request body.

    Args:
      limit_bytes: Size above which the body is refused.

    Raises:
      TooLargeError: The body is larger than the limit.
      SlowSenderError: The body did not arrive in time.
      BadRequestError: The body ended early, or its length is malformed.
    """
    length = self._read_length()
    if length is not None and length > limit_bytes:
      raise errors.TooLargeError(f'body: more than {limit_bytes} bytes')
    body = self._read_within(limit_bytes + 1 if length is None else length)
    if len(body) > limit_bytes:
      raise errors.TooLargeError(f'body: more than {limit_bytes} bytes')
    if length is not None and len(body) < length:
      self.closes_connection = True
      raise errors.BadRequestError(
          f'body: ended after {len(body)} of {length} bytes'
      )
    self._stop_read_timeout()
    return body

  def _read_within(self, size: int) -> bytes:
    try:
      body = self._environ['wsgi.input'].read(size) if size else b''
    except (OSError, ValueError) as error:
      self.closes_connection = True
      self._check_speed()
      raise errors.BadRequestError('body: reading it failed') from error
    self._check_speed()
    return body

  def _read_length(self) -> int | None:
    if self._environ.get('wsgi.input_terminated'):
      return None
    text = self._environ.get('CONTENT_LENGTH') or '0'
    if not (text.isascii() and text.isdigit()):
      raise errors.BadRequestError('Content-Length: must be a whole number')
    return int(text)

  def _check_speed(self) -> None:
    if getattr(self.connection, 'is_too_slow', False):
      self.closes_connection = True
      raise errors.SlowSenderError('the request was sent too slowly')

  def _stop_read_timeout(self) -> None:
    connection = self.connection
    if connection is not None:
      connection.server.read_watchdog.end(connection)

  def start(
      self, status: int, content_type: str, *headers: tuple[str, str]
  ) -> None:
    """Starts the response by sending its status and headers."""
    phrase = http.HTTPStatus(status).phrase
    fields = [
        ('Content-Type', content_type),
        (caller_checks.HEADER_REQUEST_ID, self.request_id),
        *headers,
    ]
    if self.closes_connection:
      fields.append(_CLOSE)
    self._start_response(f'{status} {phrase}', fields)

  def respond_bytes(
      self,
      status: int,
      content_type: str,
      body: bytes,
      *headers: tuple[str, str],
  ) -> Iterable[bytes]:
    """Responds with a complete body."""
    length = ('Content-Length', str(len(body)))
    self.start(status, content_type, length, *headers)
    return [body]

  def respond_json(self, status: int, value: Any) -> Iterable[bytes]:
    """Responds with a JSON body; `value` may hold records at any depth."""
    body = msgspec.json.encode(to_plain(value))
    return self.respond_bytes(status, 'application/json', body)

  def respond_error(self, error: errors.RequestError) -> Iterable[bytes]:
    """Responds with an error, with `Retry-After` if a retry may succeed."""
    body = completion_format.encode_error(error, self.request_id)
    headers = []
    if error.retry_after_s > 0:
      # Rounded up, so that callers do not retry before the given time.
      seconds = max(1, math.ceil(error.retry_after_s))
      headers.append(('Retry-After', str(seconds)))
    return self.respond_bytes(error.status, 'application/json', body, *headers)

  def respond_disconnected(self) -> Iterable[bytes]:
    """Ends the exchange after the caller has disconnected.

    WSGI requires a response, though nobody receives it.
    """
    self.closes_connection = True
    return self.respond_bytes(400, 'text/plain', b'')


def to_plain(value: Any) -> Any:
  """Converts records at any depth into dictionaries by field name.

  Args:
    value: Records and JSON types, nested in any way.

  Returns:
    The same value as dictionaries, lists and scalars. Without this a record
    would be encoded in JSON as an array without field names.
  """
  if isinstance(value, tuple) and hasattr(value, '_fields'):
    return {name: to_plain(field) for name, field in value._asdict().items()}
  if isinstance(value, dict):
    return {key: to_plain(field) for key, field in value.items()}
  if isinstance(value, (list, tuple)):
    return [to_plain(field) for field in value]
  return value
