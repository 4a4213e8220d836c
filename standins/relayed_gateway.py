"""A gateway whose peers reach it through a relay.

It listens for peers on the address in the file `listen.txt` beside its settings
file. The relay listens on the address that the settings name. The file
`apart.txt` says whether the gateway is cut off from all endpoints, and how.
"""

import asyncio
import os
import pathlib

import zmq.asyncio

from mulberrypick.ops import peer_links
from mulberrypick.scripts import gateway
from mulberrypick.scripts import gateway_app
from standins import apart_host

LISTEN_FILE = 'listen.txt'
# A value of `apart_host.CutMode`, or nothing.
APART_FILE = 'apart.txt'
# Interval at which that file is read (s).
READ_INTERVAL_S = 0.02


class CuttableGateway(gateway_app.Gateway):
  """A gateway that a file cuts off from all endpoints."""

  async def run(self) -> None:
    """Runs until SIGTERM or SIGINT."""
    path = _folder() / APART_FILE
    following = asyncio.create_task(self._follow(path))
    try:
      await super().run()
    finally:
      following.cancel()

  async def _follow(self, path: pathlib.Path) -> None:
    link = apart_host.ApartHost(self)
    mode = ''
    while True:
      wanted = path.read_text() if path.exists() else ''
      if wanted != mode:
        link.heal()
        if wanted:
          link.cut(apart_host.CutMode(wanted))
        mode = wanted
      await asyncio.sleep(READ_INTERVAL_S)


def main() -> None:
  """Runs the gateway."""
  address = (_folder() / LISTEN_FILE).read_text()
  listen = peer_links.PeerLinks.listen

  def listen_behind_relay(links: peer_links.PeerLinks) -> zmq.asyncio.Socket:
    links._address = address
    return listen(links)

  peer_links.PeerLinks.listen = listen_behind_relay
  gateway_app.Gateway = CuttableGateway
  gateway.main()


def _folder() -> pathlib.Path:
  return pathlib.Path(os.environ['MULBERRYPICK_NODE_FILE']).parent


if __name__ == '__main__':
  main()
