"""Tests which hosts send their load to which others."""

import unittest

from mulberrypick.core import peer_topology

ZONES = ('a', 'b', 'c')


def make_host(number: int) -> peer_topology.PeerHost:
  zone = ZONES[number % len(ZONES)]
  return peer_topology.PeerHost(f'host-{number:03}', zone, f'10.0.0.{number}:1')


class SimulatedHosts:
  """Simulated hosts that know each other's decisions, without a network."""

  def __init__(self, count: int):
    self.hosts = [make_host(number) for number in range(count)]
    self.topology_by_address = {}
    for host in self.hosts:
      topology = peer_topology.PeerTopology(host)
      for other in self.hosts:
        topology.update_host(other)
      self.topology_by_address[host.address] = topology
    self.dead: set[str] = set()
    self.decided: dict[str, peer_topology.Neighbors] = {}

  def step(self, now: float) -> None:
    """Lets each live host skip dead relays and decide on its neighbors."""
    decided = {}
    for address, topology in self.topology_by_address.items():
      if address in self.dead:
        continue
      own_members, relays = set(), set()
      for other, other_neighbors in self.decided.items():
        if other in self.dead:
          continue
        if other_neighbors.relay == address:
          own_members.add(other)
        if (
            other_neighbors.role is peer_topology.Role.RELAY
            and address in other_neighbors.relays
        ):
          relays.add(other)
      own = self.decided.get(address)
      for target in own.relays if own else ():
        if target in self.dead:
          topology.skip(target, now)
      decided[address] = topology.decide(
          frozenset(own_members), frozenset(relays), now
      )
    self.decided = decided

  def hosts_heard(self, address: str) -> list[str]:
    """Returns the hosts whose load reaches this one, once for each path."""
    own = self.decided[address]
    if own.role is peer_topology.Role.DIRECT:
      heard = [a for a, c in self.decided.items() if address in c.members]
      return sorted(heard)
    relay = own.relay or address
    heard = [] if relay == address else [relay]
    heard += self.decided[relay].members
    for other, other_neighbors in self.decided.items():
      if other == relay or relay not in other_neighbors.relays:
        continue
      if other_neighbors.role is peer_topology.Role.RELAY:
        heard += [other, *other_neighbors.members]
    return sorted(x for x in heard if x != address and x not in self.dead)


class PeerTopologyTest(unittest.TestCase):

  def check_all_heard(self, fleet: SimulatedHosts):
    live = {h.address for h in fleet.hosts} - fleet.dead
    for address in live:
      wanted = sorted(live - {address})
      self.assertEqual(fleet.hosts_heard(address), wanted, address)

  def test_few_hosts_send_to_each_other_directly(self):
    fleet = SimulatedHosts(peer_topology.MAX_DIRECT_HOSTS)
    fleet.step(0.0)
    for neighbors in fleet.decided.values():
      self.assertEqual(neighbors.role, peer_topology.Role.DIRECT)
    self.check_all_heard(fleet)

  def test_load_of_each_host_reaches_each_other_host_once(self):
    for count in (17, 30, 77, 91, 300):
      fleet = SimulatedHosts(count)
      for step in range(3):
        fleet.step(float(step))
      self.check_all_heard(fleet)

  def test_number_of_links_grows_slower_than_number_of_hosts(self):
    most = {}
    for count in (30, 300):
      fleet = SimulatedHosts(count)
      for step in range(3):
        fleet.step(float(step))
      links = [len(c.relays | c.members) for c in fleet.decided.values()]
      most[count] = max(links)
      self.assertLess(sum(links) / count, 8)
    self.assertLess(most[300], 60)

  def test_dead_relays_are_replaced(self):
    fleet = SimulatedHosts(77)
    for step in range(3):
      fleet.step(float(step))
    for address, neighbors in fleet.decided.items():
      if neighbors.role is peer_topology.Role.RELAY:
        fleet.dead.add(address)
    for step in range(3, 7):
      fleet.step(float(step))
    self.check_all_heard(fleet)

  def test_disconnected_zone_continues_with_its_own_relays(self):
    fleet = SimulatedHosts(77)
    for step in range(3):
      fleet.step(float(step))
    fleet.dead = {h.address for h in fleet.hosts if h.zone != 'b'}
    for step in range(3, 7):
      fleet.step(float(step))
    self.check_all_heard(fleet)

  def test_skipped_relay_is_tried_again(self):
    fleet = SimulatedHosts(77)
    topology = fleet.topology_by_address[fleet.hosts[-1].address]
    first = topology.decide(frozenset(), frozenset(), 0.0)
    self.assertEqual(first.role, peer_topology.Role.MEMBER)
    topology.skip(first.relay, 1.0)
    second = topology.decide(frozenset(), frozenset(), 2.0)
    self.assertNotEqual(second.relay, first.relay)
    later = 1.0 + peer_topology.RELAY_RETRY_INTERVAL_S
    again = topology.decide(frozenset(), frozenset(), later)
    self.assertEqual(again.relay, first.relay)

  def test_new_address_of_a_host_replaces_the_old_one(self):
    topology = peer_topology.PeerTopology(make_host(0))
    topology.update_host(make_host(1))
    moved = make_host(1)._replace(address='10.0.9.9:1')
    topology.update_host(moved)
    target = topology.decide(frozenset(), frozenset(), 0.0).members
    self.assertEqual(target, {'10.0.9.9:1'})

  def test_host_off_the_list_is_removed_and_unlisted_hosts_are_not(self):
    topology = peer_topology.PeerTopology(make_host(0))
    topology.update_listed_hosts([make_host(1), make_host(2)])
    topology.update_host(make_host(3))
    topology.update_listed_hosts([make_host(1)])
    names = {host.name for host in topology.hosts()}
    self.assertEqual(names, {'host-000', 'host-001', 'host-003'})

  def test_host_that_left_is_not_added_again_by_a_peer(self):
    topology = peer_topology.PeerTopology(make_host(0))
    topology.update_listed_hosts([make_host(1), make_host(2)])
    topology.update_listed_hosts([make_host(1)])
    topology.add_reported_host(make_host(2))
    self.assertEqual(len(topology.hosts()), 2)
    topology.update_host(make_host(2))
    self.assertEqual(len(topology.hosts()), 3)

  def test_digest_is_equal_for_equal_sets_of_hosts(self):
    one = peer_topology.PeerTopology(make_host(0))
    other = peer_topology.PeerTopology(make_host(1))
    one.update_host(make_host(1))
    self.assertNotEqual(one.digest(), other.digest())
    other.add_reported_host(make_host(0))
    self.assertEqual(one.digest(), other.digest())


if __name__ == '__main__':
  unittest.main()
