"""Tests of the memory that responses without end take in all."""

import asyncio
import pathlib
import resource
import unittest

from mulberrypick.platform import gateway_endless_test
from standins import endless_server
from standins import gateway_cluster

CALLERS = 240
# Memory of a gateway process on a host of the platform, and what a process
# takes without requests.
HOST_MEMORY_BYTES = 300 << 20
IDLE_MEMORY_BYTES = 60 << 20
SAMPLE_INTERVAL_S = 0.01
CALL_FOR_S = 4.0
CASE = endless_server.Case


def resident_bytes() -> int:
  """Returns the resident memory of this process."""
  pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
  return int(pages) * resource.getpagesize()


class EndlessMemoryTest(gateway_endless_test.EndlessTestCase):
  """One faulty endpoint answers many callers."""

  wait_timeout_s = 30.0

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.remove('writer-1', 'writer-2', 'desk-1', 'desk-2')
    config = gateway_cluster.make_config(2)
    for service in config['services']:
      service['maxConnections'] = 2 * CALLERS
      if 'engine' in service:
        service['engine']['slots'] = 2 * CALLERS
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 2)
    self.peak = 0

  async def sample_memory(self) -> None:
    while True:
      self.peak = max(self.peak, resident_bytes())
      await asyncio.sleep(SAMPLE_INTERVAL_S)

  async def keep_calling(self, path: str, caller: int) -> None:
    loop = asyncio.get_running_loop()
    end_at = loop.time() + CALL_FOR_S
    number = 0
    while loop.time() < end_at:
      request = f'r{caller}-{number}'
      headers = {'X-Mulberrypick-Prefix-Hash': f'{caller:x}:100'}
      answer = await self.call(
          path, request, headers=headers, body=request.encode()
      )
      self.assertNotEqual(answer.status, 200)
      number += 1

  async def check_memory(
      self, case: endless_server.Case, path: str, service: str, stage: str = ''
  ) -> None:
    before = resident_bytes()
    sampling = asyncio.create_task(self.sample_memory())
    async with self.endless(case, service, stage) as server:
      await asyncio.gather(
          *(self.keep_calling(path, number) for number in range(CALLERS))
      )
      self.assertGreater(server.requests, 0)
    sampling.cancel()
    self.assertLess(self.peak - before + IDLE_MEMORY_BYTES, HOST_MEMORY_BYTES)

  async def test_events_without_end_to_many_callers(self):
    # Guards against a process that runs out of memory by one faulty endpoint:
    # each response was bounded, their sum was not.
    await self.check_memory(CASE.EVENT, '/read/x', 'engine', 'decode')

  async def test_header_lines_without_end_to_many_callers(self):
    await self.check_memory(CASE.HEADER_LINES, '/unsafe/x', 'desk')

  async def test_bodies_without_end_to_many_callers(self):
    await self.check_memory(CASE.BODY, '/unsafe/x', 'desk')


if __name__ == '__main__':
  unittest.main()
