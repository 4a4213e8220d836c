"""Keeps in the store why requests are refused, for hosts that restart.

Hosts keep the evidence of crashes in memory and repeat it to each other. If all
of them restart at once, it is read from the store.
"""

import asyncio
import logging
import time

from mulberrypick.adapters import logs
from mulberrypick.core import crash_exchange
from mulberrypick.core import errors
from mulberrypick.core import part_exchange
from mulberrypick.ops import gateway_state
from mulberrypick.ops import part_watch
from mulberrypick.platform import objects
from mulberrypick.platform import part_refusal
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
RETRY_INTERVAL_S = 1.0
HTTP_NOT_FOUND = 404
# Interval at which one host removes entries that have expired.
CLEANUP_INTERVAL_S = 60.0


class RefusalsTask:
  """Reads the refusals at start, then writes new ones."""

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    self._state = state
    self._client = client
    self._is_lost = False

  async def run(self) -> None:
    """Reads, writes and cleans up until cancelled."""
    is_loaded = False
    while True:
      try:
        if not is_loaded:
          await self._load()
          is_loaded = True
        await self._write_new()
        if self._state.rank_among_hosts == 0:
          await self._remove_expired()
      except errors.StoreError as error:
        self._log_lost(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
        continue
      self._is_lost = False

  async def _load(self) -> None:
    listed = await self._client.list_objects(protocol.REFUSALS_KIND)
    now = asyncio.get_running_loop().time()
    for item in listed.objects:
      wall_s = time.time()
      if part_refusal.is_part_refusal(item.spec):
        reports = part_refusal.decode(item.name, item.spec, wall_s)
        news = part_exchange.PartNews(tuple(reports))
        self._state.part_watch.merge_news(news, 'store', False, now)
        continue
      reports = objects.decode_refusal(item.name, item.spec, wall_s)
      news = crash_exchange.CrashNews(tuple(reports))
      self._state.crash_watch.merge_news(news, 'store', False, now)

  async def _write_new(self) -> None:
    """Writes new refusals as they occur, for `CLEANUP_INTERVAL_S`."""
    refused = self._state.crash_watch.new_refusals
    end_at = asyncio.get_running_loop().time() + CLEANUP_INTERVAL_S
    while True:
      try:
        async with asyncio.timeout_at(end_at):
          changed = await refused.get()
      except TimeoutError:
        return
      try:
        if isinstance(changed, part_watch.RefusalChange):
          await self._write_parts(changed)
        else:
          await self._write(changed)
      except errors.StoreError:
        self._state.crash_watch.add_refusal(changed)
        raise

  async def _write_parts(self, change: part_watch.RefusalChange) -> None:
    """Writes that requests with some parts are refused, or not any more."""
    now = asyncio.get_running_loop().time()
    reports = self._state.part_watch.reports_of(change.keys, now)
    kind = protocol.REFUSALS_KIND
    name, spec = part_refusal.encode(change.keys, reports, time.time())
    if reports:
      await self._client.put_if_revision(kind, name, spec, 0)
      return
    await self._remove(name)

  async def _remove(self, name: str) -> None:
    try:
      await self._client.remove(protocol.REFUSALS_KIND, name)
    except errors.StoreError as error:
      # Nobody wrote it, or another host that saw the same has removed it.
      if error.status != HTTP_NOT_FOUND:
        raise

  async def _write(self, fingerprint: int) -> None:
    now = asyncio.get_running_loop().time()
    reports = self._state.quarantine.exchange.reports_of(fingerprint, now)
    name, spec = objects.encode_refusal(fingerprint, reports, time.time())
    if not reports:
      # Its crashes were withdrawn.
      await self._remove(name)
      return
    # Several hosts may have seen crashes; the first one writes.
    await self._client.put_if_revision(protocol.REFUSALS_KIND, name, spec, 0)

  async def _remove_expired(self) -> None:
    listed = await self._client.list_objects(protocol.REFUSALS_KIND)
    for item in listed.objects:
      if part_refusal.is_part_refusal(item.spec):
        reports = part_refusal.decode(item.name, item.spec, time.time())
      else:
        reports = objects.decode_refusal(item.name, item.spec, time.time())
      ages = [report.age_s for report in reports]
      if min(ages, default=0.0) > crash_exchange.MAX_AGE_S:
        await self._client.remove(protocol.REFUSALS_KIND, item.name)

  def _log_lost(self, error: errors.StoreError) -> None:
    if self._is_lost:
      return
    self._is_lost = True
    logs.log_event(
        _log, logging.WARNING, 'refusals_not_stored', error=error.reason
    )
