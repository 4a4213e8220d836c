"""State shared by the tasks of a gateway."""

import asyncio
import collections
import logging
import random

from mulberrypick.adapters import boot_clock
from mulberrypick.adapters import logs
from mulberrypick.core import crash_exchange
from mulberrypick.core import endpoint_hold_off
from mulberrypick.core import endpoint_limits
from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import helper_choice
from mulberrypick.core import part_exchange
from mulberrypick.core import permits
from mulberrypick.core import quarantine
from mulberrypick.core import request_placement
from mulberrypick.core import shared_retry_budget
from mulberrypick.core import stage_switches
from mulberrypick.core import store_changes
from mulberrypick.core import store_contact
from mulberrypick.core import store_era
from mulberrypick.core import stream_versions
from mulberrypick.ops import crash_watch
from mulberrypick.ops import endpoint_pool
from mulberrypick.ops import forward_links
from mulberrypick.ops import reach_watch
from mulberrypick.ops import retry_log
from mulberrypick.ops import stop_guard
from mulberrypick.platform import store
from mulberrypick.platform import stored_evidence

_log = logging.getLogger(__name__)
# Shortest duration of one watch call of the store.
MIN_WATCH_S = 1.0
# Time left, of that within which a host must follow the store again after a
# network failure, to connect and to read.
RECONNECT_S = 0.5
# Longest time that the store usually takes for an answer.
STORE_ANSWER_S = 0.1
# Characters of an unreadable value that are logged.
MAX_LOGGED_VALUE = 40
# Fraction of the time to drain for which the last endpoint of a stage is still
# used after it said that it leaves; requests take some time to reach it.
LAST_DRAIN_FRACTION = 0.8
# Batches of changes of one kind that wait to be applied.
MAX_RELAYED_BATCHES = 100
# Messages whose evidence of crashes waits to be written to the store.
MAX_UNWRITTEN_EVIDENCE = 40


class GatewayState:
  """All shared state of one gateway process, used on its event loop only.

  Attributes:
    host: Settings of this host.
    config: The configuration in force, None if none is known yet.
    endpoints: Known endpoints and their health.
    limits: Limits that endpoints name.
    limited_sends: Number of requests sent to endpoints that had a limit.
    permits: Permits to send requests to these endpoints.
    permits_wanted: Set when permits are to be requested.
    permits_changed: Set when a reply to a request for a permit has arrived; it
      is then replaced by a new event.
    load: Load of the endpoints.
    placer: Selects endpoints for requests.
    budget: Retry budget.
    retry_log: Counts and logs the use of the retry budget.
    quarantine: Requests that crash endpoints.
    crash_watch: Collects the signs of crashes for the quarantine.
    part_watch: Prompt parts that crash endpoints.
    pool: Connections to endpoints.
    reach: Whether this host reaches endpoints.
    helpers: Hosts that requests are passed on to if it does not.
    forward_links: Connections to these hosts.
    forwarded_count: Number of requests passed on so far.
    taken: Requests of other hosts that this one works on.
    taken_count: Number of such requests so far.
    hosts: Number of live hosts, including this one.
    is_relay: Whether this host forwards what it hears to members of its group.
    missed_hosts: Number of known hosts that are not among the live ones.
    unwritten_evidence: Evidence of crashes to be written to the store, for
      missed hosts.
    rank_among_hosts: Position of this host, by name, among the hosts that are
      in contact with the store; the first is 0.
    unsent_parts: Prompt parts placed since the last message to other hosts.
    store_contact: When the store answered this host.
    store_contact_since: Start of the current contact with the store, None
      without contact. A connection that goes silent for a moment ends none.
    peer_kept_store_contact: Whether another host has had contact with the store
      for long enough to rule out that entries expired in an outage.
    versions: Software versions of the endpoints of each service.
    endpoints_revision: Position of the store up to which all changes of the
      endpoints are known, 0 before the first list.
    is_leaving: Whether this process is shutting down.
    has_stopped_listening: Whether it takes no new requests any more.
    stop: Keeps requests from being sent that this process would cut.
    load_changed: Set when a request of this host starts or ends at an endpoint.
    watches_store: Whether this host watches the store itself; if not, its relay
      reports changes.
    store_revision_by_kind: Position of the last known change by kind of object.
    store_era: What is known of the store's eras.
    era_changed: Set when the store came back from an older copy; it is then
      replaced by a new event.
    store_changes: Changes of the store that this host passes on as a relay.
    store_changed: Set when the store must be read again; it is then replaced by
      a new event.
  """

  def __init__(self, host: gateway_records.GatewayHost, rng: random.Random):
    bounds = host.bounds
    self.host = host
    self.config: gateway_records.GatewayConfig | None = None
    self.endpoints = endpoint_registry.EndpointRegistry()
    self.endpoints.last_drain_s = LAST_DRAIN_FRACTION * bounds.drain_s
    self.limits = endpoint_limits.EndpointLimits()
    self.limited_sends = 0
    self.permits = permits.Permits(self.limits, rng)
    self.permits_wanted = asyncio.Event()
    self.permits_changed = asyncio.Event()
    self.load = engine_load.EngineLoad()
    self.placer = request_placement.Placer(
        self.endpoints, self.load, rng, self.permits
    )
    self.budget = shared_retry_budget.SharedRetryBudget(
        bounds.budget_ratio,
        bounds.budget_slack,
        bounds.budget_window_s,
        host.is_first_start,
    )
    self.retry_log = retry_log.RetryLog(self.budget)
    self.quarantine = quarantine.Quarantine()
    self.crash_watch = crash_watch.CrashWatch(self.quarantine)
    self.part_watch = self.crash_watch.parts
    self.pool = endpoint_pool.EndpointPool()
    self.reach = reach_watch.ReachWatch(
        self._handle_apart, self.endpoints.forget_failures
    )
    self.pool.on_opened = self.reach.record_opened
    self.pool.on_slow = self.reach.record_doubt
    self.pool.on_failed = self.reach.record_failed
    self.helpers = helper_choice.HelperChoice(host.zone, rng)
    self.forward_links = forward_links.ForwardLinks()
    self.forwarded_count = 0
    self.taken = 0
    self.taken_count = 0
    self.hosts = 1
    self.is_relay = False
    self.missed_hosts = 0
    self.unwritten_evidence: collections.deque[stored_evidence.Evidence] = (
        collections.deque(maxlen=MAX_UNWRITTEN_EVIDENCE)
    )
    self.rank_among_hosts = 0
    self.unsent_parts: list[tuple[str, int, int]] = []
    self.store_contact = store_contact.StoreContact(bounds.heartbeat_s)
    self.store_contact.set_callback(self._handle_store_back)
    self.store_contact_since: float | None = None
    self.peer_kept_store_contact = False
    self._era_changed_at = float('-inf')
    self.versions = stream_versions.VersionHistory()
    self.endpoints_revision = 0
    self._list_read_at = float('-inf')
    self.is_leaving = False
    self.has_stopped_listening = False
    self.stop = stop_guard.StopGuard()
    self.load_changed = asyncio.Event()
    self.watches_store = True
    self.store_revision_by_kind: dict[str, int] = {}
    self.store_era = store_era.StoreEra()
    self.store_era.set_callback(self._handle_new_era)
    self.era_changed = asyncio.Event()
    self.store_changes = store_changes.ChangeLog()
    self._relayed_changes: dict[
        str, collections.deque[store_changes.ChangeBatch]
    ] = {}
    self.store_changed = asyncio.Event()

  @property
  def watch_s(self) -> float:
    """Duration of one watch call of the store, in seconds.

    A connection that went silent is noticed `store.WATCH_LATE_S` later. This
    must be in time to follow the store again, and before entries can expire:
    the silence would else look like an outage.
    """
    bounds = self.host.bounds
    steady_s = bounds.steady_s - RECONNECT_S
    no_expiry_s = (
        store_contact.EXPIRY_HEARTBEATS - 1
    ) * bounds.heartbeat_s - STORE_ANSWER_S
    longest_s = min(steady_s, no_expiry_s) - store.WATCH_LATE_S
    return max(MIN_WATCH_S, longest_s)

  @property
  def store_delay_s(self) -> float:
    """Longest time after which a host in contact with the store knows a change.

    A watch call without response is then considered failed.
    """
    return self.watch_s + store.WATCH_TIMEOUT_MARGIN_S

  @property
  def is_ready(self) -> bool:
    """Whether callers may be sent here."""
    return (
        not self.is_leaving
        and self.config is not None
        and self.endpoints.is_loaded
    )

  @property
  def turn_among_hosts(self) -> int | None:
    """Position among the hosts that take turns; None if it takes no part."""
    rank = self.rank_among_hosts
    return rank if rank < self.hosts and not self.reach.is_apart else None

  def record_list_read(self, revision: int, began_at: float | None) -> None:
    """Records up to where the changes of the endpoints are known.

    Args:
      revision: The position.
      began_at: When the store was asked for them, on the clock of `boot_time`;
        None if another host passed them on.
    """
    self.endpoints_revision = revision
    if began_at is not None:
      self._list_read_at = began_at

  def is_list_recent(self) -> bool:
    """Returns whether the endpoints were read from the store some time ago."""
    age_s = boot_clock.boot_time() - self._list_read_at
    return age_s < stream_versions.MAX_LIST_AGE_S

  def may_pass_on(self) -> bool:
    """Returns whether requests are passed on to other hosts."""
    if not self.reach.is_apart:
      return False
    return bool(self.helpers.usable(asyncio.get_running_loop().time()))

  def is_refused(self, call: gateway_records.Call, now: float) -> bool:
    """Returns whether a request must not be sent because of crashes."""
    if self.quarantine.is_refused(call.fingerprint, now):
      return True
    return self.part_watch.find_refusal(call) is not None

  def merge_evidence(
      self,
      crash_news: crash_exchange.CrashNews,
      part_news: part_exchange.PartNews,
      source: str,
      now: float,
  ) -> None:
    """Merges the evidence of crashes that another host reports."""
    self.crash_watch.merge_news(crash_news, source, self.is_relay, now)
    self.part_watch.merge_news(part_news, source, self.is_relay, now)

  def _handle_apart(self, since: float) -> None:
    """Withdraws what this host took for crashes while it was cut off."""
    now = asyncio.get_running_loop().time()
    self.crash_watch.withdraw_own(since, now)
    self.load_changed.set()

  def apply_settings(self, host: gateway_records.GatewayHost) -> None:
    """Applies changed settings."""
    self.host = host
    bounds = host.bounds
    self.endpoints.last_drain_s = LAST_DRAIN_FRACTION * bounds.drain_s
    self.store_contact.heartbeat_s = bounds.heartbeat_s
    self.budget.reconfigure(
        bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
    )

  def adopt_config(self, config: gateway_records.GatewayConfig) -> bool:
    """Puts a configuration in force if it is newer than the current one.

    Returns:
      Whether it was put in force.
    """
    if self.config is not None and config.version <= self.config.version:
      return False
    self.config = config
    self.load.models.configure(config.service_by_name.values())
    self.versions.set_lifetime(
        stream_versions.find_lifetime_s(config),
        asyncio.get_running_loop().time(),
    )
    return True

  def take_retry(
      self, service: str, now: float, max_fraction: float = 1.0
  ) -> bool:
    """Takes a retry from the budget if one is left; counts it for the log."""
    is_taken = self.budget.take(service, now, max_fraction)
    self.retry_log.record(service, is_taken)
    return is_taken

  def give_back_retry(self, service: str) -> None:
    """Returns a retry that was taken and not used to the budget."""
    self.budget.give_back(service)
    self.retry_log.record_returned(service)

  def observe_limit(
      self, incarnation: tuple[str, int], limit: endpoint_limits.Limit
  ) -> None:
    """Records what this host observed of the limit of an endpoint."""
    if self.limits.observe(incarnation, limit):
      self.log_limit(incarnation, self.host.name)

  def log_limit(self, incarnation: tuple[str, int], source: str) -> None:
    """Logs the limit of an endpoint after a change."""
    rate = self.limits.rate(incarnation)
    logs.log_event(
        _log,
        logging.INFO,
        'limit_ended' if rate is None else 'limit_in_force',
        endpoint=incarnation[0],
        started_ms=incarnation[1],
        per_s=rate,
        source=source,
        sent=self.limited_sends,
    )

  def observe_wishes(
      self,
      endpoint: gateway_records.Endpoint,
      says_leaving: bool,
      hold_off: str | None,
  ) -> None:
    """Records what an endpoint says of itself in an answer.

    Args:
      endpoint: The endpoint.
      says_leaving: Whether it says that it leaves.
      hold_off: Text of the time for which it wants no requests, None if it
        names none.
    """
    now = asyncio.get_running_loop().time()
    if hold_off is not None:
      self._record_hold_off(endpoint, hold_off, now)
    if says_leaving:
      self.record_said_leaving(endpoint.incarnation, 'said')

  def record_said_leaving(
      self, incarnation: tuple[str, int], source: str
  ) -> None:
    """Records that an endpoint says in an answer that it leaves.

    Args:
      incarnation: The endpoint.
      source: How the answer came, for logs.
    """
    now = asyncio.get_running_loop().time()
    if not self.endpoints.record_said_leaving(incarnation, now):
      return
    name, started_ms = incarnation
    is_last = self.endpoints.find(name) is not None
    self._drop_leaving(name, source, started_ms=started_ms, is_last=is_last)

  def record_switch(
      self, report: stage_switches.SwitchReport, source: str, now: float
  ) -> None:
    """Leaves out an engine that is changing its stage, and tells others."""
    if not self.endpoints.switches.record(report, now):
      return
    self.load_changed.set()
    logs.log_event(
        _log,
        logging.INFO,
        'endpoint_switching',
        endpoint=report.name,
        started_ms=report.started_ms,
        orders_before=report.number,
        for_s=report.left_s,
        source=source,
    )

  def _record_hold_off(
      self, endpoint: gateway_records.Endpoint, text: str, now: float
  ) -> None:
    seconds = endpoint_hold_off.parse_seconds(text)
    if seconds is None:
      seconds = endpoint_hold_off.DEFAULT_HOLD_OFF_S
      logs.log_event(
          _log,
          logging.WARNING,
          'hold_off_unreadable',
          endpoint=endpoint.name,
          value=repr(text[:MAX_LOGGED_VALUE]),
      )
    is_new = not self.endpoints.is_held_off(endpoint, now)
    self.endpoints.hold_off.record(endpoint.incarnation, seconds, now)
    if is_new and seconds:
      logs.log_event(
          _log,
          logging.INFO,
          'endpoint_held_off',
          endpoint=endpoint.name,
          started_ms=endpoint.started_ms,
          for_s=seconds,
      )

  def _drop_leaving(self, name: str, reason: str, **fields: object) -> None:
    """Drops the idle connections to an endpoint that leaves."""
    self.drop_endpoint(name)
    self.load_changed.set()
    logs.log_event(
        _log,
        logging.INFO,
        'endpoint_dropped',
        endpoint=name,
        reason=reason,
        **fields,
    )

  def update_wishes(self, now: float) -> None:
    """Ends drains and times without requests that are over."""
    self.endpoints.hold_off.expire(now)
    for name in self.endpoints.end_drains(now):
      self._drop_leaving(name, 'drained')

  def record_store_change(self, kind: str, revision: int) -> bool:
    """Records a change of a kind of objects; returns whether it is new."""
    if revision <= self.store_revision_by_kind.get(kind, 0):
      return False
    self.store_revision_by_kind[kind] = revision
    return True

  def record_reported_change(
      self, kind: str, revision: int, has_era: bool
  ) -> bool:
    """Records a change that another host reports; returns whether it is new.

    Args:
      kind: Kind of the objects.
      revision: Position of the change.
      has_era: Whether it is one. Older builds report the revision alone, which
        then counts as of the current era.
    """
    if has_era:
      era = store_era.era_of(revision)
      if era:
        # Without one, the store may state none.
        self.store_era.observe(era)
    else:
      revision = store_era.make_position(self.store_era.current, revision)
    return self.record_store_change(kind, revision)

  def record_store_read(self, kind: str, revision: int) -> None:
    """Records up to which position the store has changes of a kind.

    What other hosts reported beyond that is of an era that has ended.
    """
    known = self.store_revision_by_kind.get(kind, 0)
    if known > revision:
      self.store_revision_by_kind[kind] = revision

  def add_relayed_changes(
      self, batches: list[store_changes.ChangeBatch]
  ) -> None:
    """Keeps changes that the relay of this host passed on, until applied."""
    for batch in batches:
      queue = self._relayed_changes.setdefault(
          batch.kind, collections.deque(maxlen=MAX_RELAYED_BATCHES)
      )
      queue.append(batch)
    if batches:
      self.wake_store_tasks()

  def take_relayed_changes(self, kind: str) -> list[store_changes.ChangeBatch]:
    """Returns the changes of a kind that the relay passed on, in order."""
    queue = self._relayed_changes.get(kind)
    if not queue:
      return []
    batches = list(queue)
    queue.clear()
    return batches

  def has_store_contact_since(self, at: float, now: float) -> bool:
    """Returns whether this host knows what the store listed at a time."""
    contact_since = self.store_contact_since
    if contact_since is None:
      return False
    return max(at, contact_since) + self.store_delay_s < now

  def set_watching(self, watches: bool) -> None:
    """Sets whether this host watches the store itself."""
    if watches and not self.watches_store:
      self.wake_store_tasks()
    self.watches_store = watches

  def _handle_store_back(self, away_s: float) -> None:
    """Gives endpoints whose entries expired time to register again."""
    now = asyncio.get_running_loop().time()
    self.endpoints.record_store_recovery(now)
    self.store_contact_since = now
    logs.log_event(
        _log, logging.WARNING, 'store_was_away', away_s=round(away_s, 2)
    )

  def _handle_new_era(self, old: int, new: int) -> None:
    """Prepares for what the older copy of the store lacks."""
    now = asyncio.get_running_loop().time()
    # The endpoints write their entries again, as after an outage.
    self.endpoints.record_store_recovery(now)
    self._era_changed_at = now
    written = self.crash_watch.repeat_refusals(now)
    logs.log_event(
        _log,
        logging.WARNING,
        'store_came_back_older',
        old_era=old,
        new_era=new,
        refusals_written_again=written,
        has_contact=self.store_contact_since is not None,
    )
    changed, self.era_changed = self.era_changed, asyncio.Event()
    changed.set()
    self.wake_store_tasks()
    self.load_changed.set()

  def was_store_steady(self, now: float) -> bool:
    """Returns whether entries that are missing now did not get lost."""
    is_recent = now - self._era_changed_at < endpoint_registry.STORE_RECOVERY_S
    return self.peer_kept_store_contact and not is_recent

  def wake_store_tasks(self) -> None:
    """Wakes the tasks that wait for a change of the store."""
    changed, self.store_changed = self.store_changed, asyncio.Event()
    changed.set()

  def wake_permit_waiters(self) -> None:
    """Wakes the requests that wait for a permit."""
    changed, self.permits_changed = self.permits_changed, asyncio.Event()
    changed.set()

  def suspend_silent_endpoints(self, now: float) -> None:
    """Suspends endpoints that have pending requests but send no data."""
    self.update_wishes(now)
    names = set()
    incarnations = set()
    software = set()
    for endpoint in self.endpoints.all():
      names.add(endpoint.name)
      software.add((endpoint.service, endpoint.software))
      incarnations.add(endpoint.incarnation)
      if self.load.is_silent(endpoint, now):
        self.endpoints.suspend_silent(endpoint, now)
        # The network path may be down. The next attempt must then open a new
        # connection, which fails without risk to a request.
        self.pool.drop(endpoint.name)
    self.load.prune(names)
    self.load.models.prune(software)
    self.limits.prune(incarnations)
    self.permits.prune()

  def drop_endpoint(self, name: str) -> None:
    """Drops the connections and the load of an endpoint no longer in use."""
    self.pool.drop(name)
    self.load.forget(name)

  def record_parts(
      self,
      endpoint: gateway_records.Endpoint,
      parts: tuple[gateway_records.PromptPart, ...],
      is_read: bool,
  ) -> None:
    """Records that an engine caches prompt parts.

    Args:
      endpoint: The engine.
      parts: The prompt parts.
      is_read: Whether the engine prefills the parts, which is announced to
        other hosts. An engine that fetches them from another engine is the last
        choice for prefill, so announcing them isn't worth the traffic.
    """
    cache = self.load.own(endpoint).cache
    now = asyncio.get_running_loop().time()
    for number, part in enumerate(parts, 1):
      # The last part is unique to the request; no other request needs it.
      is_shared = number < len(parts)
      if is_read and is_shared and cache.should_announce(part.key, now):
        self.unsent_parts.append((endpoint.name, part.key, part.tokens))
      cache.store(part.key, part.tokens, now)
