"""Limits the number of retries, so that failures don't multiply the load.

The first retry of a request is always allowed: a crash of one endpoint must not
abort the answers that ran there. Further retries draw on a budget that refills
with new requests and slowly with time, so that the load of a failing fleet is
little more than doubled.
"""

RETRIES_PER_REQUEST = 0.125
RETRIES_PER_S = 1.0
MAX_RETRIES = 50.0


class RetryBudget:
  """A token bucket of retries."""

  def __init__(self):
    self._left = MAX_RETRIES
    self._filled_at = 0.0

  def record_request(self) -> None:
    """Refills the budget for a new request."""
    self._left = min(MAX_RETRIES, self._left + RETRIES_PER_REQUEST)

  def take(self, failures: int, now: float) -> bool:
    """Takes a retry from the budget if one is left.

    Args:
      failures: Failed attempts of the request.
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
