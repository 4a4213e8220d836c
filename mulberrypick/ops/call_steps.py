"""Steps of a call that needs a claim, and observers of these steps.

The steps are points between writing the claim, sending the call and recording
the answer. Tests use an observer to kill the process at a step. In production,
`NoObserver` is used.
"""

import abc

STEP_BEFORE_CLAIM = 'before_claim'
STEP_CLAIMED = 'claimed'
STEP_BEFORE_SEND = 'before_send'
STEP_ANSWERED = 'answered'
STEP_RECORDED = 'recorded'


class StepObserver(abc.ABC):
  """Observes the steps of a call; tests kill the process in `observe`."""

  @abc.abstractmethod
  def observe(self, step: str) -> None:
    """Called when a call reaches a step, on the thread of the call."""


class NoObserver(StepObserver):
  """Ignores all steps."""

  def observe(self, step: str) -> None:
    """Does nothing."""
