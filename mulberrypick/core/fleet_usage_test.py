"""Tests for the usage of the fleet, exchanged between several hosts."""

import unittest

from mulberrypick.core import fleet_usage


def exchange(uses, now):
  """Sends the digest of every host to every other host."""
  digests = [use.digest({}, {}, now) for use in uses]
  for number, use in enumerate(uses):
    for other, digest in enumerate(digests):
      if other != number:
        use.update_peer(f'entry-{other}', digest, now)


class TestFleetUse(unittest.TestCase):

  def test_all_hosts_see_the_same_fractions(self):
    for hosts in (1, 3, 9):
      uses = [fleet_usage.FleetUsage() for _ in range(hosts)]
      for second in range(20):
        # All urgent requests arrive at one host.
        uses[0].charge('a', 'urgent', 1.0, second)
        for use in uses:
          use.charge('b', 'other', 3.0 / hosts, second)
        exchange(uses, second)
      for use in uses:
        self.assertAlmostEqual(
            0.25, use.rank_usage_fraction('urgent'), delta=0.025
        )
        ratio = use.tenant_usage('b') / use.tenant_usage('a')
        self.assertAlmostEqual(3.0, ratio, delta=0.3)

  def test_the_usage_of_a_gone_host_decays(self):
    first, second = fleet_usage.FleetUsage(), fleet_usage.FleetUsage()
    second.charge('a', 'urgent', 10.0, 0.0)
    first.update_peer('entry-2', second.digest({}, {}, 0.0), 0.0)
    first.charge('b', 'other', 10.0, 60.0)
    self.assertLess(first.rank_usage_fraction('urgent'), 0.01)

  def test_a_repeated_digest_is_not_counted_twice(self):
    use = fleet_usage.FleetUsage()
    peer_digest = fleet_usage.UsageDigest({'a': 5.0}, {'other': 5.0}, {}, {})
    for _ in range(3):
      use.update_peer('entry-2', peer_digest, 1.0)
    self.assertAlmostEqual(0.5, use.rank_usage_rate('other', 1.0))

  def test_amounts_stay_comparable_after_hours(self):
    use = fleet_usage.FleetUsage()
    for second in range(0, 20000, 5):
      use.charge('a', 'other', 1.0, second)
      use.charge('b', 'other', 2.0, second)
      use.digest({}, {}, second)
    ratio = use.tenant_usage('b') / use.tenant_usage('a')
    self.assertAlmostEqual(2.0, ratio)
    self.assertGreater(use.epoch, 10)

  def test_a_digest_is_bounded(self):
    use = fleet_usage.FleetUsage()
    for number in range(5000):
      use.charge(f't{number}', 'other', 1.0, 0.0)
    digest = use.digest({}, {}, 0.0)
    self.assertEqual(fleet_usage.MAX_DIGEST_TENANTS, len(digest.used_by_tenant))

  def test_waiting_usage_of_a_peer_expires(self):
    first, second = fleet_usage.FleetUsage(), fleet_usage.FleetUsage()
    second.charge('a', 'other', 4.0, 0.0)
    amount = second.tenant_usage('a')
    peer_digest = second.digest({'other': amount}, {}, 0.0)
    first.update_peer('entry-2', peer_digest, 0.0)
    self.assertAlmostEqual(4.0, first.min_waiting_usage('other', 1.0, 2.0))
    self.assertEqual(float('inf'), first.min_waiting_usage('other', 3.0, 2.0))


if __name__ == '__main__':
  unittest.main()
