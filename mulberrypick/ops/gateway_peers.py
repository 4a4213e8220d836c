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
from mulberrypick.ops import peer_books
from mulberrypick.ops import peer_links
from mulberrypick.ops import peer_message
from mulberrypick.platform import objects

_log = logging.getLogger(__name__)
# Shortest pause between two messages to a host while its load changes, and what
# each host that is told adds to it (s): in a flood 300 prompts a second are
# placed, and what others placed unheard is what the prediction is off by; but
# what one host sends must not grow with the number of hosts.
TELL_S = 0.008
TELL_PER_HOST_S = 0.001
# Longest pause (s): a host is heard of even if it does nothing.
TELL_IDLE_S = 0.25
# What a relay sends at most (bytes a second): the slowest link that the users
# name carries 5 Mbit/s, and this is a third of it.
RELAY_BYTES_PER_S = 200_000
# Parts of prompts told in one message.
PARTS_MOST = 200
# How often a question is asked until it is answered (s).
ASK_S = 0.5


class PeerTask:
  """Knows the other hosts, and tells them."""

  def __init__(self, state: gateway_state.GatewayState):
    host = state.host
    self._state = state
    self._address = f'{host.ip}:{host.peer_port}'
    self._links = peer_links.PeerLinks(self._address)
    own = peer_topology.PeerHost(host.name, host.zone, self._address)
    self._books = peer_books.PeerBooks(state, own)
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
    known = {host.address for host in self._books.hosts.hosts()}
    if address not in known:
      self._unmet.setdefault(address, asyncio.get_running_loop().time())

  def update_listed_hosts(self, hosts: list[peer_topology.PeerHost]) -> None:
    """Takes in the list of the store."""
    self._books.hosts.update_listed_hosts(hosts)
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
    decoder = msgspec.msgpack.Decoder(peer_message.Told)
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
    news = self._state.load_news
    while True:
      await asyncio.sleep(self._pause_s())
      try:
        async with asyncio.timeout(TELL_IDLE_S):
          await news.wait()
      except TimeoutError:
        # Nothing has changed; the others still hear of this host.
        pass
      news.clear()
      self.tell_now()

  def _pause_s(self) -> float:
    circle = self._books.circle
    links = len(circle.members) + len(circle.relays)
    pause_s = TELL_S + TELL_PER_HOST_S * links
    if circle.role is peer_topology.Role.RELAY:
      pause_s = max(pause_s, self._sent_bytes / RELAY_BYTES_PER_S)
    return pause_s

  def tell_now(self) -> None:
    """Tells once whomever this host tells."""
    now = asyncio.get_running_loop().time()
    self._sent_bytes = 0
    self._books.choose(self._links.opened_at, now)
    self._books.count_living(now)
    own = self._compose(now)
    self._tell_unmet(now)
    circle = self._books.circle
    if circle.role is peer_topology.Role.RELAY:
      self._tell_as_relay(own, now)
    else:
      self._send(circle.members | circle.relays, own)
    self._links.close_unneeded(circle.members | circle.relays, now)

  def _compose(self, now: float) -> peer_message.Told:
    state = self._state
    parts = state.placed[-PARTS_MOST:]
    state.placed.clear()
    load = {}
    for name, item in state.load.own_loads().items():
      load[name] = tuple(item)
    told = self._sign()
    told.load = load
    told.parts = peer_message.pack_parts(parts)
    told.leaving = state.book.leaving(now)
    told.suspects = list(state.quarantine.suspects(now))
    told.refused = list(state.quarantine.refused(now))
    told.is_leaving = state.is_leaving
    if state.watches_store and state.store_since:
      told.store_s = now - state.store_since
      # Those who hear of a change look at once, and have to know by then that
      # the store was away: both are told together or not at all.
      told.changed_at = state.store_changed_at
    return told

  def _sign(self) -> peer_message.Told:
    host = self._state.host
    config = self._state.config
    return peer_message.Told(
        host=host.name,
        zone=host.zone,
        address=self._address,
        role=self._books.circle.role,
        relay=self._books.circle.relay,
        config_version=config.version if config else 0,
        digest=self._books.hosts.digest(),
    )

  def _tell_unmet(self, now: float) -> None:
    """Asks those of whom only the address is known who they are."""
    for address, since in list(self._unmet.items()):
      if now - since > peer_books.FORGET_S:
        del self._unmet[address]
    if not self._unmet or now - self._asked_at < ASK_S:
      return
    self._asked_at = now
    ask = self._sign()
    ask.is_aside = True
    ask.asks_config = self._state.config is None
    self._send(self._unmet, ask)

  def _tell_as_relay(self, own: peer_message.Told, now: float) -> None:
    """Tells relays of the own group, and members of everybody else."""
    members, relays = self._books.members(now), self._books.relays(now)
    group_load = load_sum.sum_loads([own.load, *(m.load for m in members)])
    suspects = set(own.suspects).union(*(m.suspects for m in members))
    own.load = group_load
    group_parts = peer_message.unpack_parts(own.parts) + self._group_parts
    own.parts = peer_message.pack_parts(group_parts)
    own.suspects = list(suspects)
    own.hosts = 1 + len(members)
    self._send(self._books.circle.relays, own)
    total = load_sum.sum_loads([group_load, *(r.load for r in relays)])
    own.is_rest = True
    own.hosts = self._state.hosts
    own.parts = peer_message.pack_parts(group_parts + self._foreign_parts)
    own.suspects = list(suspects.union(*(r.suspects for r in relays)))
    self._group_parts, self._foreign_parts = [], []
    for member in members:
      own.load = load_sum.subtract_load(total, member.load)
      self._send((member.address,), own)

  def _send(self, addresses: Iterable[str], told: peer_message.Told) -> None:
    message = msgspec.msgpack.encode(told)
    for address in addresses:
      self._links.send(address, message)
      self._sent_bytes += len(message)

  def _take(self, told: peer_message.Told) -> None:
    now = asyncio.get_running_loop().time()
    self._books.hosts.update_host(peer_message.known_host(told))
    self._unmet.pop(told.address, None)
    for known in told.known:
      self._books.hosts.add_reported_host(peer_topology.PeerHost(*known))
    knows_others = self._books.knows_others(told, now)
    if told.asks_config or knows_others:
      self._answer(told, knows_others)
    self._take_config(told, now)
    if told.is_aside:
      return
    old = self._books.hear(told, now)
    self._take_load(told, old, now)
    self._take_beliefs(told, now)
    self._take_store_news(told, old, now)

  def _take_load(
      self, told: peer_message.Told, old: peer_message.Told, now: float
  ) -> None:
    """Takes in work, unless it reaches this host by another way too."""
    key = self._books.work_key(told)
    if key is None:
      return
    load = {}
    for name, item in told.load.items():
      load[name] = engine_load.Load(*item)
    self._state.load.update_peer(key, load, now)
    role = peer_topology.Role
    if self._books.circle.role is role.RELAY:
      parts = self._foreign_parts
      if told.role == role.MEMBER:
        parts = self._group_parts
      parts += peer_message.unpack_parts(told.parts)
      del parts[:-PARTS_MOST]
      if told.load != old.load or told.parts:
        self._state.load_news.set()

  def _take_beliefs(self, told: peer_message.Told, now: float) -> None:
    state = self._state
    for name, key, tokens in peer_message.unpack_parts(told.parts):
      endpoint = state.book.find(name)
      if endpoint is not None:
        state.load.own(endpoint).cache.store(key, tokens, now)
    for name, started_ms in told.leaving:
      if state.book.mark_leaving((name, started_ms), now):
        state.drop_endpoint(name)
        state.load_news.set()
        logs.log_event(
            _log,
            logging.INFO,
            'endpoint_dropped',
            endpoint=name,
            reason='peer',
        )
    state.quarantine.update_peer(tuple(told.suspects), tuple(told.refused), now)

  def _take_store_news(
      self, told: peer_message.Told, old: peer_message.Told, now: float
  ) -> None:
    """Hears of changes in the store that this host does not watch itself."""
    state = self._state
    if (
        told.address == self._books.circle.relay
        and told.store_s
        and not old.store_s
    ):
      state.book.record_store_recovery(now)
    for kind, revision in told.changed_at.items():
      if state.note_store_change(kind, revision):
        state.wake_store_tasks()

  def _answer(self, told: peer_message.Told, knows_others: bool) -> None:
    """Answers a question, or one that knows other hosts, at once."""
    reply = self._sign()
    reply.is_aside = True
    if knows_others:
      reply.known = [tuple(host) for host in self._books.hosts.hosts()]
    if told.asks_config and self._state.config is not None:
      reply.config = self._state.config.raw
    self._send((told.address,), reply)

  def _take_config(self, told: peer_message.Told, now: float) -> None:
    state = self._state
    version = state.config.version if state.config else 0
    if told.config:
      config = objects.decode_config_text(told.config)
      if config is not None and state.adopt_config(config):
        logs.log_event(
            _log,
            logging.INFO,
            'config_in_force',
            version=config.version,
            source=told.host,
        )
      return
    if told.config_version <= version or now - self._asked_config_at < ASK_S:
      return
    self._asked_config_at = now
    ask = self._sign()
    ask.is_aside = True
    ask.asks_config = True
    self._send((told.address,), ask)
