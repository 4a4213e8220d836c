"""Stand-in of a requester with one kept connection to a gateway."""

import asyncio
import time

from review.shared import wire

HOSTNAME = 'ficu95.example'


class Attempt:
  """One attempt of a requester and what it saw.

  Attributes:
    request: Its id.
    gateway: Name of the gateway.
    sent_at: When its last byte was written, on the monotonic clock.
    status: Status of the answer, 0 for none.
    is_complete: Whether the answer was complete.
    is_signed: Whether the answer bears a replica's signature.
    ended_at: When it ended.
    says_close: Whether the answer said that the channel closes after it.
    received: Bytes of the body that arrived.
  """

  def __init__(self, request: str, gateway: str):
    self.request = request
    self.gateway = gateway
    self.sent_at = 0.0
    self.status = 0
    self.is_complete = False
    self.is_signed = False
    self.ended_at = 0.0
    self.says_close = False
    self.received = 0

  def _add(self, data: bytes) -> None:
    self.received += len(data)

  def describe(self, began_at: float) -> str:
    """Returns a line for the record."""
    return (
        f'request {self.request} at {self.gateway}: sent at'
        f' {self.sent_at - began_at:.3f} s, status {self.status or "none"},'
        f' {"complete" if self.is_complete else "incomplete"},'
        f' {self.received} bytes, ended at {self.ended_at - began_at:.3f} s'
    )


class Channel:
  """A kept connection to a gateway."""

  def __init__(self, name: str, ip: str, port: int, own_ip: str = '127.0.0.1'):
    """Creates a channel that is not open yet.

    Args:
      name: Name of the gateway.
      ip: Its address.
      port: Its port.
      own_ip: Address of the requester.
    """
    self._name = name
    self._address = (ip, port)
    self._own_ip = own_ip
    self._reader: asyncio.StreamReader | None = None
    self._writer: asyncio.StreamWriter | None = None

  @property
  def is_open(self) -> bool:
    """Whether another request may be sent."""
    return (
        self._writer is not None
        and not self._writer.is_closing()
        and not self._reader.at_eof()
    )

  async def open(self) -> None:
    """Opens the connection."""
    async with asyncio.timeout(1.0):
      self._reader, self._writer = await asyncio.open_connection(
          *self._address, limit=1 << 20, local_addr=(self._own_ip, 0)
      )

  def close(self) -> None:
    """Closes the connection."""
    if self._writer is not None:
      self._writer.close()

  async def send(
      self,
      request: str,
      method: str,
      target: str,
      deadline_ms: int,
      headers: wire.Headers = (),
      body: bytes = b'',
  ) -> Attempt:
    """Sends a request and reads its answer."""
    attempt = Attempt(request, self._name)
    lines = [
        ('Host', HOSTNAME),
        ('X-Mulberrypick-Request-Id', request),
        ('X-Mulberrypick-Deadline-Ms', str(deadline_ms)),
        *headers,
    ]
    try:
      async with asyncio.timeout(deadline_ms / 1000):
        self._writer.write(wire.encode_request(method, target, lines, body))
        await self._writer.drain()
        attempt.sent_at = time.monotonic()
        head = await wire.read_head(self._reader)
        attempt.status = int(head.start[1])
        attempt.is_signed = 'x-mulberrypick-server-signature' in head.headers
        close = head.headers.get('connection', '').lower()
        attempt.says_close = close == 'close'
        await wire.read_body(self._reader, head, attempt._add)
        attempt.is_complete = True
    except (
        OSError,
        TimeoutError,
        wire.NoMessageError,
        asyncio.IncompleteReadError,
    ):
      self.close()
    attempt.sent_at = attempt.sent_at or time.monotonic()
    attempt.ended_at = time.monotonic()
    if attempt.says_close:
      self.close()
    return attempt
