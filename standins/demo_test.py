"""Runs the whole demo, as an end-to-end test of all parts."""

import unittest

from standins import demo


class TestDemo(unittest.TestCase):

  def test_demo_passes_its_checks(self):
    self.assertEqual(0, demo.main())


if __name__ == '__main__':
  unittest.main()
