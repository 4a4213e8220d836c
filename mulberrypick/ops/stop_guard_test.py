"""Tests of what a process that shuts down still begins."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.core import gateway_records
from mulberrypick.core import run_times
from mulberrypick.core import stream_meter
from mulberrypick.ops import attempt_clock
from mulberrypick.ops import stop_guard

GRACE_S = 8.0
# Requests that are sent later than this after SIGTERM may not be cut.
UNEXCUSED_S = 3.0


class StopGuardTest(unittest.IsolatedAsyncioTestCase):

  def setUp(self):
    self.stop = stop_guard.StopGuard()
    self.stream = mock.Mock(last_event=None, has_head=False)
    self.meter = stream_meter.StreamMeter()

  async def asyncSetUp(self):
    self.began_at = asyncio.get_running_loop().time()
    self.stop.begin(self.began_at, self.began_at + GRACE_S)

  def make_clock(self, is_forwarded=False) -> attempt_clock.AttemptClock:
    return attempt_clock.AttemptClock(
        self.stop, self.stream, self.meter, is_forwarded
    )

  def make_call(self, after_s: float, **changes) -> gateway_records.Call:
    arrived_at = self.began_at + after_s
    route = mock.Mock(
        kind=gateway_records.CallKind.STREAM,
        timeout_s=60.0,
        spec_set=['kind', 'timeout_s', 'name'],
    )
    route.name = 'route'
    call = gateway_records.Call(
        id='r1',
        route=route,
        service='service',
        parts=(),
        prompt_tokens=100,
        output_tokens=20,
        fingerprint=0,
        arrived_at=arrived_at,
        deadline_at=arrived_at + 60.0,
    )
    return call._replace(**changes)

  def record(self, call: gateway_records.Call, event_s: float) -> None:
    for _ in range(run_times.MIN_RUNS):
      self.stop.times.record(
          stop_guard.describe_work(call),
          run_times.RunTime(0.1, 0.1 + 20 * event_s, event_s),
      )

  def can_send(
      self, call, has_given_up=False, is_forwarded=False, after_s=4.0
  ) -> bool:
    clock = self.make_clock(is_forwarded)
    return clock.can_send(call, has_given_up, self.began_at + after_s)

  async def test_stream_of_unknown_size_is_begun_only_if_it_may_be_cut(self):
    call = self.make_call(UNEXCUSED_S, output_tokens=0)
    self.record(call, 0.01)
    self.assertFalse(self.can_send(call))
    early = self.make_call(1.0, output_tokens=0)
    self.assertTrue(self.can_send(early))
    # Its caller's host does not leave.
    self.assertFalse(self.can_send(early, is_forwarded=True))

  async def test_stream_whose_time_limit_ends_before_is_begun(self):
    arrived_at = self.began_at + UNEXCUSED_S
    call = self.make_call(UNEXCUSED_S, deadline_at=arrived_at + 2.0)
    self.assertTrue(self.can_send(call))

  async def test_plain_request_of_unknown_size_is_begun_late(self):
    # Its response is written as a whole, or replaced by a failure.
    call = self.make_call(UNEXCUSED_S, prompt_tokens=0, output_tokens=0)
    call.route.kind = gateway_records.CallKind.UNSAFE
    self.record(call, 0.01)
    self.assertTrue(self.can_send(call))

  async def test_given_up_stream_is_not_begun_again_to_be_cut(self):
    # Guards against streams that are begun late, as another run of theirs was
    # given up, and then broken off: without an event they can still be failed.
    call = self.make_call(UNEXCUSED_S)
    self.record(call, 1.0)
    self.assertFalse(self.can_send(call, has_given_up=True))
    self.assertTrue(self.can_send(self.make_call(1.0), has_given_up=True))
    self.stream.has_head = True
    self.assertTrue(self.can_send(call, has_given_up=True))

  async def test_stream_on_a_moved_route_is_not_begun_by_runs_before(self):
    # Guards against a prediction from runs at the service before the move.
    call = self.make_call(UNEXCUSED_S)
    self.record(call, 0.01)
    self.assertTrue(self.can_send(call))
    self.assertFalse(self.can_send(call._replace(service='other')))

  async def test_slow_stream_under_way_counts(self):
    # Guards against streams at an endpoint that has just become slow.
    call = self.make_call(UNEXCUSED_S)
    self.record(call, 0.01)
    self.assertTrue(self.can_send(call))
    other = self.make_call(0.0, id='r2')
    run = run_times.RunTime(0.1, 2.0, 0.5, False)
    with self.stop.watch(mock.Mock(), lambda now: (other, run)):
      self.assertFalse(self.can_send(call))
      # It says nothing about another service.
      moved = call._replace(service='other')
      self.record(moved, 0.01)
      self.assertTrue(self.can_send(moved))

  async def test_prompt_that_was_read_need_not_be_read_again(self):
    call = self.make_call(UNEXCUSED_S)
    for _ in range(run_times.MIN_RUNS):
      run = run_times.RunTime(3.0, 3.2, 0.01)
      self.stop.times.record(stop_guard.describe_work(call), run)
    clock = self.make_clock()
    now = self.began_at + 4.0
    self.assertFalse(clock.can_send(call, False, now))
    clock.read_s = 2.9
    self.assertTrue(clock.can_send(call, False, now))
    # A next attempt reads it again.
    clock.begin()
    self.assertFalse(clock.can_send(call, False, now))


if __name__ == '__main__':
  unittest.main()
