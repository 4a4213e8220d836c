"""Tests of the changes that relays pass on."""

import unittest

from mulberrypick.core import store_changes


def make_change(
    revision: int, size: int = 10, name: str = 'a'
) -> store_changes.Change:
  return store_changes.Change(name, revision, b'x' * size, False)


class TakeNewTest(unittest.TestCase):

  def setUp(self):
    changes = (make_change(12), make_change(15))
    self.batch = store_changes.ChangeBatch('servers', 10, 17, changes)

  def take(self, revision: int) -> list[int] | None:
    new = store_changes.take_new(self.batch, revision)
    return None if new is None else [change.revision for change in new]

  def test_host_that_knows_all_before_takes_all(self):
    self.assertEqual(self.take(10), [12, 15])
    self.assertEqual(self.take(11), [12, 15])

  def test_host_that_has_read_a_part_takes_all_again(self):
    # Guards against a deletion that is left out because it bears the revision
    # of the deleted content.
    self.assertEqual(self.take(12), [12, 15])

  def test_host_that_knows_all_takes_nothing(self):
    self.assertEqual(self.take(17), [])
    self.assertEqual(self.take(20), [])

  def test_host_that_missed_a_change_reads_the_store(self):
    self.assertIsNone(self.take(9))


class ChangeLogTest(unittest.TestCase):

  def setUp(self):
    self.log = store_changes.ChangeLog()
    self.log.record_known('servers', 5)

  def test_batches_follow_each_other(self):
    self.log.record_changes('servers', 8, [make_change(7)])
    self.log.record_changes('servers', 11, [make_change(11)])
    spans = [(b.after, b.revision) for b in self.log.take_unsent()]
    self.assertEqual(spans, [(5, 8), (8, 11)])
    self.assertEqual(self.log.take_unsent(), [])

  def test_changes_that_are_not_passed_on_are_missed(self):
    # Guards against a batch that hides a change which no member got.
    self.log.record_known('servers', 8)
    self.log.record_changes('servers', 11, [make_change(11)])
    spans = [(b.after, b.revision) for b in self.log.take_unsent()]
    self.assertEqual(spans, [(8, 11)])

  def test_kinds_are_apart(self):
    self.log.record_known('config', 5)
    self.log.record_changes('servers', 8, [make_change(7)])
    self.log.record_changes('config', 9, [make_change(9)])
    spans = [(b.kind, b.after) for b in self.log.take_unsent()]
    self.assertEqual(spans, [('servers', 5), ('config', 5)])

  def test_large_changes_are_read_from_the_store(self):
    size = store_changes.MAX_BYTES + 1
    self.log.record_changes('servers', 8, [make_change(7, size)])
    self.log.record_changes('servers', 9, [make_change(9)])
    spans = [(b.after, b.revision) for b in self.log.take_unsent()]
    self.assertEqual(spans, [(8, 9)])

  def test_one_message_is_bounded(self):
    size = store_changes.MAX_BYTES // 2
    for revision in (7, 8, 9):
      self.log.record_changes(
          'servers', revision, [make_change(revision, size)]
      )
    revisions = [batch.revision for batch in self.log.take_unsent()]
    self.assertEqual(revisions, [7, 8])

  def test_nothing_is_passed_on_before_the_first_list(self):
    log = store_changes.ChangeLog()
    log.record_changes('servers', 8, [make_change(7)])
    self.assertEqual(log.take_unsent(), [])


if __name__ == '__main__':
  unittest.main()
