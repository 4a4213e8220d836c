"""Tests of what gateways do once a prompt part is known to crash endpoints."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.core import crash_exchange
from mulberrypick.core import crashing_parts
from mulberrypick.core import part_exchange
from mulberrypick.ops import part_watch
from mulberrypick.platform import gateway_crash_part_test
from mulberrypick.platform import protocol
from standins import crash_point
from standins import gateway_cluster

FIRST_PART = gateway_crash_part_test.FIRST_PART


class VerdictTest(gateway_crash_part_test.CrashingPartTestCase):
  """Some gateways, and a part that three endpoints crashed on."""

  hosts = 3
  part = crash_point.make_part(crash_point.CrashPoint.RUN)

  async def crash_until_refused(self) -> None:
    """Sends requests with a crashing part until all gateways refuse it."""
    for number in range(20):
      await self.send_sound(number, '/read/x')
      answer = await self.send_crashing(number, self.part, '/read/x')
      if answer.status == 503:
        break
    await self.wait_until(
        lambda: all(
            gateway.state.part_watch.refusals()
            for gateway in self.gateway_by_name.values()
        )
    )

  async def assert_refused(self, **options) -> None:
    """Checks that gateways send no request with the part to endpoints."""
    arrivals = len(self.cluster.crashing_arrivals())
    for number in range(2 * self.hosts):
      for path in ('/read/x', '/ask/x'):
        answer = await self.send_crashing(number, self.part, path, **options)
        self.assertEqual(answer.status, 503)
        self.assertIn(b'part_crashes_endpoints', answer.body)
        self.assertIn(b'"run":"not_run"', answer.body)
    self.assertEqual(len(self.cluster.crashing_arrivals()), arrivals)

  async def assert_sound_served(self) -> None:
    for number in range(2 * self.hosts):
      await self.send_sound(number, '/read/x')
      self.assertTrue(self.sound[-1].is_served)

  async def test_requests_are_refused_before_their_prompt_is_read(self):
    await self.crash_until_refused()
    await self.assert_refused()
    await self.assert_sound_served()

  async def test_streams_that_callers_take_up_are_refused(self):
    await self.crash_until_refused()
    await self.assert_refused(Last_Event_Id='2', Resumes='r1')

  async def test_request_with_the_part_as_its_last_one_is_served(self):
    await self.crash_until_refused()
    own = next(self.numbers)
    answer = await gateway_cluster.call(
        self.host.listen_port,
        '/read/x',
        f'r{own}',
        {'X-Mulberrypick-Prefix-Hash': f'{FIRST_PART},{self.part}:700'},
        b'body %d' % own,
    )
    self.assertEqual(answer.status, 200)

  async def test_part_is_refused_after_all_hosts_restarted(self):
    await self.crash_until_refused()
    store = self.cluster.store
    await self.wait_until(lambda: store.names(protocol.REFUSALS_KIND))
    for running in (self.running, *self.running_by_name.values()):
      running.cancel()
    for gateway in self.gateway_by_name.values():
      gateway.close()
    self.gateway_by_name.clear()
    for number in range(1, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    await self.assert_refused()
    await self.assert_sound_served()

  async def test_gateway_that_starts_later_refuses_the_part(self):
    await self.crash_until_refused()
    for name in self.cluster.store.names(protocol.REFUSALS_KIND):
      self.cluster.store.remove(protocol.REFUSALS_KIND, name)
    late = await self.start_gateway('host-9')
    await self.wait_until(late.state.part_watch.refusals)

  async def test_gateway_that_starts_learns_of_crashes_before_their_turn(self):
    await self.crash_until_refused()
    for number in range(3):
      await self.send(number, [], '/unsafe/x', body=b'crash=run')
    for name in self.cluster.store.names(protocol.REFUSALS_KIND):
      self.cluster.store.remove(protocol.REFUSALS_KIND, name)
    for exchange in (crash_exchange, part_exchange):
      self.enterContext(
          mock.patch.object(exchange, 'REPEAT_INTERVAL_S', 1000.0)
      )
    late = await self.start_gateway('host-9')
    await self.wait_until(late.state.part_watch.refusals)
    now = asyncio.get_running_loop().time()
    self.assertTrue(late.state.quarantine.refused(now))

  async def test_wrong_refusal_ends_when_a_request_was_let_through(self):
    self.enterContext(mock.patch.object(crashing_parts, 'PROBE_S', 1.0))
    self.enterContext(mock.patch.object(part_watch, 'PROBE_TURN_S', 0.5))
    await self.crash_until_refused()
    store = self.cluster.store
    await self.wait_until(lambda: store.names(protocol.REFUSALS_KIND))
    # The part is sound from now on.
    self.enterContext(mock.patch.object(crash_point, 'PART_MARKER', 'none'))
    for number in range(self.hosts):
      async with asyncio.timeout(self.wait_timeout_s):
        answer = None
        while answer is None or answer.status != 200:
          await asyncio.sleep(0.05)
          answer = await self.send_crashing(number, self.part, '/read/x')
    for gateway in self.gateway_by_name.values():
      self.assertEqual(gateway.state.part_watch.refusals(), [])
    await self.wait_until(lambda: not store.names(protocol.REFUSALS_KIND))

  async def test_request_that_is_let_through_and_crashes_is_the_only_one(self):
    self.enterContext(mock.patch.object(crashing_parts, 'PROBE_S', 1.0))
    self.enterContext(mock.patch.object(crashing_parts, 'MIN_PAUSE_S', 0.5))
    self.enterContext(mock.patch.object(part_watch, 'PROBE_TURN_S', 0.5))
    await self.crash_until_refused()
    arrived = len({r for _, r in self.cluster.crashing_arrivals()})
    for number in range(40):
      await self.send_crashing(number, self.part, '/read/x')
      await asyncio.sleep(0.05)
    probes = len({r for _, r in self.cluster.crashing_arrivals()}) - arrived
    self.assertEqual(probes, 1)


if __name__ == '__main__':
  unittest.main()
