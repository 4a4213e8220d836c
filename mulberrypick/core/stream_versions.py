"""Software versions that streams are bound to.

What two software versions write doesn't fit together, so a stream goes on only
at the version that wrote its first event. A caller may take up a stream at any
host, often because the host that began it is gone. While a service has several
versions, a host therefore tells a few other hosts, the registrars of the
stream, before it forwards the first event. A host that gets the rest of a
stream asks them.

If no registrar knows the stream, it can have begun only at a version that its
host held to be the only one. A host concludes which one that was only if it has
known a single version for as long as a stream can last.
"""

import collections
from collections.abc import Iterable

import xxhash

from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.core import rendezvous

# Longest time between the first event of a stream and the return of its caller,
# unless the time limits of routes are longer.
STREAM_LIFETIME_S = 30.0
# The same as a multiple of the longest time limit: the stream may last that
# long, and its caller may come back as much later.
LIFETIME_TIMEOUTS = 2.0
# Longest age of a list of endpoints for which the registrars make up: within it
# the only version can't have been replaced by another one for so long that a
# host is certain of that.
MAX_LIST_AGE_S = 20.0
# Maximum number of bindings that are kept; the oldest is dropped first.
MAX_BINDINGS = 50_000
# Registrars of a stream in the zone of its host, and those asked for it: the
# host that began it is none of them.
ZONE_REGISTRARS = 1
ASKED_ZONE_REGISTRARS = 2


def stream_key(request_id: str, fingerprint: int) -> int:
  """Returns the key of a stream.

  Callers choose the ids of requests. The hash of the content keeps streams of
  different requests apart.

  Args:
    request_id: Id of the attempt that received the first event.
    fingerprint: Hash of the content of the request.
  """
  return xxhash.xxh3_64_intdigest(f'{fingerprint:x}/{request_id}'.encode())


def find_lifetime_s(config: gateway_records.GatewayConfig | None) -> float:
  """Returns how long streams are remembered under a configuration."""
  longest_s = 0.0
  for routes in config.routes_by_host.values() if config is not None else ():
    for route in routes:
      if route.is_resumable:
        longest_s = max(longest_s, route.timeout_s)
  return max(STREAM_LIFETIME_S, LIFETIME_TIMEOUTS * longest_s)


class StreamBindings:
  """Versions of streams by their key."""

  def __init__(self):
    self._bound_by_key: collections.OrderedDict[int, tuple[str, float]] = (
        collections.OrderedDict()
    )

  def bind(
      self, key: int, software: str, lifetime_s: float, now: float
  ) -> None:
    """Binds a stream; one that began at two versions is bound to none."""
    old = self._bound_by_key.pop(key, None)
    if old is not None and old[0] != software:
      software = ''
    self._bound_by_key[key] = (software, now)
    self._drop_expired(lifetime_s, now)

  def find(self, key: int) -> str | None:
    """Returns the version of a stream.

    Returns:
      The version, empty if the stream began at several; None if unknown.
    """
    bound = self._bound_by_key.get(key)
    return None if bound is None else bound[0]

  def _drop_expired(self, lifetime_s: float, now: float) -> None:
    while self._bound_by_key:
      _, bound_at = next(iter(self._bound_by_key.values()))
      is_expired = now - bound_at > lifetime_s
      if not is_expired and len(self._bound_by_key) <= MAX_BINDINGS:
        return
      self._bound_by_key.popitem(last=False)


class VersionHistory:
  """Versions that the endpoints of each service had recently.

  Attributes:
    lifetime_s: How long streams are remembered.
  """

  def __init__(self):
    self.lifetime_s = STREAM_LIFETIME_S
    self._seen_at_by_service: dict[str, dict[str, float]] = {}
    self._known_since: float | None = None

  def observe(
      self, endpoints: Iterable[gateway_records.Endpoint], now: float
  ) -> None:
    """Records the endpoints that are known now."""
    if self._known_since is None:
      self._known_since = now
    for endpoint in endpoints:
      self.record(endpoint, now)
    for seen in self._seen_at_by_service.values():
      for software, at in list(seen.items()):
        if now - at > self.lifetime_s:
          del seen[software]

  def record(self, endpoint: gateway_records.Endpoint, now: float) -> None:
    """Records an endpoint that was listed, also if it has left by now."""
    seen = self._seen_at_by_service.setdefault(endpoint.service, {})
    seen[endpoint.software] = now

  def set_lifetime(self, lifetime_s: float, now: float) -> None:
    """Changes how long streams are remembered."""
    if lifetime_s > self.lifetime_s and self._known_since is not None:
      # Versions that were seen longer ago are forgotten.
      self._known_since = max(self._known_since, now - self.lifetime_s)
    self.lifetime_s = lifetime_s

  def record_gap(self, now: float) -> None:
    """Records that endpoints that were listed before now may be missing."""
    self._known_since = now

  def is_certain(self, service: str, now: float) -> bool:
    """Returns whether a service had one version for long, by what is known."""
    if self._known_since is None:
      return False
    if now - self._known_since < self.lifetime_s:
      return False
    return len(self._seen_at_by_service.get(service, ())) == 1

  def only_version(self, service: str, now: float) -> str | None:
    """Returns the version that alone can have begun a stream, if any."""
    if not self.is_certain(service, now):
      return None
    return next(iter(self._seen_at_by_service[service])) or None


def choose_registrars(
    key: int,
    hosts: list[peer_topology.PeerHost],
    own: peer_topology.PeerHost,
) -> list[str]:
  """Returns the addresses of the hosts to tell which version began a stream.

  One is in the zone of this host, for callers in a zone that is cut off; one in
  another zone, in case the whole zone is lost.

  Args:
    key: Key of the stream.
    hosts: The hosts that may be registrars.
    own: This host.
  """
  near, first_by_zone = _rank(key, hosts, own)
  far = [host for host in first_by_zone if host.zone != own.zone][:1]
  count = ZONE_REGISTRARS if far else ZONE_REGISTRARS + 1
  return [host.address for host in near[:count] + far]


def choose_asked(
    key: int,
    hosts: list[peer_topology.PeerHost],
    own: peer_topology.PeerHost,
) -> list[str]:
  """Returns the addresses of the hosts that may know the version of a stream.

  They include one registrar at least of each host that may have begun it.

  Args:
    key: Key of the stream.
    hosts: The hosts that may be registrars.
    own: This host.
  """
  near, first_by_zone = _rank(key, hosts, own)
  asked = near[:ASKED_ZONE_REGISTRARS]
  for host in first_by_zone[:2]:
    if host not in asked and host.address != own.address:
      asked.append(host)
  return [host.address for host in asked]


def _rank(
    key: int,
    hosts: list[peer_topology.PeerHost],
    own: peer_topology.PeerHost,
) -> tuple[list[peer_topology.PeerHost], list[peer_topology.PeerHost]]:
  """Returns the other hosts of the own zone, and the first of each zone."""
  host_by_name = {host.name: host for host in hosts}
  near, first_by_zone = [], {}
  for name in rendezvous.rank(f'{key:x}', host_by_name):
    host = host_by_name[name]
    first_by_zone.setdefault(host.zone, host)
    if host.zone == own.zone and host.address != own.address:
      near.append(host)
  return near, list(first_by_zone.values())
