"""The endpoints that may run requests, by the models that they hold.

Combines the membership of hosts with the load reports. The lists of candidates
are rebuilt only when a host or its models, role or draining state change, so
that a decision never iterates over the whole fleet.
"""

from typing import NamedTuple

from mulberrypick.core import load
from mulberrypick.core import membership
from mulberrypick.core import messages
from mulberrypick.core import partition
from mulberrypick.core import records

REFUSED_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_S = 1.0
FAILED_BACKOFF_S = 2.0
MAX_BACKOFF_S = 15.0
MAX_DOUBLINGS = 4


class EndpointStatus(NamedTuple):
  """One endpoint on the status page.

  Attributes:
    name: Name of the endpoint.
    zone: Availability zone.
    role: Role in the last load report, or empty.
    is_live: Whether it may get new work.
    in_flight: Attempts of this host in flight there.
    running: Running sequences in the last report.
    pieces_free: Free KV cache blocks in the last report.
    report_age_s: Age of that report, below 0 for none.
    rest_s: Remaining seconds of its backoff.
  """

  name: str
  zone: str
  role: str
  is_live: bool
  in_flight: int
  running: int
  pieces_free: int
  report_age_s: float
  rest_s: float


EMPTY_POOL = load.Pool([], [], [])


class Fleet:
  """The endpoints with their loads, and which of them may get new work."""

  def __init__(self):
    self._membership = membership.Membership()
    self._load_by_endpoint: dict[str, load.EndpointLoad] = {}
    self._endpoints_by_peer: dict[str, tuple[str, ...]] = {}
    self._is_stale = False
    self._pool_by_queue: dict[str, load.Pool] = {}
    self._quiet_count_by_queue: dict[str, int] = {}
    self._prefillers_by_queue: dict[str, list[load.EndpointLoad]] = {}

  def endpoint(self, name: str) -> load.EndpointLoad | None:
    """Returns the load of an endpoint, None for an unknown one."""
    return self._load_by_endpoint.get(name)

  def pool(self, queue: str) -> load.Pool:
    """Returns the live endpoints that generate the answers of a queue."""
    self._refresh()
    return self._pool_by_queue.get(queue, EMPTY_POOL)

  def prefillers(self, queue: str) -> list[load.EndpointLoad]:
    """Returns the live engines that only prefill the prompts of a queue."""
    self._refresh()
    return self._prefillers_by_queue.get(queue, [])

  def engines_by_queue(self) -> dict[str, int]:
    """Returns the number of live endpoints of each queue."""
    self._refresh()
    counts = {}
    for queue, pool in self._pool_by_queue.items():
      counts[queue] = len(pool.all) + len(self.prefillers(queue))
    return counts

  def resize_quiet_set(self, queue: str, demand: partition.Demand) -> int:
    """Adapts the number of endpoints kept free of long prompts to the demand.

    Returns:
      The new number; always 0 for a queue with decode engines.
    """
    pool = self.pool(queue)
    if any(known.is_decoder for known in pool.all):
      # Separate engines prefill the prompts, so long ones delay no decode step.
      return 0
    present = self._quiet_count_by_queue.get(queue, 0)
    count = partition.size(len(pool.all), demand, present)
    if count != present:
      self._quiet_count_by_queue[queue] = count
      self._pool_by_queue[queue] = self._make_pool(queue, pool.all)
    return count

  def entry_names(self) -> tuple[str, ...]:
    """Returns the names of the live entry hosts, sorted."""
    return self._membership.entry_names()

  def entry_count(self) -> int:
    """Returns the number of live entry hosts, at least 1."""
    return self._membership.entry_count()

  def update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    """Replaces the known hosts by a list."""
    self._membership.update_hosts(hosts)
    for name in self._membership.names():
      host = self._membership.host(name)
      if host.kind == records.HOST_ENGINE:
        self._update_engine(host)
    self._is_stale = True

  def _update_engine(self, host: records.Host) -> None:
    known = self._load_by_endpoint.get(host.name)
    if known is None or known.incarnation < host.incarnation:
      self._load_by_endpoint[host.name] = load.EndpointLoad(host)
    elif known.address != host.address:
      known.address = host.address

  def mark_leaving(self, leaving: tuple[str, ...]) -> None:
    """Marks endpoints as leaving that a peer reported as `name/incarnation`."""
    is_changed = False
    for item in leaving:
      name, _, incarnation = item.rpartition('/')
      was_live = self._membership.is_live(name)
      self._membership.mark_leaving(name, int(incarnation))
      is_changed = is_changed or was_live != self._membership.is_live(name)
    if is_changed:
      self._is_stale = True

  def leaving(self) -> tuple[str, ...]:
    """Returns the leaving endpoints as `name/incarnation`, for the peers."""
    return self._membership.leaving()

  def handle_report(self, report: records.EngineReport, now: float) -> bool:
    """Stores a load report; returns whether it is newer than the last one."""
    known = self._load_by_endpoint.get(report.endpoint)
    if known is None:
      return False
    before = known.report
    if not known.handle_report(report, now):
      return False
    if before is None or _candidate_key(before) != _candidate_key(report):
      self._is_stale = True
    return True

  def update_peer_load(
      self, peer: str, cost_by_endpoint: dict[str, float], now: float
  ) -> None:
    """Replaces the engine seconds that a peer has in flight, by endpoint."""
    names = set(cost_by_endpoint).union(self._endpoints_by_peer.get(peer, ()))
    for name in names:
      known = self._load_by_endpoint.get(name)
      if known is not None:
        known.update_peer(peer, cost_by_endpoint.get(name, 0.0), now)
    self._endpoints_by_peer[peer] = tuple(cost_by_endpoint)

  def cost_by_endpoint(self) -> dict[str, float]:
    """Returns the engine seconds that this host has in flight, by endpoint."""
    cost_by_endpoint = {}
    for name, known in self._load_by_endpoint.items():
      if known.sent_by_attempt:
        cost_by_endpoint[name] = round(known.cost_sent_s, 3)
    return cost_by_endpoint

  def back_off_after(self, name: str, outcome: str, now: float) -> None:
    """Starts the backoff of an endpoint after a bad outcome of an attempt."""
    known = self._load_by_endpoint.get(name)
    if known is None:
      return
    if outcome == messages.OUTCOME_WHOLE:
      known.failures = 0
    elif outcome == messages.OUTCOME_REFUSED:
      known.back_off(now + REFUSED_BACKOFF_S)
    elif outcome == messages.OUTCOME_UNREACHABLE:
      doubling = min(known.failures, MAX_DOUBLINGS)
      known.failures += 1
      rest_s = min(MAX_BACKOFF_S, UNREACHABLE_BACKOFF_S * 2.0**doubling)
      known.back_off(now + rest_s)
    elif outcome == messages.OUTCOME_FAILED:
      known.back_off(now + FAILED_BACKOFF_S)

  def statuses(self, now: float) -> tuple[EndpointStatus, ...]:
    """Returns the status of all endpoints, sorted by name."""
    statuses = []
    for name in sorted(self._load_by_endpoint):
      statuses.append(self._status(name, now))
    return tuple(statuses)

  def _status(self, name: str, now: float) -> EndpointStatus:
    known = self._load_by_endpoint[name]
    report = known.report
    return EndpointStatus(
        name,
        known.zone,
        report.role if report else '',
        self._membership.is_live(name),
        known.in_flight,
        report.running if report else 0,
        report.pieces_free if report else 0,
        round(now - known.report_at, 3) if report else -1.0,
        round(max(0.0, known.backoff_until - now), 3),
    )

  def _refresh(self) -> None:
    """Rebuilds the lists of candidates if something has changed."""
    if not self._is_stale:
      return
    self._is_stale = False
    self._rebuild()

  def _rebuild(self) -> None:
    generators_by_queue: dict[str, list[load.EndpointLoad]] = {}
    self._prefillers_by_queue = {}
    for name in list(self._load_by_endpoint):
      known = self._load_by_endpoint[name]
      if self._membership.host(name) is None and not known.sent_by_attempt:
        del self._load_by_endpoint[name]
        continue
      if not self._is_candidate(known):
        continue
      by_queue = generators_by_queue
      if known.report.role == records.ROLE_PREFILL:
        by_queue = self._prefillers_by_queue
      for queue in known.report.models:
        by_queue.setdefault(queue, []).append(known)
    self._pool_by_queue = {}
    for queue, loads in generators_by_queue.items():
      self._pool_by_queue[queue] = self._make_pool(queue, loads)

  def _is_candidate(self, known: load.EndpointLoad) -> bool:
    report = known.report
    if report is None or report.is_draining:
      return False
    return self._membership.is_live(known.name)

  def _make_pool(self, queue: str, loads: list[load.EndpointLoad]) -> load.Pool:
    """Splits endpoints into those kept free of long prompts, and others."""
    count = self._quiet_count_by_queue.get(queue, 0)
    ordered = partition.order_by_hash(
        {known.name: known.zone for known in loads}
    )
    names = partition.quiet_names(ordered, count)
    quiet = [known for known in loads if known.name in names]
    bulk = [known for known in loads if known.name not in names]
    for known in loads:
      known.is_quiet = known.name in names
    all_names = frozenset(known.name for known in loads)
    return load.Pool(loads, quiet, bulk, all_names)


def _candidate_key(report: records.EngineReport) -> tuple:
  """Returns the fields that decide for which queues an engine may work."""
  return report.models, report.role, report.is_draining
