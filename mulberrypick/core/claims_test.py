"""Tests for slots of claims and the states of a claim."""

import unittest
from unittest import mock

from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.core import records

ANSWER = records.PlainAnswer(200, 'text/plain', b'x' * 1000)


def make_record(nonce, state=claims.RECORD_OPEN, answer=None):
  return claims.ClaimRecord(state, nonce, 'print', 'a', 'a:1', 0, answer)


def apply(slot, text, epoch=0):
  """Applies comma-separated changes `action key nonce [old_nonce]`.

  Returns:
    The new slot, and whether each change was applied.
  """
  changes = []
  for line in text.split(','):
    action, key, nonce, *old = line.split()
    record = make_record(nonce)
    if action == claims.RECORD:
      record = make_record(nonce, claims.RECORD_ANSWERED, ANSWER)
    changes.append(claims.Change(action, key, record, *old))
  slot, outcomes = claims.apply_changes(slot, changes, epoch)
  return slot, [outcome.is_applied for outcome in outcomes]


class TestApplyChanges(unittest.TestCase):

  def setUp(self):
    self.slot, _ = apply(claims.EMPTY_SLOT, 'create k n')

  def test_the_first_of_a_group_gets_the_claim(self):
    _, applied = apply(claims.EMPTY_SLOT, 'create k n,create k m,create j m')
    self.assertEqual([True, False, True], applied)

  def test_changes_are_idempotent_by_nonce(self):
    text = 'record k n,create j m'
    once, _ = apply(self.slot, text)
    twice, applied = apply(once, text + ',create k n')
    self.assertIs(once, twice)
    self.assertEqual([True, True, True], applied)

  def test_another_nonce_changes_nothing(self):
    same, applied = apply(self.slot, 'record k m,remove k m,take_over k m x')
    self.assertIs(self.slot, same)
    self.assertEqual([False, False, False], applied)

  def test_a_claim_that_was_given_up_is_taken_over_once(self):
    _, applied = apply(self.slot, 'take_over k m n,take_over k l n,record k n')
    self.assertEqual([True, False, False], applied)

  def test_an_answered_claim_is_neither_removed_nor_taken_over(self):
    slot, _ = apply(self.slot, 'record k n')
    same, _ = apply(slot, 'remove k n,take_over k m n')
    self.assertIs(slot, same)

  def test_answers_expire_long_before_claims_without_one(self):
    slot, _ = apply(self.slot, 'create j m,record j m')
    later = claims.ANSWER_RETAIN_EPOCHS
    kept, _ = apply(slot, 'create i l', later - 1)
    self.assertEqual({'k', 'j', 'i'}, set(kept.record_by_key))
    kept, _ = apply(slot, 'create i l', later)
    self.assertEqual({'k', 'i'}, set(kept.record_by_key))
    kept, _ = apply(slot, 'create i l', claims.UNRESOLVED_RETAIN_EPOCHS)
    self.assertEqual({'i'}, set(kept.record_by_key))

  def test_the_epoch_of_a_slot_never_falls(self):
    slot, _ = apply(self.slot, 'create j m', 7)
    slot, _ = apply(slot, 'create i l', 3)
    self.assertEqual(7, slot.epoch)
    self.assertEqual(7, slot.record_by_key['i'].epoch)

  def test_a_full_slot_drops_answers_then_refuses_and_stays_in_bounds(self):
    slot, refused = claims.EMPTY_SLOT, 0
    bound = mock.patch.object(claims, 'MAX_SLOT_BYTES', 20_000)
    bound.start()
    self.addCleanup(bound.stop)
    for number in range(400):
      text = f'create k{number} n{number},record k{number} n{number}'
      slot, applied = apply(slot, text)
      refused += not applied[0]
      if refused:
        break
    self.assertTrue(refused)
    self.assertLessEqual(len(claims.encode_slot(slot)), 20_000)
    self.assertIsNone(slot.record_by_key['k0'].answer)
    same, applied = apply(slot, 'create new n')
    self.assertIs(slot, same)
    self.assertEqual([False], applied)

  def test_a_slot_round_trips_through_its_codec(self):
    slot, _ = apply(self.slot, 'record k n,create j m')
    self.assertEqual(slot, claims.decode_slot(claims.encode_slot(slot)))


class TestLifecycle(unittest.TestCase):

  def test_nothing_is_sent_after_a_release(self):
    with self.assertRaises(errors.ChartError):
      claims.advance(claims.RELEASED, claims.EVENT_SEND)

  def test_nothing_is_released_after_it_was_sent(self):
    for state in (claims.SENDING, claims.ANSWERED, claims.UNKNOWN):
      self.assertFalse(claims.is_allowed(state, claims.EVENT_RELEASE))

  def test_only_a_released_claim_is_reported_as_never_sent(self):
    for state in claims.CHART.target_by_event_by_state:
      is_never_sent = claims.reply_for_state(state) == claims.REPLY_NEVER_SENT
      self.assertEqual(state == claims.RELEASED, is_never_sent)


if __name__ == '__main__':
  unittest.main()
