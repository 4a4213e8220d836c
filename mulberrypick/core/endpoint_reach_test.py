"""Tests of the decision whether a host is cut off from all endpoints."""

import unittest

from mulberrypick.core import endpoint_reach
from mulberrypick.core import gateway_records

REACH = endpoint_reach.Reach


def make_endpoint(name: str, service: str = 'desk') -> gateway_records.Endpoint:
  return gateway_records.Endpoint(
      name,
      1,
      service,
      '127.0.0.1',
      80,
      'zone-a',
      8,
      False,
      gateway_records.Stage.NONE,
  )


DESKS = [make_endpoint('desk-1'), make_endpoint('desk-2')]
ENGINE = make_endpoint('writer', 'engine')
ALL = [*DESKS, ENGINE]


class EndpointReachTest(unittest.TestCase):

  def setUp(self):
    self.reach = endpoint_reach.EndpointReach()
    self.reach.record_opened(0.0)

  def lose(self, *endpoints, at=1.0):
    for endpoint in endpoints:
      self.reach.record_failed(endpoint, at)

  def fail_round(self, *endpoints, at=1.1):
    """Lets rounds of probes fail; returns the change."""
    change = None
    for _ in range(endpoint_reach.MIN_FAILED_ROUNDS):
      self.reach.choose_probes(endpoints)
      self.lose(*endpoints, at=at)
      change = self.reach.record_round(list(endpoints), at) or change
    return change

  def set_apart(self):
    self.lose(DESKS[0])
    self.reach.record_peer(1.2)
    self.fail_round(DESKS[1], ENGINE)

  def test_host_is_apart_if_a_round_fails_here_alone(self):
    self.lose(DESKS[0])
    self.assertIsNone(self.fail_round(DESKS[1], ENGINE))
    self.reach.record_peer(1.2)
    self.assertEqual(self.reach.settle().state, REACH.APART)
    self.assertTrue(self.reach.is_apart)

  def test_one_round_that_fails_proves_nothing(self):
    self.lose(DESKS[0])
    self.reach.record_peer(1.2)
    self.reach.choose_probes(ALL)
    self.lose(*ALL)
    self.assertIsNone(self.reach.record_round(ALL, 1.1))

  def test_failed_requests_alone_are_only_a_suspicion(self):
    self.lose(*ALL)
    self.reach.record_peer(1.2)
    self.assertIsNone(self.reach.settle())

  def test_host_is_not_apart_if_one_probe_succeeds(self):
    self.lose(DESKS[0])
    self.reach.choose_probes([DESKS[1], ENGINE])
    self.lose(DESKS[1], at=1.1)
    self.reach.record_opened(1.1)
    self.reach.record_peer(1.2)
    self.assertIsNone(self.reach.record_round([DESKS[1], ENGINE], 1.1))
    self.assertEqual(self.reach.state, REACH.CONNECTED)

  def test_host_is_not_apart_if_nobody_reached_endpoints_since(self):
    self.reach.record_peer(1.09)
    self.lose(DESKS[0])
    self.assertIsNone(self.fail_round(DESKS[1], ENGINE))

  def test_single_endpoint_is_enough_if_there_is_no_other(self):
    self.lose(DESKS[0])
    self.reach.record_peer(1.2)
    self.assertIsNotNone(self.fail_round(DESKS[0]))

  def test_probe_of_a_host_that_suspects_nothing_is_no_round(self):
    probes = self.reach.choose_probes(ALL)
    self.lose(*probes)
    self.reach.record_peer(1.2)
    self.assertIsNone(self.reach.record_round(probes, 1.0))
    self.assertEqual(self.reach.state, REACH.SUSPECTED)

  def test_break_beside_a_new_connection_raises_no_suspicion(self):
    self.reach.record_opened(1.0)
    self.assertIsNone(self.reach.record_doubt(1.2))
    self.assertEqual(self.reach.state, REACH.CONNECTED)
    self.lose(DESKS[0], at=1.21)
    self.assertEqual(self.reach.state, REACH.SUSPECTED)

  def test_first_round_of_a_suspicion_comes_soon_after_the_last_one(self):
    self.lose(DESKS[0], at=1.0)
    self.assertTrue(self.reach.is_probe_due(1.0))
    self.reach.record_opened(1.01)
    self.lose(DESKS[0], at=1.02)
    self.assertFalse(self.reach.is_probe_due(1.05))
    self.assertTrue(self.reach.is_probe_due(1.11))
    self.assertTrue(self.reach.is_probe_due(1.22))
    self.assertFalse(self.reach.is_probe_due(1.4))

  def test_all_since_the_last_sign_belongs_to_the_cut(self):
    self.reach.record_data(0.5)
    self.lose(DESKS[0], at=1.0)
    self.reach.record_peer(1.2)
    change = self.fail_round(DESKS[1], ENGINE)
    self.assertLess(change.since, 0.5)
    self.assertGreater(change.since, 0.4)

  def test_no_known_endpoint_proves_nothing(self):
    self.lose(DESKS[0])
    self.reach.record_peer(1.2)
    self.assertIsNone(self.reach.record_round([], 1.1))

  def test_data_on_open_connections_does_not_end_the_suspicion(self):
    self.lose(DESKS[0])
    self.reach.record_data(1.05)
    self.reach.record_peer(1.2)
    self.assertIsNotNone(self.fail_round(DESKS[1], ENGINE))

  def test_host_returns_after_two_connections(self):
    self.set_apart()
    self.assertEqual(self.reach.record_opened(5.0).state, REACH.RETURNING)
    self.assertTrue(self.reach.is_apart)
    change = self.reach.record_opened(5.1)
    self.assertEqual(change.state, REACH.CONNECTED)
    self.assertLessEqual(change.since, 1.0)

  def test_one_connection_among_failures_does_not_end_the_cut(self):
    self.set_apart()
    self.reach.record_opened(5.0)
    self.lose(DESKS[0], at=5.1)
    self.assertEqual(self.reach.state, REACH.APART)

  def test_probes_of_a_suspicion_go_to_endpoints_that_have_not_failed(self):
    self.lose(DESKS[0])
    self.assertEqual(self.reach.choose_probes(ALL), [DESKS[1], ENGINE])
    self.lose(*ALL)
    self.assertEqual(len(self.reach.choose_probes(ALL)), len(ALL))

  def test_probes_cover_several_services(self):
    desks = [make_endpoint(f'desk-{number}') for number in range(20)]
    self.lose(desks[0])
    probes = self.reach.choose_probes([*desks, ENGINE])
    self.assertEqual(len(probes), endpoint_reach.MAX_PROBES)
    self.assertIn(ENGINE, probes)

  def test_probes_are_limited(self):
    self.assertFalse(self.reach.is_probe_due(1.0))
    self.assertTrue(self.reach.is_probe_due(2.0))
    self.assertFalse(self.reach.is_probe_due(2.1))
    self.lose(DESKS[0], at=2.2)
    rounds = [n for n in range(100) if self.reach.is_probe_due(2.2 + n / 100)]
    self.assertLessEqual(len(rounds), 5)

  def test_probe_that_another_host_asks_for_is_due_at_once(self):
    self.reach.record_data(1.0)
    self.reach.ask()
    self.assertTrue(self.reach.is_probe_due(1.0))
    self.reach.ask()
    self.assertFalse(self.reach.is_probe_due(1.05))
    self.assertTrue(self.reach.is_probe_due(1.15))


if __name__ == '__main__':
  unittest.main()
