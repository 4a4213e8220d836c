"""Tests of errors and signals that must not end a gateway out of order."""

import asyncio
import os
import signal
import time
import unittest
from unittest import mock

from mulberrypick.adapters import server_connection
from mulberrypick.core import stop_schedule
from mulberrypick.ops import gateway_peers
from mulberrypick.platform import gateway_stop_test
from mulberrypick.scripts import gateway_app

# Long enough to be under way when a fault occurs, and shorter than the grace.
WORK_S = 0.8
BLOCKED_S = 1.0
# The port of a stop closes after 3 s of it.
LONG_GRACE_S = 8.0


class TaskFaultTest(gateway_stop_test.StopTestCase):
  """A task of the gateway ends while it serves."""

  async def asyncSetUp(self):
    self.fault = asyncio.Event()
    self.error: BaseException = RuntimeError('x')
    self.starts = 0
    self.enterContext(mock.patch.object(gateway_app, 'TASK_RESTART_S', 0.01))

  async def start(self, owner: type, name: str) -> None:
    """Starts a gateway with a method that raises when `fault` is set."""
    usual = getattr(owner, name)

    async def run(*args):
      self.starts += 1
      if self.fault.is_set():
        return await usual(*args)
      task = asyncio.create_task(usual(*args))
      try:
        await self.fault.wait()
      finally:
        task.cancel()
      raise self.error

    self.enterContext(mock.patch.object(owner, name, run))
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=WORK_S)

  async def assert_serves_on(self) -> None:
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    self.fault.set()
    await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    await self.wait_until(lambda: self.starts == 2)
    self.assertFalse(self.running.done())

  async def test_fault_of_the_peer_task_does_not_end_the_process(self):
    # Guards against a process that ends at once, with all open requests, when
    # the task that hears other hosts raises.
    await self.start(gateway_peers.PeerTask, '_receive')
    with self.assertLogs(gateway_app.__name__, 'ERROR') as lines:
      await self.assert_serves_on()
    self.assertIn("'event': 'task_fault'", lines.output[0])

  async def test_stray_cancellation_does_not_end_the_process(self):
    # Guards against the same when what a task waits for is cancelled.
    self.error = asyncio.CancelledError()
    await self.start(gateway_app.Gateway, '_sweep')
    with self.assertLogs(gateway_app.__name__, 'ERROR') as lines:
      await self.assert_serves_on()
    self.assertIn("'event': 'task_fault'", lines.output[0])

  async def test_task_that_ends_leaves_time_for_open_requests(self):
    # Guards against an end of the process without the schedule of a stop.
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=WORK_S)
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    with self.assertLogs(gateway_app.__name__, 'ERROR') as lines:
      for task in asyncio.all_tasks():
        if task.get_coro().__name__ == '_keep_running':
          task.cancel()
          break
      await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    self.assertIn("'event': 'task_ended'", lines.output[0])
    await self.running


class _FaultyTask:
  """Raises when it is cancelled.

  Attributes:
    starts: How often it was started.
  """

  def __init__(self):
    self.starts = 0

  async def run(self) -> None:
    self.starts += 1
    try:
      await asyncio.Event().wait()
    finally:
      raise RuntimeError('x')


class CancelledTaskTest(unittest.IsolatedAsyncioTestCase):

  async def test_error_of_a_cancelled_task_does_not_start_it_again(self):
    # Guards against tasks that outlast the exit, as their sockets are closed
    # before they get to their cancellation.
    self.enterContext(mock.patch.object(gateway_app, 'TASK_RESTART_S', 0.01))
    task = _FaultyTask()
    running = asyncio.create_task(gateway_app._keep_running(task.run))
    while not task.starts:
      await asyncio.sleep(0)
    with self.assertLogs(gateway_app.__name__, 'ERROR'):
      running.cancel()
      await asyncio.wait([running], timeout=0.2)
    self.assertTrue(running.done())
    self.assertEqual(task.starts, 1)


class StopFaultTest(gateway_stop_test.StopTestCase):
  """A step of the stop raises."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=WORK_S)

  def outlast_port(self) -> None:
    """Makes requests end after the port closes, long before the process."""
    host = self.gateway.state.host
    bounds = host.bounds._replace(grace_s=LONG_GRACE_S)
    self.gateway.state.host = host._replace(bounds=bounds)
    notice_s = stop_schedule.BALANCER_NOTICE_S
    self.cluster.update_behaviour('desk', work_s=notice_s + 0.3)

  async def check_stop(self) -> None:
    """Checks that a stop waits for a request that is under way."""
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    with self.assertLogs('mulberrypick.scripts', 'ERROR') as lines:
      self.stop_gateway()
      await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
      self.assertFalse(self.running.done())
      await self.running
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    found = [line for line in lines.output if "'stop_failed'" in line]
    self.assertEqual(len(found), 1, lines.output)

  async def test_fault_while_other_hosts_are_told(self):
    # Guards against a process that ends at SIGTERM, with all open requests.
    peers = self.gateway._peers
    usual = peers._table.update_neighbors

    def update_neighbors(*args):
      if self.gateway.state.is_leaving:
        raise RuntimeError('x')
      usual(*args)

    self.enterContext(
        mock.patch.object(peers._table, 'update_neighbors', update_neighbors)
    )
    self.enterContext(mock.patch.object(peers, '_log_fault'))
    await self.check_stop()

  async def test_fault_while_the_host_entry_is_removed(self):
    # Guards against an error that nobody notices.
    self.enterContext(
        mock.patch.object(
            self.gateway._hosts._client, 'remove', side_effect=RuntimeError('x')
        )
    )
    await self.check_stop()

  async def test_fault_while_idle_connections_are_closed(self):
    # Guards against a process that ends when its port closes, with all open
    # requests. They outlast that here.
    self.outlast_port()
    self.enterContext(
        mock.patch.object(
            self.gateway._caller_server,
            'close_idle',
            side_effect=RuntimeError('x'),
        )
    )
    await self.check_stop()

  async def test_fault_while_the_port_is_closed(self):
    # Guards against the same.
    self.outlast_port()
    self.enterContext(
        mock.patch.object(
            self.gateway._forward_server,
            'stop_listening',
            side_effect=(RuntimeError('x'), None),
        )
    )
    await self.check_stop()


class SignalTest(gateway_stop_test.StopTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour('desk', work_s=WORK_S)

  async def test_schedule_counts_from_the_signal(self):
    # Guards against SIGKILL in the middle of a stop: it comes when the grace
    # period is over since SIGTERM, also if the event loop was busy then.
    loop = asyncio.get_running_loop()
    signalled_at = loop.time()
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(BLOCKED_S)
    await self.wait_until(lambda: self.gateway.state.is_leaving)
    self.assertLess(
        self.gateway.state.stop.end_at,
        signalled_at + gateway_stop_test.GRACE_S,
    )

  async def test_further_signals_do_not_shorten_or_prolong_a_stop(self):
    # Guards against a second SIGTERM that ends the process at once, or begins
    # the grace period anew.
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    os.kill(os.getpid(), signal.SIGTERM)
    await self.wait_until(lambda: self.gateway.state.is_leaving)
    end_at = self.gateway.state.stop.end_at
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
      os.kill(os.getpid(), number)
      await asyncio.sleep(0.05)
    await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    self.assertEqual(self.gateway.state.stop.end_at, end_at)
    await self.running

  async def test_signal_before_the_start_stops_in_order(self):
    # Guards against a SIGTERM that is forgotten, or ends the process at once,
    # because it comes before the ports are open.
    host = self.cluster.make_host('host-2')
    other = gateway_app.Gateway(host)
    other._signals.install()
    os.kill(os.getpid(), signal.SIGTERM)
    running = asyncio.create_task(other.run())
    self.addCleanup(other.close)
    await self.wait_until(lambda: other.state.is_leaving)
    self.assertFalse(other.state.is_ready)
    async with asyncio.timeout(gateway_stop_test.TIMEOUT_MS / 1000):
      await running


class CallbackFaultTest(gateway_stop_test.StopTestCase):

  async def test_fault_in_a_callback_ends_one_connection_only(self):
    # Guards against an error at one connection that ends the others.
    self.cluster.update_behaviour('desk', work_s=WORK_S)
    caller = await self.open_caller()
    caller.send('/unsafe/x', 'r1')
    await self.wait_until(self.arrivals)
    usual = server_connection.ServerConnection.data_received

    def data_received(connection, data):
      if b'faulty' in data:
        raise RuntimeError('x')
      usual(connection, data)

    self.enterContext(
        mock.patch.object(
            server_connection.ServerConnection, 'data_received', data_received
        )
    )
    other = await self.open_caller()
    with self.assertLogs('asyncio', 'ERROR'):
      other.send('/unsafe/x', 'faulty')
      await other.wait()
    await self.wait_until(lambda: b'\r\n\r\n' in caller.received)
    self.assertTrue(caller.received.startswith(b'HTTP/1.1 200 '))
    self.assertFalse(self.running.done())


if __name__ == '__main__':
  unittest.main()
