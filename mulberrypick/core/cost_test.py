"""Tests of the cost model."""

import unittest

from mulberrypick.core import cost
from mulberrypick.core import records


def make_request(service='s', tenant='t', prompt_tokens=800, max_tokens=500):
  """Returns a request without a prompt text."""
  return records.InferenceRequest(
      'r', tenant, 'other', service, 'm', '', '', prompt_tokens, max_tokens,
      0.0, 30.0,
  )  # fmt: skip


def make_report(running, decode_step_s):
  """Returns a load report with a batch size and the time of its step."""
  return records.EngineReport(
      'e', 1, records.ROLE_MIXED, ('m',), 0, running, 2000, 2000, False,
      4000.0, decode_step_s, 0.0,
  )  # fmt: skip


class TestCostModel(unittest.TestCase):

  def test_speeds_follow_the_reports(self):
    model = cost.CostModel()
    for number in range(400):
      running = 1 + number % 40
      model.handle_report(make_report(running, 0.02 + 0.001 * running))
    speeds = model.speeds('m')
    self.assertEqual(4000.0, speeds.prefill_tokens_per_s)
    self.assertAlmostEqual(0.02, speeds.step_base_s, delta=0.001)
    self.assertAlmostEqual(0.001, speeds.step_sequence_s, delta=0.0001)

  def test_equal_batches_keep_a_slope_that_is_not_negative(self):
    model = cost.CostModel()
    for _ in range(400):
      model.handle_report(make_report(8, 0.03))
    speeds = model.speeds('m')
    self.assertGreaterEqual(speeds.step_sequence_s, 0.0)
    self.assertAlmostEqual(0.03, speeds.step_s(8), delta=0.002)

  def test_answer_lengths_are_learned_by_service_and_tenant(self):
    model = cost.CostModel()
    for _ in range(50):
      model.record_output(make_request(tenant='short'), 20)
      model.record_output(make_request(tenant='long'), 300)
    self.assertEqual(20, model.output_tokens(make_request(tenant='short')))
    self.assertEqual(300, model.output_tokens(make_request(tenant='long')))
    unknown = model.output_tokens(make_request(tenant='new'))
    self.assertTrue(20 < unknown < 300)

  def test_the_bound_of_the_caller_is_kept(self):
    model = cost.CostModel()
    model.record_output(make_request(), 300)
    self.assertEqual(10, model.output_tokens(make_request(max_tokens=10)))

  def test_lengths_are_bounded(self):
    model = cost.CostModel(max_caller_means=2)
    for tenant in ('a', 'b', 'c'):
      model.record_output(make_request(tenant=tenant), 10)
    model.record_output(make_request(service='x', tenant='z'), 99)
    # The mean answer length of the service replaces that of the caller, which
    # was dropped.
    self.assertEqual(10, model.output_tokens(make_request(tenant='a')))

  def test_a_resume_costs_its_prompt_and_the_rest(self):
    model = cost.CostModel()
    model.record_output(make_request(), 100)
    whole = model.cost('m', make_request(), 0)
    rest = model.cost('m', make_request(), 60)
    self.assertEqual(40, rest.output_tokens)
    self.assertGreater(rest.prefill_s, whole.prefill_s)
    self.assertLess(rest.decode_s, whole.decode_s)


if __name__ == '__main__':
  unittest.main()
