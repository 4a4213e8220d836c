"""Which hosts this one tells what it has under way.

Answers fleets of many hosts: if each told every other, what a host sends would
grow with their number, and all of it with the square. Few hosts do tell each
other directly. Of many, the hosts of a zone form groups of about `GROUP_SIZE`:
a member tells one host of its group, the relay, and hears from it the sum of
all others; relays tell each other the sums of their groups.

Nobody is appointed. All hosts order those of a group alike and take the first
that is not silent. Where views differ, two hosts relay for a while, each for
those members that name it, so that no work is counted twice. A zone that is cut
off goes on with its own relays.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from mulberrypick.core import rendezvous

# So many hosts tell each other directly: more than the 6 to 13 of the users'
# smaller deployments, for which it was measured; from 16 to 77 nothing was.
MAX_DIRECT_HOSTS = 16
# Hosts of a group, about: relays have as many members as there are other
# relays at some 100 hosts, which makes their own work least.
GROUP_SIZE = 10
# A relay that was silent for this long is passed over: three times the longest
# pause between two of its messages (s).
RELAY_TIMEOUT_S = 0.8
# For this long a silent one is passed over, then tried again (s); chosen as the
# pause between two looks at the list of hosts, not measured.
RELAY_RETRY_INTERVAL_S = 10.0


class Role(enum.IntEnum):
  """What a host is to the others; the value is sent."""

  # It tells every other host.
  DIRECT = 0
  # It tells the relay of its group.
  MEMBER = 1
  # It tells its members, and the other relays.
  RELAY = 2


class PeerHost(NamedTuple):
  """A host of the system.

  Attributes:
    name: Its name.
    zone: Its availability zone.
    address: Where it listens for other hosts, `IP:PORT`.
  """

  name: str
  zone: str
  address: str


class Neighbors(NamedTuple):
  """Whom this host tells.

  Attributes:
    role: Its own role.
    relay: Address of its relay, empty without one.
    relays: Addresses of relays that it tells: its own, or all others.
    members: Addresses of those for which it relays, or of all hosts.
  """

  role: Role
  relay: str
  relays: frozenset[str]
  members: frozenset[str]


class PeerTopology:
  """The hosts that are known, and who tells whom."""

  def __init__(self, own: PeerHost):
    self._own = own
    self._by_name = {own.name: own}
    self._listed: set[str] = set()
    self._gone: set[PeerHost] = set()
    self._digest: int | None = None
    self._skip_until: dict[str, float] = {}
    self._groups: dict[tuple[str, int], list[PeerHost]] | None = None

  def hosts(self) -> list[PeerHost]:
    """Returns all known hosts, this one among them."""
    return list(self._by_name.values())

  def digest(self) -> int:
    """Returns a number that is equal for hosts that know the same ones."""
    if self._digest is None:
      names = sorted(f'{host.name}={host.address}' for host in self.hosts())
      self._digest = xxhash.xxh32_intdigest(','.join(names).encode())
    return self._digest

  def update_host(self, host: PeerHost) -> None:
    """Takes in a host that was heard, or that the store lists."""
    self._gone.discard(host)
    if host.name == self._own.name or self._by_name.get(host.name) == host:
      return
    self._by_name[host.name] = host
    self._note_change()

  def add_reported_host(self, host: PeerHost) -> None:
    """Takes in a host that another one knows: it may have left since."""
    if host not in self._gone and host.name not in self._by_name:
      self.update_host(host)

  def update_listed_hosts(self, hosts: Iterable[PeerHost]) -> None:
    """Takes in the list of the store: who was on it and isn't has left."""
    names = set()
    for host in hosts:
      names.add(host.name)
      self.update_host(host)
    for name in self._listed - names:
      self._drop(name)
    self._listed = names

  def forget(self, address: str) -> None:
    """Drops a host that left or was silent for long."""
    for host in self.hosts():
      if host.address == address:
        self._drop(host.name)

  def skip(self, address: str, now: float) -> None:
    """Passes a silent host over as a relay for a while."""
    self._skip_until[address] = now + RELAY_RETRY_INTERVAL_S

  def decide(
      self,
      own_members: frozenset[str],
      heard_relays: frozenset[str],
      now: float,
  ) -> Neighbors:
    """Decides whom to tell.

    Args:
      own_members: Addresses of hosts that name this one as their relay.
      heard_relays: Addresses of relays that were heard a short time ago.
      now: Time on the loop's clock.
    """
    if len(self._by_name) <= MAX_DIRECT_HOSTS:
      others = {host.address for host in self.hosts()} - {self._own.address}
      return Neighbors(Role.DIRECT, '', frozenset(), frozenset(others))
    firsts = set()
    own_first = self._own.address
    for group in self._group_all().values():
      first = self._first(group, now)
      if self._own in group:
        own_first = first or own_first
      if first is not None:
        firsts.add(first)
    if own_first != self._own.address and not own_members:
      relays = frozenset({own_first})
      return Neighbors(Role.MEMBER, own_first, relays, frozenset())
    relays = (firsts | heard_relays) - {self._own.address} - own_members
    return Neighbors(Role.RELAY, '', frozenset(relays), own_members)

  def _first(self, group: list[PeerHost], now: float) -> str | None:
    for host in group:
      if host == self._own or self._skip_until.get(host.address, 0.0) <= now:
        return host.address
    return None

  def _group_all(self) -> dict[tuple[str, int], list[PeerHost]]:
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

  def _drop(self, name: str) -> None:
    if name == self._own.name or name not in self._by_name:
      return
    host = self._by_name.pop(name)
    self._gone.add(host)
    self._skip_until.pop(host.address, None)
    self._note_change()

  def _note_change(self) -> None:
    self._groups = None
    self._digest = None
