"""ZeroMQ sockets between the gateways of all hosts."""

import asyncio
import logging
from collections.abc import Iterable

import zmq
import zmq.asyncio

from mulberrypick.adapters import logs

_log = logging.getLogger(__name__)
# Maximum number of messages queued for one host. Further ones are dropped, as
# later messages replace them.
MAX_QUEUED_SENDS = 20
# Maximum number of received messages queued on this host.
MAX_QUEUED_RECEIVES = 1000
# Heartbeats on links between hosts. A link on which no reply arrives within the
# timeout is reopened. Both together stay below the 3 s within which hosts must
# reach each other again after their links went silent.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 2000
# Backoff before a broken link is reopened, doubled up to the maximum.
MIN_RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
CONNECT_TIMEOUT_MS = 1000
# A link that was not used for this long is closed.
UNUSED_LINK_TIMEOUT_S = 5.0
# Unusable addresses that are logged, and characters of each.
MAX_UNUSABLE_LOGGED = 20
MAX_LOGGED_ADDRESS = 60


class _Link:

  def __init__(self, socket: zmq.asyncio.Socket, now: float):
    self.socket = socket
    self.opened_at = now
    self.used_at = now
    self.is_behind = False


class PeerLinks:
  """Owns the listening socket, and one socket to each host it sends to."""

  def __init__(self, address: str):
    self._address = address
    self._context = zmq.asyncio.Context()
    self._link_by_address: dict[str, _Link] = {}
    # Addresses for which it was logged that they can't be used.
    self._unusable: set[str] = set()

  def listen(self) -> zmq.asyncio.Socket:
    """Opens the socket that receives messages of all hosts."""
    listener = self._context.socket(zmq.ROUTER)
    _set_options(listener)
    try:
      listener.bind(f'tcp://{self._address}')
    except zmq.ZMQError:
      listener.close(0)
      raise
    return listener

  def send(self, address: str, message: bytes) -> None:
    """Sends a message, or drops it if the queue to the host is full."""
    now = asyncio.get_running_loop().time()
    link = self._link_by_address.get(address)
    if link is None:
      link = self._open(address, now)
    if link is None:
      return
    link.used_at = now
    try:
      # The send of the base class, because that of the asyncio socket would
      # wait for space in the queue.
      zmq.Socket.send(link.socket, message, zmq.NOBLOCK)
    except zmq.Again:
      if not link.is_behind:
        link.is_behind = True
        logs.log_event(_log, logging.WARNING, 'peer_behind', peer=address)
      return
    link.is_behind = False

  def opened_at(self, address: str) -> float | None:
    """Returns when the link to a host was opened, None if there is none."""
    link = self._link_by_address.get(address)
    return None if link is None else link.opened_at

  def close_unused(self, needed: Iterable[str], now: float) -> None:
    """Closes links that are not needed and were not used for a while."""
    kept = set(needed)
    for address, link in list(self._link_by_address.items()):
      if address in kept or now - link.used_at < UNUSED_LINK_TIMEOUT_S:
        continue
      self.drop(address)

  def drop(self, address: str) -> None:
    """Closes the link to a host."""
    link = self._link_by_address.pop(address, None)
    if link is not None:
      link.socket.close(0)

  def close(self) -> None:
    """Closes all sockets at once."""
    self._context.destroy(0)

  def _open(self, address: str, now: float) -> _Link | None:
    """Opens a link; returns None if there is no such address."""
    socket = self._context.socket(zmq.DEALER)
    _set_options(socket)
    try:
      socket.connect(f'tcp://{address}')
    except (zmq.ZMQError, ValueError) as error:
      socket.close(0)
      self._log_unusable(address, error)
      return None
    link = _Link(socket, now)
    self._link_by_address[address] = link
    return link

  def _log_unusable(self, address: str, error: Exception) -> None:
    if address in self._unusable:
      return
    if len(self._unusable) >= MAX_UNUSABLE_LOGGED:
      return
    self._unusable.add(address)
    logs.log_event(
        _log,
        logging.WARNING,
        'peer_address_unusable',
        peer=repr(address[:MAX_LOGGED_ADDRESS]),
        error=repr(error),
    )


def _set_options(socket: zmq.asyncio.Socket) -> None:
  socket.setsockopt(zmq.LINGER, 0)
  socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_SENDS)
  socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_RECEIVES)
  socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
  socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
  socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
  socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
  socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
