"""Tests of applying changes: races, lost responses, outages, complete trees."""

import json
import unittest

from mulberrypick.adapters import memory_platform
from mulberrypick.core import config
from mulberrypick.core import config_parts
from mulberrypick.core import config_test
from mulberrypick.core import errors
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_fetch


def make_text(tenants: int, version: str = '1', changed: int = -1) -> bytes:
  """Returns the text of a configuration with tenants, one of them changed."""
  data = json.loads(config_test.TEXT)
  data['models'][0]['version'] = version
  data['tenants'] = [
      {
          'name': f'tenant-{number:05}',
          'share': 0.5 / tenants if number == changed else 1 / tenants,
          'services': ['ask'],
          'ranks': ['urgent', 'other'],
          'token_sha256': f'{number:064x}',
      }
      for number in range(tenants)
  ]
  return json.dumps(data).encode()


class TestApply(unittest.TestCase):

  def setUp(self):
    self.platform = memory_platform.MemoryPlatform()

  def apply(self, text: bytes, planned_on: int, operator: str = 'ana'):
    return config_apply.apply_config(self.platform, text, planned_on, operator)

  def read(self):
    return config_fetch.read_tree(self.platform)[1]

  def test_an_applied_configuration_is_read_back_unchanged(self):
    for tenants in (1, 50, 3000):
      with self.subTest(tenants=tenants):
        text = make_text(tenants)
        generation = self.read().config.generation
        applied = self.apply(text, generation)
        self.assertEqual(applied.generation, generation + 1)
        declared = config.parse_config(text, generation + 1)
        self.assertEqual(self.read().config, declared)

  def test_a_change_writes_only_what_changed(self):
    first = self.apply(make_text(3000), 0)
    second = self.apply(make_text(3000, changed=7), 1)
    self.assertGreater(first.parts_written, 100)
    self.assertLessEqual(second.parts_written, 3)
    listing = self.platform.list_objects(config_parts.PART_PREFIX)
    names = config_parts.list_parts(self.read().tree)
    self.assertEqual(len(listing.value_by_key), len(names))

  def test_the_loser_of_a_race_learns_the_winning_operator(self):
    self.apply(make_text(1), 0)
    rival = make_text(1, version='rival')
    is_raced = False

    def race(kind: str, key: str) -> None:
      nonlocal is_raced
      if kind == 'put' and key == config_parts.HEAD_KEY and not is_raced:
        is_raced = True
        self.apply(rival, 1, operator='berta')

    self.platform.before_call = race
    with self.assertRaises(errors.ConfigRaceError) as raised:
      self.apply(make_text(1, version='own'), 1, operator='ana')
    self.assertIn('berta', str(raised.exception))
    self.assertEqual(raised.exception.current, 2)
    self.assertEqual(self.read().config.model_by_name['small'].version, 'rival')

  def test_a_plan_on_an_old_generation_is_refused(self):
    self.apply(make_text(1), 0)
    self.apply(make_text(1, version='2'), 1, operator='berta')
    with self.assertRaises(errors.ConfigRaceError) as raised:
      self.apply(make_text(1, version='3'), 1)
    self.assertEqual(raised.exception.operator, 'berta')

  def test_a_write_with_a_lost_response_is_found_accepted(self):
    self.platform.lose_answers(1, config_parts.HEAD_KEY)
    applied = self.apply(make_text(1), 0)
    self.assertEqual(applied.generation, 1)
    self.assertEqual(self.read().config.generation, 1)

  def test_a_write_with_a_lost_response_is_found_after_later_changes(self):
    self.platform.lose_answers(1, config_parts.HEAD_KEY)
    calls = 0

    def follow(kind: str, key: str) -> None:
      nonlocal calls
      if (kind, key) != ('put', config_parts.HEAD_KEY):
        return
      calls += 1
      if calls == 2:  # After the lost response, before the second attempt.
        self.apply(make_text(1, version='2'), 1, operator='berta')

    self.platform.before_call = follow
    applied = self.apply(make_text(1), 0)
    self.assertEqual((applied.generation, applied.newest), (1, 2))

  def test_lost_responses_of_part_writes_are_retried(self):
    self.platform.lose_answers(2, config_parts.PART_PREFIX)
    self.apply(make_text(60), 0)
    self.assertEqual(len(self.read().config.tenant_by_name), 60)

  def test_an_outage_before_the_head_changes_nothing(self):
    self.apply(make_text(1), 0)

    def cut(kind: str, key: str) -> None:
      if key == config_parts.HEAD_KEY and kind == 'put':
        self.platform.set_unavailable(True)

    self.platform.before_call = cut
    with self.assertRaises(errors.PlatformUnavailableError):
      self.apply(make_text(1, version='2'), 1)
    self.platform.before_call = None
    self.platform.set_unavailable(False)
    self.assertEqual(self.read().config.generation, 1)
    # The parts of the failed change become garbage only once their generation
    # can no longer be applied.
    self.assertEqual(config_apply.tidy(self.platform), 0)
    self.apply(make_text(1, version='3'), 1)
    self.assertEqual(config_apply.tidy(self.platform), 1)
    self.assertEqual(config_apply.tidy(self.platform), 0)
    self.assertEqual(self.read().config.generation, 2)

  def test_an_outage_after_a_lost_response_is_reported_as_unknown(self):
    def cut(kind: str, key: str) -> None:
      if key != config_parts.HEAD_KEY or kind != 'put':
        return
      if self.platform.calls['put'] and self.platform.get(key):
        self.platform.set_unavailable(True)

    self.platform.lose_answers(1, config_parts.HEAD_KEY)
    self.platform.before_call = cut
    with self.assertRaises(errors.ConfigUnknownError):
      self.apply(make_text(1), 0)
    self.platform.set_unavailable(False)
    self.platform.before_call = None
    self.assertEqual(self.read().config.generation, 1)

  def test_an_invalid_configuration_writes_nothing(self):
    with self.assertRaises(errors.ConfigError):
      self.apply(config_test.FAULTY, 0)
    self.assertEqual(self.platform.calls['put'], 0)

  def test_a_part_that_was_reverted_survives_the_removal(self):
    first = make_text(1, version='1')
    self.apply(first, 0)
    self.apply(make_text(1, version='2'), 1)
    self.apply(first, 2)
    config_apply.tidy(self.platform)
    self.assertEqual(self.read().config.model_by_name['small'].version, '1')
