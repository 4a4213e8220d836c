"""Tests of gateways whose endpoints want no requests for a while."""

import asyncio
import unittest

from mulberrypick.core import endpoint_hold_off
from mulberrypick.platform import gateway_leaving_test

# Time after the refusal from which on the endpoint must get nothing.
SETTLED_S = 0.5
# Requests that may reach it later.
MAX_LATE = 2


class HoldOffTest(gateway_leaving_test.LeavingTestCase):

  def hold_off(self, value: str, *names: str) -> None:
    for name in names:
      self.replica(name).hold_off = value

  def count_late(self, name: str, end_s: float) -> int:
    """Returns the arrivals that the refusal forbids."""
    arrivals = [at for at, _ in self.replica(name).told_arrivals]
    since = arrivals[0]
    return sum(since + SETTLED_S < at < since + end_s for at in arrivals)

  async def test_plain_endpoint(self):
    self.hold_off('1.6', 'desk-1')
    await self.send_load('/unsafe/x', 1.5)
    self.assertLessEqual(self.count_late('desk-1', 1.6), MAX_LATE)
    self.assertEqual({a.status for a in self.answers}, {200})
    arrivals = len(self.replica('desk-1').told_arrivals)
    await self.send_load('/unsafe/x', 0.6)
    self.assertGreater(len(self.replica('desk-1').told_arrivals), arrivals)

  async def test_engine_that_decodes(self):
    self.hold_off('2', 'writer-1')
    await self.send_load('/read/x', 1.5)
    self.assertLessEqual(self.count_late('writer-1', 2.0), MAX_LATE)
    self.assertEqual({a.status for a in self.answers}, {200})

  async def test_engine_that_prefills(self):
    self.hold_off('2', 'reader')
    await self.send_load('/read/x', 1.5)
    self.assertLessEqual(self.count_late('reader', 2.0), MAX_LATE)
    self.assertEqual({a.status for a in self.answers}, {200})

  async def test_all_endpoints_of_a_service(self):
    self.hold_off('1.5', 'desk-1')
    self.hold_off('4', 'desk-2')
    await self.send_load('/unsafe/x', 0.5)
    answer = await self.send('/unsafe/x')
    self.assertEqual(answer.status, 503)
    wait_s = float(answer.headers['retry-after'])
    self.assertGreater(wait_s, 0.5)
    self.assertLessEqual(wait_s, 1.5)
    for name in ('desk-1', 'desk-2'):
      self.assertLessEqual(self.count_late(name, 1.5), MAX_LATE)
      self.replica(name).hold_off = ''
    await asyncio.sleep(wait_s + 0.1)
    answer = await self.send('/unsafe/x')
    self.assertEqual(answer.status, 200)

  async def test_other_hosts_go_on(self):
    other = await self.start_gateway('host-2')
    await self.wait_until(lambda: len(list(other.state.endpoints.all())) == 5)
    replica = self.replica('desk-1')
    self.hold_off('3', 'desk-1')
    await self.send_until(lambda: replica.told_arrivals)
    replica.hold_off = ''
    await self.send_load('/unsafe/x', 0.3, other)
    self.assertTrue(
        any(r in replica.runs for r in self.sent_at), 'none ran at desk-1'
    )

  async def test_unreadable_values_are_bounded(self):
    for value in ('-5', 'Fri, 04 Dec 2026 15:00:00 GMT', '1e999', 'nan'):
      self.assertIsNone(endpoint_hold_off.parse_seconds(value), value)
    self.assertEqual(
        endpoint_hold_off.parse_seconds('99999999'),
        endpoint_hold_off.MAX_HOLD_OFF_S,
    )
    for value in (' 0.25 ', '45', '600'):
      seconds = endpoint_hold_off.parse_seconds(value)
      self.assertEqual(seconds, float(value))
    self.hold_off('soon', 'desk-1')
    with self.assertLogs(level='WARNING') as logged:
      await self.send_until(lambda: self.replica('desk-1').told_arrivals)
    self.assertIn('hold_off_unreadable', str(logged.output))


if __name__ == '__main__':
  unittest.main()
