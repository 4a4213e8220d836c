"""HTTP/1.1 as the stand-ins need it: reading messages and a small server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

Headers = list[tuple[str, str]]


class Message(NamedTuple):
  """A request or the head of a response.

  Attributes:
    start: Request line or status line, split at spaces.
    headers: Headers by name in lower case.
    body: The body; empty for the head of a response.
  """

  start: list[str]
  headers: dict[str, str]
  body: bytes


class NoMessageError(Exception):
  """The connection ended between two messages."""


async def read_head(reader: asyncio.StreamReader) -> Message:
  """Reads a start line and headers.

  Raises:
    NoMessageError: The connection ended before them.
  """
  try:
    raw = await reader.readuntil(b'\r\n\r\n')
  except (asyncio.IncompleteReadError, ConnectionError) as error:
    raise NoMessageError from error
  lines = raw.decode('latin-1').split('\r\n')
  headers = {}
  for line in lines[1:]:
    name, _, value = line.partition(':')
    if name:
      headers[name.strip().lower()] = value.strip()
  return Message(lines[0].split(' ', 2), headers, b'')


async def read_request(reader: asyncio.StreamReader) -> Message:
  """Reads a request whose body has a length.

  Raises:
    NoMessageError: The connection ended before it.
  """
  head = await read_head(reader)
  try:
    body = await reader.readexactly(int(head.headers.get('content-length', 0)))
  except (asyncio.IncompleteReadError, ConnectionError) as error:
    raise NoMessageError from error
  return head._replace(body=body)


async def read_body(
    reader: asyncio.StreamReader,
    head: Message,
    on_data: Callable[[bytes], None] = lambda data: None,
) -> bytes:
  """Reads the body of a response.

  Args:
    reader: The connection.
    head: Head of the response.
    on_data: Called with each part as it arrives.

  Raises:
    IncompleteReadError: The response broke off.
    ConnectionError: The connection was reset.
  """
  if head.headers.get('transfer-encoding', '').lower() == 'chunked':
    parts = []
    while True:
      size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
      data = await reader.readexactly(size + 2)
      if not size:
        return b''.join(parts)
      parts.append(data[:-2])
      on_data(data[:-2])
  data = await reader.readexactly(int(head.headers.get('content-length', 0)))
  on_data(data)
  return data


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
  """Encodes a whole response."""
  lines = [f'HTTP/1.1 {status} Status']
  lines += [f'{name}: {value}' for name, value in headers]
  lines += [f'Content-Length: {len(body)}', '', '']
  return '\r\n'.join(lines).encode('latin-1') + body


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
  """Encodes a whole request."""
  lines = [f'{method} {target} HTTP/1.1']
  lines += [f'{name}: {value}' for name, value in headers]
  if body or method != 'GET':
    lines.append(f'Content-Length: {len(body)}')
  return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Server:
  """Serves one request at a time on each connection.

  Attributes:
    port: Port that it listens on.
    writers: The open connections.
  """

  def __init__(
      self,
      handle: Callable[[Message, asyncio.StreamWriter], Awaitable[None]],
  ):
    self.port = 0
    self.writers: set[asyncio.StreamWriter] = set()
    self._handle = handle
    self._server: asyncio.Server | None = None

  async def start(self, ip: str) -> None:
    """Listens on a free port."""
    self._server = await asyncio.start_server(
        self._serve, ip, 0, limit=1 << 20, backlog=512
    )
    self.port = self._server.sockets[0].getsockname()[1]

  def stop(self) -> None:
    """Closes the port and all connections."""
    if self._server is not None:
      self._server.close()
    for writer in list(self.writers):
      writer.transport.abort()

  async def _serve(
      self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    self.writers.add(writer)
    try:
      while not writer.is_closing():
        request = await read_request(reader)
        serving = asyncio.ensure_future(self._handle(request, writer))
        gone = asyncio.ensure_future(_wait_for_end(reader, writer))
        await asyncio.wait((serving, gone), return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not serving.done():
          # The other side closed its connection: the work is dropped.
          serving.cancel()
          return
        serving.result()
    except (NoMessageError, ConnectionError):
      return
    finally:
      self.writers.discard(writer)
      writer.close()


async def _wait_for_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
  while not (reader.at_eof() or writer.is_closing()):
    await asyncio.sleep(0.02)
