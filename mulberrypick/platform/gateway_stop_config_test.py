"""Tests of a gateway that shuts down while its configuration changes."""

import asyncio
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from mulberrypick.platform import gateway_stop_test
from standins import bench_forwarding
from standins import late_caller

GRACE_S = gateway_stop_test.GRACE_S
# Work that is under way at SIGTERM and ends well within the grace period.
WORK_S = 1.2
# Time limit of a route, shorter than the work that is under way.
SHORT_LIMIT_MS = 300
# The grace period of all deployments, and a time after SIGTERM from which on no
# request that is sent may be cut.
LONG_GRACE_S = 8.0
UNEXCUSED_S = 3.1
BODY_BYTES = 60_000
# Limit of bodies that the part which was sent already exceeds.
SMALL_BODY_BYTES = 1000
# Tokens of the prompt and of the response.
USAGE = '100,160'


class ChangeTestCase(gateway_stop_test.StopTestCase):
  """Changes the configuration while a request is under way in a stop."""

  async def change_config(self, change) -> None:
    """Puts a changed configuration in force.

    Args:
      change: Changes the configuration that is in force.
    """
    config = gateway_stop_test.make_config()
    config['version'] = 3
    change(config)
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 3)

  def reload_settings(self) -> None:
    """Reads the settings again, as after SIGHUP, with another grace period."""
    folder = self.enterContext(tempfile.TemporaryDirectory())
    path = bench_forwarding.write_settings(
        self.host, pathlib.Path(folder), self.cluster.store.port
    )
    file = {'MULBERRYPICK_NODE_FILE': str(path)}
    with mock.patch.dict(os.environ, file):
      self.gateway._reload()
    self.assertGreater(self.gateway.state.host.bounds.grace_s, GRACE_S)

  async def send_and_stop(self, path: str) -> late_caller.LateCaller:
    """Sends a request, and stops the gateway once an endpoint has it."""
    caller = await self.open_caller()
    arrivals = self.arrivals()
    caller.send(path, 'r1')
    await self.wait_until(lambda: self.arrivals() > arrivals)
    self.stop_gateway()
    return caller


class RouteChangeTest(ChangeTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=WORK_S)
    self.cluster.update_behaviour('engine', events=24, event_interval_s=0.05)

  async def check_answers(self, change) -> None:
    """Checks that requests that are under way end whole after a change."""
    plain = await self.open_caller()
    plain.send('/unsafe/x', 'r0')
    await self.wait_until(self.arrivals)
    stream = await self.send_and_stop('/read/x')
    await self.change_config(change)
    self.reload_settings()
    received = await plain.wait()
    self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received[:200])
    received = await stream.wait()
    self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received[:200])
    self.assertTrue(received.endswith(b'\r\n0\r\n\r\n'), received[-200:])

  async def test_requests_of_removed_routes_end_whole(self):
    # Guards against answers that are cut with the route of their request.
    def remove(config):
      config['routes'] = config['routes'][:1]

    await self.check_answers(remove)

  async def test_requests_of_moved_routes_end_whole(self):
    # Guards against answers that are cut as their service changes.
    def move(config):
      for route in config['routes']:
        route['service'] = 'engine' if route['service'] == 'desk' else 'desk'

    await self.check_answers(move)

  async def test_requests_whose_time_limit_shrinks_end_whole(self):
    # Guards against a time limit that holds for requests sent before it.
    def shrink(config):
      for route in config['routes']:
        route['timeoutMs'] = SHORT_LIMIT_MS

    await self.check_answers(shrink)


class BodyTest(ChangeTestCase):

  async def test_body_that_exceeds_a_new_limit_is_answered(self):
    # Guards against a connection that is reset while its caller sends a body
    # that a new limit does not allow.
    caller = await self.open_caller()
    caller.send_head('/unsafe/x', 'r1', BODY_BYTES)
    caller.send_body(bytes(BODY_BYTES // 2))
    await asyncio.sleep(0.05)
    self.stop_gateway()

    def shrink(config):
      config['limits']['maxBodyBytes'] = SMALL_BODY_BYTES

    await self.change_config(shrink)
    self.reload_settings()
    await self.wait_until(
        lambda: self.gateway._caller_server.limits.max_body_bytes
        == SMALL_BODY_BYTES
    )
    for _ in range(3):
      caller.send_body(bytes(BODY_BYTES // 6))
      await asyncio.sleep(0.05)
    received = await caller.wait()
    (status,) = late_caller.parse_responses(received)
    self.assertIn(status, (200, 413))

  async def test_body_outlasts_an_idle_limit_that_shrinks(self):
    # Guards against a time limit that holds for a body begun before it.
    caller = await self.open_caller()
    caller.send_head('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()

    def shrink(config):
      config['limits']['idleTimeoutMs'] = SHORT_LIMIT_MS

    await self.change_config(shrink)
    self.reload_settings()
    await asyncio.sleep(2 * SHORT_LIMIT_MS / 1000)
    caller.send_body(b'xy')
    received = await caller.wait()
    # It is a matter of the stop whether the request is still sent on.
    (status,) = late_caller.parse_responses(received)
    self.assertIn(status, (200, 503))


class UnsentTest(ChangeTestCase):

  async def test_request_without_a_connection_is_refused_at_the_end(self):
    # Guards against 502 for a request that no endpoint received: another host
    # could serve it.
    async def acquire(*args, **options):
      del args, options
      await asyncio.Event().wait()

    self.enterContext(
        mock.patch.object(self.gateway.state.pool, 'acquire', acquire)
    )
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    self.assert_refused(await caller.wait())
    self.assertEqual(self.arrivals(), 0)


class SlowerServiceTest(ChangeTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    state = self.gateway.state
    bounds = state.host.bounds._replace(grace_s=LONG_GRACE_S)
    state.host = state.host._replace(bounds=bounds)

  async def test_stream_on_a_moved_route_is_not_cut(self):
    # Guards against a prediction from runs at the service before the move. All
    # requests are of one size.
    headers = {'X-Mulberrypick-Token-Usage': USAGE}
    self.cluster.update_behaviour('engine', events=5, event_interval_s=0.005)
    for number in range(10):
      request = f'before-{number}'
      answer = await self.call('/read/x', request, headers=headers)
      self.assertTrue(answer.is_whole)
    for number in (1, 2):
      slow = await self.cluster.add(f'slow-{number}', 'slow', 'decode')
      slow.behaviour = slow.behaviour._replace(
          events=160, event_interval_s=0.05
      )

    def move(config):
      config['limits']['idleTimeoutMs'] = gateway_stop_test.TIMEOUT_MS
      engine = config['services'][1]
      config['services'].append(engine | {'name': 'slow'})
      for route in config['routes']:
        if route['name'] == 'read':
          route['service'] = 'slow'

    await self.change_config(move)
    await self.wait_until(
        lambda: self.gateway.state.endpoints.find('slow-2') is not None
        and self.gateway._caller_server.limits.idle_timeout_s > LONG_GRACE_S
    )
    caller = await self.open_caller()
    caller.send_head('/read/x', 'r1', usage=USAGE)
    await asyncio.sleep(0.05)
    self.stop_gateway()
    await asyncio.sleep(UNEXCUSED_S)
    caller.send_body(b'xy')
    received = await caller.wait()
    if received.startswith(b'HTTP/1.1 200 '):
      self.assertTrue(received.endswith(b'\r\n0\r\n\r\n'), received[-200:])
    else:
      self.assert_refused(received)


if __name__ == '__main__':
  unittest.main()
