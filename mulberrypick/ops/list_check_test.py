"""Tests of the check whether a list of endpoints is the latest one."""

import asyncio
import random
import unittest

from mulberrypick.core import errors
from mulberrypick.ops import gateway_state
from mulberrypick.ops import list_check
from mulberrypick.platform import store
from standins import gateway_cluster

REVISION = 7


class FakeClient:
  """Answers watches when told to.

  Attributes:
    calls: Number of calls that have begun.
    is_closed: Whether its connection was closed.
    answers: What the calls return or raise, in order.
  """

  def __init__(self):
    self.calls = 0
    self.is_closed = False
    self.answers: asyncio.Queue = asyncio.Queue()

  async def watch(self, kind, revision, wait_s) -> store.StoredList:
    del kind, wait_s
    self.calls += 1
    answer = await self.answers.get()
    if isinstance(answer, Exception):
      raise answer
    return store.StoredList(answer, revision)

  def close(self) -> None:
    self.is_closed = True


class ListCheckTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    host = gateway_cluster.GatewayCluster().make_host()
    self.state = gateway_state.GatewayState(host, random.Random(1))
    self.state.endpoints_revision = REVISION
    self.client = FakeClient()
    self.check = list_check.ListCheck(self.state, self.client)

  async def ask(self) -> asyncio.Task:
    task = asyncio.create_task(self.check.confirm())
    await asyncio.sleep(0.01)
    return task

  async def test_a_call_that_began_before_does_not_count(self):
    first = await self.ask()
    second, third = await self.ask(), await self.ask()
    self.assertEqual(self.client.calls, 1)
    self.client.answers.put_nowait([])
    self.assertTrue(await first)
    await asyncio.sleep(2 * list_check.MIN_INTERVAL_S)
    self.assertEqual(self.client.calls, 2)
    self.assertFalse(second.done() or third.done())
    self.client.answers.put_nowait([])
    self.assertEqual(await asyncio.gather(second, third), [True, True])
    self.assertEqual(self.client.calls, 2)

  async def test_result_of_an_earlier_call_does_not_stand_for_one_cut_off(self):
    self.client.answers.put_nowait([])
    self.assertTrue(await self.check.confirm())
    await asyncio.sleep(2 * list_check.MIN_INTERVAL_S)
    first = await self.ask()
    second = await self.ask()
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    self.assertTrue(self.client.is_closed)
    self.client.answers.put_nowait(errors.StoreError('silent'))
    self.assertFalse(await second)

  async def test_list_is_not_confirmed_without_an_answer(self):
    self.client.answers.put_nowait(errors.StoreError('gone', 410))
    self.assertFalse(await self.check.confirm())
    self.assertFalse(await self.check.confirm())

  async def test_versions_that_were_missed_are_recorded(self):
    entry = {
        'service': 's',
        'address': '127.0.0.1:80',
        'state': 'ready',
        'slots': 1,
        'version': 'v2',
        'born': 1,
    }
    versions = self.state.versions
    versions.set_lifetime(0.0, 0.0)
    versions.observe([], 0.0)
    self.client.answers.put_nowait(
        [
            store.StoredObject('e', REVISION + 1, entry, False),
            store.StoredObject('odd', REVISION + 2, None, False),
        ]
    )
    self.assertTrue(await self.check.confirm())
    now = asyncio.get_running_loop().time()
    self.assertEqual(versions.only_version('s', now), 'v2')

  async def test_host_without_a_list_asks_nothing(self):
    self.state.endpoints_revision = 0
    self.assertFalse(await self.check.confirm())
    self.assertEqual(self.client.calls, 0)


if __name__ == '__main__':
  unittest.main()
