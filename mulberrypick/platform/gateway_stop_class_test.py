"""Tests that requests which were passed on are not cut by a planned stop."""

import asyncio
import unittest

from mulberrypick.core import run_times
from mulberrypick.platform import gateway_stop_test

SHORT_GRACE_S = 2.0
LONG_GRACE_S = 5.0
# Requests that are sent later than 3 s after SIGTERM may not be cut.
UNEXCUSED_S = 3.1
# Requests whose endpoints still work then may be cut.
MAY_CUT_FRACTION = 5 / 6
EVENT_INTERVAL_S = 0.05
PROMPT_HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '10000',
    'X-Mulberrypick-Token-Usage': '900,20',
    'X-Mulberrypick-Prefix-Hash': 'aa:500,bb:400',
}


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


class LateStreamTest(gateway_stop_test.StopTestCase):
  """Streams that are complete later than 3 s after SIGTERM.

  Nothing excuses that one of them is cut.
  """

  grace_s = LONG_GRACE_S

  async def asyncSetUp(self):
    await super().asyncSetUp()
    config = gateway_stop_test.make_config()
    config['version'] = 3
    config['limits'] |= {'headerTimeoutMs': 10_000, 'idleTimeoutMs': 10_000}
    self.cluster.store.put('config', 'main', config)
    server = self.gateway._caller_server
    await self.wait_until(lambda: server.limits.idle_timeout_s == 10.0)

  async def record_streams(self, usage: str = '') -> None:
    """Serves enough streams to predict how long the next one takes."""
    headers = {'X-Mulberrypick-Token-Usage': usage} if usage else {}
    for number in range(run_times.MIN_RUNS + 2):
      answer = await self.call('/read/x', f'before-{number}', headers=headers)
      self.assertTrue(answer.is_whole)

  async def send_late(
      self, usage: str = '', after_s: float = UNEXCUSED_S
  ) -> bytes:
    """Stops the gateway, and sends the end of a body late in the stop."""
    caller = await self.open_caller()
    caller.send_head('/read/x', 'late', usage=usage)
    await asyncio.sleep(0.05)
    self.stop_gateway()
    await asyncio.sleep(after_s)
    caller.send_body(b'xy')
    return await caller.wait()

  async def test_stream_of_unknown_size_is_not_begun(self):
    # Guards against streams that are broken off because all that ended lately
    # on their route were short: without a size they may be long.
    self.cluster.update_behaviour('engine', events=2)
    await self.record_streams()
    self.cluster.update_behaviour(
        'engine', events=150, event_interval_s=EVENT_INTERVAL_S
    )
    self.assert_refused(await self.send_late())
    self.assertEqual(self.cluster.runs('late'), 0)

  async def test_long_stream_on_a_route_of_short_ones_is_not_begun(self):
    # Guards against streams that are broken off because the pace of their
    # route was unknown: a response of one event shows none.
    self.cluster.update_behaviour('engine', events=1)
    await self.record_streams('100,1')
    self.cluster.update_behaviour(
        'engine', events=150, event_interval_s=EVENT_INTERVAL_S
    )
    self.assert_refused(await self.send_late('100,150'))
    self.assertEqual(self.cluster.runs('late'), 0)

  async def test_stream_at_a_slow_endpoint_is_not_begun(self):
    # Guards against streams that are broken off because their endpoint has
    # become slow, which none that has ended shows.
    self.cluster.update_behaviour('engine', events=20, event_interval_s=0.001)
    await self.record_streams('100,20')
    self.cluster.update_behaviour('engine', event_interval_s=0.4)
    slow = await self.open_caller()
    slow.send('/read/x', 'slow')
    self.assert_refused(await self.send_late('100,20'))
    self.assertEqual(self.cluster.runs('late'), 0)

  async def test_short_stream_of_unknown_size_is_served_early(self):
    # Guards against refusing what the load balancer sends before it notices.
    self.cluster.update_behaviour('engine', events=4, event_interval_s=0.01)
    await self.record_streams()
    received = await self.send_late(after_s=1.0)
    self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received[:200])
    self.assertTrue(received.endswith(b'0\r\n\r\n'), received)

  async def test_short_stream_of_known_size_is_served(self):
    # Guards against refusing what surely ends.
    self.cluster.update_behaviour('engine', events=4, event_interval_s=0.01)
    await self.record_streams('100,4')
    received = await self.send_late('100,4')
    self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received[:200])
    self.assertTrue(received.endswith(b'0\r\n\r\n'), received)


class WaitingRequestTest(gateway_stop_test.StopTestCase):
  """Requests that wait before they are sent."""

  async def test_wait_for_a_connection_is_no_progress(self):
    # Guards against requests that are sent late and cut because the time for
    # which they waited was taken off the time that their run needs.
    self.cluster.update_behaviour('desk', work_s=0.5)
    for number in range(run_times.MIN_RUNS):
      answer = await self.call('/unsafe/x', f'before-{number}')
      self.assertEqual(answer.status, 200)
    usual = self.gateway.state.pool.acquire

    async def acquire(*args, **options):
      connection = await usual(*args, **options)
      await asyncio.sleep(0.75 * self.grace_s)
      return connection

    self.gateway.state.pool.acquire = acquire
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    self.assert_refused(await caller.wait())
    self.assertEqual(self.cluster.runs('r1'), 0)

  async def test_decode_is_not_begun_after_a_late_prefill(self):
    # Guards against streams that are begun too late because another endpoint
    # took long to read their prompts.
    self.cluster.update_behaviour(
        'engine', events=20, event_interval_s=EVENT_INTERVAL_S
    )
    await asyncio.gather(
        *(
            self.call('/read/x', f'before-{number}', headers=PROMPT_HEADERS)
            for number in range(run_times.MIN_RUNS)
        )
    )
    reader = self.cluster.replica_by_name['reader']
    reader.behaviour = reader.behaviour._replace(work_s=0.7 * self.grace_s)
    headers = PROMPT_HEADERS | {'X-Mulberrypick-Prefix-Hash': 'cc:900'}
    arrivals = reader.arrivals
    call = asyncio.create_task(self.call('/read/x', 'r1', headers=headers))
    await self.wait_until(lambda: reader.arrivals > arrivals)
    self.stop_gateway()
    answer = await call
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)
    self.assertEqual(self.cluster.runs('r1'), 0)


class ReplacedEndpointTest(gateway_stop_test.StopTestCase):
  """Endpoints end beside the stop."""

  async def test_stream_goes_on_elsewhere_if_it_ends_in_time(self):
    # Guards against streams that are given up in a stop with their endpoint.
    self.cluster.update_behaviour(
        'engine', events=20, event_interval_s=EVENT_INTERVAL_S
    )
    await asyncio.gather(
        *(
            self.call('/ask/x', f'before-{number}', headers=PROMPT_HEADERS)
            for number in range(run_times.MIN_RUNS)
        )
    )
    call = asyncio.create_task(
        self.call('/ask/x', 'r1', headers=PROMPT_HEADERS)
    )
    replicas = self.cluster.replica_by_name.values()
    await self.wait_until(lambda: any(r.runs['r1'] for r in replicas))
    self.stop_gateway()
    await asyncio.sleep(3 * EVENT_INTERVAL_S)
    next(r for r in replicas if r.runs['r1']).stop()
    answer = await call
    self.assertTrue(answer.is_whole)
    self.assertEqual(self.cluster.runs('r1'), 2)
    for number in range(1, 21):
      self.assertEqual(answer.body.count(b'data: piece %d\n' % number), 1)


if __name__ == '__main__':
  unittest.main()
