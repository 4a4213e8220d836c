"""Tests of hosts that pass on answers of endpoints that leave.

The hosts do not hear from each other which endpoints leave.
"""

import asyncio
import unittest

from mulberrypick.platform import gateway_pass_on_test

REQUESTS = 24


class ToldByHelperTest(gateway_pass_on_test.PassOnTestCase):

  hosts = 2

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=0.02)
    for gateway in self.gateways:
      gateway._peers._update_endpoints = lambda *_: None

  async def check_left(self, route: str, name: str) -> None:
    replica = self.cluster.replica_by_name[name]
    replica.is_saying_it_leaves = True
    await self.send_all(route)
    self.assertTrue(replica.told_arrivals, 'no answer of it was passed on')
    self.heal()
    await self.wait_until(lambda: not self.asker.reach.is_apart)
    arrived = len(replica.told_arrivals)
    await self.send_all(route)
    self.assertEqual(len(replica.told_arrivals), arrived)

  async def send_all(self, route: str) -> None:
    """Sends requests side by side, so that all endpoints are used."""
    answers = await asyncio.gather(
        *(self.send_at(0, route) for _ in range(REQUESTS))
    )
    self.assertEqual({answer.status for answer in answers}, {200})

  async def test_plain_endpoint_that_leaves_gets_nothing_of_its_asker(self):
    await self.check_left('unsafe', 'desk-1')

  async def test_engine_that_leaves_gets_nothing_of_its_asker(self):
    await self.check_left('read', 'writer-1')


if __name__ == '__main__':
  unittest.main()
