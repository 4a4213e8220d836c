"""Sends orders to engines in the format of the platform."""

import asyncio

import msgspec

from mulberrypick.adapters import stream_client
from mulberrypick.adapters import tolerant_json
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.platform import fields
from mulberrypick.platform import protocol

# Timeouts for connecting and for each of the two calls (s). An order whose call
# timed out may still be executed once.
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.8
_MAX_RESPONSE_BYTES = 1 << 20


async def read_order_count(endpoint: gateway_records.Endpoint) -> int:
  """Returns the number of orders that an engine has accepted.

  In the protocol the field is called `sequence`. It is unrelated to the
  `sequence` that counts the entries of the platform's list.

  Raises:
    ConnectError: The engine can't be reached.
    ExchangeBrokenError: The engine sent no valid response.
  """
  _, body = await _call(endpoint, b'GET', protocol.REPORT_PATH, [], b'')
  try:
    return fields.read_int(tolerant_json.decode(body, 1), 'sequence')
  except (msgspec.DecodeError, *fields.MALFORMED) as error:
    raise errors.ExchangeBrokenError('report_unreadable') from error


async def send_stage_order(
    endpoint: gateway_records.Endpoint,
    stage: gateway_records.Stage,
    holder: str,
    fence: int,
    expected: int,
) -> int:
  """Orders an engine to switch to another stage.

  Args:
    endpoint: The engine. Another engine that now has its address refuses.
    stage: The new stage.
    holder: Holder of the lease, which sends the order.
    fence: Fencing token of the lease.
    expected: Number of orders that the engine has accepted so far; it refuses
      this order if it has accepted more.

  Returns:
    The status code of the response.

  Raises:
    ConnectError: The engine can't be reached and did not get the order.
    ExchangeBrokenError: There was no response; the engine may still execute
      the order.
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
  exchange = stream_client.Exchange(source=endpoint.name)
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
