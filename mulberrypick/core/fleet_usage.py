"""What each tenant and each rank used of the whole fleet, lately.

Every entry host charges what it starts and tells its peers the decayed sums
once a second, so that a limit holds over the fleet and not per host. The sums
are kept by forward decay: a charge is multiplied by a factor that grows with
time, and old charges fade against new ones without being touched. A peer that
is gone or cut off fades in the same way.
"""

import math
from typing import NamedTuple

# Seconds after which a charge counts for 1/e.
DECAY_S = 10.0
# The growing factor is brought back to 1 before it loses precision.
REBASE_S = 300.0
# Sums below this many engine seconds are forgotten.
MIN_USAGE_S = 0.005
MAX_DIGEST_TENANTS = 128


class UsageDigest(NamedTuple):
  """What one host tells of its use; all in engine seconds.

  Attributes:
    used_by_tenant: Decayed use of each tenant here.
    used_by_rank: Decayed use of each rank here.
    waiting_by_rank: For each rank that waits here, the lowest use over share
      of a waiting tenant.
    retry_delay_by_key: Seconds until a refused request was told to come back,
      by the key of its booking; only those that the peers were not told yet.
  """

  used_by_tenant: dict[str, float]
  used_by_rank: dict[str, float]
  waiting_by_rank: dict[str, float]
  retry_delay_by_key: dict[int, float]


class _DecayedSums:
  """Decayed sums by name: own ones, each peer's, and the total of all."""

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
        # It fell out of the peer's bounded digest, and fades by itself.
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
  """Decayed use over the fleet, in amounts that only compare to each other.

  Attributes:
    epoch: Grows when all amounts were rescaled and stored ones are void.
  """

  def __init__(self):
    self.epoch = 0
    self._base_at: float | None = None
    self._by_tenant = _DecayedSums()
    self._by_rank = _DecayedSums()
    self._waiting_by_rank_by_peer: dict[str, dict[str, float]] = {}
    self._digest_at_by_peer: dict[str, float] = {}

  def charge(self, tenant: str, rank: str, used_s: float, now: float) -> None:
    """Charges engine seconds that start here."""
    amount = used_s * self._scale_factor(now)
    self._by_tenant.charge(tenant, amount)
    self._by_rank.charge(rank, amount)

  def update_peer(self, peer: str, digest: UsageDigest, now: float) -> None:
    """Takes in what a peer tells."""
    factor = self._scale_factor(now)
    self._by_tenant.update_peer(peer, _scaled(digest.used_by_tenant, factor))
    self._by_rank.update_peer(peer, _scaled(digest.used_by_rank, factor))
    waiting = _scaled(digest.waiting_by_rank, factor)
    self._waiting_by_rank_by_peer[peer] = waiting
    self._digest_at_by_peer[peer] = now

  def tenant_usage(self, tenant: str) -> float:
    """Returns what a tenant used over the fleet, for comparing."""
    return self._by_tenant.total_by_name.get(tenant, 0.0)

  def rank_usage_fraction(self, rank: str) -> float:
    """Returns the part of all lately used engine time that a rank had."""
    total = sum(self._by_rank.total_by_name.values())
    if total <= 0.0:
      return 0.0
    return self._by_rank.total_by_name.get(rank, 0.0) / total

  def own_fraction(self) -> float:
    """Returns the part of the fleet's use that is due to this host."""
    total = sum(self._by_rank.total_by_name.values())
    if total <= 0.0:
      return 0.0
    return min(1.0, sum(self._by_rank.own_by_name.values()) / total)

  def rank_usage_rate(self, rank: str, now: float) -> float:
    """Returns the engine seconds a second that a rank lately used."""
    amount = self._by_rank.total_by_name.get(rank, 0.0)
    return amount / self._scale_factor(now) / DECAY_S

  def min_waiting_usage(self, rank: str, now: float, max_age_s: float) -> float:
    """Returns the lowest use over share that waits for a rank at peers.

    Args:
      rank: Name of the rank.
      now: Monotonic time.
      max_age_s: Peers that were silent for longer don't count.

    Returns:
      The amount, or infinity if nothing waits at a peer.
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
    """Returns what this host tells its peers."""
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
