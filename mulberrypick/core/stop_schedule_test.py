"""Tests of the steps of a planned stop."""

import unittest

from mulberrypick.core import stop_schedule


class StopScheduleTest(unittest.TestCase):

  def test_steps_are_in_order_for_any_grace_period(self):
    # Guards against a port that is closed only after SIGKILL.
    for grace_s in (0.5, 1.0, 2.0, 3.0, 8.0, 30.0, 600.0):
      with self.subTest(grace_s=grace_s):
        schedule = stop_schedule.make_schedule(100.0, grace_s)
        steps = [100.0, *schedule, 100.0 + grace_s]
        self.assertEqual(steps, sorted(set(steps)))

  def test_balancer_notices_the_stop_in_the_usual_grace_period(self):
    schedule = stop_schedule.make_schedule(0.0, 8.0)
    self.assertEqual(schedule.close_port_at, stop_schedule.BALANCER_NOTICE_S)

  def test_long_grace_period_is_used(self):
    schedule = stop_schedule.make_schedule(0.0, 60.0)
    self.assertGreater(schedule.end_requests_at, 59.0)


if __name__ == '__main__':
  unittest.main()
