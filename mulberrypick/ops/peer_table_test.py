"""Tests of what hosts know of each other from their messages."""

import random
import unittest

from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message
from mulberrypick.ops import peer_table

HOSTS = 20


def make_host(number: int) -> peer_topology.PeerHost:
  return peer_topology.PeerHost(f'host-{number:02}', 'a', f'127.0.0.1:{number}')


def make_table(own: peer_topology.PeerHost) -> peer_table.PeerTable:
  """Returns the table of a host that knows all others from the store."""
  settings = gateway_records.GatewayHost(
      name=own.name,
      zone=own.zone,
      ip='127.0.0.1',
      listen_port=1,
      ready_ip='127.0.0.1',
      ready_port=2,
      peer_port=int(own.address.rpartition(':')[2]),
      seeds=(),
      store_ip='127.0.0.1',
      store_port=3,
      is_first_start=False,
      bounds=gateway_records.PlatformLimits(8.0, 0.2, 52.0, 10.0),
  )
  state = gateway_state.GatewayState(settings, random.Random(1))
  table = peer_table.PeerTable(state, own)
  table.topology.update_listed_hosts(map(make_host, range(HOSTS)))
  table.update_neighbors(lambda _: None, 0.0)
  return table


class SkippedRelayTest(unittest.TestCase):

  def setUp(self):
    tables = [make_table(make_host(number)) for number in range(HOSTS)]
    self.table = next(t for t in tables if t.neighbors.relay)
    self.relay = next(
        host
        for host in self.table.topology.hosts()
        if host.address == self.table.neighbors.relay
    )
    # It does not respond in time, as all hosts start at the same moment.
    for number in range(9):
      self.table.update_neighbors(lambda _: 0.0, 0.1 * number + 0.1)
    self.assertNotEqual(self.table.neighbors.relay, self.relay.address)

  def hear(self, now: float, **fields) -> None:
    """Lets the table hear the skipped relay."""
    message = peer_message.PeerMessage(
        *self.relay, role=peer_topology.Role.RELAY, **fields
    )
    self.table.handle_message(message, now)
    self.table.update_neighbors(lambda _: 0.0, now)

  def test_relay_that_starts_late_is_used_once_it_is_heard(self):
    # Guards against two fleets that do not know each other's load.
    self.hear(1.1)
    self.assertEqual(self.table.neighbors.relay, self.relay.address)

  def test_relay_that_starts_again_is_used(self):
    self.hear(1.1)
    self.table.topology.skip(self.relay.address, 2.0)
    self.hear(2.1, is_starting=True)
    self.assertEqual(self.table.neighbors.relay, self.relay.address)

  def test_relay_that_was_silent_in_between_stays_skipped(self):
    self.hear(1.1)
    self.table.topology.skip(self.relay.address, 2.0)
    self.hear(2.1)
    self.assertNotEqual(self.table.neighbors.relay, self.relay.address)

  def test_relay_that_leaves_stays_skipped(self):
    self.hear(1.1, is_leaving=True)
    self.assertNotEqual(self.table.neighbors.relay, self.relay.address)


class MissedHostsTest(unittest.TestCase):

  def missed_at(self, now: float) -> int:
    """Returns how many hosts are missed by one that hears none."""
    table = make_table(make_host(0))
    table.update_host_counts(0.0)
    table.update_host_counts(now)
    return table._state.missed_hosts

  def test_hosts_that_start_together_do_not_miss_each_other(self):
    # Guards against a read and a write of the store by each host that starts.
    self.assertEqual(self.missed_at(1.0), 0)

  def test_hosts_that_are_not_heard_are_missed(self):
    self.assertEqual(self.missed_at(3.0), HOSTS - 1)


if __name__ == '__main__':
  unittest.main()
