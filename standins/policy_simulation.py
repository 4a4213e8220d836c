"""Discrete-event simulation of dispatchers and engines, to compare policies.

It runs the real dispatchers against simulated engines and a simulated clock,
so that a minute of load takes a few seconds. It leaves out sockets, threads
and processes; final figures come from `bench_policy`, which uses real
processes.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from mulberrypick.core import dispatch
from mulberrypick.core import messages
from mulberrypick.core import reconcile
from mulberrypick.core import records
from mulberrypick.core import role_planner
from standins import simulated_engine

NETWORK_DELAY_S = 0.001
RESEND_DELAY_S = 0.02
KV_TRANSFER_S = 0.02
PLAN_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 0.25
PEER_MESSAGE_INTERVAL_S = 1.0


class RequestRecord:
  """Progress and result of one request."""

  def __init__(self, request, length, entry):
    self.request = request
    self.length = length
    self.entry = entry
    self.generated_tokens = 0
    self.total_generated_tokens = 0
    self.failed_endpoints = []
    self.first_token_at = None
    self.ended_at = None
    self.error = None
    self.refused_after_s = 0.0
    self.retries = 0


class Simulation:
  """Dispatchers, engines and arrivals that share one simulated clock."""

  def __init__(
      self,
      make_dispatcher: Callable[[str, str, int], dispatch.Dispatcher],
      config: records.Config,
      entries: int = 3,
      engines: int = 12,
      report_lag_s: float = 0.3,
      spec: simulated_engine.EngineSpec = simulated_engine.DEFAULT_SPEC,
  ):
    self.now = 0.0
    self.crashes = 0
    self.record_by_request_id: dict[str, RequestRecord] = {}
    self.report_lag_s = report_lag_s
    self.retries_refused = False
    self.max_crash_resends = 6
    self.crash_after_tokens = 0
    self._events = []
    self._order = itertools.count()
    self._rng = random.Random(5)
    self.engine_by_name = {}
    for number in range(engines):
      zone = f'z{number % 3}'
      name = f'engine-{number}'
      self.engine_by_name[name] = simulated_engine.Engine(
          self, name, zone, spec
      )
    self.dispatchers = []
    for number in range(entries):
      dispatcher = make_dispatcher(f'entry-{number}', f'z{number % 3}', number)
      dispatcher.handle(messages.ConfigSeen(config), 0.0)
      self.dispatchers.append(dispatcher)
    self.send_hosts()
    self._send_reports()
    self._tick()
    self._send_peer_messages()

  def schedule(self, delay_s, action, *arguments):
    """Schedules an action after a delay."""
    event = (self.now + delay_s, next(self._order), action, arguments)
    heapq.heappush(self._events, event)

  def run(self, until):
    """Runs all events that are due up to a time."""
    while self._events and self._events[0][0] <= until:
      self.now, _, action, arguments = heapq.heappop(self._events)
      action(*arguments)
    self.now = until

  def submit_arrival(self, request, length, entry):
    """Submits a request; counts a retry if its id was submitted before."""
    record = self.record_by_request_id.get(request.request_id)
    if record is None:
      record = RequestRecord(request, length, entry)
      self.record_by_request_id[request.request_id] = record
    else:
      record.retries += 1
    record.request = request
    record.entry = entry
    record.error = None
    self._submit(record)

  def _submit(self, record):
    message = messages.Submit(
        record.request, record.generated_tokens, tuple(record.failed_endpoints)
    )
    self.deliver_message(record.entry, message)

  def deliver_message(self, entry, message):
    """Passes a message to a dispatcher and executes its effects."""
    for effect in self.dispatchers[entry].handle(message, self.now):
      record = self.record_by_request_id[effect.request_id]
      if isinstance(effect, messages.Refuse):
        self._on_refused(record, effect.error)
        continue
      job = simulated_engine.Job(
          effect, entry, record.request, record.length, next(self._order)
      )
      if effect.prefill_attempt is not None:
        job.attempt = effect.prefill_attempt
      engine = self.engine_by_name[job.attempt.endpoint]
      self.schedule(NETWORK_DELAY_S, engine.add, job)

  def _on_refused(self, record, error):
    record.error = error
    record.ended_at = self.now
    record.refused_after_s = self.now - record.request.arrived_at
    if 'crash=always' in record.request.prompt:
      self._resend_crashing_request(record)
      return
    if not self.retries_refused or error.retry_after_s <= 0 or record.retries:
      return
    old = record.request
    arrived_at = self.now + error.retry_after_s
    retry = old._replace(
        arrived_at=arrived_at,
        deadline_at=arrived_at + old.deadline_at - old.arrived_at,
    )
    entry = self._rng.randrange(len(self.dispatchers))
    self.schedule(
        error.retry_after_s, self.submit_arrival, retry, record.length, entry
    )

  def _resend_crashing_request(self, record):
    """Sends a crashing request to the next entry host, under a new id."""
    if record.retries >= self.max_crash_resends:
      return
    entry = (record.entry + 1) % len(self.dispatchers)
    retry = record.request._replace(
        request_id=f'{record.request.request_id}+',
        arrived_at=self.now + RESEND_DELAY_S,
        deadline_at=self.now + RESEND_DELAY_S + 40.0,
    )
    resent = RequestRecord(retry, record.length, entry)
    resent.retries = record.retries + 1
    self.record_by_request_id[retry.request_id] = resent
    self.schedule(RESEND_DELAY_S, self._submit, resent)

  def on_token(self, job):
    """Records a generated token; the last one ends the attempt."""
    request_id = job.start.request_id
    record = self.record_by_request_id[request_id]
    attempt = job.start.attempt
    is_crashing = 'crash=always' in record.request.prompt
    if is_crashing and job.generated_tokens >= self.crash_after_tokens:
      self.engine_by_name[attempt.endpoint].crash()
      return
    job.generated_tokens += 1
    record.generated_tokens += 1
    if job.generated_tokens == 1:
      if record.first_token_at is None:
        record.first_token_at = self.now
      message = messages.FirstToken(request_id, attempt.attempt_id)
      self.deliver_message(job.owner, message)
    if job.generated_tokens >= job.remaining_tokens:
      record.ended_at = self.now
      self.on_attempt_end(job, messages.OUTCOME_WHOLE)

  def on_attempt_end(self, job, outcome):
    """Reports the end of an attempt, and resubmits the request if it failed."""
    record = self.record_by_request_id[job.start.request_id]
    attempt = job.attempt
    self.engine_by_name[attempt.endpoint].jobs.pop(attempt.attempt_id, None)
    if attempt is job.start.prefill_attempt:
      # Without KV cache from the prefill engine, the decode engine refuses its
      # attempt.
      self._send_attempt_ended(job, attempt, outcome)
      attempt = job.start.attempt
    record.total_generated_tokens += job.generated_tokens
    if outcome != messages.OUTCOME_WHOLE:
      record.failed_endpoints.append(attempt.endpoint)
    self._send_attempt_ended(job, attempt, outcome)
    if outcome != messages.OUTCOME_WHOLE:
      self._submit(record)

  def _send_attempt_ended(self, job, attempt, outcome):
    message = messages.AttemptEnded(
        job.start.request_id,
        attempt.attempt_id,
        attempt.endpoint,
        outcome,
        job.generated_tokens,
        0,
        0,
    )
    self.deliver_message(job.owner, message)

  def on_prefill_done(self, job):
    """Moves a prefilled job to the engine that decodes it."""
    prefiller = self.engine_by_name[job.attempt.endpoint]
    del prefiller.jobs[job.attempt.attempt_id]
    self._send_attempt_ended(job, job.attempt, messages.OUTCOME_WHOLE)
    job.attempt = job.start.attempt
    engine = self.engine_by_name[job.attempt.endpoint]
    self.schedule(KV_TRANSFER_S, engine.add, job)

  def plan_roles(self, planner):
    """Applies the role changes of a planner, and schedules the next round."""
    demand = [0.0, 0.0]
    for dispatcher in self.dispatchers:
      demand_by_model = dispatcher.snapshot(self.now).demand_by_model
      for index, value in enumerate(demand_by_model.get('m', (0.0, 0.0))):
        demand[index] += value
    role_demand_by_model = {'m': role_planner.RoleDemand(*demand)}
    planner.record_demand(role_demand_by_model, self.now)
    states = {}
    for name, engine in self.engine_by_name.items():
      states[name] = records.EngineState(
          name,
          engine.incarnation,
          engine.role,
          ('m@1',),
          0,
          0,
          bool(engine.next_role),
          False,
          len(engine.jobs),
      )
    view = reconcile.ZoneView('', {}, (), frozenset(), states, {}, frozenset())
    for name, role in planner.plan(view, self.now).items():
      engine = self.engine_by_name[name]
      if engine.role != role and not engine.next_role:
        engine.start_role_change(role)
    self.schedule(PLAN_INTERVAL_S, self.plan_roles, planner)

  def send_hosts(self):
    """Sends the list of hosts to every dispatcher."""
    hosts = []
    for engine in self.engine_by_name.values():
      host = records.Host(
          engine.name,
          engine.zone,
          records.HOST_ENGINE,
          '127.0.0.1:1',
          '',
          '',
          engine.incarnation,
          records.STATE_LIVE,
          True,
      )
      hosts.append(host)
    for number in range(len(self.dispatchers)):
      host = hosts[0]._replace(
          name=f'entry-{number}', kind=records.HOST_ENTRY, incarnation=1
      )
      hosts.append(host)
    for entry in range(len(self.dispatchers)):
      self.deliver_message(entry, messages.HostsSeen(tuple(hosts)))

  def _send_reports(self):
    for engine in self.engine_by_name.values():
      if not engine.is_up:
        continue
      report = engine.report()._replace(age_s=self.report_lag_s)
      self.schedule(self.report_lag_s, self._deliver_report, report)
    self.schedule(REPORT_INTERVAL_S, self._send_reports)

  def _deliver_report(self, report):
    for entry in range(len(self.dispatchers)):
      self.deliver_message(entry, messages.ReportSeen(report))

  def _send_peer_messages(self):
    for sender, dispatcher in enumerate(self.dispatchers):
      peer_message = dispatcher.make_peer_message(self.now)
      for entry in range(len(self.dispatchers)):
        if entry != sender:
          self.schedule(
              NETWORK_DELAY_S, self.deliver_message, entry, peer_message
          )
    self.schedule(PEER_MESSAGE_INTERVAL_S, self._send_peer_messages)

  def _tick(self):
    for entry in range(len(self.dispatchers)):
      self.deliver_message(entry, messages.Tick())
    self.schedule(TICK_INTERVAL_S, self._tick)
