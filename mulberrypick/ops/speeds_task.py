"""Keeps in the store how long engines take, for hosts that start.

Hosts tell each other what they observe of the engines. If all restart at once
nobody knows it any more: all that callers ask for in the first moments would be
sent, and the engines work on what comes too late. One host writes it to the
store when it has changed, and each host reads it once.
"""

import asyncio
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import engine_models
from mulberrypick.core import errors
from mulberrypick.core import store_era
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# Interval at which it is checked whether the speeds have changed.
WRITE_INTERVAL_S = 10.0
# Shortest time from the start to the first write; samples are few before.
FIRST_WRITE_S = 4.0
RETRY_INTERVAL_S = 1.0


class SpeedsTask:
  """Reads the speeds of engines at the start, then writes changes."""

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    self._state = state
    self._client = client
    self._kept: engine_models.SpeedsByModel = {}
    self._kept_era = 0
    self._is_lost = False

  async def run(self) -> None:
    """Reads and writes until cancelled."""
    interval_s = FIRST_WRITE_S
    is_read = False
    while True:
      try:
        if not is_read:
          await self._read()
          is_read = True
        await asyncio.sleep(interval_s)
        interval_s = WRITE_INTERVAL_S
        await self._write()
      except errors.StoreError as error:
        self._log_lost(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
        continue
      self._is_lost = False

  async def _read(self) -> None:
    try:
      # Some seconds old will do, and costs less.
      listed = await self._client.list_objects(
          protocol.SPEEDS_KIND, may_be_stale=True
      )
    except errors.OlderStoreError:
      listed = await self._client.list_objects(protocol.SPEEDS_KIND)
    for item in listed.objects:
      if item.name != protocol.SPEEDS_NAME:
        continue
      self._kept = objects.decode_speeds(item.spec)
      self._kept_era = store_era.era_of(item.revision)
      count = self._state.load.models.adopt_speeds(self._kept)
      logs.log_event(_log, logging.INFO, 'speeds_read', models=count)

  async def _write(self) -> None:
    """Writes the speeds if this host is the one that does and they changed."""
    state = self._state
    if state.rank_among_hosts or state.is_leaving or state.reach.is_apart:
      return
    speeds = state.load.models.speeds_to_keep()
    era = state.store_era.current
    is_alike = engine_models.are_alike(speeds, self._kept)
    if not speeds or (is_alike and era == self._kept_era):
      return
    await self._client.put(
        protocol.SPEEDS_KIND,
        protocol.SPEEDS_NAME,
        objects.encode_speeds(speeds),
        exists=bool(self._kept),
    )
    self._kept, self._kept_era = speeds, era

  def _log_lost(self, error: errors.StoreError) -> None:
    if self._is_lost:
      return
    self._is_lost = True
    logs.log_event(_log, logging.WARNING, 'speeds_not_kept', error=error.reason)
