"""Tests of how long requests are likely to take."""

import unittest

from mulberrypick.core import run_times

WORK = run_times.Work('route', 'service')


class RunTimesTest(unittest.TestCase):

  def setUp(self):
    self.times = run_times.RunTimes()

  def record(self, *times_s: float, event_s: float = 0.0) -> None:
    for time_s in times_s:
      run = run_times.RunTime(time_s, time_s + 10 * event_s, event_s)
      self.times.record(WORK, run)

  def test_few_requests_predict_nothing(self):
    self.record(*[1.0] * (run_times.MIN_RUNS - 1))
    self.assertIsNone(self.times.predict_s(WORK, None))
    self.assertIsNone(self.times.predict_s(WORK._replace(route='other'), None))

  def test_slowest_request_counts(self):
    # Guards against a mean, which half of the requests exceed.
    self.record(*[0.1] * 20, 4.0)
    self.assertGreaterEqual(self.times.predict_s(WORK, None), 4.0)

  def test_old_requests_are_forgotten(self):
    self.record(4.0, *[0.1] * run_times.MAX_RUNS)
    self.assertLess(self.times.predict_s(WORK, None), 1.0)

  def test_stream_of_unknown_length_takes_as_long_as_whole_ones(self):
    self.record(*[0.5] * 8, event_s=0.1)
    self.assertGreaterEqual(self.times.predict_s(WORK, None), 1.5)

  def test_missing_events_take_their_time(self):
    self.record(*[0.5] * 8, event_s=0.1)
    whole_s = self.times.predict_s(WORK, 50)
    self.assertGreaterEqual(whole_s, 5.5)
    self.assertLess(self.times.predict_s(WORK, 5, spent_s=0.5), 1.0)

  def test_time_before_the_first_event_is_not_counted_twice(self):
    self.record(*[2.0] * 8)
    self.assertLess(
        self.times.predict_s(WORK, None, spent_s=1.5),
        self.times.predict_s(WORK, None),
    )

  def test_number_of_sizes_is_bounded(self):
    for number in range(2 * run_times.MAX_SIZES):
      self.record_for(run_times.Work(f'r{number}', 'service'), 1.0)
    first = run_times.Work('r0', 'service')
    self.assertIsNone(self.times.predict_s(first, None))
    last = run_times.Work(f'r{2 * run_times.MAX_SIZES - 1}', 'service')
    self.assertIsNotNone(self.times.predict_s(last, None))

  def test_service_before_a_move_of_the_route_predicts_nothing(self):
    # Guards against requests that are sent to a slow service because the one
    # that the route named before was fast.
    self.record(*[0.1] * 20)
    moved = WORK._replace(service='other')
    self.assertIsNone(self.times.predict_s(moved, None))

  def test_short_requests_predict_nothing_for_long_ones(self):
    # Guards against long streams on a route of mostly short ones.
    self.record_for(WORK._replace(output_tokens=2), 0.1, event_s=0.001)
    long = WORK._replace(output_tokens=150)
    self.assertIsNone(self.times.predict_s(long, 150))

  def test_short_prompts_predict_nothing_for_long_ones(self):
    self.record_for(WORK._replace(prompt_tokens=100), 0.1)
    long = WORK._replace(prompt_tokens=20_000)
    self.assertIsNone(self.times.predict_s(long, None))

  def test_smaller_requests_predict_one_that_may_be_cut(self):
    # Guards against refusing all requests of sizes that are rare.
    self.record_for(WORK._replace(output_tokens=20), 0.1, event_s=0.01)
    long = WORK._replace(output_tokens=150)
    self.assertIsNone(self.times.predict_s(long, 150))
    rest_s = self.times.predict_s(long, 150, may_be_larger=True)
    self.assertGreaterEqual(rest_s, 1.6)

  def test_long_requests_predict_short_ones(self):
    # Guards against refusing requests of a size that is new but small.
    self.record_for(WORK._replace(output_tokens=150), 0.1, event_s=0.01)
    short = WORK._replace(output_tokens=2)
    self.assertLess(self.times.predict_s(short, 2), 0.5)

  def test_rare_long_requests_are_not_forgotten(self):
    # Guards against long streams that are predicted by the short ones, which
    # are more frequent.
    long = WORK._replace(output_tokens=150)
    self.record_for(long, 0.1, event_s=0.02)
    for _ in range(2 * run_times.MAX_RUNS):
      self.record_for(WORK._replace(output_tokens=2), 0.1, event_s=0.001)
    self.assertGreaterEqual(self.times.predict_s(long, 150), 3.0)

  def test_responses_of_one_event_show_no_pace(self):
    # Guards against a pace of 0 for the events of a stream.
    long = WORK._replace(output_tokens=150)
    self.record_for(long, 0.1)
    self.assertIsNone(self.times.predict_s(long, 150))
    self.assertIsNotNone(self.times.predict_s(long, 1))

  def test_failed_requests_do_not_show_that_others_are_short(self):
    # Guards against a prediction by runs that broke off early.
    for _ in range(run_times.MAX_RUNS):
      run = run_times.RunTime(0.01, 0.01, is_served=False)
      self.times.record(WORK, run)
    self.assertIsNone(self.times.predict_s(WORK, None))

  def test_failed_requests_show_that_others_may_be_long(self):
    self.record(*[0.1] * run_times.MIN_RUNS)
    self.times.record(WORK, run_times.RunTime(4.0, 4.0, is_served=False))
    self.assertGreaterEqual(self.times.predict_s(WORK, None), 4.0)

  def record_for(
      self, work: run_times.Work, first_s: float, event_s: float = 0.0
  ) -> None:
    whole_s = first_s + work.output_tokens * event_s
    for _ in range(run_times.MIN_RUNS):
      self.times.record(work, run_times.RunTime(first_s, whole_s, event_s))


if __name__ == '__main__':
  unittest.main()
