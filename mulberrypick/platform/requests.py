"""Translates headers of requests from callers and responses of endpoints."""

import contextlib
import re
from typing import NamedTuple

import msgspec
import xxhash

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_client
from mulberrypick.adapters import tolerant_json
from mulberrypick.core import gateway_records
from mulberrypick.platform import protocol

# Deadline of requests that name none (ms).
DEFAULT_DEADLINE_MS = 30000
# Priorities of the platform go from 0, the most urgent, to 9. Ranks are two
# apart, so that requests whose prefill is done fit in between.
PRIORITY_STEP = 2
LOWEST_PRIORITY = 7
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')


class CallHeaders(NamedTuple):
  """Decoded headers of a caller's request.

  Attributes:
    id: Id of the request, empty if it has none.
    hostname: The `Host` header without the port, in lower case.
    deadline_s: Maximum time that the caller waits for the response.
    parts: Parts of the prompt.
    prompt_tokens: Number of prompt tokens.
    output_tokens: Maximum number of output tokens.
    is_resumed: Whether the caller already has events of the stream.
    resumes: Id of the attempt that received the first event of the stream;
      empty if the caller names none.
  """

  id: str
  hostname: str
  deadline_s: float
  parts: tuple[gateway_records.PromptPart, ...]
  prompt_tokens: int
  output_tokens: int
  is_resumed: bool
  resumes: str


class ResponseTraits(NamedTuple):
  """Properties of an endpoint's response.

  Attributes:
    is_not_run: Whether the endpoint reports that it did not run the request.
    is_misdirected: Whether another endpoint now has the address.
    is_trusted: Whether the response has the endpoint's signature header and no
      content encoding.
    is_leaving: Whether the endpoint closes the connection after the response.
    limit: Requests per second that the endpoint takes from all hosts together;
      None if the response names no limit.
    has_invalid_limit: Whether the limit in the response can't be read.
    says_leaving: Whether the endpoint states that it leaves.
    hold_off: Text of the time for which the endpoint wants no requests from
      this host; None if the response names none.
  """

  is_not_run: bool
  is_misdirected: bool
  is_trusted: bool
  is_leaving: bool
  limit: float | None
  has_invalid_limit: bool
  says_leaving: bool
  hold_off: str | None


def find_id(headers: list[tuple[bytes, bytes]]) -> str:
  """Returns the id of a request, empty if it has none."""
  for name, value in headers:
    if name.lower() == protocol.REQUEST_ID:
      return value.decode('latin-1')
  return ''


def decode_call(received: received_request.ReceivedRequest) -> CallHeaders:
  """Decodes the request headers that routing and admission need."""
  by_name = {name.lower(): value for name, value in received.headers}
  tokens = by_name.get(protocol.TOKENS, b'').split(b',')
  parts = _decode_parts(by_name.get(protocol.PROMPT_PARTS, b''))
  prompt_tokens = _parse_int(tokens[0], sum(part.tokens for part in parts))
  host = by_name.get(b'host', b'').decode('latin-1').lower()
  deadline_ms = _parse_int(
      by_name.get(protocol.DEADLINE_MS, b''), DEFAULT_DEADLINE_MS
  )
  resumes = by_name.get(protocol.RESUMES, b'').decode('latin-1')
  return CallHeaders(
      id=by_name.get(protocol.REQUEST_ID, b'').decode('latin-1'),
      hostname=host.partition(':')[0],
      deadline_s=deadline_ms / 1000,
      parts=parts,
      prompt_tokens=prompt_tokens,
      output_tokens=_parse_int(tokens[1], 0) if len(tokens) > 1 else 0,
      is_resumed=bool(resumes) or protocol.LAST_EVENT in by_name,
      resumes=resumes,
  )


def fingerprint(received: received_request.ReceivedRequest) -> int:
  """Hashes the content, to recognize a repeated crashing request.

  A repeat has the same path and body. Its headers may differ, and it may come
  from any address: several callers send the same content.
  """
  digest = xxhash.xxh3_64(received.method)
  digest.update(received.target)
  digest.update(received.body)
  return digest.intdigest()


def forwarded_headers(
    received: received_request.ReceivedRequest,
) -> list[tuple[bytes, bytes]]:
  """Returns the caller's headers that are forwarded to the endpoint."""
  dropped = set()
  for name, value in received.headers:
    if name.lower() == b'connection':
      dropped.update(token.strip().lower() for token in value.split(b','))
  headers = []
  for name, value in received.headers:
    lower = name.lower()
    if lower in protocol.SYSTEM_HEADERS or lower in protocol.CONNECTION_HEADERS:
      continue
    if lower in dropped and lower not in (b'host', protocol.REQUEST_ID):
      continue
    headers.append((name, value))
  return headers


def endpoint_headers(
    endpoint: gateway_records.Endpoint,
    remaining_s: float,
    rank: int,
    is_prefilled: bool,
) -> list[tuple[bytes, bytes]]:
  """Returns the headers that the gateway adds to a request to an endpoint.

  Args:
    endpoint: The endpoint.
    remaining_s: Time until the deadline of the caller.
    rank: Rank of the request.
    is_prefilled: Whether another engine has done the prefill. Starting the
      request is then cheap, so it gets a better priority than requests that
      still need their prefill.
  """
  priority = min(LOWEST_PRIORITY, PRIORITY_STEP * rank + 1)
  if is_prefilled or rank == 0:
    priority -= 1
  headers = [
      (protocol.EXPECTED_ENDPOINT, endpoint.name.encode()),
      (protocol.DEADLINE_MS, b'%d' % max(1, int(remaining_s * 1000))),
  ]
  if endpoint.stage is not gateway_records.Stage.NONE:
    headers.append((protocol.PRIORITY, b'%d' % priority))
  return headers


def prefill_headers() -> list[tuple[bytes, bytes]]:
  """Returns the headers that ask for the prefill only."""
  return [(protocol.STAGE, protocol.STAGE_PREFILL.encode())]


def kv_source_headers(
    endpoint: gateway_records.Endpoint, handle: str
) -> list[tuple[bytes, bytes]]:
  """Returns the headers that name the KV cache which another engine exports."""
  source = f'{endpoint.ip}:{endpoint.port}/{handle}'
  return [(protocol.KV_SOURCE, source.encode())]


def resume_headers(last_event: int) -> list[tuple[bytes, bytes]]:
  """Returns the headers that request a stream from its last event on.

  The event that the caller already has is requested again: an endpoint that
  sends it goes on with this stream, also if nothing follows.
  """
  if last_event <= 1:
    return []
  return [(protocol.LAST_EVENT, b'%d' % (last_event - 1))]


def decode_kv_handle(body: bytes) -> str | None:
  """Returns the KV handle in the response to a prefill, None if missing."""
  with contextlib.suppress(msgspec.DecodeError):
    data = tolerant_json.decode(body, 1)
    if isinstance(data, dict) and isinstance(data.get('kvHandle'), str):
      return data['kvHandle']
  return None


def match_response(
    request_id: str, head: stream_client.Head, is_first: bool
) -> stream_client.HeadMatch:
  """Returns whether a response head belongs to a request.

  Some refusals carry no request id. A replica may write an earlier one again
  where the next response is expected, so that such a refusal is proven to be
  the own one only if nothing else was sent over the connection.

  Args:
    request_id: Id of the request.
    head: The head.
    is_first: Whether the request is the first one on its connection.
  """
  value = head.get(protocol.REQUEST_ID)
  if value is not None:
    is_own = value.decode('latin-1') == request_id
    match = stream_client.HeadMatch
    return match.OWN if is_own else match.FOREIGN
  is_refusal = head.status in (400, 421) or (
      head.get(protocol.NOT_RUN) is not None and head.status >= 400
  )
  if not is_refusal:
    return stream_client.HeadMatch.FOREIGN
  if is_first:
    return stream_client.HeadMatch.OWN
  return stream_client.HeadMatch.UNPROVEN


def classify_response(head: stream_client.Head) -> ResponseTraits:
  """Reads the status and headers of a response for how to treat it.

  The result tells, for example, whether the endpoint ran the request.
  """
  is_misdirected = head.status == 421
  value = head.get(protocol.LIMIT)
  limit = None
  if value is not None and _DECIMAL.fullmatch(value.strip()):
    limit = float(value)
  hold_off = None
  if head.status == 503 and head.get(protocol.RETRY_AFTER) is not None:
    hold_off = head.get(protocol.RETRY_AFTER).decode('latin-1')
  return ResponseTraits(
      is_not_run=is_misdirected or head.get(protocol.NOT_RUN) is not None,
      is_misdirected=is_misdirected,
      is_trusted=(
          head.get(protocol.SIGNATURE) is not None
          and head.get(b'content-encoding') is None
      ),
      is_leaving=(head.get(b'connection') or b'').lower() == b'close',
      limit=limit,
      has_invalid_limit=value is not None and limit is None,
      says_leaving=(head.get(protocol.LEAVING) or b'').strip() == b'1',
      hold_off=hold_off,
  )


def response_headers(head: stream_client.Head) -> list[tuple[bytes, bytes]]:
  """Returns the headers of a response that are forwarded to the caller."""
  headers = []
  for name, value in head.headers:
    if name.lower() in protocol.CONNECTION_HEADERS:
      continue
    headers.append((name, value))
  return headers


def error_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
  """Returns the headers of an error response of the gateway itself."""
  headers = [(b'Content-Type', b'application/json')]
  if request_id:
    headers.append((protocol.REQUEST_ID, request_id.encode('latin-1')))
  if retry_after_s is not None:
    headers.append((protocol.RETRY_AFTER, b'%.3f' % retry_after_s))
  return headers


def _decode_parts(value: bytes) -> tuple[gateway_records.PromptPart, ...]:
  parts = []
  for item in value.split(b','):
    key, _, tokens = item.strip().partition(b':')
    if not key or not tokens.isdigit():
      continue
    key_hash = xxhash.xxh32_intdigest(key)
    parts.append(gateway_records.PromptPart(key_hash, int(tokens)))
  return tuple(parts)


def _parse_int(value: bytes, default: int) -> int:
  value = value.strip()
  if not value.isdigit() or len(value) > 12:
    return default
  return int(value)
