"""Learns a time that grows with a number of tokens, from few noisy samples.

The time is taken to be a fixed part and a part for each token. Both are fitted
to decayed sums of the samples, so that old ones fade and the sums of several
hosts can be added. Errors count relative to the time: an error of 10 ms matters
for a prompt of 20 ms, and not for one of 2 s.
"""

import math
from typing import NamedTuple

# Samples fade by this time constant: speeds change within a day.
FADE_S = 20.0
# With each sample the earlier ones lose this share, so that about the last
# hundred count.
FADE_PER_SAMPLE = 0.01
# Weight of the prior, in samples. It decides only what samples do not, such as
# the fixed part if all prompts are equally long.
PRIOR_WEIGHT = 0.1
# A sample is limited to this multiple of the expected time, and of its inverse:
# one prompt may have waited for something else.
MAX_SAMPLE_RATIO = 8.0
# Relative error assumed without samples, and its weight in samples.
PRIOR_SPREAD = 1.0
PRIOR_SPREAD_WEIGHT = 2.0
# Number of standard deviations to the high end of an expectation.
HIGH_DEVIATIONS = 3.0
# Smallest fixed time, and time for a token (s).
MIN_FIXED_S = 1e-5
MIN_TOKEN_S = 1e-9


class Sums(NamedTuple):
  """Decayed sums over the samples of a model, relative to their times.

  Attributes:
    weight: Number of samples.
    ones: Sum of 1 / e², where e is the expected time in seconds.
    tokens: Sum of t / e², where t is the number of tokens.
    squares: Sum of t² / e².
    times: Sum of s / e², where s is the time in seconds.
    products: Sum of t * s / e².
    errors: Sum of the squared relative errors.
  """

  weight: float = 0.0
  ones: float = 0.0
  tokens: float = 0.0
  squares: float = 0.0
  times: float = 0.0
  products: float = 0.0
  errors: float = 0.0


def add_sums(one: Sums, other: Sums) -> Sums:
  """Returns the sums over the samples of both."""
  return Sums(*(a + b for a, b in zip(one, other, strict=True)))


def _scale(sums: Sums, factor: float) -> Sums:
  return Sums(*(value * factor for value in sums))


class TimeModel:
  """Expected time by number of tokens.

  Attributes:
    fixed_s: The part that does not depend on the tokens.
    per_token_s: The time for each token.
    spread: Relative standard error of the expectation.
    samples: Weight of the samples behind it, of all hosts.
    sums: Sums over the samples of this host.
    is_prior_known: Whether the prior was observed by hosts before, rather than
      assumed.
  """

  def __init__(self, fixed_s: float, per_token_s: float):
    """Creates a model without samples, with the times of the prior."""
    self._prior = (fixed_s, per_token_s)
    self.is_prior_known = False
    self.fixed_s = fixed_s
    self.per_token_s = per_token_s
    self.spread = PRIOR_SPREAD
    self.samples = 0.0
    self.sums = Sums()
    self._others = Sums()
    self._faded_at = 0.0

  def set_known_prior(self, fixed_s: float, per_token_s: float) -> None:
    """Replaces the prior by times that hosts observed before."""
    self.is_prior_known = True
    self.set_prior(fixed_s, per_token_s)

  def set_prior(self, fixed_s: float, per_token_s: float) -> None:
    """Replaces the prior; it decides what the samples do not."""
    self._prior = (max(fixed_s, MIN_FIXED_S), max(per_token_s, MIN_TOKEN_S))
    if self.samples:
      self._fit()
    else:
      self.fixed_s, self.per_token_s = self._prior

  def expect_s(self, tokens: float) -> float:
    """Returns the expected time for a number of tokens."""
    return self.fixed_s + self.per_token_s * tokens

  @property
  def high_factor(self) -> float:
    """By which the expectation is multiplied for its high end."""
    return 1.0 + HIGH_DEVIATIONS * self.spread

  def observe(self, tokens: float, took_s: float, now: float) -> None:
    """Adds a sample.

    Args:
      tokens: Number of tokens.
      took_s: The time that they took.
      now: Time on the event loop's clock.
    """
    if took_s <= 0.0 or tokens < 0.0:
      return
    expected_s = self.expect_s(tokens)
    took_s = min(took_s, MAX_SAMPLE_RATIO * expected_s)
    took_s = max(took_s, expected_s / MAX_SAMPLE_RATIO)
    error = (took_s - expected_s) / expected_s
    # A prior that is far too low must not give the first samples a weight that
    # later ones never reach.
    scale = 1.0 / max(expected_s, took_s / 2) ** 2
    sample = Sums(
        1.0,
        scale,
        tokens * scale,
        tokens * tokens * scale,
        took_s * scale,
        tokens * took_s * scale,
        min(error * error, 1.0),
    )
    self.fade(now)
    self.sums = add_sums(_scale(self.sums, 1.0 - FADE_PER_SAMPLE), sample)
    self._fit()

  def fade(self, now: float) -> None:
    """Lets the samples of this host fade by the time that has passed."""
    elapsed_s = max(0.0, now - self._faded_at)
    self._faded_at = now
    self.sums = _scale(self.sums, math.exp(-elapsed_s / FADE_S))

  def set_others(self, sums: Sums) -> None:
    """Sets the sums over the samples of other hosts."""
    if sums != self._others:
      self._others = sums
      self._fit()

  def _fit(self) -> None:
    """Fits both parts by least squares; neither is negative."""
    total = add_sums(self.sums, self._others)
    fixed_s, per_token_s = self._prior
    prior = PRIOR_WEIGHT / (1.0 + total.weight)
    ones = total.ones + prior / fixed_s**2
    squares = total.squares + prior / per_token_s**2
    times = total.times + prior / fixed_s
    products = total.products + prior / per_token_s
    determinant = ones * squares - total.tokens**2
    if determinant <= 0.0:
      return
    fixed_s = (times * squares - products * total.tokens) / determinant
    per_token_s = (products * ones - times * total.tokens) / determinant
    if fixed_s <= 0.0:
      fixed_s, per_token_s = 0.0, products / squares
    elif per_token_s <= 0.0:
      fixed_s, per_token_s = times / ones, 0.0
    # Some time always passes.
    self.fixed_s = max(fixed_s, MIN_FIXED_S)
    self.per_token_s = max(per_token_s, MIN_TOKEN_S)
    self.samples = total.weight
    self.spread = math.sqrt(
        (total.errors + PRIOR_SPREAD_WEIGHT * PRIOR_SPREAD**2)
        / (total.weight + PRIOR_SPREAD_WEIGHT)
    )
