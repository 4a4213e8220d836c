"""A gateway with a deliberate bug, which the soak test must detect.

`host-2` ends by itself at its first request, until it is started again.
"""

import os

from mulberrypick.ops import gateway_task
from mulberrypick.platform import settings
from standins import relayed_gateway

EXIT_STATUS = 7


async def _end(*_: object) -> None:
  os._exit(EXIT_STATUS)


def main() -> None:
  """Runs the gateway with the bug."""
  host = settings.load_settings(settings.settings_path())
  if host.name == 'host-2' and host.is_first_start:
    gateway_task.GatewayTask.handle = _end
  relayed_gateway.main()


if __name__ == '__main__':
  main()
