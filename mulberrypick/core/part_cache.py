"""Estimates which shared prompt parts are in the KV cache of an engine.

A cached part can be used only if all parts before it are cached too. Like the
engines, the estimate evicts the least recently used parts when the cache is
full.
It is fed with the requests that this host and the others send to the engine,
so it may be wrong; then a part is prefilled again.
"""

import collections

from mulberrypick.core import gateway_records

# Share of an engine's memory that is assumed to hold cached parts. Running
# requests use the rest.
CACHE_FRACTION = 0.75
# Memory assumed for an engine whose service is not known yet.
DEFAULT_MEMORY_TOKENS = 1_000_000
# A prompt part in use is announced to other hosts once per interval, often
# enough to keep it from becoming the least recently used in their estimates.
ANNOUNCE_INTERVAL_S = 2.0


class PartCache:
  """Prompt parts that one engine probably has cached, oldest use first."""

  def __init__(self):
    self._max_tokens = int(CACHE_FRACTION * DEFAULT_MEMORY_TOKENS)
    self._tokens_by_key: collections.OrderedDict[int, int] = (
        collections.OrderedDict()
    )
    self._tokens = 0
    self._announced_at: dict[int, float] = {}

  def set_memory(self, tokens: int) -> None:
    """Sets the size of the engine's memory, in tokens."""
    self._max_tokens = int(CACHE_FRACTION * tokens)

  def uncached_tokens(
      self, parts: tuple[gateway_records.PromptPart, ...]
  ) -> int:
    """Returns how many tokens of a prompt have to be prefilled."""
    missing = 0
    is_missing = False
    for part in parts:
      if not is_missing and part.key not in self._tokens_by_key:
        is_missing = True
      if is_missing:
        missing += part.tokens
    return missing

  def should_announce(self, key: int, now: float) -> bool:
    """Returns whether to announce a cached prompt part to other hosts now."""
    return (
        now - self._announced_at.get(key, float('-inf')) >= ANNOUNCE_INTERVAL_S
    )

  def store(self, key: int, tokens: int, now: float) -> None:
    """Records that a part was prefilled, and that it is announced if due."""
    if self.should_announce(key, now):
      self._announced_at[key] = now
    old = self._tokens_by_key.pop(key, 0)
    self._tokens_by_key[key] = tokens
    self._tokens += tokens - old
    while self._tokens > self._max_tokens and self._tokens_by_key:
      evicted, dropped = self._tokens_by_key.popitem(last=False)
      self._announced_at.pop(evicted, None)
      self._tokens -= dropped
