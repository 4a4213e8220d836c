"""Tests for parsing, validation, formatting and diffs of configurations."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from mulberrypick.core import config
from mulberrypick.core import config_diff
from mulberrypick.core import errors

TEXT = b"""
{
  "format": 1,
  "models": [{"name": "small", "version": "3", "adapters": ["road"],
              "replicas": 4}],
  "ranks": [
    {"name": "urgent", "is_urgent": true, "first_token_s": 0.5,
     "between_tokens_s": 0.05, "deadline_s": 5, "reserve": 0.5},
    {"name": "other", "is_urgent": false, "first_token_s": 20,
     "between_tokens_s": 0.5, "deadline_s": 120, "reserve": 0.25}],
  "services": [
    {"name": "ask", "kind": "model", "model": "small", "adapter": "road",
     "rank": "urgent", "timeout_s": 5},
    {"name": "booking", "kind": "plain", "rank": "urgent",
     "is_repeatable": false, "timeout_s": 10}],
  "tenants": [{"name": "drivers", "share": 0.6, "services": ["ask"],
               "ranks": ["urgent"]}]
}
"""

FAULTY = b"""
{
  "format": 2,
  "extra": 1,
  "models": [{"name": "Small", "version": "3", "replicas": -1}],
  "ranks": [
    {"name": "urgent", "is_urgent": 1, "first_token_s": 9,
     "between_tokens_s": 0.05, "deadline_s": 5, "reserve": 0.8},
    {"name": "other", "is_urgent": false, "first_token_s": 1,
     "between_tokens_s": 0.05, "deadline_s": 5, "reserve": 0.8},
    {"name": "third", "is_urgent": false, "first_token_s": 1,
     "between_tokens_s": 0.05, "deadline_s": 5, "reserve": 0.8}],
  "services": [
    {"name": "ask", "kind": "model", "model": "none", "rank": "none",
     "is_repeatable": false, "timeout_s": 0},
    {"name": "ask", "kind": "plain", "model": "Small", "rank": "urgent",
     "timeout_s": 1, "colour": "red"}],
  "tenants": [{"name": "drivers", "share": 0.6, "services": ["asks"],
               "ranks": ["slow"]},
              {"name": "mills", "share": 0.6, "services": [], "ranks": []},
              7]
}
"""

PLACES = [
    'format',
    'extra',
    'models[0].name',
    'models[0].replicas',
    'ranks[0].is_urgent',
    'services[0].timeout_s',
    'services[1].colour',
    'services[1].name',
    'tenants[2]',
    'ranks[0].first_token_s',
    'services[0].rank',
    'services[0].is_repeatable',
    'services[0].model',
    'services[1].model',
    'tenants[0].services[0]',
    'tenants[0].ranks[0]',
    'tenants',
    'ranks',
]


class TestParse(unittest.TestCase):

  def test_canonical_text_is_stable(self):
    parsed = config.parse_config(TEXT, 7)
    text = config.format_config(parsed)
    self.assertEqual(config.parse_config(text, 7), parsed)
    shuffled = json.loads(TEXT)
    shuffled['ranks'].reverse()
    shuffled['services'].reverse()
    again = config.parse_config(json.dumps(shuffled).encode(), 7)
    self.assertEqual(config.format_config(again), text)

  def test_every_fault_is_reported_with_its_place(self):
    with self.assertRaises(errors.ConfigError) as raised:
      config.parse_config(FAULTY, 1)
    places = [fault.place for fault in raised.exception.faults]
    self.assertEqual(sorted(places), sorted(PLACES))

  def test_duplicate_keys_and_non_numbers_are_refused(self):
    for text, message in (
        (b'{"format": 1, "format": 1}', 'the key "format" is duplicated'),
        (b'{"format": NaN}', 'NaN is not JSON'),
        (b'{"format": 1', 'is not JSON'),
        (b'[]', 'must be a JSON object'),
        (b'\xff', 'is not JSON'),
        (b'[' * 100_000, 'is not JSON'),
    ):
      with self.assertRaises(errors.ConfigError) as raised:
        config.parse_config(text, 1)
      self.assertIn(message, str(raised.exception))

  def test_numbers_out_of_range_are_refused(self):
    for value in (b'1e999', b'-1', b'0', b'true', b'1' + b'0' * 400, b'"1"'):
      text = TEXT.replace(b'"deadline_s": 120', b'"deadline_s": ' + value)
      with self.assertRaises(errors.ConfigError) as raised:
        config.parse_config(text, 1)
      self.assertIn('ranks[1].deadline_s', str(raised.exception))

  def test_a_token_names_one_tenant(self):
    data = json.loads(TEXT)
    twin = dict(data['tenants'][0], name='twin', share=0.1)
    data['tenants'].append(twin)
    for tenant in data['tenants']:
      tenant['token_sha256'] = 'a' * 64
    with self.assertRaises(errors.ConfigError) as raised:
      config.parse_config(json.dumps(data).encode(), 1)
    places = [fault.place for fault in raised.exception.faults]
    self.assertEqual(places, ['tenants[1].token_sha256'])


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


class TestFuzz(unittest.TestCase):

  @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
  @hypothesis.given(strategies.data())
  def test_any_changed_value_is_refused_or_round_trips(self, data):
    value = json.loads(TEXT)
    section = data.draw(strategies.sampled_from(config.SECTIONS))
    index = data.draw(strategies.integers(0, len(value[section]) - 1))
    key = data.draw(strategies.sampled_from(sorted(value[section][index])))
    value[section][index][key] = data.draw(json_values)
    try:
      parsed = config.parse_config(json.dumps(value).encode(), 1)
    except errors.ConfigError as error:
      self.assertTrue(error.faults)
      return
    text = config.format_config(parsed)
    self.assertEqual(config.parse_config(text, 1), parsed)

  @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
  @hypothesis.given(json_values)
  def test_any_json_is_refused_with_faults(self, value):
    with self.assertRaises(errors.ConfigError):
      config.parse_config(json.dumps(value).encode(), 1)


class TestDiff(unittest.TestCase):

  def test_changes_are_readable(self):
    old = config.parse_config(TEXT, 1)
    data = json.loads(TEXT)
    data['models'][0].update(version='4', replicas=3)
    data['services'][1]['is_repeatable'] = True
    data['tenants'][0]['name'] = 'mills'
    new = config.parse_config(json.dumps(data).encode(), 2)
    text = config_diff.format_changes(config_diff.diff_configs(old, new))
    for line in (
        '~ models small',
        '    version: 3 -> 4',
        '    replicas: 4 -> 3',
        '    => 1 engines drain, finish running requests, and unload it',
        '~ services booking',
        '    is_repeatable: false -> true',
        '    => WARNING: calls may run more than once from now on',
        '- tenants drivers',
        '+ tenants mills',
    ):
      self.assertIn(line, text.splitlines())
    self.assertEqual(config_diff.diff_configs(old, old), [])
