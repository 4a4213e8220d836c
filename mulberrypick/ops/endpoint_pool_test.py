"""Tests of the pool of connections to endpoints."""

import asyncio
import unittest

from mulberrypick.adapters import stream_client
from mulberrypick.adapters import stream_server
from mulberrypick.core import endpoint_registry_test
from mulberrypick.ops import endpoint_pool
from standins import gateway_cluster


class EndpointPoolTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    async def answer(received, caller):
      del received
      caller.write_response(503, [], b'')

    self.server = stream_server.StreamServer(answer, lambda *_: None)
    (port,) = gateway_cluster.free_ports(1)
    await self.server.listen('127.0.0.1', port)
    self.endpoint = endpoint_registry_test.make_endpoint('a', port=port)
    self.pool = endpoint_pool.EndpointPool()

  async def asyncTearDown(self):
    self.server.stop_listening()
    for connection in list(self.server.connections):
      connection.abort()

  async def use(self, request: str) -> stream_client.ClientConnection:
    """Sends a request over a connection of the pool, and releases that."""
    connection = await self.pool.acquire(self.endpoint, False, request)
    exchange = stream_client.Exchange(request_id=request)
    connection.send(
        stream_client.encode_request(b'POST', b'/', [], b''), exchange
    )
    async with asyncio.timeout(5.0):
      await exchange.read_all(1000)
    self.pool.release(self.endpoint, connection)
    return connection

  async def test_request_is_not_sent_again_over_the_same_connection(self):
    # Guards against a refusal of a prefill, written once more, that is taken
    # for the word on the run of the same request.
    first = await self.use('r1')
    self.assertIs(await self.use('r2'), first)
    again = await self.use('r1')
    self.assertIsNot(again, first)
    self.assertIn(await self.use('r3'), (first, again))

  async def test_only_the_latest_ids_are_remembered(self):
    first = await self.use('r0')
    for number in range(1, stream_client.MAX_CARRIED_IDS + 1):
      await self.use(f'r{number}')
    self.assertIs(await self.use('r0'), first)


if __name__ == '__main__':
  unittest.main()
