"""Task that sends orders to the engines while this host holds the zone's lease.

It owns the view of the zone and the only thread that may send orders. Each
round reads the engines, determines the outcome of orders whose outcome is not
known yet, and issues the orders that are due. Without a term, which is a period
for which this host holds the lease, it only keeps its view of the declared
models and hosts up to date, so that a standby can take over at once. While the
platform is unavailable no intent can be written, so no order is issued.
"""

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import engine as engines
from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platforms
from mulberrypick.core import config_parts
from mulberrypick.core import drains
from mulberrypick.core import errors
from mulberrypick.core import reconcile
from mulberrypick.core import records
from mulberrypick.core import role_planner
from mulberrypick.ops import demand_task
from mulberrypick.ops import lease_holder
from mulberrypick.ops import order_sender

# Maximum number of planning passes per round. After each pass, engines whose
# state is not from this round are read again.
MAX_PLANNING_PASSES = 3

_logger = logging.getLogger(__name__)


class ControllerIntervals(NamedTuple):
  """Polling intervals of the controller.

  Attributes:
    round_s: Seconds between two rounds.
    platform_s: Seconds between two reads of the platform by the lease holder.
    standby_s: Seconds between two reads of the platform by a standby.
    sweep_per_s: Engines without a pending change that are read per second;
      bounds the holder's work in a large zone.
  """

  round_s: float = 0.25
  platform_s: float = 1.0
  standby_s: float = 10.0
  sweep_per_s: float = 20.0


class EngineStatus(NamedTuple):
  """Status of one engine.

  Attributes:
    state: State reported by the engine.
    order_state: State of its last order in the state chart `order`.
    order: The last order, None if there was none.
  """

  state: records.EngineState
  order_state: str
  order: records.Order | None


class ControllerStatus(NamedTuple):
  """Response of `GET /status` of a controller.

  Attributes:
    name: Name of the host.
    zone: Its zone.
    is_holder: Whether it holds the lease and may issue orders.
    fence: Fencing number of its current or last term.
    term_left_s: Seconds left of the term, 0 without one.
    generation: Generation of the configuration in use.
    drains: Engines that operators requested to drain.
    pending: Endpoints whose last order has no known outcome yet.
    engines: The engines of the zone; empty for a standby.
  """

  name: str
  zone: str
  is_holder: bool
  fence: int
  term_left_s: float
  generation: int
  drains: tuple[str, ...]
  pending: tuple[str, ...]
  engines: tuple[EngineStatus, ...]


class ControllerTask:
  """Runs the controller on a thread; `post` delivers messages to it."""

  def __init__(
      self,
      name: str,
      zone: str,
      platform: platforms.Platform,
      engine: engines.Engine,
      planner: reconcile.RolePlanner,
      order_timing: order_sender.OrderTiming,
      intervals: ControllerIntervals,
      on_stale: Callable[[lease_holder.StaleFence], None],
  ):
    """Initializes the task without starting it.

    Args:
      name: Name of this host.
      zone: The zone.
      platform: The platform.
      engine: Calls to engines, with timeouts well below the guard time.
      planner: Assigns roles to engines.
      order_timing: Time limits for orders.
      intervals: Polling intervals.
      on_stale: Called when an engine refuses the fencing number.
    """
    self._name = name
    self._platform = platform
    self._engine = engine
    self._planner = planner
    self._order_timing = order_timing
    self._intervals = intervals
    self._on_stale = on_stale
    self._messages = queue.SimpleQueue()
    self._stopping = threading.Event()
    self._term: lease_holder.Term | None = None
    self._current_fence = 0
    self._generation = 0
    self._fleet_part = ''
    self._read_platform_at = float('-inf')
    self._read_at_by_engine: dict[str, float] = {}
    self._read_this_round: set[str] = set()
    self._view = reconcile.ZoneView(
        zone, {}, (), frozenset(), {}, {}, frozenset()
    )
    self._thread = threading.Thread(target=self._run, name='orders')
    self.is_settled = True
    self.status = ControllerStatus(name, zone, False, 0, 0.0, 0, (), (), ())

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  @property
  def hosts(self) -> tuple[records.Host, ...]:
    """The current list of hosts; empty while this host lacks the lease."""
    return self._view.hosts if self._has_term() else ()

  def post(
      self, message: lease_holder.TermMessage | demand_task.DemandSeen
  ) -> None:
    """Posts a message from the lease holder or the demand task."""
    self._messages.put(message)

  def stop(self) -> None:
    """Stops the task after the order in progress, and waits for it."""
    self._stopping.set()
    self._messages.put(None)
    if self._thread.is_alive():
      self._thread.join()

  def _run(self) -> None:
    # The signal that ends a process after its term is delivered to the thread
    # that creates the sender.
    self._sender = order_sender.OrderSender(
        self._platform, self._engine, self._order_timing
    )
    while not self._stopping.is_set():
      self._receive_messages()
      try:
        self._run_round()
      except errors.StaleFenceError as error:
        self._end_term(error)
      except (errors.PlatformError, errors.ConfigError) as error:
        self._log('round_failed', error=str(error))
      except Exception:
        # The thread must survive. If it ended, the lease would still be renewed
        # while nobody issues orders for the zone.
        _logger.exception('round_failed')
      self._publish_status()

  def _receive_messages(self) -> None:
    """Waits for the next round or a message; handles all queued messages."""
    timeout_s = self._intervals.round_s
    while True:
      try:
        message = self._messages.get(timeout=timeout_s)
      except queue.Empty:
        return
      if isinstance(message, lease_holder.Term):
        self._term = message
      if isinstance(message, lease_holder.TermEnded):
        self._term = None
      if isinstance(message, demand_task.DemandSeen):
        self._update_demand(message)
      timeout_s = 0.0 if message is None else self._intervals.round_s
      if self._stopping.is_set() or self._messages.empty():
        return

  def _update_demand(self, message: demand_task.DemandSeen) -> None:
    if isinstance(self._planner, role_planner.DemandSink):
      self._planner.record_demand(message.demand_by_model, time.monotonic())

  def _end_term(self, error: errors.StaleFenceError) -> None:
    fence = self._term.fence if self._term else 0
    self._log('fence_refused', error=str(error), fence=fence)
    self._term = None
    self._on_stale(lease_holder.StaleFence(fence))

  def _has_term(self) -> bool:
    return self._term is not None and time.monotonic() < self._term.end_at

  def _run_round(self) -> None:
    self._read_platform()
    if not self._has_term():
      self._clear_engines()
      return
    if self._current_fence != self._term.fence:
      self._sender.begin_term(self._term.fence)
      self._clear_engines()
      self._current_fence = self._term.fence
    self._read_engines(self._list_due_engines())
    host_by_name = {host.name: host for host in self._view.hosts}
    for order in self._list_orders():
      if self._stopping.is_set() or not self._has_term():
        return
      state = self._view.state_by_engine[order.endpoint]
      address = host_by_name[order.endpoint].address
      # The order invalidates the known state of the engine, whatever its
      # outcome.
      del self._read_at_by_engine[order.endpoint]
      self._sender.issue(order, address, state.last_sequence, self._term)

  def _clear_engines(self) -> None:
    self._read_at_by_engine = {}
    self._view = self._view._replace(
        state_by_engine={}, report_by_engine={}, unsettled=frozenset()
    )

  def _list_orders(self) -> list[records.Order]:
    """Lists the due orders, all planned from states read in this round."""
    # Called once per round because the planner records history on each call.
    role_by_engine = self._planner.plan(self._view, time.monotonic())
    for _ in range(MAX_PLANNING_PASSES):
      found = reconcile.list_orders(self._view, role_by_engine)
      stale = {o.endpoint for o in found} - self._read_this_round
      if not stale:
        return found
      self._read_engines(stale)
    return [order for order in found if order.endpoint in self._read_this_round]

  def _list_due_engines(self) -> set[str]:
    """Starts a round and returns the names of the engines to read in it.

    These are the engines with a change in progress, those not read yet in this
    term, and those of the others whose last read is older than the time in
    which `sweep_per_s` covers all of them.
    """
    self._read_this_round = set()
    now = time.monotonic()
    due = set()
    quiet = []
    for host in reconcile.list_engines(self._view):
      read_at = self._read_at_by_engine.get(host.name)
      state = self._view.state_by_engine.get(host.name)
      if (
          read_at is None
          or host.name in self._view.unsettled
          or state
          and (state.is_changing or state.is_draining)
      ):
        due.add(host.name)
      else:
        quiet.append((read_at, host.name))
    quiet.sort()
    sweep_s = len(quiet) / self._intervals.sweep_per_s
    for read_at, name in quiet:
      if now - read_at >= sweep_s:
        due.add(name)
    return due

  def _read_platform(self) -> None:
    interval_s = self._intervals.standby_s
    if self._has_term():
      interval_s = self._intervals.platform_s
    now = time.monotonic()
    if now < self._read_platform_at + interval_s:
      return
    # Set before the reads, so that retries after a failure keep the interval
    # and do not overload a platform that recovers.
    self._read_platform_at = now
    hosts = tuple(self._platform.list_hosts())
    requests = self._platform.list_objects(drains.DRAIN_PREFIX)
    wanted = frozenset(map(drains.endpoint_of, requests.value_by_key))
    self._view = self._view._replace(hosts=hosts, drains=wanted)
    self._read_models()

  def _read_models(self) -> None:
    """Reads the declared models; ignores generations that are not newer."""
    stored = self._platform.get(config_parts.HEAD_KEY)
    if stored is None:
      return
    head = config_parts.decode_head(stored.value)
    if head.generation <= self._generation:
      return
    if head.fleet != self._fleet_part:
      part = self._platform.get(config_parts.PART_PREFIX + head.fleet)
      if part is None:
        return  # A newer generation, read in a later round, replaced the part.
      fleet = config_parts.decode_fleet(head.fleet, part.value)
      model_by_name = {model.name: model for model in fleet.models}
      self._view = self._view._replace(model_by_name=model_by_name)
      self._fleet_part = head.fleet
    self._generation = head.generation

  def _read_engines(self, names: set[str]) -> None:
    """Reads the named engines; drops the state of those that can't be read."""
    state_by_engine = dict(self._view.state_by_engine)
    report_by_engine = dict(self._view.report_by_engine)
    unsettled = set(self._view.unsettled)
    listed = set()
    for host in reconcile.list_engines(self._view):
      listed.add(host.name)
      if host.name not in names:
        continue
      read_at = time.monotonic()
      self._read_at_by_engine[host.name] = read_at
      self._read_this_round.add(host.name)
      unsettled.discard(host.name)
      state_by_engine.pop(host.name, None)
      report_by_engine.pop(host.name, None)
      try:
        state = self._engine.read_state(host.name, host.address)
        report = self._engine.read_load(host.name, host.address)
      except errors.EndpointError:
        continue
      state_by_engine[host.name] = state
      report_by_engine[host.name] = report
      if not self._sender.settle(state, read_at):
        unsettled.add(host.name)
    self._view = self._view._replace(
        state_by_engine=_keep_listed(state_by_engine, listed),
        report_by_engine=_keep_listed(report_by_engine, listed),
        unsettled=frozenset(unsettled & listed),
    )

  def _publish_status(self) -> None:
    self.is_settled = self._sender.is_settled()
    is_holder = self._has_term()
    left_s = self._term.end_at - time.monotonic() if is_holder else 0.0
    engine_statuses = []
    for name, state in sorted(self._view.state_by_engine.items()):
      tracker = self._sender.track_by_engine[name]
      order = tracker.intent.order if tracker.intent else None
      engine_statuses.append(EngineStatus(state, tracker.state, order))
    self.status = self.status._replace(
        is_holder=is_holder,
        fence=self._current_fence,
        term_left_s=left_s,
        generation=self._generation,
        drains=tuple(sorted(self._view.drains)),
        pending=tuple(sorted(self._view.unsettled)),
        engines=tuple(engine_statuses),
    )

  def _log(self, event: str, **fields: object) -> None:
    logs.log_event(_logger, logging.INFO, event, **fields)


def _keep_listed(value_by_engine: dict, listed: set[str]) -> dict:
  """Returns the items of engines that are still listed."""
  return {
      name: value for name, value in value_by_engine.items() if name in listed
  }
