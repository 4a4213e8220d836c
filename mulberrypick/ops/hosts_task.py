"""Registers this host in the store, and lists the other hosts."""

import asyncio
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import errors
from mulberrypick.core import peer_topology
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
      await asyncio.sleep(LIST_INTERVAL_S)
      while not self._state.watches_store:
        # Another host, the relay of this one, reads the list and reports
        # changes.
        await asyncio.sleep(LIST_INTERVAL_S)

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
    # Hosts announce themselves to each other as well, so that after the first
    # list it may be some seconds old.
    listed = await self._client.list_objects(
        protocol.HOSTS_KIND, may_be_stale=self._is_registered
    )
    if listed.revision < self._revision:
      # An older copy than before lacks hosts that have joined since.
      listed = await self._client.list_objects(protocol.HOSTS_KIND)
    self._revision = listed.revision
    if not self._is_registered:
      await self._register(listed)
    hosts = []
    for item in listed.objects:
      found = objects.decode_host(item.name, item.spec)
      if found is not None:
        hosts.append(found)
    self._peers.update_listed_hosts(hosts)

  async def _register(self, listed: store.StoredList) -> None:
    """Writes this host's entry unless a process before has written it."""
    host = self._state.host
    own = peer_topology.PeerHost(
        host.name, host.zone, f'{host.ip}:{host.peer_port}'
    )
    found = [item for item in listed.objects if item.name == host.name]
    if not found or objects.decode_host(host.name, found[0].spec) != own:
      spec = objects.encode_host(own)
      await self._client.put(
          protocol.HOSTS_KIND, host.name, spec, exists=bool(found)
      )
    self._is_registered = True

  def _log_unreadable(self, error: errors.StoreError) -> None:
    if self._is_unreadable:
      return
    self._is_unreadable = True
    logs.log_event(_log, logging.WARNING, 'hosts_unread', error=error.reason)
