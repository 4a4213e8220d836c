"""Tests of arming the timer.

Tests in `standins` check with real processes that the timer kills a process.
"""

import signal
import time
import unittest

from mulberrypick.ops import term_watchdog

TERM_S = 600.0


class TestTermWatchdog(unittest.TestCase):

  def setUp(self):
    self.addCleanup(signal.setitimer, signal.ITIMER_REAL, 0)

  def timer_s(self) -> float:
    return signal.getitimer(signal.ITIMER_REAL)[0]

  def test_the_timer_fires_before_the_end_of_the_term(self):
    end_at = time.monotonic() + TERM_S
    timer = term_watchdog.TermWatchdog()
    timer.arm(end_at)
    self.assertGreater(self.timer_s(), 0)
    self.assertLessEqual(time.monotonic() + self.timer_s(), end_at)
    timer.disarm()
    self.assertEqual(0, self.timer_s())

  def test_arming_after_the_end_of_the_term_is_refused(self):
    with self.assertRaises(term_watchdog.TermExpiredError):
      term_watchdog.TermWatchdog().arm(time.monotonic())
    self.assertEqual(0, self.timer_s())

  def test_a_pause_before_the_timer_is_set_is_detected(self):
    # The first clock reading is a minute old when the timer is set.
    readings = [time.monotonic() - 60.0]

    def clock() -> float:
      return readings.pop() if readings else time.monotonic()

    with self.assertRaises(term_watchdog.TermExpiredError):
      term_watchdog.TermWatchdog(clock).arm(time.monotonic() + TERM_S)
    self.assertEqual(0, self.timer_s())


if __name__ == '__main__':
  unittest.main()
