"""A TCP relay that injects network faults between two processes.

A test gives one process the address of the relay instead of the address of the
other process. The relay can close connections, forward bytes late, or hold them
without closing, as a link that loses packets does. A fault applies to open and
to new connections until `heal()`.
"""

import logging
import socket
import threading
import time

BACKLOG = 256
READ_BYTES = 65_536
POLL_INTERVAL_S = 0.01
CONNECT_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


class Relay:
  """Forwards TCP connections to a target address. Thread-safe.

  Attributes:
    address: `ip:port` that it listens on.
    connections: Number of connections accepted since the start.
  """

  def __init__(self, target: str, listen_ip: str = '127.0.0.1'):
    """Starts forwarding.

    Args:
      target: `ip:port` to forward to.
      listen_ip: IP to listen on, at a free port.
    """
    self.connections = 0
    self._target = target
    self._listen_ip = listen_ip
    self._delay_s = 0.0
    self._is_holding_all = False
    self._is_holding_answers = False
    self._is_refusing = False
    self._is_closed = False
    self._lock = threading.Lock()
    self._sockets: set[socket.socket] = set()
    self._silenced: set[socket.socket] = set()
    self._listener = socket.create_server((listen_ip, 0), backlog=BACKLOG)
    host, port = self._listener.getsockname()
    self.address = f'{host}:{port}'
    threading.Thread(target=self._accept, daemon=True).start()

  def __enter__(self) -> 'Relay':
    return self

  def __exit__(self, *error) -> None:
    self.close()

  def cut(self) -> None:
    """Closes all connections, and new ones as soon as they are accepted."""
    self._is_refusing = True
    self.break_connections()

  def hold(self) -> None:
    """Holds all bytes in both directions, without closing connections."""
    self._is_holding_all = True

  def hold_back(self) -> None:
    """Holds the bytes from the target; forwards those from the client."""
    self._is_holding_answers = True

  def heal(self) -> None:
    """Ends all faults; bytes that were held are forwarded."""
    self._is_refusing = False
    self._is_holding_all = False
    self._is_holding_answers = False
    self._delay_s = 0.0

  def delay(self, delay_s: float) -> None:
    """Delays each chunk of received bytes by `delay_s`."""
    self._delay_s = delay_s

  def break_connections(self) -> None:
    """Closes the open connections; new ones are not affected."""
    with self._lock:
      sockets = list(self._sockets)
    for end_socket in sockets:
      _shut_down(end_socket)

  def silence_connections(self) -> int:
    """Lets the open connections go silent for good; new ones work.

    Returns:
      The number of their ends.
    """
    with self._lock:
      self._silenced |= self._sockets
      return len(self._silenced)

  def close(self) -> None:
    """Stops the relay and closes its connections."""
    self._is_closed = True
    _shut_down(self._listener)
    self._listener.close()
    self.break_connections()

  def _accept(self) -> None:
    while not self._is_closed:
      try:
        client_socket, _ = self._listener.accept()
      except OSError:
        return
      self.connections += 1
      if self._is_refusing:
        client_socket.close()
        continue
      threading.Thread(
          target=self._connect_and_forward, args=(client_socket,), daemon=True
      ).start()

  def _connect_and_forward(self, client_socket: socket.socket) -> None:
    """Connects to the target and forwards both ways until either end closes."""
    self._wait_while_held()
    host, _, port = self._target.rpartition(':')
    try:
      target_socket = socket.create_connection(
          (host, int(port)), CONNECT_TIMEOUT_S
      )
    except OSError as error:
      log.info({'event': 'relay_target_away', 'error': error})
      client_socket.close()
      return
    target_socket.settimeout(None)
    with self._lock:
      self._sockets.update((client_socket, target_socket))
    back = threading.Thread(
        target=self._pump,
        args=(target_socket, client_socket, True),
        daemon=True,
    )
    back.start()
    self._pump(client_socket, target_socket, False)
    back.join()
    with self._lock:
      self._sockets.difference_update((client_socket, target_socket))
    client_socket.close()
    target_socket.close()

  def _pump(
      self, source: socket.socket, sink: socket.socket, is_answer: bool
  ) -> None:
    """Forwards one direction until either end closes."""
    while True:
      try:
        data = source.recv(READ_BYTES)
        self._wait_while_held(is_answer)
        if not data:
          break
        if source in self._silenced:
          continue
        time.sleep(self._delay_s)
        sink.sendall(data)
      except OSError:
        break
    _shut_down(source)
    _shut_down(sink)

  def _wait_while_held(self, is_answer: bool = False) -> None:
    while not self._is_closed:
      if not self._is_holding_all and not (
          is_answer and self._is_holding_answers
      ):
        return
      time.sleep(POLL_INTERVAL_S)


def _shut_down(end_socket: socket.socket) -> None:
  try:
    end_socket.shutdown(socket.SHUT_RDWR)
  except OSError:
    return
