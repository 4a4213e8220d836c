"""Decides which prompts are refused first under overload, by size and cost.

Under overload the engines can prefill only about half of the requested prompts.
A prompt whose shared parts are cached needs a fraction of the prefill of an
uncached one, and its answer is worth as much. Expensive prompts are therefore
refused earlier than cheap ones, but with a lower bound: no size class may be
served much less often than the others.
"""

import collections
from typing import NamedTuple

# Sizes of recent prompts that are kept, to compute the borders of size classes.
MAX_SIZES = 300
# Borders between size classes, as quantiles of the prompt sizes. The platform
# guarantees a share to the largest tenth and to the fifth below it.
SIZE_QUANTILES = (0.7, 0.9)
# Served fraction of a size class relative to that of all prompts, below which
# its prompts are not refused for their cost. The platform guarantees 0.5.
MIN_RELATIVE_FRACTION = 0.65
# Weight of one decision, to send or refuse a prompt, in the served fractions.
FRACTION_WEIGHT = 0.02
# Weight of one prompt in the mean number of tokens to prefill.
MEAN_WEIGHT = 0.01
# Cost of a prompt relative to the mean. Up to the lower ratio a prompt gets the
# whole time limit, from the higher ratio on the smallest fraction of it. The
# fraction decreases linearly between them.
CHEAP_RATIO = 0.5
EXPENSIVE_RATIO = 2.0
MIN_LIMIT_FRACTION = 0.3


class ServedFractions(NamedTuple):
  """Fractions of the prompts that were sent and not refused.

  Attributes:
    of_class: Fraction of the prompts of one size class.
    of_all: Fraction of all prompts.
  """

  of_class: float
  of_all: float


class SizeFairness:
  """Sizes, costs and served fractions of the prompts of one route."""

  def __init__(self):
    self._sizes: collections.deque[int] = collections.deque(maxlen=MAX_SIZES)
    self._borders = (0, 0)
    self._prompt_count = 0
    self._mean_tokens = 0.0
    self._fraction_by_class = [1.0, 1.0, 1.0]
    self._fraction = 1.0

  def record_prompt(self, size: int, tokens: int) -> None:
    """Records a requested prompt.

    Args:
      size: Number of its tokens.
      tokens: Number of its tokens that have to be prefilled.
    """
    self._sizes.append(size)
    self._prompt_count += 1
    if self._prompt_count % 20 == 1:
      ordered = sorted(self._sizes)
      low, high = SIZE_QUANTILES
      self._borders = (
          ordered[int(low * len(ordered))],
          ordered[int(high * len(ordered))],
      )
    weight = max(MEAN_WEIGHT, 1 / self._prompt_count)
    self._mean_tokens += weight * (tokens - self._mean_tokens)

  def limit_fraction(self, size: int, tokens: int) -> float:
    """Returns the fraction of the time limit that a prompt may take."""
    served_fractions = self.served_fractions(size)
    if (
        served_fractions.of_class
        < MIN_RELATIVE_FRACTION * served_fractions.of_all
    ):
      return 1.0
    ratio = tokens / max(1.0, self._mean_tokens)
    cost_level = (ratio - CHEAP_RATIO) / (EXPENSIVE_RATIO - CHEAP_RATIO)
    cost_level = min(1.0, max(0.0, cost_level))
    return 1.0 - (1.0 - MIN_LIMIT_FRACTION) * cost_level

  def record_decision(self, size: int, is_sent: bool) -> None:
    """Records whether a prompt was sent or refused."""
    number = self._size_class(size)
    value = 1.0 if is_sent else 0.0
    old = self._fraction_by_class[number]
    # Prompts of a small class are rarer. The weight is divided by the size of
    # the class, so that all fractions adapt at the same speed.
    weight = FRACTION_WEIGHT / (0.7, 0.2, 0.1)[number]
    self._fraction_by_class[number] = old + weight * (value - old)
    self._fraction += FRACTION_WEIGHT * (value - self._fraction)

  def served_fractions(self, size: int) -> ServedFractions:
    """Returns the served fractions of a prompt's size class and of all."""
    return ServedFractions(
        self._fraction_by_class[self._size_class(size)], self._fraction
    )

  def _size_class(self, size: int) -> int:
    low, high = self._borders
    if size >= high:
      return 2
    return 1 if size >= low else 0
