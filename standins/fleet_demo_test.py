"""Tests of the gateway demo and of its check of outcomes."""

import asyncio
import unittest

from standins import fleet_client
from standins import fleet_demo
from standins import gateway_cluster
from standins import load_plan
from standins import load_summary

SLOW_STREAM_S = 1.8


class FleetDemoTest(unittest.TestCase):

  def test_demo_passes_its_checks(self):
    self.assertTrue(asyncio.run(fleet_demo.run()))


  def test_demo_passes_its_checks_with_slow_streams(self):
    # Guards against time limits that a busy machine reaches.
    slow_s = SLOW_STREAM_S / fleet_demo.EVENTS
    self.assertTrue(asyncio.run(fleet_demo.run(slow_s)))


class FindViolationsTest(unittest.TestCase):

  def setUp(self):
    self.cluster = gateway_cluster.GatewayCluster()
    for name in ('writer-1', 'writer-2'):
      replica = gateway_cluster.fleet_replica.FleetReplica(
          name, 'engine', 'decode'
      )
      self.cluster.replica_by_name[name] = replica
    self.arrivals = load_plan.plan_arrivals(
        fleet_demo.CLASSES, [fleet_demo.PHASES[0]], fleet_demo.SEED
    )

  def check_with_outcome(
      self, service: str, outcome: str, ran_on: str = ''
  ) -> bool:
    """Runs the check on results of which all but one are whole.

    Args:
      service: The first request to this service gets the other outcome.
      outcome: Outcome of that request.
      ran_on: Replica that counts that request as run, empty for none.

    Returns:
      Whether the results pass `meets_guarantees`.
    """
    results = []
    changed = False
    for arrival in self.arrivals:
      result = load_summary.OUTCOME_WHOLE
      if not changed and arrival.work_class.service == service:
        changed = True
        result = outcome
        if ran_on:
          replica = self.cluster.replica_by_name[ran_on]
          replica.runs[fleet_client.request_id(arrival)] += 1
      results.append(self.make_result(arrival, result))
    self.assertTrue(changed)
    violations = fleet_demo.find_violations(
        self.cluster, self.arrivals, results
    )
    return not violations

  def make_result(self, arrival, outcome: str) -> load_summary.Result:
    empty = ('', '', '', 0.0, 0.0, '', 0, '', '', 0.0, 0.0, 0.0, (), 0, False)
    result = load_summary.Result(arrival.number, *empty)
    return result._replace(work_class=arrival.work_class.name, outcome=outcome)

  def test_only_long_prompts_may_be_refused(self):
    refused = load_summary.OUTCOME_REFUSED
    self.assertTrue(self.check_with_outcome('read', refused))
    self.assertFalse(self.check_with_outcome('ask', refused))
    self.assertFalse(self.check_with_outcome('unsafe', refused))

  def test_only_what_ran_on_the_crashed_engine_may_be_cut(self):
    cut = load_summary.OUTCOME_CUT
    self.assertTrue(self.check_with_outcome('read', cut, 'writer-1'))

  def test_cut_on_another_engine_fails_the_check(self):
    cut = load_summary.OUTCOME_CUT
    self.assertFalse(self.check_with_outcome('read', cut, 'writer-2'))

  def test_cut_question_fails_the_check(self):
    cut = load_summary.OUTCOME_CUT
    self.assertFalse(self.check_with_outcome('ask', cut, 'writer-1'))

  def test_wrong_and_failed_answers_fail_the_check(self):
    self.assertFalse(
        self.check_with_outcome('read', load_summary.OUTCOME_WRONG)
    )
    self.assertFalse(
        self.check_with_outcome('read', load_summary.OUTCOME_FAILED)
    )


if __name__ == '__main__':
  unittest.main()
