"""The clock that also counts the time for which the host is suspended."""

import time


def boot_time() -> float:
  """Returns the time since the host was started, in seconds."""
  return time.clock_gettime(time.CLOCK_BOOTTIME)
