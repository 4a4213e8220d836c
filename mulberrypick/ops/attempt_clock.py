"""Times the attempts to serve one request."""

import asyncio

from mulberrypick.core import gateway_records
from mulberrypick.core import run_times
from mulberrypick.core import stream_meter
from mulberrypick.ops import caller_stream
from mulberrypick.ops import stop_guard


class AttemptClock:
  """Times one attempt after the other, and tells if one more ends in time."""

  def __init__(
      self,
      stop: stop_guard.StopGuard,
      stream: caller_stream.CallerStream,
      meter: stream_meter.StreamMeter,
  ):
    """Creates a clock; the first attempt begins now.

    Args:
      stop: Knows when this process ends.
      stream: The stream to the caller.
      meter: Measures the events of that stream.
    """
    self._stop = stop
    self._stream = stream
    self._meter = meter
    self._first_event_at: float | None = None
    self._began_at = 0.0
    self.begin()

  def begin(self) -> None:
    """Begins an attempt."""
    self._began_at = asyncio.get_running_loop().time()
    self._first_event_at = None

  def record_first_event(self, now: float) -> None:
    """Records the first event of the attempt."""
    self._first_event_at = now

  def record_end(self, route: str) -> None:
    """Records how long the attempt took, by the name of its route."""
    whole_s = asyncio.get_running_loop().time() - self._began_at
    first_s = whole_s
    if self._first_event_at is not None:
      first_s = self._first_event_at - self._began_at
    self._stop.times.record(
        route, run_times.RunTime(first_s, whole_s, self._meter.mean_event_s)
    )

  def can_end(self, call: gateway_records.Call, now: float) -> bool:
    """Returns whether the attempt ends before this process if sent now."""
    return self._can_end(call, now - self._began_at, now)

  def can_repeat(self, call: gateway_records.Call) -> bool:
    """Returns whether one more attempt ends before this process."""
    return self._can_end(call, 0.0, asyncio.get_running_loop().time())

  def _can_end(
      self, call: gateway_records.Call, spent_s: float, now: float
  ) -> bool:
    return self._stop.can_end(
        call,
        self._stream.last_event,
        self._meter.mean_event_s,
        spent_s,
        now,
    )
