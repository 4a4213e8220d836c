"""A gateway with a known fault, to show that the soak finds it.

It sends a booking again after the endpoint broke off: the fault that costs
users most.
"""

from mulberrypick.ops import call_run
from mulberrypick.scripts import gateway


def main() -> None:
  """Runs the program with its fault."""
  call_run.CallRun._may_go_on = lambda self, step: True
  gateway.main()


if __name__ == '__main__':
  main()
