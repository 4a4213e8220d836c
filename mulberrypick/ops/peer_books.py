"""The other hosts as they were heard, and the circle that follows from it."""

import logging
from collections.abc import Callable

from mulberrypick.adapters import logs
from mulberrypick.core import peer_topology
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message

_log = logging.getLogger(__name__)
# A host that was silent for this long is not counted as living (s).
LIVING_S = 2.0
# A host that was silent for this long is forgotten (s).
FORGET_S = 30.0
# Contact with the store for this long proves that it was not away long enough
# for entries to lapse: longer than a silent watch takes to be noticed (s).
STEADY_S = 4.0
# After a pause this long of its own a host doesn't judge others' silence (s).
STALLED_S = 0.65
# Pause between two times that a host is told which hosts there are, because it
# knows others; doubled up to the most (s). Two that keep knowing different
# ones, as one has seen a newer list, must not go on at it.
INFORM_S = 0.25
INFORM_MOST_S = 16.0
# How late work is known by way of relays (s): the pauses of a member and of two
# relays. Within it an engine is filled by as much as it empties.
RELAYED_S = 0.07
# Under this key a member keeps the work of all other hosts.
REST = 'rest'


class _Peer:
  """A host that was heard."""

  def __init__(self, told: peer_message.Told):
    self.told = told
    self.heard_at = float('-inf')


class PeerBooks:
  """Who was heard, when, and saying what.

  Attributes:
    hosts: The hosts that are known.
    circle: Whom this host tells.
  """

  def __init__(
      self, state: gateway_state.GatewayState, own: peer_topology.PeerHost
  ):
    self._state = state
    self._address = own.address
    self.hosts = peer_topology.PeerTopology(own)
    self.circle = self.hosts.decide(frozenset(), frozenset(), 0.0)
    self._peer_by_address: dict[str, _Peer] = {}
    # When to tell a host of hosts again, and the pause after that.
    self._inform_by_address: dict[str, tuple[float, float]] = {}
    self._chosen_at = float('-inf')
    self._awake_at = float('-inf')
    self._held_hosts = 1
    self._held_until = float('-inf')

  def hear(self, told: peer_message.Told, now: float) -> peer_message.Told:
    """Takes a message in; returns the one before it, the same if first."""
    peer = self._peer_by_address.get(told.address)
    if peer is None:
      peer = _Peer(told)
      self._peer_by_address[told.address] = peer
    if now - peer.heard_at > LIVING_S:
      logs.log_event(_log, logging.INFO, 'peer_heard', peer=told.host)
    if told.is_leaving and told.role == peer_topology.Role.RELAY:
      self.hosts.skip(told.address, now)
    old = peer.told
    peer.told, peer.heard_at = told, now
    return old

  def knows_others(self, told: peer_message.Told, now: float) -> bool:
    """Tells whether the sender is due to be told which hosts there are."""
    if told.digest == self.hosts.digest():
      self._inform_by_address.pop(told.address, None)
      return False
    due_at, pause_s = self._inform_by_address.get(told.address, (now, INFORM_S))
    if now < due_at:
      return False
    next_s = min(2 * pause_s, INFORM_MOST_S)
    self._inform_by_address[told.address] = (now + pause_s, next_s)
    return True

  def work_key(self, told: peer_message.Told) -> str | None:
    """Returns under which key to keep the work that a message tells of.

    None if this host hears of that work by another way too.
    """
    role, circle = peer_topology.Role, self.circle
    if circle.role is role.MEMBER and told.role != role.DIRECT:
      is_from_relay = told.is_rest and told.address == circle.relay
      return REST if is_from_relay else None
    if told.is_rest:
      return None
    if told.role == role.MEMBER and told.relay != self._address:
      return None
    return told.address

  def choose(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    """Decides anew whom to tell.

    Args:
      opened_at: When the link to an address was opened, None without one.
      now: Time on the loop's clock.
    """
    if now - self._chosen_at > STALLED_S:
      self._awake_at = now
    self._chosen_at = now
    self._pass_silent_over(opened_at, now)
    own_members, relays = set(), set()
    for address in self.living(now):
      told = self._peer_by_address[address].told
      if told.relay == self._address:
        own_members.add(address)
      if told.role == peer_topology.Role.RELAY:
        relays.add(address)
    old = self.circle
    self.circle = self.hosts.decide(
        frozenset(own_members), frozenset(relays), now
    )
    if old.role is not self.circle.role:
      # What was heard so far was said to another role: sums would overlap.
      self._state.load.drop_peers()
      # In the new role the hosts are heard one by one; to share the retries
      # among fewer than there are would spend too many.
      self._held_hosts = self._state.hosts
      self._held_until = now + LIVING_S
    if old[:2] != self.circle[:2]:
      logs.log_event(
          _log,
          logging.INFO,
          'circle',
          role=self.circle.role.name.lower(),
          relay=self.circle.relay or 'none',
      )

  def _pass_silent_over(
      self, opened_at: Callable[[str], float | None], now: float
  ) -> None:
    for address in self.circle.relays:
      since = opened_at(address)
      if since is None:
        continue
      peer = self._peer_by_address.get(address)
      heard_at = peer.heard_at if peer else since
      since = max(since, heard_at, self._awake_at)
      if now - since > peer_topology.RELAY_TIMEOUT_S:
        self.hosts.skip(address, now)
    for address, peer in list(self._peer_by_address.items()):
      if now - peer.heard_at > FORGET_S:
        del self._peer_by_address[address]
        self._inform_by_address.pop(address, None)
        self._state.load.drop_peer(address)
        if self.circle.role is peer_topology.Role.DIRECT:
          self.hosts.forget(address)

  def members(self, now: float) -> list[peer_message.Told]:
    """Returns what living members of this relay said last."""
    members = []
    for address in self.living(now):
      if address in self.circle.members:
        members.append(self._peer_by_address[address].told)
    return members

  def relays(self, now: float) -> list[peer_message.Told]:
    """Returns what living relays said last of their groups."""
    relays = []
    for address in self.living(now):
      told = self._peer_by_address[address].told
      if told.role == peer_topology.Role.RELAY and not told.is_rest:
        relays.append(told)
    return relays

  def living(self, now: float) -> list[str]:
    """Returns addresses of hosts that were heard a short time ago."""
    living = []
    for address, peer in self._peer_by_address.items():
      if now - peer.heard_at < LIVING_S:
        living.append(address)
    return living

  def count_living(self, now: float) -> None:
    """Counts hosts, and notes who is in contact with the store."""
    state = self._state
    living = [self._peer_by_address[a].told for a in self.living(now)]
    role = self.circle.role
    is_direct = role is peer_topology.Role.DIRECT
    state.placer.affinity_spread_s = 0.0 if is_direct else RELAYED_S
    state.was_store_steady = any(told.store_s > STEADY_S for told in living)
    if role is peer_topology.Role.MEMBER:
      watches = True
      for told in living:
        if told.address == self.circle.relay and told.is_rest:
          state.hosts = told.hosts
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
      hosts = 1 + len(living)
    if now < self._held_until:
      hosts = max(hosts, self._held_hosts)
    state.hosts = hosts
    rank = 0
    for told in living:
      rank += told.store_s > 0 and told.host < state.host.name
    state.rank_among_hosts = rank
