"""Pool of keep-alive connections to endpoints."""

import asyncio
from collections.abc import Callable

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import gateway_records

# Connections within a zone or region open within a few milliseconds. A lost SYN
# is retransmitted after about a second, which is too late to wait for.
CONNECT_TIMEOUT_S = 0.35
# A connection that takes longer to be opened is a sign that links are cut.
SLOW_CONNECT_S = 0.1
# Maximum idle time if the endpoint doesn't announce a keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 2.0
# Subtracted from the keep-alive timeout that the endpoint announces, so that
# the endpoint does not close the connection while a request is sent.
KEEP_ALIVE_MARGIN_S = 0.6
# Maximum idle time of a connection for a request that must not be repeated.
MAX_FRESH_IDLE_S = 0.8
# Maximum number of idle connections per endpoint; the oldest is closed first.
MAX_IDLE_CONNECTIONS = 24


class EndpointPool:
  """Idle connections by endpoint; a restarted endpoint counts as a new one.

  Attributes:
    connect: Opens a connection, given IP address, port and time limit.
    on_opened: Called when a connection was opened.
    on_slow: Called when a connection takes long to be opened.
    on_failed: Called with the endpoint when none could be opened.
    opened_count: Number of connections opened so far.
  """

  def __init__(self):
    self.connect = stream_client.connect
    self.on_opened: Callable[[], None] = lambda: None
    self.on_slow: Callable[[], None] = lambda: None
    self.on_failed: Callable[[gateway_records.Endpoint], None] = lambda _: None
    self._idle: dict[tuple[str, int], list[stream_client.ClientConnection]] = {}
    self.opened_count = 0

  async def acquire(
      self,
      endpoint: gateway_records.Endpoint,
      must_be_fresh: bool,
      request_id: str = '',
  ) -> stream_client.ClientConnection:
    """Returns an idle connection, or a new one if none is usable.

    Args:
      endpoint: Endpoint to connect to.
      must_be_fresh: Whether an idle connection must have been used recently.
      request_id: Id of the request; a connection that has carried it already
        is left to others.

    Raises:
      ConnectError: No connection could be opened; nothing was sent.
    """
    now = asyncio.get_running_loop().time()
    idle = self._idle.get(endpoint.incarnation, [])
    for connection in reversed(list(idle)):
      if _is_usable(connection, must_be_fresh, now):
        if request_id and connection.has_carried(request_id):
          continue
        idle.remove(connection)
        connection.on_lost = None
        return connection
      idle.remove(connection)
      connection.close()
    return await self.open(endpoint, CONNECT_TIMEOUT_S)

  async def open(
      self, endpoint: gateway_records.Endpoint, timeout_s: float
  ) -> stream_client.ClientConnection:
    """Returns a new connection.

    Raises:
      ConnectError: It could not be opened within the time limit.
    """
    self.opened_count += 1
    loop = asyncio.get_running_loop()
    slow = loop.call_later(SLOW_CONNECT_S, lambda: self.on_slow())
    try:
      connection = await self.connect(endpoint.ip, endpoint.port, timeout_s)
    except errors.ConnectError:
      self.on_failed(endpoint)
      raise
    finally:
      slow.cancel()
    self.on_opened()
    return connection

  def release(
      self,
      endpoint: gateway_records.Endpoint,
      connection: stream_client.ClientConnection,
  ) -> None:
    """Keeps a connection after a complete response if it can be reused."""
    if not connection.is_open:
      connection.close()
      return
    idle = self._idle.setdefault(endpoint.incarnation, [])
    idle.append(connection)
    connection.on_lost = lambda lost: _discard(idle, lost)
    if len(idle) > MAX_IDLE_CONNECTIONS:
      idle.pop(0).close()

  def drop(self, name: str) -> None:
    """Closes the idle connections to an endpoint that is not used any more."""
    for incarnation in list(self._idle):
      if incarnation[0] != name:
        continue
      for connection in self._idle.pop(incarnation):
        connection.close()

  def close_expired(self) -> None:
    """Closes idle connections before their endpoints close them."""
    now = asyncio.get_running_loop().time()
    for idle in self._idle.values():
      for connection in list(idle):
        if not _is_usable(connection, False, now):
          _discard(idle, connection)
          connection.close()


def _is_usable(
    connection: stream_client.ClientConnection, must_be_fresh: bool, now: float
) -> bool:
  if not connection.is_open:
    return False
  idle_s = now - connection.idle_since
  if must_be_fresh and idle_s > MAX_FRESH_IDLE_S:
    return False
  keep_alive_s = connection.keep_alive_s
  if keep_alive_s is None:
    return idle_s < DEFAULT_KEEP_ALIVE_S
  return idle_s < keep_alive_s - KEEP_ALIVE_MARGIN_S


def _discard(
    idle: list[stream_client.ClientConnection],
    connection: stream_client.ClientConnection,
) -> None:
  if connection in idle:
    idle.remove(connection)
