"""The steps of a claimed call, and who is told of them.

Tests end the process at a step; the program itself observes nothing.
"""

import abc

STEP_BEFORE_CLAIM = 'before_claim'
STEP_CLAIMED = 'claimed'
STEP_BEFORE_SEND = 'before_send'
STEP_ANSWERED = 'answered'
STEP_RECORDED = 'recorded'


class StepObserver(abc.ABC):
  """Is told of each step of a call; tests end the process there."""

  @abc.abstractmethod
  def observe(self, step: str) -> None:
    """Takes note that a call reached a step, on the thread of the call."""


class NoObserver(StepObserver):
  """Observes nothing."""

  def observe(self, step: str) -> None:
    """Does nothing."""
