"""Tests for the KV events of the simulated replica."""

import asyncio
import unittest

import msgspec

from standins import fleet_replica
from standins import gateway_cluster

PROMPT = {'X-Mulberrypick-Prefix-Hash': 'aa:100,bb:50'}


class PartEventsTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    self.replica = fleet_replica.FleetReplica('e1', 'engine', 'decode')
    self.replica.behaviour = fleet_replica.Behaviour(events=1, rate=1e6)
    await self.replica.start(gateway_cluster.free_ports(1)[0])

  async def asyncTearDown(self):
    self.replica.stop()

  async def request_events(self, since: int, wait_ms: int = 0) -> dict:
    answer = await gateway_cluster.call(
        self.replica.port,
        f'/mulberrypick/kv-events?since={since}',
        '',
        {'Wait-Ms': str(wait_ms)},
        method='GET',
    )
    self.assertEqual(answer.status, 200)
    return msgspec.json.decode(answer.body)

  async def prefill_prompt(self) -> None:
    await gateway_cluster.call(self.replica.port, '/ask/x', 'r1', PROMPT)

  async def test_parts_are_reported_once_and_in_order(self):
    await self.prefill_prompt()
    batch = await self.request_events(0)
    self.assertEqual([item[3] for item in batch['events']], ['aa', 'bb'])
    self.assertFalse(batch['lost'])
    again = await self.request_events(batch['nextPageToken'])
    self.assertEqual(again['events'], [])

  async def test_a_call_waits_for_the_next_part(self):
    waiting = asyncio.create_task(self.request_events(0, 10_000))
    async with asyncio.timeout(10):
      while not self.replica._waiting_calls:
        await asyncio.sleep(0.005)
    await self.prefill_prompt()
    batch = await waiting
    self.assertGreaterEqual(len(batch['events']), 1)

  async def test_lost_events_are_reported_and_too_many_waiting_calls_refused(
      self,
  ):
    for number in range(fleet_replica.MAX_RETAINED_EVENTS + 1):
      self.replica._record_part(f'p{number}', 1)
    self.assertTrue((await self.request_events(0))['lost'])
    self.replica._waiting_calls = fleet_replica.MAX_WAITING_CALLS
    answer = await gateway_cluster.call(
        self.replica.port, '/mulberrypick/kv-events', '', method='GET'
    )
    self.assertEqual(answer.status, 429)


if __name__ == '__main__':
  unittest.main()
