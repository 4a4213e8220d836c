"""Tests of the gateway as a process: signals, and start without a store."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from mulberrypick.core import request_timeline
from standins import bench_forwarding
from standins import gateway_cluster
from standins import soak_gateway

TIMEOUT_S = 20.0
# Longer than the grace period.
LONG_MS = 15_000


class GatewayProcessTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    self.cluster = gateway_cluster.GatewayCluster()
    await self.cluster.start()
    self.host = self.cluster.make_host()
    folder = self.enterContext(tempfile.TemporaryDirectory())
    self.settings = bench_forwarding.write_settings(
        self.host, pathlib.Path(folder), self.cluster.store.port
    )
    self.program = await self.spawn()

  async def spawn(
      self, output: int = asyncio.subprocess.DEVNULL
  ) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'mulberrypick.scripts.gateway',
        env=os.environ | {'MULBERRYPICK_NODE_FILE': str(self.settings)},
        stdout=output,
    )

  async def asyncTearDown(self):
    if self.program.returncode is None:
      self.program.kill()
      await self.program.wait()
    self.cluster.stop()

  async def ready_status(self) -> int:
    try:
      answer = await gateway_cluster.call(
          self.host.ready_port, '/mulberrypick/readyz', '', method='GET'
      )
    except gateway_cluster.stream_client.errors.ConnectError:
      return 0
    return answer.status

  async def wait_until_ready(self, status: int):
    async with asyncio.timeout(TIMEOUT_S):
      while await self.ready_status() != status:
        await asyncio.sleep(0.02)

  async def test_sighup_does_not_end_the_process(self):
    # Guards against SIGHUP ending the process, which on a larger site ended 57
    # processes in a day.
    await self.wait_until_ready(200)
    for _ in range(5):
      self.program.send_signal(signal.SIGHUP)
    answer = await gateway_cluster.call(
        self.host.listen_port, '/unsafe/x', 'r1'
    )
    self.assertEqual(answer.status, 200)
    self.assertIsNone(self.program.returncode)

  async def test_graceful_stop_during_startup_exits_with_status_0(self):
    # Guards against a start during which SIGTERM kills the process: it then
    # exits with status -15, as in seed 6 of the soak test.
    self.program.kill()
    await self.program.wait()
    for _ in range(3):
      program = await self.spawn()
      await soak_gateway.wait_until_signals_are_handled(program.pid)
      program.send_signal(signal.SIGTERM)
      async with asyncio.timeout(TIMEOUT_S):
        self.assertEqual(await program.wait(), 0)

  async def test_exit_by_an_error_is_logged(self):
    # Guards against a process that ends without a word in its log.
    await self.wait_until_ready(200)
    # The port is in use.
    program = await self.spawn(asyncio.subprocess.PIPE)
    async with asyncio.timeout(TIMEOUT_S):
      written, _ = await program.communicate()
    self.assertNotEqual(program.returncode, 0)
    self.assertIn(b'event=process_failed', written)

  async def test_cut_request_is_traced_to_the_stop(self):
    # Guards against a request that ends with the process and that no line
    # names, as in issue 53.
    self.program.kill()
    await self.program.wait()
    config = gateway_cluster.make_config(2)
    for route in config['routes']:
      route['timeoutMs'] = LONG_MS
    self.cluster.store.put('config', 'main', config)
    self.cluster.update_behaviour(
        'engine', events=LONG_MS // 50, event_interval_s=0.05
    )
    self.program = await self.spawn(asyncio.subprocess.PIPE)
    await self.wait_until_ready(200)
    headers = {'X-Mulberrypick-Deadline-Ms': f'{LONG_MS}'}
    call = asyncio.create_task(
        gateway_cluster.call(
            self.host.listen_port, '/read/x', 'r1', headers=headers
        )
    )
    async with asyncio.timeout(TIMEOUT_S):
      while not self.cluster.runs('r1'):
        await asyncio.sleep(0.01)
      self.program.send_signal(signal.SIGTERM)
      written, _ = await self.program.communicate()
    self.assertFalse((await call).is_whole)
    self.assertEqual(self.program.returncode, 0)
    timeline = request_timeline.build_timeline(
        written.decode().splitlines(), 'r1'
    )
    events = [line.split()[2] for line in timeline]
    self.assertEqual(events.count('call_cut'), 1, timeline)
    at = events.index('call_cut')
    self.assertIn('reason=host_stopping', timeline[at])
    self.assertIn('ran=runs', timeline[at])
    self.assertIn('stopping', events[:at])
    self.assertIn('stopped', events[at:])
    self.assertIn(' cut=1 ', timeline[events.index('stopped')])

  async def check_exit_status_after_signals_in(self, function: str):
    """Checks the exit status if SIGTERM arrives during a function.

    Args:
      function: The function, as `module:name`, called while the event loop
        starts, or once it is closed.
    """
    self.program.kill()
    await self.program.wait()
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'standins.signalled_gateway',
        function,
        env=os.environ | {'MULBERRYPICK_NODE_FILE': str(self.settings)},
        stdout=asyncio.subprocess.DEVNULL,
    )
    async with asyncio.timeout(TIMEOUT_S):
      self.assertEqual(await program.wait(), 0)

  async def test_stop_while_the_event_loop_starts_exits_with_status_0(self):
    # Guards against SystemExit within the start of the event loop, which then
    # ended with status 1, as in seed 6 of the soak test.
    await self.check_exit_status_after_signals_in('_socket:socketpair')

  async def test_signals_after_the_event_loop_exit_with_status_0(self):
    await self.check_exit_status_after_signals_in(
        'logging.handlers:QueueListener.stop'
    )

  async def test_graceful_stop_cuts_no_answer(self):
    self.cluster.update_behaviour('engine', events=60, event_interval_s=0.02)
    await self.wait_until_ready(200)
    running = asyncio.create_task(
        gateway_cluster.call(self.host.listen_port, '/ask/x', 'r1')
    )
    async with asyncio.timeout(TIMEOUT_S):
      while not self.cluster.runs('r1'):
        await asyncio.sleep(0.01)
    self.program.send_signal(signal.SIGTERM)
    await self.wait_until_ready(503)
    late = await gateway_cluster.call(self.host.listen_port, '/unsafe/x', 'r2')
    self.assertEqual(late.status, 200)
    self.assertEqual(late.headers.get('connection'), 'close')
    answer = await running
    self.assertTrue(answer.is_whole)
    async with asyncio.timeout(TIMEOUT_S):
      self.assertEqual(await self.program.wait(), 0)

  async def test_not_ready_and_runs_nothing_without_configuration(self):
    self.program.kill()
    await self.program.wait()
    self.cluster.store.fail('busy')
    self.program = await self.spawn()
    await self.wait_until_ready(503)
    answer = await gateway_cluster.call(
        self.host.listen_port, '/unsafe/x', 'r1'
    )
    self.assertEqual(answer.status, 503)
    self.cluster.store.fail('ok')
    await self.wait_until_ready(200)


if __name__ == '__main__':
  unittest.main()
