"""Admission by rank, reserve and fair share.

Urgent ranks are served first, except that a rank whose fraction of the fleet's
usage is below its reserve precedes them. Within a rank, the next tenant is the
one with the lowest ratio of usage to share, counted over the whole fleet (see
`fleet_usage.py`). A request is refused on arrival if its predicted wait is too
long. It is then given a retry slot (see `retry_slots.py`); a request that
returns at that time is not refused again for its wait.
"""

import collections
import heapq
import itertools
import math
import random

from mulberrypick.core import class_queue
from mulberrypick.core import errors
from mulberrypick.core import fleet_usage
from mulberrypick.core import partition
from mulberrypick.core import rank_usage
from mulberrypick.core import records
from mulberrypick.core import retry_slots
from mulberrypick.core import waiting as waiting_base

# Fraction of the first-token target that the wait may use.
MAX_WAIT_FRACTION = 0.45
# A wait below this fraction of the first-token target is never too long.
MIN_WAIT_LIMIT_FRACTION = 0.25
# A queued request is refused after this many times its wait limit.
EXPIRY_WAIT_FACTOR = 5.0
# Factor for predicted run times before they are compared with the deadline.
# Predictions are uncertain, so only requests that are clearly late are refused.
RUN_TIME_FACTOR = 0.7
# Limits the measured rate at which a queue drains, in engine seconds per second
# for each of its engines.
MAX_RATE_PER_ENGINE = 1.3
# Fraction of a tenant's rate of service that is assigned to retries of refused
# requests.
RETRY_SLOT_RATE_FRACTION = 0.7
MAX_RETRY_S = 300.0
# While refused requests of a tenant have assigned retry times ahead, requests
# without one may only wait for this fraction of their wait limit.
RESERVED_WAIT_LIMIT_FRACTION = 0.25
MAX_RETRY_JITTER_S = 0.3
MIN_RETRY_S = 1.2
MAX_TENANTS_WITH_SLOTS = 5000
MAX_QUEUED_REQUESTS = 5000
# Requests are not deferred (see `DEFERRED_FILL_FACTOR`) because of a peer's
# usage that is older than this.
MAX_DIGEST_AGE_S = 2.5
# Fraction of an endpoint's capacity that a request may fill, by its rank. A
# rank's reserve is the fraction of the fleet that the configuration keeps for
# it under overload. The preferred fraction is for urgent ranks and for ranks
# whose part of the fleet's recent usage is below their reserve; the normal one
# is for all others.
PREFERRED_FILL_FRACTION = 1.0
NORMAL_FILL_FRACTION = 0.85
# The fill fraction of a deferred request is multiplied by this, which leaves
# capacity for requests that wait at peers and should go first.
DEFERRED_FILL_FACTOR = 0.9
# A request is deferred if its tenant's ratio of usage to share is more than
# this many times the lowest ratio of a tenant that waits at a peer with a
# request of the same rank. A request with the normal fill fraction is also
# deferred while an urgent request waits at a peer.
MIN_DEFER_RATIO = 1.5


class RankedFairAdmission(waiting_base.Admission):
  """Orders requests by rank and share; refuses those that would wait long."""

  def __init__(self, seed: int = 1):
    self._rng = random.Random(seed)
    self._config = records.EMPTY_CONFIG
    self._usage = fleet_usage.FleetUsage()
    self._ranks = rank_usage.RankUsage(self._usage)
    self._queue_by_name: dict[str, class_queue.ModelQueue] = {}
    self._position_by_request: dict[str, class_queue.QueuePosition] = {}
    self._expiry_heap: list[tuple[float, int, str]] = []
    self._expiry_at_by_request: dict[str, float] = {}
    self._tiebreaker = itertools.count()
    self._last_slot_at_by_position: collections.OrderedDict[
        class_queue.QueuePosition, float
    ] = collections.OrderedDict()
    self._retry_slots = retry_slots.RetrySlots()

  def configure(self, config):
    """Sets the configuration; see `Admission.configure`."""
    self._config = self._ranks.config = config

  def set_capacity(self, queue, engines):
    """Sets the number of engines; see `Admission.set_capacity`."""
    self._model_queue(queue).rate.set_prior(
        engines, engines * MAX_RATE_PER_ENGINE
    )

  def update_peer(self, peer, digest, now):
    """Updates the usage of a peer; see `Admission.update_peer`."""
    self._usage.update_peer(peer, digest, now)
    self._retry_slots.update_peer(digest.retry_delay_by_key, now)

  def digest(self, now):
    """Returns the usage to send to peers; see `Admission.digest`."""
    min_usage_by_rank: dict[str, float] = {}
    for queue in self._queue_by_name.values():
      for key, rank_queue in queue.queue_by_class.items():
        tenant = rank_queue.next_tenant()
        if tenant is None:
          continue
        min_usage = min_usage_by_rank.get(key.rank, math.inf)
        min_usage_by_rank[key.rank] = min(min_usage, rank_queue.key(tenant))
    return self._usage.digest(
        min_usage_by_rank, self._retry_slots.take_unsent(now), now
    )

  def offer(self, queue, waiting, now):
    """Queues a request or returns a refusal; see `Admission.offer`."""
    request = waiting.request
    if request.request_id in self._position_by_request:
      self.withdraw(request.request_id)
    key = retry_slots.retry_slot_key(request.tenant, waiting.fingerprint)
    has_retry_slot = self._retry_slots.redeem(key, now)
    if not waiting.is_retry:
      error = self._find_refusal(queue, waiting, has_retry_slot, now)
      if error is not None:
        return error
    model_queue = self._model_queue(queue)
    if not model_queue.count():
      model_queue.rate.start_busy(now)
    position = _queue_position(queue, waiting)
    rank_queue = self._rank_queue(position)
    if not rank_queue.count:
      rank_queue.rate.start_busy(now)
    rank_queue.add(waiting, self._ranks.share(request.tenant), waiting.is_retry)
    tenant_queue = rank_queue.queue_by_tenant[request.tenant]
    if len(tenant_queue.waiting_by_request) == 1:
      tenant_queue.rate.start_busy(now)
    self._position_by_request[request.request_id] = position
    self._schedule_expiry(waiting, now)
    return None

  def heads(self, queue, now):
    """Returns the first request of each class; see `Admission.heads`."""
    model_queue = self._queue_by_name.get(queue)
    if model_queue is None:
      return []
    ordered = []
    for key, rank_queue in model_queue.queue_by_class.items():
      tenant = rank_queue.next_tenant()
      if tenant is None:
        continue
      queued = rank_queue.queue_by_tenant[tenant].waiting_by_request
      order = (self._ranks.order(key.rank), rank_queue.key(tenant), key.is_long)
      ordered.append((order, next(iter(queued.values()))))
    ordered.sort(key=lambda item: item[0])
    return [waiting for _, waiting in ordered]

  def take(self, request_id, now):
    """Removes a request that is about to start; see `Admission.take`."""
    position = self._position_by_request[request_id]
    rank_queue = self._rank_queue(position)
    tenant_queue = rank_queue.queue_by_tenant[position.tenant]
    cost_s = tenant_queue.waiting_by_request[request_id].cost.engine_s
    tenant_queue.rate.record_drained(cost_s, now)
    rank_queue.rate.record_drained(cost_s, now)
    self.withdraw(request_id)
    self._usage.charge(position.tenant, position.key.rank, cost_s, now)
    model_queue = self._queue_by_name[position.queue]
    model_queue.rate.record_drained(cost_s, now)
    if not model_queue.count():
      model_queue.rate.end_busy(now)

  def demand(self, queue, now):
    """Returns the demand on the whole fleet; see `Admission.demand`."""
    urgent, other, reserve = 0.0, 0.0, 0.0
    for rank in self._config.rank_by_name.values():
      used = self._usage.rank_usage_rate(rank.name, now)
      if rank.is_urgent:
        urgent += used
        continue
      other += used
      reserve += rank.reserve
    return partition.Demand(urgent, other, reserve)

  def own_fraction(self):
    """Returns this host's fraction; see `Admission.own_fraction`."""
    return self._usage.own_fraction()

  def fill_fraction(self, queue, waiting, now):
    """Returns the load limit of endpoints; see `Admission.fill_fraction`."""
    rank = self._config.rank_by_name.get(waiting.request.rank)
    if rank is None:
      return NORMAL_FILL_FRACTION
    if rank.is_urgent or self._ranks.is_below_reserve(rank.name):
      fill_fraction = PREFERRED_FILL_FRACTION
    else:
      fill_fraction = NORMAL_FILL_FRACTION
      if self._ranks.has_urgent_waiting_at_peers(now, MAX_DIGEST_AGE_S):
        return fill_fraction * DEFERRED_FILL_FACTOR
    min_usage = self._usage.min_waiting_usage(rank.name, now, MAX_DIGEST_AGE_S)
    own = self._rank_queue(_queue_position(queue, waiting)).key(
        waiting.request.tenant
    )
    if own > min_usage * MIN_DEFER_RATIO:
      return fill_fraction * DEFERRED_FILL_FACTOR
    return fill_fraction

  def withdraw(self, request_id):
    """Removes a request; see `Admission.withdraw`."""
    position = self._position_by_request.pop(request_id, None)
    if position is None:
      return None
    self._expiry_at_by_request.pop(request_id, None)
    return self._rank_queue(position).remove(position.tenant, request_id)

  def expire(self, now):
    """Removes requests that would be too late; see `Admission.expire`."""
    refusals = []
    while self._expiry_heap and self._expiry_heap[0][0] <= now:
      expiry_at, _, request_id = heapq.heappop(self._expiry_heap)
      if self._expiry_at_by_request.get(request_id) != expiry_at:
        continue
      queue = self._position_by_request[request_id].queue
      waiting = self.withdraw(request_id)
      model_queue = self._queue_by_name[queue]
      if not model_queue.count():
        model_queue.rate.end_busy(now)
      retry_s = self._assign_retry_slot(queue, waiting, 0.0, now)
      error = errors.OverloadedError(
          'the request waited longer than predicted', retry_after_s=retry_s
      )
      refusals.append(waiting_base.Refusal(waiting, error))
    return refusals

  def queues(self):
    """Returns the queues that hold requests."""
    names = []
    for name, queue in self._queue_by_name.items():
      if queue.count():
        names.append(name)
    return names

  def waiting_by_rank(self):
    """Counts the waiting requests of each rank."""
    counts = collections.Counter()
    for queue in self._queue_by_name.values():
      for key, rank_queue in queue.queue_by_class.items():
        if rank_queue.count:
          counts[key.rank] += rank_queue.count
    return dict(counts)

  def predict_wait(
      self, queue: str, waiting: waiting_base.WaitingRequest
  ) -> float:
    """Returns the predicted wait of an arriving request, in seconds."""
    request = waiting.request
    rank_queue = self._rank_queue(_queue_position(queue, waiting))
    weight = self._ranks.share(request.tenant)
    key = self._usage.tenant_usage(request.tenant) / weight
    own = rank_queue.queue_by_tenant.get(request.tenant)
    if own is None and key <= rank_queue.min_usage_ratio():
      return 0.0
    rate = self._ranks.rate(self._model_queue(queue), request.rank)
    rank_queue.rate.set_prior(rate, rate)
    own_s = waiting.cost.engine_s
    own_rate = rate * weight / max(weight, rank_queue.weight)
    if own is not None:
      own.rate.set_prior(own_rate, rate)
      own_s += own.cost_s
      own_rate = own.rate.per_s()
    return min(rank_queue.cost_s / rank_queue.rate.per_s(), own_s / own_rate)

  def _find_refusal(self, queue, waiting, has_retry_slot, now):
    request = waiting.request
    if self._model_queue(queue).count() >= MAX_QUEUED_REQUESTS:
      retry_s = self._assign_retry_slot(queue, waiting, 0.0, now)
      return errors.OverloadedError('the queue is full', retry_after_s=retry_s)
    left_s = request.deadline_at - now
    run_s = waiting.cost.run_s * RUN_TIME_FACTOR
    if run_s > left_s:
      return errors.DeadlineError(
          f'the predicted run time of {run_s:.1f} s exceeds the'
          f' {left_s:.1f} s left until the deadline'
      )
    if has_retry_slot:
      return None
    wait_s = self.predict_wait(queue, waiting)
    limit_s = self._wait_limit(waiting)
    if (
        self._last_slot_at_by_position.get(_queue_position(queue, waiting), 0.0)
        > now
    ):
      limit_s *= RESERVED_WAIT_LIMIT_FRACTION
    if wait_s <= min(limit_s, left_s - run_s):
      return None
    excess_s = wait_s - min(limit_s, left_s - run_s)
    retry_s = self._assign_retry_slot(queue, waiting, excess_s, now)
    message = (
        f'the predicted wait of {wait_s:.1f} s exceeds the limit of'
        f' {limit_s:.1f} s'
    )
    if wait_s > limit_s:
      return errors.OverloadedError(message, retry_after_s=retry_s)
    message = (
        f'the predicted wait of {wait_s:.1f} s leaves too little time to run'
        ' before the deadline'
    )
    return errors.DeadlineError(message, retry_after_s=retry_s)

  def _wait_limit(self, waiting: waiting_base.WaitingRequest) -> float:
    rank = self._config.rank_by_name.get(waiting.request.rank)
    target_s = rank.first_token_s if rank is not None else 1.0
    limit_s = MAX_WAIT_FRACTION * target_s - waiting.cost.prefill_s
    return max(MIN_WAIT_LIMIT_FRACTION * target_s, limit_s)

  def _schedule_expiry(
      self, waiting: waiting_base.WaitingRequest, now: float
  ) -> None:
    request = waiting.request
    expiry_at = request.deadline_at - waiting.cost.run_s * RUN_TIME_FACTOR
    if not waiting.is_retry:
      expiry_at = min(
          expiry_at, now + EXPIRY_WAIT_FACTOR * self._wait_limit(waiting)
      )
    expiry_at = max(expiry_at, now)
    self._expiry_at_by_request[request.request_id] = expiry_at
    entry = (expiry_at, next(self._tiebreaker), request.request_id)
    heapq.heappush(self._expiry_heap, entry)

  def _assign_retry_slot(
      self, queue, waiting, excess_s: float, now: float
  ) -> float:
    """Assigns a retry time to a refused request; returns the seconds to it."""
    request = waiting.request
    position = _queue_position(queue, waiting)
    rate = self._tenant_rate(position) * RETRY_SLOT_RATE_FRACTION
    start_at = max(
        now + excess_s, self._last_slot_at_by_position.get(position, 0.0)
    )
    slot_at = start_at + waiting.cost.engine_s / rate
    if slot_at - now > MAX_RETRY_S:
      return MAX_RETRY_S * self._rng.uniform(0.75, 1.25)
    self._last_slot_at_by_position[position] = slot_at
    self._last_slot_at_by_position.move_to_end(position)
    if len(self._last_slot_at_by_position) > MAX_TENANTS_WITH_SLOTS:
      self._last_slot_at_by_position.popitem(last=False)
    retry_s = max(slot_at - now, MIN_RETRY_S)
    key = retry_slots.retry_slot_key(request.tenant, waiting.fingerprint)
    self._retry_slots.assign(key, now + retry_s)
    # Jitter after the retry time allows for differences of clocks and network
    # delays.
    return retry_s + MAX_RETRY_JITTER_S * self._rng.random()

  def _tenant_rate(self, position: class_queue.QueuePosition) -> float:
    rank_queue = self._rank_queue(position)
    own = rank_queue.queue_by_tenant.get(position.tenant)
    if own is not None:
      return own.rate.per_s()
    weight = self._ranks.share(position.tenant)
    rate = self._ranks.rate(
        self._model_queue(position.queue), position.key.rank
    )
    return rate * weight / max(weight, rank_queue.weight + weight)

  def _model_queue(self, name: str) -> class_queue.ModelQueue:
    queue = self._queue_by_name.get(name)
    if queue is None:
      queue = self._queue_by_name[name] = class_queue.ModelQueue()
    return queue

  def _rank_queue(
      self, position: class_queue.QueuePosition
  ) -> class_queue.ClassQueue:
    queue_by_class = self._model_queue(position.queue).queue_by_class
    rank_queue = queue_by_class.get(position.key)
    if rank_queue is None:
      rank_queue = queue_by_class[position.key] = class_queue.ClassQueue(
          self._usage
      )
    return rank_queue


def _queue_position(
    queue: str, waiting: waiting_base.WaitingRequest
) -> class_queue.QueuePosition:
  """Returns the place of a request in the queues."""
  key = class_queue.QueueClass(waiting.request.rank, waiting.cost.is_long)
  return class_queue.QueuePosition(queue, key, waiting.request.tenant)
