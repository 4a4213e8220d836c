"""A gateway with a deliberate bug, which the soak test must detect.

It passes no request on to other gateways.
"""

from mulberrypick.ops import pass_on
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  pass_on.PassOn.is_needed = lambda self: False
  relayed_gateway.main()


if __name__ == '__main__':
  main()
