"""Tests of requests that hosts pass on while one of them shuts down."""

import asyncio
import unittest

from mulberrypick.core import run_times
from mulberrypick.platform import gateway_pass_on_test
from mulberrypick.platform import gateway_stop_test

# Work that is not done when a helper or the host of the caller exits.
LONG_WORK_S = 2 * gateway_stop_test.GRACE_S
HEADERS = {'X-Mulberrypick-Deadline-Ms': '10000'}
# Time between the stops of two hosts.
BETWEEN_S = 0.6
EVENTS = 80
EVENT_INTERVAL_S = 0.05


class StopHelperTestCase(
    gateway_pass_on_test.PassOnTestCase, gateway_stop_test.StopTestCase
):
  """A host that is apart passes requests on, and hosts leave meanwhile."""

  hosts = 3

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.set_up_stop(self.gateways)

  def stop_number(self, number: int) -> None:
    """Sends the signal to a gateway, which closes its sockets at its end."""
    gateway = self.gateways[number]
    running = self.running
    if number:
      running = self.running_by_name[gateway.state.host.name]
    running.add_done_callback(lambda _: gateway.close())
    gateway._stop_requested.set()

  async def find_helper(self) -> int:
    """Returns the gateway that has taken the only request, and sent it."""
    await self.wait_until(lambda: any(g.state.taken for g in self.gateways))
    # A helper that leaves declines what no endpoint has yet.
    await self.wait_until(self.arrivals)
    return next(n for n, g in enumerate(self.gateways) if g.state.taken)

  def prefer(self, number: int) -> None:
    """Makes the host that is apart ask one helper before the others."""
    helpers = self.asker.helpers
    name = self.gateways[number].state.host.name
    usual = helpers.choose

    def choose(excluded, now):
      found = helpers.find(name)
      if found is not None and found.name not in excluded:
        return found
      return usual(excluded, now)

    helpers.choose = choose

  def check_events(self, body: bytes) -> None:
    for number in range(1, EVENTS + 1):
      self.assertEqual(body.count(b'data: piece %d\n' % number), 1, number)


class HelperStopsTest(StopHelperTestCase):
  """The helper shuts down, the host of the caller does not."""

  async def test_resumable_stream_goes_on_at_another_helper(self):
    # Guards against streams that end with the host that helps.
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=EVENT_INTERVAL_S
    )
    call = asyncio.create_task(self.send_at(0, 'ask', headers=HEADERS))
    self.stop_number(await self.find_helper())
    answer = await call
    self.assertTrue(answer.is_whole)
    self.check_events(answer.body)

  async def test_plain_request_under_way_gets_a_truthful_failure(self):
    # Guards against a connection that closes without a response.
    self.cluster.update_behaviour('desk', work_s=LONG_WORK_S)
    call = asyncio.create_task(self.send_at(0, 'unsafe', headers=HEADERS))
    self.stop_number(await self.find_helper())
    answer = await call
    self.assertEqual(answer.status, 502)
    self.assertIn(b'"run":"unknown"', answer.body)

  async def test_leaving_helper_begins_no_stream_of_unknown_size(self):
    # Guards against streams that are cut with the host that helps, because
    # those that it served before were short.
    self.cluster.update_behaviour('engine', events=2)
    for number in range(run_times.MIN_RUNS):
      headers = HEADERS | {'X-Mulberrypick-Token-Usage': ''}
      request = f'before-{number}'
      answer = await self.send_at(1, 'read', request=request, headers=headers)
      self.assertTrue(answer.is_whole)
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=EVENT_INTERVAL_S
    )
    self.prefer(1)
    self.stop_number(1)
    await asyncio.sleep(BETWEEN_S)
    headers = HEADERS | {'X-Mulberrypick-Token-Usage': ''}
    answer = await self.send_at(0, 'read', headers=headers, request='r1')
    self.assertTrue(answer.is_whole)
    self.check_events(answer.body)
    self.assertEqual(self.cluster.runs('r1'), 1)


class BothStopTest(StopHelperTestCase):
  """The host of the caller shuts down, and its helper too."""

  async def test_plain_request_gets_a_truthful_failure_if_both_leave(self):
    # Guards against a connection that closes without a response.
    self.cluster.update_behaviour('desk', work_s=LONG_WORK_S)
    call = asyncio.create_task(self.send_at(0, 'unsafe', headers=HEADERS))
    helper = await self.find_helper()
    self.stop_number(0)
    await asyncio.sleep(BETWEEN_S)
    self.stop_number(helper)
    answer = await call
    self.assertEqual(answer.status, 502)
    self.assertIn(b'"run":"unknown"', answer.body)

  async def test_request_is_not_passed_on_late(self):
    # Guards against requests that are passed on, and end with this process,
    # because a connection to the helper took some time.
    self.cluster.update_behaviour('desk', work_s=LONG_WORK_S)
    usual = self.asker.forward_links.acquire

    async def acquire(*args):
      connection = await usual(*args)
      await asyncio.sleep(0.75 * self.grace_s)
      return connection

    self.asker.forward_links.acquire = acquire
    call = asyncio.create_task(
        self.send_at(0, 'unsafe', headers=HEADERS, request='r1')
    )
    await asyncio.sleep(0.05)
    self.stop_number(0)
    answer = await call
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)
    self.assertIn(b'host_stopping', answer.body)
    self.assertEqual(self.cluster.runs('r1'), 0)

  async def test_request_is_not_passed_on_again_late(self):
    # Guards against the same after the first helper has ended.
    self.cluster.update_behaviour('desk', work_s=LONG_WORK_S)
    call = asyncio.create_task(
        self.send_at(0, 'safe', headers=HEADERS, request='r1')
    )
    helper = await self.find_helper()
    self.stop_number(0)
    await asyncio.sleep(0.5 * self.grace_s)
    arrivals = self.arrivals()
    await self.stop_host(helper)
    answer = await call
    self.assertEqual(answer.status, 502)
    self.assertIn(b'"run":"unknown"', answer.body)
    self.assertEqual(self.arrivals(), arrivals)


if __name__ == '__main__':
  unittest.main()
