"""A caller that sends the bytes of its requests as late as it likes."""

import asyncio

from standins import gateway_cluster


class LateCaller:
  """One connection to a gateway, and all that came back on it.

  Attributes:
    received: The bytes received.
    is_closed: Whether the gateway closed the connection.
  """

  def __init__(self):
    self.received = b''
    self.is_closed = False

  async def open(self, port: int) -> None:
    """Opens the connection."""
    self._reader, self._writer = await asyncio.open_connection(
        '127.0.0.1', port
    )
    self._task = asyncio.create_task(self._read())

  def send(self, path: str, request: str, body: bytes = b'xy') -> None:
    """Sends a whole request."""
    self.send_head(path, request, len(body))
    self.send_body(body)

  def send_head(
      self, path: str, request: str, body_bytes: int = 2, usage: str = ''
  ) -> None:
    """Sends the head of a request.

    Args:
      path: Its path.
      request: Its id.
      body_bytes: Size of its body.
      usage: Tokens of its prompt and its response, empty to leave them out.
    """
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {gateway_cluster.HOST}',
        f'X-Mulberrypick-Request-Id: {request}',
        'X-Mulberrypick-Deadline-Ms: 10000',
        f'Content-Length: {body_bytes}',
    ]
    if usage:
      lines.append(f'X-Mulberrypick-Token-Usage: {usage}')
    self._writer.write('\r\n'.join((*lines, '', '')).encode())

  def send_body(self, body: bytes) -> None:
    """Sends bytes of a body."""
    self._writer.write(body)

  async def wait(self) -> bytes:
    """Waits until the connection is closed; returns what was received."""
    await self._task
    return self.received

  def close(self) -> None:
    """Closes the connection."""
    self._task.cancel()
    self._writer.close()

  async def _read(self) -> None:
    try:
      while data := await self._reader.read(65536):
        self.received += data
    except ConnectionError:
      # What arrived before counts.
      pass
    self.is_closed = True


def parse_responses(received: bytes) -> list[int]:
  """Returns the statuses of the complete responses, which have a length."""
  statuses = []
  while True:
    head, end, rest = received.partition(b'\r\n\r\n')
    if not end:
      return statuses
    lines = head.lower().split(b'\r\n')
    length = 0
    for line in lines:
      if line.startswith(b'content-length:'):
        length = int(line.partition(b':')[2])
    if len(rest) < length:
      return statuses
    statuses.append(int(lines[0].split()[1]))
    received = rest[length:]
