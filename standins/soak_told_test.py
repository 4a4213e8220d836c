"""Tests of the check of endpoints that leave or want nothing."""

import unittest

from standins import soak_apart
from standins import soak_checks
from standins import soak_plan
from standins import soak_told


def make_sent(number: int, at: float) -> soak_checks.Observation:
  return soak_checks.Observation(
      f'r{number}', 'unsafe', 'host-1', at, at + 0.1, 200, b'', True, False
  )


class SoakToldTest(unittest.TestCase):

  def find(self, variant: str, times, outages=(), cuts=()):
    sent, arrivals = [], []
    for number, at in enumerate(times):
      sent.append(make_sent(number, at))
      arrivals.append((at + 0.01, f'r{number}'))
    endpoint = soak_told.ToldEndpoint('desk-1', variant, arrivals)
    return soak_told.find_violations(sent, endpoint, list(outages), cuts)

  def test_requests_after_the_time_to_drain(self):
    self.assertEqual(self.find(soak_plan.LEAVING, [0.0, 0.2, 2.0]), [])
    self.assertTrue(self.find(soak_plan.LEAVING, [0.0, 2.8]))

  def test_requests_while_nothing_is_wanted(self):
    self.assertEqual(self.find('1.5', [0.0, 0.1, 0.2, 1.6]), [])
    self.assertTrue(self.find('1.5', [0.0, 0.7, 0.8, 0.9]))

  def test_gateway_that_was_killed_since_the_answer_is_excused(self):
    times = [0.0, 0.7, 0.8, 0.9]
    outage = soak_checks.Outage('host-1', 0.1, 0.6)
    self.assertEqual(self.find('1.5', times, [outage]), [])
    outage = soak_checks.Outage('host-1', 3.0, 3.5)
    self.assertEqual(self.find(soak_plan.LEAVING, [2.9, 5.9], [outage]), [])

  def test_outages_at_other_times_or_of_others_excuse_nothing(self):
    for outage in (
        soak_checks.Outage('host-1', 0.0, 0.9),
        soak_checks.Outage('host-1', 5.0, 6.0),
        soak_checks.Outage('host-2', 0.0, 9.0),
    ):
      self.assertTrue(self.find('1.5', [1.0, 1.7, 1.8, 1.9], [outage]))
      self.assertTrue(self.find(soak_plan.LEAVING, [1.0, 4.0], [outage]))

  def test_cut_gateway_is_told_by_what_it_passes_on(self):
    cut = soak_apart.Cut(('host-1',), 0.5, 2.0)
    # Others sent the second one.
    self.assertEqual(self.find(soak_plan.LEAVING, [0.0, 3.0], cuts=[cut]), [])
    self.assertTrue(self.find(soak_plan.LEAVING, [1.0, 4.5], cuts=[cut]))
    self.assertEqual(self.find('9', [1.0, 4.5, 4.6, 4.7], cuts=[cut]), [])

  def test_plans_draw_both(self):
    variants = set()
    for seed in range(200):
      for fault in soak_plan.plan_faults(seed):
        if fault.kind == soak_plan.TOLD_KIND:
          variants.add(fault.variant)
    self.assertEqual(variants, set(soak_plan.TOLD_VARIANTS))


if __name__ == '__main__':
  unittest.main()
