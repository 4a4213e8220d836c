"""Runs the demo whole: the widest test of all parts together."""

import unittest

from standins import demo


class TestDemo(unittest.TestCase):

  def test_promises_are_kept(self):
    self.assertEqual(0, demo.main())


if __name__ == '__main__':
  unittest.main()
