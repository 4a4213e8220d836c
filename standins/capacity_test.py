"""Tests that the capacity page matches the slopes."""

import unittest

from standins import capacity


class TestCapacity(unittest.TestCase):

  def test_the_page_is_not_stale(self):
    page = capacity.PAGE.read_text()
    self.assertEqual(
        page, capacity.replace_tables(page, capacity.render_tables())
    )

  def test_a_missed_limit_is_told_with_its_factor(self):
    row = capacity.Row('entry', 'memory', 96.0, 64.0, 'MB', '')
    self.assertEqual('misses by 1.5x', row.verdict)
    self.assertEqual('holds', row._replace(value=64.0).verdict)


if __name__ == '__main__':
  unittest.main()
