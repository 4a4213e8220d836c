"""Tests of the upper bound on the number of running hosts."""

import unittest

from mulberrypick.core import host_count

KEEP_S = 12.0


class HostCountTest(unittest.TestCase):

  def setUp(self):
    self.counted = host_count.HostCount()
    self.lists = 0

  def read(self, known, listed, now):
    self.lists += 1
    return self.counted.update(known, listed, self.lists, KEEP_S, now)

  def update(self, known, now):
    return self.counted.update(known, (), self.lists, KEEP_S, now)

  def test_is_complete_after_the_first_list(self):
    self.update(('a', 'b'), 0.0)
    self.assertFalse(self.counted.is_complete)
    self.read(('a', 'b'), ('a', 'b'), 1.0)
    self.assertTrue(self.counted.is_complete)

  def test_forgotten_hosts_count_until_a_list_lacks_them(self):
    self.read(('a', 'b', 'c'), ('a', 'b', 'c'), 0.0)
    self.assertEqual(self.update(('a',), 100.0), 3)
    self.assertEqual(self.read(('a', 'b'), ('a', 'b'), 101.0), 2)

  def test_listed_host_counts_though_it_is_silent(self):
    self.read(('a', 'b'), ('a', 'b'), 0.0)
    self.assertEqual(self.read(('a',), ('a', 'b'), 100.0), 2)

  def test_host_that_left_counts_while_its_retries_do(self):
    self.read(('a', 'b'), ('a', 'b'), 0.0)
    self.assertEqual(self.read(('a',), ('a',), 10.0), 2)
    self.assertEqual(self.read(('a',), ('a',), 20.0), 1)

  def test_unlisted_host_counts_while_it_is_heard(self):
    self.read(('a', 'b'), ('a',), 0.0)
    self.assertEqual(self.read(('a', 'b'), ('a',), 100.0), 2)


if __name__ == '__main__':
  unittest.main()
