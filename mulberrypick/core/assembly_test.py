"""Tests for the assembly of answers, with a stateful fuzz test."""

import os
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from mulberrypick.core import assembly
from mulberrypick.core import records

FUZZ_EXAMPLES = int(os.environ.get('MULBERRYPICK_FUZZ_EXAMPLES', '200'))
ANSWER = tuple(f'word{i} ' for i in range(12))


def make_frames(text: str) -> list[records.Frame]:
  """Parses frames `attempt index text`, separated by commas; `end` is last."""
  frames = []
  for line in text.split(','):
    attempt_id, index, word = line.split()
    is_last = word == 'end'
    frames.append(
        records.Frame(
            attempt_id,
            int(index),
            '' if is_last else word,
            is_last,
            'stop' if is_last else '',
        )
    )
  return frames


def feed(answer: assembly.AnswerAssembler, text: str) -> str:
  """Feeds frames to an assembler and returns the delivered text."""
  delivered = []
  for frame in make_frames(text):
    delivered += answer.accept(frame)
  return ''.join(delivered)


class TestAssembly(unittest.TestCase):

  def setUp(self):
    self.answer = assembly.AnswerAssembler()
    self.answer.begin('a')

  def test_delivers_in_order(self):
    self.assertEqual('xyz', feed(self.answer, 'a 0 x,a 1 y,a 2 z,a 3 end'))
    self.assertTrue(self.answer.is_complete)
    self.assertEqual('stop', self.answer.finish_reason)

  def test_reorders_and_drops_duplicate_and_stale_frames(self):
    frames = 'a 1 y,b 0 q,a 3 end,a 0 x,a 0 x,a 1 y,a 2 z,a 3 w'
    self.assertEqual('xyz', feed(self.answer, frames))
    self.assertTrue(self.answer.is_complete)
    self.assertEqual(4, self.answer.dropped)

  def test_is_not_complete_with_a_gap(self):
    self.assertEqual('x', feed(self.answer, 'a 0 x,a 2 z,a 3 end'))
    self.assertFalse(self.answer.is_complete)
    self.assertTrue(self.answer.has_gap)
    self.assertEqual(1, self.answer.next_index)

  def test_resume_ignores_late_frames_of_the_failed_attempt(self):
    self.assertEqual('x', feed(self.answer, 'a 0 x,a 2 z'))
    self.answer.begin('b')
    self.assertEqual('yz', feed(self.answer, 'a 1 q,b 1 y,a 2 q,b 2 z,b 3 end'))
    self.assertTrue(self.answer.is_complete)

  def test_a_last_frame_that_counts_too_few_tokens_does_not_end_the_answer(
      self,
  ):
    feed(self.answer, 'a 0 x,a 1 y,a 1 end')
    self.assertFalse(self.answer.is_complete)
    feed(self.answer, 'a 2 end')
    self.assertTrue(self.answer.is_complete)

  def test_holds_a_bounded_number_of_frames(self):
    for index in range(1, assembly.MAX_BUFFERED_FRAMES + 10):
      self.answer.accept(records.Frame('a', index, 'x', False, ''))
    self.assertEqual(9, self.answer.dropped)


class AssemblyMachine(RuleBasedStateMachine):
  """Feeds late, duplicate, reordered, lost and stale frames of attempts."""

  def __init__(self):
    super().__init__()
    self.answer = assembly.AnswerAssembler()
    self.delivered = []
    self.attempts = 0
    self.has_ended = False

  @rule()
  def begin(self):
    self.attempts += 1
    self.answer.begin(f'r/{self.attempts}')

  @rule(age=st.integers(0, 3), index=st.integers(0, len(ANSWER) - 1))
  def token(self, age, index):
    # Only frames of the current attempt have the right text. The text of stale
    # attempts must never be delivered.
    text = ANSWER[index] if age == 0 else 'foreign '
    frame = records.Frame(f'r/{self.attempts - age}', index, text, False, '')
    self.delivered += self.answer.accept(frame)

  @rule(age=st.integers(0, 3))
  def last(self, age):
    count = len(ANSWER) if age == 0 else len(self.delivered)
    attempt_id = f'r/{self.attempts - age}'
    frame = records.Frame(attempt_id, count, '', True, 'stop')
    self.delivered += self.answer.accept(frame)

  @rule(count=st.integers(1, len(ANSWER)))
  def in_order(self, count):
    for index in range(self.answer.next_index, min(count, len(ANSWER))):
      self.token(0, index)

  @invariant()
  def is_a_prefix_and_complete_only_with_all_tokens(self):
    assert tuple(self.delivered) == ANSWER[: len(self.delivered)]
    assert self.answer.next_index == len(self.delivered)
    if self.answer.is_complete:
      assert len(self.delivered) == len(ANSWER)


AssemblyMachine.TestCase.settings = settings(
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=40,
    derandomize='MULBERRYPICK_FUZZ_EXAMPLES' not in os.environ,
    deadline=None,
    database=None,
)
TestAssemblyFuzz = AssemblyMachine.TestCase

if __name__ == '__main__':
  unittest.main()
