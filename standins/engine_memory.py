"""KV memory of the simulated engine: pieces, with a prefix cache.

A piece is memory for a fixed number of tokens. A block is a run of that many
prompt tokens, whose KV cache fills one piece. An allocated piece is private to
one sequence, or holds a cached block that is in use or idle. When no piece is
free, the least recently used idle block is evicted.
"""

import collections
from typing import NamedTuple


class Change(NamedTuple):
  """A block that was added to the prefix cache or evicted from it.

  Attributes:
    is_stored: False for an eviction.
    block: Chained hash of the prompt up to the end of the block.
  """

  is_stored: bool
  block: int


class KvMemory:
  """Tracks which pieces of KV memory are in use; stores no KV data."""

  def __init__(self, pieces: int):
    self.pieces = pieces
    self._free = pieces
    self._users_by_block: collections.Counter[int] = collections.Counter()
    self._idle_blocks: collections.OrderedDict[int, None] = (
        collections.OrderedDict()
    )
    self._changes: list[Change] = []

  def available(self) -> int:
    """Returns the number of pieces that are free or evictable."""
    return self._free + len(self._idle_blocks)

  def take_changes(self) -> list[Change]:
    """Returns and clears the cache changes since the last call."""
    changes = self._changes
    self._changes = []
    return changes

  def acquire_cached_prefix(self, blocks: list[int]) -> int:
    """Acquires the blocks of the longest cached prefix.

    Returns:
      The number of acquired blocks; the caller has to release them.
    """
    found = 0
    for block in blocks:
      if not self._acquire_block(block):
        break
      found += 1
    return found

  def allocate(self, pieces: int) -> bool:
    """Allocates all of the pieces as private, or none.

    Returns:
      Whether there were enough free or evictable pieces.
    """
    if pieces > self.available():
      return False
    while self._free < pieces:
      block, _ = self._idle_blocks.popitem(last=False)
      self._changes.append(Change(False, block))
      self._free += 1
    self._free -= pieces
    return True

  def store(self, block: int) -> None:
    """Turns one private piece into a cached block that is in use.

    If the block is cached already, acquires it and frees the piece.
    """
    if self._acquire_block(block):
      self._free += 1
      return
    self._users_by_block[block] = 1
    self._changes.append(Change(True, block))

  def release(self, blocks: list[int], private_pieces: int) -> None:
    """Frees private pieces and releases blocks, which stay cached."""
    self._free += private_pieces
    # The end of a prefix is evicted first: the start is useful without it.
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
