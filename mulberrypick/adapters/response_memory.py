"""Limits on the memory that the responses of this process take in all.

It counts what has arrived and is still held: bytes that nobody has read yet,
incomplete events of streams, and bodies that are read as a whole.
"""

import collections

# All responses together; a host has 300 MB.
MAX_TOTAL_BYTES = 64 << 20
# All responses of one source, such as an endpoint: a faulty one must leave
# memory to the others.
MAX_SOURCE_BYTES = 48 << 20
# A response of at most this size is held even if the total is exceeded, until
# the reserve is used up as well.
MAX_SMALL_BYTES = 256 << 10
RESERVE_BYTES = 32 << 20
# A response of at most this size is always held.
MAX_TINY_BYTES = 16 << 10


class ResponseMemory:
  """Bytes held by all responses, and by those of each source.

  Attributes:
    total: Bytes of all responses.
    by_source: Bytes by the name of their source.
  """

  def __init__(self):
    self.total = 0
    self.by_source: collections.Counter[str] = collections.Counter()

  def open(self, source: str) -> 'HeldBytes':
    """Returns the account of one response."""
    return HeldBytes(self, source)

  def add(self, source: str, size: int) -> None:
    """Counts bytes of a source; a negative number releases some."""
    self.total += size
    self.by_source[source] += size
    if not self.by_source[source]:
      del self.by_source[source]

  def may_hold(self, source: str, size: int) -> bool:
    """Returns whether a response may hold what it holds.

    Args:
      source: Its source; an unknown one has no share.
      size: The bytes that it holds, which are counted already.
    """
    if size <= MAX_TINY_BYTES:
      return True
    if source and self.by_source[source] > MAX_SOURCE_BYTES:
      return False
    if self.total > MAX_TOTAL_BYTES + RESERVE_BYTES:
      return False
    return size <= MAX_SMALL_BYTES or self.total <= MAX_TOTAL_BYTES


class HeldBytes:
  """The bytes that one response holds, until this object is deleted."""

  def __init__(self, memory: ResponseMemory, source: str):
    self._memory = memory
    self._source = source
    self._size = 0

  def set(self, size: int) -> bool:
    """Sets the number of bytes; returns whether the response may hold them."""
    self._memory.add(self._source, size - self._size)
    self._size = size
    return self._memory.may_hold(self._source, size)

  def __del__(self):
    self.set(0)


shared = ResponseMemory()
