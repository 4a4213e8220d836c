"""Tests of the decisions on stage orders."""

import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import gateway_records
from mulberrypick.core import stage_planner

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE


def engines(**stage_by_name) -> list[gateway_records.Endpoint]:
  listed = []
  for name, stage in stage_by_name.items():
    listed.append(endpoint_registry_test.make_endpoint(name, stage=stage))
  return listed


class StagePlanTest(unittest.TestCase):

  def setUp(self):
    self.plan = stage_planner.StagePlanner()

  def test_nothing_is_ordered_while_one_decodes(self):
    listed = engines(a=PREFILL, b=DECODE)
    for now in range(20):
      self.assertIsNone(self.plan.decide(listed, 0, float(now)))

  def test_engines_that_enter_the_list_one_by_one_are_waited_for(self):
    # At the start of a fleet, engines enter the list over several seconds. A
    # shorter delay orders a prefill engine to decode while the first decode
    # engines are still starting.
    for now in range(7):
      self.assertIsNone(self.plan.decide(engines(a=PREFILL), 0, float(now)))
    self.assertIsNotNone(self.plan.decide(engines(a=PREFILL), 0, 8.5))

  def test_a_lasting_lack_is_mended_once(self):
    self.plan.decide(engines(b=PREFILL, c=DECODE), 0, 9.0)
    listed = engines(b=PREFILL, a=PREFILL)
    self.assertIsNone(self.plan.decide(listed, 0, 10.0))
    order = self.plan.decide(listed, 0, 10.6)
    self.assertEqual((order.endpoint.name, order.stage), ('a', DECODE))
    self.plan.record_order('s', 10.6)
    self.assertIsNone(self.plan.decide(listed, 0, 12.0))

  def test_a_short_lack_is_not(self):
    self.assertIsNone(self.plan.decide(engines(a=PREFILL), 0, 10.0))
    both = engines(a=PREFILL, b=DECODE)
    self.assertIsNone(self.plan.decide(both, 0, 10.3))
    self.assertIsNone(self.plan.decide(engines(a=PREFILL), 0, 10.6))

  def test_other_hosts_wait_for_their_turn(self):
    listed = engines(a=PREFILL)
    self.plan.decide(engines(c=DECODE), 2, 9.0)
    self.plan.decide(listed, 2, 10.0)
    self.assertIsNone(self.plan.decide(listed, 2, 14.0))
    self.assertIsNotNone(self.plan.decide(listed, 2, 14.6))

  def test_plain_services_have_no_stages(self):
    listed = engines(a=gateway_records.Stage.NONE)
    self.plan.decide(listed, 0, 10.0)
    self.assertIsNone(self.plan.decide(listed, 0, 20.0))


if __name__ == '__main__':
  unittest.main()
