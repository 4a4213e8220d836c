"""Runs a few fuzz rounds of the term watchdog, and rounds without it."""

import unittest

from standins import fuzz_dead_man

ROUNDS = 8


class TestFuzzDeadMan(unittest.TestCase):

  def test_a_paused_sender_sends_no_byte_after_its_term(self):
    for number in range(ROUNDS):
      result = fuzz_dead_man.run_round(f'ci/{number}')
      self.assertEqual(0, result.bytes_after, number)

  def test_without_the_watchdog_bytes_get_through(self):
    leaks = 0
    for number in range(10 * ROUNDS):
      result = fuzz_dead_man.run_round(f'ci/{number}', 'no-timer')
      leaks += result.bytes_after
      if leaks:
        break
    self.assertGreater(leaks, 0)


if __name__ == '__main__':
  unittest.main()
