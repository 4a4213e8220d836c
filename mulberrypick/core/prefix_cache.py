"""Estimates which endpoints have a prompt's prefix in their KV cache.

It is fed with the requests that this host sent, and with the cache events of
engines, which arrive late and incompletely. It may therefore be wrong; then an
engine has to prefill what was believed to be cached, and the entries are
dropped when its answer reports that nothing was cached. The size is bounded.

The hash of a block includes the hash of the block before it. The deepest known
block of a prompt therefore identifies the longest known prefix.
"""

import collections
from collections.abc import Iterable

import xxhash

BLOCK_TOKENS = 16
MAX_BLOCKS = 256
HASH_BYTES = 8
# Bound over all endpoints; an entry is one block on one endpoint.
MAX_ENTRIES = 60000
# Largest number of endpoints that are returned for one prompt.
MAX_WARM_ENDPOINTS = 3


def hash_blocks(model: str, adapter: str, prompt: str) -> tuple[int, ...]:
  """Hashes each full block of a prompt with the hash of the previous block.

  Args:
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    prompt: The prompt; each word counts as one token.

  Returns:
    One hash for each of the first `MAX_BLOCKS` full blocks.
  """
  words = prompt.split(None, BLOCK_TOKENS * MAX_BLOCKS)
  words = words[: BLOCK_TOKENS * MAX_BLOCKS]
  previous = xxhash.xxh64_intdigest(f'{model}|{adapter}'.encode())
  hashes = []
  for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
    block = '\x1f'.join(words[start : start + BLOCK_TOKENS])
    head = previous.to_bytes(HASH_BYTES, 'big')
    previous = xxhash.xxh64_intdigest(head + block.encode())
    hashes.append(previous)
  return tuple(hashes)


class PrefixCache:
  """Cached blocks by endpoint; evicts the least recently stored entries."""

  def __init__(self, max_entries: int = MAX_ENTRIES):
    self._max_entries = max_entries
    self._entries: collections.OrderedDict[tuple[int, str], None] = (
        collections.OrderedDict()
    )
    self._endpoints_by_block: dict[int, set[str]] = {}

  def store(self, endpoint: str, blocks: Iterable[int]) -> None:
    """Records that an endpoint has cached blocks."""
    for block in blocks:
      entry = (block, endpoint)
      if entry in self._entries:
        self._entries.move_to_end(entry)
        continue
      self._entries[entry] = None
      self._endpoints_by_block.setdefault(block, set()).add(endpoint)
    while len(self._entries) > self._max_entries:
      (block, old), _ = self._entries.popitem(last=False)
      self._drop_endpoint(block, old)

  def evict(self, endpoint: str, blocks: Iterable[int]) -> None:
    """Records that an endpoint no longer has blocks cached."""
    for block in blocks:
      if (block, endpoint) in self._entries:
        del self._entries[(block, endpoint)]
        self._drop_endpoint(block, endpoint)

  def find(self, blocks: tuple[int, ...]) -> dict[str, int]:
    """Finds the endpoints that have the longest known prefix of a prompt.

    Args:
      blocks: Hashes of the prompt's blocks.

    Returns:
      Cached tokens by endpoint, for up to `MAX_WARM_ENDPOINTS` endpoints.
    """
    low, high = 0, len(blocks)
    # Prefixes are stored from the first block on, so known blocks precede
    # unknown ones and binary search applies.
    while low < high:
      middle = (low + high) // 2
      if blocks[middle] in self._endpoints_by_block:
        low = middle + 1
      else:
        high = middle
    if low == 0:
      return {}
    endpoints = sorted(self._endpoints_by_block[blocks[low - 1]])
    tokens = low * BLOCK_TOKENS
    return dict.fromkeys(endpoints[:MAX_WARM_ENDPOINTS], tokens)

  def __len__(self) -> int:
    """Returns the number of entries."""
    return len(self._entries)

  def _drop_endpoint(self, block: int, endpoint: str) -> None:
    endpoints = self._endpoints_by_block[block]
    endpoints.discard(endpoint)
    if not endpoints:
      del self._endpoints_by_block[block]
