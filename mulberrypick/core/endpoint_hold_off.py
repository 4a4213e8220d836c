"""Endpoints that have asked this host to send nothing for a while.

An endpoint that refuses a request may say for how long it wants none from this
host. The time holds for this host alone, and for the incarnation that asked.
"""

import math
from collections.abc import Iterable

from mulberrypick.core import gateway_records

# Longest time for which an endpoint is held off: a wrong value must not take
# one out for good. An endpoint that restarts takes requests again.
MAX_HOLD_OFF_S = 3600.0
# Time for which an endpoint is held off if its value can't be read.
DEFAULT_HOLD_OFF_S = 1.0


def parse_seconds(value: str) -> float | None:
  """Returns a number of seconds within the bounds, None if it is none."""
  try:
    seconds = float(value.strip())
  except ValueError:
    return None
  if not math.isfinite(seconds) or seconds < 0.0:
    return None
  return min(seconds, MAX_HOLD_OFF_S)


class EndpointHoldOff:
  """When endpoints that want no requests may get some again."""

  def __init__(self):
    self._until: dict[tuple[str, int], float] = {}

  def record(
      self, incarnation: tuple[str, int], seconds: float, now: float
  ) -> None:
    """Records that an endpoint wants no requests for a time from now on."""
    until = now + seconds
    self._until[incarnation] = max(until, self._until.get(incarnation, until))

  def is_held_off(self, incarnation: tuple[str, int], now: float) -> bool:
    """Returns whether an endpoint must get nothing."""
    return now < self._until.get(incarnation, float('-inf'))

  def wait_s(
      self, endpoints: Iterable[gateway_records.Endpoint], now: float
  ) -> float | None:
    """Returns the time until one of the endpoints may get requests.

    Returns:
      The time; None if there is no endpoint.
    """
    waits = []
    for endpoint in endpoints:
      waits.append(max(0.0, self._until.get(endpoint.incarnation, now) - now))
    return min(waits, default=None)

  def expire(self, now: float) -> None:
    """Forgets the times that are over."""
    for incarnation, until in list(self._until.items()):
      if until <= now:
        del self._until[incarnation]

  def count(self, now: float) -> int:
    """Returns the number of endpoints that are held off."""
    return sum(now < until for until in self._until.values())
