"""A gateway with a deliberate bug, which the soak test must detect.

It sends requests to limited endpoints without a permit.
"""

from mulberrypick.core import permits
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  permits.Permits.may_send = lambda *_: True
  permits.Permits.take = lambda *_: True
  relayed_gateway.main()


if __name__ == '__main__':
  main()
