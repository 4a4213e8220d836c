"""A gateway with a deliberate bug, which the soak test must detect.

It repeats a booking after the endpoint closed the connection without an answer,
so that the booking may run twice.
"""

from mulberrypick.ops import next_run
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  next_run.NextRun.may_retry = lambda self, step: True
  relayed_gateway.main()


if __name__ == '__main__':
  main()
