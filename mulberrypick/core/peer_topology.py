"""Decides which other hosts this host exchanges its load with.

Up to `MAX_DIRECT_HOSTS` hosts send their load directly to each other. With a
full mesh of more hosts, the messages of each host grow linearly and those of
the fleet quadratically. The hosts of a zone then form groups of about
`GROUP_SIZE`: a member sends its load to one host of its group, the relay, and
receives from it the sum of all other hosts. Relays send each other the sums of
their groups.

There is no election. All hosts order the hosts of a group in the same way and
use the first one that is not silent as the relay. While their views differ,
two hosts may act as relays, each for the members that chose it, so that no load
is counted twice. A zone that is disconnected from the others continues with its
own relays.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from mulberrypick.core import rendezvous

# Up to this many hosts send to each other directly; covers small deployments,
# which have 6 to 13 hosts.
MAX_DIRECT_HOSTS = 16
# Approximate number of hosts in a group. At about 100 hosts a relay then has as
# many members as there are other relays, which minimizes its connections.
GROUP_SIZE = 10
# A relay that was silent for this long is skipped: three times the longest
# interval between two of its messages.
RELAY_TIMEOUT_S = 0.8
# A skipped relay is tried again after this time, which equals the interval at
# which the list of hosts is read.
RELAY_RETRY_INTERVAL_S = 10.0


class Role(enum.IntEnum):
  """Role of a host in the exchange of loads; the value is sent to peers."""

  # Sends its load to every other host.
  DIRECT = 0
  # Sends its load to the relay of its group.
  MEMBER = 1
  # Sends sums of loads to its members and to the other relays.
  RELAY = 2


class PeerHost(NamedTuple):
  """A gateway host.

  Attributes:
    name: Its name.
    zone: Its availability zone.
    address: Address `IP:PORT` at which it listens for other hosts.
  """

  name: str
  zone: str
  address: str


class Neighbors(NamedTuple):
  """The hosts that this host sends its load to.

  Attributes:
    role: Role of this host.
    relay: Address of its relay, empty without one.
    relays: Addresses of the relays that it sends to: a member's own relay, or
      all other relays.
    members: Addresses of a relay's members, or of all other hosts for
      `Role.DIRECT`.
  """

  role: Role
  relay: str
  relays: frozenset[str]
  members: frozenset[str]


class PeerTopology:
  """The known hosts, and the choice of those that this host sends to.

  Attributes:
    listed: Names of the hosts in the last list of the store.
    lists: Number of such lists so far.
  """

  def __init__(self, own: PeerHost):
    self._own = own
    self._by_name = {own.name: own}
    self.listed: frozenset[str] = frozenset()
    self.lists = 0
    self._left: set[PeerHost] = set()
    self._digest: int | None = None
    self._skip_until: dict[str, float] = {}
    self._groups: dict[tuple[str, int], list[PeerHost]] | None = None

  def hosts(self) -> list[PeerHost]:
    """Returns all known hosts, including this one."""
    return list(self._by_name.values())

  def digest(self) -> int:
    """Returns a hash of the known hosts, to compare two hosts' views."""
    if self._digest is None:
      names = sorted(f'{host.name}={host.address}' for host in self.hosts())
      self._digest = xxhash.xxh32_intdigest(','.join(names).encode())
    return self._digest

  def update_host(self, host: PeerHost) -> None:
    """Adds or updates a host that sent a message or that the store lists."""
    self._left.discard(host)
    if host.name == self._own.name or self._by_name.get(host.name) == host:
      return
    self._by_name[host.name] = host
    self._invalidate()

  def add_reported_host(self, host: PeerHost) -> None:
    """Adds a host that a peer knows, unless it is known to have left."""
    if host not in self._left and host.name not in self._by_name:
      self.update_host(host)

  def update_listed_hosts(self, hosts: Iterable[PeerHost]) -> None:
    """Replaces the list of the store; hosts that are off it now have left."""
    names = set()
    for host in hosts:
      names.add(host.name)
      self.update_host(host)
    for name in self.listed - names:
      self._remove(name)
    self.listed = frozenset(names)
    self.lists += 1

  def forget(self, address: str) -> None:
    """Removes a host that left or that was silent for long."""
    for host in self.hosts():
      if host.address == address:
        self._remove(host.name)

  def skip(self, address: str, now: float) -> None:
    """Excludes a silent host from being a relay for a while."""
    self._skip_until[address] = now + RELAY_RETRY_INTERVAL_S

  def stop_skipping(self, address: str) -> None:
    """Lets a host be a relay again that was skipped because it started late.

    Otherwise the hosts that skip it and those that do not would form two fleets
    that do not know each other's load.
    """
    self._skip_until.pop(address, None)

  def decide(
      self,
      own_members: frozenset[str],
      recent_relays: frozenset[str],
      now: float,
  ) -> Neighbors:
    """Decides which hosts to send to.

    Args:
      own_members: Addresses of hosts that chose this one as their relay.
      recent_relays: Addresses of relays that sent a message recently.
      now: Time on the event loop's clock.
    """
    if len(self._by_name) <= MAX_DIRECT_HOSTS:
      others = {host.address for host in self.hosts()} - {self._own.address}
      return Neighbors(Role.DIRECT, '', frozenset(), frozenset(others))
    relays_of_groups = set()
    own_relay = self._own.address
    for group in self._make_groups().values():
      first = self._choose_relay(group, now)
      if self._own in group:
        own_relay = first or own_relay
      if first is not None:
        relays_of_groups.add(first)
    if own_relay != self._own.address and not own_members:
      relays = frozenset({own_relay})
      return Neighbors(Role.MEMBER, own_relay, relays, frozenset())
    relays = (
        (relays_of_groups | recent_relays) - {self._own.address} - own_members
    )
    return Neighbors(Role.RELAY, '', frozenset(relays), own_members)

  def registrars(self) -> list[PeerHost]:
    """Returns the hosts that keep the versions of streams for all others.

    These are few in a large fleet, so that no host needs links to all others.
    All hosts choose them in the same way, whether they are live or not.
    """
    if len(self._by_name) <= MAX_DIRECT_HOSTS:
      return self.hosts()
    return [group[0] for group in self._make_groups().values()]

  def _choose_relay(self, group: list[PeerHost], now: float) -> str | None:
    for host in group:
      if host == self._own or self._skip_until.get(host.address, 0.0) <= now:
        return host.address
    return None

  def _make_groups(self) -> dict[tuple[str, int], list[PeerHost]]:
    if self._groups is not None:
      return self._groups
    names_by_zone: dict[str, list[str]] = {}
    for host in self._by_name.values():
      names_by_zone.setdefault(host.zone, []).append(host.name)
    self._groups = {}
    for zone, names in names_by_zone.items():
      count = max(1, round(len(names) / GROUP_SIZE))
      numbers = [str(number) for number in range(count)]
      for name in sorted(names):
        number = int(rendezvous.rank(name, numbers)[0])
        group = self._groups.setdefault((zone, number), [])
        group.append(self._by_name[name])
    return self._groups

  def _remove(self, name: str) -> None:
    if name == self._own.name or name not in self._by_name:
      return
    host = self._by_name.pop(name)
    self._left.add(host)
    self._skip_until.pop(host.address, None)
    self._invalidate()

  def _invalidate(self) -> None:
    self._groups = None
    self._digest = None
