"""The other hosts as they were heard, and the circle that follows from it."""

import logging
from collections.abc import Callable

from mulberrypick.adapters import logs
from mulberrypick.core import peer_topology
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message

_log = logging.getLogger(__name__)
# A host that was silent for this long is not counted as living (s).
LIVE_TIMEOUT_S = 2.0
# A host that was silent for this long is forgotten (s).
FORGET_TIMEOUT_S = 30.0
# Contact with the store for this long proves that it was not away long enough
# for entries to lapse: longer than a silent watch takes to be noticed (s).
MIN_STORE_CONTACT_S = 4.0
# After a pause this long of its own a host doesn't judge others' silence (s).
MAX_OWN_PAUSE_S = 0.65
# Pause between two times that a host is told which hosts there are, because it
# knows others; doubled up to the most (s). Two that keep knowing different
# ones, as one has seen a newer list, must not go on at it.
MIN_HOST_LIST_INTERVAL_S = 0.25
MAX_HOST_LIST_INTERVAL_S = 16.0
# How late work is known by way of relays (s): the pauses of a member and of two
# relays. Within it an engine is filled by as much as it empties.
RELAY_DELAY_S = 0.07
# Under this key a member keeps the work of all other hosts.
ALL_OTHERS_KEY = 'rest'


class _Peer:
  """A host that was heard."""

  def __init__(self, message: peer_message.PeerMessage):
    self.last_message = message
    self.heard_at = float('-inf')


class PeerTable:
  """Who was heard, when, and saying what.

  Attributes:
    hosts: The hosts that are known.
    topology: Whom this host tells.
  """

  def __init__(
      self, state: gateway_state.GatewayState, own: peer_topology.PeerHost
  ):
    self._state = state
    self._address = own.address
    self.hosts = peer_topology.PeerTopology(own)
    self.topology = self.hosts.decide(frozenset(), frozenset(), 0.0)
    self._peer_by_address: dict[str, _Peer] = {}
    # When to tell a host of hosts again, and the pause after that.
    self._host_list_due_by_address: dict[str, tuple[float, float]] = {}
    self._topology_updated_at = float('-inf')
    self._resumed_at = float('-inf')
    self._min_hosts = 1
    self._min_hosts_until = float('-inf')

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> peer_message.PeerMessage:
    """Takes a message in; returns the one before it, the same if first."""
    peer = self._peer_by_address.get(message.address)
    if peer is None:
      peer = _Peer(message)
      self._peer_by_address[message.address] = peer
    if now - peer.heard_at > LIVE_TIMEOUT_S:
      logs.log_event(_log, logging.INFO, 'peer_heard', peer=message.host)
    if message.is_leaving and message.role == peer_topology.Role.RELAY:
      self.hosts.skip(message.address, now)
    previous = peer.last_message
    peer.last_message, peer.heard_at = message, now
    return previous

  def needs_host_list(
      self, message: peer_message.PeerMessage, now: float
  ) -> bool:
    """Tells whether the sender is due to be told which hosts there are."""
    if message.digest == self.hosts.digest():
      self._host_list_due_by_address.pop(message.address, None)
      return False
    due_at, interval_s = self._host_list_due_by_address.get(
        message.address, (now, MIN_HOST_LIST_INTERVAL_S)
    )
    if now < due_at:
      return False
    next_s = min(2 * interval_s, MAX_HOST_LIST_INTERVAL_S)
    self._host_list_due_by_address[message.address] = (now + interval_s, next_s)
    return True

  def load_key(self, message: peer_message.PeerMessage) -> str | None:
    """Returns under which key to keep the work that a message tells of.

    None if this host hears of that work by another way too.
    """
    role, topology = peer_topology.Role, self.topology
    if topology.role is role.MEMBER and message.role != role.DIRECT:
      is_from_relay = (
          message.covers_all_others and message.address == topology.relay
      )
      return ALL_OTHERS_KEY if is_from_relay else None
    if message.covers_all_others:
      return None
    if message.role == role.MEMBER and message.relay != self._address:
      return None
    return message.address

  def update_topology(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    """Decides anew whom to tell.

    Args:
      opened_at: When the link to an address was opened, None without one.
      now: Time on the loop's clock.
    """
    if now - self._topology_updated_at > MAX_OWN_PAUSE_S:
      self._resumed_at = now
    self._topology_updated_at = now
    self._drop_silent_peers(opened_at, now)
    own_members, relays = set(), set()
    for address in self.live_addresses(now):
      message = self._peer_by_address[address].last_message
      if message.relay == self._address:
        own_members.add(address)
      if message.role == peer_topology.Role.RELAY:
        relays.add(address)
    previous = self.topology
    self.topology = self.hosts.decide(
        frozenset(own_members), frozenset(relays), now
    )
    if previous.role is not self.topology.role:
      # What was heard so far was said to another role: sums would overlap.
      self._state.load.drop_peers()
      # In the new role the hosts are heard one by one; to share the retries
      # among fewer than there are would spend too many.
      self._min_hosts = self._state.hosts
      self._min_hosts_until = now + LIVE_TIMEOUT_S
    if previous[:2] != self.topology[:2]:
      logs.log_event(
          _log,
          logging.INFO,
          'circle',
          role=self.topology.role.name.lower(),
          relay=self.topology.relay or 'none',
      )

  def _drop_silent_peers(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    for address in self.topology.relays:
      since = opened_at(address)
      if since is None:
        continue
      peer = self._peer_by_address.get(address)
      heard_at = peer.heard_at if peer else since
      since = max(since, heard_at, self._resumed_at)
      if now - since > peer_topology.RELAY_TIMEOUT_S:
        self.hosts.skip(address, now)
    for address, peer in list(self._peer_by_address.items()):
      if now - peer.heard_at > FORGET_TIMEOUT_S:
        del self._peer_by_address[address]
        self._host_list_due_by_address.pop(address, None)
        self._state.load.drop_peer(address)
        if self.topology.role is peer_topology.Role.DIRECT:
          self.hosts.forget(address)

  def members(self, now: float) -> list[peer_message.PeerMessage]:
    """Returns what living members of this relay said last."""
    members = []
    for address in self.live_addresses(now):
      if address in self.topology.members:
        members.append(self._peer_by_address[address].last_message)
    return members

  def relays(self, now: float) -> list[peer_message.PeerMessage]:
    """Returns what living relays said last of their groups."""
    relays = []
    for address in self.live_addresses(now):
      message = self._peer_by_address[address].last_message
      if (
          message.role == peer_topology.Role.RELAY
          and not message.covers_all_others
      ):
        relays.append(message)
    return relays

  def live_addresses(self, now: float) -> list[str]:
    """Returns addresses of hosts that were heard a short time ago."""
    addresses = []
    for address, peer in self._peer_by_address.items():
      if now - peer.heard_at < LIVE_TIMEOUT_S:
        addresses.append(address)
    return addresses

  def update_host_counts(self, now: float) -> None:
    """Counts hosts, and notes who is in contact with the store."""
    state = self._state
    live_messages = [
        self._peer_by_address[a].last_message for a in self.live_addresses(now)
    ]
    role = self.topology.role
    is_direct = role is peer_topology.Role.DIRECT
    state.placer.affinity_spread_s = 0.0 if is_direct else RELAY_DELAY_S
    state.peer_kept_store_contact = any(
        message.store_contact_s > MIN_STORE_CONTACT_S
        for message in live_messages
    )
    if role is peer_topology.Role.MEMBER:
      watches = True
      for message in live_messages:
        if message.address == self.topology.relay and message.covers_all_others:
          state.hosts = message.hosts
          watches = False
      state.set_watching(watches)
      # Relays see to what one host has to do.
      state.rank_among_hosts = state.hosts
      return
    state.set_watching(True)
    if role is peer_topology.Role.RELAY:
      relays = self.relays(now)
      hosts = 1 + len(self.members(now)) + sum(r.hosts for r in relays)
    else:
      hosts = 1 + len(live_messages)
    if now < self._min_hosts_until:
      hosts = max(hosts, self._min_hosts)
    state.hosts = hosts
    rank = 0
    for message in live_messages:
      rank += message.store_contact_s > 0 and message.host < state.host.name
    state.rank_among_hosts = rank
