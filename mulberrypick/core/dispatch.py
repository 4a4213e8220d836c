"""The dispatcher, a state machine that decides about model requests.

It maps each message to effects, which the task that owns it carries out. It has
no clock, socket or thread, so tests and benchmarks can drive it at any speed.
Policies are implementations of `Router` and `Admission`; this module only keeps
track of which requests wait, what runs where, and what the results are.
"""

import random

from mulberrypick.core import attempt_tracker
from mulberrypick.core import cost
from mulberrypick.core import decision_log
from mulberrypick.core import demand_meter
from mulberrypick.core import dispatcher_status
from mulberrypick.core import endpoint_choice
from mulberrypick.core import errors
from mulberrypick.core import fleet
from mulberrypick.core import fleet_usage
from mulberrypick.core import isolation
from mulberrypick.core import load
from mulberrypick.core import messages
from mulberrypick.core import quarantine
from mulberrypick.core import records
from mulberrypick.core import retry_budget
from mulberrypick.core import routing
from mulberrypick.core import waiting as waiting_base

RETRY_AFTER_S = 2.0
PARTITION_INTERVAL_S = 1.0
DEFAULT_MAX_ATTEMPTS = 3

Effects = messages.Effects


class Dispatcher:
  """Routes, queues and refuses the requests of one entry host."""

  def __init__(
      self,
      own_name: str,
      own_zone: str,
      router: routing.Router,
      admission: waiting_base.Admission,
      seed: int = 1,
  ):
    self._own_name = own_name
    self._admission = admission
    self._config = records.EMPTY_CONFIG
    self._next_partition_at = 0.0
    self._fleet = fleet.Fleet()
    self._cost = cost.CostModel()
    self._choice = endpoint_choice.EndpointChoice(
        own_zone, router, self._fleet, self._cost, random.Random(seed)
    )
    self._isolation = isolation.Isolation(own_name)
    self._retry_budget = retry_budget.RetryBudget()
    self._demand = demand_meter.DemandMeter()
    self._refused_by_kind: dict[str, int] = {}
    self._decision_log = decision_log.DecisionLog()
    self._attempt_tracker = attempt_tracker.AttemptTracker(
        self._fleet,
        self._choice,
        self._cost,
        self._isolation,
        self._decision_log,
    )
    self._handler_by_type = {
        messages.Submit: self._on_submit,
        messages.Withdraw: self._on_withdraw,
        messages.FirstToken: self._on_first_token,
        messages.AttemptEnded: self._on_attempt_ended,
        messages.ConfigSeen: self._on_config_seen,
        messages.HostsSeen: self._on_hosts_seen,
        messages.ReportSeen: self._on_report_seen,
        messages.PeerSeen: self._on_peer_seen,
        messages.CacheSeen: self._on_cache_seen,
        messages.Tick: self._on_tick,
    }

  def handle(self, message: messages.Message, now: float) -> Effects:
    """Handles a message.

    Args:
      message: The message.
      now: Monotonic time, not earlier than that of any previous call.

    Returns:
      The effects to carry out, in order.
    """
    return self._handler_by_type[type(message)](message, now)

  def explain(self, request_id: str) -> list[str]:
    """Returns why a request was routed, retried or refused, oldest first."""
    return self._decision_log.lines(request_id)

  def make_peer_message(self, now: float) -> messages.PeerSeen:
    """Returns this host's message to its peers, sent about once a second."""
    digest = self._admission.digest(now)
    suspects, refused = self._isolation.make_digest(now)
    return messages.PeerSeen(
        self._own_name,
        self._fleet.cost_by_endpoint(),
        digest.used_by_tenant,
        refused,
        self._fleet.leaving(),
        digest.used_by_rank,
        digest.waiting_by_rank,
        suspects,
        digest.retry_delay_by_key,
        self._isolation.quarantine.exchange.take_news(now),
    )

  def demand_by_model(self, now: float) -> dict[str, tuple[float, float]]:
    """Returns the engine seconds per second requested here, by model.

    Each value is a pair (prefill, decode).
    """
    return self._demand.by_model(now)

  def snapshot(self, now: float) -> dispatcher_status.DispatcherStatus:
    """Returns the state for `/status`."""
    return dispatcher_status.DispatcherStatus(
        self._config.generation,
        self._fleet.statuses(now),
        self._admission.waiting_by_rank(),
        len(self._attempt_tracker.attempts.running_by_attempt),
        dict(self._refused_by_kind),
        len(self._isolation.quarantine.refused(now)),
        self.demand_by_model(now),
    )

  def _on_submit(self, message: messages.Submit, now: float) -> Effects:
    request = message.request
    queue = waiting_base.queue_name(request.model, request.adapter)
    error = self._check(message, queue, now)
    if error is not None:
      return [self._refuse(request.request_id, error)]
    waiting = waiting_base.WaitingRequest(
        request,
        message.next_index,
        message.failed_endpoints,
        self._cost.cost(queue, request, message.next_index),
        now,
        message.is_retry,
        waiting_base.fingerprint(request),
        self._choice.hash_prompt(request),
    )
    if not waiting.is_retry:
      cost_s = (waiting.cost.prefill_s, waiting.cost.decode_s)
      self._demand.add(request.model, *cost_s, now)
    if self._isolation.must_hold(waiting.fingerprint, waiting.is_retry, now):
      held = isolation.HeldRequest(queue, waiting)
      self._isolation.held_by_request[request.request_id] = held
      return self._process_all_held(now)
    return self._offer(queue, waiting, now)

  def _check(
      self, message: messages.Submit, queue: str, now: float
  ) -> errors.RequestError | None:
    """Returns the error of a request that can't run at any load, else None."""
    request = message.request
    if request.deadline_at <= now:
      return errors.DeadlineError('the deadline has passed')
    if not message.is_retry:
      self._retry_budget.record_request()
      if self._fleet.pool(queue).all:
        return None
      return _unavailable(f'no live endpoint has {queue} loaded')
    failures = self._attempt_tracker.attempts.failures(request.request_id)
    service = self._config.service_by_name.get(request.service)
    max_attempts = service.max_attempts if service else DEFAULT_MAX_ATTEMPTS
    if failures >= max_attempts:
      return _unavailable(f'{failures} attempts failed')
    if not self._retry_budget.take(failures, now):
      return _unavailable('the retry budget is exhausted')
    return None

  def _offer(
      self, queue: str, waiting: waiting_base.WaitingRequest, now: float
  ) -> Effects:
    error = self._admission.offer(queue, waiting, now)
    if error is not None:
      return [self._refuse(waiting.request.request_id, error)]
    return self._start_waiting(queue, now)

  def _on_withdraw(self, message: messages.Withdraw, now: float) -> Effects:
    del now
    request_id = message.request_id
    held = self._isolation.held_by_request.pop(request_id, None)
    waiting = self._admission.withdraw(request_id)
    if held is not None or waiting is not None:
      self._attempt_tracker.attempts.forget(request_id)
      self._decision_log.add_line(request_id, 'withdrawn while it was queued')
    return []

  def _on_first_token(
      self, message: messages.FirstToken, now: float
  ) -> Effects:
    running = self._attempt_tracker.record_first_token(message.attempt_id)
    if running is None:
      return []
    return self._start_waiting(running.queue, now)

  def _on_attempt_ended(
      self, message: messages.AttemptEnded, now: float
  ) -> Effects:
    running = self._attempt_tracker.end(message, now)
    if running is None:
      return []
    return self._start_waiting(running.queue, now) + self._process_all_held(now)

  def _on_config_seen(
      self, message: messages.ConfigSeen, now: float
  ) -> Effects:
    if message.config.generation <= self._config.generation:
      return []
    self._config = message.config
    self._choice.configure(message.config)
    self._attempt_tracker.configure(message.config)
    self._admission.configure(message.config)
    return self._start_all_waiting(now)

  def _on_hosts_seen(self, message: messages.HostsSeen, now: float) -> Effects:
    self._fleet.update_hosts(message.hosts)
    self._isolation.set_entries(self._fleet.entry_names())
    self._set_capacities()
    return self._start_all_waiting(now)

  def _on_report_seen(
      self, message: messages.ReportSeen, now: float
  ) -> Effects:
    if not self._fleet.handle_report(message.report, now):
      return []
    report = message.report
    self._cost.handle_report(report)
    self._isolation.quarantine.record_alive(
        report.endpoint, report.incarnation, now - report.age_s
    )
    effects = []
    for queue in message.report.models:
      effects += self._start_waiting(queue, now)
    return effects

  def _on_peer_seen(self, message: messages.PeerSeen, now: float) -> Effects:
    self._fleet.mark_leaving(message.leaving)
    self._fleet.update_peer_load(
        message.peer, message.in_flight_by_endpoint, now
    )
    digest = fleet_usage.UsageDigest(
        message.used_by_tenant,
        message.used_by_rank,
        message.waiting_by_rank,
        message.retry_delay_by_key,
    )
    self._admission.update_peer(message.peer, digest, now)
    self._isolation.update_peer(message.suspects, message.quarantined, now)
    self._isolation.quarantine.exchange.merge(
        message.crash_news, message.peer, False, now
    )
    return self._start_all_waiting(now)

  def _on_cache_seen(self, message: messages.CacheSeen, now: float) -> Effects:
    del now
    self._choice.handle_cache_events(
        message.endpoint, message.stored, message.evicted
    )
    return []

  def _on_tick(self, message: messages.Tick, now: float) -> Effects:
    del message
    self._update_partition(now)
    effects = []
    for refusal in self._admission.expire(now):
      request_id = refusal.waiting.request.request_id
      effects.append(self._refuse(request_id, refusal.error))
    return effects + self._start_all_waiting(now) + self._process_all_held(now)

  def _set_capacities(self) -> None:
    entries = self._fleet.entry_count()
    self._choice.own_fraction = self._admission.own_fraction() or 1.0 / entries
    for queue, engines in self._fleet.engines_by_queue().items():
      self._admission.set_capacity(queue, engines / entries)

  def _update_partition(self, now: float) -> None:
    """Updates, once a second, which endpoints get no long prompts."""
    if now < self._next_partition_at:
      return
    self._next_partition_at = now + PARTITION_INTERVAL_S
    self._set_capacities()
    for queue in self._fleet.engines_by_queue():
      demand = self._admission.demand(queue, now)
      if demand is not None:
        self._fleet.resize_quiet_set(queue, demand)

  def _start_all_waiting(self, now: float) -> Effects:
    effects = []
    for queue in self._admission.queues():
      effects += self._start_waiting(queue, now)
    return effects

  def _start_waiting(self, queue: str, now: float) -> Effects:
    """Starts queued requests while endpoints have capacity."""
    effects = []
    while True:
      effect = self._start_next(queue, now)
      if effect is None:
        return effects
      effects.append(effect)

  def _start_next(self, queue: str, now: float) -> messages.Start | None:
    for waiting in self._admission.heads(queue, now):
      chosen = self._choose(queue, waiting, now)
      if chosen is None:
        continue
      self._admission.take(waiting.request.request_id, now)
      return self._attempt_tracker.start(queue, waiting, chosen, now)
    return None

  def _process_all_held(self, now: float) -> Effects:
    """Starts or refuses requests held as crash suspects, where possible."""
    effects = []
    for request_id, held in list(self._isolation.held_by_request.items()):
      held_effects = self._process_held(held, now)
      if held_effects is None:
        continue
      self._isolation.held_by_request.pop(request_id, None)
      effects += held_effects
    return effects

  def _process_held(
      self, held: isolation.HeldRequest, now: float
  ) -> Effects | None:
    """Returns the effects for a held crash suspect, None if it stays held."""
    waiting = held.waiting
    request = waiting.request
    verdict = self._isolation.quarantine.verdict(waiting.fingerprint, now)
    if verdict == quarantine.REFUSED:
      if not self._isolation.may_refuse(held, now):
        return None
      error = errors.RepeatedCrashError(
          'the request crashed the endpoints that ran it'
      )
      return [self._refuse(request.request_id, error)]
    if request.deadline_at <= now:
      error = errors.DeadlineError(
          'the deadline passed while the request was held'
      )
      return [self._refuse(request.request_id, error)]
    if verdict == quarantine.CLEAR:
      return self._offer(held.queue, waiting._replace(is_retry=True), now)
    if verdict == quarantine.SUSPECT:
      return self._start_alone(held, now)
    return None

  def _start_alone(
      self, held: isolation.HeldRequest, now: float
  ) -> Effects | None:
    waiting = held.waiting
    if self._attempt_tracker.attempts.is_suspect_running(waiting.fingerprint):
      return None
    pool = self._fleet.pool(held.queue)
    names = [known.name for known in pool.all]
    busy = self._attempt_tracker.attempts.suspect_endpoints()
    excluded = self._isolation.excluded(held, names, busy, now)
    chosen = self._choice.find(held.queue, waiting, 1.0, excluded, now)
    if chosen is None:
      return None
    is_strong = self._isolation.quarantine.is_strong(waiting.fingerprint)
    return [
        self._attempt_tracker.start(held.queue, waiting, chosen, now, is_strong)
    ]

  def _choose(
      self, queue: str, waiting: waiting_base.WaitingRequest, now: float
  ) -> load.EndpointLoad | None:
    pool = self._fleet.pool(queue)
    excluded = waiting.failed_endpoints
    if excluded and all(known.name in excluded for known in pool.all):
      # Retrying on an endpoint that failed before is better than not running.
      excluded = ()
    fill_fraction = self._admission.fill_fraction(queue, waiting, now)
    return self._choice.find(queue, waiting, fill_fraction, excluded, now)

  def _refuse(
      self, request_id: str, error: errors.RequestError
  ) -> messages.Refuse:
    self._attempt_tracker.attempts.forget(request_id)
    count = self._refused_by_kind.get(error.kind, 0)
    self._refused_by_kind[error.kind] = count + 1
    self._decision_log.add_line(
        request_id,
        f'refused: {error.kind}: {error},'
        f' retry_after_s={error.retry_after_s:.3f}',
    )
    return messages.Refuse(request_id, error)


def _unavailable(message: str) -> errors.UnavailableError:
  return errors.UnavailableError(message, retry_after_s=RETRY_AFTER_S)
