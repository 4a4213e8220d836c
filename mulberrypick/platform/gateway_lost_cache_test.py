"""Tests of prompts whose KV cache can't be fetched after the prefill."""

import asyncio

from mulberrypick.platform import gateway_test
from standins import fleet_replica

REQUESTS = 6
DECODERS = 5
# Long prompts with short answers, which prefill engines take.
HEADERS = {
    'X-Mulberrypick-Token-Usage': '9000,2',
    'X-Mulberrypick-Deadline-Ms': '3000',
}
# Two engines find out, the next one prefills the prompt itself.
MAX_TIME_S = 3 * fleet_replica.FETCH_TIMEOUT_S


class LostCacheTest(gateway_test.GatewayTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    for number in range(3, DECODERS + 1):
      name = f'writer-{number}'
      await self.cluster.add(name, 'engine', 'decode')
      await self.wait_until(
          lambda name=name: self.gateway.state.endpoints.find(name) is not None
      )
    self.reader = self.cluster.replica_by_name['reader']

  async def timed_call(self, request: str, path: str):
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    answer = await self.call(path, request, headers=HEADERS)
    return answer, loop.time() - began_at

  async def call_all(self, path: str):
    return await asyncio.gather(
        *(self.timed_call(f'r{n}', path) for n in range(REQUESTS))
    )

  async def test_next_engine_prefills_the_prompt_itself(self):
    # Guards against engines that are tried one after the other until the time
    # limit: none of them can fetch the prompt.
    self.reader.behaviour = self.reader.behaviour._replace(mode='lost')
    for path in ('/ask/x', '/read/x'):
      for answer, took_s in await self.call_all(path):
        self.assertEqual((answer.status, answer.is_whole), (200, True))
        self.assertLess(took_s, MAX_TIME_S)
    self.assertTrue(self.reader.arrivals)

  async def test_prompt_of_an_engine_that_is_full_is_fetched_elsewhere(self):
    # A full engine refuses at once; the prompt is not prefilled again for that.
    full = self.cluster.replica_by_name['writer-1']
    full.behaviour = full.behaviour._replace(mode='full')
    for answer, _ in await self.call_all('/ask/x'):
      self.assertEqual((answer.status, answer.is_whole), (200, True))
    for replica in self.cluster.replica_by_name.values():
      for request in replica.runs:
        if request in self.reader.headers_by_request:
          headers = replica.headers_by_request[request]
          self.assertIn('x-mulberrypick-kv-source', headers)

  async def test_cache_is_freed_once_it_is_given_up(self):
    self.reader.behaviour = self.reader.behaviour._replace(mode='lost')
    await self.call_all('/read/x')
    prefilled = len(self.reader.headers_by_request)
    self.assertTrue(prefilled)
    await self.wait_until(lambda: len(self.reader.freed_handles) >= prefilled)
    self.assertEqual(
        len(set(self.reader.freed_handles)), len(self.reader.freed_handles)
    )
