"""Tests of how the server closes connections whose responses are unsent."""

import asyncio
import socket
import unittest

import uvloop

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_server
from standins import gateway_cluster

# More than the socket buffers of both sides hold.
BODY_BYTES = 12 << 20
RECEIVE_BUFFER_BYTES = 65536
READ_BYTES = 65536
LIMITS = received_request.Limits(
    max_header_bytes=1000,
    max_body_bytes=2000,
    header_timeout_s=0.3,
    idle_timeout_s=0.3,
)
# Reads of a slow caller, and the time between them (s). Together they take
# longer than the idle limit.
SLOW_READS = 8
SLOW_READ_INTERVAL_S = 0.1
# Time after which a response is given up whose caller reads nothing (s).
UNREAD_TIMEOUT_S = 0.5
# Time for which a caller does not read (s).
UNREAD_S = 0.1
REQUEST = b'GET /large HTTP/1.1\r\nHost: h\r\n\r\n'
NEXT_REQUEST = b'GET /small HTTP/1.1\r\nHost: h\r\n\r\n'


class SlowCaller:
  """A caller that reads a response slowly, with a small receive buffer.

  Attributes:
    received: The bytes received.
    has_reset: Whether the connection was reset.
  """

  def __init__(self, port: int):
    self.received = b''
    self.has_reset = False
    self._loop = asyncio.get_running_loop()
    self._socket = socket.socket()
    self._socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    self._socket.setblocking(False)
    self._address = ('127.0.0.1', port)

  async def open(self) -> None:
    """Opens the connection."""
    await self._loop.sock_connect(self._socket, self._address)

  async def send(self, data: bytes) -> None:
    """Sends bytes."""
    await self._loop.sock_sendall(self._socket, data)

  async def read_some(self) -> bytes:
    """Reads once; returns nothing at the end of the connection."""
    data = b''
    try:
      data = await self._loop.sock_recv(self._socket, READ_BYTES)
    except ConnectionError:
      self.has_reset = True
    self.received += data
    return data

  async def read_rest(self) -> None:
    """Reads until the connection ends."""
    async with asyncio.timeout(20):
      while await self.read_some():
        continue

  def close(self) -> None:
    """Closes the connection."""
    self._socket.close()


class ClosingTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    asyncio.get_running_loop().set_debug(False)
    self.server = stream_server.StreamServer(self.handle, lambda *_: None)
    self.server.limits = LIMITS
    self.server.unread_timeout_s = UNREAD_TIMEOUT_S
    self.port = gateway_cluster.free_ports(1)[0]
    await self.server.listen('127.0.0.1', self.port)
    self.caller = SlowCaller(self.port)
    await self.caller.open()
    self.seen: list[received_request.ReceivedRequest] = []

  async def asyncTearDown(self):
    self.caller.close()
    self.server.stop_listening()
    for connection in list(self.server.connections):
      connection.abort()

  async def handle(self, received, caller):
    size = BODY_BYTES if received.target == b'/large' else 5
    caller.write_response(200, [], bytes(size))
    self.seen.append(received)

  async def wait_until(self, condition) -> None:
    async with asyncio.timeout(10):
      while not condition():
        await asyncio.sleep(0.005)

  def assert_whole(self, responses: int) -> None:
    """Checks for a large response and small ones, and an orderly end."""
    caller = self.caller
    self.assertFalse(caller.has_reset, len(caller.received))
    self.assertGreater(len(caller.received), BODY_BYTES)
    self.assertEqual(caller.received.count(b'HTTP/1.1 200 '), responses)

  async def test_next_request_in_a_stop_does_not_cut_an_unsent_response(self):
    # Guards against a reset that drops the unsent bytes of a response: a kept
    # connection was closed while its next request was unread.
    await self.caller.send(REQUEST)
    await self.wait_until(lambda: self.seen)
    self.server.is_leaving = True
    self.assertEqual(self.server.close_idle(), 1)
    await self.caller.send(NEXT_REQUEST)
    await asyncio.sleep(0.05)
    self.server.close_idle()
    await self.caller.read_rest()
    self.assert_whole(2)
    self.assertIn(b'Connection: close', self.caller.received[BODY_BYTES:])

  async def test_next_request_does_not_cut_an_unsent_last_response(self):
    # Guards against the same after a response that says that it is the last,
    # and against a next request that was read and gets no response: its caller
    # has not read so far.
    self.server.is_leaving = True
    await self.caller.send(REQUEST)
    await self.wait_until(lambda: self.seen)
    await self.caller.send(NEXT_REQUEST)
    await asyncio.sleep(0.05)
    self.server.close_idle()
    await self.caller.read_rest()
    self.assert_whole(2)
    self.assertEqual([r.follows_close for r in self.seen], [False, True])

  async def test_request_that_crosses_the_close_cuts_no_unread_response(self):
    # Guards against a reset by which the library of a caller drops a response
    # that has arrived, and that the caller has not read yet.
    reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
    self.addCleanup(writer.close)
    writer.write(NEXT_REQUEST)
    await self.wait_until(lambda: self.seen)
    await asyncio.sleep(UNREAD_S)
    writer.write(NEXT_REQUEST)
    # The server has not read it yet.
    self.assertGreater(self.server.close_idle(), 0)
    await asyncio.sleep(UNREAD_S)
    async with asyncio.timeout(10):
      received = await reader.read()
    self.assertEqual(received.count(b'HTTP/1.1 200 '), 1, received)
    self.assertEqual(len(self.seen), 1)

  async def test_idle_limit_does_not_cut_an_unsent_response(self):
    # Guards against the same at the idle limit, without a stop.
    await self.caller.send(REQUEST)
    await self.wait_until(lambda: self.seen)
    for _ in range(SLOW_READS):
      await asyncio.sleep(SLOW_READ_INTERVAL_S)
      await self.caller.read_some()
    await self.caller.send(NEXT_REQUEST)
    await self.caller.read_rest()
    self.assert_whole(2)

  async def test_fault_after_a_whole_request_does_not_take_its_response(self):
    # Guards against a request that was read whole, waited for the one before
    # it, and got the refusal of the bytes after it instead of its response.
    await self.caller.send(2 * NEXT_REQUEST + b'no request\r\n\r\n')
    await self.caller.read_rest()
    self.assertEqual(self.caller.received.count(b'HTTP/1.1 200 '), 2)
    self.assertEqual(self.caller.received.count(b'HTTP/1.1 400 '), 1)
    self.assertEqual(len(self.seen), 2)

  async def test_refusal_of_a_long_body_arrives_before_the_connection_ends(
      self,
  ):
    # Guards against a refusal that is dropped because the rest of the body was
    # unread at the close.
    body_bytes = 4 << 20
    await self.caller.send(
        b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
        % body_bytes
    )
    for _ in range(body_bytes // READ_BYTES):
      await self.caller.send(bytes(READ_BYTES))
    await self.caller.read_rest()
    self.assertFalse(self.caller.has_reset)
    self.assertTrue(self.caller.received.startswith(b'HTTP/1.1 413 '))

  async def test_closed_connection_ends_although_its_caller_stays(self):
    # Guards against connections that are kept for callers that never close.
    self.server.is_leaving = True
    await self.caller.send(NEXT_REQUEST)
    await self.wait_until(lambda: self.seen)
    await self.wait_until(lambda: not self.server.connections)

  async def test_caller_that_stops_reading_is_left_after_a_time(self):
    # Guards against responses that are held for ever.
    await self.caller.send(REQUEST)
    await self.wait_until(lambda: self.seen)
    await self.wait_until(lambda: not self.server.connections)


class UvloopClosingTest(ClosingTest):
  """The same on the event loop of the program."""

  @classmethod
  def setUpClass(cls):
    super().setUpClass()
    policy = asyncio.get_event_loop_policy()
    cls.addClassCleanup(asyncio.set_event_loop_policy, policy)
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())


if __name__ == '__main__':
  unittest.main()
