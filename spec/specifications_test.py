"""Checks every specification, and that every broken variant is refuted."""

import unittest

from spec import check


class TestSpecifications(unittest.TestCase):

  def test_every_verdict_is_the_expected_one(self):
    for result in check.run_all():
      with self.subTest(result.name):
        self.assertTrue(result.is_expected, result)


if __name__ == '__main__':
  unittest.main()
