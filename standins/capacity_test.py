"""Tests that the capacity page matches the slopes."""

import unittest

from standins import capacity


class TestCapacity(unittest.TestCase):

  def test_page_matches_the_slopes(self):
    page = capacity.PAGE.read_text()
    self.assertEqual(
        page, capacity.replace_tables(page, capacity.render_tables())
    )

  def test_verdict_states_the_factor_of_a_missed_limit(self):
    row = capacity.Row('entry', 'memory', 96.0, 64.0, 'MB', '')
    self.assertEqual('misses by 1.5x', row.verdict)
    self.assertEqual('holds', row._replace(value=64.0).verdict)


if __name__ == '__main__':
  unittest.main()
