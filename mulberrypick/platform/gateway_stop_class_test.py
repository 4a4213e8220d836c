"""Tests that requests which were passed on are not cut by a planned stop."""

import asyncio
import unittest

from mulberrypick.platform import gateway_stop_test

SHORT_GRACE_S = 2.0
# Requests whose endpoints still work then may be cut.
MAY_CUT_FRACTION = 5 / 6
EVENT_INTERVAL_S = 0.05


class ShortGraceTest(gateway_stop_test.StopTestCase):
  """Streams that last longer than a short grace period."""

  grace_s = SHORT_GRACE_S

  async def test_streams_are_not_cut_before_the_last_sixth(self):
    # Guards against streams that are broken off too early at a short grace
    # period, though their endpoints were at work.
    self.cluster.update_behaviour(
        'engine', events=140, event_interval_s=EVENT_INTERVAL_S
    )
    callers = []
    for number in range(6):
      caller = await self.open_caller()
      caller.send('/read/x', f'r{number}')
      callers.append(caller)
    await self.wait_until(lambda: all(b'\n\n' in c.received for c in callers))
    self.stop_gateway()
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    ends = [asyncio.create_task(caller.wait()) for caller in callers]
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    self.assertGreaterEqual(
        loop.time() - began_at, MAY_CUT_FRACTION * SHORT_GRACE_S
    )
    await self.wait_for_end()


if __name__ == '__main__':
  unittest.main()
