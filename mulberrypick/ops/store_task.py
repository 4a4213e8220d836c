"""Watches the platform's store for the configuration and the endpoints."""

import asyncio
import logging

import msgspec

from mulberrypick.adapters import boot_clock
from mulberrypick.adapters import logs
from mulberrypick.adapters import tolerant_json
from mulberrypick.core import errors
from mulberrypick.core import store_changes
from mulberrypick.core import store_era
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# A host that does not watch the store reads it at least this often, to find
# changes that no other host reported. They may be some seconds old: such reads
# are cheap. The store keeps changes for 20 s.
MAX_POLL_INTERVAL_S = 15.0
# Backoff after a failed call, doubled up to the maximum.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4


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
    # Up to this revision all changes of the kind are known here.
    self._revision = 0

  async def run(self) -> None:
    """Lists the objects, then watches them; restarts after every failure."""
    while True:
      try:
        await self._watch_kind()
      except errors.OlderStoreError:
        # Nothing is known to be lost; the next answer is of the new era.
        await asyncio.sleep(INITIAL_BACKOFF_S)
      except errors.StoreError as error:
        self._on_store_lost(error)
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
      except Exception:
        # One of the changes may be the cause, and would be read again.
        self._revision = 0
        raise

  async def _watch_kind(self) -> None:
    if self._revision:
      # A contact that was lost goes on where it ended.
      await self._read_changes(0.0, True)
    else:
      await self._read_list()
    while True:
      is_due = await self._wait_for_change()
      wait_s = self._state.watch_s if self._state.watches_store else 0.0
      await self._read_changes(wait_s, is_due)

  async def _read_list(self) -> None:
    began_at = boot_clock.boot_time()
    listed = await self._client.list_objects(self.kind)
    self._on_store_regained()
    self._handle_whole_list(listed)
    self.on_read(self._revision, began_at)

  async def _read_changes(self, wait_s: float, is_due: bool) -> None:
    """Reads the changes since the last read, or everything if they are gone.

    Args:
      wait_s: Time that the store may wait for a change.
      is_due: Whether there is one that this host lacks, or it watches.
    """
    began_at = boot_clock.boot_time()
    try:
      changed = await self._client.watch(
          self.kind, self._revision, wait_s, may_be_stale=not is_due
      )
    except errors.StoreError as error:
      if error.status != store.STATUS_HISTORY_GONE:
        raise
      await self._read_list()
      return
    self._on_store_regained()
    self._handle_changes(changed)
    self.on_read(self._revision, began_at)
    if is_due:
      self._state.record_store_read(self.kind, self._revision)

  def _handle_whole_list(self, listed: store.StoredList) -> None:
    """Handles a whole list, after which changes are watched."""
    self.handle_list(listed.objects)
    # The list may hold changes that no watch returned. Recording them makes the
    # hosts that don't watch read the store.
    self._state.record_store_change(self.kind, listed.revision)
    self._state.store_changes.record_known(self.kind, listed.revision)
    self._revision = listed.revision

  def _handle_changes(self, changed: store.StoredList) -> None:
    """Handles the objects that changed since the last read."""
    for item in changed.objects:
      self.handle_change(item)
    if changed.objects:
      self._state.record_store_change(self.kind, changed.revision)
      self._pass_on(changed)
    self._revision = max(self._revision, changed.revision)

  def _pass_on(self, changed: store.StoredList) -> None:
    """Keeps changes for the members of this host's group, if it is a relay."""
    if not self._state.is_relay:
      self._state.store_changes.record_known(self.kind, changed.revision)
      return
    changes = []
    for item in changed.objects:
      spec = tolerant_json.encode(item.spec)
      changes.append(
          store_changes.Change(item.name, item.revision, spec, item.is_deleted)
      )
    self._state.store_changes.record_changes(
        self.kind, changed.revision, changes
    )
    self._state.load_changed.set()

  async def _wait_for_change(self) -> bool:
    """Waits until the next read of the store is due.

    Returns:
      Whether there is a change that this host lacks, or it watches; if not, the
      store is read in case a report was lost.
    """
    state = self._state
    try:
      async with asyncio.timeout(MAX_POLL_INTERVAL_S):
        while not state.watches_store:
          self._apply_relayed()
          if state.store_revision_by_kind.get(self.kind, 0) > self._revision:
            return True
          await state.store_changed.wait()
    except TimeoutError:
      return False
    return True

  def _apply_relayed(self) -> None:
    """Applies the changes that the relay of this host passed on."""
    for batch in self._state.take_relayed_changes(self.kind):
      new = store_changes.take_new(batch, self._revision)
      items = None if new is None else self._decode_changes(new)
      if items is None:
        # It is read from the store, with all that came before.
        continue
      for item in items:
        self.handle_change(item)
      self._revision = max(self._revision, batch.revision)
      self.on_read(self._revision, None)
      self._state.store_changes.record_known(self.kind, self._revision)

  def _decode_changes(
      self, changes: tuple[store_changes.Change, ...]
  ) -> list[store.StoredObject] | None:
    """Decodes changes of a relay; returns None if one is malformed."""
    items = []
    for change in changes:
      try:
        spec = tolerant_json.decode(change.spec, 1)
      except msgspec.DecodeError as error:
        logs.log_event(
            _log,
            logging.WARNING,
            'relayed_change_malformed',
            kind=self.kind,
            name=change.name,
            error=str(error),
        )
        return None
      items.append(
          store.StoredObject(
              change.name, change.revision, spec, change.is_deleted
          )
      )
    return items

  def handle_list(self, items: list[store.StoredObject]) -> None:
    """Handles the complete list of objects."""
    raise NotImplementedError

  def handle_change(self, item: store.StoredObject) -> None:
    """Handles one changed object."""
    raise NotImplementedError

  def on_read(self, revision: int, began_at: float | None) -> None:
    """Called when all changes up to a position are handled.

    Args:
      revision: The position.
      began_at: When the store was asked, on the clock of `boot_clock`; None if
        a relay passed the changes on.
    """

  def _on_store_lost(self, error: errors.StoreError) -> None:
    if self._state.store_contact.is_lost(boot_clock.boot_time()):
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

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    super().__init__(state, client)
    self._entries = store_era.GoneEntries()

  def handle_list(self, items: list[store.StoredObject]) -> None:
    """Handles the complete list of objects."""
    endpoints = []
    self._entries.keep_only({item.name for item in items})
    for item in items:
      if self._entries.is_gone(item.name, item.revision):
        self._log_gone(item.name)
        continue
      self._entries.record(item.name, item.revision)
      endpoint = objects.decode_endpoint(item.name, item.spec)
      if endpoint is not None:
        endpoints.append(endpoint)
    now = asyncio.get_running_loop().time()
    self._state.versions.record_gap(now)
    listing = self._state.endpoints.replace_all(endpoints, now)
    for name in listing.removed:
      self._drop(name, 'not_listed')

  def handle_change(self, item: store.StoredObject) -> None:
    """Handles one changed object."""
    now = asyncio.get_running_loop().time()
    if item.is_deleted:
      self._entries.remove(item.name)
      if self._state.endpoints.remove_entry(item.name, now):
        self._drop(item.name, 'removed')
      return
    self._entries.record(item.name, item.revision)
    endpoint = objects.decode_endpoint(item.name, item.spec)
    if endpoint is None:
      return
    self._state.versions.record(endpoint, now)
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

  def on_read(self, revision: int, began_at: float | None) -> None:
    """Notes how old the list of endpoints is."""
    self._state.record_list_read(revision, began_at)

  def _log_gone(self, name: str) -> None:
    logs.log_event(_log, logging.INFO, 'endpoint_of_older_copy', endpoint=name)

  def _drop(self, name: str, reason: str) -> None:
    self._state.drop_endpoint(name)
    logs.log_event(
        _log, logging.INFO, 'endpoint_dropped', endpoint=name, reason=reason
    )
