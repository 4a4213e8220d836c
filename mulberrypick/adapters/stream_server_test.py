"""Tests of the asyncio HTTP server over real connections."""

import asyncio
import unittest

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_server
from standins import gateway_cluster

LIMITS = received_request.Limits(
    max_header_bytes=1000,
    max_body_bytes=2000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
)


class StreamServerTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    self.seen: list[received_request.ReceivedRequest] = []
    self.refused: list[int] = []
    self.cancelled = 0
    self.server = stream_server.StreamServer(
        self.handle, lambda status, _: self.refused.append(status)
    )
    self.server.limits = LIMITS
    self.port = gateway_cluster.free_ports(1)[0]
    await self.server.listen('127.0.0.1', self.port)
    self.reader, self.writer = await asyncio.open_connection(
        '127.0.0.1', self.port
    )

  async def asyncTearDown(self):
    self.writer.close()
    self.server.stop_listening()
    for connection in list(self.server.connections):
      connection.abort()

  async def handle(self, received, caller):
    self.seen.append(received)
    if received.target == b'/wait':
      try:
        await asyncio.Event().wait()
      except asyncio.CancelledError:
        self.cancelled += 1
        raise
    await asyncio.sleep(0)
    caller.write_response(200, [], b'to ' + received.target)

  async def read_status(self) -> int:
    async with asyncio.timeout(10):
      line = await self.reader.readline()
      return int(line.split()[1]) if line else 0

  async def read_rest(self) -> bytes:
    async with asyncio.timeout(10):
      return await self.reader.read()

  async def test_requests_on_one_connection_are_answered_in_order(self):
    for name in (b'/a', b'/b', b'/c'):
      self.writer.write(b'GET ' + name + b' HTTP/1.1\r\nHost: h\r\n\r\n')
    self.writer.write(b'GET /d HTTP/1.1\r\nConnection: close\r\n\r\n')
    answers = await self.read_rest()
    order = [part[:2] for part in answers.split(b'to ')[1:]]
    self.assertEqual(order, [b'/a', b'/b', b'/c', b'/d'])

  async def test_pipelined_requests_are_answered_while_server_leaves(self):
    self.server.is_leaving = True
    for name in (b'/a', b'/b'):
      self.writer.write(b'GET ' + name + b' HTTP/1.1\r\nHost: h\r\n\r\n')
    answers = await self.read_rest()
    self.assertEqual(answers.count(b'HTTP/1.1 200'), 2)
    self.assertEqual(answers.count(b'Connection: close'), 1)

  async def test_chunked_body_is_passed_on_complete(self):
    self.writer.write(
        b'POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    self.assertEqual(await self.read_status(), 200)
    self.assertEqual(self.seen[0].body, b'abcde')

  async def test_conflicting_lengths_are_refused(self):
    self.writer.write(
        b'POST /a HTTP/1.1\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
    )
    self.assertEqual(await self.read_status(), 400)
    self.assertEqual(self.seen, [])

  async def test_head_and_body_over_their_limits_are_refused(self):
    self.writer.write(b'GET /a HTTP/1.1\r\nX: ' + b'y' * 2000 + b'\r\n\r\n')
    self.assertEqual(await self.read_status(), 431)
    self.reader, self.writer = await asyncio.open_connection(
        '127.0.0.1', self.port
    )
    self.writer.write(
        b'POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n' + b'z' * 3000
    )
    self.assertEqual(await self.read_status(), 413)
    self.assertEqual(self.seen, [])
    self.assertEqual(self.refused, [431, 413])

  async def test_slow_head_is_refused_and_an_idle_connection_closed(self):
    self.writer.write(b'GET /a HTT')
    self.assertEqual(await self.read_status(), 408)
    self.reader, self.writer = await asyncio.open_connection(
        '127.0.0.1', self.port
    )
    self.assertEqual(await self.read_rest(), b'')

  async def test_idle_connection_stays_open_if_the_limit_is_raised(self):
    # Guards against closing by an old limit: callers reuse a connection for as
    # long as the newest one allows, and a request may cross the close.
    self.writer.write(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
    self.assertEqual(await self.read_status(), 200)
    await asyncio.sleep(LIMITS.idle_timeout_s / 2)
    self.server.limits = LIMITS._replace(
        idle_timeout_s=4 * LIMITS.idle_timeout_s
    )
    await asyncio.sleep(LIMITS.idle_timeout_s)
    self.writer.write(b'GET /b HTTP/1.1\r\nConnection: close\r\n\r\n')
    self.assertIn(b'to /b', await self.read_rest())

  async def test_idle_connection_is_closed_at_the_raised_limit(self):
    self.server.limits = LIMITS._replace(
        idle_timeout_s=2 * LIMITS.idle_timeout_s
    )
    began_at = asyncio.get_running_loop().time()
    self.assertEqual(await self.read_rest(), b'')
    took_s = asyncio.get_running_loop().time() - began_at
    self.assertGreater(took_s, 1.5 * LIMITS.idle_timeout_s)

  async def test_expect_100_continue(self):
    self.writer.write(
        b'POST /a HTTP/1.1\r\nExpect: 100-continue\r\n'
        b'Content-Length: 2\r\n\r\n'
    )
    self.assertEqual(await self.read_status(), 100)
    self.writer.write(b'ok')
    await self.reader.readline()
    self.assertEqual(await self.read_status(), 200)

  async def test_disconnect_of_caller_cancels_request(self):
    self.writer.write(b'GET /wait HTTP/1.1\r\n\r\n')
    async with asyncio.timeout(10):
      while not self.seen:
        await asyncio.sleep(0.01)
      self.writer.close()
      while not self.cancelled:
        await asyncio.sleep(0.01)

  async def test_leaving_server_closes_connections(self):
    self.server.is_leaving = True
    self.writer.write(b'GET /a HTTP/1.1\r\n\r\n')
    self.assertIn(b'Connection: close', await self.read_rest())


if __name__ == '__main__':
  unittest.main()
