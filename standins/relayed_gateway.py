"""A gateway whose peers reach it through a relay.

It listens for peers on the address in the file `listen.txt` beside its settings
file. The relay listens on the address that the settings name.
"""

import os
import pathlib

import zmq.asyncio

from mulberrypick.ops import peer_links
from mulberrypick.scripts import gateway

LISTEN_FILE = 'listen.txt'


def main() -> None:
  """Runs the gateway."""
  settings = pathlib.Path(os.environ['MULBERRYPICK_NODE_FILE'])
  address = settings.with_name(LISTEN_FILE).read_text()
  listen = peer_links.PeerLinks.listen

  def listen_behind_relay(links: peer_links.PeerLinks) -> zmq.asyncio.Socket:
    links._address = address
    return listen(links)

  peer_links.PeerLinks.listen = listen_behind_relay
  gateway.main()


if __name__ == '__main__':
  main()
