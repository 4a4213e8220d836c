"""When the steps of a planned stop happen."""

from typing import NamedTuple

# Time that the port stays open (s). The load balancer needs two health checks,
# one per second, to notice the stop.
BALANCER_NOTICE_S = 3.0
# Largest part of the grace period that passes before the port is closed.
MAX_NOTICE_FRACTION = 0.5
# Time reserved for the last responses and the exit (s), and the largest part of
# the grace period that it takes: requests are owed all but the last sixth.
EXIT_S = 0.6
MAX_EXIT_FRACTION = 0.125
# Part of the reserved time in which the last responses are sent.
FLUSH_FRACTION = 0.5


class StopSchedule(NamedTuple):
  """Times of the steps of a stop, on the clock of the event loop.

  Attributes:
    close_port_at: When the port for callers is closed.
    end_requests_at: When requests that have not ended are given up.
    exit_at: When the process exits, also if bytes are still unsent.
  """

  close_port_at: float
  end_requests_at: float
  exit_at: float


def make_schedule(began_at: float, grace_s: float) -> StopSchedule:
  """Returns the steps of a stop.

  Args:
    began_at: When SIGTERM came.
    grace_s: Time between SIGTERM and SIGKILL.
  """
  notice_s = min(BALANCER_NOTICE_S, MAX_NOTICE_FRACTION * grace_s)
  exit_s = min(EXIT_S, MAX_EXIT_FRACTION * grace_s)
  end_at = began_at + grace_s - exit_s
  return StopSchedule(
      began_at + notice_s, end_at, end_at + FLUSH_FRACTION * exit_s
  )
