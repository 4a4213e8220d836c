"""Tests of how long requests are likely to take."""

import unittest

from mulberrypick.core import run_times


class RunTimesTest(unittest.TestCase):

  def setUp(self):
    self.times = run_times.RunTimes()

  def record(self, *times_s: float, event_s: float = 0.0) -> None:
    for time_s in times_s:
      run = run_times.RunTime(time_s, time_s + 10 * event_s, event_s)
      self.times.record('route', run)

  def test_few_requests_predict_nothing(self):
    self.record(*[1.0] * (run_times.MIN_RUNS - 1))
    self.assertIsNone(self.times.predict_s('route', None))
    self.assertIsNone(self.times.predict_s('other', None))

  def test_slowest_request_counts(self):
    # Guards against a mean, which half of the requests exceed.
    self.record(*[0.1] * 20, 4.0)
    self.assertGreaterEqual(self.times.predict_s('route', None), 4.0)

  def test_old_requests_are_forgotten(self):
    self.record(4.0, *[0.1] * run_times.MAX_RUNS)
    self.assertLess(self.times.predict_s('route', None), 1.0)

  def test_stream_of_unknown_length_takes_as_long_as_whole_ones(self):
    self.record(*[0.5] * 8, event_s=0.1)
    self.assertGreaterEqual(self.times.predict_s('route', None), 1.5)

  def test_missing_events_take_their_time(self):
    self.record(*[0.5] * 8, event_s=0.1)
    whole_s = self.times.predict_s('route', 50)
    self.assertGreaterEqual(whole_s, 5.5)
    self.assertLess(self.times.predict_s('route', 5, spent_s=0.5), 1.0)

  def test_time_before_the_first_event_is_not_counted_twice(self):
    self.record(*[2.0] * 8)
    self.assertLess(
        self.times.predict_s('route', None, spent_s=1.5),
        self.times.predict_s('route', None),
    )

  def test_number_of_routes_is_bounded(self):
    for number in range(2 * run_times.MAX_ROUTES):
      for _ in range(run_times.MIN_RUNS):
        self.times.record(f'r{number}', run_times.RunTime(1.0, 1.0))
    self.assertIsNone(self.times.predict_s('r0', None))
    last = f'r{2 * run_times.MAX_ROUTES - 1}'
    self.assertIsNotNone(self.times.predict_s(last, None))


if __name__ == '__main__':
  unittest.main()
