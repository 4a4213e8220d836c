"""Measures the cost of encryption between the processes of the system.

One node sends requests to another in the same process, over real sockets,
alternately unencrypted and with a CURVE key pair. CPU time covers both nodes
and their ZeroMQ threads, and each request and each reply counts as a message.
A connection is opened, used for one request and closed; its extra cost with
keys is the handshake. Prints medians of several rounds.
"""

import statistics
import sys
import threading
import time
from typing import NamedTuple

import click
import zmq

from mulberrypick.adapters import peer_keys
from mulberrypick.adapters import zmq_peers

ADDRESS = '127.0.0.1:0'
TIMEOUT_S = 30.0
MESSAGES_PER_REQUEST = 2


class Cost(NamedTuple):
  """Cost of messages or connections.

  Attributes:
    per_s: Number per second.
    cpu_us: CPU time of one, for both nodes, in microseconds.
  """

  per_s: float
  cpu_us: float


class NodePair:
  """Two nodes; the responder echoes the requests of the requester."""

  def __init__(self, keys: peer_keys.PeerKeys | None):
    """Starts both nodes; without keys, they do not encrypt."""
    self._keys = keys
    self.responder = zmq_peers.ZmqPeers(ADDRESS, 'right', keys=keys)
    self.responder.register_handler('echo', lambda sender, body: body)
    self.responder.start()
    self.requester = self.make_requester()

  def make_requester(self) -> zmq_peers.ZmqPeers:
    """Starts a node that sends requests."""
    node = zmq_peers.ZmqPeers(ADDRESS, 'left', keys=self._keys)
    node.start()
    return node

  def request(self, node: zmq_peers.ZmqPeers, body: bytes) -> None:
    """Sends one request, and checks the reply."""
    answer = node.request(self.responder.address, 'echo', body, TIMEOUT_S)
    if answer != body:
      raise RuntimeError('no reply, or a wrong one, to an echo request')

  def stop(self) -> None:
    """Stops both nodes."""
    self.requester.stop()
    self.responder.stop()


def measure_messages(
    pair: NodePair, asks: int, size: int, threads: int
) -> Cost:
  """Measures requests and replies over one connection."""
  body = bytes(size)
  pair.request(pair.requester, body)
  done = []

  def run() -> None:
    for _ in range(asks // threads):
      pair.request(pair.requester, body)
    done.append(asks // threads)

  started_at, cpu_before = time.monotonic(), time.process_time()
  workers = [threading.Thread(target=run) for _ in range(threads)]
  for worker in workers:
    worker.start()
  for worker in workers:
    worker.join()
  if len(done) != threads:
    raise RuntimeError('a requesting thread failed')
  return _cost(started_at, cpu_before, sum(done) * MESSAGES_PER_REQUEST)


def measure_connections(pair: NodePair, connections: int) -> Cost:
  """Measures connections that are opened for one request each."""
  started_at, cpu_before = time.monotonic(), time.process_time()
  for _ in range(connections):
    node = pair.make_requester()
    pair.request(node, b'x')
    node.stop()
  return _cost(started_at, cpu_before, connections)


def _cost(started_at: float, cpu_before: float, number: int) -> Cost:
  cpu_s = time.process_time() - cpu_before
  return Cost(number / (time.monotonic() - started_at), cpu_s / number * 1e6)


def print_costs(label: str, clear: list[Cost], curve: list[Cost]) -> None:
  """Prints one line of the table."""
  line = f'{label:<24}'
  for costs in (clear, curve):
    line += f'{statistics.median(cost.per_s for cost in costs):12.0f}'
  cpus = [
      statistics.median(cost.cpu_us for cost in costs)
      for costs in (clear, curve)
  ]
  line += ''.join(f'{cpu:13.1f}' for cpu in (*cpus, cpus[1] - cpus[0]))
  click.echo(line)


@click.command()
@click.option('--rounds', default=5, show_default=True)
@click.option('--asks', default=4000, show_default=True)
@click.option('--connections', default=100, show_default=True)
@click.option('--threads', default=16, show_default=True)
@click.option('--size', 'sizes', multiple=True, default=(300, 3000, 30000))
def main(
    rounds: int,
    asks: int,
    connections: int,
    threads: int,
    sizes: tuple[int, ...],
) -> None:
  """Measures messages of each size in bytes, and connections."""
  public, secret = (key.decode() for key in zmq.curve_keypair())
  pairs = [NodePair(None), NodePair(peer_keys.PeerKeys(public, secret))]
  click.echo(
      f'{"":24}{"clear /s":>12}{"curve /s":>12}{"clear us":>13}'
      f'{"curve us":>13}{"more us":>13}'
  )
  for size in sizes:
    costs = [[], []]
    for _ in range(rounds):
      for place, pair in enumerate(pairs):
        costs[place].append(measure_messages(pair, asks, size, threads))
    print_costs(f'messages of {size} B', *costs)
    sys.stdout.flush()
  costs = [[], []]
  for _ in range(rounds):
    for place, pair in enumerate(pairs):
      costs[place].append(measure_connections(pair, connections))
  print_costs('connections', *costs)
  for pair in pairs:
    pair.stop()


if __name__ == '__main__':
  main()
