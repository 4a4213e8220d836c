"""Elects the hosts of a zone that watch the platform for new configurations.

Each watch costs the platform a call, so only a few hosts of a zone watch and
inform the others. Hosts are ordered by rendezvous hashing, which gives the same
order on every host without coordination. The first two hosts watch. A host
further down watches while it receives beacons from fewer than two of the hosts
before it; the further down it is, the longer it waits first. A wrong election
only costs extra calls: any number of watchers is safe, including none.
"""

from mulberrypick.core import rendezvous

TASK = 'config-watch'
WATCHERS_PER_ZONE = 2
MIN_BEACON_INTERVAL_S = 2.0
BEACON_INTERVAL_PER_HOST_S = 0.25
MAX_MISSED_BEACONS = 3


def beacon_interval_s(zone_size: int) -> float:
  """Returns the interval between beacons of a watcher, in seconds.

  A beacon tells the zone that the watcher reaches the platform. The interval
  grows with the zone, which bounds the bytes per second that a watcher sends.
  """
  return max(MIN_BEACON_INTERVAL_S, BEACON_INTERVAL_PER_HOST_S * zone_size)


class WatcherElection:
  """One host's view of the election; does not read a clock itself."""

  def __init__(self, own_address: str):
    self._own_address = own_address
    self._beacon_at_by_address = {}
    self._first_seen_at_by_address = {}
    self._too_few_since = None

  def record_beacon(self, address: str, now: float) -> None:
    """Records a beacon of a watcher that reaches the platform."""
    self._beacon_at_by_address[address] = now

  def is_elected(self, zone_addresses: set[str], now: float) -> bool:
    """Returns whether this host must watch now.

    Args:
      zone_addresses: Addresses of the zone's known hosts; this host's own
        address may be left out.
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
    """Returns the number of hosts of the zone that precede this one."""
    known = zone_addresses | {self._own_address}
    return rendezvous.rank(TASK, known).index(self._own_address)

  def _last_seen_at(self, address: str) -> float:
    # A newly seen host gets time to send its first beacon.
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
