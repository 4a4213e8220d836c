"""Tests of the steps of a planned stop."""

import unittest

from mulberrypick.core import stop_schedule

# Work of an endpoint may be cut only in this last part of the grace period.
CUT_FRACTION = 1 / 6
# Two health checks, one per second.
NOTICE_S = 2.0
GRACE_PERIODS_S = [tenths / 10 for tenths in range(5, 601)]


class StopScheduleTest(unittest.TestCase):

  def test_steps_are_in_order_for_any_grace_period(self):
    # Guards against a port that is closed only after SIGKILL.
    for grace_s in (0.5, 1.0, 2.0, 3.0, 8.0, 30.0, 600.0):
      with self.subTest(grace_s=grace_s):
        schedule = stop_schedule.make_schedule(100.0, grace_s)
        steps = [100.0, *schedule, 100.0 + grace_s]
        self.assertEqual(steps, sorted(set(steps)))

  def test_requests_are_given_up_only_in_the_last_sixth(self):
    # Guards against requests that are cut though their endpoints would have
    # answered in the time that they are owed, at short grace periods.
    for grace_s in GRACE_PERIODS_S:
      with self.subTest(grace_s=grace_s):
        schedule = stop_schedule.make_schedule(0.0, grace_s)
        owed_s = (1.0 - CUT_FRACTION) * grace_s
        # The clocks of the platform and of this process differ a little.
        margin_s = CUT_FRACTION * grace_s / 5
        self.assertGreater(schedule.end_requests_at, owed_s + margin_s)

  def test_last_responses_have_time_before_the_process_is_killed(self):
    for grace_s in GRACE_PERIODS_S:
      with self.subTest(grace_s=grace_s):
        schedule = stop_schedule.make_schedule(0.0, grace_s)
        least_s = min(0.2, grace_s / 20)
        flush_s = schedule.exit_at - schedule.end_requests_at
        self.assertGreaterEqual(flush_s, least_s)
        self.assertGreaterEqual(grace_s - schedule.exit_at, least_s)

  def test_port_closes_after_the_balancer_noticed_and_before_the_cut(self):
    for grace_s in GRACE_PERIODS_S:
      with self.subTest(grace_s=grace_s):
        schedule = stop_schedule.make_schedule(0.0, grace_s)
        notice_s = schedule.close_port_at
        self.assertGreaterEqual(notice_s, min(NOTICE_S, grace_s / 2))
        # Requests that are sent later than this are never excused.
        self.assertLessEqual(notice_s, 3.0)
        self.assertLess(schedule.close_port_at, schedule.end_requests_at)

  def test_balancer_notices_the_stop_in_the_usual_grace_period(self):
    schedule = stop_schedule.make_schedule(0.0, 8.0)
    self.assertEqual(schedule.close_port_at, stop_schedule.BALANCER_NOTICE_S)

  def test_long_grace_period_is_used(self):
    schedule = stop_schedule.make_schedule(0.0, 60.0)
    self.assertGreater(schedule.end_requests_at, 59.0)


if __name__ == '__main__':
  unittest.main()
