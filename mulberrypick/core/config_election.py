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
    self._beacon_at_by_address = {}
    self._first_seen_at_by_address = {}
    self._too_few_since = None

  def record_beacon(self, address: str, now: float) -> None:
    """Notes the beacon of a watcher that hears the platform."""
    self._beacon_at_by_address[address] = now

  def is_elected(self, zone_addresses: set[str], now: float) -> bool:
    """Tells whether this host has to watch now.

    Args:
      zone_addresses: Addresses of the zone's known hosts; its own is implied.
      now: Monotonic time.
    """
    known = zone_addresses | {self._own_address}
    self._drop_unknown(known, now)
    position = self.position(known)
    if position < WATCHERS_PER_ZONE:
      return True
    interval_s = beacon_interval_s(len(known))
    beacon_timeout_s = MAX_MISSED_BEACONS * interval_s
    predecessors = rendezvous.rank(TASK, known)[:position]
    healthy = [
        a
        for a in predecessors
        if self._last_seen_at(a) + beacon_timeout_s > now
    ]
    if len(healthy) >= WATCHERS_PER_ZONE:
      self._too_few_since = None
      return False
    if self._too_few_since is None:
      self._too_few_since = now
    steps = (position - WATCHERS_PER_ZONE) // WATCHERS_PER_ZONE
    return now - self._too_few_since >= steps * beacon_timeout_s

  def position(self, zone_addresses: set[str]) -> int:
    """Returns how many hosts of the zone come before this one."""
    known = zone_addresses | {self._own_address}
    return rendezvous.rank(TASK, known).index(self._own_address)

  def _last_seen_at(self, address: str) -> float:
    # A host that just appeared is given the time to show itself.
    seen_at = self._first_seen_at_by_address[address]
    return max(seen_at, self._beacon_at_by_address.get(address, seen_at))

  def _drop_unknown(self, known: set[str], now: float) -> None:
    for address in known:
      self._first_seen_at_by_address.setdefault(address, now)
    for time_by_address in (
        self._first_seen_at_by_address,
        self._beacon_at_by_address,
    ):
      for address in set(time_by_address) - known:
        del time_by_address[address]
