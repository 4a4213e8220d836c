"""The kernel timer that ends a process which sends an order too late.

A process can be paused between any check of its term and the system call that
sends an order. Nothing in the process can rule that out, so the kernel does:
the timer is armed for the end of the term before the order is sent, SIGALRM
has its default action, and a process that is resumed with a pending SIGALRM
ends before it runs another instruction of its own.

That last point holds for the thread that takes the signal. While one thread
takes it, another could still run, so SIGALRM is blocked in every thread but
the one that sends orders: `block_sigalrm` in the main thread, before others are
started, then `TermWatchdog` in the sending thread.

The timer is armed only around the sending of an order. A controller that is
paused at any other moment, or loses the platform, merely loses its term.
"""

import signal
import time
from collections.abc import Callable

from mulberrypick.core import errors

# The timer fires so much before the end of the term: between reading the clock
# and arming, time passes.
MARGIN_S = 0.05


class TermExpiredError(errors.MulberrypickError):
  """There is not enough of the term left to give an order."""


def block_sigalrm() -> None:
  """Blocks SIGALRM in this thread and those that it starts from now on."""
  signal.signal(signal.SIGALRM, signal.SIG_DFL)
  signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGALRM})


class TermWatchdog:
  """The timer; make and use it in the one thread that sends orders."""

  def __init__(self, clock: Callable[[], float] = time.monotonic):
    """Takes over SIGALRM for this thread.

    Args:
      clock: The monotonic clock; a test puts pauses in.
    """
    self._clock = clock
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

  def arm(self, term_end_at: float) -> None:
    """Has the kernel end this process before the end of the term.

    The time left is computed before it is handed to the kernel, and a pause
    between the two moves the timer past the end of the term. So what the
    kernel holds is read back, the timer first and the clock second: their sum
    is never earlier than the true expiry.

    Args:
      term_end_at: Monotonic time at which the term ends.

    Raises:
      TermExpiredError: The term is over, or the timer was set too late; it is
        not armed then.
    """
    left_s = term_end_at - self._clock() - MARGIN_S
    if left_s <= 0:
      raise TermExpiredError('the term is over')
    signal.setitimer(signal.ITIMER_REAL, left_s)
    timer_s, _ = signal.getitimer(signal.ITIMER_REAL)
    if timer_s <= 0 or timer_s + self._clock() > term_end_at:
      self.disarm()
      raise TermExpiredError('the timer was set too late')

  def disarm(self) -> None:
    """Stops the timer; no byte of an order is sent until it is armed again."""
    signal.setitimer(signal.ITIMER_REAL, 0)
