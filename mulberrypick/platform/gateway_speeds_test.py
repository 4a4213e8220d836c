"""Tests of the speeds of engines that are kept in the store."""

import asyncio
from unittest import mock

from mulberrypick.core import engine_models
from mulberrypick.ops import speeds_task
from mulberrypick.platform import gateway_test
from mulberrypick.platform import objects
from mulberrypick.platform import protocol

WRITE_S = 0.2


class KeptSpeedsTest(gateway_test.GatewayTestCase):

  async def asyncSetUp(self):
    for name in ('FIRST_WRITE_S', 'WRITE_INTERVAL_S'):
      self.enterContext(mock.patch.object(speeds_task, name, WRITE_S))
    await super().asyncSetUp()

  def teach(self, tokens_per_s: float):
    """Lets the first gateway observe answers of an engine."""
    now = asyncio.get_running_loop().time()
    state = self.gateway.state
    engine = state.endpoints.find('reader')
    for number in range(20):
      tokens = (2_000, 10_000)[number % 2]
      took_s = 0.01 + tokens / tokens_per_s
      state.load.observe_prefill(engine, tokens, took_s, now)

  def writes(self) -> int:
    calls = self.cluster.store.calls
    kind = protocol.SPEEDS_KIND
    return calls.get(('POST', kind), 0) + calls.get(('PUT', kind), 0)

  async def test_a_host_that_starts_alone_knows_them(self):
    self.teach(50_000)
    kind = protocol.SPEEDS_KIND
    await self.wait_until(lambda: self.cluster.store.names(kind))
    self.running.cancel()
    await asyncio.gather(self.running, return_exceptions=True)
    self.gateway.close()
    started = await self.start_gateway('host-2')
    engine = started.state.endpoints.find('reader')
    models = started.state.load.models
    await self.wait_until(
        lambda: models.find(engine, engine_models.Work.READ).is_prior_known
    )
    self.assertAlmostEqual(
        started.state.load.read_s(engine, 10_000, 0.0), 0.21, delta=0.03
    )
    self.assertTrue(started.state.load.is_speed_known(engine))

  async def test_only_changes_are_written(self):
    self.teach(50_000)
    await self.wait_until(lambda: self.writes() == 1)
    await asyncio.sleep(5 * WRITE_S)
    self.assertEqual(self.writes(), 1)
    for _ in range(5):
      self.teach(20_000)
    await self.wait_until(lambda: self.writes() > 1)

  async def test_an_outage_of_the_store_is_logged_once(self):
    self.enterContext(mock.patch.object(speeds_task, 'RETRY_INTERVAL_S', 0.01))
    self.cluster.store.fail('busy')
    client = self.gateway._make_store_client()
    task = speeds_task.SpeedsTask(self.gateway.state, client)
    with self.assertLogs(speeds_task.__name__, 'WARNING') as lines:
      running = asyncio.create_task(task.run())
      await self.wait_until(lambda: client.calls > 5)
      running.cancel()
      await asyncio.gather(running, return_exceptions=True)
    client.close()
    not_kept = [line for line in lines.output if 'speeds_not_kept' in line]
    # The gateway has such a task too.
    self.assertLessEqual(len(not_kept), 2)

  async def test_malformed_object_is_left_out(self):
    for spec in ({}, {'speeds': [1]}, {'speeds': {'read/v1/s': ['x', 1]}}):
      with self.assertLogs(objects.__name__, 'WARNING'):
        self.assertEqual(objects.decode_speeds(spec), {})
    name = protocol.SPEEDS_NAME
    self.cluster.store.put(protocol.SPEEDS_KIND, name, {'speeds': 7})
    await self.start_gateway('host-2')
