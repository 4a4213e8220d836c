"""Predicts whether a long stream ends and pauses in time at an engine.

Answers load pattern: streams of some thousand tokens beside prompts that are
prefilled between their tokens. A stream that begins at once may still pause for
too long, or not end before its deadline; the largest ones first.
"""

from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records

# Largest fraction of the longest pause that prefill and the event itself may
# take, and of the time until the deadline that the stream may take. The rest is
# for what arrives meanwhile.
MAX_PAUSE_FRACTION = 0.75
MAX_DURATION_FRACTION = 0.8
# Weight of one stream in the mean number of tokens of an event.
MEAN_WEIGHT = 0.05


class _Streams:
  """What the long streams of a service were like."""

  def __init__(self):
    self.count = 0
    self.tokens_per_event = 0.0
    self.calls = 0
    self.mean_tokens = 0.0
    # Shortest of the longest pauses that their routes allow; infinite before
    # the first stream.
    self.gap_s = float('inf')


class StreamOutlook:
  """Learns what streams of each service are like, and predicts others."""

  def __init__(self, load: engine_load.EngineLoad):
    self._load = load
    self._by_service: dict[str, _Streams] = {}

  def record_call(self, call: gateway_records.Call) -> None:
    """Records a long stream that is to be placed."""
    streams = self._by_service.setdefault(call.service, _Streams())
    streams.calls += 1
    weight = max(MEAN_WEIGHT, 1 / streams.calls)
    streams.mean_tokens += weight * (call.output_tokens - streams.mean_tokens)
    if call.route.gap_s:
      streams.gap_s = min(streams.gap_s, call.route.gap_s)

  def record_end(self, call: gateway_records.Call, events: int) -> None:
    """Records a stream that was served whole.

    Args:
      call: The request.
      events: Number of its events.
    """
    if not events or not call.output_tokens:
      return
    streams = self._by_service.get(call.service)
    if streams is None:
      return
    streams.count += 1
    weight = max(MEAN_WEIGHT, 1 / streams.count)
    sample = call.output_tokens / events
    streams.tokens_per_event += weight * (sample - streams.tokens_per_event)

  def has_streams(self, service: str) -> bool:
    """Returns whether a long stream of a service was placed here."""
    return service in self._by_service

  def is_late(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> bool:
    """Returns whether a stream is expected to be late or cut at an engine."""
    event_s = self._load.event_s(runner, now)
    if call.route.gap_s and event_s > call.route.gap_s:
      return True
    return self._ends_in_s(call, runner, now) > MAX_DURATION_FRACTION * (
        call.deadline_at - now
    )

  def can_end(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> bool:
    """Returns whether a stream may end before its deadline at an engine."""
    return self._ends_in_s(call, runner, now) <= call.deadline_at - now

  def _ends_in_s(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> float:
    return self.wait_s(runner, now) + self.duration_s(call, runner, now)

  def wait_s(self, runner: gateway_records.Endpoint, now: float) -> float:
    """Returns how long one more stream waits for a slot, 0 if not known."""
    streams = self._by_service.get(runner.service)
    if streams is None or not streams.count:
      return 0.0
    waiting = self._load.total(runner, now).count + 1 - runner.slots
    if waiting <= 0:
      return 0.0
    events = streams.mean_tokens / streams.tokens_per_event
    mean_s = events * self._load.event_s(runner, now)
    return waiting * mean_s / runner.slots

  def filter_in_time(
      self,
      call: gateway_records.Call,
      runners: list[gateway_records.Endpoint],
      now: float,
  ) -> list[gateway_records.Endpoint]:
    """Returns the engines at which a stream is not expected to be late."""
    return [r for r in runners if not self.is_late(call, r, now)]

  def duration_s(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> float:
    """Returns how long a stream takes at an engine, 0 if it is not known."""
    streams = self._by_service.get(call.service)
    if streams is None or not streams.count:
      return 0.0
    events = call.output_tokens / streams.tokens_per_event
    return events * self._load.event_s(runner, now)

  def has_room(
      self, runner: gateway_records.Endpoint, tokens: int, now: float
  ) -> bool:
    """Returns whether an engine may prefill beside the streams it may have.

    Args:
      runner: The engine.
      tokens: Tokens to prefill, including those that wait there.
      now: Time on the event loop's clock.
    """
    streams = self._by_service.get(runner.service)
    if streams is None:
      return True
    pause_s = tokens * self._load.read_token_s(runner, now)
    pause_s += self._load.event_s(runner, now)
    return pause_s <= MAX_PAUSE_FRACTION * streams.gap_s
