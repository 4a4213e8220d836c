"""Tests of the encoding of evidence for the store."""

import unittest

from mulberrypick.core import crash_exchange
from mulberrypick.core import part_exchange
from mulberrypick.platform import stored_evidence

EVIDENCE = stored_evidence.Evidence(
    crash_exchange.CrashNews(
        (crash_exchange.CrashReport('desk-1', 7, 1.5, True, (2**64 - 1, 3)),),
        (crash_exchange.ClearedRequest(5, -30.0),),
    ),
    part_exchange.PartNews(
        (part_exchange.PartCrashReport('desk-1', 7, 1.5, ((9, (1, 2)),)),),
        (part_exchange.ClearedPart(4, 0.5),),
    ),
)


class StoredEvidenceTest(unittest.TestCase):

  def test_evidence_is_read_as_written_and_older(self):
    spec = stored_evidence.encode([EVIDENCE], 100.0)
    (found,) = stored_evidence.decode('host-1', spec, 102.0)
    (crash,) = found.crash_news.crashes
    self.assertEqual(crash.fingerprints, (2**64 - 1, 3))
    self.assertAlmostEqual(crash.age_s, 3.5)
    self.assertAlmostEqual(found.crash_news.cleared[0].age_s, -28.0)
    self.assertEqual(found.part_news.crashes[0].runs, ((9, (1, 2)),))
    self.assertAlmostEqual(found.part_news.crashes[0].age_s, 3.5)
    self.assertAlmostEqual(found.part_news.cleared[0].age_s, 2.5)

  def test_clock_of_writer_that_is_ahead_makes_nothing_younger(self):
    spec = stored_evidence.encode([EVIDENCE], 100.0)
    (found,) = stored_evidence.decode('host-1', spec, 90.0)
    self.assertAlmostEqual(found.crash_news.crashes[0].age_s, 1.5)

  def test_malformed_objects_are_logged_and_ignored(self):
    good = stored_evidence.encode([EVIDENCE], 100.0)
    for spec in (
        None,
        'text',
        {},
        {'evidence': good['evidence']},
        {'writtenAt': 'yesterday', 'evidence': good['evidence']},
        {'writtenAt': 1.0, 'evidence': 'not base64'},
        {'writtenAt': 1.0, 'evidence': 'AAAA'},
        {'writtenAt': 1.0, 'evidence': 7},
    ):
      with self.subTest(spec=spec), self.assertLogs(level='WARNING'):
        self.assertEqual(stored_evidence.decode('host-1', spec, 1.0), [])


if __name__ == '__main__':
  unittest.main()
