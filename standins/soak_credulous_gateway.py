"""A gateway with a deliberate bug, which the soak test must detect.

It takes a stream that ends inside an event for a complete one.
"""

from mulberrypick.core import event_stream
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  event_stream.EventSplitter.has_partial_event = False
  relayed_gateway.main()


if __name__ == '__main__':
  main()
