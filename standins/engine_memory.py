"""KV memory of the engine stand-in: pieces, and the prefix cache over them.

A piece is private to one sequence, cached and in use, or cached and idle. Idle
pieces are evicted in the order of their last use when a new one is wanted.
"""

import collections
from typing import NamedTuple


class Change(NamedTuple):
  """A block that entered or left the prefix cache.

  Attributes:
    is_stored: False for an eviction.
    block: Chained hash of the prompt up to the end of the block.
  """

  is_stored: bool
  block: int


class KvMemory:
  """Pieces of KV memory, counted but without content."""

  def __init__(self, pieces: int):
    self.pieces = pieces
    self._free = pieces
    self._users_by_block: collections.Counter[int] = collections.Counter()
    self._idle_blocks: collections.OrderedDict[int, None] = (
        collections.OrderedDict()
    )
    self._changes: list[Change] = []

  def available(self) -> int:
    """Returns the pieces that are free or evictable."""
    return self._free + len(self._idle_blocks)

  def take_changes(self) -> list[Change]:
    """Returns the changes of the cache since the last call."""
    changes = self._changes
    self._changes = []
    return changes

  def acquire_cached_prefix(self, blocks: list[int]) -> int:
    """Marks the longest cached prefix as used.

    Returns:
      The count of blocks that were found; release them later.
    """
    found = 0
    for block in blocks:
      if not self._acquire_block(block):
        break
      found += 1
    return found

  def allocate(self, pieces: int) -> bool:
    """Takes private pieces, all or none."""
    if pieces > self.available():
      return False
    while self._free < pieces:
      block, _ = self._idle_blocks.popitem(last=False)
      self._changes.append(Change(False, block))
      self._free += 1
    self._free -= pieces
    return True

  def store(self, block: int) -> None:
    """Turns one private piece into a cached block that stays in use."""
    if self._acquire_block(block):
      self._free += 1
      return
    self._users_by_block[block] = 1
    self._changes.append(Change(True, block))

  def release(self, blocks: list[int], private_pieces: int) -> None:
    """Gives back used blocks, which stay cached, and private pieces."""
    self._free += private_pieces
    # The end of a prefix goes first: without it, the start is still of use.
    for block in reversed(blocks):
      self._users_by_block[block] -= 1
      if self._users_by_block[block]:
        continue
      del self._users_by_block[block]
      self._idle_blocks[block] = None

  def _acquire_block(self, block: int) -> bool:
    if block in self._idle_blocks:
      del self._idle_blocks[block]
      self._users_by_block[block] = 1
      return True
    if block in self._users_by_block:
      self._users_by_block[block] += 1
      return True
    return False
