"""Tests of collecting and scaling the demand."""

import queue
import unittest

import msgspec

from mulberrypick.adapters import peers as peers_adapter
from mulberrypick.core import records
from mulberrypick.core import role_planner
from mulberrypick.ops import demand_task

WAIT_S = 20.0


def make_host(name, zone, kind, state='live'):
  return records.Host(name, zone, kind, name, name, '', 1, state, True)


HOSTS = (
    make_host('entry-1', 'a', 'entry'),
    make_host('entry-2', 'b', 'entry'),
    make_host('entry-3', 'b', 'entry', 'leaving'),
    make_host('engine-1', 'a', 'engine'),
    make_host('engine-2', 'b', 'engine'),
    make_host('engine-3', 'b', 'engine'),
    make_host('engine-4', 'b', 'engine'),
    make_host('engine-5', 'b', 'engine', 'leaving'),
)


class FakePeers(peers_adapter.Peers):
  """Entry 1 reports its demand; all other entries are unreachable."""

  def register_handler(self, kind, handler):
    raise NotImplementedError

  def send(self, peer_address, kind, body):
    raise NotImplementedError

  def request(self, peer_address, kind, body, timeout_s):
    if peer_address != 'entry-1':
      return None
    return msgspec.msgpack.encode({'m': (4.0, 8.0)})


class TestDemandTask(unittest.TestCase):

  def test_demand_is_the_share_of_the_zone(self):
    seen = queue.SimpleQueue()
    task = demand_task.DemandTask(
        'a', FakePeers(), lambda: HOSTS, seen.put, 0.01
    )
    task.start()
    self.addCleanup(task.stop)
    self.assertEqual(
        {'m': role_planner.RoleDemand(1.0, 2.0)},
        seen.get(timeout=WAIT_S).demand_by_model,
    )

  def test_malformed_replies_are_ignored(self):
    bodies = [msgspec.msgpack.encode({'m': (1.0, 1.0)}), b'\xc1', b'']
    self.assertEqual(
        {'m': role_planner.RoleDemand(1.0, 1.0)},
        demand_task.sum_demand(bodies, 1.0),
    )


if __name__ == '__main__':
  unittest.main()
