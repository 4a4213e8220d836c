"""Queues of waiting requests by class and tenant, in fair-share order.

The next tenant is the one with the lowest usage in proportion to its weight,
over the whole fleet. The heap holds the usage at the time a tenant was pushed.
Usage only grows, so a stale entry is too low and is pushed again when it
reaches the top.
"""

import collections
import heapq
import itertools
import math
from typing import NamedTuple

from mulberrypick.core import drain_rate
from mulberrypick.core import fleet_usage
from mulberrypick.core import waiting as waiting_base


class QueueClass(NamedTuple):
  """Key of a class: requests of one rank with long, or short, prompts."""

  rank: str
  is_long: bool


class QueuePosition(NamedTuple):
  """Position of a waiting request in the queues."""

  queue: str
  key: QueueClass
  tenant: str


class TenantQueue:
  """The waiting requests of one tenant in one class."""

  __slots__ = ('waiting_by_request', 'cost_s', 'weight', 'rate')

  def __init__(self, weight: float):
    self.rate = drain_rate.DrainRate()
    self.waiting_by_request = collections.OrderedDict()
    self.cost_s = 0.0
    self.weight = weight


class ClassQueue:
  """The waiting requests of one class, by tenant.

  Attributes:
    queue_by_tenant: Queues of the tenants that have waiting requests.
    rate: Rate at which requests leave the class for the engines.
    cost_s: Engine seconds of all waiting requests.
    weight: Sum of the weights of the waiting tenants.
    count: Number of waiting requests.
  """

  def __init__(self, use: fleet_usage.FleetUsage):
    self._use = use
    self._heap: list[tuple[float, int, str]] = []
    self._epoch = use.epoch
    self._ticket = itertools.count()
    self.queue_by_tenant: dict[str, TenantQueue] = {}
    self.rate = drain_rate.DrainRate()
    self.cost_s = 0.0
    self.weight = 0.0
    self.count = 0

  def add(
      self, waiting: waiting_base.WaitingRequest, weight: float, is_first: bool
  ) -> None:
    """Adds a request at the end, or at the front, of its tenant's queue."""
    tenant = waiting.request.tenant
    line = self.queue_by_tenant.get(tenant)
    if line is None:
      line = self.queue_by_tenant[tenant] = TenantQueue(weight)
      self.weight += weight
      self._push(tenant)
    line.waiting_by_request[waiting.request.request_id] = waiting
    if is_first:
      line.waiting_by_request.move_to_end(
          waiting.request.request_id, last=False
      )
    line.cost_s += waiting.cost.engine_s
    self.cost_s += waiting.cost.engine_s
    self.count += 1

  def remove(self, tenant: str, request_id: str) -> waiting_base.WaitingRequest:
    """Removes a request and returns it."""
    line = self.queue_by_tenant[tenant]
    waiting = line.waiting_by_request.pop(request_id)
    line.cost_s -= waiting.cost.engine_s
    self.cost_s -= waiting.cost.engine_s
    self.count -= 1
    if not line.waiting_by_request:
      # `next_tenant` removes its heap entry when that reaches the top.
      del self.queue_by_tenant[tenant]
      self.weight -= line.weight
    return waiting

  def next_tenant(self) -> str | None:
    """Returns the waiting tenant with the lowest usage ratio, None for none."""
    if self._epoch != self._use.epoch:
      self._rebuild()
    while self._heap:
      key, _, tenant = self._heap[0]
      line = self.queue_by_tenant.get(tenant)
      if line is None:
        heapq.heappop(self._heap)
        continue
      current = self.key(tenant)
      if current <= key * (1.0 + 1e-9):
        return tenant
      heapq.heapreplace(self._heap, (current, next(self._ticket), tenant))
    return None

  def min_usage_ratio(self) -> float:
    """Returns the lowest usage ratio of a waiting tenant, infinity for none."""
    tenant = self.next_tenant()
    return math.inf if tenant is None else self.key(tenant)

  def key(self, tenant: str) -> float:
    """Returns the usage of a waiting tenant divided by its weight."""
    weight = self.queue_by_tenant[tenant].weight
    return self._use.tenant_usage(tenant) / weight

  def _push(self, tenant: str) -> None:
    entry = (self.key(tenant), next(self._ticket), tenant)
    heapq.heappush(self._heap, entry)

  def _rebuild(self) -> None:
    self._epoch = self._use.epoch
    self._heap = []
    for tenant in self.queue_by_tenant:
      self._push(tenant)


class ModelQueue:
  """The waiting requests of one model, by class."""

  def __init__(self):
    self.queue_by_class: dict[QueueClass, ClassQueue] = {}
    self.rate = drain_rate.DrainRate()

  def count(self) -> int:
    """Returns the number of waiting requests."""
    return sum(line.count for line in self.queue_by_class.values())

  def count_of_rank(self, rank: str) -> int:
    """Returns the number of waiting requests of a rank."""
    count = 0
    for key, line in self.queue_by_class.items():
      if key.rank == rank:
        count += line.count
    return count
