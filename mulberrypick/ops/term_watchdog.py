"""Kernel timer that kills a process before it sends an order after its term.

The term is the period for which a controller holds the lease of its zone. A
process can be paused between any check of its term and the system call that
sends an order. The process itself cannot detect this in time, so the kernel
enforces it: the timer is armed for the end of the term before the order is
sent, SIGALRM has its default action, and a process that resumes with a pending
SIGALRM is killed before it runs another instruction in user space.

This holds only for the thread that receives the signal; other threads could
still run meanwhile. SIGALRM is therefore blocked in every thread except the one
that sends orders: call `block_sigalrm` in the main thread before it starts
other threads, then create `TermWatchdog` in the sending thread.

The timer is armed only while an order is sent. A controller that is paused at
any other time, or loses its connection to the platform, only loses its term.
"""

import signal
import time
from collections.abc import Callable

from mulberrypick.core import errors

# The timer fires this long before the end of the term, because time passes
# between reading the clock and arming the timer.
MARGIN_S = 0.05


class TermExpiredError(errors.MulberrypickError):
  """Not enough of the term is left to send an order."""


def block_sigalrm() -> None:
  """Blocks SIGALRM in this thread and in threads that it starts later."""
  signal.signal(signal.SIGALRM, signal.SIG_DFL)
  signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGALRM})


class TermWatchdog:
  """Timer that kills the process if a term ends while an order is sent.

  Create and use it in the only thread that sends orders.
  """

  def __init__(self, clock: Callable[[], float] = time.monotonic):
    """Unblocks SIGALRM for this thread.

    Args:
      clock: The monotonic clock; tests use it to simulate pauses of the
        process.
    """
    self._clock = clock
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})

  def arm(self, term_end_at: float) -> None:
    """Arms the timer to kill this process before the end of the term.

    A pause between computing the time left and setting the timer would move
    its expiry past the end of the term. The timer is therefore read back, and
    then the clock: their sum is never earlier than the true expiry.

    Args:
      term_end_at: Monotonic time at which the term ends.

    Raises:
      TermExpiredError: The term has ended, or the timer would expire after it;
        the timer is not armed.
    """
    left_s = term_end_at - self._clock() - MARGIN_S
    if left_s <= 0:
      raise TermExpiredError('the term has ended')
    signal.setitimer(signal.ITIMER_REAL, left_s)
    timer_s, _ = signal.getitimer(signal.ITIMER_REAL)
    if timer_s <= 0 or timer_s + self._clock() > term_end_at:
      self.disarm()
      raise TermExpiredError('the timer would expire after the end of the term')

  def disarm(self) -> None:
    """Stops the timer; arm it again before sending any byte of an order."""
    signal.setitimer(signal.ITIMER_REAL, 0)
