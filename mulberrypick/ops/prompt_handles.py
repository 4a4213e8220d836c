"""Frees the KV cache of prefilled prompts that are no longer needed.

An engine that prefilled a prompt returns a handle, by which another engine can
fetch the KV cache until the handle is freed or expires.
"""

import asyncio
import logging

from mulberrypick.adapters import logs
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.ops import endpoint_send
from mulberrypick.ops import gateway_state
from mulberrypick.platform import protocol

_log = logging.getLogger(__name__)
# Time limit of a call that frees a handle. If the call fails, the handle
# expires by itself.
FREE_TIMEOUT_S = 0.5
# Maximum size of the response to such a call, which holds no data.
MAX_RESPONSE_BYTES = 65536
# References to running tasks, because the event loop holds only weak ones.
_background_tasks: set[asyncio.Task] = set()


def free_in_background(
    state: gateway_state.GatewayState,
    prefiller: gateway_records.Endpoint,
    handle: str,
) -> None:
  """Starts a task that frees a handle, and returns at once."""
  task = asyncio.get_running_loop().create_task(_free(state, prefiller, handle))
  _background_tasks.add(task)
  task.add_done_callback(_background_tasks.discard)


async def _free(
    state: gateway_state.GatewayState,
    prefiller: gateway_records.Endpoint,
    handle: str,
) -> None:
  try:
    async with asyncio.timeout(FREE_TIMEOUT_S):
      connection = await state.pool.acquire(prefiller, False)
      try:
        await _send_free(state, prefiller, handle, connection)
      except BaseException:
        # The response is incomplete, and nobody reads the rest.
        connection.abort()
        raise
      state.pool.release(prefiller, connection)
  except (
      errors.ConnectError,
      errors.ExchangeBrokenError,
      TimeoutError,
  ) as error:
    # The endpoint frees the handle by itself after a few seconds.
    logs.log_event(
        _log,
        logging.INFO,
        'handle_not_freed',
        endpoint=prefiller.name,
        error=repr(error),
    )


async def _send_free(
    state: gateway_state.GatewayState,
    prefiller: gateway_records.Endpoint,
    handle: str,
    connection: stream_client.ClientConnection,
) -> None:
  now = asyncio.get_running_loop().time()
  if state.endpoints.is_held_off(prefiller, now):
    logs.log_event(
        _log,
        logging.INFO,
        'handle_not_freed',
        endpoint=prefiller.name,
        error=endpoint_send.HELD_OFF,
    )
    return
  if not state.permits.take(prefiller.incarnation, False, now):
    logs.log_event(
        _log,
        logging.INFO,
        'handle_not_freed',
        endpoint=prefiller.name,
        error=endpoint_send.LIMITED,
    )
    return
  exchange = stream_client.Exchange(source=prefiller.name)
  host = f'{prefiller.ip}:{prefiller.port}'.encode()
  connection.send(
      stream_client.encode_request(
          b'DELETE',
          protocol.HANDLE_PATH + handle.encode(),
          [(b'Host', host)],
          b'',
      ),
      exchange,
  )
  await exchange.read_all(MAX_RESPONSE_BYTES)
