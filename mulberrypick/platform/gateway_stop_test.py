"""Tests of requests at a gateway that shuts down."""

import asyncio
import time
import unittest

from mulberrypick.platform import gateway_pass_on_test
from mulberrypick.platform import gateway_test
from standins import gateway_cluster
from standins import late_caller

GRACE_S = 3.0
# Requests that are sent later than this after SIGTERM are never excused.
LATE_S = 1.4
# Longer than the time that is left then.
SLOW_WORK_S = 2.5
TIMEOUT_MS = 10_000
# More than the buffers of both sides hold.
LARGE_BYTES = 12 << 20
# Longer than the kernel's limit for unacknowledged bytes of other connections.
PAUSE_S = 4.0


def make_config() -> dict[str, object]:
  """Returns a configuration whose time limits outlast the grace period."""
  config = gateway_cluster.make_config(2)
  for route in config['routes']:
    route['timeoutMs'] = TIMEOUT_MS
  return config


class StopTestCase(gateway_test.GatewayTestCase):
  """Stops a gateway whose requests take longer than the grace period."""

  grace_s = GRACE_S

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.set_up_stop([self.gateway])

  async def set_up_stop(self, gateways) -> None:
    for gateway in gateways:
      bounds = self.host.bounds._replace(grace_s=self.grace_s)
      gateway.state.host = gateway.state.host._replace(bounds=bounds)
    self.cluster.store.put('config', 'main', make_config())
    await self.wait_until(
        lambda: all(g.state.config.version == 2 for g in gateways)
    )

  async def open_caller(self, gateway=None) -> late_caller.LateCaller:
    caller = late_caller.LateCaller()
    await caller.open((gateway or self.gateway).state.host.listen_port)
    self.addCleanup(caller.close)
    return caller

  def stop_gateway(self) -> None:
    self.stopped_at = time.monotonic()
    self.gateway._stop_requested.set()

  async def wait_for_end(self) -> float:
    """Waits until the process would exit; returns the time since SIGTERM."""
    await self.running
    took_s = time.monotonic() - self.stopped_at
    self.gateway.close()
    return took_s

  def arrivals(self) -> int:
    return sum(r.arrivals for r in self.cluster.replica_by_name.values())

  def assert_refused(self, received: bytes) -> None:
    """Checks for one complete response that says that nothing ran."""
    self.assertTrue(received.startswith(b'HTTP/1.1 503 '), received[:200])
    self.assertEqual(received.count(b'HTTP/1.1 '), 1, received)
    self.assertIn(b'Connection: close\r\n', received)
    self.assertIn(b'"run":"not_run"', received)


class LateRequestTest(StopTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=SLOW_WORK_S)

  async def test_late_body_is_not_passed_on(self):
    # Guards against requests that are cut at the end of a planned stop, and may
    # have run, because the last byte of their bodies came late.
    caller = await self.open_caller()
    caller.send_head('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    await asyncio.sleep(LATE_S)
    caller.send_body(b'xy')
    self.assert_refused(await caller.wait())
    self.assertEqual(self.arrivals(), 0)

  async def test_late_request_on_a_kept_connection_is_not_passed_on(self):
    # Guards against the same on a connection that a caller keeps: the head of
    # its stream was sent before SIGTERM and could not say that it closes.
    self.cluster.update_behaviour('engine', events=26, event_interval_s=0.05)
    caller = await self.open_caller()
    caller.send('/read/x', 'r0')
    await self.wait_until(lambda: b'\n\n' in caller.received)
    arrivals = self.arrivals()
    self.stop_gateway()
    await self.wait_until(lambda: b'\r\n0\r\n\r\n' in caller.received)
    caller.send('/unsafe/x', 'r1')
    received = await caller.wait()
    self.assert_refused(received.partition(b'\r\n0\r\n\r\n')[2])
    self.assertEqual(self.arrivals(), arrivals)

  async def test_pipelined_request_is_not_passed_on(self):
    # Guards against the same for a request that waited behind another one.
    self.cluster.update_behaviour('desk', work_s=1.6)
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r0')
    await self.wait_until(self.arrivals)
    caller.send('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    received = await caller.wait()
    first, _, second = received.rpartition(b'HTTP/1.1 ')
    self.assertTrue(first.startswith(b'HTTP/1.1 200 '), received)
    self.assert_refused(b'HTTP/1.1 ' + second)
    self.assertEqual(self.arrivals(), 1)

  async def test_request_behind_a_last_response_is_answered(self):
    # Guards against a request that was read whole and gets no response, or runs
    # for a caller that may ignore it: it crossed the head of a stream that says
    # that the connection closes. There is time to serve it.
    self.cluster.update_behaviour('desk', work_s=0.02)
    for number in range(10):
      answer = await self.call('/unsafe/x', f'before-{number}')
      self.assertEqual(answer.status, 200)
    self.cluster.update_behaviour(
        'engine', events=5, work_s=0.5, event_interval_s=0.3
    )
    caller = await self.open_caller()
    caller.send('/read/x', 'r0')
    await self.wait_until(lambda: self.cluster.runs('r0'))
    self.stop_gateway()
    await self.wait_until(lambda: b'Connection: close\r\n' in caller.received)
    caller.send('/unsafe/x', 'r1')
    received = await caller.wait()
    self.assert_refused(received.partition(b'\r\n0\r\n\r\n')[2])
    self.assertEqual(self.cluster.runs('r1'), 0)

  async def test_request_that_waits_is_not_sent_late(self):
    # Guards against a check at the arrival only: opening a connection to the
    # endpoint takes most of the grace period.
    usual = self.gateway.state.pool.acquire

    async def acquire(*args, **options):
      connection = await usual(*args, **options)
      await asyncio.sleep(LATE_S)
      return connection

    self.gateway.state.pool.acquire = acquire
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    self.assert_refused(await caller.wait())
    self.assertEqual(self.arrivals(), 0)

  async def test_request_under_way_at_the_end_is_answered(self):
    # Guards against a connection that closes without a response to a request
    # that was taken early in the stop.
    caller = await self.open_caller()
    self.cluster.update_behaviour('desk', work_s=2 * GRACE_S)
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    self.stop_gateway()
    received = await caller.wait()
    self.assertTrue(received.startswith(b'HTTP/1.1 502 '), received[:200])
    self.assertIn(b'"run":"unknown"', received)
    self.assertLess(await self.wait_for_end(), GRACE_S)

  async def test_short_requests_are_served_late(self):
    # Guards against refusing what could be served: the load balancer sends
    # requests for some time after SIGTERM.
    self.cluster.update_behaviour('desk', work_s=0.02)
    for number in range(10):
      answer = await self.call('/unsafe/x', f'before-{number}')
      self.assertEqual(answer.status, 200)
    caller = await self.open_caller()
    caller.send_head('/unsafe/x', 'r1')
    await asyncio.sleep(0.05)
    self.stop_gateway()
    await asyncio.sleep(LATE_S)
    caller.send_body(b'xy')
    received = await caller.wait()
    self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received[:200])


class LateStreamTest(StopTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('engine', events=100, event_interval_s=0.05)

  async def test_stream_that_would_be_cut_is_not_begun(self):
    # Guards against streams that are passed on late and broken off.
    headers = {
        'X-Mulberrypick-Deadline-Ms': '10000',
        'X-Mulberrypick-Token-Usage': '100,100',
    }
    self.stop_gateway()
    await asyncio.sleep(LATE_S)
    answer = await self.call('/read/x', 'r1', headers=headers)
    self.assertEqual(answer.status, 503)
    self.assertEqual(answer.headers['connection'], 'close')
    self.assertEqual(self.arrivals(), 0)


class SlowReaderTestCase(StopTestCase):
  """Callers that read slowly when the process ends."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    replica = self.cluster.replica_by_name['desk-1']
    self.cluster.store.remove('servers', 'desk-2')

    async def answer(request, headers, connection) -> bool:
      connection.write_response(
          200,
          [
              (b'X-Mulberrypick-Request-Id', request.encode()),
              (b'X-Mulberrypick-Server-Signature', b's'),
          ],
          bytes(LARGE_BYTES),
      )
      return True

    replica.on_run = answer
    await self.wait_until(
        lambda: self.gateway.state.endpoints.find('desk-2') is None
    )
    self.reader, self.writer = await asyncio.open_connection(
        '127.0.0.1', self.host.listen_port, limit=65536
    )
    self.addCleanup(self.writer.close)

  def send(self, request: str) -> None:
    head = (
        f'POST /safe/x HTTP/1.1\r\nHost: {gateway_cluster.HOST}\r\n'
        f'Content-Length: 0\r\nX-Mulberrypick-Request-Id: {request}\r\n\r\n'
    )
    self.writer.write(head.encode())

  async def read_rest(self) -> bytes:
    received = b''
    async with asyncio.timeout(10):
      while data := await self.reader.read(1 << 20):
        received += data
    return received


class SlowReaderTest(SlowReaderTestCase):

  async def test_response_in_a_buffer_is_delivered(self):
    # Guards against an exit that loses responses whose bytes are not sent yet.
    self.send('r1')
    received = await self.reader.read(1000)
    self.stop_gateway()
    end = asyncio.create_task(self.wait_for_end())
    # The port is closed by then, and nothing is being answered.
    await asyncio.sleep(0.6 * GRACE_S)
    received += await self.read_rest()
    self.assertGreater(len(received), LARGE_BYTES)
    self.assertLess(await end, GRACE_S)

  async def test_next_request_does_not_cut_a_response_in_a_buffer(self):
    # Guards against a reset that loses the unsent bytes of a response: its head
    # was written before SIGTERM, so the caller may send a next request.
    self.send('r1')
    received = await self.reader.read(1000)
    self.stop_gateway()
    end = asyncio.create_task(self.wait_for_end())
    await asyncio.sleep(0.6 * GRACE_S)
    self.send('r2')
    received += await self.read_rest()
    self.assertGreater(len(received), LARGE_BYTES)
    first, _, second = received.rpartition(b'HTTP/1.1 ')
    self.assertGreater(len(first), LARGE_BYTES)
    self.assert_refused(b'HTTP/1.1 ' + second)
    self.assertLess(await end, GRACE_S)


class PausingCallerTest(SlowReaderTestCase):

  async def test_host_that_passes_a_response_on_may_pause_too(self):
    # Guards against a stream that ends because its caller pauses: the host of
    # the caller stops reading too, and the kernel of the helper counts that.
    config = make_config() | {'version': 3}
    config['routes'][0]['timeoutMs'] = 11_000
    self.cluster.store.put('config', 'main', config)
    for server in (self.gateway._caller_server, self.gateway._forward_server):
      self.assertIsNone(server.user_timeout_s)
      await self.wait_until(lambda s=server: s.unread_timeout_s == 11.0)

  async def test_caller_that_pauses_gets_its_whole_response(self):
    # Guards against a kernel that drops what a caller has not read for three
    # seconds, without a line in the log.
    config = make_config() | {'version': 3}
    config['limits'] |= {'idleTimeoutMs': 20_000}
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 3)
    self.send('r1')
    received = len(await self.reader.read(1000))
    await asyncio.sleep(PAUSE_S)
    async with asyncio.timeout(10):
      while received < LARGE_BYTES:
        data = await self.reader.read(1 << 20)
        self.assertTrue(data, received)
        received += len(data)


class LeavingHelperTest(gateway_pass_on_test.PassOnTestCase, StopTestCase):
  """A host that is apart passes requests on to hosts of which one leaves."""

  hosts = 3

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.set_up_stop(self.gateways)
    self.cluster.update_behaviour('desk', work_s=SLOW_WORK_S)

  async def test_leaving_helper_takes_nothing_that_it_would_cut(self):
    # Guards against requests that are cut with the host that helps.
    helper = self.gateways[1]
    running = self.running_by_name[helper.state.host.name]
    running.add_done_callback(lambda _: helper.close())
    helper._stop_requested.set()
    await asyncio.sleep(1.0)
    # Of two helpers the one that leaves is asked first.
    helpers = self.asker.helpers
    usual = helpers.choose

    def choose(excluded, now):
      found = helpers.find(helper.state.host.name)
      if found.name not in excluded:
        return found
      return usual(excluded, now)

    helpers.choose = choose
    caller = await self.open_caller(self.gateways[0])
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    self.assertEqual(self.cluster.runs('r1'), 1)
    await running


if __name__ == '__main__':
  unittest.main()
