"""Tests of the retry budget that all hosts share."""

import unittest

from mulberrypick.core import shared_retry_budget


class SharedRetryBudgetTest(unittest.TestCase):

  def test_all_hosts_together_stay_within_the_slack(self):
    granted = 0
    for _ in range(6):
      budget = shared_retry_budget.SharedRetryBudget(0.2, 52, 10.0)
      while budget.take('s', 6, 0.0):
        granted += 1
    self.assertGreater(granted, 10)
    self.assertLessEqual(granted, 52)

  def test_requests_add_their_share(self):
    budget = shared_retry_budget.SharedRetryBudget(0.2, 0, 10.0)
    self.assertFalse(budget.take('s', 1, 0.0))
    for _ in range(100):
      budget.record_request('s', 0.0)
    granted = 0
    while budget.take('s', 1, 0.0):
      granted += 1
    self.assertGreater(granted, 5)
    self.assertLessEqual(granted, 20)

  def test_window_slides(self):
    budget = shared_retry_budget.SharedRetryBudget(0.0, 10, 10.0)
    while budget.take('s', 1, 0.0):
      pass
    self.assertFalse(budget.take('s', 1, 9.9))
    self.assertTrue(budget.take('s', 1, 10.1))

  def test_services_do_not_share(self):
    budget = shared_retry_budget.SharedRetryBudget(0.0, 10, 10.0)
    while budget.take('s', 1, 0.0):
      pass
    self.assertTrue(budget.take('t', 1, 0.0))

  def test_retry_that_was_not_used_can_be_taken_again(self):
    budget = shared_retry_budget.SharedRetryBudget(0.0, 10, 10.0)
    while budget.take('s', 1, 0.0):
      pass
    budget.give_back('s')
    self.assertTrue(budget.take('s', 1, 0.0))
    self.assertFalse(budget.take('s', 1, 0.0))


if __name__ == '__main__':
  unittest.main()
