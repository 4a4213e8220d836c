"""Tells other hosts what this one does, and takes in what they tell.

What is under way, which endpoints leave, which requests crash endpoints, and
which configuration is in force. Nearly all of it is state, not change, so that
a lost message costs nothing but time. A host that hears of a newer
configuration asks for it. Whom a host tells is decided by `peer_topology`.
"""

import asyncio
import logging
from collections.abc import Iterable

import msgspec
import zmq.asyncio

from mulberrypick.adapters import logs
from mulberrypick.core import engine_load
from mulberrypick.core import load_sum
from mulberrypick.core import peer_topology
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_links
from mulberrypick.ops import peer_message
from mulberrypick.ops import peer_table
from mulberrypick.platform import objects

_log = logging.getLogger(__name__)
# Shortest pause between two messages to a host while its load changes, and what
# each host that is told adds to it (s): in a flood 300 prompts a second are
# placed, and what others placed unheard is what the prediction is off by; but
# what one host sends must not grow with the number of hosts.
MIN_SEND_INTERVAL_S = 0.008
SEND_INTERVAL_PER_HOST_S = 0.001
# Longest pause (s): a host is heard of even if it does nothing.
MAX_SEND_INTERVAL_S = 0.25
# What a relay sends at most (bytes a second): the slowest link that the users
# name carries 5 Mbit/s, and this is a third of it.
MAX_RELAY_BYTES_PER_S = 200_000
# Parts of prompts told in one message.
MAX_PARTS = 200
# How often a question is asked until it is answered (s).
REQUEST_INTERVAL_S = 0.5


class PeerTask:
  """Knows the other hosts, and tells them."""

  def __init__(self, state: gateway_state.GatewayState):
    host = state.host
    self._state = state
    self._address = f'{host.ip}:{host.peer_port}'
    self._links = peer_links.PeerLinks(self._address)
    own = peer_topology.PeerHost(host.name, host.zone, self._address)
    self._table = peer_table.PeerTable(state, own)
    # Hosts of which only the address is known yet, and since when.
    self._unmet: dict[str, float] = {}
    self._asked_at = float('-inf')
    self._asked_config_at = float('-inf')
    # What a relay passes on: parts of its members, and of other relays.
    self._group_parts: list[tuple[str, int, int]] = []
    self._foreign_parts: list[tuple[str, int, int]] = []
    self._sent_bytes = 0

  def add_host(self, address: str) -> None:
    """Takes in a host of which only the address is known."""
    known = {host.address for host in self._table.hosts.hosts()}
    if address not in known:
      self._unmet.setdefault(address, asyncio.get_running_loop().time())

  def update_listed_hosts(self, hosts: list[peer_topology.PeerHost]) -> None:
    """Takes in the list of the store."""
    self._table.hosts.update_listed_hosts(hosts)
    for host in hosts:
      self._unmet.pop(host.address, None)

  def close(self) -> None:
    """Closes all sockets at once."""
    self._links.close()

  async def run(self) -> None:
    """Listens and tells, for good."""
    for seed in self._state.host.seeds:
      self.add_host(seed)
    listener = self._links.listen()
    async with asyncio.TaskGroup() as group:
      group.create_task(self._listen(listener))
      group.create_task(self._tell())

  async def _listen(self, listener: zmq.asyncio.Socket) -> None:
    decoder = msgspec.msgpack.Decoder(peer_message.PeerMessage)
    while True:
      frames = await listener.recv_multipart()
      try:
        told = decoder.decode(frames[-1])
      except msgspec.DecodeError as error:
        logs.log_event(
            _log, logging.WARNING, 'peer_unreadable', error=str(error)
        )
        continue
      if told.address != self._address:
        self._take(told)

  async def _tell(self) -> None:
    news = self._state.load_changed
    while True:
      await asyncio.sleep(self._pause_s())
      try:
        async with asyncio.timeout(MAX_SEND_INTERVAL_S):
          await news.wait()
      except TimeoutError:
        # Nothing has changed; the others still hear of this host.
        pass
      news.clear()
      self.publish_now()

  def _pause_s(self) -> float:
    topology = self._table.topology
    links = len(topology.members) + len(topology.relays)
    pause_s = MIN_SEND_INTERVAL_S + SEND_INTERVAL_PER_HOST_S * links
    if topology.role is peer_topology.Role.RELAY:
      pause_s = max(pause_s, self._sent_bytes / MAX_RELAY_BYTES_PER_S)
    return pause_s

  def publish_now(self) -> None:
    """Tells once whomever this host tells."""
    now = asyncio.get_running_loop().time()
    self._sent_bytes = 0
    self._table.update_topology(self._links.opened_at, now)
    self._table.update_host_counts(now)
    own = self._build_message(now)
    self._tell_unmet(now)
    topology = self._table.topology
    if topology.role is peer_topology.Role.RELAY:
      self._tell_as_relay(own, now)
    else:
      self._send(topology.members | topology.relays, own)
    self._links.close_unused(topology.members | topology.relays, now)

  def _build_message(self, now: float) -> peer_message.PeerMessage:
    state = self._state
    parts = state.unsent_parts[-MAX_PARTS:]
    state.unsent_parts.clear()
    load = {}
    for name, item in state.load.own_loads().items():
      load[name] = tuple(item)
    told = self._sign()
    told.load = load
    told.parts = peer_message.pack_parts(parts)
    told.leaving = state.endpoints.leaving(now)
    told.suspects = list(state.quarantine.suspects(now))
    told.refused = list(state.quarantine.refused(now))
    told.is_leaving = state.is_leaving
    if state.watches_store and state.store_contact_since:
      told.store_contact_s = now - state.store_contact_since
      # Those who hear of a change look at once, and have to know by then that
      # the store was away: both are told together or not at all.
      told.store_revision_by_kind = state.store_revision_by_kind
    return told

  def _sign(self) -> peer_message.PeerMessage:
    host = self._state.host
    config = self._state.config
    return peer_message.PeerMessage(
        host=host.name,
        zone=host.zone,
        address=self._address,
        role=self._table.topology.role,
        relay=self._table.topology.relay,
        config_version=config.version if config else 0,
        digest=self._table.hosts.digest(),
    )

  def _tell_unmet(self, now: float) -> None:
    """Asks those of whom only the address is known who they are."""
    for address, since in list(self._unmet.items()):
      if now - since > peer_table.FORGET_TIMEOUT_S:
        del self._unmet[address]
    if not self._unmet or now - self._asked_at < REQUEST_INTERVAL_S:
      return
    self._asked_at = now
    ask = self._sign()
    ask.is_control_only = True
    ask.requests_config = self._state.config is None
    self._send(self._unmet, ask)

  def _tell_as_relay(self, own: peer_message.PeerMessage, now: float) -> None:
    """Tells relays of the own group, and members of everybody else."""
    members, relays = self._table.members(now), self._table.relays(now)
    group_load = load_sum.sum_loads([own.load, *(m.load for m in members)])
    suspects = set(own.suspects).union(*(m.suspects for m in members))
    own.load = group_load
    group_parts = peer_message.unpack_parts(own.parts) + self._group_parts
    own.parts = peer_message.pack_parts(group_parts)
    own.suspects = list(suspects)
    own.hosts = 1 + len(members)
    self._send(self._table.topology.relays, own)
    total = load_sum.sum_loads([group_load, *(r.load for r in relays)])
    own.covers_all_others = True
    own.hosts = self._state.hosts
    own.parts = peer_message.pack_parts(group_parts + self._foreign_parts)
    own.suspects = list(suspects.union(*(r.suspects for r in relays)))
    self._group_parts, self._foreign_parts = [], []
    for member in members:
      own.load = load_sum.subtract_load(total, member.load)
      self._send((member.address,), own)

  def _send(
      self, addresses: Iterable[str], told: peer_message.PeerMessage
  ) -> None:
    message = msgspec.msgpack.encode(told)
    for address in addresses:
      self._links.send(address, message)
      self._sent_bytes += len(message)

  def _take(self, told: peer_message.PeerMessage) -> None:
    now = asyncio.get_running_loop().time()
    self._table.hosts.update_host(peer_message.sender_of(told))
    self._unmet.pop(told.address, None)
    for known in told.known:
      self._table.hosts.add_reported_host(peer_topology.PeerHost(*known))
    needs_host_list = self._table.needs_host_list(told, now)
    if told.requests_config or needs_host_list:
      self._answer(told, needs_host_list)
    self._take_config(told, now)
    if told.is_control_only:
      return
    old = self._table.handle_message(told, now)
    self._take_load(told, old, now)
    self._take_beliefs(told, now)
    self._take_store_news(told, old, now)

  def _take_load(
      self,
      told: peer_message.PeerMessage,
      old: peer_message.PeerMessage,
      now: float,
  ) -> None:
    """Takes in work, unless it reaches this host by another way too."""
    key = self._table.load_key(told)
    if key is None:
      return
    load = {}
    for name, item in told.load.items():
      load[name] = engine_load.Load(*item)
    self._state.load.update_peer(key, load, now)
    role = peer_topology.Role
    if self._table.topology.role is role.RELAY:
      parts = self._foreign_parts
      if told.role == role.MEMBER:
        parts = self._group_parts
      parts += peer_message.unpack_parts(told.parts)
      del parts[:-MAX_PARTS]
      if told.load != old.load or told.parts:
        self._state.load_changed.set()

  def _take_beliefs(self, told: peer_message.PeerMessage, now: float) -> None:
    state = self._state
    for name, key, tokens in peer_message.unpack_parts(told.parts):
      endpoint = state.endpoints.find(name)
      if endpoint is not None:
        state.load.own(endpoint).cache.store(key, tokens, now)
    for name, started_ms in told.leaving:
      if state.endpoints.mark_leaving((name, started_ms), now):
        state.drop_endpoint(name)
        state.load_changed.set()
        logs.log_event(
            _log,
            logging.INFO,
            'endpoint_dropped',
            endpoint=name,
            reason='peer',
        )
    state.quarantine.update_peer(tuple(told.suspects), tuple(told.refused), now)

  def _take_store_news(
      self,
      told: peer_message.PeerMessage,
      old: peer_message.PeerMessage,
      now: float,
  ) -> None:
    """Hears of changes in the store that this host does not watch itself."""
    state = self._state
    if (
        told.address == self._table.topology.relay
        and told.store_contact_s
        and not old.store_contact_s
    ):
      state.endpoints.record_store_recovery(now)
    for kind, revision in told.store_revision_by_kind.items():
      if state.record_store_change(kind, revision):
        state.wake_store_tasks()

  def _answer(
      self, told: peer_message.PeerMessage, needs_host_list: bool
  ) -> None:
    """Answers a question, or one that knows other hosts, at once."""
    reply = self._sign()
    reply.is_control_only = True
    if needs_host_list:
      reply.known = [tuple(host) for host in self._table.hosts.hosts()]
    if told.requests_config and self._state.config is not None:
      reply.config = self._state.config.raw
    self._send((told.address,), reply)

  def _take_config(self, told: peer_message.PeerMessage, now: float) -> None:
    state = self._state
    version = state.config.version if state.config else 0
    if told.config:
      config = objects.decode_config_json(told.config)
      if config is not None and state.adopt_config(config):
        logs.log_event(
            _log,
            logging.INFO,
            'config_in_force',
            version=config.version,
            source=told.host,
        )
      return
    if (
        told.config_version <= version
        or now - self._asked_config_at < REQUEST_INTERVAL_S
    ):
      return
    self._asked_config_at = now
    ask = self._sign()
    ask.is_control_only = True
    ask.requests_config = True
    self._send((told.address,), ask)
