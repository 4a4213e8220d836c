"""Tests of the store's objects for refused prompt parts."""

import unittest

from mulberrypick.core import part_exchange
from mulberrypick.platform import objects
from mulberrypick.platform import part_refusal

KEYS = frozenset((7, 5))


class PartRefusalTest(unittest.TestCase):

  def test_refusal_is_decoded_as_it_was_encoded(self):
    reports = [
        part_exchange.PartCrashReport('e1', 5, 2.0, ((1, (5, 7)),)),
        part_exchange.PartCrashReport('e2', 6, 1.0, ((2, (5, 7)),)),
    ]
    name, spec = part_refusal.encode(KEYS, reports, 100.0)
    self.assertTrue(part_refusal.is_part_refusal(spec))
    aged = [r._replace(age_s=r.age_s + 3.0) for r in reports]
    self.assertEqual(part_refusal.decode(name, spec, 103.0), aged)

  def test_older_programs_can_decode_it(self):
    reports = [part_exchange.PartCrashReport('e1', 5, 2.0, ((1, (5, 7)),))]
    name, spec = part_refusal.encode(KEYS, reports, 100.0)
    crashes = objects.decode_refusal(name, spec, 100.0)
    self.assertEqual(crashes[0].endpoint, 'e1')

  def test_malformed_refusal_gives_no_crashes(self):
    for spec in ({'parts': 7}, {'parts': ['x'], 'crashes': []}, {'parts': []}):
      with self.assertLogs(part_refusal.__name__, 'WARNING'):
        self.assertEqual(part_refusal.decode('x', spec, 1.0), [])


if __name__ == '__main__':
  unittest.main()
