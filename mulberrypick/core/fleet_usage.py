"""Recent usage of the whole fleet by each tenant and rank.

Every entry host adds the cost of the requests it starts to decaying sums, and
sends the sums to its peers once a second, so that shares hold over the whole
fleet and not per host. The sums use forward decay: a new charge is multiplied
by a factor that grows with time, so older charges lose weight without being
updated. The usage of a peer that is gone or cut off decays in the same way.
"""

import math
from typing import NamedTuple

# Time after which the weight of a charge has fallen to 1/e.
DECAY_S = 10.0
# The growing factor of new charges is reset to 1 at this interval, before
# precision is lost.
REBASE_S = 300.0
# Sums below this many engine seconds are dropped.
MIN_USAGE_S = 0.005
MAX_DIGEST_TENANTS = 128


class UsageDigest(NamedTuple):
  """Usage of one host, as sent to its peers; in engine seconds.

  Attributes:
    used_by_tenant: Decayed usage of each tenant on this host.
    used_by_rank: Decayed usage of each rank on this host.
    waiting_by_rank: For each rank with queued requests on this host, the lowest
      ratio of usage to share among the waiting tenants.
    retry_delay_by_key: For refused requests that were not yet sent to the
      peers, seconds until they may retry, by `retry_slots.retry_slot_key`.
  """

  used_by_tenant: dict[str, float]
  used_by_rank: dict[str, float]
  waiting_by_rank: dict[str, float]
  retry_delay_by_key: dict[int, float]


class _DecayedSums:
  """Decayed sums by name: of this host, of each peer, and in total."""

  def __init__(self):
    self.own_by_name: dict[str, float] = {}
    self.usage_by_peer: dict[str, dict[str, float]] = {}
    self.total_by_name: dict[str, float] = {}

  def charge(self, name: str, amount: float) -> None:
    self.own_by_name[name] = self.own_by_name.get(name, 0.0) + amount
    self.total_by_name[name] = self.total_by_name.get(name, 0.0) + amount

  def update_peer(self, peer: str, amount_by_name: dict[str, float]) -> None:
    old_by_name = self.usage_by_peer.get(peer, {})
    for name, amount in old_by_name.items():
      if name not in amount_by_name:
        # Left out of the peer's bounded digest; the old value keeps decaying.
        amount_by_name[name] = amount
    for name, amount in amount_by_name.items():
      change = amount - old_by_name.get(name, 0.0)
      total = self.total_by_name.get(name, 0.0) + change
      self.total_by_name[name] = max(0.0, total)
    self.usage_by_peer[peer] = amount_by_name

  def rescale(self, factor: float) -> None:
    self.own_by_name = _rescaled(self.own_by_name, factor)
    self.total_by_name = _rescaled(self.total_by_name, factor)
    for peer in list(self.usage_by_peer):
      rescaled = _rescaled(self.usage_by_peer[peer], factor)
      self.usage_by_peer[peer] = rescaled
      if not rescaled:
        del self.usage_by_peer[peer]


def _rescaled(by_name: dict[str, float], factor: float) -> dict[str, float]:
  kept = {}
  for name, amount in by_name.items():
    if amount * factor >= MIN_USAGE_S:
      kept[name] = amount * factor
  return kept


class FleetUsage:
  """Decayed usage of the fleet.

  Usage amounts have a scale that changes with time, so they are only meaningful
  in comparison with each other.

  Attributes:
    epoch: Increases when all amounts are rescaled; amounts stored elsewhere are
      then invalid.
  """

  def __init__(self):
    self.epoch = 0
    self._base_at: float | None = None
    self._by_tenant = _DecayedSums()
    self._by_rank = _DecayedSums()
    self._waiting_by_rank_by_peer: dict[str, dict[str, float]] = {}
    self._digest_at_by_peer: dict[str, float] = {}

  def charge(self, tenant: str, rank: str, used_s: float, now: float) -> None:
    """Adds the engine seconds of a request that starts on this host."""
    amount = used_s * self._scale_factor(now)
    self._by_tenant.charge(tenant, amount)
    self._by_rank.charge(rank, amount)

  def update_peer(self, peer: str, digest: UsageDigest, now: float) -> None:
    """Replaces the usage of a peer."""
    factor = self._scale_factor(now)
    self._by_tenant.update_peer(peer, _scaled(digest.used_by_tenant, factor))
    self._by_rank.update_peer(peer, _scaled(digest.used_by_rank, factor))
    waiting = _scaled(digest.waiting_by_rank, factor)
    self._waiting_by_rank_by_peer[peer] = waiting
    self._digest_at_by_peer[peer] = now

  def tenant_usage(self, tenant: str) -> float:
    """Returns a tenant's fleet-wide usage, at the current scale."""
    return self._by_tenant.total_by_name.get(tenant, 0.0)

  def rank_usage_fraction(self, rank: str) -> float:
    """Returns the fraction of the fleet's recent usage that a rank had."""
    total = sum(self._by_rank.total_by_name.values())
    if total <= 0.0:
      return 0.0
    return self._by_rank.total_by_name.get(rank, 0.0) / total

  def own_fraction(self) -> float:
    """Returns the fraction of the fleet's recent usage through this host."""
    total = sum(self._by_rank.total_by_name.values())
    if total <= 0.0:
      return 0.0
    return min(1.0, sum(self._by_rank.own_by_name.values()) / total)

  def rank_usage_rate(self, rank: str, now: float) -> float:
    """Returns the recent usage of a rank in engine seconds per second."""
    amount = self._by_rank.total_by_name.get(rank, 0.0)
    return amount / self._scale_factor(now) / DECAY_S

  def min_waiting_usage(self, rank: str, now: float, max_age_s: float) -> float:
    """Returns the lowest usage-to-share ratio of a tenant waiting at a peer.

    Args:
      rank: Name of the rank; only its requests count.
      now: Monotonic time.
      max_age_s: Peers whose last `UsageDigest` is older than this are ignored.

    Returns:
      The ratio, scaled like the result of `tenant_usage`, or infinity if no
      peer has a queued request of the rank.
    """
    minimum = math.inf
    for peer, waiting_by_rank in self._waiting_by_rank_by_peer.items():
      if now - self._digest_at_by_peer[peer] > max_age_s:
        continue
      minimum = min(minimum, waiting_by_rank.get(rank, math.inf))
    return minimum

  def digest(
      self,
      waiting_amount_by_rank: dict[str, float],
      retry_delay_by_key: dict[int, float],
      now: float,
  ) -> UsageDigest:
    """Returns the usage digest for the peers."""
    factor = self._scale_factor(now)
    self._drop_silent_peers(now)
    own = self._by_tenant.own_by_name
    names = sorted(own, key=own.get, reverse=True)[:MAX_DIGEST_TENANTS]
    used_by_tenant = {}
    for name in names:
      used_s = round(own[name] / factor, 3)
      if used_s >= MIN_USAGE_S:
        used_by_tenant[name] = used_s
    return UsageDigest(
        used_by_tenant,
        _scaled(self._by_rank.own_by_name, 1.0 / factor),
        _scaled(waiting_amount_by_rank, 1.0 / factor),
        retry_delay_by_key,
    )

  def _drop_silent_peers(self, now: float) -> None:
    for peer in list(self._digest_at_by_peer):
      if now - self._digest_at_by_peer[peer] > REBASE_S:
        del self._digest_at_by_peer[peer]
        del self._waiting_by_rank_by_peer[peer]

  def _scale_factor(self, now: float) -> float:
    if self._base_at is None:
      self._base_at = now
    if now - self._base_at > REBASE_S:
      shrink = math.exp((self._base_at - now) / DECAY_S)
      self._by_tenant.rescale(shrink)
      self._by_rank.rescale(shrink)
      self._waiting_by_rank_by_peer = {
          peer: _scaled(waiting, shrink)
          for peer, waiting in self._waiting_by_rank_by_peer.items()
      }
      self._base_at = now
      self.epoch += 1
    return math.exp((now - self._base_at) / DECAY_S)


def _scaled(by_name: dict[str, float], factor: float) -> dict[str, float]:
  return {name: amount * factor for name, amount in by_name.items()}
