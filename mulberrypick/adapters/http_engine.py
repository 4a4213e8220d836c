"""Client of model engines over HTTP and server-sent events.

Token streams are the hottest path of an entry host. They are read in HTTP
chunks, which takes the HTTP library a third of the time of `read1`, and are
split into events here. The socket is in blocking mode with a kernel receive
timeout: a Python socket with a timeout polls before every read, which doubles
the number of system calls for each token.
"""

import contextlib
from collections.abc import Iterator
from http import HTTPStatus
from typing import TypedDict

import msgspec
import urllib3
from urllib3 import connection
from urllib3 import exceptions

from mulberrypick.adapters import engine
from mulberrypick.adapters import http_common
from mulberrypick.adapters import http_limits
from mulberrypick.core import errors
from mulberrypick.core import records

CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 10.0
MIN_PREFILL_TOKENS_PER_S = 1000.0
REPORT_TIMEOUT_S = 2.0
TCP_USER_TIMEOUT_S = 1.0
MAX_CONNECTIONS_PER_ENGINE = 64
STREAM_END_TIMEOUT_S = 0.1
EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1 << 20
EVENT_PREFIX_LENGTH = len(b'data: ')
REFUSAL_STATUSES = (
    HTTPStatus.NOT_FOUND,
    HTTPStatus.CONFLICT,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


class _StreamEvent(TypedDict, total=False):
  attempt_id: str
  index: int
  text: str
  done: bool
  finish_reason: str
  prompt_tokens: int
  cached_tokens: int


class _PrefillResponse(TypedDict):
  kv_id: str
  tokens: int


class _CacheEventsResponse(TypedDict):
  events: list[dict]


_event_decoder = msgspec.json.Decoder(_StreamEvent)


class HttpEngine(engine.Engine):
  """HTTP client of engines. Thread-safe."""

  def __init__(
      self,
      source_ip: str = '',
      stall_timeout_s: float = STALL_TIMEOUT_S,
      connect_timeout_s: float = CONNECT_TIMEOUT_S,
      report_timeout_s: float = REPORT_TIMEOUT_S,
      order_tcp_user_timeout_s: float = TCP_USER_TIMEOUT_S,
  ):
    """Creates the client.

    Args:
      source_ip: Local IP to connect from, empty for any.
      stall_timeout_s: Time without a byte after which a stream has failed.
      connect_timeout_s: Timeout for connecting.
      report_timeout_s: Timeout of reports, orders and cancellations.
      order_tcp_user_timeout_s: Time that the bytes of an order may stay
        unacknowledged before the kernel aborts the connection.
    """
    self._source_ip = source_ip
    self._stall_timeout_s = stall_timeout_s
    self._connect_timeout_s = connect_timeout_s
    self._report_timeout_s = report_timeout_s
    self._order_user_timeout_s = order_tcp_user_timeout_s
    self._pool = http_common.make_pool(source_ip, MAX_CONNECTIONS_PER_ENGINE)

  def generate(
      self,
      attempt: records.Attempt,
      request: records.InferenceRequest,
      kv: engine.ExportedKvCache | None = None,
  ) -> Iterator[records.Frame]:
    """Streams a response; closing the iterator cancels the attempt."""
    response = self._post(
        attempt.endpoint,
        f'http://{attempt.address}/generate',
        _generate_body(attempt, request, kv),
        self._first_byte_timeout_s(attempt, request),
    )
    chunks = response.read_chunked(decode_content=False)
    has_last_frame = False
    try:
      _check_status(attempt.endpoint, response, HTTPStatus.OK)
      http_common.use_kernel_read_timeout(response, self._stall_timeout_s)
      http_limits.restart(response, self._stall_timeout_s)
      for frame in _read_frames(attempt.endpoint, chunks):
        if frame.is_last and frame.attempt_id == attempt.attempt_id:
          has_last_frame = True
        yield frame
        http_limits.restart(response, self._stall_timeout_s)
      if not has_last_frame:
        raise errors.EndpointFailedError(
            attempt.endpoint, 'the stream ended before its last frame'
        )
    finally:
      if has_last_frame:
        _read_stream_end(response, chunks)
      else:
        response.close()

  def prefill(
      self, attempt: records.Attempt, request: records.InferenceRequest
  ) -> engine.ExportedKvCache:
    """Runs only the prefill; the engine keeps the KV cache for export."""
    prefilled = self._call(
        attempt.endpoint,
        f'http://{attempt.address}/prefill',
        _generate_body(attempt, request, None),
        _PrefillResponse,
        self._first_byte_timeout_s(attempt, request),
    )
    return engine.ExportedKvCache(
        attempt.endpoint,
        attempt.address,
        prefilled['kv_id'],
        prefilled['tokens'],
    )

  def _first_byte_timeout_s(
      self, attempt: records.Attempt, request: records.InferenceRequest
  ) -> float:
    """Returns the timeout for the first byte, which includes the prefill."""
    tokens = request.prompt_tokens + attempt.start_index
    return self._stall_timeout_s + tokens / MIN_PREFILL_TOKENS_PER_S

  def cancel(self, attempt: records.Attempt) -> None:
    """Cancels an attempt; an attempt unknown to the engine is no error."""
    body = msgspec.json.encode({'attempt_id': attempt.attempt_id})
    url = f'http://{attempt.address}/cancel'
    self._call(attempt.endpoint, url, body, dict, self._report_timeout_s)

  def read_load(self, endpoint: str, address: str) -> records.EngineReport:
    """Reads the load report, which may lag behind the engine."""
    return self._read_record(endpoint, address, 'load', records.EngineReport)

  def read_state(self, endpoint: str, address: str) -> records.EngineState:
    """Reads the current role, models and orders of an engine."""
    return self._read_record(endpoint, address, 'state', records.EngineState)

  def read_cache_events(
      self, endpoint: str, address: str, after_number: int
  ) -> list[engine.CacheEvent]:
    """Reads an engine's prefix-cache events after a sequence number.

    Returns:
      The events, oldest first.
    """
    url = f'http://{address}/events?after={after_number}'
    response = self._call(
        endpoint, url, None, _CacheEventsResponse, self._report_timeout_s
    )
    with _malformed_as_failed(endpoint):
      return [
          http_common.decode_record(event, engine.CacheEvent)
          for event in response['events']
      ]

  def send_order(self, address: str, order: records.Order) -> None:
    """Sends an order; returns once the engine has accepted it."""
    conn = http_common.connect(
        order.endpoint,
        address,
        self._source_ip,
        min(self._connect_timeout_s, self._report_timeout_s),
        http_common.reset_on_close_options(self._order_user_timeout_s),
    )
    try:
      response = self._exchange_order(conn, order)
      _check_order_response(order.endpoint, response)
    except http_common.EXCHANGE_ERRORS as error:
      raise errors.EndpointFailedError(order.endpoint, repr(error)) from error
    finally:
      conn.close()

  def _exchange_order(
      self, conn: connection.HTTPConnection, order: records.Order
  ) -> urllib3.BaseHTTPResponse:
    conn.timeout = self._report_timeout_s
    conn.sock.settimeout(self._report_timeout_s)
    conn.request(
        'POST',
        '/orders',
        body=msgspec.json.encode(order._asdict()),
        headers={'Connection': 'close'},
    )
    return conn.getresponse()

  def _read_record(
      self, endpoint: str, address: str, name: str, record_type: type
  ):
    url = f'http://{address}/{name}'
    fields = self._call(endpoint, url, None, dict, self._report_timeout_s)
    with _malformed_as_failed(endpoint):
      return http_common.decode_record(fields, record_type)

  def _call(
      self,
      endpoint: str,
      url: str,
      body: bytes | None,
      response_type: type,
      timeout_s: float,
  ):
    """Makes a call whose response is a single JSON object."""
    response = self._post(endpoint, url, body, timeout_s)
    try:
      data = response.read()
    except exceptions.HTTPError as error:
      raise errors.EndpointFailedError(endpoint, repr(error)) from error
    finally:
      response.release_conn()
    _check_status(endpoint, response, HTTPStatus.OK, data)
    with _malformed_as_failed(endpoint):
      return msgspec.json.decode(data, type=response_type)

  def _post(
      self, endpoint: str, url: str, body: bytes | None, timeout_s: float
  ) -> urllib3.BaseHTTPResponse:
    try:
      return self._pool.request(
          'GET' if body is None else 'POST',
          url,
          body=body,
          timeout=urllib3.Timeout(
              connect=self._connect_timeout_s, read=timeout_s
          ),
          redirect=False,
          preload_content=False,
      )
    except (
        exceptions.NewConnectionError,
        exceptions.ConnectTimeoutError,
    ) as error:
      raise errors.EndpointUnreachableError(endpoint, str(error)) from error
    except exceptions.HTTPError as error:
      raise errors.EndpointFailedError(endpoint, repr(error)) from error


def _generate_body(
    attempt: records.Attempt,
    request: records.InferenceRequest,
    kv: engine.ExportedKvCache | None,
) -> bytes:
  reference = None
  if kv is not None:
    reference = {'address': kv.address, 'kv_id': kv.kv_id}
  return msgspec.json.encode(
      {
          'attempt_id': attempt.attempt_id,
          'model': request.model,
          'adapter': request.adapter,
          'prompt': request.prompt,
          'max_tokens': request.max_tokens,
          'start_index': attempt.start_index,
          'priority': attempt.priority,
          'kv': reference,
      }
  )


def _read_frames(
    endpoint: str, chunks: Iterator[bytes]
) -> Iterator[records.Frame]:
  """Reads frames until the stream ends.

  Frames that were delayed may follow the frame that is marked as the last.
  """
  rest = b''
  try:
    for data in chunks:
      *events, rest = (rest + data).split(EVENT_END)
      if len(rest) > MAX_EVENT_BYTES:
        raise errors.EndpointFailedError(endpoint, 'a frame is too long')
      for event in events:
        yield _decode_frame(endpoint, event)
  except (exceptions.HTTPError, OSError) as error:
    raise errors.EndpointFailedError(endpoint, repr(error)) from error


def _decode_frame(endpoint: str, event: bytes) -> records.Frame:
  try:
    fields = _event_decoder.decode(event[EVENT_PREFIX_LENGTH:])
    return records.Frame(
        fields['attempt_id'],
        fields['index'],
        fields.get('text', ''),
        fields.get('done', False),
        fields.get('finish_reason', ''),
        fields.get('prompt_tokens', 0),
        fields.get('cached_tokens', 0),
    )
  except (msgspec.MsgspecError, KeyError) as error:
    raise errors.EndpointFailedError(
        endpoint, f'malformed frame: {error}'
    ) from error


def _read_stream_end(
    response: urllib3.BaseHTTPResponse, chunks: Iterator[bytes]
) -> None:
  """Reads the end of a complete stream, so that its connection is reused."""
  stream = http_common.response_socket(response)
  if stream is not None:
    stream.settimeout(STREAM_END_TIMEOUT_S)
  try:
    if next(chunks, None) is None:
      return
  except (exceptions.HTTPError, OSError):
    pass
  response.close()


def _check_status(
    endpoint: str,
    response: urllib3.BaseHTTPResponse,
    wanted: int,
    data: bytes | None = None,
) -> None:
  """Raises the matching error if the status is not the wanted one."""
  if response.status == wanted:
    return
  if data is None:
    data = _read_rest(response)
  name = http_common.error_name(data)
  if name == http_common.CUT_ERROR:
    raise errors.EndpointUnreachableError(endpoint, 'the network is cut')
  if name == http_common.DRAINING_ERROR:
    raise errors.EndpointDrainingError(endpoint, 'the engine is draining')
  if response.status in REFUSAL_STATUSES:
    raise errors.EndpointRefusedError(endpoint, name)
  raise errors.EndpointFailedError(
      endpoint, f'unexpected status {response.status}'
  )


def _read_rest(response: urllib3.BaseHTTPResponse) -> bytes:
  """Returns the body of an error response, empty if it can't be read."""
  try:
    return response.data
  except (exceptions.HTTPError, OSError):
    return b''


def _check_order_response(
    endpoint: str, response: urllib3.BaseHTTPResponse
) -> None:
  if response.status == HTTPStatus.CONFLICT:
    with _malformed_as_failed(endpoint):
      fields = msgspec.json.decode(response.data, type=dict)
    if fields.get('error') == 'fence':
      raise errors.StaleFenceError(endpoint, int(fields['fence']))
  _check_status(endpoint, response, HTTPStatus.ACCEPTED)


@contextlib.contextmanager
def _malformed_as_failed(endpoint: str) -> Iterator[None]:
  try:
    yield
  except (msgspec.MsgspecError, KeyError) as error:
    raise errors.EndpointFailedError(
        endpoint, f'malformed response: {error}'
    ) from error
