"""Admission policies, by the names used in the settings.

`FirstComeFirstServed` is a baseline for comparison; `ranked_fair.py` holds the
policy for production.
"""

import collections

from mulberrypick.core import errors
from mulberrypick.core import ranked_fair
from mulberrypick.core import waiting as waiting_base


class FirstComeFirstServed(waiting_base.Admission):
  """One first-in, first-out queue for each model; a baseline."""

  def __init__(self, queue_limit: int = 1000):
    self._queue_limit = queue_limit
    self._queued_by_queue: dict[str, collections.OrderedDict] = {}
    self._queue_by_request: dict[str, str] = {}

  def offer(self, queue, waiting, now):
    """Queues a request unless the queue is full; see `Admission.offer`."""
    del now
    queued = self._queued_by_queue.setdefault(queue, collections.OrderedDict())
    if len(queued) >= self._queue_limit and not waiting.is_retry:
      return errors.OverloadedError('the queue is full', retry_after_s=1.0)
    queued[waiting.request.request_id] = waiting
    if waiting.is_retry:
      queued.move_to_end(waiting.request.request_id, last=False)
    self._queue_by_request[waiting.request.request_id] = queue
    return None

  def heads(self, queue, now):
    """Returns the oldest request; see `Admission.heads`."""
    del now
    queued = self._queued_by_queue.get(queue)
    if not queued:
      return []
    return [next(iter(queued.values()))]

  def take(self, request_id, now):
    """Removes a request that is about to start; see `Admission.take`."""
    del now
    self.withdraw(request_id)

  def withdraw(self, request_id):
    """Removes a request; see `Admission.withdraw`."""
    queue = self._queue_by_request.pop(request_id, None)
    if queue is None:
      return None
    queued = self._queued_by_queue[queue]
    waiting = queued.pop(request_id)
    if not queued:
      del self._queued_by_queue[queue]
    return waiting

  def expire(self, now):
    """Removes requests past their deadline; see `Admission.expire`."""
    expired = []
    for queued in self._queued_by_queue.values():
      for waiting in queued.values():
        if waiting.request.deadline_at <= now:
          expired.append(waiting)
    refusals = []
    for waiting in expired:
      self.withdraw(waiting.request.request_id)
      error = errors.DeadlineError(
          'the deadline passed while the request was queued'
      )
      refusals.append(waiting_base.Refusal(waiting, error))
    return refusals

  def queues(self):
    """Returns the queues that hold requests."""
    return list(self._queued_by_queue)

  def waiting_by_rank(self):
    """Counts the waiting requests of each rank."""
    counts = collections.Counter()
    for queued in self._queued_by_queue.values():
      for waiting in queued.values():
        counts[waiting.request.rank] += 1
    return dict(counts)


ADMISSION_BY_NAME = {
    'first-come': FirstComeFirstServed,
    'ranked-fair': ranked_fair.RankedFairAdmission,
}


def make_admission(name: str) -> waiting_base.Admission:
  """Returns a new admission policy for a name used in the settings."""
  return ADMISSION_BY_NAME[name]()
