"""Which request goes next, and which is told at once that it won't be served.

Requests wait here and not in the engines' queues, because an engine knows
neither tenants nor reserves. First come, first served stays as the baseline.
"""

import abc
import collections
from typing import NamedTuple

from mulberrypick.core import errors
from mulberrypick.core import records


class Waiting(NamedTuple):
  """A request that waits for an endpoint.

  Attributes:
    request: The request.
    next_index: First token wanted; above 0 for a resume.
    failed_endpoints: Endpoints that it is kept away from.
    cost_s: Predicted engine seconds.
    queued_at: When it came to wait.
    is_again: Whether it ran before; such a request is never refused here for
      want of room.
    fingerprint: Hash of its content.
  """

  request: records.InferenceRequest
  next_index: int
  failed_endpoints: tuple[str, ...]
  cost_s: float
  queued_at: float
  is_again: bool
  fingerprint: int


class Refusal(NamedTuple):
  """A waiting request that gets its final answer."""

  waiting: Waiting
  error: errors.RequestError


class Admission(abc.ABC):
  """The waiting requests of one entry host, in order of service."""

  def configure(self, config: records.Config) -> None:  # noqa: B027
    """Takes in a newer configuration."""

  def set_capacity(self, queue: str, engines: float) -> None:  # noqa: B027
    """Tells how many engines' worth of a queue's endpoints this host has."""

  def see_peer_use(  # noqa: B027
      self, used_by_tenant: dict[str, float]
  ) -> None:
    """Charges tenants with engine seconds that they used on other hosts."""

  @abc.abstractmethod
  def offer(
      self, queue: str, waiting: Waiting, now: float
  ) -> errors.RequestError | None:
    """Takes a request in, or returns why it is refused."""

  @abc.abstractmethod
  def peek(self, queue: str, now: float) -> Waiting | None:
    """Returns the request of a queue that goes next, or None."""

  @abc.abstractmethod
  def take(self, queue: str, now: float) -> Waiting | None:
    """Removes and returns the request that `peek` returned."""

  @abc.abstractmethod
  def withdraw(self, request_id: str) -> Waiting | None:
    """Removes a request whose caller left."""

  @abc.abstractmethod
  def expire(self, now: float) -> list[Refusal]:
    """Removes requests that can't be served in time any more."""

  @abc.abstractmethod
  def queues(self) -> list[str]:
    """Returns the names of the queues that hold requests."""

  @abc.abstractmethod
  def waiting_by_rank(self) -> dict[str, int]:
    """Counts the waiting requests of each rank."""


class FirstComeFirstServed(Admission):
  """One queue for each model, in order of arrival: the baseline."""

  def __init__(self, queue_limit: int = 1000):
    self._queue_limit = queue_limit
    self._waiting_by_queue: dict[str, collections.OrderedDict] = {}
    self._queue_by_request: dict[str, str] = {}

  def offer(self, queue, waiting, now):
    """Takes a request in while there is room; see `Admission.offer`."""
    del now
    waitings = self._waiting_by_queue.setdefault(
        queue, collections.OrderedDict()
    )
    if len(waitings) >= self._queue_limit and not waiting.is_again:
      return errors.OverloadedError('the queue is full', retry_after_s=1.0)
    waitings[waiting.request.request_id] = waiting
    if waiting.is_again:
      waitings.move_to_end(waiting.request.request_id, last=False)
    self._queue_by_request[waiting.request.request_id] = queue
    return None

  def peek(self, queue, now):
    """Returns the oldest request; see `Admission.peek`."""
    del now
    waitings = self._waiting_by_queue.get(queue)
    if not waitings:
      return None
    return next(iter(waitings.values()))

  def take(self, queue, now):
    """Removes the oldest request; see `Admission.take`."""
    waiting = self.peek(queue, now)
    if waiting is None:
      return None
    return self.withdraw(waiting.request.request_id)

  def withdraw(self, request_id):
    """Removes a request; see `Admission.withdraw`."""
    queue = self._queue_by_request.pop(request_id, None)
    if queue is None:
      return None
    waitings = self._waiting_by_queue[queue]
    waiting = waitings.pop(request_id)
    if not waitings:
      del self._waiting_by_queue[queue]
    return waiting

  def expire(self, now):
    """Removes requests past their deadline; see `Admission.expire`."""
    late = []
    for waitings in self._waiting_by_queue.values():
      for waiting in waitings.values():
        if waiting.request.deadline_at <= now:
          late.append(waiting)
    refusals = []
    for waiting in late:
      self.withdraw(waiting.request.request_id)
      error = errors.DeadlineError('the deadline passed while it waited')
      refusals.append(Refusal(waiting, error))
    return refusals

  def queues(self):
    """Returns the queues that hold requests."""
    return list(self._waiting_by_queue)

  def waiting_by_rank(self):
    """Counts the waiting requests of each rank."""
    counts = collections.Counter()
    for waitings in self._waiting_by_queue.values():
      for waiting in waitings.values():
        counts[waiting.request.rank] += 1
    return dict(counts)


ADMISSION_BY_NAME = {'first-come': FirstComeFirstServed}


def make_admission(name: str) -> Admission:
  """Makes an admission by the name that the settings use."""
  return ADMISSION_BY_NAME[name]()
