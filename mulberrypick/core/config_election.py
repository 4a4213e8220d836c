"""Who of a zone watches the platform for newer configurations.

A watch costs the platform a call, so that few hosts of a zone watch and tell
the rest. The order of the hosts is rendezvous hashing, the same on every
host without any agreement. The first two watch; a host further down
watches while it hears from fewer than two of those before it, and the further
down it stands the longer it waits first. A wrong election costs calls, never
correctness: any number of watchers, none included, is safe.
"""

from mulberrypick.core import rendezvous

TASK = 'config-watch'
WATCHERS_PER_ZONE = 2
MIN_BEACON_INTERVAL_S = 2.0
BEACON_INTERVAL_PER_HOST_S = 0.25
MAX_MISSED_BEACONS = 3


def beacon_interval_s(zone_size: int) -> float:
  """Returns how often a watcher tells its zone that it hears the platform.

  It grows with the zone, so that a watcher's bytes a second stay bounded.
  """
  return max(MIN_BEACON_INTERVAL_S, BEACON_INTERVAL_PER_HOST_S * zone_size)


class WatcherElection:
  """One host's view of who watches; pure, time is passed in."""

  def __init__(self, own_address: str):
    self._own_address = own_address
    self._heard_at_by_address = {}
    self._seen_at_by_address = {}
    self._lacking_since = None

  def record_beacon(self, address: str, now: float) -> None:
    """Notes the beacon of a watcher that hears the platform."""
    self._heard_at_by_address[address] = now

  def is_elected(self, zone_addresses: set[str], now: float) -> bool:
    """Tells whether this host has to watch now.

    Args:
      zone_addresses: Addresses of the zone's known hosts; its own is implied.
      now: Monotonic time.
    """
    known = zone_addresses | {self._own_address}
    self._forget_unknown(known, now)
    position = self.position(known)
    if position < WATCHERS_PER_ZONE:
      return True
    interval_s = beacon_interval_s(len(known))
    head_timeout_s = MAX_MISSED_BEACONS * interval_s
    before = rendezvous.rank(TASK, known)[:position]
    healthy = [a for a in before if self._last_sign(a) + head_timeout_s > now]
    if len(healthy) >= WATCHERS_PER_ZONE:
      self._lacking_since = None
      return False
    if self._lacking_since is None:
      self._lacking_since = now
    steps = (position - WATCHERS_PER_ZONE) // WATCHERS_PER_ZONE
    return now - self._lacking_since >= steps * head_timeout_s

  def position(self, zone_addresses: set[str]) -> int:
    """Returns how many hosts of the zone come before this one."""
    known = zone_addresses | {self._own_address}
    return rendezvous.rank(TASK, known).index(self._own_address)

  def _last_sign(self, address: str) -> float:
    # A host that just appeared is given the time to show itself.
    seen_at = self._seen_at_by_address[address]
    return max(seen_at, self._heard_at_by_address.get(address, seen_at))

  def _forget_unknown(self, known: set[str], now: float) -> None:
    for address in known:
      self._seen_at_by_address.setdefault(address, now)
    for seen in (self._seen_at_by_address, self._heard_at_by_address):
      for address in set(seen) - known:
        del seen[address]
