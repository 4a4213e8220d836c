"""Tests of the choice of the host that a request is passed on to."""

import collections
import random
import unittest

from mulberrypick.core import helper_choice

NOW = 100.0


def make_helper(name: str, **changes) -> helper_choice.Helper:
  helper = helper_choice.Helper(
      name, '127.0.0.1', 7661, 'zone-a', 0, True, NOW, NOW
  )
  return helper._replace(**changes)


class HelperChoiceTest(unittest.TestCase):

  def setUp(self):
    self.helpers = helper_choice.HelperChoice('zone-a', random.Random(1))

  def add(self, name: str, **changes) -> None:
    self.helpers.update(make_helper(name, **changes))

  def choose(self, *excluded: str) -> str | None:
    helper = self.helpers.choose(set(excluded), NOW)
    return helper.name if helper else None

  def test_only_hosts_that_reach_endpoints_are_chosen(self):
    self.add('apart', is_reaching=False)
    self.add('idle', reached_at=NOW - 10.0)
    self.add('silent', heard_at=NOW - 2.0)
    self.add('old', port=0)
    self.assertIsNone(self.choose())
    self.add('sound')
    self.assertEqual(self.choose(), 'sound')
    self.assertIsNone(self.choose('sound'))

  def test_hosts_that_are_gone_are_forgotten(self):
    self.add('gone', heard_at=NOW - helper_choice.FORGET_S - 1.0)
    self.add('sound')
    self.assertIsNone(self.helpers.find('gone'))

  def test_host_that_is_leaving_is_used_if_it_is_the_only_one(self):
    self.add('leaving')
    self.helpers.mark_leaving('leaving', NOW)
    self.helpers.mark_leaving('unknown', NOW)
    self.assertEqual(self.choose(), 'leaving')
    self.add('sound', zone='zone-b')
    for _ in range(20):
      self.assertEqual(self.choose(), 'sound')
    self.add('leaving')
    self.assertEqual(self.choose(), 'leaving')

  def test_own_zone_comes_first_until_it_has_much_to_do(self):
    self.add('near')
    self.add('far', zone='zone-b')
    for _ in range(helper_choice.MAX_LOCAL_REQUESTS):
      self.assertEqual(self.choose(), 'near')
      self.helpers.begin('near')
    self.assertEqual(self.choose(), 'far')
    self.helpers.end('near')
    self.assertEqual(self.choose(), 'near')

  def test_load_is_spread(self):
    names = [f'host-{number}' for number in range(4)]
    for name in names:
      self.add(name)
    chosen = collections.Counter()
    for _ in range(80):
      name = self.choose()
      self.helpers.begin(name)
      chosen[name] += 1
    self.assertEqual(set(chosen), set(names))
    self.assertLessEqual(max(chosen.values()), 2 * 80 / len(names))

  def test_host_that_declined_is_left_out_for_a_while(self):
    self.add('busy')
    self.helpers.record_declined('busy', NOW - 0.1)
    self.assertIsNone(self.choose())
    self.helpers.record_declined('busy', NOW - 1.0)
    self.assertEqual(self.choose(), 'busy')


if __name__ == '__main__':
  unittest.main()
