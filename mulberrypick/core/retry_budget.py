"""How many retries there may be, so that failures don't multiply the load.

The first retry of a request is free: a crash of one endpoint must not cut the
answers that ran there. Further ones draw on a budget that fills with new
requests and slowly by time, so that a fleet in trouble gets little more than
twice its load.
"""

RETRIES_PER_REQUEST = 0.125
RETRIES_PER_S = 1.0
MAX_RETRIES = 50.0


class RetryBudget:
  """A bucket of retries."""

  def __init__(self):
    self._left = MAX_RETRIES
    self._filled_at = 0.0

  def record_request(self) -> None:
    """Notes a new request."""
    self._left = min(MAX_RETRIES, self._left + RETRIES_PER_REQUEST)

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
    self._left = min(MAX_RETRIES, self._left + RETRIES_PER_S * passed_s)
    if failures <= 1:
      return True
    if self._left < 1.0:
      return False
    self._left -= 1.0
    return True
