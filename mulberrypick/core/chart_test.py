"""Tests for the state chart interpreter."""

import unittest

from mulberrypick.core import chart
from mulberrypick.core import errors

DOOR = """
name = "door"
initial = "shut"
[transitions.shut]
open = "ajar"
[transitions.ajar]
shut = "shut"
"""


class TestChart(unittest.TestCase):

  def test_advance_follows_the_table(self):
    door = chart.parse_chart(DOOR)
    self.assertEqual('ajar', chart.advance(door, door.initial, 'open'))

  def test_advance_refuses_an_event_of_another_state(self):
    door = chart.parse_chart(DOOR)
    with self.assertRaisesRegex(errors.ChartError, 'no event shut in shut'):
      chart.advance(door, 'shut', 'shut')

  def test_parse_refuses_an_unknown_target(self):
    with self.assertRaisesRegex(errors.ChartError, 'shut.open to gone'):
      chart.parse_chart(DOOR.replace('"ajar"', '"gone"'))


if __name__ == '__main__':
  unittest.main()
