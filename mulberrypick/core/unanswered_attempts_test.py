"""Tests of attempts without an answer."""

import unittest

from mulberrypick.core import unanswered_attempts

KEY = ('e1', 1)


def make_attempt(
    ended_at: float, fingerprint: int = 7
) -> unanswered_attempts.UnansweredAttempt:
  return unanswered_attempts.UnansweredAttempt(fingerprint, False, ended_at)


class UnansweredAttemptsTest(unittest.TestCase):

  def setUp(self):
    self.attempts = unanswered_attempts.UnansweredAttempts()

  def test_attempts_are_returned_when_the_endpoint_ends(self):
    self.assertTrue(self.attempts.add(KEY, make_attempt(1.0)))
    self.assertEqual(self.attempts.record_end(('e1', 2), 5.0), [])
    self.assertEqual(self.attempts.record_end(KEY, 5.0), [make_attempt(1.0)])
    self.assertEqual(self.attempts.record_end(KEY, 6.0), [])

  def test_attempts_that_end_after_the_endpoint_are_not_remembered(self):
    self.attempts.record_end(KEY, 5.0)
    self.assertFalse(self.attempts.add(KEY, make_attempt(6.0)))
    self.attempts.record_response(KEY, connected_at=7.0)
    self.assertTrue(self.attempts.add(KEY, make_attempt(8.0)))

  def test_a_response_on_an_older_connection_shows_that_it_did_not_crash(self):
    self.attempts.add(KEY, make_attempt(1.0))
    self.attempts.add(KEY, make_attempt(3.0))
    self.attempts.record_response(KEY, connected_at=2.0)
    self.assertEqual(self.attempts.record_end(KEY, 5.0), [make_attempt(1.0)])

  def test_old_attempts_are_forgotten(self):
    self.attempts.add(KEY, make_attempt(1.0))
    self.attempts.add(KEY, make_attempt(4.0))
    end_at = 2.0 + unanswered_attempts.MAX_AGE_S
    self.assertEqual(self.attempts.record_end(KEY, end_at), [make_attempt(4.0)])

  def test_memory_is_bounded(self):
    limit = unanswered_attempts.MAX_ATTEMPTS
    for number in range(limit + 9):
      self.attempts.add(KEY, make_attempt(1.0, number))
    self.assertEqual(len(self.attempts.record_end(KEY, 2.0)), limit)
    for number in range(unanswered_attempts.MAX_ENDED + 9):
      self.attempts.record_end(('e2', number), 2.0)
    self.assertEqual(len(self.attempts._ended), unanswered_attempts.MAX_ENDED)


if __name__ == '__main__':
  unittest.main()
