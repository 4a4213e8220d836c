"""Exchanges state with the gateways of other hosts.

The messages hold the load in flight, endpoints that are leaving, requests that
crash endpoints, and the version of the configuration in force. Nearly all of it
is sent as full state rather than as changes, so that a lost message only causes
a delay. A host that receives a newer version requests the configuration.
`core/peer_topology.py` decides which hosts a host sends to: in a large fleet,
hosts form groups whose members exchange state through one host of the group,
the relay.
"""

import asyncio
import logging
from collections.abc import Iterable

import msgspec
import zmq.asyncio

from mulberrypick.adapters import logs
from mulberrypick.core import engine_load
from mulberrypick.core import engine_models
from mulberrypick.core import load_sum
from mulberrypick.core import peer_topology
from mulberrypick.core import relay_traffic
from mulberrypick.ops import gateway_state
from mulberrypick.ops import list_check
from mulberrypick.ops import peer_links
from mulberrypick.ops import peer_message
from mulberrypick.ops import peer_table
from mulberrypick.ops import permit_exchange
from mulberrypick.ops import reach_exchange
from mulberrypick.ops import speed_log
from mulberrypick.ops import version_exchange
from mulberrypick.platform import objects
from mulberrypick.platform import stored_evidence

_log = logging.getLogger(__name__)
# Minimum interval between two messages while the load changes, and its increase
# for each host that this one sends to. Latency predictions miss the load that
# other hosts placed since their last message; under overload, 300 prompts per
# second are placed. The increase keeps the traffic of one host independent of
# the number of hosts.
MIN_SEND_INTERVAL_S = 0.008
SEND_INTERVAL_PER_HOST_S = 0.001
# Maximum interval between two messages; an idle host sends at this interval.
MAX_SEND_INTERVAL_S = 0.25
# By so much the time differs that messages take (s).
CONTACT_JITTER_S = 0.5
# Maximum number of prompt parts in one message.
MAX_PARTS = 200
# Interval at which a request for a host's identity or for the configuration is
# repeated until the reply arrives.
REQUEST_INTERVAL_S = 0.5
# Interval between two messages with what is known of the speed of engines.
SPEEDS_INTERVAL_S = 1.0
# Time after the start in which others are asked to repeat what they know.
START_S = 1.0
# Shortest interval between two lines about unexpected errors.
FAULT_LOG_INTERVAL_S = 10.0


class PeerTask:
  """Sends the state of this host to its peers and applies theirs.

  Attributes:
    versions: Software versions of streams.
  """

  def __init__(
      self, state: gateway_state.GatewayState, check: list_check.ListCheck
  ):
    """Creates the task.

    Args:
      state: The state of this host.
      check: Checks its list of endpoints.
    """
    host = state.host
    self._state = state
    self._address = f'{host.ip}:{host.peer_port}'
    self._links = peer_links.PeerLinks(self._address)
    own = peer_topology.PeerHost(host.name, host.zone, self._address)
    self._table = peer_table.PeerTable(state, own)
    # Hosts known only by address, with the time at which they were added.
    self._unidentified: dict[str, float] = {}
    self._identity_requested_at = float('-inf')
    self._config_requested_at = float('-inf')
    # Prompt parts that this host forwards as a relay: those of its own members,
    # and those of other relays.
    self._group_parts: list[tuple[str, int, int]] = []
    self._other_group_parts: list[tuple[str, int, int]] = []
    self._sent_bytes = 0
    self._traffic = relay_traffic.RelayTraffic()
    self._speeds_sent_at = float('-inf')
    self._speed_log = speed_log.SpeedLog()
    self._started_at: float | None = None
    self._fault_logged_at = float('-inf')
    # Address of the relay, and when its contact with the store began.
    self._relay_contact = ('', 0.0)
    self._permits = permit_exchange.PermitExchange(
        state, self._table, self._address, self._new_message, self._send
    )
    self._reach = reach_exchange.ReachExchange(state)
    self.versions = version_exchange.VersionExchange(
        state, self._table.topology, own, self._new_message, self._send, check
    )

  def is_host(self, ip: str) -> bool:
    """Returns whether a known host has an IP address."""
    for host in self._table.topology.hosts():
      if host.address.rpartition(':')[0] == ip:
        return True
    return False

  def add_host(self, address: str) -> None:
    """Adds a host that is known only by its address."""
    known = {host.address for host in self._table.topology.hosts()}
    if address not in known:
      self._unidentified.setdefault(address, asyncio.get_running_loop().time())

  def update_listed_hosts(self, hosts: list[peer_topology.PeerHost]) -> None:
    """Updates the known hosts from the list in the store."""
    self._table.topology.update_listed_hosts(hosts)
    for host in hosts:
      self._unidentified.pop(host.address, None)

  def close(self) -> None:
    """Closes all sockets immediately."""
    self._links.close()

  async def run(self) -> None:
    """Receives and sends messages until cancelled."""
    for seed in self._state.host.seeds:
      self.add_host(seed)
    listener = self._links.listen()
    try:
      async with asyncio.TaskGroup() as group:
        group.create_task(self._receive(listener))
        group.create_task(self._publish_changes())
        group.create_task(self._permits.run())
    finally:
      # The next run opens it again.
      listener.close(0)

  async def _receive(self, listener: zmq.asyncio.Socket) -> None:
    decoder = msgspec.msgpack.Decoder(peer_message.PeerMessage)
    while True:
      frames = await listener.recv_multipart()
      try:
        message = decoder.decode(frames[-1])
      except (msgspec.DecodeError, RecursionError) as error:
        logs.log_event(
            _log, logging.WARNING, 'peer_unreadable', error=str(error)
        )
        continue
      if message.address == self._address:
        continue
      try:
        self._handle_message(message)
      except Exception:
        # A host whose messages can't be handled must not end this one.
        self._log_fault(message.host)

  def _log_fault(self, peer: str) -> None:
    """Logs the present error unless another one was logged a moment ago."""
    now = asyncio.get_running_loop().time()
    if now - self._fault_logged_at < FAULT_LOG_INTERVAL_S:
      return
    self._fault_logged_at = now
    _log.exception({'event': 'peer_fault', 'peer': peer})

  async def _publish_changes(self) -> None:
    load_changed = self._state.load_changed
    while True:
      await asyncio.sleep(self._send_interval_s())
      try:
        async with asyncio.timeout(MAX_SEND_INTERVAL_S):
          await load_changed.wait()
      except TimeoutError:
        # Nothing has changed; the message shows that this host is alive.
        pass
      load_changed.clear()
      try:
        self.publish_now()
      except Exception:
        # It is sent with the next message, of what has changed by then.
        self._log_fault('')

  def _send_interval_s(self) -> float:
    neighbors = self._table.neighbors
    links = len(neighbors.members) + len(neighbors.relays)
    interval_s = MIN_SEND_INTERVAL_S + SEND_INTERVAL_PER_HOST_S * links
    if neighbors.role is peer_topology.Role.RELAY:
      interval_s = max(interval_s, self._traffic.min_interval_s)
    return interval_s

  def publish_now(self) -> None:
    """Sends the state of this host to its neighbors once."""
    now = asyncio.get_running_loop().time()
    self._sent_bytes = 0
    self._table.update_neighbors(self._links.opened_at, now)
    self._table.update_host_counts(now)
    neighbors = self._table.neighbors
    is_relay = neighbors.role is peer_topology.Role.RELAY
    has_news = not is_relay or self._traffic.is_news_due(now)
    own = self._build_message(now, has_news)
    self._query_unidentified(now)
    if is_relay:
      self._send_as_relay(own, has_news, now)
      self._traffic.record_sent(self._sent_bytes, has_news, now)
    else:
      if self._are_speeds_due(now):
        own.speeds = self._state.load.models.sums_to_send((), now)
      self._send(neighbors.members | neighbors.relays, own)
    self._links.close_unused(neighbors.members | neighbors.relays, now)

  def _build_message(
      self, now: float, has_news: bool = True
  ) -> peer_message.PeerMessage:
    """Builds the message with the state of this host.

    Args:
      now: Time on the event loop's clock.
      has_news: Whether it holds prompt parts and evidence of crashes.
    """
    state = self._state
    load = {}
    for name, item in state.load.own_loads(now).items():
      load[name] = tuple(item)
    message = self._new_message()
    message.load = load
    message.leaving = state.endpoints.leaving(now)
    message.switches = state.endpoints.switches.reports(now)
    if has_news:
      self._add_news(message, now)
    if self._started_at is None:
      self._started_at = now
    message.is_starting = now - self._started_at < START_S
    message.is_leaving = state.is_leaving
    self._permits.fill_message(message, now)
    self._reach.fill_message(message, now)
    has_contact = state.store_contact_since and not (
        state.store_contact.is_doubtful
    )
    if state.watches_store and has_contact:
      message.store_contact_s = now - state.store_contact_since
      # A host that learns of a change in the store reads the store at once. By
      # then it must know whether contact with the store was interrupted.
      # The two fields are sent together or not at all.
      message.store_revision_by_kind = state.store_revision_by_kind
      message.has_store_era = True
    return message

  def _add_news(self, message: peer_message.PeerMessage, now: float) -> None:
    """Adds what was not sent yet of prompt parts and evidence of crashes."""
    state = self._state
    message.parts = peer_message.pack_parts(state.unsent_parts[-MAX_PARTS:])
    state.unsent_parts.clear()
    message.crash_news = state.quarantine.exchange.take_news(now)
    message.part_news = state.part_watch.take_news(now)
    self._keep_for_missed_hosts(message)

  def _keep_for_missed_hosts(self, message: peer_message.PeerMessage) -> None:
    """Keeps the evidence in a message for hosts that it does not reach."""
    evidence = stored_evidence.Evidence(message.crash_news, message.part_news)
    if self._state.missed_hosts and not evidence.is_empty():
      self._state.unwritten_evidence.append(evidence)

  def _new_message(self) -> peer_message.PeerMessage:
    host = self._state.host
    config = self._state.config
    return peer_message.PeerMessage(
        host=host.name,
        zone=host.zone,
        address=self._address,
        role=self._table.neighbors.role,
        relay=self._table.neighbors.relay,
        config_version=config.version if config else 0,
        digest=self._table.topology.digest(),
    )

  def _query_unidentified(self, now: float) -> None:
    """Sends a message to hosts known only by address, so that they reply."""
    for address, since in list(self._unidentified.items()):
      if now - since > peer_table.FORGET_TIMEOUT_S:
        del self._unidentified[address]
    if (
        not self._unidentified
        or now - self._identity_requested_at < REQUEST_INTERVAL_S
    ):
      return
    self._identity_requested_at = now
    query = self._new_message()
    query.is_control_only = True
    query.requests_config = self._state.config is None
    self._send(self._unidentified, query)

  def _send_as_relay(
      self, own: peer_message.PeerMessage, has_news: bool, now: float
  ) -> None:
    """Sends this relay's messages.

    Other relays receive the load of its group, and each member receives the
    load of all other hosts.

    Args:
      own: The message with the state of this host.
      has_news: Whether news are sent with the load.
      now: Time on the event loop's clock.
    """
    members, relays = self._table.members(now), self._table.relays(now)
    group_load = load_sum.sum_loads([own.load, *(m.load for m in members)])
    own.load = group_load
    group_parts, other_parts = [], []
    if has_news:
      group_parts = peer_message.unpack_parts(own.parts) + self._group_parts
      other_parts = self._other_group_parts
      self._group_parts, self._other_group_parts = [], []
    own.parts = peer_message.pack_parts(group_parts)
    own.hosts = 1 + len(members)
    has_speeds = has_news and self._are_speeds_due(now)
    if has_speeds:
      addresses = [member.address for member in members]
      own.speeds = self._state.load.models.sums_to_send(addresses, now)
    self._send(self._table.neighbors.relays, own)
    total = load_sum.sum_loads([group_load, *(r.load for r in relays)])
    own.covers_all_others = True
    own.hosts = self._state.hosts
    if not own.store_contact_s:
      self._add_relayed_changes(own, relays)
    own.relayed_changes = self._state.store_changes.take_unsent()
    own.parts = peer_message.pack_parts(group_parts + other_parts)
    reach = own.reach
    for member in members:
      own.load = load_sum.subtract_load(total, member.load)
      own.reach = self._reach.helpers_for(member, now) or reach
      if has_speeds:
        own.speeds = self._speeds_without(member.address, now)
      self._send((member.address,), own)

  def _are_speeds_due(self, now: float) -> bool:
    """Returns whether to send what is known of engines; notes that it is."""
    if now - self._speeds_sent_at < SPEEDS_INTERVAL_S:
      return False
    self._speeds_sent_at = now
    self._speed_log.record(self._state.load.models)
    return True

  def _speeds_without(
      self, address: str, now: float
  ) -> engine_models.SumsByModel:
    """Returns what all hosts but one observed of the speed of engines."""
    models = self._state.load.models
    sources = [s for s in models.peer_sources() if s != address]
    return models.sums_to_send(sources, now)

  def _add_relayed_changes(
      self,
      message: peer_message.PeerMessage,
      relays: list[peer_message.PeerMessage],
  ) -> None:
    """Adds the store changes of other relays if one is in contact with it.

    Without them the members of a relay that is cut off from the store would not
    learn of its changes, though they can reach it themselves.
    """
    contact_s = max((relay.store_contact_s for relay in relays), default=0.0)
    if not contact_s:
      return
    message.relayed_contact_s = contact_s
    message.store_revision_by_kind = self._state.store_revision_by_kind
    message.has_store_era = True

  def _send(
      self, addresses: Iterable[str], message: peer_message.PeerMessage
  ) -> None:
    encoded = msgspec.msgpack.encode(message)
    for address in addresses:
      self._links.send(address, encoded)
      self._sent_bytes += len(encoded)

  def _handle_message(self, message: peer_message.PeerMessage) -> None:
    now = asyncio.get_running_loop().time()
    self._table.topology.update_host(peer_message.sender_of(message))
    self._unidentified.pop(message.address, None)
    for known in message.known:
      self._table.topology.add_reported_host(peer_topology.PeerHost(*known))
    needs_host_list = self._table.needs_host_list(message, now)
    if message.requests_config or needs_host_list:
      self._reply(message, needs_host_list)
    self._state.add_relayed_changes(message.relayed_changes)
    self._handle_config(message, now)
    self._permits.handle_message(message, now)
    self._reach.handle_message(message, now)
    self.versions.handle_message(message, now)
    if message.is_control_only:
      return
    previous = self._table.handle_message(message, now)
    self._update_load(message, previous, now)
    self._update_endpoints(message, now)
    self._handle_store_changes(message, now)

  def _update_load(
      self,
      message: peer_message.PeerMessage,
      previous: peer_message.PeerMessage,
      now: float,
  ) -> None:
    """Updates a peer's load unless it also arrives by another path."""
    key = self._table.load_key(message)
    if key is None:
      return
    load = {}
    for name, item in message.load.items():
      load[name] = engine_load.Load(*item)
    self._state.load.update_peer(key, load, now)
    if message.speeds:
      self._state.load.models.update_peer(key, message.speeds, now)
    role = peer_topology.Role
    if self._table.neighbors.role is role.RELAY:
      parts = self._other_group_parts
      if message.role == role.MEMBER:
        parts = self._group_parts
      parts += self._select_new_parts(message, now)
      del parts[:-MAX_PARTS]
      if message.load != previous.load or message.parts:
        self._state.load_changed.set()

  def _select_new_parts(
      self, message: peer_message.PeerMessage, now: float
  ) -> list[tuple[str, int, int]]:
    """Returns the prompt parts that a relay did not forward a moment ago.

    Many hosts place requests with the same part on the same engine.
    """
    new = []
    for name, key, tokens in peer_message.unpack_parts(message.parts):
      endpoint = self._state.endpoints.find(name)
      if endpoint is None:
        continue
      if self._state.load.own(endpoint).cache.should_announce(key, now):
        new.append((name, key, tokens))
    return new

  def _update_endpoints(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    state = self._state
    for name, key, tokens in peer_message.unpack_parts(message.parts):
      endpoint = state.endpoints.find(name)
      if endpoint is not None:
        state.load.own(endpoint).cache.store(key, tokens, now)
    for name, started_ms in message.leaving:
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
    for report in message.switches:
      state.record_switch(report, message.host, now)
    self._merge_crashes(message, now)

  def _merge_crashes(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Merges the crashes that another host reports; relays forward them."""
    state = self._state
    if message.is_starting and state.crash_watch.repeat_soon(now):
      state.load_changed.set()
    state.merge_evidence(
        message.crash_news, message.part_news, message.host, now
    )
    if state.quarantine.exchange.has_unsent() or state.part_watch.has_unsent():
      state.load_changed.set()

  def _handle_store_changes(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Applies store changes reported by a peer."""
    state = self._state
    is_relay = message.address == self._table.neighbors.relay
    if is_relay and self._is_new_contact(message, now):
      state.endpoints.record_store_recovery(now)
    for kind, revision in message.store_revision_by_kind.items():
      if state.record_reported_change(kind, revision, message.has_store_era):
        state.wake_store_tasks()

  def _is_new_contact(
      self, message: peer_message.PeerMessage, now: float
  ) -> bool:
    """Returns whether the relay has lost the store and found it again.

    A relay that states no contact for a moment and then the earlier one was
    not without it for long enough that entries could expire.
    """
    if not message.known_contact_s:
      return False
    began_at = now - message.known_contact_s
    address, known_at = self._relay_contact
    if address == message.address and began_at < known_at + CONTACT_JITTER_S:
      self._relay_contact = (address, min(began_at, known_at))
      return False
    self._relay_contact = (message.address, began_at)
    return True

  def _reply(
      self, message: peer_message.PeerMessage, needs_host_list: bool
  ) -> None:
    """Replies at once with the known hosts or the configuration."""
    reply = self._new_message()
    reply.is_control_only = True
    if needs_host_list:
      reply.known = [tuple(host) for host in self._table.topology.hosts()]
    if message.requests_config and self._state.config is not None:
      reply.config = self._state.config.raw
    self._send((message.address,), reply)

  def _handle_config(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    state = self._state
    version = state.config.version if state.config else 0
    if message.config:
      config = objects.decode_config_json(message.config)
      if config is not None and state.adopt_config(config):
        logs.log_event(
            _log,
            logging.INFO,
            'config_in_force',
            version=config.version,
            source=message.host,
        )
      return
    if message.relayed_changes:
      # They may hold the newer one, and are applied first.
      return
    if (
        message.config_version <= version
        or now - self._config_requested_at < REQUEST_INTERVAL_S
    ):
      return
    self._config_requested_at = now
    query = self._new_message()
    query.is_control_only = True
    query.requests_config = True
    self._send((message.address,), query)
