"""Tests of the in-memory platform and its fault injection."""

import threading
import unittest

from mulberrypick.adapters import memory_platform
from mulberrypick.core import errors


class TestMemoryPlatform(unittest.TestCase):

  def setUp(self):
    self.platform = memory_platform.MemoryPlatform()

  def test_conditional_update(self):
    first = self.platform.put('a', b'1', 0)
    second = self.platform.put('a', b'2', first)
    with self.assertRaises(errors.ConflictError) as raised:
      self.platform.put('a', b'3', first)
    self.assertEqual(raised.exception.current_version, second)
    self.assertEqual(self.platform.get('a').value, b'2')

  def test_versions_grow_across_delete(self):
    first = self.platform.put('a', b'1', 0)
    self.platform.delete('a', first)
    self.assertIsNone(self.platform.get('a'))
    self.assertGreater(self.platform.put('a', b'2', 0), first)

  def test_write_with_lost_response_takes_effect(self):
    self.platform.lose_answers(1, 'a')
    self.platform.put('b', b'1', 0)
    with self.assertRaises(errors.PlatformAnswerLostError):
      self.platform.put('a', b'1', 0)
    self.assertEqual(self.platform.get('a').value, b'1')

  def test_outage_refuses_calls_and_ends_watches(self):
    ended = threading.Event()

    def watch():
      with self.assertRaises(errors.PlatformUnavailableError):
        self.platform.watch('', 0, 60.0)
      ended.set()

    thread = threading.Thread(target=watch)
    thread.start()
    self.platform.set_unavailable(True)
    self.assertTrue(ended.wait(10.0))
    thread.join()
    with self.assertRaises(errors.PlatformUnavailableError):
      self.platform.put('a', b'1', 0)
    self.platform.set_unavailable(False)
    self.assertIsNone(self.platform.get('a'))

  def test_watch_returns_changes_and_deletes_in_order(self):
    version = self.platform.put('x/a', b'1', 0)
    self.platform.put('y', b'1', 0)
    self.platform.delete('x/a', version)
    batch = self.platform.watch('x/', 0, 0.0)
    received = [(change.key, change.version) for change in batch.changes]
    self.assertEqual(received, [('x/a', 1), ('x/a', 0)])
