"""Tests of JSON of which some values are unusable."""

import json
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from mulberrypick.adapters import tolerant_json

UNREADABLE = tolerant_json.UNREADABLE
NESTED = b'[' * 5000 + b']' * 5000
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(),
    lambda values: strategies.lists(values, max_size=4)
    | strategies.dictionaries(strategies.text(), values, max_size=4),
    max_leaves=12,
)


class DecodeTest(unittest.TestCase):

  def test_unusable_values_hide_no_others(self):
    for bad in (NESTED, b'1e400', b'"\xff"', b'nonsense', b'{"a":' * 700):
      with self.subTest(bad=bad[:10]):
        closed = bad + b'}' * bad.count(b'{')
        raw = b'{"items": [{"a": %s, "b": "x,]"}, {"a": 1}], "n": 2}' % closed
        found = tolerant_json.decode(raw, 3)
        self.assertEqual(found['n'], 2)
        self.assertEqual(found['items'][1], {'a': 1})
        self.assertEqual(found['items'][0]['b'], 'x,]')

  def test_levels_are_bounded(self):
    raw = b'{"items": [{"a": 1e400}, 2]}'
    self.assertEqual(tolerant_json.decode(raw, 2), {'items': [UNREADABLE, 2]})
    self.assertEqual(tolerant_json.decode(raw, 1), {'items': UNREADABLE})
    with self.assertRaises(msgspec.DecodeError):
      tolerant_json.decode(raw)

  def test_what_is_no_json_is_refused(self):
    for raw in (b'', b'{', b'[1', b'[]]', b'{"a":}{', b'\xff', NESTED[:-1]):
      with self.assertRaises(msgspec.DecodeError, msg=repr(raw[:10])):
        tolerant_json.decode(raw)

  @hypothesis.settings(derandomize=True, deadline=None)
  @hypothesis.given(VALUES, strategies.sampled_from((0, 2)))
  def test_other_values_stay_as_they_are(self, value, indent):
    raw = json.dumps([value, 'NUMBER'], indent=indent).encode()
    raw = raw.replace(b'"NUMBER"', b'1e400')
    self.assertEqual(tolerant_json.decode(raw, 1), [value, UNREADABLE])
    raw = json.dumps({'a': value, 'b': 'NUMBER'}, indent=indent).encode()
    raw = raw.replace(b'"NUMBER"', b'1e400')
    found = tolerant_json.decode(raw, 1)
    self.assertEqual(found, {'a': value, 'b': UNREADABLE})


class EncodeTest(unittest.TestCase):

  def test_what_can_not_be_encoded_is_left_out(self):
    nested = []
    for _ in range(5000):
      nested = [nested]
    encoded = tolerant_json.encode({'a': nested, 'b': 1, 'c': UNREADABLE})
    self.assertEqual(encoded, b'{"b":1}')
    self.assertEqual(tolerant_json.encode(nested), b'null')
    self.assertEqual(tolerant_json.encode(UNREADABLE), b'null')


if __name__ == '__main__':
  unittest.main()
