"""Tests that the examples are complete, deterministic and can be applied."""

import io
import unittest

from examples import hanamura
from examples import zagovina
from mulberrypick.adapters import memory_platform
from mulberrypick.core import config
from mulberrypick.core import config_diff
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_fetch


class TestExamples(unittest.TestCase):

  def test_each_prints_deterministic_canonical_json_and_can_be_applied(self):
    for module in (zagovina, hanamura):
      with self.subTest(module=module.__name__):
        first, second = io.StringIO(), io.StringIO()
        module.make_deployment().print_json(first)
        module.make_deployment().print_json(second)
        self.assertEqual(first.getvalue(), second.getvalue())
        text = first.getvalue().encode('ascii')
        parsed = config.parse_config(text, 1)
        self.assertEqual(config.format_config(parsed), text)
        platform = memory_platform.MemoryPlatform()
        config_apply.apply_config(platform, text, 0, 'test')
        in_force = config_fetch.read_tree(platform)[1].config
        self.assertEqual(in_force, parsed)
        self.assertEqual(config_diff.diff_configs(in_force, parsed), [])

  def test_replicas_and_repeatability_match_the_declarations(self):
    built = zagovina.make_deployment().build()
    self.assertEqual(built.model_by_name['dispatch-assistant'].replicas, 4)
    self.assertFalse(built.service_by_name['booking-desk'].is_repeatable)
    built = hanamura.make_deployment().build()
    self.assertEqual(built.model_by_name['reading-guide'].replicas, 5)
    self.assertFalse(built.service_by_name['lending-desk'].is_repeatable)
    self.assertTrue(built.service_by_name['stock-check'].is_repeatable)
