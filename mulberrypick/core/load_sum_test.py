"""Tests of sums of loads."""

import unittest

from mulberrypick.core import load_sum


class LoadSumTest(unittest.TestCase):

  def test_sum_adds_endpoint_by_endpoint(self):
    total = load_sum.sum_loads(
        [{'a': (1, 0, 500, 0)}, {}, {'a': (2, 7, 0, 1), 'b': (1, 0, 0, 1)}]
    )
    self.assertEqual(total, {'a': (3, 7, 500, 1), 'b': (1, 0, 0, 1)})

  def test_subtracting_a_part_leaves_the_others(self):
    one = {'a': (1, 0, 500, 0), 'b': (1, 0, 0, 1)}
    other = {'a': (2, 7, 0, 1)}
    total = load_sum.sum_loads([one, other])
    self.assertEqual(load_sum.subtract_load(total, one), other)
    self.assertEqual(load_sum.subtract_load(total, other), one)

  def test_subtracting_does_not_change_the_sum(self):
    total = {'a': (1, 0, 5, 0)}
    load_sum.subtract_load(total, {'a': (1, 0, 5, 0)})
    self.assertEqual(total, {'a': (1, 0, 5, 0)})


if __name__ == '__main__':
  unittest.main()
