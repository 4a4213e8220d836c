"""Tests of the records of crashes."""

import unittest

from mulberrypick.core import crash_evidence

FIRST, SECOND = ('e1', 1), ('e2', 1)
BEFORE_TOKEN = crash_evidence.Involvement(False, True)
AFTER_TOKEN = crash_evidence.Involvement(True, True)


class CrashEvidenceTest(unittest.TestCase):

  def setUp(self):
    self.evidence = crash_evidence.CrashEvidence()

  def keys(self, fingerprint: int) -> list[crash_evidence.IncarnationKey]:
    return [crash.key for crash in self.evidence.crashes(fingerprint)]

  def test_an_incarnation_crashes_once(self):
    self.assertTrue(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0))
    self.assertFalse(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 9.0))
    self.assertTrue(self.evidence.add(FIRST, 7, AFTER_TOKEN, 9.0))
    self.assertEqual(self.keys(7), [FIRST])
    self.assertEqual(self.evidence.find(FIRST).began_at, 1.0)

  def test_a_break_after_the_incarnation_was_alive_counts(self):
    self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0)
    self.evidence.add(SECOND, 7, BEFORE_TOKEN, 2.0)
    self.evidence.disprove(FIRST, 3.0)
    self.assertEqual(self.keys(7), [SECOND])
    self.assertFalse(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0))
    self.assertTrue(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 4.0))
    self.assertEqual(self.keys(7), [SECOND, FIRST])
    self.assertEqual(self.evidence.find(FIRST).began_at, 4.0)

  def test_a_dropped_request_is_in_no_crash(self):
    self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0)
    self.evidence.add(FIRST, 8, BEFORE_TOKEN, 1.0)
    self.evidence.drop(7)
    self.assertEqual(self.keys(7), [])
    self.assertEqual(list(self.evidence.find(FIRST).involved_by_hash), [8])

  def test_a_cleared_request_is_not_involved_by_a_late_report(self):
    self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0)
    self.assertTrue(self.evidence.clear_until(7, 3.0))
    self.assertFalse(self.evidence.clear_until(7, 2.0))
    self.assertEqual(self.keys(7), [])
    self.assertFalse(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 3.0))
    self.assertTrue(self.evidence.add(SECOND, 7, BEFORE_TOKEN, 3.1))

  def test_requests_of_one_crash_are_dropped_first(self):
    self.evidence.add(FIRST, 7, BEFORE_TOKEN, 0.0)
    self.evidence.add(SECOND, 7, BEFORE_TOKEN, 0.0)
    for number in range(crash_evidence.MAX_TRACKED + 5):
      self.evidence.add(('e3', number), 100 + number, BEFORE_TOKEN, 1.0)
    self.assertEqual(
        len(self.evidence.fingerprints()), crash_evidence.MAX_TRACKED
    )
    self.assertEqual(self.keys(7), [FIRST, SECOND])

  def test_a_new_request_is_tracked_although_all_others_are_repeated(self):
    for number in range(crash_evidence.MAX_TRACKED):
      for key in (FIRST, SECOND):
        self.evidence.add(key, 100 + number, BEFORE_TOKEN, 1.0)
    self.assertTrue(self.evidence.add(FIRST, 7, BEFORE_TOKEN, 2.0))
    self.assertEqual(self.keys(7), [FIRST])
    self.assertEqual(self.keys(100), [])
    self.evidence.disprove(FIRST, 3.0)
    self.assertEqual(self.keys(7), [])

  def test_old_crashes_without_requests_are_forgotten(self):
    self.evidence.add(FIRST, 7, BEFORE_TOKEN, 1.0)
    self.evidence.add(SECOND, 8, BEFORE_TOKEN, 1.0)
    self.evidence.drop(7)
    self.evidence.expire(2.0)
    self.assertEqual(list(self.evidence._crash_by_key), [SECOND])


if __name__ == '__main__':
  unittest.main()
