"""Prompts of this host that an engine has yet to prefill, and how far it is.

An engine tells nothing of its progress before a prompt is read. On slow engines
a prompt takes half a second, so that counting it in full until its end would
predict twice the waiting time that there is. The progress is therefore taken
from the times that were expected when the request was sent.
"""

from typing import NamedTuple

# Load is counted for two classes of ranks: rank 0, and all others.
RANK_CLASSES = 2
# Fraction of a prompt that is counted until its end, whatever was expected: the
# engine may be slower, or not work at all.
MIN_REMAINING = 0.7


class PendingRead(NamedTuple):
  """A prompt that an engine prefills or will prefill.

  Attributes:
    rank_class: 0 for rank 0, 1 for all others.
    tokens: Tokens to prefill.
    begins_at: When its prefill is expected to begin, on the event loop's clock.
    ends_at: When its prefill is expected to end.
  """

  rank_class: int
  tokens: int
  begins_at: float
  ends_at: float

  def remaining(self, now: float) -> float:
    """Returns the tokens that are still to be prefilled."""
    if now <= self.begins_at:
      return self.tokens
    if now >= self.ends_at:
      return MIN_REMAINING * self.tokens
    left = (self.ends_at - now) / (self.ends_at - self.begins_at)
    return max(MIN_REMAINING, left) * self.tokens


class PendingReads:
  """The prompts of this host at one engine."""

  def __init__(self):
    self._by_key: dict[int, PendingRead] = {}

  def add(self, key: int, read: PendingRead) -> None:
    """Adds a prompt under a key that identifies its send."""
    self._by_key[key] = read

  def remove(self, key: int) -> None:
    """Removes a prompt that was prefilled or given up, if it is there."""
    self._by_key.pop(key, None)

  def remaining(self, now: float) -> tuple[int, int]:
    """Returns the tokens still to be prefilled, by class of ranks."""
    totals = [0.0] * RANK_CLASSES
    for read in self._by_key.values():
      totals[read.rank_class] += read.remaining(now)
    return round(totals[0]), round(totals[1])
