"""Tests of crashes that a host withdraws, at itself and at others."""

import unittest

from mulberrypick.core import crash_evidence
from mulberrypick.core import part_evidence
from mulberrypick.core import part_exchange
from mulberrypick.core import quarantine
from mulberrypick.core import withdrawals

SOUND = 7


class RequestTest(unittest.TestCase):

  def setUp(self):
    self.apart, self.other = quarantine.Quarantine(), quarantine.Quarantine()

  def tell(self, sender, receiver, now: float, name: str = 'apart') -> None:
    receiver.exchange.merge(sender.exchange.take_news(now), name, False, now)

  def test_request_is_refused_nowhere_after_the_withdrawal(self):
    for number in range(2):
      self.apart.record_broken_attempt(f'desk-{number}', 1, SOUND, False, 10.0)
    self.tell(self.apart, self.other, 10.01)
    self.assertTrue(self.other.is_refused(SOUND, 10.02))
    self.assertEqual(self.apart.withdraw_own(9.9, 10.1), {SOUND})
    self.tell(self.apart, self.other, 10.11)
    for known in (self.apart, self.other):
      self.assertFalse(known.is_refused(SOUND, 10.2))
      self.assertEqual(known.all_crashes(), [])

  def test_what_others_repeat_does_not_bring_it_back(self):
    third = quarantine.Quarantine()
    self.apart.record_broken_attempt('desk-1', 1, SOUND, False, 10.0)
    self.tell(self.apart, third, 10.01)
    self.tell(third, self.other, 10.02, 'third')
    self.apart.withdraw_own(9.9, 10.1)
    self.tell(self.apart, self.other, 10.11)
    self.tell(third, self.other, 11.5, 'third')
    self.tell(third, self.apart, 11.5, 'third')
    self.assertEqual(self.other.all_crashes(), [])
    self.assertEqual(self.apart.all_crashes(), [])

  def test_crashes_before_the_cut_and_those_of_others_stay(self):
    self.apart.record_broken_attempt('desk-1', 1, SOUND, False, 5.0)
    self.other.record_broken_attempt('desk-2', 1, SOUND, False, 10.0)
    self.tell(self.other, self.apart, 10.01)
    self.apart.record_broken_attempt('desk-3', 1, SOUND, False, 10.0)
    self.apart.withdraw_own(9.9, 10.1)
    keys = {crash.key for crash in self.apart.all_crashes()}
    self.assertEqual(keys, {('desk-1', 1), ('desk-2', 1)})

  def test_later_crash_of_the_same_incarnation_counts(self):
    self.apart.record_broken_attempt('desk-1', 1, SOUND, False, 10.0)
    self.apart.withdraw_own(9.9, 10.1)
    self.apart.record_broken_attempt('desk-1', 1, SOUND, False, 20.0)
    self.assertEqual(len(self.apart.all_crashes()), 1)


class PartTest(unittest.TestCase):

  def test_parts_are_withdrawn_at_all_hosts(self):
    known = {}
    for name in ('apart', 'other'):
      evidence = part_evidence.PartEvidence()
      known[name] = evidence, part_exchange.PartExchange(evidence)
    evidence, exchange = known['apart']
    for number in range(6):
      key = (f'writer-{number}', 1)
      run = part_evidence.EndedRun(number, frozenset({3}), 10.0)
      evidence.add(key, run, 'own')
      exchange.add_unsent(key, number, 10.0)
    other_evidence, other = known['other']
    other.merge(exchange.take_news([], 10.01), 'apart', False, 10.01)
    self.assertEqual(len(other_evidence.all_crashes()), 6)
    self.assertTrue(exchange.withdraw_own(9.9, 10.1))
    other.merge(exchange.take_news([], 10.11), 'apart', False, 10.11)
    for found in (evidence, other_evidence):
      self.assertEqual(found.all_crashes(), [])
      self.assertEqual(found.find_refused(), [])


class WithdrawalsTest(unittest.TestCase):

  def test_withdrawals_are_repeated_for_a_while(self):
    pending = withdrawals.Withdrawals(crash_evidence.CrashEvidence())
    withdrawal = crash_evidence.Withdrawal('desk-1', 1, 0.0, (1, 2))
    self.assertEqual(pending.withdraw(withdrawal, True, 10.0), {1, 2})
    self.assertEqual(pending.withdraw(withdrawal, True, 10.0), set())
    self.assertTrue(pending.take(False, 10.1))
    self.assertFalse(pending.take(False, 10.2))
    self.assertTrue(pending.take(True, 11.0))
    self.assertFalse(pending.take(True, 14.0))


if __name__ == '__main__':
  unittest.main()
