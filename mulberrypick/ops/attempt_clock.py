"""Times the attempts to serve one request."""

import asyncio

from mulberrypick.core import gateway_records
from mulberrypick.core import run_times
from mulberrypick.core import stream_meter
from mulberrypick.ops import caller_stream
from mulberrypick.ops import stop_guard


class AttemptClock:
  """Times one attempt after the other, and tells if one more ends in time.

  Attributes:
    read_s: Time in which an engine has read the prompt for the present attempt.
  """

  def __init__(
      self,
      stop: stop_guard.StopGuard,
      stream: caller_stream.CallerStream,
      meter: stream_meter.StreamMeter,
      is_forwarded: bool = False,
  ):
    """Creates a clock; the first attempt begins now.

    Args:
      stop: Knows when this process ends.
      stream: The stream to the caller.
      meter: Measures the events of that stream.
      is_forwarded: Whether another host passed the request on.
    """
    self._stop = stop
    self._stream = stream
    self._meter = meter
    self._is_forwarded = is_forwarded
    self._first_event_at: float | None = None
    self._began_at = 0.0
    self.read_s = 0.0
    # The latest prediction in a stop, and the time that was left then.
    self._judged = stop_guard.Prediction(None, stop_guard.Basis.BEFORE_STOP)
    self._judged_left_s: float | None = None
    self.begin()

  def begin(self) -> None:
    """Begins an attempt."""
    self._began_at = asyncio.get_running_loop().time()
    self._first_event_at = None
    self.read_s = 0.0

  def record_first_event(self, now: float) -> None:
    """Records the first event of the attempt."""
    self._first_event_at = now

  def record_end(self, call: gateway_records.Call, is_served: bool) -> None:
    """Records how long the attempt took, and whether it served the request."""
    now = asyncio.get_running_loop().time()
    self._stop.times.record(
        stop_guard.describe_work(call),
        self.observe(now)._replace(is_served=is_served),
    )

  def observe(self, now: float) -> run_times.RunTime:
    """Returns how long the attempt has taken by now."""
    whole_s = now - self._began_at
    first_s = whole_s
    if self._first_event_at is not None:
      first_s = self._first_event_at - self._began_at
    return run_times.RunTime(first_s, whole_s, self._meter.mean_event_s, False)

  def can_send(
      self, call: gateway_records.Call, has_given_up: bool, now: float
  ) -> bool:
    """Returns whether the request may be sent now, or is too late for that.

    One whose run this host gave up goes on: that run might have ended in time.
    But a stream that must not be cut is failed instead of begun.

    Args:
      call: The request.
      has_given_up: Whether this host ended its last run.
      now: Time on the event loop's clock.
    """
    if has_given_up and (
        self._stream.has_head
        or not self._stop.is_owed_its_end(call, self._is_forwarded)
    ):
      return True
    return self._can_end(call, self.read_s, now)

  def can_repeat(self, call: gateway_records.Call) -> bool:
    """Returns whether one more attempt ends before this process."""
    return self._can_end(call, 0.0, asyncio.get_running_loop().time())

  def _can_end(
      self, call: gateway_records.Call, spent_s: float, now: float
  ) -> bool:
    if self._stop.end_at == float('inf'):
      return True
    progress = stop_guard.Progress(
        self._stream.last_event,
        self._meter.mean_event_s,
        spent_s,
        self._is_forwarded,
    )
    self._judged = self._stop.predict(call, progress, now)
    self._judged_left_s = self._stop.end_at - now
    return self._stop.is_in_time(self._judged, now)

  def describe(self, now: float) -> dict[str, object]:
    """Returns by what the request was judged in a stop, for logs."""
    return {
        'needed_s': _round(self._judged.needed_s),
        'basis': self._judged.basis.value,
        'judged_left_s': _round(self._judged_left_s),
        'left_s': _round(self._stop.end_at - now),
    }


def _round(time_s: float | None) -> float | None:
  return None if time_s is None else round(time_s, 3)
