"""Tests of the topology of the exchange of loads."""

import unittest

from mulberrypick.core import peer_topology

ZONES = ('a', 'b', 'c')


def make_host(number: int) -> peer_topology.PeerHost:
  zone = ZONES[number % len(ZONES)]
  return peer_topology.PeerHost(f'host-{number:03}', zone, f'10.0.0.{number}:1')


class Fleet:
  """Simulated hosts that know each other's decisions, without a network."""

  def __init__(self, count: int):
    self.hosts = [make_host(number) for number in range(count)]
    self.circle_by_address = {}
    for host in self.hosts:
      circle = peer_topology.PeerTopology(host)
      for other in self.hosts:
        circle.update_host(other)
      self.circle_by_address[host.address] = circle
    self.dead: set[str] = set()
    self.decided: dict[str, peer_topology.Neighbors] = {}

  def step(self, now: float) -> None:
    """Lets each live host skip dead relays and decide on its neighbors."""
    decided = {}
    for address, circle in self.circle_by_address.items():
      if address in self.dead:
        continue
      own_members, relays = set(), set()
      for other, theirs in self.decided.items():
        if other in self.dead:
          continue
        if theirs.relay == address:
          own_members.add(other)
        if theirs.role is peer_topology.Role.RELAY and address in theirs.relays:
          relays.add(other)
      own = self.decided.get(address)
      for told in own.relays if own else ():
        if told in self.dead:
          circle.skip(told, now)
      decided[address] = circle.decide(
          frozenset(own_members), frozenset(relays), now
      )
    self.decided = decided

  def covered(self, address: str) -> list[str]:
    """Returns the hosts whose load reaches this one, once per way."""
    own = self.decided[address]
    if own.role is peer_topology.Role.DIRECT:
      heard = [a for a, c in self.decided.items() if address in c.members]
      return sorted(heard)
    relay = own.relay or address
    heard = [] if relay == address else [relay]
    heard += self.decided[relay].members
    for other, theirs in self.decided.items():
      if other == relay or relay not in theirs.relays:
        continue
      if theirs.role is peer_topology.Role.RELAY:
        heard += [other, *theirs.members]
    return sorted(x for x in heard if x != address and x not in self.dead)


class HostCircleTest(unittest.TestCase):

  def check_covered(self, fleet: Fleet):
    living = {h.address for h in fleet.hosts} - fleet.dead
    for address in living:
      wanted = sorted(living - {address})
      self.assertEqual(fleet.covered(address), wanted, address)

  def test_few_hosts_tell_each_other(self):
    fleet = Fleet(peer_topology.MAX_DIRECT_HOSTS)
    fleet.step(0.0)
    for circle in fleet.decided.values():
      self.assertEqual(circle.role, peer_topology.Role.DIRECT)
    self.check_covered(fleet)

  def test_of_many_each_hears_each_other_one_once(self):
    for count in (17, 30, 77, 91, 300):
      fleet = Fleet(count)
      for step in range(3):
        fleet.step(float(step))
      self.check_covered(fleet)

  def test_links_grow_less_than_hosts(self):
    most = {}
    for count in (30, 300):
      fleet = Fleet(count)
      for step in range(3):
        fleet.step(float(step))
      links = [len(c.relays | c.members) for c in fleet.decided.values()]
      most[count] = max(links)
      self.assertLess(sum(links) / count, 8)
    self.assertLess(most[300], 60)

  def test_relays_that_end_are_replaced(self):
    fleet = Fleet(77)
    for step in range(3):
      fleet.step(float(step))
    for address, circle in fleet.decided.items():
      if circle.role is peer_topology.Role.RELAY:
        fleet.dead.add(address)
    for step in range(3, 7):
      fleet.step(float(step))
    self.check_covered(fleet)

  def test_zone_alone_goes_on(self):
    fleet = Fleet(77)
    for step in range(3):
      fleet.step(float(step))
    fleet.dead = {h.address for h in fleet.hosts if h.zone != 'b'}
    for step in range(3, 7):
      fleet.step(float(step))
    self.check_covered(fleet)

  def test_skipped_relay_is_tried_again(self):
    fleet = Fleet(77)
    circle = fleet.circle_by_address[fleet.hosts[-1].address]
    first = circle.decide(frozenset(), frozenset(), 0.0)
    self.assertEqual(first.role, peer_topology.Role.MEMBER)
    circle.skip(first.relay, 1.0)
    second = circle.decide(frozenset(), frozenset(), 2.0)
    self.assertNotEqual(second.relay, first.relay)
    later = 1.0 + peer_topology.RELAY_RETRY_INTERVAL_S
    again = circle.decide(frozenset(), frozenset(), later)
    self.assertEqual(again.relay, first.relay)

  def test_host_that_came_back_elsewhere_replaces_itself(self):
    circle = peer_topology.PeerTopology(make_host(0))
    circle.update_host(make_host(1))
    moved = make_host(1)._replace(address='10.0.9.9:1')
    circle.update_host(moved)
    told = circle.decide(frozenset(), frozenset(), 0.0).members
    self.assertEqual(told, {'10.0.9.9:1'})

  def test_host_that_left_the_list_is_forgotten_and_others_are_not(self):
    circle = peer_topology.PeerTopology(make_host(0))
    circle.update_listed_hosts([make_host(1), make_host(2)])
    circle.update_host(make_host(3))
    circle.update_listed_hosts([make_host(1)])
    names = {host.name for host in circle.hosts()}
    self.assertEqual(names, {'host-000', 'host-001', 'host-003'})

  def test_hearsay_does_not_bring_back_who_left(self):
    circle = peer_topology.PeerTopology(make_host(0))
    circle.update_listed_hosts([make_host(1), make_host(2)])
    circle.update_listed_hosts([make_host(1)])
    circle.add_reported_host(make_host(2))
    self.assertEqual(len(circle.hosts()), 2)
    circle.update_host(make_host(2))
    self.assertEqual(len(circle.hosts()), 3)

  def test_digest_tells_whether_two_know_the_same_hosts(self):
    one = peer_topology.PeerTopology(make_host(0))
    other = peer_topology.PeerTopology(make_host(1))
    one.update_host(make_host(1))
    self.assertNotEqual(one.digest(), other.digest())
    other.add_reported_host(make_host(0))
    self.assertEqual(one.digest(), other.digest())


if __name__ == '__main__':
  unittest.main()
