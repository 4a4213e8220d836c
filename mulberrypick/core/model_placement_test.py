"""Tests of the assignment of models to engines."""

import unittest

from mulberrypick.core import model_placement
from mulberrypick.core import records


def model(name: str, replicas: int) -> records.Model:
  """Returns a model without adapters."""
  return records.Model(name, '1', (), replicas)


class TestPlacement(unittest.TestCase):

  def test_replicas_differ_by_one_between_zones(self):
    for replicas in range(1, 13):
      share = model_placement.count_by_zone(
          model('m', replicas), {'z1': 9, 'z2': 9, 'z3': 9}
      )
      self.assertEqual(replicas, sum(share.values()))
      self.assertLessEqual(max(share.values()) - min(share.values()), 1)

  def test_replicas_of_a_full_zone_go_to_other_zones(self):
    share = model_placement.count_by_zone(model('m', 5), {'z1': 1, 'z2': 9})
    self.assertEqual({'z1': 1, 'z2': 4}, share)

  def test_there_are_no_more_replicas_than_engines(self):
    share = model_placement.count_by_zone(model('m', 9), {'z1': 1, 'z2': 2})
    self.assertEqual({'z1': 1, 'z2': 2}, share)

  def test_additional_replicas_of_many_models_spread_over_zones(self):
    zones = {'z1': 9, 'z2': 9, 'z3': 9}
    total = dict.fromkeys(zones, 0)
    for number in range(300):
      share = model_placement.count_by_zone(model(f'm{number}', 1), zones)
      for zone, count in share.items():
        total[zone] += count
    # An even split would be 100 each; hashing distributes only approximately.
    self.assertGreater(min(total.values()), 60)

  def test_engines_that_hold_a_model_keep_it(self):
    held = {'e1': frozenset(), 'e2': frozenset({'m'}), 'e3': frozenset()}
    wanted = model_placement.place({'m': model('m', 1)}, {'m': 1}, held)
    self.assertEqual({'e1': set(), 'e2': {'m'}, 'e3': set()}, wanted)

  def test_models_spread_over_empty_engines(self):
    held = {name: frozenset() for name in ('e1', 'e2', 'e3')}
    models = {name: model(name, 1) for name in ('l', 'm', 'n')}
    wanted = model_placement.place(models, dict.fromkeys(models, 1), held)
    self.assertEqual([1, 1, 1], [len(names) for names in wanted.values()])

  def test_a_loaded_name_is_parsed(self):
    self.assertEqual(('m', '1', 'a'), model_placement.parse_load_unit('m@1+a'))
    self.assertEqual(('m', '1', ''), model_placement.parse_load_unit('m@1'))


if __name__ == '__main__':
  unittest.main()
