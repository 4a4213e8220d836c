"""Peer sockets and a platform client with simulated network partitions.

They wrap the production adapters, for tests and benchmarks on one machine
that need several zones. A partition silently drops messages in both
directions.
"""

import threading

from mulberrypick.adapters import peers
from mulberrypick.adapters import platform
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import errors
from mulberrypick.core import records


class Partitions:
  """The groups that are isolated; shared by all wrappers of a test."""

  def __init__(self):
    self._lock = threading.Lock()
    self._isolated_groups = set()
    self._group_by_address = {}
    self._group_by_name = {}

  def join(self, group: str, name: str, address: str) -> None:
    """Records the group of a host."""
    with self._lock:
      self._group_by_name[name] = group
      self._group_by_address[address] = group

  def cut(self, group: str) -> None:
    """Isolates a group from all others and from the platform."""
    with self._lock:
      self._isolated_groups.add(group)

  def heal(self, group: str) -> None:
    """Ends the isolation of a group."""
    with self._lock:
      self._isolated_groups.discard(group)

  def is_cut(self, group: str, other: str | None) -> bool:
    """Returns whether a partition separates two groups."""
    with self._lock:
      return group != other and bool(self._isolated_groups & {group, other})

  def is_address_cut(self, group: str, address: str) -> bool:
    """Returns whether a partition separates a group from an address."""
    return self.is_cut(group, self._group_by_address.get(address))

  def is_name_cut(self, group: str, name: str) -> bool:
    """Returns whether a partition separates a group from a host."""
    return self.is_cut(group, self._group_by_name.get(name))


class PartitionedPeers(zmq_peers.ZmqPeers):
  """Peer sockets that drop messages across a partition."""

  def __init__(
      self,
      partitions: Partitions,
      group: str,
      name: str,
      listen_address: str = '127.0.0.1:0',
  ):
    super().__init__(listen_address, name)
    self._partitions = partitions
    self._group = group
    self._name = name

  def start(self) -> None:
    """Starts the sockets and records their address."""
    super().start()
    self._partitions.join(self._group, self._name, self.address)

  def register_handler(self, kind: str, handler: peers.Handler) -> None:
    """Registers a handler that gets no messages across a partition."""

    def handle_if_connected(sender: str, body: bytes) -> bytes | None:
      if self._partitions.is_name_cut(self._group, sender):
        return None
      return handler(sender, body)

    super().register_handler(kind, handle_if_connected)

  def send(self, peer_address: str, kind: str, body: bytes) -> None:
    """Sends a message, or drops it if a partition is in the way."""
    if not self._partitions.is_address_cut(self._group, peer_address):
      super().send(peer_address, kind, body)

  def request(
      self, peer_address: str, kind: str, body: bytes, timeout_s: float
  ) -> bytes | None:
    """Sends a request; returns None after the timeout in a partition."""
    if self._partitions.is_address_cut(self._group, peer_address):
      threading.Event().wait(timeout_s)
      return None
    return super().request(peer_address, kind, body, timeout_s)


class PartitionedPlatform(platform.Platform):
  """A platform client that fails while its group is isolated."""

  def __init__(
      self, inner: platform.Platform, partitions: Partitions, group: str
  ):
    self._inner = inner
    self._partitions = partitions
    self._group = group

  def get(self, key: str) -> platform.VersionedValue | None:
    """See `Platform.get`."""
    return self._require_connection().get(key)

  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """See `Platform.put`."""
    return self._require_connection().put(key, value, expected_version)

  def delete(self, key: str, expected_version: int) -> None:
    """See `Platform.delete`."""
    self._require_connection().delete(key, expected_version)

  def list_objects(self, prefix: str) -> platform.Listing:
    """See `Platform.list_objects`."""
    return self._require_connection().list_objects(prefix)

  def watch(
      self, prefix: str, after_revision: int, timeout_s: float
  ) -> platform.WatchBatch:
    """See `Platform.watch`; fails if the group was isolated meanwhile."""
    batch = self._require_connection().watch(prefix, after_revision, timeout_s)
    self._require_connection()
    return batch

  def list_hosts(self) -> list[records.Host]:
    """See `Platform.list_hosts`."""
    return self._require_connection().list_hosts()

  def _require_connection(self) -> platform.Platform:
    if self._partitions.is_cut(self._group, None):
      raise errors.PlatformUnavailableError(f'group {self._group} is isolated')
    return self._inner
