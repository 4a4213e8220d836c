"""Task that tracks the hosts of the fleet and the load of the engines.

To limit traffic, only two entries per zone read the platform's list of hosts,
and only one entry polls each engine; they send the results to the other entries
of their zone. All entries select them by the same rendezvous hashing, so that
no coordination is needed. An entry that receives no updates for a while polls
by itself. The task also sends the load of this entry's requests in flight to
all peers at regular intervals.
"""

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.adapters import logs
from mulberrypick.adapters import peers as peers_adapter
from mulberrypick.adapters import platform as platform_adapter
from mulberrypick.core import errors
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import rendezvous
from mulberrypick.ops import engine_poller

KIND_HOSTS = 'hosts'
KIND_HOSTS_DIGEST = 'hosts_digest'
KIND_HOSTS_QUERY = 'ask_hosts'
KIND_REPORTS = 'reports'
KIND_LOAD = 'load'
KIND_CACHE = 'cache'
KIND_DEMAND = 'demand'
HOSTS_READER_COUNT = 2
REQUEST_TIMEOUT_S = 1.0
# Maximum bytes per second that one entry sends, by kind of message. The sum is
# below the limit of 3 KB/s of control traffic per process; the send intervals
# grow with the number of peers.
MAX_LOAD_BYTES_PER_S = 1500.0
MAX_REPORTS_BYTES_PER_S = 750.0
MAX_CACHE_BYTES_PER_S = 250.0
# Maximum interval between two messages with the load of this host. Shares of
# tenants, and times that refused requests are given for a retry, depend on the
# load of peers. It must stay current under overload, when messages are long,
# even if this exceeds `MAX_LOAD_BYTES_PER_S`.
MAX_LOAD_INTERVAL_S = 1.0
# Size of a message between peers without its body.
MESSAGE_OVERHEAD_BYTES = 32
# Maximum rate at which this entry polls engines, for load reports and for cache
# events each.
MAX_POLLS_PER_S = 15.0

_logger = logging.getLogger(__name__)

_HOSTS_DECODER = msgspec.msgpack.Decoder(tuple[records.Host, ...])
_REPORTS_DECODER = msgspec.msgpack.Decoder(tuple[records.EngineReport, ...])
_CACHE_DECODER = msgspec.msgpack.Decoder(tuple[messages.CacheSeen, ...])
_PEER_DECODER = msgspec.msgpack.Decoder(messages.PeerSeen)


class FleetIntervals(NamedTuple):
  """Polling and send intervals of the task.

  Attributes:
    hosts_s: Seconds between two reads of the list of hosts.
    reports_s: Seconds between two polls of an engine's load.
    cache_s: Seconds between two reads of an engine's cache events.
    load_s: Seconds between two messages with this host's load.
    silence_s: Seconds without updates after which an entry polls by itself.
  """

  hosts_s: float = 1.0
  reports_s: float = 0.5
  cache_s: float = 1.0
  load_s: float = 0.5
  silence_s: float = 3.0


class OwnLoad(NamedTuple):
  """Load of this host, as it is sent to others.

  Attributes:
    seen: The message for all peers.
    demand_by_model: Reply to queries of controllers: arriving work by model,
      in engine seconds per second, for prefill and for decode.
  """

  seen: messages.PeerSeen
  demand_by_model: dict[str, tuple[float, float]]


class _Received(NamedTuple):
  """A message from a peer, posted by the peer transport's thread."""

  kind: str
  body: bytes


class FleetTask:
  """Owns the list of hosts and the engine polling, and publishes changes."""

  def __init__(
      self,
      own_name: str,
      own_zone: str,
      platform: platform_adapter.Platform,
      engine: engine_adapter.Engine,
      peers: peers_adapter.Peers,
      publish: Callable[[messages.Message], None],
      read_own_load: Callable[[], OwnLoad],
      intervals: FleetIntervals,
      seed_addresses: tuple[str, ...] = (),
  ):
    """Registers the message handlers; `start` runs the task.

    Args:
      own_name: Name of this entry host.
      own_zone: Its zone.
      platform: Source of the list of hosts.
      engine: Client for load reports and cache events of engines.
      peers: Transport of messages between entries.
      publish: Called with `HostsSeen`, `ReportSeen`, `CacheSeen` and
        `PeerSeen` messages.
      read_own_load: Returns the load to send to peers and controllers.
      intervals: Polling and send intervals.
      seed_addresses: Peer addresses to query before any host is known.
    """
    self._own_name = own_name
    self._own_zone = own_zone
    self._platform = platform
    self._peers = peers
    self._publish = publish
    self._read_own_load = read_own_load
    self._intervals = intervals
    self._seed_addresses = seed_addresses
    self._inbox: queue.Queue[_Received] = queue.Queue(1000)
    self._hosts: tuple[records.Host, ...] = ()
    self._hosts_at = 0.0
    self._hosts_digest = b''
    self._reports_interval_s = 0.0
    self._demand_body = msgspec.msgpack.encode({})
    self._poller = engine_poller.EnginePoller(own_name, engine)
    self._stopping = threading.Event()
    self._thread = threading.Thread(target=self._run, name='fleet', daemon=True)
    for kind in (
        KIND_HOSTS,
        KIND_HOSTS_DIGEST,
        KIND_REPORTS,
        KIND_LOAD,
        KIND_CACHE,
    ):
      peers.register_handler(kind, self._make_handler(kind))
    peers.register_handler(KIND_DEMAND, lambda sender, body: self._demand_body)
    peers.register_handler(KIND_HOSTS_QUERY, self._reply_hosts)

  @property
  def hosts(self) -> tuple[records.Host, ...]:
    """The current list of hosts, an immutable value."""
    return self._hosts

  @property
  def has_hosts(self) -> bool:
    """Whether a list of hosts has been received."""
    return self._hosts_at > 0

  def list_peer_addresses(self) -> list[str]:
    """Lists the peer addresses of all other live entries, and the seeds."""
    addresses = {host.peer_address for host in self._list_entries('')}
    return sorted(addresses.union(self._seed_addresses))

  def list_zone_addresses(self) -> list[str]:
    """Lists the peer addresses of the other live entries of the own zone."""
    return [host.peer_address for host in self._list_entries(self._own_zone)]

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def stop(self) -> None:
    """Stops the task and waits for its thread."""
    self._stopping.set()
    self._thread.join()
    self._poller.stop()

  def _make_handler(self, kind: str) -> peers_adapter.Handler:
    def handler(sender: str, body: bytes) -> None:
      del sender
      try:
        self._inbox.put_nowait(_Received(kind, body))
      except queue.Full:
        pass  # The next message of this kind replaces the dropped one.

    return handler

  def _reply_hosts(self, sender: str, body: bytes) -> bytes | None:
    """Sends the list of hosts to an entry that has just started.

    Runs on the peers' thread.
    """
    del sender, body
    hosts = self._hosts
    return msgspec.msgpack.encode(hosts) if hosts else None

  def _run(self) -> None:
    next_at_by_step = dict.fromkeys(
        (
            self._step_hosts,
            self._step_reports,
            self._step_cache,
            self._step_load,
        ),
        0.0,
    )
    while not self._stopping.is_set():
      for step, next_at in next_at_by_step.items():
        if time.monotonic() < next_at:
          continue
        started_at = time.monotonic()
        next_at_by_step[step] = started_at + self._run_step(step)
      self._receive_messages(min(next_at_by_step.values()))

  def _run_step(self, step: Callable[[], float]) -> float:
    """Runs a periodic job; returns the seconds from its start to the next."""
    try:
      return step()
    except errors.MulberrypickError as error:
      logs.log_event(
          _logger,
          logging.DEBUG,
          'fleet_step_failed',
          step=step.__name__,
          reason=str(error),
      )
    except Exception:
      _logger.exception('fleet_step_broken')
    return self._intervals.hosts_s

  def _receive_messages(self, until: float) -> None:
    while not self._stopping.is_set():
      wait_s = until - time.monotonic()
      if wait_s <= 0:
        return
      try:
        received = self._inbox.get(timeout=wait_s)
      except queue.Empty:
        return
      self._handle_message(received)

  def _handle_message(self, received: _Received) -> None:
    try:
      if received.kind == KIND_HOSTS:
        self._update_hosts(_HOSTS_DECODER.decode(received.body))
      elif received.kind == KIND_HOSTS_DIGEST:
        self._handle_hosts_digest(received.body)
      elif received.kind == KIND_REPORTS:
        self._handle_reports(_REPORTS_DECODER.decode(received.body))
      elif received.kind == KIND_CACHE:
        for seen in _CACHE_DECODER.decode(received.body):
          self._publish(seen)
      else:
        self._publish(_PEER_DECODER.decode(received.body))
    except msgspec.DecodeError as error:
      logs.log_event(
          _logger,
          logging.WARNING,
          'peer_message_malformed',
          kind=received.kind,
          reason=str(error),
      )

  def _step_hosts(self) -> float:
    now = time.monotonic()
    is_silent = now - self._hosts_at > self._intervals.silence_s
    if not (is_silent or self._is_hosts_reader()):
      return self._intervals.hosts_s
    try:
      hosts = tuple(self._platform.list_hosts())
    except errors.PlatformError:
      self._ask_peers_for_hosts()
      raise
    has_changed = hosts != self._hosts
    self._update_hosts(hosts)
    # The list is sent only after a change. An entry that missed the change
    # receives a digest that differs from its own, which does not count as an
    # update, so that it reads the list by itself.
    if has_changed:
      self._send_to_zone(KIND_HOSTS, msgspec.msgpack.encode(hosts))
    else:
      self._send_to_zone(KIND_HOSTS_DIGEST, self._hosts_digest)
    return self._intervals.hosts_s

  def _send_to_zone(self, kind: str, body: bytes) -> int:
    """Sends a message to all other entries of the zone.

    Returns:
      The number of bytes sent.
    """
    zone_entries = self._list_entries(self._own_zone)
    for peer in zone_entries:
      self._peers.send(peer.peer_address, kind, body)
    return len(zone_entries) * (len(body) + MESSAGE_OVERHEAD_BYTES)

  def _ask_peers_for_hosts(self) -> None:
    """Requests the list of hosts from peers if this entry has none yet."""
    if self.has_hosts:
      return
    for address in self.list_peer_addresses():
      body = self._peers.request(
          address, KIND_HOSTS_QUERY, b'', REQUEST_TIMEOUT_S
      )
      if body is not None:
        self._update_hosts(_HOSTS_DECODER.decode(body))
        return

  def _is_hosts_reader(self) -> bool:
    names = self._zone_names()
    readers = rendezvous.rank(f'hosts/{self._own_zone}', names)
    return self._own_name in readers[:HOSTS_READER_COUNT]

  def _update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    self._hosts_at = time.monotonic()
    if hosts == self._hosts:
      return
    self._hosts = hosts
    self._hosts_digest = digest_hosts(hosts)
    self._poller.assign(hosts, self._zone_names())
    self._publish(messages.HostsSeen(hosts))

  def _handle_hosts_digest(self, digest: bytes) -> None:
    if digest == self._hosts_digest:
      self._hosts_at = time.monotonic()

  def _step_reports(self) -> float:
    # Engines are distributed evenly among the entries, and the interval depends
    # on the number of engines to poll. So other entries send reports at about
    # the same interval as this one. An engine assigned to another entry is
    # polled only after two such intervals without a report.
    silence_s = max(self._intervals.silence_s, 2 * self._reports_interval_s)
    reports = self._poller.poll_loads(silence_s, self._intervals.reports_s)
    if not reports:
      return self._intervals.reports_s
    self._handle_reports(reports)
    sent_bytes = self._send_to_zone(
        KIND_REPORTS, msgspec.msgpack.encode(reports)
    )
    self._reports_interval_s = max(
        self._intervals.reports_s,
        sent_bytes / MAX_REPORTS_BYTES_PER_S,
        len(reports) / MAX_POLLS_PER_S,
    )
    return self._reports_interval_s

  def _handle_reports(self, reports: tuple[records.EngineReport, ...]) -> None:
    self._poller.record_reports(reports)
    for report in reports:
      self._publish(messages.ReportSeen(report))

  def _step_cache(self) -> float:
    events = self._poller.poll_caches(self._intervals.cache_s)
    for seen in events:
      self._publish(seen)
    sent_bytes = 0
    if events:
      sent_bytes = self._send_to_zone(
          KIND_CACHE, msgspec.msgpack.encode(events)
      )
    return max(
        self._intervals.cache_s,
        sent_bytes / MAX_CACHE_BYTES_PER_S,
        self._poller.own_engine_count / MAX_POLLS_PER_S,
    )

  def _step_load(self) -> float:
    own = self._read_own_load()
    self._demand_body = msgspec.msgpack.encode(own.demand_by_model)
    body = msgspec.msgpack.encode(own.seen)
    others = self._list_entries('')
    for peer in others:
      self._peers.send(peer.peer_address, KIND_LOAD, body)
    sent_bytes = len(others) * (len(body) + MESSAGE_OVERHEAD_BYTES)
    wait_s = min(sent_bytes / MAX_LOAD_BYTES_PER_S, MAX_LOAD_INTERVAL_S)
    return max(self._intervals.load_s, wait_s)

  def _zone_names(self) -> list[str]:
    names = [host.name for host in self._list_entries(self._own_zone)]
    return [*names, self._own_name]

  def _list_entries(self, zone: str) -> list[records.Host]:
    """Lists the other live entries of a zone; of all zones if it is empty."""
    return [
        host
        for host in self._hosts
        if host.kind == records.HOST_ENTRY
        and host.state == records.STATE_LIVE
        and host.name != self._own_name
        and (not zone or host.zone == zone)
    ]


def digest_hosts(hosts: tuple[records.Host, ...]) -> bytes:
  """Returns a digest of a list of hosts, to compare lists between entries."""
  return xxhash.xxh3_64_digest(msgspec.msgpack.encode(hosts))
