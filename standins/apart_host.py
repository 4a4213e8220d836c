"""Cuts a gateway of this process off from all endpoints, and heals the cut.

Callers, the store and other gateways still reach it.
"""

import asyncio
import enum
import weakref

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors


class CutMode(enum.Enum):
  """What happens to connections to endpoints.

  REFUSED: Open ones are reset, new ones are refused.
  HANGING: Nothing arrives any more; new ones time out.
  OLD_ALIVE: Open ones live on, new ones are refused.
  """

  REFUSED = 'refused'
  HANGING = 'hanging'
  OLD_ALIVE = 'old_alive'


class ApartHost:
  """The connections of one gateway to endpoints."""

  def __init__(self, gateway):
    self._mode: CutMode | None = None
    self._hung: list[stream_client.ClientConnection] = []
    self._opened: weakref.WeakSet[stream_client.ClientConnection] = (
        weakref.WeakSet()
    )
    self._usual_connect = gateway.state.pool.connect
    gateway.state.pool.connect = self._connect

  def cut(self, mode: CutMode) -> None:
    """Cuts the gateway off."""
    self._mode = mode
    if mode is CutMode.OLD_ALIVE:
      return
    for connection in list(self._opened):
      if mode is CutMode.REFUSED:
        connection.abort()
        continue
      if connection._transport.is_closing():
        continue
      connection._transport.pause_reading()
      connection._transport.write = lambda data: None
      self._hung.append(connection)

  def heal(self) -> None:
    """Ends the cut; connections on which nothing arrived are reset."""
    self._mode = None
    for connection in self._hung:
      connection.abort()
    self._hung.clear()

  async def _connect(
      self, ip: str, port: int, timeout_s: float
  ) -> stream_client.ClientConnection:
    if self._mode is CutMode.HANGING:
      await asyncio.sleep(timeout_s)
      raise errors.ConnectError(f'{ip}:{port}', 'timed out')
    if self._mode is not None:
      raise errors.ConnectError(f'{ip}:{port}', 'refused')
    connection = await self._usual_connect(ip, port, timeout_s)
    self._opened.add(connection)
    return connection
