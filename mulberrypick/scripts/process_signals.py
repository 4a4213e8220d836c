"""Handles signals from before the event loop starts until the program exits.

An event loop that handles them has not handled them before it runs, and sets
the default action when it is closed, which ends the program with an error. An
exception that a handler raises while the loop starts leaves it unusable.
"""

import signal
import time
from collections.abc import Callable


class ProcessSignals:
  """Keeps that a stop was requested, and calls whom a signal concerns.

  Attributes:
    stop_requested_at: When the first SIGTERM or SIGINT came, on the monotonic
      clock, None without one. The event loop may get to it later.
  """

  def __init__(self):
    self.stop_requested_at: float | None = None
    self._stop: Callable[[], None] | None = None
    self._reload: Callable[[], None] | None = None

  def install(self) -> None:
    """Handles the signals from now on; call it in the main thread."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
      signal.signal(signal_number, lambda *_: self._handle_stop())
    signal.signal(signal.SIGHUP, lambda *_: self._handle_reload())

  def attach(
      self, stop: Callable[[], None], reload: Callable[[], None]
  ) -> None:
    """Sets what the signals call.

    Args:
      stop: Called at each SIGTERM and SIGINT, and now if there was one before.
      reload: Called at each SIGHUP.
    """
    self._stop, self._reload = stop, reload
    if self.stop_requested_at is not None:
      stop()

  def detach(self) -> None:
    """Ignores the signals: the program is about to exit."""
    self._stop = self._reload = None

  def _handle_stop(self) -> None:
    if self.stop_requested_at is None:
      self.stop_requested_at = time.monotonic()
    if self._stop is not None:
      self._stop()

  def _handle_reload(self) -> None:
    if self._reload is not None:
      self._reload()
