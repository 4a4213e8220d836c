"""A gateway with a deliberate bug, which the soak test must detect.

It takes all retries that the gateways may send together for its own.
"""

from mulberrypick.core import shared_retry_budget
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  budget = shared_retry_budget.SharedRetryBudget
  budget._own_slack = lambda self, now: self._slack
  relayed_gateway.main()


if __name__ == '__main__':
  main()
