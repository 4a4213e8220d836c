"""Tests of the order of revisions across eras of the store."""

import unittest

from mulberrypick.core import store_era


class PositionTest(unittest.TestCase):

  def test_a_new_era_is_later_than_any_revision_before(self):
    old = store_era.make_position(1, 5_000_000)
    new = store_era.make_position(2, 3)
    self.assertGreater(new, old)
    self.assertEqual(store_era.era_of(new), 2)
    self.assertEqual(store_era.revision_of(new), 3)
    self.assertLess(new, 1 << 63)

  def test_without_eras_it_is_the_revision(self):
    self.assertEqual(store_era.make_position(0, 77), 77)

  def test_values_that_are_no_era(self):
    for text in (None, b'', b'-1', b'1.5', b'two', b'9' * 30):
      self.assertIsNone(store_era.parse_era(text))
    self.assertEqual(store_era.parse_era(b'12'), 12)


class StoreEraTest(unittest.TestCase):

  def setUp(self):
    self.changes = []
    self.era = store_era.StoreEra()
    self.era.set_callback(lambda old, new: self.changes.append((old, new)))

  def test_the_first_era_is_no_change(self):
    self.era.observe(3)
    self.assertEqual(self.changes, [])
    self.assertTrue(self.era.is_known)

  def test_each_later_era_is_one_change(self):
    for era in (0, 1, 1, 0, 3):
      self.era.observe(era)
    self.assertEqual(self.changes, [(0, 1), (1, 3)])
    self.assertEqual(self.era.changes, 2)


class GoneEntriesTest(unittest.TestCase):

  def setUp(self):
    self.entries = store_era.GoneEntries()
    self.entries.record('a', store_era.make_position(1, 10))
    self.entries.record('b', store_era.make_position(1, 11))

  def test_an_older_copy_lists_a_removed_entry(self):
    self.entries.remove('a')
    self.assertTrue(self.entries.is_gone('a', store_era.make_position(2, 10)))
    self.assertFalse(self.entries.is_gone('b', store_era.make_position(2, 11)))

  def test_an_entry_written_again_is_another_one(self):
    self.entries.keep_only({'b'})
    written = store_era.make_position(2, 14)
    self.assertFalse(self.entries.is_gone('a', written))
    self.entries.record('a', written)
    self.assertFalse(self.entries.is_gone('a', written))

  def test_the_latest_removed_entries_are_remembered(self):
    for number in range(2 * store_era.GoneEntries.MAX_REMEMBERED):
      self.entries.record(f'x{number}', number)
      self.entries.remove(f'x{number}')
    self.assertFalse(self.entries.is_gone('x0', 0))
    last = 2 * store_era.GoneEntries.MAX_REMEMBERED - 1
    self.assertTrue(self.entries.is_gone(f'x{last}', last))


if __name__ == '__main__':
  unittest.main()
