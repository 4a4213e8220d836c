"""Tests of the links between hosts."""

import asyncio
import unittest

from mulberrypick.ops import peer_links
from standins import gateway_cluster
from standins import relay

SEND_INTERVAL_S = 0.05
# Time within which hosts reach each other again after their links went silent.
STEADY_S = 3.0
WAIT_TIMEOUT_S = 10.0


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    address = f'127.0.0.1:{gateway_cluster.free_ports(1)[0]}'
    receiver = peer_links.PeerLinks(address)
    self.addCleanup(receiver.close)
    self.listener = receiver.listen()
    self.relay = self.enterContext(relay.Relay(address))
    self.sender = peer_links.PeerLinks('127.0.0.1:0')
    self.addCleanup(self.sender.close)
    self.sending = asyncio.create_task(self.keep_sending())
    self.addCleanup(self.sending.cancel)

  async def keep_sending(self) -> None:
    while True:
      self.sender.send(self.relay.address, b'message')
      await asyncio.sleep(SEND_INTERVAL_S)

  async def receive(self) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
      await self.listener.recv_multipart()

  async def test_silent_link_is_opened_again_in_time(self):
    # Guards against hosts that hear nothing of each other for longer than a
    # reset of their links is excused. The silence begins at several phases of
    # the heartbeats.
    loop = asyncio.get_running_loop()
    for phase_s in (0.1, 0.4, 0.8):
      with self.subTest(phase_s=phase_s):
        await self.receive()
        await asyncio.sleep(phase_s)
        self.assertGreater(self.relay.silence_connections(), 0)
        silent_at = loop.time()
        # What was received before is not of the new connection.
        await asyncio.sleep(0.2)
        while await self.listener.poll(0):
          await self.listener.recv_multipart()
        await self.receive()
        self.assertLess(loop.time() - silent_at, STEADY_S)


if __name__ == '__main__':
  unittest.main()
