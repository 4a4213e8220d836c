"""The thread of the simulated engine that runs its batch scheduler.

Other threads send it messages, and read the load and cache events that it
publishes. The tokens of a step are delivered when the duration of the step has
passed. Each step is scheduled from the planned end of the previous one, so the
overhead of the loop does not reduce the simulated speed.
"""

import os
import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from standins import engine_batch
from standins import engine_events
from standins import engine_stream

IDLE_WAIT_TIMEOUT_S = 0.02
MAX_STEP_DELAY_S = 0.05
CRASH_STATUS = 70
CRASH_PROMPT_MARKER = 'crash=always'


class Submit(NamedTuple):
  """Adds a request to the batch; its outputs go to the sink."""

  work: engine_batch.Work
  sink: engine_stream.Sink


class Cancel(NamedTuple):
  """Removes all sequences that `matches` selects, and aborts their sinks."""

  matches: Callable[[engine_batch.Work], bool]


class Load(NamedTuple):
  """The load of the batch, for load reports.

  Attributes:
    waiting_tokens: Number of tokens that still need prefill.
    running: Number of decoding sequences.
    pieces_free: Number of pieces of KV memory that are free or evictable.
    requests: Number of waiting and running requests.
  """

  waiting_tokens: int
  running: int
  pieces_free: int
  requests: int


class EngineLoop:
  """Runs the batch scheduler in its own thread.

  Attributes:
    load: Load at the time when the latest step was planned.
    tokens: Number of tokens generated since the start.
    prefill_tokens: Number of tokens prefilled since the start.
    frozen_until: Monotonic time until which nothing is computed.
    crash_after: The process exits before it delivers the outputs of a step, if
      `tokens` is at least this number. None disables it.
  """

  def __init__(
      self,
      settings: engine_batch.Settings,
      events: engine_events.CacheEvents,
  ):
    self.load = Load(0, 0, settings.pieces, 0)
    self.tokens = 0
    self.prefill_tokens = 0
    self.frozen_until = 0.0
    self.crash_after: int | None = None
    self._batch = engine_batch.Batch(settings)
    self._events = events
    self._inbox: queue.SimpleQueue[Submit | Cancel] = queue.SimpleQueue()

  def start(self) -> None:
    """Starts the thread."""
    threading.Thread(target=self._run, name='batch', daemon=True).start()

  def send(self, message: Submit | Cancel) -> None:
    """Queues a message for the loop."""
    self._inbox.put(message)

  def fits(self, work: engine_batch.Work) -> bool:
    """Returns whether a request fits into the KV memory of an idle engine."""
    return self._batch.fits(work)

  def _run(self) -> None:
    step_end_at = time.monotonic()
    while True:
      self._handle_messages()
      self._wait_while_frozen()
      plan = self._batch.plan()
      self._publish()
      if plan is None:
        self._wait_for_message()
        step_end_at = time.monotonic()
        continue
      now = time.monotonic()
      if now - step_end_at > MAX_STEP_DELAY_S:
        step_end_at = now
      step_end_at += plan.duration_s
      time.sleep(max(0.0, step_end_at - time.monotonic()))
      self._handle_messages()
      self._deliver_outputs(plan)

  def _wait_while_frozen(self) -> None:
    time.sleep(max(0.0, self.frozen_until - time.monotonic()))

  def _wait_for_message(self) -> None:
    try:
      self._handle_message(self._inbox.get(timeout=IDLE_WAIT_TIMEOUT_S))
    except queue.Empty:
      return

  def _handle_messages(self) -> None:
    while not self._inbox.empty():
      self._handle_message(self._inbox.get())

  def _handle_message(self, message: Submit | Cancel) -> None:
    if isinstance(message, Submit):
      self._batch.add(message.work, message.sink)
      return
    for sequence in self._batch.sequences():
      if message.matches(sequence.work):
        self._batch.remove(sequence)
        sequence.sink.abort()

  def _deliver_outputs(self, plan: engine_batch.Plan) -> None:
    self.prefill_tokens += sum(tokens for _, tokens in plan.prefill)
    if self.crash_after is not None and self.tokens >= self.crash_after:
      os._exit(CRASH_STATUS)
    for output in self._batch.finish(plan):
      if CRASH_PROMPT_MARKER in output.sequence.work.prompt:
        os._exit(CRASH_STATUS)
      if output.text:
        self.tokens += 1
      output.sequence.sink.handle_output(output)

  def _publish(self) -> None:
    batch = self._batch
    self._events.add(batch.memory.take_changes())
    self.load = Load(
        batch.waiting_tokens(),
        batch.running(),
        batch.memory.available(),
        len(batch.sequences()),
    )
