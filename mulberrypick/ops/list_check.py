"""Asks the store whether this host's list of endpoints is the latest one.

A host that follows the store may be behind without knowing: it was cut off a
moment ago, or stood still. Only an answer to a call that began later shows that
it is not.
"""

import asyncio
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import errors
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# Time limit of a call. The caller of a stream waits for it.
CALL_TIMEOUT_S = 0.25
# Shortest interval between two calls: many callers come back at once after a
# host was lost, to all others.
MIN_INTERVAL_S = 0.05


class ListCheck:
  """Checks the list of endpoints, with one call for all who ask meanwhile."""

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    self._state = state
    self._client = client
    self._lock = asyncio.Lock()
    # Number of calls that have begun, and when the last one did.
    self._begun = 0
    self._begun_at = float('-inf')
    # Number of the last call that ended, and its result.
    self._ended = 0
    self._is_confirmed = False

  async def confirm(self) -> bool:
    """Returns whether all versions of endpoints listed until now are known.

    Those that this host lacked are recorded by then.
    """
    begun = self._begun
    async with self._lock:
      if self._ended <= begun:
        await self._wait_for_interval()
        self._begun += 1
        self._is_confirmed = await self._ask()
        self._ended = self._begun
      return self._is_confirmed

  async def _wait_for_interval(self) -> None:
    loop = asyncio.get_running_loop()
    left_s = self._begun_at + MIN_INTERVAL_S - loop.time()
    if left_s > 0:
      await asyncio.sleep(left_s)
    self._begun_at = loop.time()

  async def _ask(self) -> bool:
    state = self._state
    revision = state.endpoints_revision
    if not revision:
      return False
    try:
      async with asyncio.timeout(CALL_TIMEOUT_S):
        changed = await self._client.watch(
            protocol.ENDPOINTS_KIND, revision, 0.0
        )
    except (errors.StoreError, TimeoutError) as error:
      self._client.close()
      logs.log_event(
          _log, logging.WARNING, 'list_not_confirmed', error=repr(error)
      )
      return False
    except asyncio.CancelledError:
      # The caller has left; nobody reads the response.
      self._client.close()
      raise
    now = asyncio.get_running_loop().time()
    for item in changed.objects:
      endpoint = objects.decode_endpoint(item.name, item.spec)
      if endpoint is not None:
        state.versions.record(endpoint, now)
    return True
