"""Queue of received bytes."""

import collections


class ByteQueue:
  """Bytes in the order of their arrival; its length is their number."""

  def __init__(self):
    self._parts: collections.deque[bytes] = collections.deque()
    self._size = 0

  def __len__(self) -> int:
    return self._size

  def append(self, data: bytes) -> None:
    """Adds bytes at the end."""
    self._parts.append(data)
    self._size += len(data)

  def take(self, max_bytes: int) -> bytes:
    """Removes and returns the first bytes, at most `max_bytes`."""
    taken = []
    left = max_bytes
    while self._parts and left:
      part = self._parts.popleft()
      if len(part) > left:
        self._parts.appendleft(part[left:])
        part = part[:left]
      taken.append(part)
      left -= len(part)
    self._size -= max_bytes - left
    return b''.join(taken)
