"""What the tasks of a gateway share: beliefs, books and connections."""

import asyncio
import random

from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import quarantine
from mulberrypick.core import request_placement
from mulberrypick.core import shared_retry_budget
from mulberrypick.ops import endpoint_pool


class GatewayState:
  """All state of one gateway process, owned by its one event loop.

  Attributes:
    host: What the settings say.
    config: The configuration in force, None if none is known yet.
    endpoints: Beliefs of endpoints.
    load: Work at endpoints.
    placer: Decides where requests go.
    budget: Retries that are left.
    quarantine: Requests that crash endpoints.
    pool: Connections to endpoints.
    hosts: Hosts that live, this one among them.
    rank_among_hosts: Place of this host among those that are in contact with
      the store, by name; the first is 0.
    unsent_parts: Parts of prompts placed since the other hosts were told.
    store_contact_since: When contact with the store began that lasts, None
      without.
    peer_kept_store_contact: Whether another host was in contact all the while.
    is_leaving: Whether this process was asked to stop.
    load_changed: Set when own work began or ended at an endpoint.
    watches_store: Whether this host watches the store itself; if not, it hears
      of changes from another one.
    store_revision_by_kind: Revision of the last change heard of, by kind of
      object.
    store_changed: Set once when those who follow the store have to look; then
      another one takes its place.
  """

  def __init__(self, host: gateway_records.GatewayHost, draw: random.Random):
    bounds = host.bounds
    self.host = host
    self.config: gateway_records.GatewayConfig | None = None
    self.endpoints = endpoint_registry.EndpointRegistry()
    self.load = engine_load.EngineLoad()
    self.placer = request_placement.Placer(self.endpoints, self.load, draw)
    self.budget = shared_retry_budget.SharedRetryBudget(
        bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
    )
    self.quarantine = quarantine.Quarantine()
    self.pool = endpoint_pool.EndpointPool()
    self.hosts = 1
    self.rank_among_hosts = 0
    self.unsent_parts: list[tuple[str, int, int]] = []
    self.store_contact_since: float | None = None
    self.peer_kept_store_contact = False
    self.is_leaving = False
    self.load_changed = asyncio.Event()
    self.watches_store = True
    self.store_revision_by_kind: dict[str, int] = {}
    self.store_changed = asyncio.Event()

  @property
  def is_ready(self) -> bool:
    """Whether callers may be sent here."""
    return (
        not self.is_leaving
        and self.config is not None
        and self.endpoints.is_loaded
    )

  def apply_settings(self, host: gateway_records.GatewayHost) -> None:
    """Takes changed settings in."""
    self.host = host
    bounds = host.bounds
    self.budget.reconfigure(
        bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s
    )

  def adopt_config(self, config: gateway_records.GatewayConfig) -> bool:
    """Puts a configuration in force unless a newer one is already."""
    if self.config is not None and config.version <= self.config.version:
      return False
    self.config = config
    return True

  def record_store_change(self, kind: str, revision: int) -> bool:
    """Notes that objects of a kind changed; returns whether that is news."""
    if revision <= self.store_revision_by_kind.get(kind, 0):
      return False
    self.store_revision_by_kind[kind] = revision
    return True

  def set_watching(self, watches: bool) -> None:
    """Notes whether this host watches the store itself."""
    if watches and not self.watches_store:
      self.wake_store_tasks()
    self.watches_store = watches

  def wake_store_tasks(self) -> None:
    """Has those who wait for news of the store look."""
    news, self.store_changed = self.store_changed, asyncio.Event()
    news.set()

  def suspend_silent_endpoints(self, now: float) -> None:
    """Suspends endpoints that owe answers and say nothing."""
    names = set()
    for endpoint in self.endpoints.all():
      names.add(endpoint.name)
      if self.load.is_silent(endpoint, now):
        self.endpoints.suspend_silent(endpoint, now)
        # The path may be cut: whoever tries again opens a connection first,
        # which tells at once and without a request at stake.
        self.pool.drop(endpoint.name)
    self.load.prune(names)

  def drop_endpoint(self, name: str) -> None:
    """Lets go of an endpoint that is gone or leaves."""
    self.pool.drop(name)
    self.load.forget(name)

  def record_parts(
      self,
      endpoint: gateway_records.Endpoint,
      parts: tuple[gateway_records.PromptPart, ...],
      is_read: bool,
  ) -> None:
    """Notes that an engine keeps parts.

    Args:
      endpoint: The engine.
      parts: The parts.
      is_read: Whether it reads them, which other hosts are told. One that
        fetches them reads prompts last of all: not worth the bytes.
    """
    cache = self.load.own(endpoint).cache
    now = asyncio.get_running_loop().time()
    for number, part in enumerate(parts, 1):
      # The last part belongs to the request alone; others don't ask for it.
      is_shared = number < len(parts)
      if is_read and is_shared and cache.should_announce(part.key, now):
        self.unsent_parts.append((endpoint.name, part.key, part.tokens))
      cache.store(part.key, part.tokens, now)
