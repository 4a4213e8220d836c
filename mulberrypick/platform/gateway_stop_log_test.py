"""Tests of what a gateway that shuts down logs of the requests that it ends."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.adapters import server_connection
from mulberrypick.core import run_times
from mulberrypick.ops import forward_message
from mulberrypick.ops import stop_guard
from mulberrypick.platform import gateway_stop_test
from standins import gateway_cluster

LONG_S = 2 * gateway_stop_test.GRACE_S
IDLE_TIMEOUT_MS = 20_000
UNSAFE_WORK = run_times.Work('unsafe', 'desk')
ACTIVITY = server_connection.Activity


class StopLogTest(gateway_stop_test.StopTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    config = gateway_stop_test.make_config() | {'version': 3}
    config['limits'] |= {'idleTimeoutMs': IDLE_TIMEOUT_MS}
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 3)
    self.cluster.update_behaviour('desk', work_s=LONG_S)
    self.lines = self.enterContext(self.assertLogs('mulberrypick', 'INFO'))

  def find(self, event: str, request: str = '') -> dict[str, object]:
    """Returns the fields of the only line of an event, of a request."""
    found = []
    for record in self.lines.records:
      fields = record.msg
      if not isinstance(fields, dict) or fields['event'] != event:
        continue
      if not request or fields.get('request') == request:
        found.append(fields)
    self.assertEqual(len(found), 1, (event, request, self.lines.output))
    return found[0]

  async def send(self, path: str = '/unsafe/x', request: str = 'r1') -> None:
    """Sends a request, and waits until it is at an endpoint."""
    caller = await self.open_caller()
    arrivals = self.arrivals()
    caller.send(path, request)
    await self.wait_until(lambda: self.arrivals() > arrivals)
    self.caller = caller

  def count(self, activity: server_connection.Activity) -> int:
    """Returns the number of callers' connections that are so used."""
    connections = self.gateway._caller_server.connections
    return sum(c.activity is activity for c in connections)

  async def stop_and_wait(self) -> None:
    self.stop_gateway()
    await self.wait_for_end()

  async def test_request_that_waits_for_its_answer(self):
    # Guards against a stop that ends a request without saying why.
    await self.send()
    await self.stop_and_wait()
    line = self.find('call_failed', 'r1')
    self.assertEqual(line['reason'], stop_guard.STOPPING)
    self.assertEqual(line['ran'], 'sent')
    self.assertTrue(line['endpoint'].startswith('desk-'))
    self.assertGreater(line['after_s'], 1.0)
    self.assertEqual(line['basis'], 'before_stop')
    self.assertLessEqual(line['left_s'], 0.01)

  async def test_stream_that_is_broken_off(self):
    # Guards against the same of a stream.
    self.cluster.update_behaviour('engine', events=400, event_interval_s=0.05)
    await self.send('/read/x')
    await self.wait_until(lambda: b'\n\n' in self.caller.received)
    await self.stop_and_wait()
    line = self.find('call_cut', 'r1')
    self.assertEqual(line['reason'], stop_guard.STOPPING)
    self.assertEqual(line['ran'], 'runs')
    self.assertEqual(line['basis'], 'before_stop')
    self.assertGreater(line['events'], 0)

  async def test_refused_request_names_its_prediction(self):
    # Guards against a refusal that can't be judged afterwards.
    times = self.gateway.state.stop.times
    for _ in range(run_times.MIN_RUNS):
      times.record(UNSAFE_WORK, run_times.RunTime(4.0, 4.0))
    self.stop_gateway()
    await self.wait_until(lambda: self.gateway.state.is_leaving)
    headers = {'X-Mulberrypick-Deadline-Ms': '10000'}
    for path in ('safe', 'unsafe'):
      answer = await self.call(f'/{path}/x', path, headers=headers)
      self.assertEqual(answer.status, 503)
    await self.wait_for_end()
    line = self.find('call_refused', 'unsafe')
    self.assertEqual(line['ran'], 'not_sent')
    self.assertEqual(line['basis'], 'run_times')
    self.assertGreater(line['needed_s'], line['left_s'])
    self.assertLessEqual(line['needed_s'], 4.0 * run_times.SAFETY_FACTOR)
    self.assertGreater(line['left_s'], 0.0)
    line = self.find('call_refused', 'safe')
    self.assertEqual(line['basis'], 'unknown')
    self.assertIsNone(line['needed_s'])

  async def test_request_that_outlasts_its_prediction(self):
    # Guards against a cut without the prediction that let the request be sent.
    times = self.gateway.state.stop.times
    for _ in range(run_times.MIN_RUNS):
      times.record(UNSAFE_WORK, run_times.RunTime(0.1, 0.1))
    self.stop_gateway()
    await self.wait_until(lambda: self.gateway.state.is_leaving)
    await self.send()
    await self.wait_for_end()
    line = self.find('call_failed', 'r1')
    self.assertEqual(line['ran'], 'sent')
    self.assertEqual(line['basis'], 'run_times')
    self.assertGreaterEqual(line['needed_s'], 0.0)
    self.assertLessEqual(line['needed_s'], 0.1 * run_times.SAFETY_FACTOR)
    self.assertGreater(line['judged_left_s'], line['needed_s'])
    self.assertLessEqual(line['left_s'], 0.01)

  async def test_body_that_is_half_received(self):
    # Guards against a connection that the exit closes without a line.
    caller = await self.open_caller()
    caller.send_head('/unsafe/x', 'r1')
    await self.wait_until(lambda: self.count(ACTIVITY.RECEIVING))
    await self.stop_and_wait()
    line = self.find('call_unreceived', 'r1')
    self.assertEqual(line['reason'], stop_guard.STOPPING)
    self.assertEqual(self.find('stopped')['receiving'], 1)

  async def test_requests_that_are_open_at_the_exit(self):
    # Guards against lines that say that the caller has left, or none, for
    # connections that this process ends.
    self.enterContext(
        mock.patch.object(self.gateway.state.stop, 'give_up', lambda: 0)
    )
    await self.send()
    self.caller.send('/unsafe/x', 'r2')
    connections = self.gateway._caller_server.connections
    await self.wait_until(lambda: any(c.waiting for c in connections))
    await self.stop_and_wait()
    line = self.find('call_cut', 'r1')
    self.assertEqual(line['reason'], stop_guard.STOPPING)
    self.assertEqual(line['ran'], 'sent')
    line = self.find('call_cut', 'r2')
    self.assertEqual(line['ran'], 'not_sent')
    self.assertFalse(any('call_left' in line for line in self.lines.output))
    self.assertEqual(self.find('stopped')['answering'], 1)

  async def test_caller_that_leaves_in_a_stop_has_left(self):
    # Guards against a stop that is blamed for what a caller ended.
    await self.send()
    self.stop_gateway()
    self.caller.close()
    await self.wait_for_end()
    self.assertEqual(self.find('call_left', 'r1')['reason'], 'caller_left')

  async def test_stream_whose_version_is_being_looked_for(self):
    # Guards against a connection that closes at the exit without an answer,
    # and without a line.
    versions = self.gateway._peers.versions
    found = asyncio.Event()
    find = self.enterContext(
        mock.patch.object(
            versions, 'find', new=mock.Mock(side_effect=lambda _: found.wait())
        )
    )
    headers = {'Last-Event-ID': '3', 'X-Mulberrypick-Deadline-Ms': '10000'}
    call = asyncio.create_task(self.call('/ask/x', 'r1', headers=headers))
    await self.wait_until(lambda: find.called)
    await self.stop_and_wait()
    answer = await call
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)
    line = self.find('call_refused', 'r1')
    self.assertEqual(line['reason'], stop_guard.STOPPING)

  async def test_begin_and_end_of_a_stop_tell_what_was_open(self):
    # Guards against a stop of which nobody can tell what it met and ended.
    await self.send()
    receiving = await self.open_caller()
    receiving.send_head('/unsafe/x', 'r2')
    await self.open_caller()
    await self.wait_until(
        lambda: self.count(ACTIVITY.RECEIVING) and self.count(ACTIVITY.IDLE)
    )
    await self.stop_and_wait()
    begin, end = self.find('stopping'), self.find('stopped')
    self.assertEqual(begin['answering'], 1)
    self.assertEqual(begin['receiving'], 1)
    self.assertEqual(begin['unsent'], 0)
    self.assertGreaterEqual(begin['idle'], 1)
    self.assertEqual(end['failed'], 1)
    self.assertEqual(end['unreceived'], 1)
    self.assertEqual(end['refused'], 0)
    self.assertEqual(end['answering'], 0)
    self.assertEqual(end['receiving'], 1)
    self.assertGreaterEqual(end['closed_idle'], 1)


class SlowHostTest(gateway_stop_test.StopTestCase):
  """Another host does not read the answers to what it has passed on."""

  async def asyncSetUp(self):
    await super().asyncSetUp()

    async def answer(request, headers, connection) -> bool:
      found = {
          b'X-Mulberrypick-Request-Id': request.encode(),
          b'X-Mulberrypick-Server-Signature': b's',
      }
      connection.write_response(
          200, list(found.items()), bytes(gateway_stop_test.LARGE_BYTES)
      )
      return True

    for name in ('desk-1', 'desk-2'):
      self.cluster.replica_by_name[name].on_run = answer
    other = await self.start_gateway('host-2')
    peers = self.gateway._peers
    await self.wait_until(lambda: peers.is_host(other.state.host.ip))

  async def test_response_to_another_host_that_is_not_delivered(self):
    # Guards against a response that the exit cuts without a line.
    request = forward_message.ForwardedRequest(
        host='host-2',
        method=b'POST',
        target=b'/safe/x',
        headers=[
            (b'Host', gateway_cluster.HOST.encode()),
            (b'X-Mulberrypick-Request-Id', b'r1'),
        ],
        body=b'',
        peer='127.0.0.1',
        elapsed_s=0.0,
        config_version=2,
    )
    body = forward_message.encode_request(request)
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', self.host.forward_port, limit=65536
    )
    self.addCleanup(writer.close)
    head = (
        f'POST {forward_message.PATH.decode()} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    with self.assertLogs('mulberrypick', 'INFO') as lines:
      writer.write(head.encode() + body)
      await reader.read(1000)
      self.stop_gateway()
      await self.wait_for_end()
    found = [
        record.msg
        for record in lines.records
        if record.msg['event'] == 'call_undelivered'
    ]
    self.assertEqual(len(found), 1, lines.output)
    self.assertEqual(found[0]['request'], 'r1')
    self.assertEqual(found[0]['reason'], stop_guard.STOPPING)
    self.assertGreater(found[0]['unsent_bytes'], 0)


if __name__ == '__main__':
  unittest.main()
