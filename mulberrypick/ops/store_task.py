"""Watches the platform's store for the configuration and the endpoints."""

import asyncio
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import errors
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# Duration of one watch call. A connection that no longer delivers data is
# detected after this plus `store.WATCH_TIMEOUT_MARGIN_S`. After a network
# failure a host must follow the store again within 3 s, and a configuration
# must be in force within 2 s.
WATCH_TIMEOUT_S = 2.0
# A host that does not watch the store reads it at least this often, to find
# changes that no other host reported. The store keeps changes for 20 s.
MAX_POLL_INTERVAL_S = 15.0
# Backoff after a failed call, doubled up to the maximum.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
STATUS_HISTORY_GONE = 410


class StoreTask:
  """Watches one kind of objects in the store; subclasses handle the objects.

  Attributes:
    kind: The kind of objects.
  """

  kind = ''

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    self._state = state
    self._client = client
    self._backoff_s = INITIAL_BACKOFF_S
    self._is_disconnected = False

  async def run(self) -> None:
    """Lists the objects, then watches them; restarts after every failure."""
    while True:
      try:
        await self._watch_kind()
      except errors.StoreError as error:
        self._on_store_lost(error)
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

  async def _watch_kind(self) -> None:
    listed = await self._client.list_objects(self.kind)
    self._on_store_regained()
    revision = self._handle_whole_list(listed)
    while True:
      wait_s = await self._wait_for_change(revision)
      try:
        changed = await self._client.watch(self.kind, revision, wait_s)
      except errors.StoreError as error:
        if error.status != STATUS_HISTORY_GONE:
          raise
        listed = await self._client.list_objects(self.kind)
        revision = self._handle_whole_list(listed)
        continue
      self._on_store_regained()
      for item in changed.objects:
        self.handle_change(item)
      if changed.objects:
        self._state.record_store_change(self.kind, changed.revision)
      revision = max(revision, changed.revision)

  def _handle_whole_list(self, listed: store.StoredList) -> int:
    """Handles a whole list; returns the revision to watch from."""
    self.handle_list(listed.objects)
    # The list may hold changes that no watch returned. Recording them makes the
    # hosts that don't watch read the store.
    self._state.record_store_change(self.kind, listed.revision)
    return listed.revision

  async def _wait_for_change(self, revision: int) -> float:
    """Waits until the next watch call is due.

    Returns:
      How long that call may wait for a change, in seconds.
    """
    state = self._state
    try:
      async with asyncio.timeout(MAX_POLL_INTERVAL_S):
        while not state.watches_store:
          if state.store_revision_by_kind.get(self.kind, 0) > revision:
            return 0.0
          await state.store_changed.wait()
    except TimeoutError:
      # No change was reported; read the store in case a report was lost.
      return 0.0
    return WATCH_TIMEOUT_S

  def handle_list(self, items: list[store.StoredObject]) -> None:
    """Handles the complete list of objects."""
    raise NotImplementedError

  def handle_change(self, item: store.StoredObject) -> None:
    """Handles one changed object."""
    raise NotImplementedError

  def on_store_back(self, now: float) -> None:
    """Called when the store responds again after an outage."""

  def _on_store_lost(self, error: errors.StoreError) -> None:
    self._state.store_contact_since = None
    if self._is_disconnected:
      return
    self._is_disconnected = True
    logs.log_event(
        _log, logging.WARNING, 'store_lost', kind=self.kind, error=error.reason
    )

  def _on_store_regained(self) -> None:
    self._backoff_s = INITIAL_BACKOFF_S
    if self._state.store_contact_since is None:
      self._state.store_contact_since = asyncio.get_running_loop().time()
    if not self._is_disconnected:
      return
    self._is_disconnected = False
    self.on_store_back(asyncio.get_running_loop().time())
    logs.log_event(_log, logging.INFO, 'store_regained', kind=self.kind)


class ConfigTask(StoreTask):
  """Puts new versions of the configuration in force."""

  kind = protocol.CONFIG_KIND

  def handle_list(self, items: list[store.StoredObject]) -> None:
    """Handles the complete list of objects."""
    for item in items:
      self.handle_change(item)

  def handle_change(self, item: store.StoredObject) -> None:
    """Handles one changed object."""
    if item.name != protocol.CONFIG_NAME or item.is_deleted:
      return
    config = objects.decode_config(item.spec)
    if config is not None and self._state.adopt_config(config):
      logs.log_event(
          _log,
          logging.INFO,
          'config_in_force',
          version=config.version,
          source='store',
      )


class EndpointsTask(StoreTask):
  """Keeps the list of endpoints current."""

  kind = protocol.ENDPOINTS_KIND

  def handle_list(self, items: list[store.StoredObject]) -> None:
    """Handles the complete list of objects."""
    endpoints = []
    for item in items:
      endpoint = objects.decode_endpoint(item.name, item.spec)
      if endpoint is not None:
        endpoints.append(endpoint)
    now = asyncio.get_running_loop().time()
    listing = self._state.endpoints.replace_all(endpoints, now)
    for name in listing.removed:
      self._drop(name, 'not_listed')

  def handle_change(self, item: store.StoredObject) -> None:
    """Handles one changed object."""
    now = asyncio.get_running_loop().time()
    if item.is_deleted:
      if self._state.endpoints.remove_entry(item.name, now):
        self._drop(item.name, 'removed')
      return
    endpoint = objects.decode_endpoint(item.name, item.spec)
    if endpoint is None:
      return
    if self._state.endpoints.update_entry(endpoint, now):
      logs.log_event(
          _log,
          logging.INFO,
          'endpoint_usable',
          endpoint=endpoint.name,
          started_ms=endpoint.started_ms,
          service=endpoint.service,
          software=endpoint.software,
      )
    if endpoint.is_leaving:
      self._drop(endpoint.name, 'leaving')

  def on_store_back(self, now: float) -> None:
    """Gives endpoints whose entries expired time to register again."""
    self._state.endpoints.record_store_recovery(now)

  def _drop(self, name: str, reason: str) -> None:
    self._state.drop_endpoint(name)
    logs.log_event(
        _log, logging.INFO, 'endpoint_dropped', endpoint=name, reason=reason
    )
