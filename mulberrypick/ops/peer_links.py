"""Sockets between the gateways of all hosts, over ZeroMQ."""

import asyncio
import logging
from collections.abc import Iterable

import zmq
import zmq.asyncio

from mulberrypick.adapters import logs

_log = logging.getLogger(__name__)
# Messages that wait for a host; more are dropped, newer ones follow anyway.
MAX_QUEUED_SENDS = 20
# Messages of all hosts that wait here.
MAX_QUEUED_RECEIVES = 1000
# Probes on links between hosts (ms): a link that went silent is opened anew.
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
# Pause before a broken link is opened again, doubled up to the most (ms).
MIN_RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
CONNECT_TIMEOUT_MS = 1000
# A link that was not needed for this long is closed (s).
UNUSED_LINK_TIMEOUT_S = 5.0


class _Link:

  def __init__(self, socket: zmq.asyncio.Socket, now: float):
    self.socket = socket
    self.opened_at = now
    self.used_at = now
    self.is_behind = False


class PeerLinks:
  """Owns the sockets: one that listens, and one to each host that is told."""

  def __init__(self, address: str):
    self._address = address
    self._context = zmq.asyncio.Context()
    self._link_by_address: dict[str, _Link] = {}

  def listen(self) -> zmq.asyncio.Socket:
    """Opens the socket on which all hosts are heard."""
    listener = self._context.socket(zmq.ROUTER)
    _set_options(listener)
    listener.bind(f'tcp://{self._address}')
    return listener

  def send(self, address: str, message: bytes) -> None:
    """Sends at once or not at all: newer messages follow anyway."""
    now = asyncio.get_running_loop().time()
    link = self._link_by_address.get(address)
    if link is None:
      link = self._open(address, now)
    link.used_at = now
    try:
      # A raw send: that of the event loop's socket would wait.
      zmq.Socket.send(link.socket, message, zmq.NOBLOCK)
    except zmq.Again:
      if not link.is_behind:
        link.is_behind = True
        logs.log_event(_log, logging.WARNING, 'peer_behind', peer=address)
      return
    link.is_behind = False

  def opened_at(self, address: str) -> float | None:
    """Returns when the link to a host was opened, None without one."""
    link = self._link_by_address.get(address)
    return None if link is None else link.opened_at

  def close_unused(self, needed: Iterable[str], now: float) -> None:
    """Closes links that nobody needed for a while."""
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

  def _open(self, address: str, now: float) -> _Link:
    socket = self._context.socket(zmq.DEALER)
    _set_options(socket)
    socket.connect(f'tcp://{address}')
    link = _Link(socket, now)
    self._link_by_address[address] = link
    return link


def _set_options(socket: zmq.asyncio.Socket) -> None:
  socket.setsockopt(zmq.LINGER, 0)
  socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_SENDS)
  socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_RECEIVES)
  socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
  socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
  socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
  socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
  socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
