"""Tests of the log of decisions on requests."""

import unittest

from mulberrypick.ops import call_log


class CallLogTest(unittest.TestCase):

  def setUp(self):
    self.log = call_log.CallLog()

  def count_lines(self, event: str, outcome: str, count: int) -> int:
    """Records decisions within one second; returns the lines that name them."""
    with self.assertLogs('mulberrypick.ops.call_log', 'INFO') as logs:
      for number in range(count):
        self.log.record(outcome, 'reason', 7.0 + number / 1000, 'route')
    return sum(event in line for line in logs.output)

  def test_many_refusals_do_not_suppress_lines_of_cut_answers(self):
    self.assertEqual(
        self.count_lines('call_refused', 'refused', 100),
        call_log.MAX_LINES_PER_S,
    )
    self.assertEqual(self.count_lines('call_cut', 'cut', 10), 10)

  def test_lines_of_cut_answers_are_limited(self):
    self.assertEqual(
        self.count_lines('call_cut', 'cut', 100),
        call_log.MAX_GIVEN_UP_LINES_PER_S,
    )


if __name__ == '__main__':
  unittest.main()
