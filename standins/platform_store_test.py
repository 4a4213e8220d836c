"""Tests for the objects of the simulated platform."""

import unittest

from standins import platform_store


class TestHistory(unittest.TestCase):

  def test_watch_after_a_revision_no_longer_kept_fails(self):
    store = platform_store.ObjectStore(history=3)
    version = 0
    for number in range(5):
      version = store.put('a', b'%d' % number, version)
    with self.assertRaises(platform_store.RevisionGoneError):
      store.watch('a', 1, 0, 0)
    revision, changes = store.watch('a', 2, 0, 0)
    self.assertEqual(revision, 5)
    self.assertEqual([c.value for c in changes], [b'2', b'3', b'4'])

  def test_long_batch_is_split_and_the_next_watch_continues(self):
    store = platform_store.ObjectStore(history=5000)
    for number in range(platform_store.CHANGES_PER_BATCH + 5):
      store.put(f'a/{number}', b'', 0)
    revision, changes = store.watch('a/', 0, 0, 0)
    self.assertEqual(len(changes), platform_store.CHANGES_PER_BATCH)
    _, rest = store.watch('a/', revision, 0, 0)
    self.assertEqual(len(rest), 5)

  def test_interruption_ends_a_watch_that_does_not_wait_yet(self):
    # Guards against a lost wakeup: if an outage begins between the admission of
    # a watch and its wait, the watch must not wait for its whole timeout.
    store = platform_store.ObjectStore(history=3)
    interruptions = store.interruptions
    store.interrupt_watches()
    self.assertIsNone(store.watch('a', 0, 60.0, interruptions))

  def test_watch_ignores_changes_under_other_prefixes(self):
    store = platform_store.ObjectStore(history=10)
    store.put('b', b'', 0)
    self.assertEqual(store.watch('a', 0, 0, 0), (1, []))

  def test_deleting_a_missing_object_changes_nothing(self):
    store = platform_store.ObjectStore(history=10)
    store.delete('a', 0)
    with self.assertRaises(platform_store.VersionConflictError):
      store.delete('a', 1)
    self.assertEqual(store.list_objects(''), (0, []))


if __name__ == '__main__':
  unittest.main()
