"""What ranks and tenants may use, compared with what they used lately."""

import math

from mulberrypick.core import class_queue
from mulberrypick.core import fleet_usage
from mulberrypick.core import records

# Share of a tenant that is not in the configuration.
MIN_SHARE = 0.001


class RankUsage:
  """Compares the usage of ranks with the configuration.

  Attributes:
    config: The configuration.
  """

  def __init__(self, usage: fleet_usage.FleetUsage):
    self.config = records.EMPTY_CONFIG
    self._usage = usage

  def order(self, name: str) -> int:
    """Returns the order of service of a rank.

    This is 0 for a rank below its reserve, 1 for an urgent one, else 2.
    """
    rank = self.config.rank_by_name.get(name)
    if rank is None:
      return 2
    if rank.is_urgent:
      return 1
    return 0 if self.is_below_reserve(name) else 2

  def is_below_reserve(self, name: str) -> bool:
    """Returns whether a rank got less of the fleet than its reserve."""
    rank = self.config.rank_by_name.get(name)
    return (
        rank is not None
        and self._usage.rank_usage_fraction(name) < rank.reserve
    )

  def has_urgent_waiting_at_peers(self, now: float, max_age_s: float) -> bool:
    """Returns whether an urgent request waits at another host.

    Args:
      now: Monotonic time.
      max_age_s: Age from which on what another host told does not count.
    """
    for rank in self.config.rank_by_name.values():
      if not rank.is_urgent:
        continue
      if self._usage.min_waiting_usage(rank.name, now, max_age_s) < math.inf:
        return True
    return False

  def rate(self, model_queue: class_queue.ModelQueue, name: str) -> float:
    """Returns the engine seconds per second for a rank on this host."""
    rank = self.config.rank_by_name.get(name)
    fraction = 1.0
    for other in self.config.rank_by_name.values():
      if other.name == name:
        continue
      if rank is not None and rank.is_urgent:
        if model_queue.count_of_rank(other.name):
          fraction -= min(
              other.reserve, self._usage.rank_usage_fraction(other.name) + 0.05
          )
      elif other.is_urgent:
        fraction -= self._usage.rank_usage_fraction(other.name)
    reserve = rank.reserve if rank is not None else 0.0
    return model_queue.rate.per_s() * max(fraction, reserve, 0.05)

  def share(self, tenant: str) -> float:
    """Returns the share of a tenant."""
    known = self.config.tenant_by_name.get(tenant)
    if known is None:
      return MIN_SHARE
    return max(MIN_SHARE, known.share)
