"""Tests that the generated pages match the code."""

import pathlib
import re
import tempfile
import unittest

from mulberrypick.core import errors
from mulberrypick.ops import metrics_task
from mulberrypick.scripts import operate
from standins import write_reference

ROOT = pathlib.Path(__file__).parent.parent


class TestPages(unittest.TestCase):

  def test_committed_pages_match_the_code(self):
    self.assertEqual(write_reference.find_stale(ROOT), [])

  def test_changed_and_missing_pages_are_stale(self):
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


class TestOperations(unittest.TestCase):

  def setUp(self):
    self.text = (ROOT / 'docs/OPERATIONS.md').read_text()

  def test_every_refusal_is_explained(self):
    for kind in errors.RequestError.__subclasses__():
      self.assertIn(f'\n| {kind.status} | `{kind.kind}` |', self.text)

  def test_log_events_exist(self):
    events = re.findall(r'^\| `(\w+)` \| (?:ERROR|WARN|INFO)', self.text, re.M)
    self.assertTrue(events)
    paths = (ROOT / 'mulberrypick').rglob('*.py')
    source = ''.join(path.read_text() for path in paths)
    for event in events:
      self.assertIn(f"'{event}'", source)

  def test_settings_exist(self):
    flags = set()
    for command in operate.main.commands.values():
      for parameter in command.params:
        flags.update(parameter.opts)
    for table in write_reference.TABLE_BY_PROGRAM.values():
      flags.update(setting.flag for setting in table)
    used = set(re.findall(r'--[a-z]+(?:-[a-z]+)*', self.text))
    self.assertLessEqual(used, flags)

  def test_metrics_exist(self):
    names = {metric.name for metric in metrics_task.METRICS}
    used = set(re.findall(r'`mulberrypick\.([a-z_]+)', self.text))
    self.assertLessEqual(used - {'declare'}, names)
