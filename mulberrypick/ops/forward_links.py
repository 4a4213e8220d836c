"""Connections to other hosts, by which requests are passed on."""

import asyncio

from mulberrypick.adapters import stream_client

CONNECT_TIMEOUT_S = 0.25
# Longest idle time of a connection before it is closed, and that of one for a
# request that must not be repeated.
MAX_IDLE_S = 5.0
MAX_FRESH_IDLE_S = 0.8
MAX_IDLE_CONNECTIONS = 16


class ForwardLinks:
  """Idle connections to other hosts, by address."""

  def __init__(self):
    self._idle: dict[tuple[str, int], list[stream_client.ClientConnection]] = {}

  async def acquire(
      self, ip: str, port: int, must_be_fresh: bool
  ) -> stream_client.ClientConnection:
    """Returns an idle connection, or a new one.

    Raises:
      ConnectError: No connection could be opened.
    """
    limit_s = MAX_FRESH_IDLE_S if must_be_fresh else MAX_IDLE_S
    now = asyncio.get_running_loop().time()
    idle = self._idle.get((ip, port), [])
    while idle:
      connection = idle.pop()
      if connection.is_open and now - connection.idle_since < limit_s:
        return connection
      connection.close()
    return await stream_client.connect(ip, port, CONNECT_TIMEOUT_S)

  def release(
      self, ip: str, port: int, connection: stream_client.ClientConnection
  ) -> None:
    """Keeps a connection after a complete response if it can be reused."""
    idle = self._idle.setdefault((ip, port), [])
    if not connection.is_open or len(idle) >= MAX_IDLE_CONNECTIONS:
      connection.close()
      return
    idle.append(connection)

  def close_expired(self) -> None:
    """Closes connections that were idle for long."""
    now = asyncio.get_running_loop().time()
    for address, idle in list(self._idle.items()):
      for connection in list(idle):
        if connection.is_open and now - connection.idle_since < MAX_IDLE_S:
          continue
        idle.remove(connection)
        connection.close()
      if not idle:
        del self._idle[address]
