"""Exchanges evidence of crashes through the store.

Hosts that do not hear each other, though both reach the store, judge requests
that crash endpoints by all that both saw. Each host that misses another one
writes what it would send to it into an object of its own, and watches those of
the others. While all hosts hear each other, nothing is written or read.
"""

import asyncio
import logging
import time

from mulberrypick.adapters import logs
from mulberrypick.core import crash_exchange
from mulberrypick.core import errors
from mulberrypick.ops import gateway_state
from mulberrypick.platform import protocol
from mulberrypick.platform import store
from mulberrypick.platform import stored_evidence

_log = logging.getLogger(__name__)
# Interval at which it is checked whether hosts are missed.
CHECK_INTERVAL_S = 0.1
# Duration of one watch call. Each is priced, and a host that is gone is missed
# until the store no longer lists it.
WATCH_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.5
# Shortest interval between two writes of one host, for each known host, so that
# all of them write at most 100 objects a second.
WRITE_INTERVAL_PER_HOST_S = 0.01
# Shortest interval between two reads of one host, and its increase for each
# known host: the store's rates grow more slowly than the fleet.
MIN_READ_INTERVAL_S = 0.2
READ_INTERVAL_PER_HOST_S = 0.002
STATUS_NOT_FOUND = 404


class EvidenceTask:
  """Writes and reads evidence while hosts are missed."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      writer: store.StoreClient,
      reader: store.StoreClient,
  ):
    self._state = state
    self._writer = writer
    self._reader = reader

  @property
  def _is_needed(self) -> bool:
    return self._state.missed_hosts > 0 and self._state.watches_store

  @property
  def _known_hosts(self) -> int:
    return self._state.hosts + self._state.missed_hosts

  async def run(self) -> None:
    """Writes and reads until cancelled."""
    async with asyncio.TaskGroup() as group:
      group.create_task(self._write())
      group.create_task(self._read())

  async def _write(self) -> None:
    """Writes the unwritten evidence while hosts are missed."""
    state = self._state
    has_object = False
    while True:
      await asyncio.sleep(
          max(CHECK_INTERVAL_S, WRITE_INTERVAL_PER_HOST_S * self._known_hosts)
      )
      evidence = list(state.unwritten_evidence)
      state.unwritten_evidence.clear()
      try:
        if self._is_needed and evidence:
          spec = stored_evidence.encode(evidence, time.time())
          kind, name = protocol.EVIDENCE_KIND, state.host.name
          await self._writer.put(kind, name, spec, exists=has_object)
          has_object = True
        elif has_object and not state.missed_hosts:
          await self._remove(self._writer, state.host.name)
          has_object = False
      except errors.StoreError as error:
        # Hosts repeat their evidence, so that the next write makes up for it.
        _log_failure('evidence_not_written', error)
        await asyncio.sleep(RETRY_INTERVAL_S)

  async def _read(self) -> None:
    """Reads the evidence of other hosts while hosts are missed."""
    while True:
      await asyncio.sleep(CHECK_INTERVAL_S)
      if not self._is_needed:
        continue
      logs.log_event(
          _log,
          logging.INFO,
          'evidence_read_from_store',
          missed_hosts=self._state.missed_hosts,
      )
      try:
        await self._watch()
      except errors.StoreError as error:
        if error.status != store.STATUS_HISTORY_GONE:
          _log_failure('evidence_not_read', error)
          await asyncio.sleep(RETRY_INTERVAL_S)

  async def _watch(self) -> None:
    """Follows the objects of other hosts until no host is missed."""
    listed = await self._reader.list_objects(protocol.EVIDENCE_KIND)
    for item in listed.objects:
      age_s = stored_evidence.age_s(item.spec, time.time())
      if age_s is not None and age_s > crash_exchange.MAX_AGE_S:
        # Its host is gone; a host that is there would have written again.
        await self._remove(self._reader, item.name)
        continue
      self._merge(item)
    revision = listed.revision
    while self._is_needed:
      await asyncio.sleep(
          MIN_READ_INTERVAL_S + READ_INTERVAL_PER_HOST_S * self._known_hosts
      )
      changed = await self._reader.watch(
          protocol.EVIDENCE_KIND, revision, WATCH_TIMEOUT_S
      )
      for item in changed.objects:
        self._merge(item)
      revision = max(revision, changed.revision)

  def _merge(self, item: store.StoredObject) -> None:
    state = self._state
    if item.name == state.host.name or item.is_deleted:
      return
    now = asyncio.get_running_loop().time()
    for evidence in stored_evidence.decode(item.name, item.spec, time.time()):
      state.merge_evidence(*evidence, item.name, now)
    if state.is_relay:
      # Its members do not watch the store.
      state.load_changed.set()

  async def _remove(self, client: store.StoreClient, name: str) -> None:
    try:
      await client.remove(protocol.EVIDENCE_KIND, name)
    except errors.StoreError as error:
      # Another host has removed it.
      if error.status != STATUS_NOT_FOUND:
        raise


def _log_failure(event: str, error: errors.StoreError) -> None:
  logs.log_event(_log, logging.WARNING, event, error=error.reason)
