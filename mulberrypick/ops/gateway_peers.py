"""Messages between the gateways of all hosts, over ZeroMQ.

Every host tells every other a short while apart what it has under way, which
endpoints leave, which requests crash endpoints, and which configuration it
has. All of it is state, not change, so that a lost message costs nothing but
time. A host that hears of a newer configuration asks for it.
"""

import asyncio
import logging

import msgspec
import zmq
import zmq.asyncio

from mulberrypick.adapters import logs
from mulberrypick.core import engine_load
from mulberrypick.core import errors
from mulberrypick.ops import gateway_state
from mulberrypick.platform import objects
from mulberrypick.platform import store
from mulberrypick.platform import words

_log = logging.getLogger(__name__)
# Shortest pause between two messages to a host while its load changes, and what
# each host adds to it (s): in a flood 300 prompts a second are placed, and what
# others placed unheard is what the prediction is off by; but what one host
# sends must not grow with the number of hosts.
TELL_S = 0.008
TELL_PER_HOST_S = 0.001
# Longest pause (s): a host is heard of even if it does nothing.
TELL_IDLE_S = 0.25
# A host that was silent for this long is not counted as living (s).
LIVING_S = 2.0
# A host that was silent for this long is forgotten (s).
FORGET_S = 30.0
# Messages that wait for a host; more are dropped, newer ones follow anyway.
WAITING_MOST = 20
# Probes on links between hosts (ms): a link that went silent is opened anew.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
# Parts of prompts told in one message.
PARTS_MOST = 200
# Contact with the store for this long proves that it was not away long enough
# for entries to lapse: longer than a silent watch takes to be noticed (s).
STEADY_S = 4.0
# How often hosts tell each other whom they hear (s).
TELL_HOSTS_S = 1.0
# How often a configuration is asked for until it is here (s).
ASK_S = 0.5


class Told(msgspec.Struct, array_like=True, omit_defaults=True):
  """What one host tells the others.

  Attributes:
    host: Its name.
    address: Where it listens, `IP:PORT`.
    config_version: Version in force there, 0 for none.
    load: Count, urgent tokens, other tokens and decoding by endpoint.
    parts: Endpoint, key and tokens of parts placed since the last message.
    leaving: Name and start of endpoints that leave.
    suspects: Requests that may crash endpoints.
    refused: Requests that do.
    hosts: Addresses of other hosts.
    wants_config: Whether it asks for the configuration.
    config: The configuration, if the receiver asked for it.
    is_leaving: Whether it stops.
    store_s: Seconds of contact with the store without a gap.
  """

  host: str
  address: str
  config_version: int = 0
  load: dict[str, tuple[int, int, int, int]] = {}
  parts: list[tuple[str, str, int]] = []
  leaving: list[tuple[str, int]] = []
  suspects: list[int] = []
  refused: list[int] = []
  hosts: list[str] = []
  wants_config: bool = False
  config: bytes = b''
  is_leaving: bool = False
  store_s: float = 0.0


class _Peer:

  def __init__(self, socket: zmq.asyncio.Socket, now: float):
    self.socket = socket
    self.heard_at = float('-inf')
    self.added_at = now
    self.name = ''
    self.wants_config = False
    self.store_s = 0.0
    self.is_behind = False


class PeerTask:
  """Owns the sockets to other hosts."""

  def __init__(self, state: gateway_state.GatewayState):
    host = state.host
    self._state = state
    self._context = zmq.asyncio.Context()
    self._address = f'{host.ip}:{host.peer_port}'
    self._peer_by_address: dict[str, _Peer] = {}
    self._asked_at = float('-inf')
    self._hosts_told_at = float('-inf')

  def add_host(self, address: str) -> None:
    """Opens a link to a host."""
    if address == self._address or address in self._peer_by_address:
      return
    socket = self._context.socket(zmq.DEALER)
    _set_options(socket)
    socket.connect(f'tcp://{address}')
    now = asyncio.get_running_loop().time()
    self._peer_by_address[address] = _Peer(socket, now)

  def remove_host(self, address: str) -> None:
    """Closes the link to a host."""
    peer = self._peer_by_address.pop(address, None)
    if peer is not None:
      peer.socket.close(0)
      self._state.load.drop_peer(address)

  def close(self) -> None:
    """Closes all sockets at once."""
    self._context.destroy(0)

  async def run(self) -> None:
    """Listens and tells, for good."""
    for seed in self._state.host.seeds:
      self.add_host(seed)
    listener = self._context.socket(zmq.ROUTER)
    _set_options(listener)
    listener.bind(f'tcp://{self._address}')
    async with asyncio.TaskGroup() as group:
      group.create_task(self._listen(listener))
      group.create_task(self._tell())

  async def _listen(self, listener: zmq.asyncio.Socket) -> None:
    decoder = msgspec.msgpack.Decoder(Told)
    while True:
      frames = await listener.recv_multipart()
      try:
        told = decoder.decode(frames[-1])
      except msgspec.DecodeError as error:
        logs.log_event(
            _log, logging.WARNING, 'peer_unreadable', error=str(error)
        )
        continue
      self._take(told)

  async def _tell(self) -> None:
    news = self._state.load_news
    while True:
      await asyncio.sleep(TELL_S + TELL_PER_HOST_S * len(self._peer_by_address))
      try:
        async with asyncio.timeout(TELL_IDLE_S):
          await news.wait()
      except TimeoutError:
        # Nothing has changed; the others still hear of this host.
        pass
      news.clear()
      self.tell_now()

  def tell_now(self) -> None:
    """Tells all hosts once."""
    now = asyncio.get_running_loop().time()
    self._count_living(now)
    told = self._compose(now)
    encoded = msgspec.msgpack.encode(told)
    for peer in list(self._peer_by_address.values()):
      message = encoded
      if peer.wants_config and self._state.config is not None:
        peer.wants_config = False
        told.config = self._state.config.raw
        message = msgspec.msgpack.encode(told)
        told.config = b''
      self._send(peer, message)

  def _send(self, peer: _Peer, message: bytes) -> None:
    """Sends at once or not at all: newer messages follow anyway."""
    try:
      # A raw send: that of the event loop's socket would wait.
      zmq.Socket.send(peer.socket, message, zmq.NOBLOCK)
    except zmq.Again:
      if not peer.is_behind:
        peer.is_behind = True
        logs.log_event(
            _log, logging.WARNING, 'peer_behind', peer=peer.name or 'unheard'
        )
      return
    peer.is_behind = False

  def _compose(self, now: float) -> Told:
    state = self._state
    parts = state.placed[-PARTS_MOST:]
    state.placed.clear()
    load = {}
    for name, item in state.load.told().items():
      load[name] = tuple(item)
    return Told(
        host=state.host.name,
        address=self._address,
        config_version=state.config.version if state.config else 0,
        load=load,
        parts=parts,
        leaving=state.book.leaving(now),
        suspects=list(state.quarantine.suspects(now)),
        refused=list(state.quarantine.refused(now)),
        hosts=self._hosts_to_tell(now),
        wants_config=self._wants_config(now),
        is_leaving=state.is_leaving,
        store_s=now - state.store_since if state.store_since else 0.0,
    )

  def _hosts_to_tell(self, now: float) -> list[str]:
    if now - self._hosts_told_at < TELL_HOSTS_S:
      return []
    self._hosts_told_at = now
    return self._living(now)

  def _wants_config(self, now: float) -> bool:
    if self._state.config is not None or now - self._asked_at < ASK_S:
      return False
    self._asked_at = now
    return True

  def _take(self, told: Told) -> None:
    state = self._state
    now = asyncio.get_running_loop().time()
    if told.address == self._address:
      return
    self.add_host(told.address)
    peer = self._peer_by_address[told.address]
    if now - peer.heard_at > LIVING_S:
      logs.log_event(_log, logging.INFO, 'peer_heard', peer=told.host)
    peer.heard_at = now
    peer.name = told.host
    peer.store_s = told.store_s
    for address in told.hosts:
      self.add_host(address)
    load = {}
    for name, item in told.load.items():
      load[name] = engine_load.Load(*item)
    state.load.see_peer(told.address, load, now)
    for name, key, tokens in told.parts:
      endpoint = state.book.find(name)
      if endpoint is not None:
        state.load.own(endpoint).cache.store(key, tokens)
    for name, born_ms in told.leaving:
      if state.book.see_leaving((name, born_ms), now):
        state.drop_endpoint(name)
        logs.log_event(
            _log,
            logging.INFO,
            'endpoint_dropped',
            endpoint=name,
            reason='peer',
        )
    state.quarantine.see_peer(tuple(told.suspects), tuple(told.refused), now)
    if told.wants_config:
      peer.wants_config = True
    self._take_config(told)

  def _take_config(self, told: Told) -> None:
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
    if told.config_version <= version:
      return
    peer = self._peer_by_address[told.address]
    now = asyncio.get_running_loop().time()
    if now - self._asked_at < ASK_S:
      return
    self._asked_at = now
    ask = Told(
        host=state.host.name,
        address=self._address,
        wants_config=True,
        config_version=version,
    )
    self._send(peer, msgspec.msgpack.encode(ask))

  def _living(self, now: float) -> list[str]:
    living = []
    for address, peer in self._peer_by_address.items():
      if now - peer.heard_at < LIVING_S:
        living.append(address)
    return living

  def _count_living(self, now: float) -> None:
    living = self._living(now)
    self._state.hosts = 1 + len(living)
    rank = 0
    for address in living:
      peer = self._peer_by_address[address]
      rank += peer.store_s > 0 and peer.name < self._state.host.name
    self._state.rank_among_hosts = rank
    self._state.was_store_steady = any(
        self._peer_by_address[address].store_s > STEADY_S for address in living
    )
    for address, peer in list(self._peer_by_address.items()):
      heard_at = max(peer.heard_at, peer.added_at)
      if now - heard_at > FORGET_S:
        self.remove_host(address)


def _set_options(socket: zmq.asyncio.Socket) -> None:
  socket.setsockopt(zmq.LINGER, 0)
  socket.setsockopt(zmq.SNDHWM, WAITING_MOST)
  socket.setsockopt(zmq.RCVHWM, 1000)
  socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
  socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
  socket.setsockopt(zmq.RECONNECT_IVL, 100)
  socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
  socket.setsockopt(zmq.CONNECT_TIMEOUT, 1000)


class HostsTask:
  """Enters this host in the store, and finds the others there."""

  # Pause between two looks at the list (s): hosts that join tell the others
  # themselves, so that the list only helps when all seeds are gone.
  LOOK_S = 10.0
  RETRY_S = 1.0

  def __init__(
      self,
      state: gateway_state.GatewayState,
      peers: PeerTask,
      client: store.StoreClient,
  ):
    self._state = state
    self._peers = peers
    self._client = client
    self._is_entered = False
    self._is_unread = False

  async def run(self) -> None:
    """Enters once and looks at the list from time to time."""
    host = self._state.host
    while True:
      try:
        if not self._is_entered:
          address = f'{host.ip}:{host.peer_port}'
          await self._client.put(words.HOSTS_KIND, host.name, address)
          self._is_entered = True
        listed = await self._client.list_objects(words.HOSTS_KIND)
      except errors.StoreError as error:
        self._note_unread(error)
        await asyncio.sleep(self.RETRY_S)
        continue
      self._is_unread = False
      for item in listed.objects:
        if isinstance(item.spec, str):
          self._peers.add_host(item.spec)
      await asyncio.sleep(self.LOOK_S)

  def _note_unread(self, error: errors.StoreError) -> None:
    if self._is_unread:
      return
    self._is_unread = True
    logs.log_event(_log, logging.WARNING, 'hosts_unread', error=error.reason)

  async def leave(self) -> None:
    """Takes this host's entry out."""
    if not self._is_entered:
      return
    try:
      await self._client.remove(words.HOSTS_KIND, self._state.host.name)
    except errors.StoreError as error:
      logs.log_event(
          _log, logging.WARNING, 'host_entry_left', error=error.reason
      )
