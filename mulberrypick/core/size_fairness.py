"""Which prompts to refuse first in a flood, and how far that may go.

Answers a flood in which engines can read about half of what is asked. A prompt
whose shared parts are cached earns as much as one that has to be read whole,
for a fraction of the reading. So costly prompts are refused earlier than cheap
ones, but large ones keep a floor: no size may be served much less often than
the others.
"""

import collections
from typing import NamedTuple

# Sizes of recent prompts that are kept, for the borders between size classes.
MAX_SIZES = 300
# Borders between size classes, as shares of all prompts: the largest tenth, and
# the fifth below it, are promised their share by the platform.
SIZE_QUANTILES = (0.7, 0.9)
# Served share of a size class against that of all, below which it is not
# refused for its cost. The promise is a half.
MIN_RELATIVE_SHARE = 0.65
# Weight of one decision in the served shares.
SHARE_WEIGHT = 0.02
# Weight of one prompt in the mean of tokens to be read.
MEAN_WEIGHT = 0.01
# Up to this part of the mean a prompt is cheap, from this multiple on it gets
# the least part of the limit; between them the part falls evenly.
CHEAP_RATIO = 0.5
EXPENSIVE_RATIO = 2.0
MIN_LIMIT_FRACTION = 0.3


class Shares(NamedTuple):
  """Served shares, of a size class and of all."""

  of_class: float
  of_all: float


class SizeFairness:
  """Sizes, costs and served shares of one route's prompts."""

  def __init__(self):
    self._sizes: collections.deque[int] = collections.deque(maxlen=MAX_SIZES)
    self._borders = (0, 0)
    self._seen = 0
    self._mean_tokens = 0.0
    self._share_by_class = [1.0, 1.0, 1.0]
    self._share = 1.0

  def record_prompt(self, size: int, tokens: int) -> None:
    """Notes a prompt that is asked for.

    Args:
      size: Its tokens in all.
      tokens: Those of them that have to be read.
    """
    self._sizes.append(size)
    self._seen += 1
    if self._seen % 20 == 1:
      ordered = sorted(self._sizes)
      low, high = SIZE_QUANTILES
      self._borders = (
          ordered[int(low * len(ordered))],
          ordered[int(high * len(ordered))],
      )
    weight = max(MEAN_WEIGHT, 1 / self._seen)
    self._mean_tokens += weight * (tokens - self._mean_tokens)

  def limit_fraction(self, size: int, tokens: int) -> float:
    """Returns the part of the time limit up to which a prompt is sent."""
    shares = self.shares(size)
    if shares.of_class < MIN_RELATIVE_SHARE * shares.of_all:
      return 1.0
    ratio = tokens / max(1.0, self._mean_tokens)
    dearness = (ratio - CHEAP_RATIO) / (EXPENSIVE_RATIO - CHEAP_RATIO)
    dearness = min(1.0, max(0.0, dearness))
    return 1.0 - (1.0 - MIN_LIMIT_FRACTION) * dearness

  def record_decision(self, size: int, is_sent: bool) -> None:
    """Notes what was decided on a prompt."""
    number = self._class_of(size)
    value = 1.0 if is_sent else 0.0
    old = self._share_by_class[number]
    # Classes are seen as often as they are large: their shares move alike.
    weight = SHARE_WEIGHT / (0.7, 0.2, 0.1)[number]
    self._share_by_class[number] = old + weight * (value - old)
    self._share += SHARE_WEIGHT * (value - self._share)

  def shares(self, size: int) -> Shares:
    """Returns the served shares that matter for a prompt."""
    return Shares(self._share_by_class[self._class_of(size)], self._share)

  def _class_of(self, size: int) -> int:
    low, high = self._borders
    if size >= high:
      return 2
    return 1 if size >= low else 0
