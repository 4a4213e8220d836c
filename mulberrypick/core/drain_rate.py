"""How fast waiting work goes to the engines while some of it waits.

The rate is measured and not computed from the number of engines, because the
engine seconds of a request are a prediction: measured in the same unit, its
errors cancel out of every predicted wait.
"""

import math

DECAY_S = 4.0
# The prior counts as this many seconds of measurement.
PRIOR_WEIGHT_S = 0.5
MIN_RATE = 0.01


class DrainRate:
  """Engine seconds a second that leave a queue while it is not empty."""

  def __init__(self):
    self._prior = 1.0
    self._most = math.inf
    self._drained_s = 0.0
    self._busy_s = 0.0
    self._busy_from: float | None = None
    self._busy_since: float | None = None

  def set_prior(self, per_s: float, max_per_s: float) -> None:
    """Sets what is known without a measurement.

    Args:
      per_s: The rate that holds before there are measurements.
      max_per_s: More than this can't last: while a burst fills idle engines
        the queue drains faster than they work.
    """
    self._prior = max(MIN_RATE, per_s)
    self._most = max(MIN_RATE, max_per_s)

  def start_busy(self, now: float) -> None:
    """Notes that something waits in a queue that was empty."""
    self._busy_from = now
    self._busy_since = now

  def end_busy(self, now: float) -> None:
    """Notes that nothing waits any more."""
    self._advance(now)
    self._busy_from = None
    self._busy_since = None

  def record_drained(self, cost_s: float, now: float) -> None:
    """Notes that work left the queue."""
    self._advance(now)
    # What goes on at the instant of its arrival says nothing about the rate.
    if self._busy_from is not None and now > self._busy_from:
      self._drained_s += cost_s

  def per_s(self) -> float:
    """Returns the rate in engine seconds a second."""
    drained_s = self._drained_s + self._prior * PRIOR_WEIGHT_S
    rate = drained_s / (self._busy_s + PRIOR_WEIGHT_S)
    return min(self._most, max(MIN_RATE, rate))

  def _advance(self, now: float) -> None:
    if self._busy_since is None or now <= self._busy_since:
      return
    passed_s = now - self._busy_since
    fade = math.exp(-passed_s / DECAY_S)
    self._drained_s *= fade
    self._busy_s = self._busy_s * fade + passed_s
    self._busy_since = now
