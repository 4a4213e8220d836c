"""Counts the bytes of a connection that its peer has not acknowledged."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct('i')


class UnsentBytes:
  """Written bytes in the buffers of one connection.

  Attributes:
    count: Their number when it was last measured.
    since: Since when they are that many, on the clock of the event loop.
  """

  def __init__(self, transport: asyncio.Transport):
    self._transport = transport
    self.reset()

  def reset(self) -> None:
    """Forgets what was measured."""
    self.count = 0
    self.since: float | None = None

  def measure(self) -> int:
    """Returns how many bytes are unsent; the connection must be open."""
    count = self._transport.get_write_buffer_size() + self._count_in_kernel()
    if count != self.count or self.since is None:
      self.count = count
      self.since = asyncio.get_running_loop().time()
    return count

  def _count_in_kernel(self) -> int:
    sock = self._transport.get_extra_info('socket')
    raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    return _COUNT.unpack(raw)[0]
