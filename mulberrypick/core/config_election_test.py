"""Tests for the election of the hosts that watch the platform."""

import unittest

from mulberrypick.core import config_election
from mulberrypick.core import rendezvous

ZONE = {f'127.0.0.1:{port}' for port in range(1000, 1008)}
ORDER = rendezvous.rank(config_election.TASK, ZONE)
BEACON_TIMEOUT_S = (
    config_election.MAX_MISSED_BEACONS
    * config_election.beacon_interval_s(len(ZONE))
)


def run_zone(alive: set[str], until_s: float) -> dict[str, float]:
  """Simulates a zone in which only the hosts in `alive` reach the platform.

  Returns:
    The time since which each host has been elected, for those elected at the
    end.
  """
  elections = {a: config_election.WatcherElection(a) for a in ZONE}
  since_by_address = {}
  now = 0.0
  while now < until_s:
    for address, election in elections.items():
      if not election.is_elected(ZONE, now):
        since_by_address.pop(address, None)
        continue
      since_by_address.setdefault(address, now)
      if address not in alive:
        continue
      for other in elections.values():
        other.record_beacon(address, now)
    now += 0.5
  return since_by_address


class TestElection(unittest.TestCase):

  def test_two_hosts_watch_in_normal_operation(self):
    self.assertEqual(set(run_zone(ZONE, 100.0)), set(ORDER[:2]))

  def test_watchers_that_are_cut_off_are_replaced(self):
    since_by_address = run_zone(ZONE - set(ORDER[:2]), 100.0)
    replacements = set(since_by_address) - set(ORDER[:2])
    self.assertEqual(replacements, set(ORDER[2:4]))
    for address in replacements:
      self.assertLessEqual(since_by_address[address], 2 * BEACON_TIMEOUT_S)

  def test_in_an_outage_hosts_join_two_at_a_time(self):
    since_by_address = run_zone(set(), 100.0)
    starts = sorted(since_by_address.values())
    self.assertEqual(len(starts), len(ZONE))
    for earlier, later in zip(starts, starts[2:], strict=False):
      self.assertGreaterEqual(later - earlier, BEACON_TIMEOUT_S - 0.5)

  def test_hosts_that_leave_are_forgotten(self):
    election = config_election.WatcherElection(ORDER[2])
    self.assertFalse(election.is_elected(ZONE, 0.0))
    self.assertTrue(election.is_elected(ZONE - {ORDER[0]}, 0.5))
