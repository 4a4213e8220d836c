"""Checks the lease and order specifications and their broken variants."""

import unittest

from spec import check


class TestLeaseAndOrders(unittest.TestCase):

  def test_every_verdict_is_the_expected_one(self):
    for result in check.run_all(('lease', 'orders')):
      with self.subTest(result.name):
        self.assertTrue(result.is_expected, result)


if __name__ == '__main__':
  unittest.main()
