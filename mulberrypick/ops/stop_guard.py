"""Keeps a process that shuts down from starting what it can't end.

A request is sent to an endpoint only if it is likely to end before the process
does. This holds for all requests alike, however they came here: on a kept
connection, pipelined, with a body that ended late, from another host, or once
more after a failed run.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from mulberrypick.core import gateway_records
from mulberrypick.core import run_times

# Reason of a request that was not sent, for logs and callers.
STOPPING = 'host_stopping'
# Retry-After of its response: other hosts take it at once.
RETRY_AFTER_S = 0.05


class StopGuard:
  """The time at which requests must have ended, and those that are open.

  Attributes:
    end_at: When requests are given up, on the clock of the event loop; infinite
      while the process does not shut down.
    times: How long requests took lately.
  """

  def __init__(self):
    self.end_at = float('inf')
    self.times = run_times.RunTimes()
    self._timeouts: set[asyncio.Timeout] = set()

  def can_end(
      self,
      call: gateway_records.Call,
      last_event: int | None,
      event_s: float,
      spent_s: float,
      now: float,
  ) -> bool:
    """Returns whether a request that is sent now ends before the process.

    Args:
      call: The request.
      last_event: Id of the last event that its caller has, None for none.
      event_s: Mean time between the events of its stream so far, 0 if unknown.
      spent_s: Time since the present attempt to serve it began.
      now: Time on the event loop's clock.
    """
    if self.end_at == float('inf'):
      return True
    limit_at = min(call.deadline_at, call.arrived_at + call.route.timeout_s)
    if limit_at <= self.end_at:
      return True
    events = None
    if call.route.kind is gateway_records.CallKind.STREAM:
      events = max(0, call.output_tokens - (last_event or 0)) or None
    needed_s = self.times.predict_s(call.route.name, events, spent_s)
    if needed_s is None and events and event_s:
      needed_s = run_times.SAFETY_FACTOR * events * event_s
    return needed_s is not None and now + needed_s <= self.end_at

  @contextlib.contextmanager
  def watch(self, timeout: asyncio.Timeout) -> Iterator[None]:
    """Lets `give_up` end the time limit of a request within the block."""
    self._timeouts.add(timeout)
    try:
      yield
    finally:
      self._timeouts.discard(timeout)

  def give_up(self) -> int:
    """Ends the time limits of all open requests; returns their number."""
    now = asyncio.get_running_loop().time()
    ended = 0
    for timeout in list(self._timeouts):
      if timeout.expired():
        continue
      timeout.reschedule(now)
      ended += 1
    return ended
