"""Tests of the decisions to order an engine to change its stage."""

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


class StagePlannerTest(unittest.TestCase):

  def setUp(self):
    self.planner = stage_planner.StagePlanner()

  def test_no_order_while_there_is_a_decode_engine(self):
    listed = engines(a=PREFILL, b=DECODE)
    for now in range(20):
      self.assertIsNone(self.planner.decide(listed, 0, float(now)))

  def test_no_order_while_engines_enter_the_list_at_the_start(self):
    # At the start of a fleet, engines enter the list over several seconds. A
    # shorter delay orders a prefill engine to decode while the first decode
    # engines are still starting.
    for now in range(7):
      self.assertIsNone(self.planner.decide(engines(a=PREFILL), 0, float(now)))
    self.assertIsNotNone(self.planner.decide(engines(a=PREFILL), 0, 8.5))

  def test_lasting_absence_of_decode_engines_causes_one_order(self):
    self.planner.decide(engines(b=PREFILL, c=DECODE), 0, 9.0)
    listed = engines(b=PREFILL, a=PREFILL)
    self.assertIsNone(self.planner.decide(listed, 0, 10.0))
    order = self.planner.decide(listed, 0, 10.6)
    self.assertEqual((order.endpoint.name, order.stage), ('a', DECODE))
    self.planner.record_order('s', 10.6)
    self.assertIsNone(self.planner.decide(listed, 0, 12.0))

  def test_short_absence_of_decode_engines_causes_no_order(self):
    self.assertIsNone(self.planner.decide(engines(a=PREFILL), 0, 10.0))
    both = engines(a=PREFILL, b=DECODE)
    self.assertIsNone(self.planner.decide(both, 0, 10.3))
    self.assertIsNone(self.planner.decide(engines(a=PREFILL), 0, 10.6))

  def test_hosts_of_higher_rank_wait_longer(self):
    listed = engines(a=PREFILL)
    self.planner.decide(engines(c=DECODE), 2, 9.0)
    self.planner.decide(listed, 2, 10.0)
    self.assertIsNone(self.planner.decide(listed, 2, 14.0))
    self.assertIsNotNone(self.planner.decide(listed, 2, 14.6))

  def test_plain_services_have_no_stages(self):
    listed = engines(a=gateway_records.Stage.NONE)
    self.planner.decide(listed, 0, 10.0)
    self.assertIsNone(self.planner.decide(listed, 0, 20.0))


if __name__ == '__main__':
  unittest.main()
