"""The task that keeps the configuration of an entry host up to date.

It has two threads. The main thread owns the generations held by this host
(`core/config_store.py`): it processes messages from the watch thread and from
peers, adopts generations, publishes them and announces them to peers. The watch
thread makes the calls to the platform, which may block for seconds. Messages
reach the main thread through one bounded queue.

Generations spread by gossip in two ways, each of which makes up for messages
that the other loses. A process that adopts a generation sends a message to a
few partners at once. Every second it also sends its generation to one of them;
a partner with a newer generation replies, and one with an older generation
fetches the newer one. Partners are few, random, and replaced one at a time, so
the number of connections stays small for any number of hosts. Parts are fetched
from the peer that announced the generation. Once one host has read a new
generation, it therefore spreads even if the platform becomes unavailable.
"""

import collections
import logging
import queue
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import logs
from mulberrypick.adapters import peers as peers_lib
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import config_election
from mulberrypick.core import config_parts
from mulberrypick.core import config_store
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import config_fetch
from mulberrypick.ops import config_watch

_logger = logging.getLogger(__name__)

KIND_GOSSIP = 'config.told'
KIND_HEAD = 'config.head'
GOSSIP_PARTNER_COUNT = 4
PARTNER_ROTATION_INTERVAL_S = 30.0
STARTUP_FAN_OUT = 8
DIGEST_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.1
STARTUP_GRACE_S = 0.5
STARTUP_QUERY_INTERVAL_S = 0.5
HEAD_TIMEOUT_S = 1.0
MAX_INBOX_MESSAGES = 1024
UNREADY_GENERATION = -1


class GossipMessage(NamedTuple):
  """The state that one process sends to another; a few dozen bytes.

  Attributes:
    address: Peer address of the sender.
    generation: The sender's generation in force, or `UNREADY_GENERATION` if it
      is not ready.
    is_watching: Whether the sender watches the platform successfully.
    wants_reply: Whether the receiver has to reply even if its generation is not
      newer.
  """

  address: str
  generation: int
  is_watching: bool
  wants_reply: bool


class ConfigCounts(NamedTuple):
  """Counts since the start of the process.

  Attributes:
    platform_calls: Number of calls to the platform by kind.
    adopted: Number of adopted generations.
    parts_fetched: Number of fetched parts.
    part_bytes: Total size of these parts.
    is_watching: Whether this host is elected to watch the platform.
  """

  platform_calls: dict[str, int]
  adopted: int
  parts_fetched: int
  part_bytes: int
  is_watching: bool


class ConfigTask:
  """Receives generations from the platform and peers, and publishes them."""

  def __init__(
      self,
      platform: platform_lib.Platform,
      peers: peers_lib.Peers,
      own_name: str,
      list_peer_addresses: Callable[[], list[str]],
      publish: Callable[[records.Config], None],
      list_zone_addresses: Callable[[], list[str]] | None = None,
      seed: int | str | None = None,
  ):
    """Registers its handlers with `peers`, which must not be started yet.

    Args:
      platform: The platform.
      peers: Exchanges messages with other entry hosts.
      own_name: Name of this process.
      list_peer_addresses: Returns the addresses of all known entry hosts;
        called from the task's threads.
      publish: Called on the task's thread, once for each newer generation.
      list_zone_addresses: Returns the addresses of the entry hosts in this
        zone; `list_peer_addresses` if None.
      seed: Seed of the random choice of peers; the name if None.
    """
    self._peers = peers
    self._own_address = ''
    self._list_peers = list_peer_addresses
    self._list_zone_peers = list_zone_addresses or list_peer_addresses
    self._publish = publish
    self._random = random.Random(own_name if seed is None else seed)
    self._inbox = queue.Queue(MAX_INBOX_MESSAGES)
    self._store = config_store.ConfigStore()
    self._election = config_election.WatcherElection('')
    self._watch = config_watch.ConfigWatch(
        platform, self._find_part, self._list_start_sources, self._post
    )
    self._stopping = threading.Event()
    self._thread = threading.Thread(
        target=self._run, name='config', daemon=True
    )
    self._is_ready = False
    self._first_event_at = None
    self._next_digest_at = 0.0
    self._next_rotation_at = 0.0
    self._partners = []
    self._next_beacon_at = 0.0
    self._adopted = 0
    self._fetch_counts = collections.Counter()
    peers.register_handler(KIND_GOSSIP, self._handle_gossip)
    peers.register_handler(KIND_HEAD, self._handle_head_request)
    peers.register_handler(config_fetch.KIND_PARTS, self._handle_parts_request)

  @property
  def is_ready(self) -> bool:
    """Whether the newest generation known to this host is in force."""
    return self._is_ready

  @property
  def generation(self) -> int:
    """The generation in force."""
    return self._store.generation

  @property
  def history(self) -> tuple[config_parts.Acceptance, ...]:
    """The acceptances of the latest generations, newest first."""
    return self._store.snapshot.tree.head.history

  def counts(self) -> ConfigCounts:
    """Returns the counts; may be called from any thread."""
    return ConfigCounts(
        dict(self._watch.calls),
        self._adopted,
        self._fetch_counts['parts'] + self._watch.fetched['parts'],
        self._fetch_counts['bytes'] + self._watch.fetched['bytes'],
        self._watch.is_elected,
    )

  def start(self) -> None:
    """Starts both threads; `peers` must be running."""
    self._own_address = self._peers.address
    self._election = config_election.WatcherElection(self._own_address)
    self._watch.start()
    self._thread.start()

  def stop(self) -> None:
    """Stops both threads without waiting for a running watch to end."""
    self._stopping.set()
    self._watch.stop()
    self._thread.join()

  def _log_event(self, event: str, **fields: object) -> None:
    fields['generation'] = self.generation
    logs.log_event(_logger, logging.INFO, event, **fields)

  # Message handlers. They run on the thread of `peers`; they read the current
  # generation or put messages into the inbox, and never block.

  def _handle_gossip(self, sender: str, body: bytes) -> None:
    try:
      self._post(msgspec.json.decode(body, type=GossipMessage))
    except msgspec.MsgspecError:
      self._log_event('config_malformed', peer=sender)

  def _handle_head_request(self, sender: str, body: bytes) -> bytes | None:
    if not self._is_ready:
      return None
    return config_parts.encode_head(self._store.snapshot.tree.head)

  def _handle_parts_request(self, sender: str, body: bytes) -> bytes | None:
    try:
      return config_fetch.encode_parts_reply(body, self._store.snapshot)
    except msgspec.MsgspecError:
      return None

  def _find_part(self, name: str) -> bytes | None:
    return self._store.find(name)

  def _list_start_sources(self) -> list[config_fetch.Source]:
    """Returns peers to fetch a generation from instead of the platform."""
    addresses = self._sample(self._list_zone_peers(), 2)
    return [config_fetch.make_peer_source(self._peers, a) for a in addresses]

  def _post(self, message: GossipMessage | config_watch.PlatformRead) -> None:
    try:
      self._inbox.put_nowait(message)
    except queue.Full:
      pass  # A later message or watch call repeats the information.

  # Methods of the main thread.

  def _run(self) -> None:
    while not self._stopping.is_set():
      try:
        message = self._inbox.get(timeout=TICK_INTERVAL_S)
      except queue.Empty:
        message = None
      now = time.monotonic()
      if isinstance(message, GossipMessage):
        self._process_gossip(message, now)
      elif isinstance(message, config_watch.PlatformRead):
        self._process_platform_read(message, now)
      self._update_readiness(now)
      self._run_timers(now)

  def _process_gossip(self, message: GossipMessage, now: float) -> None:
    if message.is_watching:
      self._election.record_beacon(message.address, now)
    is_behind = message.generation < self.generation
    if self._is_ready and (message.wants_reply or is_behind):
      self._send_gossip(message.address)
    if message.generation == UNREADY_GENERATION:
      return
    self._record_event('peer_told', message.generation, now)
    if message.generation > self.generation:
      self._fetch_from_peer(message.address)

  def _process_platform_read(
      self, read: config_watch.PlatformRead, now: float
  ) -> None:
    self._record_event('platform_read', read.head.generation, now)
    self._adopt(read.head, read.part_by_name)

  def _record_event(self, event: str, generation: int, now: float) -> None:
    self._store.record_generation(event, generation)
    if self._first_event_at is None:
      self._first_event_at = now

  def _update_readiness(self, now: float) -> None:
    """Marks this host as ready once peers had `STARTUP_GRACE_S` to reply.

    The host becomes ready only if it holds the newest generation that it knows.
    """
    if self._is_ready or self._first_event_at is None:
      return
    if now - self._first_event_at < STARTUP_GRACE_S:
      return
    self._is_ready = self._store.update_readiness()
    if self._is_ready:
      self._watch.skip_first_read()
      self._log_event('config_ready')

  def _fetch_from_peer(self, address: str) -> None:
    value = self._peers.request(address, KIND_HEAD, b'', HEAD_TIMEOUT_S)
    if value is None:
      return
    try:
      head = config_parts.decode_head(value)
    except errors.ConfigError as error:
      self._log_event('config_malformed', error=str(error))
      return
    if head.generation <= self.generation:
      return
    source = config_fetch.make_peer_source(self._peers, address)
    fetched = config_fetch.fetch_parts(head, self._store.find, [source])
    if fetched is None:
      return
    self._fetch_counts['parts'] += len(fetched)
    self._fetch_counts['bytes'] += sum(map(len, fetched.values()))
    self._adopt(head, fetched)

  def _adopt(
      self, head: config_parts.Head, part_by_name: dict[str, bytes]
  ) -> None:
    try:
      adopted = self._store.adopt(head, part_by_name)
    except errors.ConfigError as error:
      self._log_event('config_not_whole', error=str(error))
      return
    if adopted is None:
      return
    self._adopted += 1
    self._log_event('config_adopted')
    self._publish(adopted)
    for address in self._partners:
      self._send_gossip(address)

  def _run_timers(self, now: float) -> None:
    zone = set(self._list_zone_peers())
    self._watch.set_elected(
        self._election.is_elected(zone, now), self._election.position(zone)
    )
    if now >= self._next_digest_at:
      self._send_digests(now)
    if self._watch.is_watch_healthy and now >= self._next_beacon_at:
      interval_s = config_election.beacon_interval_s(len(zone))
      self._next_beacon_at = now + interval_s * self._random.uniform(0.9, 1.0)
      for address in zone - {self._own_address}:
        self._send_gossip(address)

  def _send_digests(self, now: float) -> None:
    self._choose_partners(now)
    if self._is_ready:
      interval_s, chosen = DIGEST_INTERVAL_S, self._sample(self._partners, 1)
    else:
      interval_s = STARTUP_QUERY_INTERVAL_S
      chosen = self._sample(self._list_peers(), STARTUP_FAN_OUT)
    self._next_digest_at = now + interval_s * self._random.uniform(0.8, 1.2)
    for address in chosen:
      self._send_gossip(address, wants_reply=not self._is_ready)

  def _choose_partners(self, now: float) -> None:
    """Updates the peers to which this host sends its generation regularly.

    Drops peers that are no longer known and, every
    `PARTNER_ROTATION_INTERVAL_S`, the oldest one; fills up at random.
    """
    known = set(self._list_peers()) - {self._own_address}
    kept = [address for address in self._partners if address in known]
    if now >= self._next_rotation_at:
      self._next_rotation_at = now + PARTNER_ROTATION_INTERVAL_S
      kept = kept[1:]
    wanted = GOSSIP_PARTNER_COUNT - len(kept)
    self._partners = kept + self._sample(list(known - set(kept)), wanted)

  def _send_gossip(self, address: str, wants_reply: bool = False) -> None:
    generation = self.generation if self._is_ready else UNREADY_GENERATION
    message = GossipMessage(
        self._own_address, generation, self._watch.is_watch_healthy, wants_reply
    )
    self._peers.send(address, KIND_GOSSIP, msgspec.json.encode(message))

  def _sample(self, addresses: list[str], count: int) -> list[str]:
    others = sorted(set(addresses) - {self._own_address})
    return self._random.sample(others, min(count, len(others)))
