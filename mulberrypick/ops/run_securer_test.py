"""Tests of securing another run of a request."""

import asyncio
import random
import unittest
from unittest import mock

from mulberrypick.adapters import stream_server
from mulberrypick.core import endpoint_limits
from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.core import shared_retry_budget
from mulberrypick.ops import gateway_state
from mulberrypick.ops import run_securer
from standins import gateway_cluster

ROUTE = gateway_records.Route(
    name='safe',
    hostname='h',
    path_prefix='/',
    kind=gateway_records.CallKind.SAFE,
    timeout_s=10.0,
    target_s=1.0,
    rank=0,
    share_by_service={'desk': 1},
    attempts=2,
    is_resumable=False,
)
SERVICE = gateway_records.Service('desk', 90, 0, 0)


def make_call(now: float) -> gateway_records.Call:
  return gateway_records.Call(
      id='r1',
      route=ROUTE,
      service='desk',
      parts=(),
      prompt_tokens=0,
      output_tokens=0,
      fingerprint=1,
      arrived_at=now,
      deadline_at=now + 10.0,
  )


def make_endpoint(name: str, port: int) -> gateway_records.Endpoint:
  return gateway_records.Endpoint(
      name=name,
      started_ms=1,
      service='desk',
      ip='127.0.0.1',
      port=port,
      zone='z',
      slots=8,
      is_leaving=False,
      stage=gateway_records.Stage.NONE,
  )


class RunSecurerTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    cluster = gateway_cluster.GatewayCluster()
    self.state = gateway_state.GatewayState(
        cluster.make_host(), random.Random(1)
    )
    self.server = stream_server.StreamServer(self.handle, lambda *_: None)
    (port,) = gateway_cluster.free_ports(1)
    await self.server.listen('127.0.0.1', port)
    self.now = asyncio.get_running_loop().time()
    self.state.budget.update_hosts(1, self.now)
    fraction = shared_retry_budget.MAX_USED_FRACTION
    self.retries = int(fraction * self.state.host.bounds.budget_slack)
    self.here = make_endpoint('here', port)
    self.there = make_endpoint('there', port)
    self.state.endpoints.replace_all([self.here, self.there], self.now)
    self.call = make_call(self.now)
    self.securer = run_securer.RunSecurer(self.state, SERVICE)

  async def asyncTearDown(self):
    self.state.pool.drop('there')
    self.server.stop_listening()
    for connection in list(self.server.connections):
      connection.abort()
    await asyncio.sleep(0)

  async def handle(self, received, caller):
    self.fail('no request is sent')

  async def secure(self, is_needed: bool = True):
    return await self.securer.secure(
        self.call, {self.here.incarnation}, lambda: is_needed
    )

  def count_retries_left(self) -> int:
    count = 0
    while self.state.budget.take('desk', self.now):
      count += 1
    return count

  async def assert_nothing_secured(self, lacked: str, **options) -> None:
    self.assertIsNone(await self.secure(**options))
    self.assertEqual(self.securer.lacked, lacked)
    self.assertFalse(self.securer.has_unused_retry)
    self.assertEqual(self.count_retries_left(), self.retries)

  async def test_no_run_is_secured_for_a_request_with_refused_parts(self):
    # Guards against giving up a silent run for one that is not sent.
    with mock.patch.object(
        self.state.part_watch, 'find_refusal', return_value=object()
    ):
      self.assertIsNone(
          await self.securer.secure(self.call, set(), lambda: True)
      )
    self.assertEqual(self.securer.lacked, run_securer.CRASHES_ENDPOINTS)

  async def test_run_is_secured_with_connection_and_retry(self):
    secured = await self.secure()
    self.assertIs(secured.placement.endpoint, self.there)
    self.assertTrue(secured.connection.is_open)
    self.assertEqual(self.count_retries_left(), self.retries - 1)
    # Released, both can be used again.
    self.securer.release(self.call, secured)
    self.assertEqual(self.count_retries_left(), 1)
    again = await self.state.pool.acquire(self.there, False)
    self.assertIs(again, secured.connection)
    again.close()

  async def test_run_is_not_needed_any_more(self):
    await self.assert_nothing_secured('', is_needed=False)

  async def test_no_other_endpoint(self):
    self.state.endpoints.remove_entry('there', self.now)
    await self.assert_nothing_secured('no_endpoint')

  async def test_other_endpoint_is_silent(self):
    self.state.endpoints.suspend_silent(self.here, self.now)
    self.state.endpoints.suspend_silent(self.there, self.now)
    await self.assert_nothing_secured('responsive_endpoint')
    self.assertEqual(self.state.pool.opened_count, 0)

  async def test_other_endpoint_is_unreachable(self):
    (port,) = gateway_cluster.free_ports(1)
    self.state.endpoints.replace_all(
        [self.here, self.there._replace(port=port)], self.now
    )
    await self.assert_nothing_secured('connection')

  async def test_other_endpoint_has_a_limit_and_there_is_no_permit(self):
    limit = endpoint_limits.Limit(1.0, self.now, '')
    self.state.observe_limit(self.there.incarnation, limit)
    await self.assert_nothing_secured('limited')

  async def test_no_retry_left(self):
    self.count_retries_left()
    self.assertIsNone(await self.secure())
    self.assertEqual(self.securer.lacked, 'budget')
    self.assertEqual(self.state.pool.opened_count, 0)

  def take_prefill(self) -> bool:
    """Returns whether another engine may prefill."""
    placement = placements.Placement(self.there, self.here, 1, 1, 0.0, False)
    taken = self.securer.take_prefill(self.call, placement)
    return taken.prefiller is not None

  async def test_first_prefill_takes_no_retry(self):
    self.assertTrue(self.take_prefill())
    self.assertEqual(self.count_retries_left(), self.retries)

  async def test_second_prefill_takes_a_retry_that_is_returned_if_unused(self):
    self.securer.has_prefilled = True
    self.assertTrue(self.take_prefill())
    self.assertTrue(self.take_prefill())
    self.assertEqual(self.count_retries_left(), self.retries - 1)
    self.securer.give_back_retry(self.call)
    self.assertEqual(self.count_retries_left(), 1)

  async def test_second_prefill_without_budget_is_left_to_the_endpoint(self):
    self.securer.has_prefilled = True
    self.count_retries_left()
    self.assertFalse(self.take_prefill())


if __name__ == '__main__':
  unittest.main()
