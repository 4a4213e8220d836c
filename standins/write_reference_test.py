"""Tests that the generated pages say what the code does."""

import pathlib
import tempfile
import unittest

from mulberrypick.ops import metrics_task
from standins import write_reference

ROOT = pathlib.Path(__file__).parent.parent


class TestPages(unittest.TestCase):

  def test_committed_pages_are_what_the_code_gives(self):
    self.assertEqual(write_reference.find_stale(ROOT), [])

  def test_changed_and_missing_pages_are_found(self):
    with tempfile.TemporaryDirectory() as folder:
      root = pathlib.Path(folder)
      (root / 'docs').mkdir()
      page = root / write_reference.SETTINGS_PAGE
      page.write_text(write_reference.render_settings_page() + 'more\n')
      self.assertEqual(
          write_reference.find_stale(root),
          [write_reference.SETTINGS_PAGE, write_reference.METRICS_PAGE],
      )

  def test_all_settings_are_listed(self):
    text = write_reference.render_settings_page()
    for table in write_reference.TABLE_BY_PROGRAM.values():
      for setting in table:
        self.assertIn(f'| `{setting.flag}` | `{setting.variable}` |', text)

  def test_all_metric_names_of_the_task_are_listed(self):
    names = set()
    for constant, value in vars(metrics_task).items():
      if constant.startswith('METRIC_'):
        names.add(value)
    self.assertEqual({metric.name for metric in metrics_task.METRICS}, names)
