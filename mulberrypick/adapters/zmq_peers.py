"""Messages between entry hosts over ZeroMQ.

One thread owns all sockets: a ROUTER that listens, and a DEALER for each peer
to which messages are sent. ZeroMQ sockets must not be shared between threads,
so senders put messages into a bounded queue and wake the thread with a byte on
a socket pair. All queues are bounded and all messages expire: a DEALER accepts
messages only while it is connected (`IMMEDIATE`), messages that wait for a
connection are kept here with a deadline, and a request that has timed out is
never sent late.

TCP detects broken connections: a connection ends if data is not acknowledged
in time, and keepalive ends dead idle connections. ZeroMQ heartbeats are not
used: one per second on each connection costs far more than the messages.
"""

import collections
import itertools
import logging
import queue
import socket
import threading
import time
from typing import NamedTuple

import zmq

from mulberrypick.adapters import logs
from mulberrypick.adapters import peer_counts
from mulberrypick.adapters import peer_keys
from mulberrypick.adapters import peers

_logger = logging.getLogger(__name__)

HIGH_WATER_MARK = 256
MAX_POSTED_MESSAGES = 4096
MAX_MESSAGE_BYTES = 4_000_000
SEND_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 60.0
MAX_RETRANSMIT_MS = 3000
KEEPALIVE_IDLE_S = 60
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3
RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
POLL_TIMEOUT_MS = 100
NO_REPLY_ID = b''


class _OutgoingMessage(NamedTuple):
  """A message in the queue to the thread that owns the sockets."""

  address: str
  kind: str
  body: bytes
  expires_at: float
  replies: queue.SimpleQueue | None


class _Dealer:
  """The socket to a peer, and messages waiting for its connection."""

  def __init__(self, zmq_socket: zmq.Socket, now: float):
    self.socket = zmq_socket
    self.pending = collections.deque()
    self.last_used_at = now
    self.last_sent_at = now


class ZmqPeers(peers.Peers):
  """Implementation of `Peers` on ROUTER and DEALER sockets."""

  def __init__(
      self,
      listen_address: str,
      own_name: str,
      source_ip: str = '',
      high_water_mark: int = HIGH_WATER_MARK,
      keys: peer_keys.PeerKeys | None = None,
  ):
    """Creates the object; `start` binds the socket.

    Args:
      listen_address: `ip:port` to listen on; port 0 lets the system choose.
      own_name: Name of this host, sent with every message.
      source_ip: Local IP of outgoing connections, empty for any.
      high_water_mark: Maximum number of messages that each socket queues in
        each direction.
      keys: Key pair of the deployment; None for unencrypted connections.
    """
    self.address = listen_address
    self._own_name = own_name.encode()
    self._source_ip = source_ip
    self._high_water_mark = high_water_mark
    self._keys = keys
    self._authenticator = None
    self._handler_by_kind = {}
    self._outgoing = queue.Queue(MAX_POSTED_MESSAGES)
    self._context = zmq.Context()
    self._router = None
    self._dealer_by_address = {}
    self._replies_by_id = {}
    self._ids = itertools.count(1)
    self._is_stopping = False
    self._thread = threading.Thread(target=self._run, name='peers', daemon=True)
    self._wake_reader, self._wake_writer = socket.socketpair()
    self._wake_reader.setblocking(False)
    self._wake_writer.setblocking(False)
    self._sent_bytes = 0
    self._received_bytes = 0
    self._sent_by_kind = collections.Counter()
    self._dropped = 0

  def start(self) -> None:
    """Binds the listener, sets `address`, and starts the thread.

    Raises:
      zmq.ZMQError: The address can't be bound.
    """
    self._router = self._make_socket(zmq.ROUTER)
    if self._keys is not None:
      self._authenticator = peer_keys.PeerAuthenticator(
          self._context, self._keys
      )
      peer_keys.configure_curve_server(self._router, self._keys)
    self._router.bind(f'tcp://{self.address}')
    endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
    self.address = endpoint.removeprefix('tcp://')
    self._thread.start()

  def stop(self) -> None:
    """Closes all sockets; pending requests get no reply."""
    self._is_stopping = True
    self._wake()
    if self._thread.ident is not None:
      self._thread.join()
    self._context.destroy(linger=0)
    self._wake_reader.close()
    self._wake_writer.close()

  def register_handler(self, kind: str, handler: peers.Handler) -> None:
    """See `Peers.register_handler`."""
    self._handler_by_kind[kind] = handler

  def send(self, peer_address: str, kind: str, body: bytes) -> None:
    """See `Peers.send`."""
    expires_at = time.monotonic() + SEND_TIMEOUT_S
    self._enqueue(_OutgoingMessage(peer_address, kind, body, expires_at, None))

  def request(
      self, peer_address: str, kind: str, body: bytes, timeout_s: float
  ) -> bytes | None:
    """See `Peers.request`; must not be called from a handler."""
    if threading.current_thread() is self._thread:
      raise RuntimeError('request() called from a handler would deadlock')
    replies = queue.SimpleQueue()
    expires_at = time.monotonic() + timeout_s
    if not self._enqueue(
        _OutgoingMessage(peer_address, kind, body, expires_at, replies)
    ):
      return None
    try:
      return replies.get(timeout=timeout_s)
    except queue.Empty:
      return None

  def counts(self) -> peer_counts.PeerCounts:
    """Returns the traffic counters; may be called from any thread."""
    return peer_counts.PeerCounts(
        self._sent_bytes,
        self._received_bytes,
        dict(self._sent_by_kind),
        self._dropped,
        self._authenticator.refused if self._authenticator else 0,
    )

  def _enqueue(self, message: _OutgoingMessage) -> bool:
    if self._is_stopping:
      return False
    try:
      self._outgoing.put_nowait(message)
    except queue.Full:
      self._dropped += 1
      return False
    self._wake()
    return True

  def _wake(self) -> None:
    try:
      self._wake_writer.send(b'w')
    except OSError:
      # Either the socket's buffer is full, so the thread will be woken by the
      # bytes that are already in it, or the socket is closed, so the thread has
      # stopped and needs no wake-up.
      pass

  def _make_socket(self, kind: int) -> zmq.Socket:
    zmq_socket = self._context.socket(kind)
    zmq_socket.setsockopt(zmq.LINGER, 0)
    zmq_socket.setsockopt(zmq.SNDHWM, self._high_water_mark)
    zmq_socket.setsockopt(zmq.RCVHWM, self._high_water_mark)
    zmq_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    zmq_socket.setsockopt(zmq.TCP_MAXRT, MAX_RETRANSMIT_MS)
    zmq_socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    zmq_socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    zmq_socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    zmq_socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
    zmq_socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    zmq_socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    zmq_socket.setsockopt(zmq.IMMEDIATE, 1)
    return zmq_socket

  def _run(self) -> None:
    self._poller = zmq.Poller()
    self._poller.register(self._router, zmq.POLLIN)
    self._poller.register(self._wake_reader, zmq.POLLIN)
    if self._authenticator is not None:
      self._poller.register(self._authenticator.socket, zmq.POLLIN)
    while not self._is_stopping:
      self._poll_once()
    for replies in [a for a, _ in self._replies_by_id.values()]:
      replies.put(None)

  def _poll_once(self) -> None:
    ready = dict(self._poller.poll(POLL_TIMEOUT_MS))
    now = time.monotonic()
    if self._wake_reader.fileno() in ready:
      self._drain_wake_ups()
    if self._authenticator is not None:
      self._authenticator.handle_handshakes(self._high_water_mark)
    self._assign_outgoing(now)
    if self._router in ready:
      self._receive_requests()
    for address, dealer in list(self._dealer_by_address.items()):
      self._receive_replies(dealer)
      if self._send_pending(dealer, now):
        self._reconnect_if_stalled(address, dealer, now)
      if not dealer.pending and now - dealer.last_used_at > IDLE_TIMEOUT_S:
        self._close_dealer(address)
    self._drop_expired(now)

  def _drain_wake_ups(self) -> None:
    try:
      self._wake_reader.recv(4096)
    except BlockingIOError:
      pass

  def _assign_outgoing(self, now: float) -> None:
    for _ in range(MAX_POSTED_MESSAGES):
      try:
        message = self._outgoing.get_nowait()
      except queue.Empty:
        return
      dealer = self._get_dealer(message.address, now)
      if len(dealer.pending) >= self._high_water_mark:
        self._dropped += 1
        continue
      dealer.pending.append(message)

  def _get_dealer(self, address: str, now: float) -> _Dealer:
    dealer = self._dealer_by_address.get(address)
    if dealer is None:
      dealer = _Dealer(self._connect(address), now)
      self._dealer_by_address[address] = dealer
    dealer.last_used_at = now
    return dealer

  def _connect(self, address: str) -> zmq.Socket:
    zmq_socket = self._make_socket(zmq.DEALER)
    if self._keys is not None:
      peer_keys.configure_curve_client(zmq_socket, self._keys)
    source = f'{self._source_ip}:0;' if self._source_ip else ''
    zmq_socket.connect(f'tcp://{source}{address}')
    self._poller.register(zmq_socket, zmq.POLLIN)
    return zmq_socket

  def _reconnect_if_stalled(
      self, address: str, dealer: _Dealer, now: float
  ) -> None:
    """Reconnects if nothing could be sent for some time.

    ZeroMQ never retries a refused handshake. Without this, a peer that used
    another key for a while would stay unreachable.
    """
    if (
        self._keys is None
        or now - dealer.last_sent_at < MAX_RETRANSMIT_MS / 1000
    ):
      return
    self._poller.unregister(dealer.socket)
    dealer.socket.close()
    dealer.socket = self._connect(address)
    dealer.last_sent_at = now

  def _close_dealer(self, address: str) -> None:
    dealer = self._dealer_by_address.pop(address)
    self._poller.unregister(dealer.socket)
    dealer.socket.close()

  def _send_pending(self, dealer: _Dealer, now: float) -> bool:
    """Sends pending messages; returns whether any of them expired."""
    has_expired = False
    while dealer.pending:
      message = dealer.pending[0]
      if message.expires_at <= now:
        dealer.pending.popleft()
        self._dropped += 1
        has_expired = True
        continue
      if not self._send(dealer.socket, message):
        break
      dealer.pending.popleft()
      dealer.last_sent_at = now
    # POLLOUT is polled only while messages are pending: the socket is nearly
    # always writable, and polling would be a busy loop.
    events = zmq.POLLIN | (zmq.POLLOUT if dealer.pending else 0)
    self._poller.modify(dealer.socket, events)
    return has_expired

  def _send(self, zmq_socket: zmq.Socket, message: _OutgoingMessage) -> bool:
    request_id = NO_REPLY_ID
    if message.replies is not None:
      request_id = next(self._ids).to_bytes(8, 'big')
    frames = [message.kind.encode(), request_id, self._own_name, message.body]
    try:
      zmq_socket.send_multipart(frames, zmq.NOBLOCK)
    except zmq.Again:
      return False
    if message.replies is not None:
      self._replies_by_id[request_id] = (message.replies, message.expires_at)
    self._sent_bytes += sum(map(len, frames))
    self._sent_by_kind[message.kind] += 1
    return True

  def _receive_requests(self) -> None:
    for _ in range(self._high_water_mark):
      try:
        frames = self._router.recv_multipart(zmq.NOBLOCK)
      except zmq.Again:
        return
      self._received_bytes += sum(map(len, frames[1:]))
      if len(frames) != 5:
        logs.log_event(
            _logger, logging.WARNING, 'peer_malformed', frames=len(frames)
        )
        continue
      self._handle_request(*frames)

  def _handle_request(
      self,
      peer: bytes,
      kind: bytes,
      request_id: bytes,
      name: bytes,
      body: bytes,
  ) -> None:
    handler = self._handler_by_kind.get(kind.decode('ascii', 'replace'))
    if handler is None:
      return
    try:
      reply = handler(name.decode('utf-8', 'replace'), body)
    except Exception:  # A bad message must not end the thread.
      _logger.exception({'event': 'handler_failed', 'kind': kind.decode()})
      return
    if reply is None or request_id == NO_REPLY_ID:
      return
    try:
      self._router.send_multipart([peer, request_id, reply], zmq.NOBLOCK)
    except zmq.ZMQError:
      self._dropped += 1
      return
    self._sent_bytes += len(request_id) + len(reply)

  def _receive_replies(self, dealer: _Dealer) -> None:
    for _ in range(self._high_water_mark):
      try:
        frames = dealer.socket.recv_multipart(zmq.NOBLOCK)
      except zmq.Again:
        return
      self._received_bytes += sum(map(len, frames))
      if len(frames) != 2:
        continue
      replies, _expires_at = self._replies_by_id.pop(frames[0], (None, 0.0))
      if replies is not None:
        replies.put(frames[1])

  def _drop_expired(self, now: float) -> None:
    expired = [
        request_id
        for request_id, (_, expires_at) in self._replies_by_id.items()
        if expires_at <= now
    ]
    for request_id in expired:
      del self._replies_by_id[request_id]
