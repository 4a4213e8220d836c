"""A gateway with a deliberate bug, which the soak test must detect.

It forgets the crashes that requests caused.
"""

from mulberrypick.core import quarantine
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  quarantine.Quarantine.is_refused = lambda self, fingerprint, now: False
  relayed_gateway.main()


if __name__ == '__main__':
  main()
