"""Task that owns the dispatcher.

One thread reads messages from its inbox, passes them to the dispatcher, which
does no I/O, and delivers the resulting effects to the threads that serve the
callers. Other threads only post messages, so the dispatcher needs no lock.
"""

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.core import dispatch
from mulberrypick.core import messages

TICK_INTERVAL_S = 0.02
SLOW_MESSAGE_S = 0.1

_logger = logging.getLogger(__name__)

Reply = queue.SimpleQueue[messages.Effect]


class _Envelope(NamedTuple):
  """A message, and the queue that receives its effect, if one is expected."""

  message: messages.Message
  reply: Reply | None


class _Query(NamedTuple):
  """A function to run on the dispatcher's thread."""

  function: Callable[[dispatch.Dispatcher, float], Any]
  reply: queue.SimpleQueue[Any]


class DispatchTask:
  """Runs a dispatcher on a thread of its own."""

  def __init__(self, dispatcher: dispatch.Dispatcher):
    """Takes ownership of a dispatcher; nothing else may call it afterwards."""
    self._dispatcher = dispatcher
    self._inbox: queue.SimpleQueue[_Envelope | _Query | None] = (
        queue.SimpleQueue()
    )
    self._reply_by_request: dict[str, Reply] = {}
    self._thread = threading.Thread(
        target=self._run, name='dispatch', daemon=True
    )

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def stop(self) -> None:
    """Stops the thread after it has handled all queued messages."""
    self._inbox.put(None)
    self._thread.join()

  def post(self, message: messages.Message) -> None:
    """Posts a message that needs no reply."""
    self._inbox.put(_Envelope(message, None))

  def submit(self, message: messages.Submit) -> Reply:
    """Posts a request and returns the queue that receives its only effect."""
    reply: Reply = queue.SimpleQueue()
    self._inbox.put(_Envelope(message, reply))
    return reply

  def query(self, function: Callable[[dispatch.Dispatcher, float], Any]) -> Any:
    """Runs a function on the dispatcher's thread and returns its result."""
    reply: queue.SimpleQueue[Any] = queue.SimpleQueue()
    self._inbox.put(_Query(function, reply))
    return reply.get()

  def _run(self) -> None:
    next_tick_at = time.monotonic() + TICK_INTERVAL_S
    while True:
      item = self._next_item(next_tick_at)
      if item is None:
        return
      now = time.monotonic()
      if isinstance(item, _Query):
        item.reply.put(item.function(self._dispatcher, now))
        continue
      self._handle(item, now)
      if now >= next_tick_at:
        self._handle(_Envelope(messages.Tick(), None), now)
        next_tick_at = now + TICK_INTERVAL_S

  def _next_item(self, next_tick_at: float) -> '_Envelope | _Query | None':
    wait_s = max(next_tick_at - time.monotonic(), 0.0)
    try:
      return self._inbox.get(timeout=wait_s)
    except queue.Empty:
      return _Envelope(messages.Tick(), None)

  def _handle(self, envelope: _Envelope, now: float) -> None:
    message = envelope.message
    if isinstance(message, messages.Submit) and envelope.reply is not None:
      self._reply_by_request[message.request.request_id] = envelope.reply
    if isinstance(message, messages.Withdraw):
      self._reply_by_request.pop(message.request_id, None)
    try:
      effects = self._dispatcher.handle(message, now)
    except Exception:
      # One bad message must not stop the task for all other requests.
      _logger.exception('dispatch_failed')
      return
    for effect in effects:
      reply = self._reply_by_request.pop(effect.request_id, None)
      if reply is not None:
        reply.put(effect)
    elapsed_s = time.monotonic() - now
    if elapsed_s > SLOW_MESSAGE_S:
      logs.log_event(
          _logger,
          logging.WARNING,
          'dispatch_slow',
          message=type(message).__name__,
          elapsed_s=round(elapsed_s, 3),
      )
