"""Fuzz tests of the decoders of objects that any writer may have written."""

import logging
import unittest
from typing import Any

import hypothesis
import msgspec
from hypothesis import strategies

from mulberrypick.platform import objects
from mulberrypick.platform import part_refusal
from mulberrypick.platform import stored_evidence
from standins import gateway_cluster

ENTRY = {
    'service': 'desk',
    'address': '127.0.0.1:80',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'stage': 'decode',
    'born': 7,
}
HOST = {'zone': 'zone-a', 'address': '127.0.0.1:80'}
CRASH = {
    'endpoint': 'e',
    'incarnation': 1,
    'crashedAt': 1.5,
    'hasToken': True,
    'requests': [1],
}
REFUSAL = {'crashes': [CRASH], 'parts': [1, 2]}
SPEEDS = {'speeds': {'engine/v1/read': [0.1, 0.2]}}
EVIDENCE = stored_evidence.encode([stored_evidence.Evidence()], 1.0)
NUMBERS = strategies.integers(-(10**40), 10**400) | strategies.floats()
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | NUMBERS
    | strategies.text()
    | strategies.sampled_from(('1.2.3.4:70000', '.:80', ':', '1.2.3.4:-3')),
    lambda values: strategies.lists(values, max_size=3)
    | strategies.dictionaries(strategies.text(), values, max_size=3),
    max_leaves=6,
)


def places_of(value: Any, place: tuple = ()) -> list[tuple]:
  """Returns the places of all values within a value."""
  places = [place]
  if isinstance(value, dict):
    for key, member in value.items():
      places += places_of(member, (*place, key))
  if isinstance(value, list):
    for number, member in enumerate(value):
      places += places_of(member, (*place, number))
  return places


def replace_at(value: Any, place: tuple, new: Any) -> Any:
  """Returns a value with another one at a place."""
  if not place:
    return new
  copy = value.copy()
  copy[place[0]] = replace_at(value[place[0]], place[1:], new)
  return copy


@strategies.composite
def odd(draw, *sound: Any):
  """Draws one of some values, with one value within it replaced."""
  value = draw(strategies.sampled_from(sound))
  place = draw(strategies.sampled_from(places_of(value)))
  return replace_at(value, place, draw(VALUES))


FUZZED = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)


class DecodersFuzzTest(unittest.TestCase):
  """Decoders return what other hosts can be sent, and raise nothing."""

  def setUp(self):
    logging.disable(logging.CRITICAL)
    self.addCleanup(logging.disable, logging.NOTSET)

  @FUZZED
  @hypothesis.given(odd(ENTRY))
  def test_endpoint(self, spec):
    found = objects.decode_endpoint('e', spec)
    if found is not None:
      msgspec.msgpack.encode((found.incarnation, found.slots))
      self.assertGreaterEqual(found.slots, 1)
      self.assertIn(found.port, range(1, 65536))

  @FUZZED
  @hypothesis.given(odd(HOST))
  def test_host(self, spec):
    msgspec.msgpack.encode(objects.decode_host('h', spec))

  @FUZZED
  @hypothesis.given(odd(REFUSAL), strategies.text('0123456789abcdefx'))
  def test_refusal(self, spec, name):
    msgspec.msgpack.encode(objects.decode_refusal(name, spec, 2.0))
    msgspec.msgpack.encode(part_refusal.decode(name, spec, 2.0))

  @FUZZED
  @hypothesis.given(odd(SPEEDS))
  def test_speeds(self, spec):
    objects.decode_speeds(spec)

  @FUZZED
  @hypothesis.given(odd(EVIDENCE))
  def test_evidence(self, spec):
    msgspec.msgpack.encode(stored_evidence.decode('h', spec, 2.0))

  @FUZZED
  @hypothesis.given(odd(gateway_cluster.make_config(2)))
  def test_config(self, spec):
    found = objects.decode_config(spec)
    if found is not None:
      msgspec.msgpack.encode((found.version, found.raw))


if __name__ == '__main__':
  unittest.main()
