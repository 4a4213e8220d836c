"""Tests of pauses after refusals."""

import unittest

from mulberrypick.core import refusal_pause


class RefusalPauseTest(unittest.TestCase):

  def setUp(self):
    self.pause = refusal_pause.RefusalPause()

  def test_any_number_may_be_sent_without_refusal(self):
    self.pause.record_trial(1.0)
    self.assertTrue(self.pause.may_try(1.0))

  def test_nothing_is_sent_in_the_pause(self):
    self.pause.record_refused(1.0)
    self.assertFalse(self.pause.may_try(1.49))
    self.assertTrue(self.pause.may_try(1.5))

  def test_one_request_at_a_time_is_sent_after_the_pause(self):
    self.pause.record_refused(1.0)
    self.pause.record_trial(1.6)
    self.assertFalse(self.pause.may_try(1.7))

  def test_refusals_of_requests_sent_at_once_are_one(self):
    for number in range(12):
      self.pause.record_refused(1.0 + 0.001 * number)
    self.assertTrue(self.pause.may_try(1.5))

  def test_pauses_grow_to_a_bound(self):
    now, pauses = 0.0, []
    for _ in range(5):
      self.pause.record_refused(now)
      began_at = now
      while not self.pause.may_try(now):
        now += 0.25
      pauses.append(now - began_at)
      self.pause.record_trial(now)
    self.assertEqual(pauses, [0.5, 1.0, 2.0, 2.0, 2.0])

  def test_trial_without_answer_makes_way(self):
    self.pause.record_refused(1.0)
    self.pause.record_trial(1.5)
    self.assertTrue(self.pause.may_try(2.5))

  def test_accepted_request_ends_it(self):
    self.pause.record_refused(1.0)
    self.pause.record_accepted()
    self.assertTrue(self.pause.may_try(1.1))
    self.pause.record_refused(1.2)
    self.assertTrue(self.pause.may_try(1.7))


if __name__ == '__main__':
  unittest.main()
