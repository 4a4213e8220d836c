"""Rate at which waiting requests leave a queue for the engines.

The rate is measured instead of computed from the number of engines, because
the engine seconds of a request are a prediction. As the rate is measured in
predicted engine seconds too, the errors of the prediction cancel out of the
predicted waiting times.
"""

import math

DECAY_S = 4.0
# Weight of the rate assumed before there are measurements, in seconds.
PRIOR_WEIGHT_S = 0.5
MIN_RATE = 0.01


class DrainRate:
  """Engine seconds per second that leave a queue while it is not empty."""

  def __init__(self):
    self._prior_per_s = 1.0
    self._max_per_s = math.inf
    self._drained_s = 0.0
    self._busy_s = 0.0
    self._busy_from: float | None = None
    self._busy_since: float | None = None

  def set_prior(self, per_s: float, max_per_s: float) -> None:
    """Sets the prior and the maximum of the rate.

    Args:
      per_s: The rate assumed before there are measurements.
      max_per_s: The highest rate that can last. A burst that fills idle engines
        drains the queue faster than the engines work.
    """
    self._prior_per_s = max(MIN_RATE, per_s)
    self._max_per_s = max(MIN_RATE, max_per_s)

  def start_busy(self, now: float) -> None:
    """Starts measuring the rate: the queue, which was empty, has a request."""
    self._busy_from = now
    self._busy_since = now

  def end_busy(self, now: float) -> None:
    """Stops measuring the rate: the queue is empty again."""
    self._advance(now)
    self._busy_from = None
    self._busy_since = None

  def record_drained(self, cost_s: float, now: float) -> None:
    """Records that a request of this cost left the queue for an engine."""
    self._advance(now)
    # A request that starts as soon as it arrives did not wait in the queue, so
    # it says nothing about the rate.
    if self._busy_from is not None and now > self._busy_from:
      self._drained_s += cost_s

  def per_s(self) -> float:
    """Returns the rate in engine seconds per second."""
    drained_s = self._drained_s + self._prior_per_s * PRIOR_WEIGHT_S
    rate = drained_s / (self._busy_s + PRIOR_WEIGHT_S)
    return min(self._max_per_s, max(MIN_RATE, rate))

  def _advance(self, now: float) -> None:
    if self._busy_since is None or now <= self._busy_since:
      return
    passed_s = now - self._busy_since
    decay = math.exp(-passed_s / DECAY_S)
    self._drained_s *= decay
    self._busy_s = self._busy_s * decay + passed_s
    self._busy_since = now
