"""Registers this host in the store, and lists the other hosts."""

import asyncio
import logging
import random

from mulberrypick.adapters import logs
from mulberrypick.core import errors
from mulberrypick.core import peer_topology
from mulberrypick.core import store_era
from mulberrypick.ops import gateway_peers
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# Interval at which the list of hosts is read. Hosts that join announce
# themselves to the others, so the list is needed only if no seed host is
# reachable.
LIST_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 1.0
# Time within which all hosts write their entries again after the store came
# back from an older copy; hundreds at once would exceed its rates.
RESTORE_WITHIN_S = 2.0


class HostsTask:
  """Registers this host in the store and reads the list of other hosts."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      peers: gateway_peers.PeerTask,
      client: store.StoreClient,
  ):
    self._state = state
    self._peers = peers
    self._client = client
    self._is_registered = False
    self._is_unreadable = False
    self._revision = 0
    # The era of the store in which this host's entry was written or seen.
    self._era = 0

  async def run(self) -> None:
    """Registers this host, then reads the list of hosts periodically."""
    while True:
      try:
        await self._sync_hosts()
      except errors.StoreError as error:
        self._log_unreadable(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
        continue
      self._is_unreadable = False
      is_due = await self._wait_for_interval()
      while is_due and not self._state.watches_store:
        # Another host, the relay of this one, reads the list and reports
        # changes.
        is_due = await self._wait_for_interval()

  async def _wait_for_interval(self) -> bool:
    """Waits for the next list; returns False if this host's entry is lost."""
    if self._state.store_era.current == self._era:
      try:
        async with asyncio.timeout(LIST_INTERVAL_S):
          await self._state.era_changed.wait()
      except TimeoutError:
        return True
    await asyncio.sleep(random.uniform(0.0, RESTORE_WITHIN_S))
    return False

  async def leave(self) -> None:
    """Removes this host's entry."""
    if not self._is_registered:
      return
    try:
      await self._client.remove(protocol.HOSTS_KIND, self._state.host.name)
    except errors.StoreError as error:
      logs.log_event(
          _log, logging.WARNING, 'host_entry_left', error=error.reason
      )

  async def _sync_hosts(self) -> None:
    era = self._state.store_era.current
    if era != self._era and self._is_registered:
      await self._restore_entry()
      self._era = era
      if not self._state.watches_store:
        return
    # Hosts announce themselves to each other as well, so that after the first
    # list it may be some seconds old.
    try:
      listed = await self._client.list_objects(
          protocol.HOSTS_KIND, may_be_stale=self._is_registered
      )
    except errors.OlderStoreError:
      listed = None
    if listed is None or listed.revision < self._revision:
      # An older copy than before lacks hosts that have joined since.
      listed = await self._client.list_objects(protocol.HOSTS_KIND)
    self._revision = listed.revision
    if not self._is_registered:
      await self._register(listed)
      self._era = store_era.era_of(listed.revision)
    hosts = []
    for item in listed.objects:
      found = objects.decode_host(item.name, item.spec)
      if found is not None:
        hosts.append(found)
    self._peers.update_listed_hosts(hosts)

  async def _register(self, listed: store.StoredList) -> None:
    """Writes this host's entry unless a process before has written it."""
    host = self._state.host
    own = self._own_entry()
    found = [item for item in listed.objects if item.name == host.name]
    if not found or objects.decode_host(host.name, found[0].spec) != own:
      spec = objects.encode_host(own)
      await self._client.put(
          protocol.HOSTS_KIND, host.name, spec, exists=bool(found)
      )
    self._is_registered = True

  async def _restore_entry(self) -> None:
    """Writes this host's entry again if the store has lost it."""
    name, own = self._state.host.name, self._own_entry()
    found = await self._client.read(protocol.HOSTS_KIND, name)
    if found is not None and objects.decode_host(name, found.spec) == own:
      return
    await self._client.put(
        protocol.HOSTS_KIND,
        name,
        objects.encode_host(own),
        exists=found is not None,
    )
    logs.log_event(_log, logging.INFO, 'host_entry_written_again')

  def _own_entry(self) -> peer_topology.PeerHost:
    host = self._state.host
    return peer_topology.PeerHost(
        host.name, host.zone, f'{host.ip}:{host.peer_port}'
    )

  def _log_unreadable(self, error: errors.StoreError) -> None:
    if self._is_unreadable:
      return
    self._is_unreadable = True
    logs.log_event(_log, logging.WARNING, 'hosts_unread', error=error.reason)
