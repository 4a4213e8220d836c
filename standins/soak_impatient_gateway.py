"""A gateway with a deliberate bug, which the soak test must detect.

It breaks off a stream on a silent endpoint before another run is secured.
"""

import asyncio

from mulberrypick.core import errors
from mulberrypick.ops import endpoint_send
from standins import relayed_gateway


async def _read_some(
    send: endpoint_send.EndpointSend, limit: endpoint_send.SilenceLimit | None
) -> bytes:
  after_s = limit.after_s if limit is not None else None
  try:
    async with asyncio.timeout(after_s):
      return await send.exchange.read_some()
  except TimeoutError as error:
    raise errors.ExchangeBrokenError('stalled') from error


def main() -> None:
  """Runs the gateway with the bug."""
  endpoint_send.EndpointSend.read_some = _read_some
  relayed_gateway.main()


if __name__ == '__main__':
  main()
