"""A gateway with a deliberate bug, which the soak test must detect.

It refuses no request for a prompt part that crashes endpoints.
"""

from mulberrypick.core import crashing_parts
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  crashing_parts.find_refused = lambda *_: []
  relayed_gateway.main()


if __name__ == '__main__':
  main()
