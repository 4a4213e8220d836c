"""A gateway with a deliberate bug, which the soak test must detect.

It continues streams at any software version.
"""

from mulberrypick.core import gateway_records
from mulberrypick.core import stream_versions
from standins import relayed_gateway


def main() -> None:
  """Runs the gateway with the bug."""
  gateway_records.Call.may_run_at = lambda *_: True
  stream_versions.VersionHistory.only_version = lambda *_: 'any'
  relayed_gateway.main()


if __name__ == '__main__':
  main()
