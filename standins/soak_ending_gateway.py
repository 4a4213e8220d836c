"""A gateway with a deliberate bug, which the soak test must detect.

`host-2` ends by itself soon after its start.
"""

import asyncio
import sys

from mulberrypick.platform import settings
from mulberrypick.scripts import gateway
from mulberrypick.scripts import gateway_app

LIFE_S = 3.0
EXIT_STATUS = 7


async def _end(app: gateway_app.Gateway) -> None:
  await asyncio.sleep(LIFE_S)
  sys.exit(EXIT_STATUS)


def main() -> None:
  """Runs the gateway with the bug."""
  if settings.load_settings(settings.settings_path()).name == 'host-2':
    gateway_app.Gateway._sweep = _end
  gateway.main()


if __name__ == '__main__':
  main()
