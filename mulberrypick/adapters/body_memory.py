"""Limits on the memory that responses take which are read completely."""

import contextlib
from collections.abc import Iterator

from mulberrypick.core import errors

# All such responses of this process together; a host has 300 MB.
MAX_TOTAL_BYTES = 64 << 20
# A response of at most this size is read even if the others take all.
MAX_SMALL_BYTES = 256 << 10


class Body:
  """The body of a response, as far as it has arrived."""

  def __init__(self, memory: 'BodyMemory', max_bytes: int):
    self._memory = memory
    self._max_bytes = max_bytes
    self._parts: list[bytes] = []
    self.size = 0

  def add(self, data: bytes) -> None:
    """Adds bytes.

    Raises:
      ExchangeBrokenError: The body is too large by itself or beside others.
    """
    self.size += len(data)
    self._memory.total += len(data)
    if self.size > self._max_bytes:
      raise errors.ExchangeBrokenError('answer_too_large')
    is_full = self._memory.total > MAX_TOTAL_BYTES
    if is_full and self.size > MAX_SMALL_BYTES:
      raise errors.ExchangeBrokenError('no_memory')
    self._parts.append(data)

  def join(self) -> bytes:
    """Returns all bytes."""
    return b''.join(self._parts)


class BodyMemory:
  """Memory of the bodies that are being read.

  Attributes:
    total: Bytes of all these bodies.
  """

  def __init__(self):
    self.total = 0

  @contextlib.contextmanager
  def read(self, max_bytes: int) -> Iterator[Body]:
    """Counts a body of at most `max_bytes` until the end of the block."""
    body = Body(self, max_bytes)
    try:
      yield body
    finally:
      self.total -= body.size


shared = BodyMemory()
