"""Tests of gateways whose endpoints say in their answers that they leave."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.platform import gateway_test
from standins import gateway_cluster

# Time after the first such answer in which new requests may still be sent.
DRAIN_S = 2.0
SEND_INTERVAL_S = 0.02
HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '1400',
    'X-Mulberrypick-Token-Usage': '9000,100',
    'X-Mulberrypick-Prefix-Hash': 'aa:5000,bb:4000',
}


class LeavingTestCase(gateway_test.GatewayTestCase):

  async def asyncSetUp(self):
    await super().asyncSetUp()
    # Requests overlap, so that all endpoints are used.
    self.cluster.update_behaviour('desk', work_s=0.05)
    self.sent_at: dict[str, float] = {}
    self.answers: list[gateway_cluster.Answer] = []

  async def send(self, path: str, gateway=None) -> gateway_cluster.Answer:
    request = f'r{len(self.sent_at)}'
    self.sent_at[request] = asyncio.get_running_loop().time()
    answer = await gateway_cluster.call(
        (gateway or self.gateway).state.host.listen_port,
        path,
        request,
        HEADERS,
        b'body of ' + request.encode(),
    )
    self.answers.append(answer)
    return answer

  async def send_load(self, path: str, duration_s: float, gateway=None) -> None:
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    calls = []
    while loop.time() < end_at:
      calls.append(loop.create_task(self.send(path, gateway)))
      await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*calls)

  async def send_until(self, condition, gateway=None) -> None:
    """Sends requests side by side, to all endpoints, until a condition."""
    async with asyncio.timeout(self.wait_timeout_s):
      while not condition():
        calls = [self.send('/unsafe/x', gateway) for _ in range(20)]
        await asyncio.gather(*calls)

  def is_unused(self, name: str) -> bool:
    """Returns whether the first gateway does not use an endpoint any more."""
    return self.gateway.state.endpoints.find(name) is None

  def replica(self, name: str):
    return self.cluster.replica_by_name[name]

  def late_arrivals(self, name: str, since: float) -> list[str]:
    """Returns the requests that were sent later and reached an endpoint."""
    late = []
    for _, request in self.replica(name).told_arrivals:
      if self.sent_at.get(request, 0.0) > since:
        late.append(request)
    return late


class LeavingTest(LeavingTestCase):

  async def check_left(self, path: str, name: str) -> None:
    loop = asyncio.get_running_loop()
    await self.send_load(path, 0.3)
    self.replica(name).is_saying_it_leaves = True
    told_at = loop.time()
    await self.send_load(path, 1.5)
    self.assertTrue(self.replica(name).told_arrivals)
    # Requests that are under way when the first answer arrives go on.
    self.assertEqual(self.late_arrivals(name, told_at + 0.3), [])
    self.assertEqual({a.status for a in self.answers}, {200})

  async def test_plain_endpoint(self):
    await self.check_left('/unsafe/x', 'desk-1')

  async def test_engine_that_streams(self):
    await self.check_left('/read/x', 'writer-1')

  async def test_request_that_was_placed_before_goes_elsewhere(self):
    # Opening a connection takes some time.
    state = self.gateway.state
    usual = state.pool.acquire

    async def acquire(endpoint, must_be_fresh, request_id=''):
      connection = await usual(endpoint, must_be_fresh, request_id)
      if endpoint.name == 'desk-1':
        state.record_said_leaving(endpoint.incarnation, 'said')
      return connection

    with mock.patch.object(state.pool, 'acquire', acquire):
      await self.send_until(lambda: self.is_unused('desk-1'))
    self.assertEqual(self.replica('desk-1').arrivals, 0)
    self.assertEqual({a.status for a in self.answers}, {200})

  async def test_refusal_says_it_too(self):
    replica = self.replica('desk-1')
    replica.is_saying_it_leaves = True
    replica.behaviour = replica.behaviour._replace(mode='full')
    await self.send_load('/unsafe/x', 0.5)
    self.assertLessEqual(len(replica.told_arrivals), 3)

  async def test_other_hosts_are_told(self):
    other = await self.start_gateway('host-2')
    await self.wait_until(lambda: other.state.hosts == 2)
    await self.wait_until(lambda: len(list(other.state.endpoints.all())) == 5)
    self.replica('desk-1').is_saying_it_leaves = True
    await self.send_until(lambda: self.is_unused('desk-1'))
    await self.wait_until(lambda: other.state.endpoints.find('desk-1') is None)
    told_at = asyncio.get_running_loop().time()
    await self.send_load('/unsafe/x', 0.3, other)
    self.assertEqual(self.late_arrivals('desk-1', told_at), [])

  async def test_idle_connections_are_closed(self):
    await self.send_load('/unsafe/x', 0.3)
    replica = self.replica('desk-1')
    replica.is_saying_it_leaves = True
    await self.send_until(lambda: self.is_unused('desk-1'))
    await self.wait_until(lambda: not replica.connection_count())

  async def test_stream_under_way_goes_on(self):
    self.cluster.update_behaviour('engine', events=60)
    streams = [asyncio.create_task(self.send('/read/x')) for _ in range(4)]
    await self.wait_until(lambda: len(self.replica('writer-1').runs) > 0)
    self.replica('writer-1').is_saying_it_leaves = True
    await self.send_load('/read/x', 0.2)
    await asyncio.gather(*streams)
    self.assertEqual({a.status for a in self.answers}, {200})
    self.assertTrue(all(a.is_whole for a in self.answers))

  async def test_last_endpoint_serves_until_it_is_drained(self):
    loop = asyncio.get_running_loop()
    for name in ('desk-1', 'desk-2'):
      self.replica(name).is_saying_it_leaves = True
    began_at = loop.time()
    await self.send_load('/unsafe/x', 0.5)
    self.assertEqual({a.status for a in self.answers}, {200})
    await asyncio.sleep(began_at + DRAIN_S - loop.time())
    answer = await self.send('/unsafe/x')
    self.assertEqual(answer.status, 503)
    for name in ('desk-1', 'desk-2'):
      self.assertEqual(self.late_arrivals(name, began_at + DRAIN_S - 0.1), [])

  async def test_restarted_endpoint_is_a_new_one(self):
    replica = self.replica('desk-1')
    replica.is_saying_it_leaves = True
    await self.send_until(lambda: self.is_unused('desk-1'))
    replica.is_saying_it_leaves = False
    replica.born += 1
    self.cluster.store.put('servers', 'desk-1', replica.entry())
    await self.wait_until(
        lambda: self.gateway.state.endpoints.find('desk-1') is not None
    )


if __name__ == '__main__':
  unittest.main()
