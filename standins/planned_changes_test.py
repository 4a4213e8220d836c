"""Tests with a short run that planned changes cut no request."""

import pathlib
import shutil
import tempfile
import unittest

from standins import planned_changes


class TestPlannedChanges(unittest.TestCase):

  def test_no_request_is_cut(self):
    folder = pathlib.Path(tempfile.mkdtemp())
    self.addCleanup(shutil.rmtree, folder)
    scenario = planned_changes.Scenario(folder)
    self.addCleanup(scenario.close)
    changes = scenario.run(rate=10.0, duration_s=5.0)
    requests = len(changes.results)
    self.assertEqual(
        {'whole': requests}, planned_changes.count_outcomes(changes)
    )
    self.assertEqual(0, changes.cut_attempts)
    self.assertEqual((0, 0), (changes.entry_status, changes.controller_status))
    for action in ('drain', 'undrain', 'load', 'unload', 'role'):
      self.assertGreater(changes.orders_by_action.get(action, 0), 0, action)


if __name__ == '__main__':
  unittest.main()
