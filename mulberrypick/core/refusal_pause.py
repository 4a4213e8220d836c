"""When an endpoint that refused a request may be given one again.

Answers load pattern: many streams leave a silent engine, and the only other one
is full. Each stream that is sent there uses up a retry of the budget that they
need to go on at the first engine.
"""

# Time after a refusal in which an endpoint is not tried again (s). It doubles
# with each further refusal, as an endpoint that is full for long stays so.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
# Time after which a trial without an answer makes way for another one (s).
TRIAL_TIMEOUT_S = 1.0


class RefusalPause:
  """Lets one request at a time find out whether an endpoint still refuses."""

  def __init__(self):
    self._refusals = 0
    self._pause_until = float('-inf')
    self._trial_until = float('-inf')

  def record_refused(self, now: float) -> None:
    """Records a refusal; those of requests sent before it are the same one."""
    self._trial_until = float('-inf')
    if now < self._pause_until:
      return
    self._refusals += 1
    doublings = min(self._refusals - 1, 8)
    self._pause_until = now + min(MIN_PAUSE_S * 2**doublings, MAX_PAUSE_S)

  def record_accepted(self) -> None:
    """Records that the endpoint accepted a request."""
    self._refusals = 0
    self._pause_until = float('-inf')
    self._trial_until = float('-inf')

  def may_try(self, now: float) -> bool:
    """Returns whether a request may be sent there as far as is known."""
    return now >= max(self._pause_until, self._trial_until)

  def record_trial(self, now: float) -> None:
    """Records that a request is sent to find out."""
    if self._refusals:
      self._trial_until = now + TRIAL_TIMEOUT_S
