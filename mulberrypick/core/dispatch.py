"""The dispatcher: every decision about requests for models, as a pure machine.

It answers each message with effects and keeps no clock, socket or thread, so
that a test or a bench can drive it as fast as it likes. The task that owns it
runs the effects. What may vary is behind `Router` and `Admission`; this module
only keeps the books: who waits, what runs where, and who is told what.
"""

import collections
import random
from typing import NamedTuple

import xxhash

from mulberrypick.core import cost
from mulberrypick.core import errors
from mulberrypick.core import fleet
from mulberrypick.core import journal
from mulberrypick.core import load
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing
from mulberrypick.core import shares
from mulberrypick.core import waiting as waiting_base

PRIORITY_URGENT = 10
PRIORITY_OTHER = 0
RETRY_AFTER_S = 2.0
PART_EVERY_S = 1.0
# Requests whose attempts are counted; one that is gone starts again at 1.
NUMBERS_KEPT = 20000


class Running(NamedTuple):
  """An attempt under way."""

  waiting: waiting_base.Waiting
  queue: str
  attempt: records.Attempt


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
  endpoints: tuple[fleet.EndpointStatus, ...]
  waiting_by_rank: dict[str, int]
  running: int
  refused_by_kind: dict[str, int]
  quarantined: int


def queue_name(model: str, adapter: str) -> str:
  """Returns the name that reports use for a model and its adapter."""
  return f'{model}+{adapter}' if adapter else model


def fingerprint(request: records.InferenceRequest) -> int:
  """Returns the hash of what an endpoint is given to run."""
  text = f'{request.model}|{request.adapter}|{request.prompt}'
  return xxhash.xxh64_intdigest(text.encode())


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
    self._own_zone = own_zone
    self._router = router
    self._admission = admission
    self._rng = random.Random(seed)
    self._config = records.EMPTY_CONFIG
    self._strictest_s = 0.0
    self._part_at = 0.0
    self._entries = 1
    self._fleet = fleet.Fleet()
    self._cost = cost.CostModel()
    self._running_by_attempt: dict[str, Running] = {}
    self._number_by_request: collections.OrderedDict[str, int] = (
        collections.OrderedDict()
    )
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
    digest = self._admission.digest(now)
    return messages.PeerSeen(
        self._own_name,
        self._fleet.cost_by_endpoint(),
        digest.used_by_tenant,
        (),
        self._fleet.leaving(),
        digest.used_by_rank,
        digest.waiting_by_rank,
        booked=digest.booked,
    )

  def snapshot(self, now: float) -> DispatcherStatus:
    """Returns the state for the status page."""
    return DispatcherStatus(
        self._config.generation,
        self._fleet.statuses(now),
        self._admission.waiting_by_rank(),
        len(self._running_by_attempt),
        dict(self._refused_by_kind),
        0,
    )

  def _submit(self, message, now):
    request = message.request
    if request.deadline_at <= now:
      error = errors.DeadlineError('the deadline has passed')
      return [self._refuse(request.request_id, error)]
    queue = queue_name(request.model, request.adapter)
    if not self._fleet.pool(queue).all:
      error = errors.UnavailableError(
          f'no live endpoint holds {queue}', retry_after_s=RETRY_AFTER_S
      )
      return [self._refuse(request.request_id, error)]
    waiting = waiting_base.Waiting(
        request,
        message.next_index,
        message.failed_endpoints,
        self._cost.cost(queue, request, message.next_index),
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
    running = self._running_by_attempt.get(message.attempt_id)
    if running is None:
      return []
    known = self._fleet.endpoint(running.attempt.endpoint)
    if known is not None:
      known.see_first_token(message.attempt_id)
    return self._pump(running.queue, now)

  def _attempt_ended(self, message, now):
    running = self._running_by_attempt.pop(message.attempt_id, None)
    if running is None:
      return []
    self._journal.note(
        message.request_id,
        f'{message.attempt_id} on {message.endpoint}: {message.outcome},'
        f' tokens={message.tokens}',
    )
    known = self._fleet.endpoint(message.endpoint)
    if known is not None:
      known.remove(message.attempt_id, now)
    self._fleet.rest_after(message.endpoint, message.outcome, now)
    if message.outcome == messages.OUTCOME_WHOLE:
      tokens = running.waiting.next_index + message.tokens
      self._cost.see_output(running.waiting.request, tokens)
    if message.outcome in (messages.OUTCOME_WHOLE, messages.OUTCOME_CANCELLED):
      self._number_by_request.pop(message.request_id, None)
    return self._pump(running.queue, now)

  def _config_seen(self, message, now):
    if message.config.generation <= self._config.generation:
      return []
    self._config = message.config
    self._strictest_s = _strictest_between(message.config)
    self._admission.configure(message.config)
    return self._pump_all(now)

  def _hosts_seen(self, message, now):
    self._fleet.see_hosts(message.hosts)
    self._set_capacities()
    return self._pump_all(now)

  def _report_seen(self, message, now):
    if not self._fleet.see_report(message.report, now):
      return []
    self._cost.see_report(message.report)
    self._set_capacities()
    effects = []
    for queue in message.report.models:
      effects += self._pump(queue, now)
    return effects

  def _peer_seen(self, message, now):
    self._fleet.see_leaving(message.leaving)
    self._fleet.see_peer_load(message.peer, message.in_flight_by_endpoint, now)
    digest = shares.Digest(
        message.used_by_tenant,
        message.used_by_rank,
        message.waiting_by_rank,
        message.booked,
    )
    self._admission.see_peer(message.peer, digest, now)
    return self._pump_all(now)

  def _tick(self, message, now):
    del message
    self._part(now)
    effects = []
    for refusal in self._admission.expire(now):
      request_id = refusal.waiting.request.request_id
      effects.append(self._refuse(request_id, refusal.error))
    return effects + self._pump_all(now)

  def _set_capacities(self) -> None:
    self._entries = entries = self._fleet.entry_count()
    for queue, engines in self._fleet.engines_by_queue().items():
      self._admission.set_capacity(queue, engines / entries)

  def _part(self, now: float) -> None:
    """Sizes the quiet part of each queue, once a second."""
    if now < self._part_at:
      return
    self._part_at = now + PART_EVERY_S
    for queue in self._fleet.engines_by_queue():
      demand = self._admission.demand(queue, now)
      if demand is not None:
        self._fleet.part(queue, demand)

  def _pump_all(self, now: float) -> list[messages.Effect]:
    effects = []
    for queue in self._admission.queues():
      effects += self._pump(queue, now)
    return effects

  def _pump(self, queue: str, now: float) -> list[messages.Effect]:
    """Starts waiting requests of a queue while endpoints have room."""
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
      return self._start(queue, waiting, chosen, now)
    return None

  def _choose(
      self, queue: str, waiting: waiting_base.Waiting, now: float
  ) -> load.EndpointLoad | None:
    pool = self._fleet.pool(queue)
    if not pool.all:
      return None
    ask = self._make_ask(queue, waiting, now)
    chosen = self._router.pick(ask, pool, self._own_zone, now, self._rng)
    if chosen is None and ask.excluded:
      # Better an endpoint that refused it before than none at all.
      ask = ask._replace(excluded=())
      chosen = self._router.pick(ask, pool, self._own_zone, now, self._rng)
    return chosen

  def _make_ask(
      self, queue: str, waiting: waiting_base.Waiting, now: float
  ) -> routing.Ask:
    request = waiting.request
    rank = self._config.rank_by_name.get(request.rank)
    return routing.Ask(
        rank is not None and rank.is_urgent,
        request.prompt_tokens + waiting.next_index,
        waiting.cost.output_tokens,
        waiting.cost.pieces,
        rank.between_tokens_s if rank is not None else 0.0,
        self._strictest_s,
        waiting.cost.stretch_s,
        self._cost.speeds(queue),
        self._entries,
        self._admission.room(queue, waiting, now),
        (),
        waiting.failed_endpoints,
    )

  def _is_urgent(self, request: records.InferenceRequest) -> bool:
    rank = self._config.rank_by_name.get(request.rank)
    return rank is not None and rank.is_urgent

  def _start(
      self,
      queue: str,
      waiting: waiting_base.Waiting,
      chosen: load.EndpointLoad,
      now: float,
  ) -> messages.Start:
    request = waiting.request
    is_urgent = self._is_urgent(request)
    attempt = records.Attempt(
        f'{request.request_id}/{self._next_number(request.request_id)}',
        chosen.name,
        chosen.address,
        waiting.next_index,
        PRIORITY_URGENT if is_urgent else PRIORITY_OTHER,
    )
    sent = load.Sent(
        attempt.attempt_id,
        is_urgent,
        waiting.cost.engine_s,
        request.prompt_tokens + waiting.next_index,
        waiting.cost.pieces,
        waiting.cost.stretch_s,
        now,
    )
    chosen.add(sent)
    running = Running(waiting, queue, attempt)
    self._running_by_attempt[attempt.attempt_id] = running
    self._journal.note(
        request.request_id,
        f'{attempt.attempt_id} to {chosen.name}: in_flight={chosen.in_flight}'
        f' waited_s={now - waiting.queued_at:.3f}',
    )
    return messages.Start(request.request_id, attempt, None)

  def _next_number(self, request_id: str) -> int:
    number = self._number_by_request.get(request_id, 0) + 1
    self._number_by_request[request_id] = number
    if len(self._number_by_request) > NUMBERS_KEPT:
      self._number_by_request.popitem(last=False)
    return number

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


def _strictest_between(config: records.Config) -> float:
  """Returns the strictest target of the time between tokens, 0 for none."""
  targets = []
  for rank in config.rank_by_name.values():
    if rank.between_tokens_s > 0.0:
      targets.append(rank.between_tokens_s)
  return min(targets, default=0.0)
