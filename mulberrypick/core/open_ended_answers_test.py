"""Tests of answers whose end was the end of their connection."""

import unittest

from mulberrypick.core import open_ended_answers

KEY = ('e1', 1)
ALWAYS = float('-inf')


def make_answer(ended_at: float) -> open_ended_answers.CompleteAnswer:
  return open_ended_answers.CompleteAnswer(
      7, frozenset((1,)), ended_at - 1.0, ended_at
  )


class OpenEndedAnswersTest(unittest.TestCase):

  def setUp(self):
    self.answers = open_ended_answers.OpenEndedAnswers()

  def test_answer_is_complete_if_its_endpoint_is_alive_later(self):
    self.assertTrue(self.answers.add(KEY, make_answer(5.0)))
    self.assertEqual(self.answers.record_alive(KEY, 5.2, ALWAYS), [])
    self.assertEqual(self.answers.record_alive(('e2', 1), 6.0, ALWAYS), [])
    self.assertEqual(self.answers.record_alive(KEY, 6.0, 5.5), [])
    complete = self.answers.record_alive(KEY, 6.0, ALWAYS)
    self.assertEqual(complete, [make_answer(5.0)])
    self.assertEqual(self.answers.record_alive(KEY, 7.0, ALWAYS), [])
    self.assertEqual(self.answers.record_end(KEY, 7.0), [])

  def test_answer_was_ended_by_a_crash(self):
    self.answers.add(KEY, make_answer(2.0))
    self.answers.add(KEY, make_answer(5.0))
    ended = self.answers.record_crash(KEY, 5.1)
    self.assertEqual(ended, [make_answer(5.0)])
    self.assertFalse(self.answers.add(KEY, make_answer(5.2)))
    self.assertTrue(self.answers.add(KEY, make_answer(9.0)))

  def test_answers_that_ended_shortly_before_the_entry_was_dropped(self):
    self.answers.add(KEY, make_answer(2.0))
    self.answers.add(KEY, make_answer(8.0))
    ended = self.answers.record_end(KEY, 10.0)
    self.assertEqual(ended, [make_answer(8.0)])

  def test_old_answers_are_forgotten_and_their_number_is_bounded(self):
    for _ in range(open_ended_answers.MAX_ANSWERS + 10):
      self.answers.add(KEY, make_answer(5.0))
    ended = self.answers.record_end(KEY, 6.0)
    self.assertEqual(len(ended), open_ended_answers.MAX_ANSWERS)
    self.answers.add(KEY, make_answer(7.0))
    self.answers.expire(7.0 + open_ended_answers.MAX_AGE_S + 1.0)
    self.assertEqual(self.answers.record_alive(KEY, 50.0, ALWAYS), [])


if __name__ == '__main__':
  unittest.main()
