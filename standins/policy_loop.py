"""A quick loop that measures policies over the pure dispatcher.

It drives dispatchers and fluid engines by an event heap in simulated time, so
that a minute of load takes seconds and a change of policy can be judged at
once. It stands beside the bench with real processes and does not replace it:
what counts is measured there.
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
from standins import policy_engine

NET_S = 0.001
RESEND_S = 0.02
TRANSFER_S = 0.02
PLAN_EVERY_S = 1.0
TICK_S = 0.02
REPORT_EVERY_S = 0.25
PEERS_EVERY_S = 1.0


class Record:
  """What became of one request."""

  def __init__(self, request, length, entry):
    self.request = request
    self.length = length
    self.entry = entry
    self.made = 0
    self.work_tokens = 0
    self.failed = []
    self.first_at = None
    self.end_at = None
    self.error = None
    self.refused_after_s = 0.0
    self.returns = 0


class Loop:
  """Dispatchers, engines and arrivals under one simulated clock."""

  def __init__(
      self,
      make_dispatcher: Callable[[str, str, int], dispatch.Dispatcher],
      config: records.Config,
      entries: int = 3,
      engines: int = 12,
      lag_s: float = 0.3,
      spec: policy_engine.EngineSpec = policy_engine.DEFAULT_SPEC,
  ):
    self.now = 0.0
    self.crashes = 0
    self.record_by_request: dict[str, Record] = {}
    self.lag_s = lag_s
    self.comes_back = False
    self.crasher_repeats = 6
    self.crash_after_tokens = 0
    self._events = []
    self._order = itertools.count()
    self._rng = random.Random(5)
    self.engine_by_name = {}
    for number in range(engines):
      zone = f'z{number % 3}'
      name = f'engine-{number}'
      self.engine_by_name[name] = policy_engine.Engine(self, name, zone, spec)
    self.dispatchers = []
    for number in range(entries):
      made = make_dispatcher(f'entry-{number}', f'z{number % 3}', number)
      made.handle(messages.ConfigSeen(config), 0.0)
      self.dispatchers.append(made)
    self.tell_hosts()
    self._send_reports()
    self._tick()
    self._tell_peers()

  def after(self, delay_s, action, *arguments):
    """Plans an action."""
    event = (self.now + delay_s, next(self._order), action, arguments)
    heapq.heappush(self._events, event)

  def run(self, until):
    """Runs all events up to a time."""
    while self._events and self._events[0][0] <= until:
      self.now, _, action, arguments = heapq.heappop(self._events)
      action(*arguments)
    self.now = until

  def arrive(self, request, length, entry):
    """Submits a request now."""
    record = self.record_by_request.get(request.request_id)
    if record is None:
      record = Record(request, length, entry)
      self.record_by_request[request.request_id] = record
    else:
      record.returns += 1
    record.request = request
    record.entry = entry
    record.error = None
    self._submit(record)

  def _submit(self, record):
    message = messages.Submit(record.request, record.made, tuple(record.failed))
    self.tell(record.entry, message)

  def tell(self, entry, message):
    """Hands a message to a dispatcher and runs its effects."""
    for effect in self.dispatchers[entry].handle(message, self.now):
      record = self.record_by_request[effect.request_id]
      if isinstance(effect, messages.Refuse):
        self._refused(record, effect.error)
        continue
      job = policy_engine.Job(
          effect, entry, record.request, record.length, next(self._order)
      )
      if effect.prefill_attempt is not None:
        job.attempt = effect.prefill_attempt
      engine = self.engine_by_name[job.attempt.endpoint]
      self.after(NET_S, engine.add, job)

  def _refused(self, record, error):
    record.error = error
    record.end_at = self.now
    record.refused_after_s = self.now - record.request.arrived_at
    if 'crash=always' in record.request.prompt:
      self._send_crasher_again(record)
      return
    if not self.comes_back or error.retry_after_s <= 0 or record.returns:
      return
    old = record.request
    arrived_at = self.now + error.retry_after_s
    again = old._replace(
        arrived_at=arrived_at,
        deadline_at=arrived_at + old.deadline_at - old.arrived_at,
    )
    entry = self._rng.randrange(len(self.dispatchers))
    self.after(error.retry_after_s, self.arrive, again, record.length, entry)

  def _send_crasher_again(self, record):
    """Sends a crashing request again at once, to another host, as new."""
    if record.returns >= self.crasher_repeats:
      return
    entry = (record.entry + 1) % len(self.dispatchers)
    again = record.request._replace(
        request_id=f'{record.request.request_id}+',
        arrived_at=self.now + RESEND_S,
        deadline_at=self.now + RESEND_S + 40.0,
    )
    fresh = Record(again, record.length, entry)
    fresh.returns = record.returns + 1
    self.record_by_request[again.request_id] = fresh
    self.after(RESEND_S, self._submit, fresh)

  def token(self, job):
    """Notes a token, and the end of the answer with the last one."""
    request_id = job.start.request_id
    record = self.record_by_request[request_id]
    attempt = job.start.attempt
    is_crasher = 'crash=always' in record.request.prompt
    if is_crasher and job.made >= self.crash_after_tokens:
      self.engine_by_name[attempt.endpoint].crash()
      return
    job.made += 1
    record.made += 1
    if job.made == 1:
      if record.first_at is None:
        record.first_at = self.now
      message = messages.FirstToken(request_id, attempt.attempt_id)
      self.tell(job.owner, message)
    if job.made >= job.left:
      record.end_at = self.now
      self.end(job, messages.OUTCOME_WHOLE)

  def end(self, job, outcome):
    """Tells the end of an attempt, and asks again for one that was cut."""
    record = self.record_by_request[job.start.request_id]
    attempt = job.attempt
    self.engine_by_name[attempt.endpoint].jobs.pop(attempt.attempt_id, None)
    if attempt is job.start.prefill_attempt:
      # The engine that decodes gets no KV cache and refuses.
      self._tell_end(job, attempt, outcome)
      attempt = job.start.attempt
    record.work_tokens += job.made
    if outcome != messages.OUTCOME_WHOLE:
      record.failed.append(attempt.endpoint)
    self._tell_end(job, attempt, outcome)
    if outcome != messages.OUTCOME_WHOLE:
      self._submit(record)

  def _tell_end(self, job, attempt, outcome):
    message = messages.AttemptEnded(
        job.start.request_id,
        attempt.attempt_id,
        attempt.endpoint,
        outcome,
        job.made,
        0,
        0,
    )
    self.tell(job.owner, message)

  def prefilled(self, job):
    """Moves a job to the engine that decodes it."""
    prefiller = self.engine_by_name[job.attempt.endpoint]
    del prefiller.jobs[job.attempt.attempt_id]
    self._tell_end(job, job.attempt, messages.OUTCOME_WHOLE)
    job.attempt = job.start.attempt
    engine = self.engine_by_name[job.attempt.endpoint]
    self.after(TRANSFER_S, engine.add, job)

  def plan_roles(self, planner):
    """Lets a planner change roles once a second."""
    demand = [0.0, 0.0]
    for dispatcher in self.dispatchers:
      told = dispatcher.snapshot(self.now).demand_by_model
      for index, value in enumerate(told.get('m', (0.0, 0.0))):
        demand[index] += value
    told = {'m': role_planner.RoleDemand(*demand)}
    planner.record_demand(told, self.now)
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
        engine.take_role(role)
    self.after(PLAN_EVERY_S, self.plan_roles, planner)

  def tell_hosts(self):
    """Tells every dispatcher the list of hosts."""
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
      self.tell(entry, messages.HostsSeen(tuple(hosts)))

  def _send_reports(self):
    for engine in self.engine_by_name.values():
      if not engine.is_up:
        continue
      report = engine.report()._replace(age_s=self.lag_s)
      self.after(self.lag_s, self._deliver, report)
    self.after(REPORT_EVERY_S, self._send_reports)

  def _deliver(self, report):
    for entry in range(len(self.dispatchers)):
      self.tell(entry, messages.ReportSeen(report))

  def _tell_peers(self):
    for sender, dispatcher in enumerate(self.dispatchers):
      told = dispatcher.make_peer_message(self.now)
      for entry in range(len(self.dispatchers)):
        if entry != sender:
          self.after(NET_S, self.tell, entry, told)
    self.after(PEERS_EVERY_S, self._tell_peers)

  def _tick(self):
    for entry in range(len(self.dispatchers)):
      self.tell(entry, messages.Tick())
    self.after(TICK_S, self._tick)
