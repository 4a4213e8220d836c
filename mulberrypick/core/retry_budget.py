"""How many retries there may be, so that failures don't multiply the load.

The first retry of a request is free: a crash of one endpoint must not cut the
answers that ran there. Further ones draw on a budget that fills with new
requests and slowly by time, so that a fleet in trouble gets little more than
twice its load.
"""

PART_OF_REQUESTS = 0.125
PER_S = 1.0
MOST = 50.0


class RetryBudget:
  """A bucket of retries."""

  def __init__(self):
    self._left = MOST
    self._filled_at = 0.0

  def see_request(self) -> None:
    """Notes a new request."""
    self._left = min(MOST, self._left + PART_OF_REQUESTS)

  def take(self, failures: int, now: float) -> bool:
    """Takes a retry out, if there is one.

    Args:
      failures: Attempts of the request that failed before.
      now: Monotonic time.

    Returns:
      Whether the request may be retried.
    """
    passed_s = max(0.0, now - self._filled_at)
    self._filled_at = now
    self._left = min(MOST, self._left + PER_S * passed_s)
    if failures <= 1:
      return True
    if self._left < 1.0:
      return False
    self._left -= 1.0
    return True
