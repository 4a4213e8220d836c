"""A proxy on loopback whose open channels may go silent."""

import asyncio


class _Pair:
  """A channel through the proxy, and whether it carries nothing any more."""

  def __init__(self, writers: list[asyncio.StreamWriter]):
    self.writers = writers
    self.is_silent = False


class Proxy:
  """Passes channels on to one address.

  Attributes:
    port: Port that it listens on.
  """

  def __init__(self, ip: str, port: int):
    self.port = 0
    self._target = (ip, port)
    self._server: asyncio.Server | None = None
    self._pairs: set[_Pair] = set()

  async def start(self, ip: str) -> None:
    """Listens on a free port."""
    self._server = await asyncio.start_server(self._accept, ip, 0)
    self.port = self._server.sockets[0].getsockname()[1]

  def silence(self) -> int:
    """Silences the open channels for good; returns their number."""
    for pair in self._pairs:
      pair.is_silent = True
    return len(self._pairs)

  def stop(self) -> None:
    """Closes the port and all channels."""
    if self._server is not None:
      self._server.close()
    for pair in list(self._pairs):
      for writer in pair.writers:
        writer.transport.abort()

  async def _accept(
      self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    try:
      other_reader, other_writer = await asyncio.open_connection(*self._target)
    except OSError:
      writer.transport.abort()
      return
    pair = _Pair([writer, other_writer])
    self._pairs.add(pair)
    try:
      await asyncio.gather(
          self._copy(reader, other_writer, pair),
          self._copy(other_reader, writer, pair),
      )
    finally:
      self._pairs.discard(pair)

  async def _copy(
      self,
      reader: asyncio.StreamReader,
      writer: asyncio.StreamWriter,
      pair: _Pair,
  ) -> None:
    try:
      while data := await reader.read(65536):
        if not pair.is_silent:
          writer.write(data)
    except ConnectionError:
      # The channel ends for the other side too.
      pass
    if not pair.is_silent:
      writer.close()
