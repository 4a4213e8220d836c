"""Tests of callers that read slowly, with a small receive buffer."""

import asyncio
import socket
import unittest

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_server
from standins import gateway_cluster

# More than the socket buffers of both sides hold.
BODY_BYTES = 12 << 20
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 2000
READ_INTERVAL_S = 0.3
SLOW_READS = 18
PAUSE_S = 5.0
# Shorter than the time between two bytes that are acknowledged.
IDLE_TIMEOUT_S = 1.0
# Far longer than a test.
UNREAD_TIMEOUT_S = 60.0


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    asyncio.get_running_loop().set_debug(False)
    self.server = stream_server.StreamServer(self.handle, lambda *_: None)
    self.server.user_timeout_s = None
    self.server.limits = received_request.Limits(
        max_header_bytes=1000,
        max_body_bytes=2000,
        header_timeout_s=UNREAD_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
    )
    self.server.unread_timeout_s = UNREAD_TIMEOUT_S
    port = gateway_cluster.free_ports(1)[0]
    await self.server.listen('127.0.0.1', port)
    self.loop = asyncio.get_running_loop()
    self.socket = socket.socket()
    self.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    self.socket.setblocking(False)
    await self.loop.sock_connect(self.socket, ('127.0.0.1', port))
    await self.loop.sock_sendall(
        self.socket,
        b'GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    )
    self.received_bytes = 0

  async def asyncTearDown(self):
    self.socket.close()
    self.server.stop_listening()
    for connection in list(self.server.connections):
      connection.abort()

  async def handle(self, received, caller):
    caller.write_response(200, [], bytes(BODY_BYTES))

  async def read(self, size: int) -> int:
    """Reads once; returns the number of bytes, 0 at the end."""
    try:
      data = await self.loop.sock_recv(self.socket, size)
    except ConnectionError as error:
      self.fail(f'{error} after {self.received_bytes} bytes')
    self.received_bytes += len(data)
    return len(data)

  async def read_rest(self) -> None:
    """Reads until the connection ends; checks that all bytes arrive."""
    async with asyncio.timeout(UNREAD_TIMEOUT_S):
      while await self.read(BODY_BYTES):
        continue
    self.assertGreater(self.received_bytes, BODY_BYTES)

  async def test_caller_that_reads_slowly_gets_the_whole_response(self):
    # Guards against a reset of callers that are alive and read: the kernel's
    # limit of unacknowledged bytes counts bytes that do not fit in a window.
    for _ in range(SLOW_READS):
      await asyncio.sleep(READ_INTERVAL_S)
      await self.read(READ_BYTES)
    await self.read_rest()

  async def test_caller_that_pauses_gets_the_whole_response(self):
    # Guards against the same reset within the time limit of connections.
    await asyncio.sleep(PAUSE_S)
    await self.read_rest()


if __name__ == '__main__':
  unittest.main()
