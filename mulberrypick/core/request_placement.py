"""Chooses the endpoint for a request, or refuses the request.

When many long prompts arrive at once, there are too few prefill engines, and a
request that is queued after prompts with seconds of prefill is late on every
engine. The time to the first event is therefore predicted from the uncached
tokens that are queued ahead of the request. A request whose predicted time
exceeds its limit is refused at once. Decode engines can prefill too, more
slowly, and do so when the prefill engines are busy.
"""

import random
from typing import NamedTuple

from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import engine_models
from mulberrypick.core import engine_roles
from mulberrypick.core import fetch_load
from mulberrypick.core import gateway_records
from mulberrypick.core import permits
from mulberrypick.core import placements
from mulberrypick.core import rendezvous
from mulberrypick.core import size_fairness
from mulberrypick.core import stream_outlook

# A prompt is sent to another engine than the first in its preference order only
# if that gains at least the time to prefill this many tokens of its shared
# parts: parts cached on one engine have to be prefilled again on another.
MIN_AFFINITY_GAIN_TOKENS = 1_600
# Cost of a full engine for a long stream, in proportion less on an engine with
# fewer requests. It is added to the predicted time when engines are compared.
FULL_ENGINE_COST_S = 0.02
# Cost of running long streams and prefill on the same engine, added to the
# predicted time when engines are compared.
STREAM_INTERFERENCE_COST_S = 0.1
# Fraction of the target that a predicted time may use. The rest covers errors
# of the prediction.
MAX_TARGET_FRACTION = 0.85
# Cost of the time in which a prompt keeps an engine from others, relative to
# its own waiting time. Without it, long prompts go to decode engines, which
# take more than twice as long for them, and short ones wait behind them there.
BLOCKING_COST = 1.5
# Fraction of the target that a request may wait for others although it will be
# late: a long prompt alone may take most of the target, and does not get faster
# by coming back. In a flood the waiting time is longer.
MAX_LATE_WAIT_FRACTION = 0.5
# A prompt whose prefill takes no longer than this fraction of its target is
# sent even if it will be late: it hardly delays others, and a late answer is
# better than none.
NEGLIGIBLE_PREFILL_FRACTION = 0.013
# Fraction of decisions in which an engine that is believed to be full is still
# considered, to find out whether it accepts requests.
FULL_PROBE_FRACTION = 0.02
# Retry-After when all engines are full. About eight prompts of 13 ms each are
# prefilled in this time.
FULL_RETRY_AFTER_S = 0.1
# Largest fraction of the remaining time that a request to a plain endpoint, one
# that is no model engine, may be predicted to take.
MAX_PLAIN_WAIT_FRACTION = 0.6
# Bounds of Retry-After.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Largest fraction of the remaining time that Retry-After may take.
RETRY_AFTER_FRACTION = 0.33


class _Option(NamedTuple):
  cost_s: float
  placement: placements.Placement


class Placer:
  """Chooses endpoints by the known state and load of each.

  Attributes:
    affinity_spread_s: Cost in seconds, added to the predicted time, of the last
      engine in the preference order of a request compared with the first. The
      order is a hash of the request's shared prompt part. When load reports are
      late, all hosts see the same engine as the least loaded; the spread sends
      requests with different shared parts to different engines and keeps those
      with the same part together.
    hosts: Number of live hosts.
    fetches: How much decode load engines take.
    outlook: What is expected of long streams.
  """

  def __init__(
      self,
      registry: endpoint_registry.EndpointRegistry,
      load: engine_load.EngineLoad,
      rng: random.Random,
      known_permits: permits.Permits,
  ):
    self.affinity_spread_s = 0.0
    self.hosts = 1
    self.fetches = fetch_load.FetchLoad(load.models)
    self.outlook = stream_outlook.StreamOutlook(load)
    self._roles = engine_roles.EngineRoles(load, self.fetches)
    self._permits = known_permits
    self._registry = registry
    self._load = load
    self._rng = rng
    self._fairness_by_route: dict[str, size_fairness.SizeFairness] = {}

  def place(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      excluded: set[tuple[str, int]],
      now: float,
  ) -> placements.Placement | placements.Refusal:
    """Chooses the endpoint of a request, or refuses the request.

    Args:
      call: The request.
      service: Its service.
      excluded: Incarnations that the request was already sent to.
      now: Time on the event loop's clock.
    """
    endpoints, limited = [], []
    is_urgent = call.route.rank == 0
    for endpoint in self._registry.usable(call.service, now):
      if endpoint.incarnation in excluded or not call.may_run_at(endpoint):
        continue
      if self._permits.may_send(endpoint.incarnation, is_urgent, now):
        endpoints.append(endpoint)
      else:
        limited.append(endpoint)
    placement = self._place_at(call, service, endpoints, now)
    if not limited:
      return placement
    if isinstance(placement, placements.Refusal):
      return self._refuse_limited(call, placement, limited, now)
    self._permits.probe([e.incarnation for e in limited], self.hosts, now)
    return placement

  def _place_at(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      endpoints: list[gateway_records.Endpoint],
      now: float,
  ) -> placements.Placement | placements.Refusal:
    if not endpoints:
      return self._refuse_without_endpoint(call, 'no_endpoint', now)
    if placements.is_long_output(call):
      self.outlook.record_call(call)
    if service.is_engine:
      return self._place_engine(call, service, endpoints, now)
    return self._place_plain(call, endpoints, now)

  def _refuse_without_endpoint(
      self, call: gateway_records.Call, reason: str, now: float
  ) -> placements.Refusal:
    """Refuses a request that no endpoint may run now."""
    wait_s = self._registry.hold_off_wait_s(call.service, now)
    if wait_s is not None:
      # A shorter time would not be true.
      return placements.Refusal('held_off', wait_s)
    return placements.Refusal(reason, self._retry_after(call, 0.5, now))

  def _refuse_limited(
      self,
      call: gateway_records.Call,
      refusal: placements.Refusal,
      limited: list[gateway_records.Endpoint],
      now: float,
  ) -> placements.Refusal:
    """Asks for permits to send a request that no other endpoint may run."""
    runners = []
    for endpoint in limited:
      if endpoint.stage is not gateway_records.Stage.PREFILL:
        runners.append(endpoint)
    wanted = [endpoint.incarnation for endpoint in runners or limited]
    is_urgent = call.route.rank == 0
    refusal = refusal._replace(
        awaits_permit=self._permits.want(wanted, is_urgent, now)
    )
    if refusal.reason in ('no_endpoint', 'no_decode_endpoint'):
      wait_s = self._permits.wait_s(wanted, is_urgent, now)
      refusal = refusal._replace(
          reason='limited', retry_after_s=self._retry_after(call, wait_s, now)
      )
    return refusal

  def place_decode(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      now: float,
  ) -> gateway_records.Endpoint | None:
    """Returns another decode engine for a prefilled prompt, or None."""
    runners = self._usable_runners(call, excluded, now)
    return self._least_busy(runners, now) if runners else None

  def choose_decoder(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      now: float,
      prefiller: gateway_records.Endpoint,
  ) -> gateway_records.Endpoint | None:
    """Returns the best decode engine when a prompt has been prefilled, or None.

    Answers load pattern: many prompts are prefilled at the same time. They put
    no load on decode engines until their prefill has ended, so that all would
    go to the engine that had the least load before.
    """
    runners = self._usable_runners(call, excluded, now)
    if not runners:
      return None
    roles = self._roles.split(runners, now)
    decoders = roles.decoders
    if placements.is_long_output(call):
      others = roles.overflow + roles.draining
      in_time = self.outlook.filter_in_time(call, decoders, now)
      in_time = in_time or self.outlook.filter_in_time(call, others, now)
      decoders = in_time or decoders
    accepting = [e for e in decoders if not self._load.is_full(e, now)]
    chosen = self._least_busy(
        accepting or decoders, now, prefiller, call.prompt_tokens
    )
    self.fetches.record(call, prefiller, chosen)
    return chosen

  def split(self, service: str, now: float) -> placements.EngineSplit | None:
    """Returns how the engines of a service are used, None without any."""
    prefillers, runners = [], []
    for endpoint in self._registry.usable(service, now):
      if endpoint.stage is gateway_records.Stage.PREFILL:
        prefillers.append(endpoint.name)
      if endpoint.stage is gateway_records.Stage.DECODE:
        runners.append(endpoint)
    if not prefillers and not runners:
      return None
    roles = self._roles.split(runners, now)
    return placements.EngineSplit(
        tuple(sorted(prefillers)),
        tuple(runner.name for runner in roles.decoders),
        tuple(runner.name for runner in roles.overflow),
        tuple(runner.name for runner in roles.draining),
        sum(self._load.total(runner, now).decoding for runner in runners),
        sum(self.fetches.capacity(runner) for runner in roles.decoders),
    )

  def _usable_runners(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      now: float,
  ) -> list[gateway_records.Endpoint]:
    """Returns the engines that may decode a request now."""
    runners = []
    is_urgent = call.route.rank == 0
    for endpoint in self._registry.usable(call.service, now):
      if endpoint.stage is gateway_records.Stage.PREFILL:
        continue
      if endpoint.incarnation in excluded or not call.may_run_at(endpoint):
        continue
      if self._permits.may_send(endpoint.incarnation, is_urgent, now):
        runners.append(endpoint)
    return runners

  def _place_engine(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      endpoints: list[gateway_records.Endpoint],
      now: float,
  ) -> placements.Placement | placements.Refusal:
    prefillers, runners = [], []
    for endpoint in endpoints:
      if endpoint.stage is gateway_records.Stage.PREFILL:
        prefillers.append(endpoint)
        continue
      runners.append(endpoint)
    if not runners:
      return self._refuse_without_endpoint(call, 'no_decode_endpoint', now)
    roles = self._roles.split(runners, now)
    decoders = roles.decoders
    has_streams = self.outlook.has_streams(call.service)
    candidates = engine_roles.runners_for(
        call, roles, bool(prefillers), has_streams
    )
    spare = engine_roles.spare_runners(call, roles, candidates)
    if not placements.is_urgent_stream(call):
      candidates = self._filter_accepting(candidates, now)
      spare = self._filter_accepting(spare, now)
      decoders = self._filter_accepting(decoders, now)
      prefillers = self._filter_accepting(prefillers, now) if decoders else []
    key = str(call.parts[-2].key) if len(call.parts) > 1 else call.id
    names = [e.name for e in prefillers + candidates + spare]
    preference = rendezvous.rank(key, names)
    options = []
    for runner in candidates:
      option = self._evaluate(call, service, runner, None, preference, now)
      options.append(option)
    runner = self._least_busy(decoders, now) if prefillers else None
    for prefiller in prefillers:
      option = self._evaluate(call, service, runner, prefiller, preference, now)
      options.append(option)
    best = min(options, key=lambda option: option.cost_s, default=None)
    if best is None or self._needs_spare(call, best.placement, now):
      best = self._find_spare(call, service, spare, preference, best, now)
    if best is None:
      return placements.Refusal(
          'full', self._retry_after(call, FULL_RETRY_AFTER_S, now)
      )
    return self._admit(call, best.placement, now)

  def _needs_spare(
      self,
      call: gateway_records.Call,
      placement: placements.Placement,
      now: float,
  ) -> bool:
    """Returns whether a request would be refused, or miss a target."""
    if placement.is_late or not self._is_worth_sending(call, placement):
      return True
    return placements.is_long_output(call) and self.outlook.is_late(
        call, placement.endpoint, now
    )

  def _find_spare(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      spare: list[gateway_records.Endpoint],
      preference: list[str],
      best: _Option | None,
      now: float,
  ) -> _Option | None:
    """Returns a better option on engines that are kept for other requests."""
    for runner in spare:
      option = self._evaluate(call, service, runner, None, preference, now)
      ahead = option.placement.tokens_ahead
      if not placements.is_long_output(call) and not self.outlook.has_room(
          runner, ahead, now
      ):
        continue
      if best is None or option.cost_s < best.cost_s:
        best = option
    return best

  def _filter_accepting(
      self, endpoints: list[gateway_records.Endpoint], now: float
  ) -> list[gateway_records.Endpoint]:
    """Returns the endpoints that are likely to accept one more request."""
    accepting = []
    for endpoint in endpoints:
      is_probe = self._rng.random() < FULL_PROBE_FRACTION
      if is_probe or not self._load.is_full(endpoint, now):
        accepting.append(endpoint)
    return accepting

  def _interference_cost(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> float:
    """Returns the seconds added for sharing an engine with other requests."""
    load = self._load.total(runner, now)
    is_prefilling = load.urgent_tokens + load.other_tokens > 0
    if placements.is_long_output(call):
      # Streams share decode steps: the fewer on an engine, the faster.
      cost_s = FULL_ENGINE_COST_S * load.count / runner.slots
      cost_s += self.outlook.wait_s(runner, now)
      if self.outlook.is_late(call, runner, now):
        cost_s += self.outlook.duration_s(call, runner, now)
      return cost_s + (STREAM_INTERFERENCE_COST_S if is_prefilling else 0.0)
    if load.decoding and is_prefilling:
      return STREAM_INTERFERENCE_COST_S
    return 0.0

  def _evaluate(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      runner: gateway_records.Endpoint,
      prefiller: gateway_records.Endpoint | None,
      preference: list[str],
      now: float,
  ) -> _Option:
    prefill_engine = prefiller or runner
    own = self._load.own(prefill_engine)
    own.cache.set_memory(service.kv_tokens)
    load = self._load.total(prefill_engine, now)
    tokens = own.cache.uncached_tokens(call.parts) or call.prompt_tokens // 16
    ahead = load.urgent_tokens + load.other_tokens
    if call.route.rank == 0 and load.count > prefill_engine.slots:
      # It overtakes what waits for a slot; what has one goes on in turn.
      waiting = 1.0 - prefill_engine.slots / load.count
      ahead -= round(waiting * load.other_tokens)
    read_s = self._load.read_s(prefill_engine, ahead + tokens, now)
    start_s, slow_s = 0.0, read_s * self._high_factor(prefill_engine)
    if prefiller is not None:
      start = self._load.models.find(runner, engine_models.Work.START)
      start_s = start.expect_s(call.prompt_tokens)
      slow_s += start_s * start.high_factor
    predicted_s = read_s + start_s
    alone_s = self._load.read_s(prefill_engine, tokens, now)
    cost_s = predicted_s + 0.2 * self._registry.failure_fraction(prefill_engine)
    cost_s += BLOCKING_COST * alone_s
    # Tokens do not tell engines apart if prompts are short or cached.
    fixed_s = self._load.read_s(prefill_engine, 0, now)
    cost_s += fixed_s * load.count / prefill_engine.slots
    if prefiller is None or placements.is_long_output(call):
      cost_s += self._interference_cost(call, runner, now)
    position = preference.index(prefill_engine.name)
    if position:
      token_s = self._load.read_token_s(prefill_engine, now)
      shared = sum(part.tokens for part in call.parts[:-1])
      cost_s += min(MIN_AFFINITY_GAIN_TOKENS, shared) * token_s
      cost_s += self.affinity_spread_s * position / (len(preference) - 1)
    is_late = (
        now - call.arrived_at + predicted_s
        > MAX_TARGET_FRACTION * call.route.target_s
    )
    return _Option(
        cost_s,
        placements.Placement(
            runner,
            prefiller,
            tokens,
            ahead + tokens,
            predicted_s,
            is_late,
            slow_s,
            read_s - alone_s,
            alone_s,
        ),
    )

  def _high_factor(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns the high end of the time of a prefill, relative to its mean."""
    work = engine_models.read_work(endpoint)
    return self._load.models.find(endpoint, work).high_factor

  def _admit(
      self,
      call: gateway_records.Call,
      placement: placements.Placement,
      now: float,
  ) -> placements.Placement | placements.Refusal:
    if self._is_hopeless(call, placement, now):
      wait_s = self.outlook.wait_s(placement.endpoint, now)
      return placements.Refusal(
          'no_slot', self._retry_after(call, wait_s, now), wait_s
      )
    fairness = self._fairness(call)
    fairness.record_prompt(call.prompt_tokens, placement.tokens)
    is_sent = self._is_worth_sending(call, placement)
    fairness.record_decision(call.prompt_tokens, is_sent)
    if is_sent:
      return placement
    prefill_engine = placement.prefiller or placement.endpoint
    if not self._load.is_speed_known(prefill_engine):
      return placement
    alone_s = placement.tokens * self._load.read_token_s(prefill_engine, now)
    if alone_s <= NEGLIGIBLE_PREFILL_FRACTION * call.route.target_s:
      return placement
    excess_s = placement.predicted_s - MAX_TARGET_FRACTION * call.route.target_s
    return placements.Refusal(
        'too_late',
        self._retry_after(call, max(excess_s, placement.wait_s), now),
        placement.predicted_s,
    )

  def _is_hopeless(
      self,
      call: gateway_records.Call,
      placement: placements.Placement,
      now: float,
  ) -> bool:
    """Returns whether a stream waits for a slot until it can't end in time.

    Load pattern: more long streams than slots. Each of them would begin late
    and be cut at its deadline, and keep a slot from others until then. Urgent
    ones do not wait for others.
    """
    if call.route.rank == 0 or not placements.is_long_output(call):
      return False
    runner = placement.endpoint
    return self.outlook.wait_s(runner, now) > 0.0 and not self.outlook.can_end(
        call, runner, now
    )

  def _is_worth_sending(
      self, call: gateway_records.Call, placement: placements.Placement
  ) -> bool:
    if placements.is_urgent_stream(call):
      return not placement.is_late or (
          placement.wait_s <= MAX_LATE_WAIT_FRACTION * call.route.target_s
      )
    fairness = self._fairness(call)
    fraction = fairness.limit_fraction(call.prompt_tokens, placement.tokens)
    limit_s = fraction * MAX_TARGET_FRACTION * call.route.target_s
    return placement.predicted_s <= limit_s or (
        placement.wait_s
        <= fraction * MAX_LATE_WAIT_FRACTION * call.route.target_s
    )

  def _fairness(self, call: gateway_records.Call) -> size_fairness.SizeFairness:
    return self._fairness_by_route.setdefault(
        call.route.name, size_fairness.SizeFairness()
    )

  def _place_plain(
      self,
      call: gateway_records.Call,
      endpoints: list[gateway_records.Endpoint],
      now: float,
  ) -> placements.Placement | placements.Refusal:
    best, best_wait_s = None, 0.0
    self._rng.shuffle(endpoints)
    for endpoint in endpoints:
      own = self._load.own(endpoint)
      load = self._load.total(endpoint, now)
      excess = max(0, load.count + 1 - endpoint.slots)
      wait_s = own.service_s * (
          1 + excess / endpoint.slots + 0.1 * load.count / endpoint.slots
      )
      wait_s += 0.5 * self._registry.failure_fraction(endpoint)
      if best is None or wait_s < best_wait_s:
        best, best_wait_s = endpoint, wait_s
    left_s = call.deadline_at - now
    if best_wait_s > MAX_PLAIN_WAIT_FRACTION * left_s:
      return placements.Refusal(
          'too_late',
          self._retry_after(call, best_wait_s, now),
          best_wait_s,
      )
    return placements.Placement(best, None, 0, 0, best_wait_s, False)

  def _least_busy(
      self,
      runners: list[gateway_records.Endpoint],
      now: float,
      prefiller: gateway_records.Endpoint | None = None,
      prompt_tokens: int = 0,
  ) -> gateway_records.Endpoint:
    """Returns the decode engine that starts first.

    Args:
      runners: The engines.
      now: Time on the event loop's clock.
      prefiller: Engine that has prefilled the prompt, if it is known.
      prompt_tokens: Tokens of the prompt; their KV cache is transferred from
        there.
    """
    best, best_cost = runners[0], float('inf')
    for runner in runners:
      load = self._load.total(runner, now)
      tokens = load.urgent_tokens + load.other_tokens
      cost = tokens * self._load.read_token_s(runner, now)
      cost += load.count / runner.slots * 0.05
      cost += 0.2 * self._registry.failure_fraction(runner)
      cost += self.fetches.wait_s(runner, load.fetches)
      if prefiller is not None:
        cost += self._load.models.transfer_s(prefiller, runner, prompt_tokens)
      if cost < best_cost:
        best, best_cost = runner, cost
    return best

  def _retry_after(
      self, call: gateway_records.Call, wait_s: float, now: float
  ) -> float | None:
    left_s = call.deadline_at - now
    longest_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_FRACTION * left_s)
    if longest_s < MIN_RETRY_AFTER_S:
      return None
    spread = 0.8 + 0.4 * self._rng.random()
    return min(longest_s, max(MIN_RETRY_AFTER_S, wait_s * spread))
