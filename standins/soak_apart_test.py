"""Tests of the soak's cuts from endpoints, and of their check."""

import unittest

from standins import soak
from standins import soak_apart
from standins import soak_checks
from standins import soak_plan

CUT = soak_apart.Cut(('host-1',), 1.0, 9.0)


def make_fault(variant: str) -> soak_plan.Fault:
  return soak_plan.Fault(
      0.3, soak_plan.APART_KIND, 'host-1 host-2', 5.3, variant
  )


def make_observations(
    gateway: str, served: int, failed: int, at: float = 5.0
) -> list[soak_checks.Observation]:
  observations = []
  for number in range(served + failed):
    status = 200 if number < served else 503
    observations.append(
        soak_checks.Observation(
            f'r{number}', 'safe', gateway, at, at, status, b'', True, False
        )
    )
  return observations


class FindViolationsTest(unittest.TestCase):

  def find(self, observations, disturbances=(), peer_cuts=()) -> list[str]:
    return soak_apart.find_violations(
        observations, [CUT], list(disturbances), list(peer_cuts)
    )

  def test_gateways_that_serve_under_two_thirds_are_found(self):
    others = make_observations('host-2', 30, 0)
    self.assertTrue(self.find(make_observations('host-1', 19, 11) + others))
    self.assertFalse(self.find(make_observations('host-1', 20, 10) + others))

  def test_few_failures_are_no_violation(self):
    others = make_observations('host-2', 30, 0)
    self.assertFalse(self.find(make_observations('host-1', 0, 10) + others))
    self.assertTrue(self.find(make_observations('host-1', 0, 11) + others))

  def test_others_that_fail_too_excuse(self):
    observations = make_observations('host-1', 10, 20)
    self.assertFalse(
        self.find(observations + make_observations('host-2', 14, 16))
    )

  def test_first_seconds_and_other_times_are_not_compared(self):
    others = make_observations('host-2', 30, 0)
    for at in (3.9, 9.0):
      observations = make_observations('host-1', 0, 30, at)
      self.assertFalse(self.find(observations + others))

  def test_disturbed_gateways_are_not_compared(self):
    observations = make_observations('host-1', 0, 30)
    observations += make_observations('host-2', 30, 0)
    for gateway in ('host-1', 'host-2'):
      outage = soak_checks.Outage(gateway, 4.0, 4.5)
      self.assertFalse(self.find(observations, [outage]))
    self.assertTrue(
        self.find(observations, [soak_checks.Outage('host-1', 0.5, 1.0)])
    )

  def test_gateways_that_do_not_reach_each_other_are_not_compared(self):
    observations = make_observations('host-1', 0, 30)
    observations += make_observations('host-2', 30, 0)
    outage = soak_checks.Outage('', 2.0, 3.0)
    self.assertFalse(self.find(observations, peer_cuts=[outage]))


class SoakTest(unittest.TestCase):

  def test_gateway_that_passes_nothing_on_is_detected(self):
    violations, summary = soak.run_faults(
        [make_fault('hanging')], 'apart', 'standins.soak_stubborn_gateway'
    )
    kinds = {line.partition(':')[0] for line in violations}
    self.assertIn('RECOVER', kinds, summary)

  def check_held(self, variant: str) -> None:
    violations, summary = soak.run_faults([make_fault(variant)], 'apart')
    self.assertEqual(violations, [], summary)

  def test_callers_are_served_if_connections_are_refused(self):
    self.check_held('refused')

  def test_callers_are_served_if_connections_hang(self):
    self.check_held('hanging')

  def test_callers_are_served_if_only_old_connections_live(self):
    self.check_held('old_alive')


if __name__ == '__main__':
  unittest.main()
