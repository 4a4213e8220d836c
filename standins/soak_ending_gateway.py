"""A gateway with a deliberate bug, which the soak test must detect.

`host-2` ends by itself soon after its first start.
"""

import asyncio
import sys

from mulberrypick.platform import settings
from mulberrypick.scripts import gateway_app
from standins import relayed_gateway

LIFE_S = 3.0
EXIT_STATUS = 7


async def _end(app: gateway_app.Gateway) -> None:
  await asyncio.sleep(LIFE_S)
  sys.exit(EXIT_STATUS)


def main() -> None:
  """Runs the gateway with the bug."""
  host = settings.load_settings(settings.settings_path())
  if host.name == 'host-2' and host.is_first_start:
    gateway_app.Gateway._sweep = _end
  relayed_gateway.main()


if __name__ == '__main__':
  main()
