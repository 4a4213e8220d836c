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
      self,
      service: str,
      outcome: str,
      ran_on: str = '',
      status: int = 0,
      broke_at: str = '',
  ) -> bool:
    """Runs the check on results of which all but one are whole.

    Args:
      service: The first request to this service gets the other outcome.
      outcome: Outcome of that request.
      ran_on: Replica that counts that request as run, empty for none.
      status: Status of that request.
      broke_at: Replica at which it broke, as a gateway logs it; empty for none.

    Returns:
      Whether the results pass `meets_guarantees`.
    """
    results = []
    log_lines = []
    changed = False
    for arrival in self.arrivals:
      result = load_summary.OUTCOME_WHOLE
      if not changed and arrival.work_class.service == service:
        changed = True
        result = outcome
        request = fleet_client.request_id(arrival)
        if ran_on:
          self.cluster.replica_by_name[ran_on].runs[request] += 1
        if broke_at:
          log_lines.append(
              f'event=call_broke request={request} endpoint={broke_at}'
              ' has_event=false'
          )
        results.append(self.make_result(arrival, result, status))
        continue
      results.append(self.make_result(arrival, result, 200))
    self.assertTrue(changed)
    violations = fleet_demo.find_violations(
        self.cluster, self.arrivals, results, log_lines
    )
    return not violations

  def make_result(
      self, arrival, outcome: str, status: int
  ) -> load_summary.Result:
    empty = ('', '', '', 0.0, 0.0, '', 0, '', '', 0.0, 0.0, 0.0, (), 0, False)
    result = load_summary.Result(arrival.number, *empty)
    return result._replace(
        work_class=arrival.work_class.name, outcome=outcome, status=status
    )

  def test_only_long_prompts_may_be_refused(self):
    refused = load_summary.OUTCOME_REFUSED
    self.assertTrue(self.check_with_outcome('read', refused))
    self.assertFalse(self.check_with_outcome('ask', refused))
    self.assertFalse(self.check_with_outcome('unsafe', refused))

  def test_only_what_ran_on_the_crashed_engine_may_be_cut(self):
    cut = load_summary.OUTCOME_CUT
    self.assertTrue(self.check_with_outcome('read', cut, 'writer-1'))

  def test_only_what_the_crashed_engine_had_may_fail(self):
    failed = load_summary.OUTCOME_FAILED
    self.assertTrue(
        self.check_with_outcome('read', failed, '', 502, 'writer-1')
    )

  def test_failure_fails_the_check_without_evidence_of_the_crash(self):
    failed = load_summary.OUTCOME_FAILED
    for service, ran_on, status, broke_at in (
        ('read', '', 502, ''),
        ('read', '', 502, 'writer-2'),
        ('read', 'writer-2', 502, 'writer-1'),
        ('read', '', 504, 'writer-1'),
        ('ask', '', 502, 'writer-1'),
        ('unsafe', '', 502, 'writer-1'),
    ):
      self.setUp()
      self.assertFalse(
          self.check_with_outcome(service, failed, ran_on, status, broke_at),
          (service, ran_on, status, broke_at),
      )

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
