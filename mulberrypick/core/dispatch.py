"""The dispatcher: every decision about requests for models, as a pure machine.

It answers each message with effects and keeps no clock, socket or thread, so
that a test or a bench can drive it as fast as it likes. The task that owns it
runs the effects. What may vary is behind `Router` and `Admission`; this module
only keeps the books: who waits, what runs where, and which endpoints count.
"""

import random
from typing import NamedTuple

import xxhash

from mulberrypick.core import admission
from mulberrypick.core import errors
from mulberrypick.core import journal
from mulberrypick.core import load
from mulberrypick.core import membership
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing

PRIORITY_URGENT = 10
PRIORITY_OTHER = 0
PIECE_TOKENS = 16
RETRY_AFTER_S = 2.0
REFUSED_REST_S = 0.5
UNREACHABLE_REST_S = 1.0
FAILED_REST_S = 2.0
LONGEST_REST_S = 15.0


class Running(NamedTuple):
  """An attempt under way."""

  waiting: admission.Waiting
  queue: str
  attempt: records.Attempt


class EndpointStatus(NamedTuple):
  """One endpoint in the status page."""

  name: str
  zone: str
  role: str
  is_live: bool
  in_flight: int
  running: int
  pieces_free: int
  report_age_s: float
  rest_s: float


class DispatcherStatus(NamedTuple):
  """What `/status` shows of the dispatcher.

  Attributes:
    generation: Generation of the configuration in force.
    endpoints: All known endpoints.
    waiting_by_rank: Waiting requests.
    running: Attempts under way.
    refused_by_kind: Refusals since the start.
    quarantined: Requests that are refused for crashing endpoints.
  """

  generation: int
  endpoints: tuple[EndpointStatus, ...]
  waiting_by_rank: dict[str, int]
  running: int
  refused_by_kind: dict[str, int]
  quarantined: int


def queue_name(model: str, adapter: str) -> str:
  """Returns the name that reports use for a model and its adapter."""
  return f'{model}+{adapter}' if adapter else model


def fingerprint(request: records.InferenceRequest) -> int:
  """Returns the hash of what an endpoint is given to run."""
  head = f'{request.model}|{request.adapter}|'
  return xxhash.xxh64_intdigest((head + request.prompt).encode())


class Dispatcher:
  """Routes, queues and refuses the requests of one entry host."""

  def __init__(
      self,
      own_name: str,
      own_zone: str,
      router: routing.Router,
      admission_policy: admission.Admission,
      seed: int = 1,
  ):
    self._own_name = own_name
    self._own_zone = own_zone
    self._router = router
    self._admission = admission_policy
    self._rng = random.Random(seed)
    self._config = records.EMPTY_CONFIG
    self._membership = membership.Membership()
    self._load_by_endpoint: dict[str, load.EndpointLoad] = {}
    self._loads_by_queue: dict[str, list[load.EndpointLoad]] = {}
    self._running_by_attempt: dict[str, Running] = {}
    self._number_by_request: dict[str, int] = {}
    self._refused_by_kind: dict[str, int] = {}
    self._journal = journal.Journal()
    self._handler_by_type = {
        messages.Submit: self._submit,
        messages.Withdraw: self._withdraw,
        messages.FirstToken: self._first_token,
        messages.AttemptEnded: self._attempt_ended,
        messages.ConfigSeen: self._config_seen,
        messages.HostsSeen: self._hosts_seen,
        messages.ReportSeen: self._report_seen,
        messages.PeerSeen: self._peer_seen,
        messages.Tick: self._tick,
    }

  def handle(
      self, message: messages.Message, now: float
  ) -> list[messages.Effect]:
    """Takes in a message.

    Args:
      message: What happened.
      now: Monotonic time, never before that of an earlier call.

    Returns:
      What has to be done, in order.
    """
    return self._handler_by_type[type(message)](message, now)

  def explain(self, request_id: str) -> list[str]:
    """Returns why a request was routed, refused or retried, oldest first."""
    return self._journal.lines(request_id)

  def peer_seen(self, now: float) -> messages.PeerSeen:
    """Returns what this host tells its peers, once a second or so."""
    del now
    cost_by_endpoint = {}
    for name, known in self._load_by_endpoint.items():
      if known.sent_by_attempt:
        cost_by_endpoint[name] = round(known.cost_sent_s, 3)
    return messages.PeerSeen(
        self._own_name, cost_by_endpoint, {}, (), self._membership.leaving()
    )

  def snapshot(self, now: float) -> DispatcherStatus:
    """Returns the state for the status page."""
    endpoints = []
    for name in sorted(self._load_by_endpoint):
      endpoints.append(self._endpoint_status(name, now))
    return DispatcherStatus(
        self._config.generation,
        tuple(endpoints),
        self._admission.waiting_by_rank(),
        len(self._running_by_attempt),
        dict(self._refused_by_kind),
        0,
    )

  def _endpoint_status(self, name: str, now: float) -> EndpointStatus:
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
        round(max(0.0, known.rest_until - now), 3),
    )

  def _submit(self, message, now):
    request = message.request
    if request.deadline_at <= now:
      error = errors.DeadlineError('the deadline has passed')
      return [self._refuse(request.request_id, error)]
    queue = queue_name(request.model, request.adapter)
    if not self._loads_by_queue.get(queue):
      error = errors.UnavailableError(
          f'no live endpoint holds {queue}', retry_after_s=RETRY_AFTER_S
      )
      return [self._refuse(request.request_id, error)]
    waiting = admission.Waiting(
        request,
        message.next_index,
        message.failed_endpoints,
        0.0,
        now,
        bool(message.next_index or message.failed_endpoints),
        fingerprint(request),
    )
    error = self._admission.offer(queue, waiting, now)
    if error is not None:
      return [self._refuse(request.request_id, error)]
    return self._pump(queue, now)

  def _withdraw(self, message, now):
    del now
    if self._admission.withdraw(message.request_id) is not None:
      self._number_by_request.pop(message.request_id, None)
      self._journal.note(message.request_id, 'withdrawn while it waited')
    return []

  def _first_token(self, message, now):
    del now
    running = self._running_by_attempt.get(message.attempt_id)
    if running is None:
      return []
    known = self._load_by_endpoint.get(running.attempt.endpoint)
    if known is not None:
      known.see_first_token(message.attempt_id)
    return []

  def _attempt_ended(self, message, now):
    running = self._running_by_attempt.pop(message.attempt_id, None)
    if running is None:
      return []
    self._journal.note(
        message.request_id,
        f'{message.attempt_id} on {message.endpoint}: {message.outcome},'
        f' tokens={message.tokens}',
    )
    known = self._load_by_endpoint.get(message.endpoint)
    if known is not None:
      known.remove(message.attempt_id)
      self._rest_after(known, message.outcome, now)
    if message.outcome in (messages.OUTCOME_WHOLE, messages.OUTCOME_CANCELLED):
      self._number_by_request.pop(message.request_id, None)
    return self._pump(running.queue, now)

  def _rest_after(self, known: load.EndpointLoad, outcome: str, now: float):
    """Keeps new work from an endpoint for a while after a bad outcome."""
    if outcome == messages.OUTCOME_WHOLE:
      known.failures = 0
    elif outcome == messages.OUTCOME_REFUSED:
      known.rest(now + REFUSED_REST_S)
    elif outcome == messages.OUTCOME_UNREACHABLE:
      known.failures += 1
      rest_s = UNREACHABLE_REST_S * 2.0 ** min(known.failures - 1, 4)
      known.rest(now + min(LONGEST_REST_S, rest_s))
    elif outcome == messages.OUTCOME_FAILED:
      known.rest(now + FAILED_REST_S)

  def _config_seen(self, message, now):
    if message.config.generation <= self._config.generation:
      return []
    self._config = message.config
    self._admission.configure(message.config)
    return self._pump_all(now)

  def _hosts_seen(self, message, now):
    self._membership.see_hosts(message.hosts)
    self._rebuild()
    return self._pump_all(now)

  def _report_seen(self, message, now):
    report = message.report
    known = self._load_by_endpoint.get(report.endpoint)
    if known is None:
      return []
    before = known.report
    if not known.see_report(report, now):
      return []
    if before is None or _offers(before) != _offers(report):
      self._rebuild()
    effects = []
    for queue in report.models:
      effects += self._pump(queue, now)
    return effects

  def _peer_seen(self, message, now):
    for name in message.leaving:
      host, _, incarnation = name.rpartition('/')
      self._membership.see_leaving(host, int(incarnation))
    if message.leaving:
      self._rebuild()
    for name, known in self._load_by_endpoint.items():
      cost_s = message.in_flight_by_endpoint.get(name, 0.0)
      known.peer_cost_by_peer[message.peer] = cost_s
    self._admission.see_peer_use(message.used_by_tenant)
    return self._pump_all(now)

  def _tick(self, message, now):
    del message
    effects = []
    for refusal in self._admission.expire(now):
      request_id = refusal.waiting.request.request_id
      effects.append(self._refuse(request_id, refusal.error))
    return effects + self._pump_all(now)

  def _rebuild(self) -> None:
    """Works out anew which endpoints may run what."""
    for name in self._membership.names():
      host = self._membership.host(name)
      if host.kind != records.HOST_ENGINE:
        continue
      known = self._load_by_endpoint.get(name)
      if known is None or known.incarnation < host.incarnation:
        self._load_by_endpoint[name] = load.EndpointLoad(host)
      elif known.address != host.address:
        known.address = host.address
    self._loads_by_queue = {}
    for name in list(self._load_by_endpoint):
      self._rebuild_one(name)

  def _rebuild_one(self, name: str) -> None:
    known = self._load_by_endpoint[name]
    if self._membership.host(name) is None:
      if not known.sent_by_attempt:
        del self._load_by_endpoint[name]
      return
    report = known.report
    if report is None or report.is_draining:
      return
    if report.role == records.ROLE_PREFILL:
      return
    if not self._membership.is_live(name):
      return
    for queue in report.models:
      self._loads_by_queue.setdefault(queue, []).append(known)

  def _pump_all(self, now: float) -> list[messages.Effect]:
    effects = []
    for queue in self._admission.queues():
      effects += self._pump(queue, now)
    return effects

  def _pump(self, queue: str, now: float) -> list[messages.Effect]:
    """Starts waiting requests of a queue while endpoints have room."""
    effects = []
    while True:
      waiting = self._admission.peek(queue, now)
      if waiting is None:
        return effects
      chosen = self._choose(queue, waiting, now)
      if chosen is None:
        return effects
      self._admission.take(queue, now)
      effects.append(self._start(queue, waiting, chosen, now))

  def _choose(
      self, queue: str, waiting: admission.Waiting, now: float
  ) -> load.EndpointLoad | None:
    candidates = self._loads_by_queue.get(queue)
    if not candidates:
      return None
    request = waiting.request
    rank = self._config.rank_by_name.get(request.rank)
    ask = routing.Ask(
        rank is not None and rank.is_urgent,
        request.prompt_tokens + waiting.next_index,
        max(1, request.max_tokens - waiting.next_index),
        rank.between_tokens_s if rank is not None else 0.0,
        (),
        waiting.failed_endpoints,
    )
    chosen = self._router.pick(ask, candidates, self._own_zone, now, self._rng)
    if chosen is None and ask.excluded:
      # Better an endpoint that refused it before than none at all.
      ask = ask._replace(excluded=())
      chosen = self._router.pick(
          ask, candidates, self._own_zone, now, self._rng
      )
    return chosen

  def _start(
      self,
      queue: str,
      waiting: admission.Waiting,
      chosen: load.EndpointLoad,
      now: float,
  ) -> messages.Start:
    request = waiting.request
    number = self._number_by_request.get(request.request_id, 0) + 1
    self._number_by_request[request.request_id] = number
    rank = self._config.rank_by_name.get(request.rank)
    is_urgent = rank is not None and rank.is_urgent
    attempt = records.Attempt(
        f'{request.request_id}/{number}',
        chosen.name,
        chosen.address,
        waiting.next_index,
        PRIORITY_URGENT if is_urgent else PRIORITY_OTHER,
    )
    tokens = request.prompt_tokens + request.max_tokens
    sent = load.Sent(
        attempt.attempt_id,
        request.request_id,
        waiting.cost_s,
        request.prompt_tokens + waiting.next_index,
        -(-tokens // PIECE_TOKENS),
        now,
    )
    chosen.add(sent)
    self._running_by_attempt[attempt.attempt_id] = Running(
        waiting, queue, attempt
    )
    self._journal.note(
        request.request_id,
        f'{attempt.attempt_id} to {chosen.name}: in_flight={chosen.in_flight}'
        f' waited_s={now - waiting.queued_at:.3f}',
    )
    return messages.Start(request.request_id, attempt, None)

  def _refuse(
      self, request_id: str, error: errors.RequestError
  ) -> messages.Refuse:
    self._number_by_request.pop(request_id, None)
    count = self._refused_by_kind.get(error.kind, 0)
    self._refused_by_kind[error.kind] = count + 1
    self._journal.note(
        request_id,
        f'refused: {error.kind}: {error},'
        f' retry_after_s={error.retry_after_s:.3f}',
    )
    return messages.Refuse(request_id, error)


def _offers(report: records.EngineReport) -> tuple:
  """Returns the parts of a report that decide where it is a candidate."""
  return report.models, report.role, report.is_draining
