"""Plays prompts and long streams on engines that prefill and decode.

Time advances in small steps. An engine prefills one prompt at a time, the most
urgent first. One of stage decode does so at half the speed and in small chunks
between the tokens of its streams, so that they slow each other down. One host
places all requests, knows their load exactly, and gives orders to engines.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import endpoint_limits
from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import permits
from mulberrypick.core import placements
from mulberrypick.core import request_placement
from mulberrypick.core import stage_balance
from mulberrypick.core import stage_planner
from mulberrypick.core import stage_switches
from mulberrypick.core import stream_meter

STEP_S = 0.004
CHECK_INTERVAL_S = 0.2
# Speeds of the engines.
PREFILL_TOKENS_PER_S = 500_000.0
DECODE_STEP_S = 0.0005
DECODE_STEP_PER_STREAM_S = 0.000004
DECODE_CHUNK_TOKENS = 512
TOKENS_PER_EVENT = 60
SLOTS = 64
# Time for which an engine is away after an order, once its streams have ended.
SWITCH_S = 3.0
# What callers ask for.
PROMPT_TOKENS = 6_500
PROMPT_TARGET_S = 0.15
STREAM_TOKENS = 6_000
MAX_STREAM_TOKENS = 14_000
STREAM_GAP_S = 0.15
STREAM_TIMEOUT_S = 15.0
# Time for which a prompt that was prefilled elsewhere decodes its short answer,
# and the time to transfer the KV cache of a token.
SHORT_ANSWER_S = 0.06
TRANSFER_TOKEN_S = 2.5e-7
SERVICE = gateway_records.Service('s', 300, 10_000_000, SLOTS, TRANSFER_TOKEN_S)


class Load(NamedTuple):
  """Requests that arrive.

  Attributes:
    prompts_per_s: Long prompts of rank 0 with short answers.
    streams_per_s: Long streams of rank 2 with short prompts.
  """

  prompts_per_s: float = 85.0
  streams_per_s: float = 8.0


class Job:
  """A request at an engine."""

  def __init__(
      self, call: gateway_records.Call, tokens: int, on_read: Callable[[], None]
  ):
    self.call = call
    self.left = float(tokens)
    self.on_read = on_read
    self.generated = 0.0
    self.decode_quarters = 0
    self.meter = stream_meter.StreamMeter()


class Engine:
  """One engine; its streams and its prompts slow each other down."""

  def __init__(self, endpoint: gateway_records.Endpoint, slowness: float):
    self.endpoint = endpoint
    self.queue: list[Job] = []
    self.streams: list[Job] = []
    self.slowness = slowness
    self.ordered: gateway_records.Stage | None = None
    self.back_at: float | None = None

  def advance(self, on_events: Callable[[Job, int], None]) -> None:
    """Works for one step."""
    left_s = STEP_S / self.slowness
    is_decoder = self.endpoint.stage is gateway_records.Stage.DECODE
    rate = PREFILL_TOKENS_PER_S / (2.0 if is_decoder else 1.0)
    step_s = DECODE_STEP_S + DECODE_STEP_PER_STREAM_S * len(self.streams)
    decoded_s = 0.0
    while left_s > 0.0 and self.queue:
      job = min(self.queue, key=lambda j: j.call.route.rank)
      tokens = min(DECODE_CHUNK_TOKENS, job.left)
      left_s -= tokens / rate
      if self.streams:
        left_s -= step_s
        decoded_s += step_s
      job.left -= tokens
      if job.left <= 0.0:
        self.queue.remove(job)
        job.on_read()
    steps = (decoded_s + max(0.0, left_s)) / step_s
    for job in list(self.streams):
      before = int(job.generated / TOKENS_PER_EVENT)
      job.generated = min(job.generated + steps, job.call.output_tokens)
      events = int(job.generated / TOKENS_PER_EVENT) - before
      if events or job.generated >= job.call.output_tokens:
        on_events(job, max(1, events))


class StreamOutcome(NamedTuple):
  """What became of a long stream.

  Attributes:
    arrived_at: When it arrived.
    tokens: Tokens of its answer.
    outcome: `in time`, `late` or `cut`.
  """

  arrived_at: float
  tokens: int
  outcome: str


class Outcomes:
  """What became of the requests.

  Attributes:
    prompts: By time of arrival, whether the first event was in time.
    streams: The streams that had a whole time limit to end.
  """

  def __init__(self):
    self.prompts: list[tuple[float, bool]] = []
    self.streams: list[StreamOutcome] = []

  def end(self, now: float) -> None:
    """Drops the streams that might still run: small ones end first."""
    settled = []
    for stream in self.streams:
      if stream.arrived_at <= now - STREAM_TIMEOUT_S:
        settled.append(stream)
    self.streams = settled

  def prompts_in_time(self, start_s: float = 0.0) -> float:
    """Returns the fraction of the prompts that were in time."""
    found = [is_ok for at, is_ok in self.prompts if at >= start_s]
    return sum(found) / max(1, len(found))

  def streams_in_time(self, start_s: float = 0.0) -> float:
    """Returns the fraction of the streams without a late event."""
    found = self._since(start_s)
    in_time = sum(stream.outcome == 'in time' for stream in found)
    return in_time / max(1, len(found))

  def served(self, start_s: float = 0.0) -> float:
    """Returns the fraction of the streams that were served whole."""
    return _served(self._since(start_s))

  def largest_served(self, start_s: float = 0.0) -> float:
    """Returns the fraction of the largest tenth that was served whole."""
    found = sorted(self._since(start_s), key=lambda stream: stream.tokens)
    return _served(found[-max(1, len(found) // 10) :])

  def _since(self, start_s: float) -> list[StreamOutcome]:
    return [s for s in self.streams if s.arrived_at >= start_s]


def _served(streams: list[StreamOutcome]) -> float:
  cut = sum(stream.outcome == 'cut' for stream in streams)
  return 1.0 - cut / max(1, len(streams))


class StagePlay:
  """Plays a load on engines that leave and join.

  Attributes:
    takes_orders: Whether engines execute orders.
    now: Present time.
    outcomes: What became of the requests.
    given: Orders by time.
  """

  def __init__(
      self, stages: dict[str, gateway_records.Stage], first_start_at=0.0
  ):
    self.takes_orders = True
    self.now = 0.0
    self.outcomes = Outcomes()
    self.given: list[tuple[float, stage_planner.StageOrder]] = []
    self._rng = random.Random(1)
    self._registry = endpoint_registry.EndpointRegistry()
    self.load = engine_load.EngineLoad()
    self.load.models.configure([SERVICE])
    self._short_answers: list[tuple[float, gateway_records.Endpoint, int]] = []
    known = permits.Permits(endpoint_limits.EndpointLimits(), self._rng)
    self.placer = request_placement.Placer(
        self._registry, self.load, self._rng, known
    )
    self.balance = stage_balance.StageBalance(first_start_at)
    self.engines: dict[str, Engine] = {}
    for name, stage in stages.items():
      self.join(name, stage)
    self._number = 0

  def join(
      self, name: str, stage: gateway_records.Stage, slowness: float = 1.0
  ) -> None:
    """Adds an engine."""
    endpoint = gateway_records.Endpoint(
        name, 1, 's', '127.0.0.1', 1, 'z', SLOTS, False, stage
    )
    self.engines[name] = Engine(endpoint, slowness)
    self._list()

  def leave(self, name: str) -> None:
    """Removes an engine and ends what runs there."""
    engine = self.engines.pop(name)
    for job in engine.streams + engine.queue:
      self._end(job, 'cut')
    self.load.forget(name)
    self._list()

  def run(self, seconds: float, load: Load) -> None:
    """Plays a load for some time."""
    end = self.now + seconds
    next_check = self.now
    while self.now < end:
      self.now += STEP_S
      for rate, make in (
          (load.prompts_per_s, self._make_prompt),
          (load.streams_per_s, self._make_stream),
      ):
        if self._rng.random() < rate * STEP_S:
          self._place(make())
      for engine in list(self.engines.values()):
        self._finish_switch(engine)
        if engine.back_at is None:
          engine.advance(lambda j, n, e=engine: self._on_events(e, j, n))
      self._end_short_answers()
      if self.now >= next_check:
        next_check += CHECK_INTERVAL_S
        self._check_stages()

  def _list(self) -> None:
    endpoints = [engine.endpoint for engine in self.engines.values()]
    self._registry.replace_all(endpoints, self.now)

  def _make_call(self, tokens: int, output: int, **route):
    self._number += 1
    part = gateway_records.PromptPart(self._number, tokens)
    made = gateway_records.Route(
        hostname='h',
        path_prefix='/',
        kind=gateway_records.CallKind.STREAM,
        share_by_service={'s': 1},
        attempts=1,
        is_resumable=False,
        gap_s=STREAM_GAP_S,
        **route,
    )
    return gateway_records.Call(
        id=f'r{self._number}',
        route=made,
        service='s',
        parts=(part,),
        prompt_tokens=tokens,
        output_tokens=output,
        fingerprint=self._number,
        arrived_at=self.now,
        deadline_at=self.now + made.timeout_s,
    )

  def _make_prompt(self) -> gateway_records.Call:
    tokens = round(PROMPT_TOKENS * (0.5 + self._rng.random()))
    return self._make_call(
        tokens, 100, name='p', timeout_s=2.0, target_s=PROMPT_TARGET_S, rank=0
    )

  def _make_stream(self) -> gateway_records.Call:
    output = min(
        MAX_STREAM_TOKENS, round(STREAM_TOKENS * self._rng.lognormvariate(0, 1))
    )
    output = max(placements.LONG_OUTPUT_TOKENS, output)
    return self._make_call(
        160, output, name='s', timeout_s=STREAM_TIMEOUT_S, target_s=0.4, rank=2
    )

  def _place(self, call: gateway_records.Call) -> None:
    excluded: set[tuple[str, int]] = set()
    while True:
      placed = self.placer.place(call, SERVICE, excluded, self.now)
      if isinstance(placed, placements.Refusal):
        self._record(call, 'cut')
        return
      reader = placed.prefiller or placed.endpoint
      if self.engines[reader.name].ordered is None:
        break
      # An engine that was ordered refuses requests until it has changed.
      excluded.add(reader.incarnation)
    own = self.load.own(reader)
    own.count += 1
    own.reads.add(id(call), placements.make_read(call, placed, self.now))
    engine = self.engines[reader.name]
    job = Job(call, placed.tokens, lambda: self._on_read(job, placed, engine))
    if placed.prefiller is None:
      self._add_decode_load(job, reader, False)
    engine.queue.append(job)

  def _add_decode_load(
      self, job: Job, runner: gateway_records.Endpoint, is_prefilled: bool
  ) -> None:
    job.decode_quarters = placements.decode_slot_quarters(
        job.call, is_prefilled
    )
    self.load.own(runner).decoding += job.decode_quarters

  def _on_read(
      self, job: Job, placed: placements.Placement, engine: Engine
  ) -> None:
    call, own = job.call, self.load.own(engine.endpoint)
    own.reads.remove(id(call))
    took_s = self.now - call.arrived_at
    self.load.observe_prefill(
        engine.endpoint, placed.tokens_ahead, took_s, self.now
    )
    runner = engine.endpoint
    if placed.prefiller is not None:
      own.count -= 1
      runner = self.placer.choose_decoder(
          call, set(), self.now, placed.prefiller
      )
      engine = self.engines[runner.name]
      own = self.load.own(runner)
      own.count += 1
      self._add_decode_load(job, runner, True)
    if placements.is_long_output(call):
      self._measure(engine, job, 1)
      engine.streams.append(job)
      return
    self._short_answers.append(
        (self.now + SHORT_ANSWER_S, runner, job.decode_quarters)
    )
    self._record(call, 'in time' if took_s <= PROMPT_TARGET_S else 'late')

  def _end_short_answers(self) -> None:
    while self._short_answers and self._short_answers[0][0] <= self.now:
      _, runner, quarters = self._short_answers.pop(0)
      own = self.load.own(runner)
      own.count -= 1
      own.decoding -= quarters

  def _measure(self, engine: Engine, job: Job, events: int) -> None:
    beside = self.load.backlog(engine.endpoint, self.now)
    pause_s = job.meter.record(events, beside, self.now)
    if pause_s is not None:
      self.load.observe_event(engine.endpoint, pause_s, self.now)

  def _on_events(self, engine: Engine, job: Job, events: int) -> None:
    call = job.call
    self._measure(engine, job, events)
    is_over = self.now > call.deadline_at
    if job.generated < call.output_tokens and not is_over:
      return
    engine.streams.remove(job)
    own = self.load.own(engine.endpoint)
    own.count -= 1
    own.decoding -= job.decode_quarters
    if not is_over:
      self.placer.outlook.record_end(call, job.meter.events)
    is_late = job.meter.longest_pause_s > STREAM_GAP_S
    self._end(job, 'cut' if is_over else 'late' if is_late else 'in time')

  def _end(self, job: Job, outcome: str) -> None:
    self._record(job.call, outcome)

  def _record(self, call: gateway_records.Call, outcome: str) -> None:
    if placements.is_long_output(call):
      self.outcomes.streams.append(
          StreamOutcome(call.arrived_at, call.output_tokens, outcome)
      )
      return
    self.outcomes.prompts.append((call.arrived_at, outcome == 'in time'))

  def _check_stages(self) -> None:
    uses = []
    for engine in self.engines.values():
      endpoint = engine.endpoint
      load = self.load.total(endpoint, self.now)
      uses.append(
          stage_balance.EngineUse(
              endpoint,
              load.urgent_tokens + load.other_tokens,
              load.decoding,
              self.placer.fetches.capacity(endpoint),
              load.fetches,
              self.placer.fetches.max_fetches(endpoint),
              load.streams,
              engine.ordered is not None,
          )
      )
    if not self.takes_orders:
      return
    for order in self.balance.decide(uses, self.now):
      self.given.append((round(self.now, 1), order))
      engine = self.engines[order.endpoint.name]
      engine.ordered = order.stage
      report = stage_switches.SwitchReport(
          *order.endpoint.incarnation, 0, stage_switches.MAX_SWITCH_S
      )
      self._registry.switches.record(report, self.now)

  def _finish_switch(self, engine: Engine) -> None:
    if engine.ordered is None:
      return
    if engine.back_at is None:
      if not engine.streams and not engine.queue:
        engine.back_at = self.now + SWITCH_S
      return
    if self.now < engine.back_at:
      return
    endpoint = engine.endpoint._replace(stage=engine.ordered)
    engine.endpoint, engine.ordered, engine.back_at = endpoint, None, None
    self._registry.switches.end(endpoint.incarnation, self.now)
    self._list()
