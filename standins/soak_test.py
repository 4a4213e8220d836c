"""Tests of the soak test: its schedules, its checks and short runs."""

import collections
import pathlib
import unittest

from standins import soak
from standins import soak_checks
from standins import soak_plan

# An endpoint that runs each booking and resets the connection instead of
# answering. With a gateway that repeats bookings, about ten run twice.
CRASHERS = [
    soak_plan.Fault(0.4, soak_plan.CRASHER_KIND, route, 5.2, point)
    for route, point in (('unsafe', 'run'), ('read', 'stream'))
]
LIMIT_FAULT = soak_plan.Fault(0.3, soak_plan.LIMIT_KIND, 'desk-1', 5.5, '0.5')
VERSION_FAULT = soak_plan.Fault(
    0.3, soak_plan.VERSION_KIND, 'writer-3', 5.3, 'beside'
)
RESET_FAULT = soak_plan.Fault(0.5, 'mode', 'desk-1', 1.5, 'reset')
SEEDS_FILE = pathlib.Path(__file__).parent / 'soak_seeds.txt'


def make_observation(**changes) -> soak_checks.Observation:
  observation = soak_checks.Observation(
      'r1', 'unsafe', 'host-1', 1.0, 1.1, 200, b'desk-1:r1', True, False
  )
  return observation._replace(**changes)


def violation_kinds(observation, runs=1, outages=()) -> list[str]:
  run_counts = collections.Counter({observation.request: runs})
  violations = soak_checks.find_violations(
      [observation], run_counts, list(outages), 2
  )
  return [line.partition(':')[0] for line in violations]


class ScheduleTest(unittest.TestCase):

  def test_same_seed_gives_same_faults_that_end_before_the_run(self):
    for seed in range(50):
      faults = soak_plan.plan_faults(seed)
      self.assertEqual(faults, soak_plan.plan_faults(seed))
      for fault in faults:
        self.assertLess(
            fault.at_s + fault.duration_s, soak_plan.duration_s(faults)
        )

  def test_fifty_seeds_cover_every_kind_of_fault(self):
    kinds = set()
    for seed in range(1, 51):
      kinds.update(fault.kind for fault in soak_plan.plan_faults(seed))
    series = {
        soak_plan.CRASHER_KIND,
        soak_plan.LIMIT_KIND,
        soak_plan.VERSION_KIND,
        soak_plan.SILENCE_KIND,
        soak_plan.PART_KIND,
        soak_plan.FAILING_KIND,
        soak_plan.UNFRAMED_KIND,
        soak_plan.APART_KIND,
        soak_plan.TOLD_KIND,
        soak_plan.OLDER_KIND,
        soak_plan.LATE_KIND,
        soak_plan.QUIET_KIND,
        soak_plan.ENDLESS_KIND,
    }
    self.assertEqual(kinds, {*soak_plan._TARGETS_BY_KIND, *series})

  def test_only_runs_with_a_crashing_part_or_late_requests_last_longer(self):
    long_kinds = (soak_plan.PART_KIND, soak_plan.LATE_KIND)
    for seed in range(50):
      faults = soak_plan.plan_faults(seed)
      if all(fault.kind not in long_kinds for fault in faults):
        self.assertEqual(soak_plan.duration_s(faults), soak_plan.DURATION_S)

  def test_seeds_are_read_as_ranges_and_lists(self):
    self.assertEqual(soak.read_seeds('1-3,7'), [1, 2, 3, 7])
    with self.assertRaises(ValueError):
      soak.read_seeds('a')


class FindLimitViolationsTest(unittest.TestCase):

  def _find(self, count, outages=()):
    observations, arrivals = [], []
    for number in range(count):
      request = f'r{number}'
      at = 2.0 + number * 0.1
      observations.append(
          make_observation(request=request, head_at=1.0, limited_by='desk-1')
      )
      arrivals.append((at, request))
    endpoint = soak_checks.LimitedEndpoint('desk-1', 1.5, 0.0, arrivals)
    return soak_checks.find_limit_violations(
        observations, [endpoint], list(outages)
    )

  def test_requests_within_the_limit_are_no_violation(self):
    self.assertEqual(self._find(14), [])

  def test_too_many_requests_are_a_violation(self):
    self.assertEqual(len(self._find(15)), 1)

  def test_requests_of_a_killed_gateway_are_excused(self):
    outage = soak_checks.Outage('host-1', 2.0, 2.4)
    self.assertEqual(self._find(15, [outage]), [])


class FindViolationsTest(unittest.TestCase):

  def test_correct_answer_is_no_violation(self):
    self.assertEqual(violation_kinds(make_observation()), [])

  def test_booking_that_ran_twice(self):
    self.assertEqual(violation_kinds(make_observation(), 2), ['TWICE'])
    self.assertEqual(
        violation_kinds(make_observation(route='read', body=b''), 2)[0], 'TWICE'
    )
    safe = make_observation(route='safe')
    self.assertEqual(violation_kinds(safe, 2), [])
    self.assertEqual(violation_kinds(safe, 3), ['TWICE'])

  def test_request_that_ran_despite_a_not_run_status(self):
    refused = make_observation(status=503, body=b'{}')
    self.assertEqual(violation_kinds(refused, 0), [])
    self.assertEqual(violation_kinds(refused, 1), ['UNTRUE'])
    self.assertEqual(
        violation_kinds(make_observation(status=502, body=b'{}'), 1), []
    )

  def test_answer_of_another_request(self):
    self.assertEqual(
        violation_kinds(make_observation(body=b'desk-1:r2')), ['WRONG']
    )

  def test_stream_with_missing_or_torn_events(self):
    first = b'id: 1\ndata: piece 1\n\n'
    second = b'id: 2\ndata: piece 2\n\n'
    ask = make_observation(route='ask')
    self.assertEqual(violation_kinds(ask._replace(body=first + second)), [])
    self.assertEqual(violation_kinds(ask._replace(body=first)), ['WRONG'])
    self.assertEqual(
        violation_kinds(ask._replace(body=second + first)), ['WRONG']
    )
    cut = ask._replace(is_whole=False)
    self.assertEqual(violation_kinds(cut._replace(body=first)), [])
    self.assertEqual(
        violation_kinds(cut._replace(body=first + b'id: 2')), ['WRONG']
    )

  def test_late_retries_of_a_crashing_request(self):
    arrivals = [(number / 2, f'k-{number}') for number in range(20)]
    observations = []
    for at, request in arrivals:
      observations.append(
          make_observation(request=request, began_at=at, ended_at=at + 0.1)
      )

    def count(crashes, disturbances=()) -> int:
      return len(
          soak_checks.find_late_retries(
              observations, crashes, arrivals, list(disturbances), 'k-'
          )
      )

    self.assertEqual(count([1.0, 2.0]), 0)
    self.assertEqual(count([1.0, 2.0, 3.0]), 1)
    # Three requests arrived later than 3 s after the third crash.
    self.assertEqual(count([1.0, 2.0, 5.0]), 0)
    self.assertEqual(count([1.0, 2.0, 5.4]), 0)
    self.assertEqual(count([1.0, 2.0, 4.4]), 1)
    store_outage = soak_checks.Outage('', 4.0, 8.5)
    self.assertEqual(count([1.0, 2.0, 4.4], [store_outage]), 0)
    other = soak_checks.Outage('host-2', 4.0, 8.5)
    self.assertEqual(count([1.0, 2.0, 4.4], [other]), 1)

  def test_request_without_an_answer(self):
    silent = make_observation(status=0, body=b'', is_whole=False)
    self.assertEqual(violation_kinds(silent, 0), ['SILENT'])
    self.assertEqual(
        violation_kinds(silent._replace(is_hung=True), 0), ['HUNG']
    )
    killed = soak_checks.Outage('host-1', 1.05, 2.0)
    self.assertEqual(violation_kinds(silent, 0, [killed]), [])
    other = soak_checks.Outage('host-2', 1.05, 2.0)
    self.assertEqual(violation_kinds(silent, 0, [other]), ['SILENT'])


class SoakTest(unittest.TestCase):

  def test_seeds_that_failed_before_pass(self):
    for line in SEEDS_FILE.read_text().splitlines():
      if not line.strip() or line.startswith('#'):
        continue
      seed = int(line.partition('|')[0])
      violations, summary = soak.run_seed(seed)
      self.assertEqual(violations, [], f'seed {seed}: {summary}')

  def test_deliberate_bug_is_detected(self):
    violations, summary = soak.run_faults(
        [RESET_FAULT], 'known', 'standins.soak_broken_gateway'
    )
    kinds = {line.partition(':')[0] for line in violations}
    self.assertIn('TWICE', kinds, summary)

  def test_requests_that_crash_endpoints_are_refused(self):
    violations, summary = soak.run_faults(CRASHERS, 'crashers')
    self.assertEqual(violations, [], summary)

  def test_gateway_that_forgets_crashes_is_detected(self):
    # Long enough for many late retries after the bound takes effect.
    crasher = CRASHERS[0]._replace(duration_s=8.4)
    violations, summary = soak.run_faults(
        [crasher], 'crashers', 'standins.soak_forgetful_gateway'
    )
    kinds = {line.partition(':')[0] for line in violations}
    self.assertIn('BUDGET', kinds, summary)

  def test_gateway_that_ignores_limits_is_detected(self):
    violations, summary = soak.run_faults(
        [LIMIT_FAULT], 'limits', 'standins.soak_unlimited_gateway'
    )
    kinds = {line.partition(':')[0] for line in violations}
    self.assertEqual(kinds, {'LIMIT'}, summary)

  def test_gateway_that_joins_versions_is_detected(self):
    violations, summary = soak.run_faults(
        [VERSION_FAULT], 'versions', 'standins.soak_versionless_gateway'
    )
    kinds = {line.partition(':')[0] for line in violations}
    self.assertEqual(kinds, {'ORDER'}, summary)

  def test_same_fault_without_the_bug_passes(self):
    violations, summary = soak.run_faults([RESET_FAULT], 'known')
    self.assertEqual(violations, [], summary)


if __name__ == '__main__':
  unittest.main()
