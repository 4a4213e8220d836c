"""Last messages of the other hosts, and the hosts to send to.

The neighbors of a host are the hosts that it sends its state to. The roles of
hosts (direct, member or relay) are explained in `core/peer_topology.py`.
"""

import logging
from collections.abc import Callable

from mulberrypick.adapters import logs
from mulberrypick.core import host_count
from mulberrypick.core import peer_topology
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message

_log = logging.getLogger(__name__)
# A host that sent no message for this long is not counted as live.
LIVE_TIMEOUT_S = 2.0
# A host that sent no message for this long is removed.
FORGET_TIMEOUT_S = 30.0
# After uninterrupted contact with the store for this long beyond the time after
# which a watch call without response is considered failed, no entry of an
# endpoint can have expired because of an outage of the store.
MIN_STORE_CONTACT_S = 1.0
# After a pause of this process for longer than this, the time since the last
# message of another host is counted from the end of the pause.
MAX_OWN_PAUSE_S = 0.65
# Interval between two lists of hosts sent to a host whose digest of the list
# differs from this host's, doubled up to the maximum. Two hosts can differ for
# long if one of them has read a newer list, and must not keep sending at a high
# rate.
MIN_HOST_LIST_INTERVAL_S = 0.25
MAX_HOST_LIST_INTERVAL_S = 16.0
# Delay of load that is reported through relays: the send intervals of a member
# and of two relays. Within this time, an engine receives as much work as it
# completes, so its known load may lack this much work.
RELAY_DELAY_S = 0.07
# Time after the start within which other hosts are not missed: those that start
# at the same time are heard within two seconds.
SETTLE_S = 3.0
# Key under which a member keeps the load of all other hosts.
ALL_OTHERS_KEY = 'rest'


class _Peer:
  """The last message of another host, and when it arrived."""

  def __init__(self, message: peer_message.PeerMessage):
    self.last_message = message
    self.heard_at = float('-inf')
    # Messages name the issuers of permits only together with limits.
    self.issuers: list[str] = []


class PeerTable:
  """Last message of each host and when it arrived.

  Attributes:
    topology: The known hosts and their grouping.
    neighbors: The hosts that this host sends to.
  """

  def __init__(
      self, state: gateway_state.GatewayState, own: peer_topology.PeerHost
  ):
    self._state = state
    self._address = own.address
    self.topology = peer_topology.PeerTopology(own)
    self.neighbors = self.topology.decide(frozenset(), frozenset(), 0.0)
    self._peer_by_address: dict[str, _Peer] = {}
    # When to send the list of hosts to a host again, and the interval after
    # that.
    self._host_list_due_by_address: dict[str, tuple[float, float]] = {}
    self._neighbors_updated_at = float('-inf')
    self._resumed_at = float('-inf')
    self._min_hosts = 1
    self._min_hosts_until = float('-inf')
    self._host_count = host_count.HostCount()
    self._started_at: float | None = None

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> peer_message.PeerMessage:
    """Stores a message of a host and returns its previous message.

    For the first message of a host, that message is returned.
    """
    peer = self._peer_by_address.get(message.address)
    is_first = peer is None
    if peer is None:
      peer = _Peer(message)
      self._peer_by_address[message.address] = peer
    if now - peer.heard_at > LIVE_TIMEOUT_S:
      logs.log_event(_log, logging.INFO, 'peer_heard', peer=message.host)
    if message.is_leaving and message.role == peer_topology.Role.RELAY:
      self.topology.skip(message.address, now)
    elif is_first or message.is_starting:
      self.topology.stop_skipping(message.address)
    previous = peer.last_message
    peer.last_message, peer.heard_at = message, now
    peer.issuers = message.issuers or peer.issuers
    return previous

  def needs_host_list(
      self, message: peer_message.PeerMessage, now: float
  ) -> bool:
    """Returns whether to send the list of hosts to a message's sender now."""
    if message.digest == self.topology.digest():
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
    """Returns the key under which to keep the load in a message.

    Returns:
      The key; None if this host also receives that load by another path.
    """
    role, neighbors = peer_topology.Role, self.neighbors
    if neighbors.role is role.MEMBER and message.role != role.DIRECT:
      is_from_relay = (
          message.covers_all_others and message.address == neighbors.relay
      )
      return ALL_OTHERS_KEY if is_from_relay else None
    if message.covers_all_others:
      return None
    if message.role == role.MEMBER and message.relay != self._address:
      return None
    return message.address

  def update_neighbors(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    """Updates the hosts that this host sends to.

    Args:
      opened_at: Returns when the link to an address was opened, None if there
        is none.
      now: Time on the event loop's clock.
    """
    if now - self._neighbors_updated_at > MAX_OWN_PAUSE_S:
      self._resumed_at = now
    self._neighbors_updated_at = now
    self._drop_silent_peers(opened_at, now)
    own_members, relays = set(), set()
    for address in self.live_addresses(now):
      message = self._peer_by_address[address].last_message
      if message.relay == self._address:
        own_members.add(address)
      if message.role == peer_topology.Role.RELAY:
        relays.add(address)
    previous = self.neighbors
    self.neighbors = self.topology.decide(
        frozenset(own_members), frozenset(relays), now
    )
    if previous.role is not self.neighbors.role:
      # Load received in the previous role would be counted twice, because in
      # the new role it also arrives by another path.
      self._state.load.drop_peers()
      # In the new role, the hosts are counted as their messages arrive. By too
      # low a count, too few permits would be issued.
      self._min_hosts = self._state.hosts
      self._min_hosts_until = now + LIVE_TIMEOUT_S
    if previous[:2] != self.neighbors[:2]:
      logs.log_event(
          _log,
          logging.INFO,
          'circle',
          role=self.neighbors.role.name.lower(),
          relay=self.neighbors.relay or 'none',
      )

  def _drop_silent_peers(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    for address in self.neighbors.relays:
      since = opened_at(address)
      if since is None:
        continue
      peer = self._peer_by_address.get(address)
      heard_at = peer.heard_at if peer else since
      since = max(since, heard_at, self._resumed_at)
      if now - since > peer_topology.RELAY_TIMEOUT_S:
        self.topology.skip(address, now)
    for address, peer in list(self._peer_by_address.items()):
      if now - peer.heard_at > FORGET_TIMEOUT_S:
        del self._peer_by_address[address]
        self._host_list_due_by_address.pop(address, None)
        self._state.load.drop_peer(address)
        if self.neighbors.role is peer_topology.Role.DIRECT:
          self.topology.forget(address)

  def members(self, now: float) -> list[peer_message.PeerMessage]:
    """Returns the last messages of the live members of this relay."""
    members = []
    for address in self.live_addresses(now):
      if address in self.neighbors.members:
        members.append(self._peer_by_address[address].last_message)
    return members

  def relays(self, now: float) -> list[peer_message.PeerMessage]:
    """Returns the last messages of live relays with their group's load."""
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
    """Returns the addresses of hosts that sent a message recently."""
    addresses = []
    for address, peer in self._peer_by_address.items():
      if now - peer.heard_at < LIVE_TIMEOUT_S:
        addresses.append(address)
    return addresses

  def staying_addresses(self, now: float) -> frozenset[str]:
    """Returns the addresses of live hosts that are not shutting down."""
    addresses = set()
    for address in self.live_addresses(now):
      if not self._peer_by_address[address].last_message.is_leaving:
        addresses.add(address)
    return frozenset(addresses)

  def issuers_of_relay(self) -> frozenset[str]:
    """Returns the issuers of permits that this member's relay reported."""
    peer = self._peer_by_address.get(self.neighbors.relay)
    return frozenset() if peer is None else frozenset(peer.issuers)

  def update_host_counts(self, now: float) -> None:
    """Updates the state that is derived from the messages of live hosts.

    This is the number of hosts, this host's rank among them, whether it watches
    the store, and whether another host has kept contact with the store.
    """
    self._update_live_hosts(now)
    if self._started_at is None:
      self._started_at = now
    known = len(self.topology.hosts())
    if now - self._started_at >= SETTLE_S:
      self._state.missed_hosts = max(0, known - self._state.hosts)
    self._state.is_relay = self.neighbors.role is peer_topology.Role.RELAY

  def _update_live_hosts(self, now: float) -> None:
    state = self._state
    self._update_retry_budget(now)
    live_messages = [
        self._peer_by_address[a].last_message for a in self.live_addresses(now)
    ]
    role = self.neighbors.role
    is_direct = role is peer_topology.Role.DIRECT
    state.placer.hosts = state.hosts
    state.placer.affinity_spread_s = 0.0 if is_direct else RELAY_DELAY_S
    state.peer_kept_store_contact = any(
        message.known_contact_s > state.store_delay_s + MIN_STORE_CONTACT_S
        for message in live_messages
    )
    if role is peer_topology.Role.MEMBER:
      watches = True
      for message in live_messages:
        if (
            message.address == self.neighbors.relay
            and message.covers_all_others
        ):
          state.hosts = message.hosts
          watches = False
      state.set_watching(watches)
      # Some tasks are done by one host for all, preferably the first in rank.
      # Relays should do them, so each member of a group gets the last rank.
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
    state.rank_among_hosts = self._rank(live_messages)

  def _rank(self, live_messages: list[peer_message.PeerMessage]) -> int:
    """Returns the position of this host among those that do work for all.

    Hosts that reach no endpoint can't do it.
    """
    state = self._state
    if state.reach.is_apart:
      return state.hosts
    rank = 0
    for message in live_messages:
      helper = state.helpers.find(message.host)
      is_apart = helper is not None and not helper.is_reaching
      if message.store_contact_s > 0 and not is_apart:
        rank += message.host < state.host.name
    return rank

  def _update_retry_budget(self, now: float) -> None:
    """Updates the number of hosts that share the retry budget.

    Those that are heard would be too few: a host may be running beyond a cut
    link.
    """
    budget = self._state.budget
    hosts = self._host_count.update(
        [host.name for host in self.topology.hosts()],
        self.topology.listed,
        self.topology.lists,
        budget.retention_s,
        now,
    )
    budget.update_hosts(hosts if self._host_count.is_complete else None, now)
