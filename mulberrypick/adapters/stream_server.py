"""HTTP/1.1 server for callers, based on asyncio."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import tcp_options


class StreamServer:
  """HTTP server on one port.

  Attributes:
    connections: All open connections.
    is_leaving: Whether responses carry `Connection: close`, so that callers
      reconnect to another host.
    limits: Limits for requests.
    user_timeout_s: Time after which the kernel drops a connection whose caller
      acknowledges nothing, or has no room for what is written; None for the
      kernel's own. It holds for connections that are opened from now on.
    unread_timeout_s: Time after which a response is given up whose caller
      acknowledges no byte. The kernel of one that reads slowly may tell nothing
      until much of its buffer is free.
    handle: Handles one request.
    on_refused: Called with the status and the IP address of the caller when a
      request is refused before it is complete.
    on_undelivered: Called with the id of a request, the number of unsent bytes
      and the reason when a connection ends before its response is sent.
  """

  def __init__(
      self,
      handle: Callable[
          [
              received_request.ReceivedRequest,
              server_connection.ServerConnection,
          ],
          Awaitable[None],
      ],
      on_refused: Callable[[int, str], None],
  ):
    self.connections: set[server_connection.ServerConnection] = set()
    self.is_leaving = False
    self.limits = received_request.Limits()
    self.user_timeout_s: float | None = tcp_options.USER_TIMEOUT_S
    self.unread_timeout_s = self.limits.idle_timeout_s
    self.handle = handle
    self.on_refused = on_refused
    self.on_undelivered: Callable[[str, int, str], None] = lambda *_: None
    self._listener: asyncio.Server | None = None

  async def listen(self, host: str, port: int) -> None:
    """Opens the port and starts to accept connections."""
    loop = asyncio.get_running_loop()
    self._listener = await loop.create_server(
        lambda: server_connection.ServerConnection(self),
        host,
        port,
        backlog=512,
    )

  def report_undelivered(self, reason: str) -> None:
    """Reports the connections whose responses are not sent yet.

    Args:
      reason: Why they are not going to be sent.
    """
    for connection in list(self.connections):
      connection.report_undelivered(reason)

  def stop_listening(self) -> None:
    """Closes the port; open connections continue."""
    if self._listener is not None:
      self._listener.close()
      self._listener = None

  def close_idle(self) -> int:
    """Closes the idle connections.

    Returns:
      The number of connections that still have a request, or a response that
      its caller may not have read.
    """
    busy = 0
    for connection in list(self.connections):
      if connection.is_idle and not connection.has_unsent:
        connection.close_unused()
        busy += connection.is_lingering
        continue
      busy += 1
    return busy
