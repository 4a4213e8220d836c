"""Orders to engines, as the platform writes them."""

import asyncio

import msgspec

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.platform import protocol

# A connection for an order, and each of its two calls (s): an order that is
# not answered by then may still be carried out, once.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.8
_MAX_RESPONSE_BYTES = 1 << 20


async def read_order_count(endpoint: gateway_records.Endpoint) -> int:
  """Asks an engine how many orders it has accepted.

  The platform calls that number `sequence`, as it does the one that counts the
  entries in its list, which is another.

  Raises:
    ConnectError: The engine can't be reached.
    ExchangeBrokenError: It gave no usable answer.
  """
  _, body = await _call(endpoint, b'GET', protocol.REPORT_PATH, [], b'')
  try:
    return int(msgspec.json.decode(body)['sequence'])
  except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
    raise errors.ExchangeBrokenError('report_unreadable') from error


async def send_stage_order(
    endpoint: gateway_records.Endpoint,
    stage: gateway_records.Stage,
    holder: str,
    fence: int,
    expected: int,
) -> int:
  """Orders an engine to another stage.

  Args:
    endpoint: The engine; another one at its address refuses.
    stage: What it shall do.
    holder: Who gives the order.
    fence: Fencing number of the holder's term.
    expected: Orders that it has accepted so far; it refuses if there are more.

  Returns:
    The status of its answer.

  Raises:
    ConnectError: The engine can't be reached; it has no order.
    ExchangeBrokenError: No answer; it may carry the order out yet.
  """
  order = {
      'operation': 'stage',
      'stage': stage.value,
      'holder': holder,
      'fencingToken': fence,
      'expected': expected,
  }
  headers = [
      (b'Content-Type', b'application/json'),
      (protocol.EXPECTED_ENDPOINT, endpoint.name.encode()),
  ]
  body = msgspec.json.encode(order)
  status, _ = await _call(endpoint, b'POST', protocol.ORDER_PATH, headers, body)
  return status


async def _call(
    endpoint: gateway_records.Endpoint,
    method: bytes,
    path: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> tuple[int, bytes]:
  connection = await stream_client.connect(
      endpoint.ip, endpoint.port, CONNECT_TIMEOUT_S
  )
  exchange = stream_client.Exchange(lambda _: True)
  host = (b'Host', f'{endpoint.ip}:{endpoint.port}'.encode())
  try:
    connection.send(
        stream_client.encode_request(method, path, [host, *headers], body),
        exchange,
    )
    async with asyncio.timeout(CALL_TIMEOUT_S):
      head = await exchange.read_head()
      return head.status, await exchange.read_all(_MAX_RESPONSE_BYTES)
  except TimeoutError as error:
    raise errors.ExchangeBrokenError('silent') from error
  finally:
    connection.abort()
