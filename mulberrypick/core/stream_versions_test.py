"""Tests of the versions that streams are bound to."""

import random
import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.core import stream_versions

LIFETIME_S = stream_versions.STREAM_LIFETIME_S


def _endpoint(name, software):
  return endpoint_registry_test.make_endpoint(name, software=software)


def _route(timeout_s: float, is_resumable: bool) -> gateway_records.Route:
  return gateway_records.Route(
      name='r',
      hostname='h',
      path_prefix='/',
      kind=gateway_records.CallKind.STREAM,
      timeout_s=timeout_s,
      target_s=0.2,
      rank=0,
      share_by_service={'s': 1},
      attempts=2,
      is_resumable=is_resumable,
      gap_s=0.1,
  )


def _hosts(zones, per_zone):
  hosts = []
  for zone in zones:
    for number in range(per_zone):
      name = f'{zone}-{number}'
      hosts.append(peer_topology.PeerHost(name, zone, f'{name}:1'))
  return hosts


class StreamBindingsTest(unittest.TestCase):

  def setUp(self):
    self.bindings = stream_versions.StreamBindings()

  def test_stream_is_bound_to_the_version_that_began_it(self):
    self.bindings.bind(7, 'v1', LIFETIME_S, 0.0)
    self.bindings.bind(7, 'v1', LIFETIME_S, 1.0)
    self.assertEqual(self.bindings.find(7), 'v1')
    self.assertIsNone(self.bindings.find(8))

  def test_stream_that_began_at_two_versions_is_bound_to_none(self):
    self.bindings.bind(7, 'v1', LIFETIME_S, 0.0)
    self.bindings.bind(7, 'v2', LIFETIME_S, 1.0)
    self.bindings.bind(7, 'v2', LIFETIME_S, 2.0)
    self.assertEqual(self.bindings.find(7), '')

  def test_bindings_expire(self):
    self.bindings.bind(7, 'v1', LIFETIME_S, 0.0)
    self.bindings.bind(8, 'v1', LIFETIME_S, LIFETIME_S + 1.0)
    self.assertIsNone(self.bindings.find(7))
    self.assertEqual(self.bindings.find(8), 'v1')

  def test_number_of_bindings_is_limited(self):
    for key in range(stream_versions.MAX_BINDINGS + 10):
      self.bindings.bind(key, 'v1', LIFETIME_S, 0.0)
    self.assertIsNone(self.bindings.find(9))
    self.assertEqual(self.bindings.find(10), 'v1')

  def test_same_id_of_another_caller_is_another_stream(self):
    self.assertNotEqual(
        stream_versions.stream_key('id', 1), stream_versions.stream_key('id', 2)
    )


class VersionHistoryTest(unittest.TestCase):

  def setUp(self):
    self.history = stream_versions.VersionHistory()

  def test_single_version_is_certain_after_the_lifetime_of_a_stream(self):
    self.history.observe([_endpoint('a', 'v1')], 0.0)
    self.assertIsNone(self.history.only_version('s', LIFETIME_S - 1))
    self.assertEqual(self.history.only_version('s', LIFETIME_S), 'v1')

  def test_version_that_left_counts_for_the_lifetime_of_a_stream(self):
    self.history.observe([_endpoint('a', 'v1'), _endpoint('b', 'v2')], 0.0)
    self.history.observe([_endpoint('b', 'v2')], LIFETIME_S)
    self.assertFalse(self.history.is_certain('s', LIFETIME_S))
    self.assertIsNone(self.history.only_version('s', LIFETIME_S))
    self.history.observe([_endpoint('b', 'v2')], LIFETIME_S + 1)
    self.assertTrue(self.history.is_certain('s', LIFETIME_S + 1))
    self.assertEqual(self.history.only_version('s', LIFETIME_S + 1), 'v2')

  def test_version_is_uncertain_after_a_gap_in_what_is_known(self):
    self.history.observe([_endpoint('a', 'v1')], 0.0)
    self.history.record_gap(LIFETIME_S)
    self.history.observe([_endpoint('a', 'v1')], LIFETIME_S)
    self.assertIsNone(self.history.only_version('s', 2 * LIFETIME_S - 1))
    self.assertEqual(self.history.only_version('s', 2 * LIFETIME_S), 'v1')

  def test_version_that_came_and_went_between_two_looks_counts(self):
    self.history.observe([_endpoint('a', 'v1')], 0.0)
    self.history.record(_endpoint('b', 'v2'), LIFETIME_S)
    self.history.observe([_endpoint('a', 'v1')], LIFETIME_S)
    self.assertIsNone(self.history.only_version('s', LIFETIME_S))

  def test_unknown_version_is_never_the_only_one(self):
    self.history.observe([_endpoint('a', '')], 0.0)
    self.assertIsNone(self.history.only_version('s', LIFETIME_S))

  def test_service_without_endpoints_has_no_version(self):
    self.history.observe([_endpoint('a', 'v1')], 0.0)
    self.assertIsNone(self.history.only_version('other', LIFETIME_S))


class LifetimeTest(unittest.TestCase):

  def find(self, timeout_s: float, is_resumable: bool) -> float:
    route = _route(timeout_s, is_resumable)
    config = gateway_records.GatewayConfig(1, {'h': [route]}, {}, None, b'')
    return stream_versions.find_lifetime_s(config)

  def test_long_streams_are_remembered_for_longer(self):
    self.assertEqual(stream_versions.find_lifetime_s(None), LIFETIME_S)
    self.assertEqual(self.find(5.0, True), LIFETIME_S)
    self.assertEqual(self.find(60.0, False), LIFETIME_S)
    self.assertEqual(self.find(60.0, True), 120.0)

  def test_versions_forgotten_under_a_shorter_lifetime_make_uncertain(self):
    history = stream_versions.VersionHistory()
    for at in range(0, 200, 10):
      history.observe([_endpoint('a', 'v1')], float(at))
    self.assertEqual(history.only_version('s', 200.0), 'v1')
    history.set_lifetime(120.0, 200.0)
    self.assertIsNone(history.only_version('s', 200.0))
    self.assertEqual(history.only_version('s', 290.0), 'v1')


class RegistrarsTest(unittest.TestCase):

  def test_binding_is_found_from_any_host_without_the_first_one(self):
    for key in range(50):
      hosts = _hosts(('east', 'west', 'south'), 3)
      for began in hosts:
        told = stream_versions.choose_registrars(key, hosts, began)
        self.assertEqual(len(told), 2)
        self.assertNotIn(began.address, told)
        for asks in hosts:
          if asks == began:
            continue
          asked = stream_versions.choose_asked(key, hosts, asks)
          knows = {*asked, asks.address} - {began.address}
          self.assertTrue(knows & set(told))

  def test_binding_is_found_in_a_zone_that_is_cut_off(self):
    hosts = _hosts(('east', 'west', 'south'), 3)
    east = [host for host in hosts if host.zone == 'east']
    reachable = {host.address for host in east}
    for key in range(50):
      for began in east:
        told = stream_versions.choose_registrars(key, hosts, began)
        for asks in east:
          if asks == began:
            continue
          asked = stream_versions.choose_asked(key, hosts, asks)
          knows = {*asked, asks.address} & reachable
          self.assertTrue(knows & set(told))

  def test_binding_is_found_if_all_hosts_are_in_one_zone(self):
    hosts = _hosts(('east',), 3)
    for key in range(50):
      for began in hosts:
        told = stream_versions.choose_registrars(key, hosts, began)
        self.assertEqual(len(told), 2)
        for asks in hosts:
          asked = stream_versions.choose_asked(key, hosts, asks)
          self.assertTrue({*asked, asks.address} & set(told))

  def test_large_fleet_has_few_registrars(self):
    own = peer_topology.PeerHost('own', 'east', 'own:1')
    topology = peer_topology.PeerTopology(own)
    for host in _hosts(('east', 'west', 'south', 'north'), 23):
      topology.update_host(host)
    registrars = topology.registrars()
    self.assertLessEqual(len(registrars), 12)
    shuffled = _hosts(('north', 'south', 'west', 'east'), 23)
    random.Random(1).shuffle(shuffled)
    other = peer_topology.PeerTopology(shuffled[0])
    for host in [*shuffled[1:], own]:
      other.update_host(host)
    self.assertEqual(set(other.registrars()), set(registrars))


if __name__ == '__main__':
  unittest.main()
