"""A gateway with a deliberate bug, which the soak test must detect.

In a planned stop it sends requests to endpoints until the end, also those that
it has to cut then.
"""

from mulberrypick.ops import stop_guard
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  stop_guard.StopGuard.is_in_time = lambda *_: True
  relayed_gateway.main()


if __name__ == '__main__':
  main()
