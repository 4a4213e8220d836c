"""Tests that planned changes under a small load cut no request."""

import pathlib
import tempfile
import unittest

from standins import bench_leaving
from standins import changes

RATE = 25.0
SECONDS = 6.0


class TestChanges(unittest.TestCase):

  def setUp(self):
    folder = tempfile.TemporaryDirectory()
    self.addCleanup(folder.cleanup)
    self.cluster = changes.start_cluster(pathlib.Path(folder.name))
    self.addCleanup(self.cluster.fleet.stop)

  def assert_nothing_is_cut(self, name, change):
    result = changes.run_under_load(
        self.cluster, name, lambda: change(self.cluster), RATE, SECONDS
    )
    self.assertGreater(result.requests, 0)
    self.assertEqual(0, result.bad, name)

  def test_planned_changes_cut_no_request(self):
    for name in ('stop an entry', 'drain an engine'):
      with self.subTest(name):
        self.assert_nothing_is_cut(name, changes.CHANGE_BY_NAME[name])

  def test_a_leaving_engine_gets_no_new_work_while_its_zone_is_cut_off(self):
    took_s = []
    self.assert_nothing_is_cut(
        'cut',
        lambda made: took_s.append(
            bench_leaving.measure_leaving_in_partitioned_zone(made)
        ),
    )
    self.assertLessEqual(took_s[0], bench_leaving.MAX_LEAVING_S)


if __name__ == '__main__':
  unittest.main()
