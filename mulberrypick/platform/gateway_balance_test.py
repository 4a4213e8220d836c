"""Tests of decode engines that are ordered to prefill because of the load."""

import asyncio
import collections
import itertools

from mulberrypick.ops import stage_task
from mulberrypick.platform import gateway_test

# Time for which an engine refuses requests after an order.
SWITCH_S = 1.0
# Prefill speed of all engines, and tokens of each prompt: an engine reads a
# prompt in 60 ms.
RATE = 50_000.0
PROMPT_TOKENS = 3_000
# Requests that are sent one after the other, without a pause, by each host.
CALLERS_PER_HOST = 12
# Time in which requests that were sent before an order may still arrive.
ON_THE_WAY_S = 0.05


class BalanceTestCase(gateway_test.GatewayTestCase):
  """Two gateways and three decode engines that read most of the prompts."""

  wait_timeout_s = 20.0

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.cluster.add('writer-3', 'engine', 'decode')
    for replica in self.cluster.replica_by_name.values():
      replica.switch_s = SWITCH_S
    self.cluster.update_behaviour(
        'engine', rate=RATE, events=2, event_interval_s=0.002
    )
    self.second = await self.start_gateway('host-2')
    self.numbers = itertools.count()
    self.answers = []
    self.senders = []
    for port in (self.host.listen_port, self.second.state.host.listen_port):
      for _ in range(CALLERS_PER_HOST):
        self.senders.append(asyncio.create_task(self.send(port)))

  async def asyncTearDown(self):
    for sender in self.senders:
      sender.cancel()
    await asyncio.gather(*self.senders, return_exceptions=True)
    await super().asyncTearDown()

  async def send(self, port: int) -> None:
    while True:
      number = next(self.numbers)
      answer = await gateway_test.gateway_cluster.call(
          port,
          '/read/x',
          f'r{number}',
          {
              'X-Mulberrypick-Deadline-Ms': '1400',
              'X-Mulberrypick-Token-Usage': f'{PROMPT_TOKENS},4',
              'X-Mulberrypick-Prefix-Hash': f'{number:08x}:{PROMPT_TOKENS}',
          },
      )
      self.answers.append(answer)
      if answer.status != 200:
        await asyncio.sleep(0.05)

  def engines(self):
    found = []
    for replica in self.cluster.replica_by_name.values():
      if replica.service == 'engine':
        found.append(replica)
    return found

  def ordered(self):
    return [replica for replica in self.engines() if replica.orders]


class BalanceTest(BalanceTestCase):

  async def test_one_decode_engine_changes_and_gets_nothing_meanwhile(self):
    await self.wait_until(self.ordered)
    ordered_at = asyncio.get_running_loop().time()
    engine = self.ordered()[0]
    await self.wait_until(lambda: engine.stage == 'prefill')
    late = [
        request
        for at, request in engine.switching_arrivals
        if at > ordered_at + ON_THE_WAY_S
    ]
    # Neither the host that gave the order nor the other one.
    self.assertEqual(late, [])
    arrivals = engine.arrivals
    await self.wait_until(lambda: engine.arrivals > arrivals + 3)
    await asyncio.sleep(4 * SWITCH_S)
    stages = collections.Counter(e.stage for e in self.engines())
    self.assertEqual(stages, {'prefill': 2, 'decode': 2})
    self.assertEqual([len(e.orders) for e in self.ordered()], [1])
    statuses = collections.Counter(a.status for a in self.answers)
    self.assertEqual(set(statuses) - {200, 503}, set(), statuses)

  async def test_order_that_is_refused_leaves_the_engine_in_use(self):
    async def refuse(*_):
      return 409

    with gateway_test.mock.patch.object(
        stage_task.orders, 'send_stage_order', refuse
    ):
      state = self.gateway.state
      switches = state.endpoints.switches
      now = asyncio.get_running_loop().time
      await self.wait_until(lambda: switches.count(now()))
      await self.wait_until(lambda: not switches.count(now()))
    self.assertEqual(self.ordered(), [])
