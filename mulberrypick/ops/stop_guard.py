"""Keeps a process that shuts down from starting what it can't end.

A request is sent to an endpoint only if it is likely to end before the process
does. This holds for all requests alike, however they came here: on a kept
connection, pipelined, with a body that ended late, from another host, or once
more after a failed run.
"""

import asyncio
import contextlib
import enum
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import run_times

# Reason of a request that was not sent, for logs and callers.
STOPPING = 'host_stopping'
# The same of a prefill, and both.
READ_STOPPING = f'read_{STOPPING}'
REASONS = (STOPPING, READ_STOPPING)
# Retry-After of its response: other hosts take it at once.
RETRY_AFTER_S = 0.05


# Requests that were sent later than this after SIGTERM may not be cut (s), also
# if their endpoint is still at work when the process ends.
EXCUSED_S = 3.0
# Time that a busy process takes to notice SIGTERM.
SIGNAL_DELAY_S = 0.2


class Progress(NamedTuple):
  """How far a request has come.

  Attributes:
    last_event: Id of the last event that its caller has, None for none.
    event_s: Mean time between the events of its stream so far, 0 if unknown.
    spent_s: Time in which its prompt was read, if that is not done again.
    is_forwarded: Whether another host passed it on.
  """

  last_event: int | None
  event_s: float
  spent_s: float
  is_forwarded: bool


class Basis(enum.Enum):
  """What the time to the end of a request is known by."""

  # It was not judged, as no stop has begun.
  BEFORE_STOP = 'before_stop'
  # It ends by its time limit, which is earlier than the end of the stop.
  TIME_LIMIT = 'time_limit'
  # Earlier requests of its route, service and size took so long.
  RUN_TIMES = 'run_times'
  # Requests under way are slower than those.
  OPEN_RUNS = 'open_runs'
  # The events of its own stream came so fast.
  PACE = 'pace'
  UNKNOWN_SIZE = 'unknown_size'
  # Too few requests like it were seen.
  UNKNOWN = 'unknown'


class Prediction(NamedTuple):
  """How long a request is going to take.

  Attributes:
    needed_s: Time to its end, None if unknown.
    basis: What that is known by.
  """

  needed_s: float | None
  basis: Basis


# Returns a request that is under way, and how long it has taken by a time.
Observer = Callable[[float], tuple[gateway_records.Call, run_times.RunTime]]


class StopGuard:
  """The time at which requests must have ended, and those that are open.

  Attributes:
    end_at: When requests are given up, on the clock of the event loop; infinite
      while the process does not shut down.
    times: How long requests took lately.
    is_over: Whether the process is about to exit: it ends what is still open.
  """

  def __init__(self):
    self.end_at = float('inf')
    self.times = run_times.RunTimes()
    self.is_over = False
    self._excused_until = float('inf')
    self._observers: dict[asyncio.Timeout, Observer | None] = {}

  def begin(self, began_at: float, end_at: float) -> None:
    """Begins the stop.

    Args:
      began_at: When SIGTERM came, on the clock of the event loop.
      end_at: When requests are given up, on the same clock.
    """
    self.end_at = end_at
    self._excused_until = began_at + EXCUSED_S - SIGNAL_DELAY_S

  def is_owed_its_end(
      self, call: gateway_records.Call, is_forwarded: bool
  ) -> bool:
    """Returns whether a request must not be cut once its response has begun.

    A response that is written as a whole is replaced by a failure instead.
    Nothing is excused for callers of a host that does not leave.
    """
    if self.end_at == float('inf'):
      return False
    is_stream = call.route.kind is gateway_records.CallKind.STREAM
    return is_stream and (is_forwarded or call.arrived_at > self._excused_until)

  def predict(
      self, call: gateway_records.Call, progress: Progress, now: float
  ) -> Prediction:
    """Predicts in a stop when a request ends that is sent now.

    Args:
      call: The request.
      progress: How far it has come.
      now: Time on the event loop's clock.
    """
    limit_at = min(call.deadline_at, call.arrived_at + call.route.timeout_s)
    if limit_at <= self.end_at:
      return Prediction(limit_at - now, Basis.TIME_LIMIT)
    events = None
    if call.route.kind is gateway_records.CallKind.STREAM:
      events = max(0, call.output_tokens - (progress.last_event or 0)) or None
    is_owed = self.is_owed_its_end(call, progress.is_forwarded)
    if is_owed and events is None:
      # It may be longer than any that was seen.
      return Prediction(None, Basis.UNKNOWN_SIZE)
    found = self._predict_by_runs(call, events, progress, not is_owed)
    if found.needed_s is None or not is_owed:
      return found
    slowest_s = self._slowest_open_s(call, events, progress.spent_s, now)
    if slowest_s > found.needed_s:
      return Prediction(slowest_s, Basis.OPEN_RUNS)
    return found

  def _predict_by_runs(
      self,
      call: gateway_records.Call,
      events: int | None,
      progress: Progress,
      may_be_larger: bool,
  ) -> Prediction:
    """Predicts by earlier requests, or else by the pace of its own stream."""
    needed_s = self.times.predict_s(
        describe_work(call), events, progress.spent_s, may_be_larger
    )
    if needed_s is not None:
      return Prediction(needed_s, Basis.RUN_TIMES)
    if events and progress.event_s:
      needed_s = run_times.SAFETY_FACTOR * events * progress.event_s
      return Prediction(needed_s, Basis.PACE)
    return Prediction(None, Basis.UNKNOWN)

  def is_in_time(self, prediction: Prediction, now: float) -> bool:
    """Returns whether a request that is sent now ends before the process."""
    if prediction.basis is Basis.TIME_LIMIT:
      return True
    needed_s = prediction.needed_s
    return needed_s is not None and now + needed_s <= self.end_at

  def _slowest_open_s(
      self,
      call: gateway_records.Call,
      events: int,
      spent_s: float,
      now: float,
  ) -> float:
    """Returns what a request takes if it is as slow as others under way.

    They show that an endpoint has become slow before one of them has ended.
    """
    longest_s = 0.0
    for observe in self._observers.values():
      if observe is None:
        continue
      other, run = observe(now)
      is_alike = (
          other.route.name == call.route.name and other.service == call.service
      )
      if other.id == call.id or not is_alike:
        continue
      longest_s = max(longest_s, run.rest_s(events, spent_s))
    return run_times.SAFETY_FACTOR * longest_s

  def cause_of_cancellation(self) -> tuple[str, str]:
    """Returns outcome and reason of a request that is cancelled."""
    if self.is_over:
      return 'cut', STOPPING
    return 'left', 'caller_left'

  @contextlib.contextmanager
  def watch(
      self, timeout: asyncio.Timeout, observe: Observer | None = None
  ) -> Iterator[None]:
    """Lets `give_up` end the time limit of a request within the block.

    Args:
      timeout: The time limit.
      observe: Observes the request; None before it is placed.
    """
    self._observers[timeout] = observe
    try:
      yield
    finally:
      del self._observers[timeout]

  def give_up(self) -> int:
    """Ends the time limits of all open requests; returns their number."""
    now = asyncio.get_running_loop().time()
    ended = 0
    for timeout in list(self._observers):
      if timeout.expired():
        continue
      timeout.reschedule(now)
      ended += 1
    return ended


def describe_work(call: gateway_records.Call) -> run_times.Work:
  """Returns what a request asks for."""
  return run_times.Work(
      call.route.name, call.service, call.prompt_tokens, call.output_tokens
  )
