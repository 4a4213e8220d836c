"""Tests policies in simulated time against the stated targets.

The targets are: the goodput that urgent requests keep in a flood of others,
the share of their reserved capacity that other requests keep in a flood of
urgent ones, and the number of engines that a crashing request may crash.
"""

import unittest

from standins import policy_load
from standins import policy_trial

SEED = 11
REPORT_LAG_S = 0.3


def run(scenario, seconds, policy='product', **changes):
  """Runs a scenario and returns its figures."""
  return policy_trial.run(
      scenario, policy, seconds, REPORT_LAG_S, SEED, False, **changes
  )


def good_share(row, rank):
  """Returns the share of a rank's requests that met all targets."""
  good, arrived = row[f'{rank}_good'].split('/')
  return int(good) / int(arrived)


class TestFloods(unittest.TestCase):

  def test_urgent_work_keeps_its_goodput_in_a_flood_of_other_work(self):
    calm = good_share(run('steady', 30.0), 'urgent')
    row = run('flood-other', 30.0)
    self.assertGreaterEqual(good_share(row, 'urgent'), 0.97 * calm)
    self.assertLess(row['refusal_p99_s'], 0.05)

  def test_flood_of_one_tenant_does_not_affect_tenants_within_their_share(self):
    row = run('flood-other', 30.0, uneven=True)
    good, arrived = 0, 0
    for tenant, text in row['other_by_tenant'].items():
      if tenant != policy_load.FLOODING_TENANT:
        counts = text.split('/')
        good += int(counts[0])
        arrived += int(counts[1])
    self.assertGreaterEqual(good / arrived, 0.97)

  def test_other_work_keeps_its_reserve_in_a_flood_of_urgent_work(self):
    row = run('flood-urgent', 22.0)
    reserved = policy_load.OTHER.reserve * policy_trial.ENGINES
    self.assertGreaterEqual(row['other_good_engine_s'], 0.9 * reserved)


class TestCrashingRequests(unittest.TestCase):

  def test_each_crashing_prompt_crashes_two_engines_at_most(self):
    row = run('crasher', 32.0)
    contents = len(
        policy_load.make_crashing_requests(policy_trial.WARM_UP_S, 32.0)
    )
    self.assertLessEqual(row['crashes'], 2 * contents)
    self.assertEqual(0, row['cut'])
    self.assertNotIn('repeated_crash', row['refused'])
    self.assertNotIn('unavailable', row['refused'])


class TestRoles(unittest.TestCase):

  def test_a_steady_mix_changes_no_roles(self):
    row = run('steady', 40.0, planner='forecast')
    self.assertEqual(0, row['role_changes'])


if __name__ == '__main__':
  unittest.main()
