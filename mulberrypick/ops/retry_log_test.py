"""Tests of the log of the retry budget."""

import unittest

from mulberrypick.core import shared_retry_budget
from mulberrypick.ops import retry_log


class RetryLogTest(unittest.TestCase):

  def setUp(self):
    self.budget = shared_retry_budget.SharedRetryBudget(0.2, 20, 10.0)
    self.budget.update_hosts(4, 0.0)
    self.log = retry_log.RetryLog(self.budget)

  def take(self, service, now):
    is_taken = self.budget.take(service, now)
    self.log.record(service, is_taken)

  def lines(self, now):
    with self.assertLogs(retry_log.__name__, 'INFO') as lines:
      self.log.log_changes(now)
    return lines.output

  def test_line_tells_how_the_budget_was_divided_and_used(self):
    for _ in range(5):
      self.take('desk', 0.0)
    (line,) = self.lines(0.1)
    for field in ('taken', 'denied', 'hosts', 'slack', 'requests', 'allowed'):
      self.assertIn(field, line)
    self.assertIn("'taken': 3", line)
    self.assertIn("'denied': 2", line)
    self.assertIn("'hosts': 4", line)

  def test_a_flood_of_denials_gives_one_line_a_second(self):
    self.take('desk', 0.0)
    self.lines(0.0)
    for number in range(1000):
      self.take('desk', number / 1000)
      if number < 999:
        with self.assertNoLogs(retry_log.__name__):
          self.log.log_changes(number / 1000)
    (line,) = self.lines(1.0)
    self.assertIn("'denied': 998", line)

  def test_totals_are_counted(self):
    for _ in range(5):
      self.take('desk', 0.0)
    self.assertEqual((self.log.taken, self.log.denied), (3, 2))
    self.log.record_returned('desk')
    self.assertEqual((self.log.taken, self.log.denied), (2, 2))


if __name__ == '__main__':
  unittest.main()
