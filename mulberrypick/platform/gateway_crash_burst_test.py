"""Tests of a crashing request at hosts that do not hear of its crashes.

The users recorded bursts several seconds apart: in each one the caller sends
the request, and again to another host as soon as it fails.
"""

import asyncio
import unittest
from unittest import mock

from mulberrypick.ops import peer_links
from mulberrypick.platform import gateway_crash_test

# Begins of the bursts, in seconds after the first one.
BURSTS_AT_S = (0.0, 6.5, 11.1)
# Requests in a burst: the first one and one retry of the caller.
BURST_REQUESTS = 2
# Requests of a route that allows one attempt, each at the next host.
SINGLE_INTERVAL_S = 1.2


class BurstTest(gateway_crash_test.CrashTestCase):
  """Bursts at nine hosts, in which all endpoints of a service may crash."""

  hosts = 9

  def cut_peers(self) -> None:
    """Loses all messages between hosts from now on."""
    self.enterContext(
        mock.patch.object(peer_links.PeerLinks, 'send', lambda *_: None)
    )

  async def check_bursts(self) -> None:
    """Checks that few requests of the bursts reach endpoints."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    number = 0
    for at_s in BURSTS_AT_S:
      await asyncio.sleep(max(0.0, began_at + at_s - loop.time()))
      for _ in range(BURST_REQUESTS):
        await self.send_at(number, '/safe/x', b'crash=run')
        number += 1
    self.check_crashes()

  def check_crashes(self) -> None:
    crashes = len(self.cluster.crashed_at)
    self.assertGreaterEqual(crashes, 2)
    self.assertLessEqual(
        self.count_late_retries(),
        gateway_crash_test.MAX_LATE_RETRIES,
        f'{crashes} crashes',
    )

  async def test_request_repeated_in_bursts_reaches_few_endpoints(self):
    await self.check_bursts()

  async def test_bursts_at_hosts_that_do_not_reach_each_other(self):
    self.cut_peers()
    await self.check_bursts()

  async def test_single_crashes_at_hosts_that_do_not_reach_each_other(self):
    self.cut_peers()
    for number in range(self.hosts):
      await self.send_at(number, '/unsafe/x', b'crash=run')
      await asyncio.sleep(SINGLE_INTERVAL_S)
    self.check_crashes()


if __name__ == '__main__':
  unittest.main()
