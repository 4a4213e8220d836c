"""Which shared parts of prompts an engine is likely to keep.

A part is of use only if all parts before it are kept as well. The model is the
engine's own: least recently used parts yield when its memory is full. It is
fed with what this host and the others send there, so that it is a guess; a
wrong one costs the reading of a part again.
"""

import collections

from mulberrypick.core import gateway_records

# Share of an engine's memory that cached parts are assumed to have: requests
# that run take the rest.
CACHE_SHARE = 0.75
# Memory of an engine whose service is not known yet (tokens).
DEFAULT_MEMORY_TOKENS = 1_000_000
# A part that is used again is told to other hosts once in this long (s): often
# enough for them to know that it is not among the least recently used.
ANNOUNCE_INTERVAL_S = 2.0


class PartCache:
  """The parts that one engine keeps, the least recently used first."""

  def __init__(self):
    self._tokens_most = int(CACHE_SHARE * DEFAULT_MEMORY_TOKENS)
    self._tokens_by_key: collections.OrderedDict[int, int] = (
        collections.OrderedDict()
    )
    self._tokens = 0
    self._told_at: dict[int, float] = {}

  def set_memory(self, tokens: int) -> None:
    """Puts the size of the engine's memory in force (tokens)."""
    self._tokens_most = int(CACHE_SHARE * tokens)

  def uncached_tokens(
      self, parts: tuple[gateway_records.PromptPart, ...]
  ) -> int:
    """Returns how much of a prompt has to be read."""
    missing = 0
    is_missing = False
    for part in parts:
      if not is_missing and part.key not in self._tokens_by_key:
        is_missing = True
      if is_missing:
        missing += part.tokens
    return missing

  def should_announce(self, key: int, now: float) -> bool:
    """Tells whether other hosts are due to be told that a part is kept."""
    return now - self._told_at.get(key, float('-inf')) >= ANNOUNCE_INTERVAL_S

  def store(self, key: int, tokens: int, now: float) -> None:
    """Notes that a part was read, as all hosts know or are about to hear."""
    if self.should_announce(key, now):
      self._told_at[key] = now
    old = self._tokens_by_key.pop(key, 0)
    self._tokens_by_key[key] = tokens
    self._tokens += tokens - old
    while self._tokens > self._tokens_most and self._tokens_by_key:
      yielded, dropped = self._tokens_by_key.popitem(last=False)
      self._told_at.pop(yielded, None)
      self._tokens -= dropped
