"""Tests of time limits of routes and of response heads, on loopback."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.platform import gateway_test
from standins import gateway_cluster

ROUTE_LIMIT_MS = 400
# Time limit of callers, and duration of streams, far above that of the route.
CALLER_HEADERS = {'X-Mulberrypick-Deadline-Ms': '30000'}
EVENTS = 400
EVENT_INTERVAL_S = 0.05
# Time to the first event, above the limit for a head if another engine can run
# the request.
SLOW_HEAD_S = 0.9
# How early timers fire in the test (s). Those of uvloop do by up to 1 ms.
EARLY_S = 0.02


class RouteTimeoutTestCase(gateway_test.GatewayTestCase):
  """A gateway whose routes have a short time limit."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    config = gateway_cluster.make_config(2)
    for route in config['routes']:
      route['timeoutMs'] = ROUTE_LIMIT_MS
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 2)

  def outcomes(self) -> set[tuple[str, str, str]]:
    return set(self.gateway._call_log.count_by_outcome)


class RouteTimeoutTest(RouteTimeoutTestCase):

  async def test_call_without_answer_gets_504_at_the_limit_of_its_route(self):
    self.cluster.update_behaviour('desk', mode='mute')
    response = await self.call('/unsafe/x', 'r1', headers=CALLER_HEADERS)
    self.assertEqual(response.status, 504)

  async def test_stream_ends_at_the_limit_of_its_route(self):
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=EVENT_INTERVAL_S
    )
    for route in ('ask', 'read'):
      response = await self.call(f'/{route}/x', route, headers=CALLER_HEADERS)
      self.assertEqual(response.status, 200)
      self.assertFalse(response.is_whole)
      self.assertIn(('cut', 'timeout', route), self.outcomes())
      self.assertEqual(self.cluster.runs(route), 1)


class CoarseTimersTest(RouteTimeoutTestCase):
  """Timers that fire a moment before their time, as those of uvloop do."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    loop = asyncio.get_running_loop()
    usual = loop.call_at

    def call_early(when, callback, *args, **options):
      return usual(when - EARLY_S, callback, *args, **options)

    self.enterContext(mock.patch.object(loop, 'call_at', call_early))

  async def test_time_limit_is_not_taken_for_the_end_of_a_stop(self):
    # Guards against 502 `host_stopping` at a host that does not stop, for
    # requests that reach the time limit of their route.
    self.cluster.update_behaviour('desk', mode='mute')
    response = await self.call('/unsafe/x', 'r1', headers=CALLER_HEADERS)
    self.assertEqual(response.status, 504)
    self.assertIn(('failed', 'timeout', 'unsafe'), self.outcomes())


class UnsentTest(RouteTimeoutTestCase):

  async def test_request_that_was_not_sent_is_refused_at_its_limit(self):
    # Guards against 504 for a request that no endpoint received: its caller
    # must not send it again though that is safe.
    async def acquire(*args, **options):
      del args, options
      await asyncio.Event().wait()

    self.enterContext(
        mock.patch.object(self.gateway.state.pool, 'acquire', acquire)
    )
    response = await self.call('/unsafe/x', 'r1', headers=CALLER_HEADERS)
    self.assertEqual(response.status, 503)
    self.assertIn(b'"run":"not_run"', response.body)
    self.assertIn(('refused', 'timeout', 'unsafe'), self.outcomes())

  async def test_log_tells_whether_an_endpoint_has_the_request(self):
    # Guards against lines that look as if nothing was sent: `runs` does not
    # count the run that a request waits for.
    self.cluster.update_behaviour('desk', mode='mute')
    with self.assertLogs('mulberrypick.ops.call_log', 'INFO') as logs:
      await self.call('/unsafe/x', 'r1', headers=CALLER_HEADERS)
    (found,) = [r.msg for r in logs.records if r.msg.get('request') == 'r1']
    self.assertEqual(found['event'], 'call_failed')
    self.assertEqual(found['runs'], 0)
    self.assertTrue(found['is_sent'])


class OnlyEngineTest(gateway_test.GatewayTestCase):

  async def test_slow_head_of_the_only_decoding_engine_is_waited_for(self):
    # The engine that only prefills can't run the request.
    endpoints = self.gateway.state.endpoints
    self.cluster.store.remove('servers', 'writer-2')
    await self.wait_until(lambda: len(list(endpoints.all())) == 4)
    self.cluster.update_behaviour('engine', work_s=SLOW_HEAD_S)
    response = await self.call('/ask/x', 'r1')
    self.assertEqual(response.status, 200)
    self.assertTrue(response.is_whole)
    self.assertEqual(self.cluster.runs('r1'), 1)


if __name__ == '__main__':
  unittest.main()
