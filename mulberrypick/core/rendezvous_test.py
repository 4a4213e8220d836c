"""Tests of rendezvous hashing."""

import unittest

from mulberrypick.core import rendezvous

NAMES = [f'host-{number}' for number in range(9)]
TASKS = [f'task-{number}' for number in range(900)]


class TestRendezvous(unittest.TestCase):

  def test_rank_does_not_depend_on_the_order_of_names(self):
    self.assertEqual(
        rendezvous.rank('a', NAMES), rendezvous.rank('a', reversed(NAMES))
    )

  def test_removing_a_host_moves_only_its_own_tasks(self):
    for task in TASKS:
      before = rendezvous.rank(task, NAMES)[0]
      after = rendezvous.rank(task, NAMES[:-1])[0]
      if before != NAMES[-1]:
        self.assertEqual(before, after)

  def test_tasks_spread_over_hosts(self):
    firsts = [rendezvous.rank(task, NAMES)[0] for task in TASKS]
    fair = len(TASKS) / len(NAMES)
    for name in NAMES:
      self.assertGreater(firsts.count(name), fair / 2)


if __name__ == '__main__':
  unittest.main()
