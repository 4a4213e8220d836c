"""Tests of the retry budget that all hosts share."""

import unittest

from mulberrypick.core import shared_retry_budget


class SharedRetryBudgetTest(unittest.TestCase):

  def make_budget(self, ratio, slack, hosts=1, is_first_start=True):
    budget = shared_retry_budget.SharedRetryBudget(
        ratio, slack, 10.0, is_first_start
    )
    budget.update_hosts(hosts, 0.0)
    return budget

  def run_until(self, budget, began_at, ended_at):
    """Updates the hosts regularly; yields the times."""
    at = began_at
    while at < ended_at:
      budget.update_hosts(1, at)
      yield at
      at += 0.25

  def test_all_hosts_together_stay_within_the_slack(self):
    granted = 0
    for _ in range(6):
      budget = self.make_budget(0.2, 52, hosts=6)
      while budget.take('s', 0.0):
        granted += 1
    self.assertGreater(granted, 10)
    self.assertLessEqual(granted, 52)

  def test_requests_add_their_share(self):
    budget = self.make_budget(0.2, 0)
    self.assertFalse(budget.take('s', 0.0))
    for _ in range(100):
      budget.record_request('s', 0.0)
    granted = 0
    while budget.take('s', 0.0):
      granted += 1
    self.assertGreater(granted, 5)
    self.assertLessEqual(granted, 20)

  def test_what_only_saves_time_leaves_a_part_to_others(self):
    # Guards against second prefills that leave no retry to streams.
    budget = self.make_budget(0.0, 20)
    while budget.take('s', 0.0, 0.5):
      pass
    left = 0
    while budget.take('s', 0.0):
      left += 1
    self.assertEqual(left, 7)

  def test_window_slides(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    freed_at = 10.0 + shared_retry_budget.MAX_ARRIVAL_DELAY_S
    for at in self.run_until(budget, 0.0, freed_at):
      self.assertFalse(budget.take('s', at))
    self.assertTrue(budget.take('s', freed_at + 0.1))

  def test_retry_counts_from_the_end_of_a_pause_before_its_sending(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    self.assertFalse(budget.take('s', 20.0))
    for at in self.run_until(budget, 20.0, 31.9):
      self.assertFalse(budget.take('s', at))
    self.assertTrue(budget.take('s', 32.1))

  def test_retry_that_was_sent_before_a_pause_expires_during_it(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    for _ in self.run_until(budget, 0.0, 3.0):
      pass
    self.assertTrue(budget.take('s', 20.0))

  def test_repeated_pauses_do_not_keep_a_retry(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    for number in range(1, 20):
      budget.update_hosts(1, 0.7 * number)
    self.assertFalse(budget.take('s', 13.4))
    for number in range(20, 24):
      budget.update_hosts(1, 0.7 * number)
    self.assertTrue(budget.take('s', 16.2))

  def test_services_do_not_share(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    self.assertTrue(budget.take('t', 0.0))

  def test_no_slack_while_the_number_of_hosts_is_unknown(self):
    budget = self.make_budget(0.0, 10, hosts=None)
    self.assertFalse(budget.take('s', 0.0))
    budget.update_hosts(1, 0.1)
    self.assertTrue(budget.take('s', 0.1))

  def test_no_slack_for_a_window_after_a_restart(self):
    budget = self.make_budget(0.2, 10, is_first_start=False)
    self.assertFalse(budget.take('s', 9.9))
    for _ in range(10):
      budget.record_request('s', 9.9)
    self.assertTrue(budget.take('s', 9.9))
    self.assertTrue(budget.take('s', 10.0 + budget.retention_s))

  def test_retry_that_was_not_used_can_be_taken_again(self):
    budget = self.make_budget(0.0, 10)
    while budget.take('s', 0.0):
      pass
    budget.give_back('s')
    self.assertTrue(budget.take('s', 0.0))
    self.assertFalse(budget.take('s', 0.0))


if __name__ == '__main__':
  unittest.main()
