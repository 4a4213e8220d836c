"""Where a request goes, and whether it is worth sending at all.

Answers a flood of long prompts: engines that read prompts are scarce then, and
a request that is queued behind seconds of reading is late wherever it goes.
So the time to the first event is predicted from the tokens ahead that are not
cached; what can't be served in time that is worth having is refused at once.
Decoding engines read too, at half the speed, which is the overflow.
"""

import random
from typing import NamedTuple

from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import rendezvous
from mulberrypick.core import size_fairness

# Time that a move of a prompt's memory and the second engine take (s).
KV_TRANSFER_S = 0.006
# What sending a prompt away from its home must gain (s): a part that one
# engine has read is read again elsewhere at a price.
MIN_AFFINITY_GAIN_S = 0.004
# A request that may have so many tokens in its answer is a stream that other
# work must not slow: at half a millisecond a token it takes over a second.
LONG_OUTPUT_TOKENS = 2_000
# Share of an engine's places that are filled by what only decodes before
# another one is kept for that: the rest is for swings.
MAX_DECODER_FILL = 0.6
# Parts of a place in which decoding is counted.
QUARTERS_PER_SLOT = 4
# What a full engine costs a long stream, as time to its first event (s).
FULL_ENGINE_COST_S = 0.02
# What a prompt costs that is read beside streams while another one is (s).
STREAM_INTERFERENCE_COST_S = 0.1
# Share of the target that the prediction may fill: it is a guess.
MAX_TARGET_FRACTION = 0.85
# A prompt that is read within this time is sent even if it will be late: it
# takes next to nothing from others, and late is better than never (s).
NEGLIGIBLE_PREFILL_S = 0.002
# Share of requests for which an engine thought full is taken as if it were not,
# to learn whether it is. Chosen, not measured.
FULL_PROBE_FRACTION = 0.02
# Time after which a place is likely at engines that are all full (s): some
# eight prompts of 13 ms are read by then.
FULL_RETRY_AFTER_S = 0.1
# Share of the time left after which a plain request is not worth a place.
MAX_PLAIN_WAIT_FRACTION = 0.6
# Shortest and longest time to come back (s).
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Part of the time left that callers wait at most before they come back.
RETRY_AFTER_FRACTION = 0.33


class Placement(NamedTuple):
  """Where a request goes.

  Attributes:
    endpoint: Runs it.
    reader: Reads its prompt first; None if `endpoint` does.
    tokens: Tokens that have to be read for it.
    tokens_ahead: Those and what is read before it.
    predicted_s: Time to the first event.
    is_late: Whether the first event will be past its target.
  """

  endpoint: gateway_records.Endpoint
  prefiller: gateway_records.Endpoint | None
  tokens: int
  tokens_ahead: int
  predicted_s: float
  is_late: bool


class Refusal(NamedTuple):
  """Why a request is not sent.

  Attributes:
    reason: A word for logs and callers.
    retry_after_s: When to come back; None if that would not help.
    predicted_s: Time to the first event had it been sent, 0 if unknown.
  """

  reason: str
  retry_after_s: float | None
  predicted_s: float = 0.0


def is_long_output(call: gateway_records.Call) -> bool:
  """Tells whether an answer is a long stream."""
  return call.output_tokens >= LONG_OUTPUT_TOKENS


def is_urgent_stream(call: gateway_records.Call) -> bool:
  """Tells whether other work must not slow an answer."""
  return is_long_output(call) and call.route.rank == 0


def decode_slot_quarters(call: gateway_records.Call, is_read: bool) -> int:
  """Returns how much of a place a request's decoding takes (quarters).

  Answers a flood of prompts with short answers: if each of them, read elsewhere
  and answered within a few steps, counted as much as a long stream, all engines
  were kept for decoding just when prompts need them.

  Args:
    call: The request.
    is_read: Whether its prompt is read elsewhere.
  """
  if is_urgent_stream(call) or (is_read and is_long_output(call)):
    return QUARTERS_PER_SLOT
  return 1 if is_read else 0


class _Option(NamedTuple):
  cost_s: float
  placement: Placement


class Placer:
  """Places requests by what is known of the endpoints.

  Attributes:
    affinity_spread_s: Difference between the first and the last engine in a
      request's own order of them (s). Where work is known late, all hosts take
      the same engine for the emptiest; each request then has an order of its
      own, made of its shared parts, which keeps these together and spreads the
      rest.
  """

  def __init__(
      self,
      book: endpoint_registry.EndpointRegistry,
      load: engine_load.EngineLoad,
      draw: random.Random,
  ):
    self.affinity_spread_s = 0.0
    self._book = book
    self._load = load
    self._draw = draw
    self._floor_by_route: dict[str, size_fairness.SizeFairness] = {}

  def place(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      excluded: set[tuple[str, int]],
      now: float,
  ) -> Placement | Refusal:
    """Decides on a request.

    Args:
      call: The request.
      service: Its service.
      excluded: Incarnations that it was sent to before.
      now: Time on the loop's clock.
    """
    endpoints = []
    for endpoint in self._book.usable(call.service, now):
      if endpoint.incarnation not in excluded:
        endpoints.append(endpoint)
    if not endpoints:
      return Refusal('no_endpoint', self._retry_after(call, 0.5, now))
    if service.is_engine:
      return self._place_engine(call, service, endpoints, now)
    return self._place_plain(call, endpoints, now)

  def place_decode(
      self,
      call: gateway_records.Call,
      excluded: set[tuple[str, int]],
      now: float,
  ) -> gateway_records.Endpoint | None:
    """Returns another engine for a prompt that is read already, if any."""
    runners = []
    for endpoint in self._book.usable(call.service, now):
      if endpoint.stage is gateway_records.Stage.PREFILL:
        continue
      if endpoint.incarnation not in excluded:
        runners.append(endpoint)
    return self._least_busy(runners, now) if runners else None

  def _place_engine(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      endpoints: list[gateway_records.Endpoint],
      now: float,
  ) -> Placement | Refusal:
    readers, runners = [], []
    for endpoint in endpoints:
      if endpoint.stage is gateway_records.Stage.PREFILL:
        readers.append(endpoint)
        continue
      runners.append(endpoint)
    if not runners:
      return Refusal('no_decode_endpoint', self._retry_after(call, 0.5, now))
    decoders, overflow = self._split_runners(runners, now)
    choice = self._runners_for(call, decoders, overflow, bool(readers))
    if not is_urgent_stream(call):
      choice = self._with_places(choice, now)
      decoders = self._with_places(decoders, now)
      readers = self._with_places(readers, now) if decoders else []
      if not choice and not readers:
        return Refusal('full', self._retry_after(call, FULL_RETRY_AFTER_S, now))
    key = str(call.parts[-2].key) if len(call.parts) > 1 else call.id
    homes = rendezvous.rank(key, [e.name for e in readers + choice])
    best: _Option | None = None
    for runner in choice:
      option = self._weigh(call, service, runner, None, homes, now)
      cost_s = option.cost_s + self._sharing_cost(call, runner, now)
      option = option._replace(cost_s=cost_s)
      if best is None or option.cost_s < best.cost_s:
        best = option
    runner = self._least_busy(decoders, now) if readers else None
    for prefiller in readers:
      option = self._weigh(call, service, runner, prefiller, homes, now)
      if best is None or option.cost_s < best.cost_s:
        best = option
    return self._admit(call, best.placement, now)

  def _with_places(
      self, endpoints: list[gateway_records.Endpoint], now: float
  ) -> list[gateway_records.Endpoint]:
    """Returns those that are likely to take one more request."""
    open_ones = []
    for endpoint in endpoints:
      is_tried = self._draw.random() < FULL_PROBE_FRACTION
      if is_tried or not self._load.is_full(endpoint, now):
        open_ones.append(endpoint)
    return open_ones

  def _split_runners(
      self, runners: list[gateway_records.Endpoint], now: float
  ) -> tuple[list[gateway_records.Endpoint], list[gateway_records.Endpoint]]:
    """Parts decoding engines into those that only decode and the overflow.

    Prompts that an engine reads between the tokens of others slow urgent
    streams below the pause that callers bear, and hold up requests whose
    prompt another engine has read. All hosts order the engines alike, so that
    they agree without a word.
    """
    ordered = sorted(runners, key=lambda runner: runner.name)
    decoding = 0
    for runner in ordered:
      decoding += self._load.total(runner, now).decoding
    count, places = 0, 0.0
    while count < len(ordered) and places < decoding + QUARTERS_PER_SLOT:
      places += QUARTERS_PER_SLOT * MAX_DECODER_FILL * ordered[count].slots
      count += 1
    return ordered[:count], ordered[count:]

  def _runners_for(
      self,
      call: gateway_records.Call,
      decoders: list[gateway_records.Endpoint],
      overflow: list[gateway_records.Endpoint],
      has_readers: bool,
  ) -> list[gateway_records.Endpoint]:
    """Returns the engines that may read a prompt and answer it."""
    if is_urgent_stream(call):
      return decoders
    if not overflow:
      # The last decoding engine is not slowed by what is less urgent.
      return [] if has_readers and call.route.rank > 0 else decoders
    if is_long_output(call):
      return decoders + overflow
    return overflow

  def _sharing_cost(
      self,
      call: gateway_records.Call,
      runner: gateway_records.Endpoint,
      now: float,
  ) -> float:
    """Returns what a request and those beside it lose by each other (s)."""
    load = self._load.total(runner, now)
    is_reading = load.urgent_tokens + load.other_tokens > 0
    if is_long_output(call):
      # Streams share the steps of an engine: the emptier, the faster.
      cost_s = FULL_ENGINE_COST_S * load.count / runner.slots
      return cost_s + (STREAM_INTERFERENCE_COST_S if is_reading else 0.0)
    if load.decoding and is_reading:
      return STREAM_INTERFERENCE_COST_S
    return 0.0

  def _weigh(
      self,
      call: gateway_records.Call,
      service: gateway_records.Service,
      runner: gateway_records.Endpoint,
      prefiller: gateway_records.Endpoint | None,
      homes: list[str],
      now: float,
  ) -> _Option:
    where = prefiller or runner
    own = self._load.own(where)
    own.cache.set_memory(service.kv_tokens)
    load = self._load.total(where, now)
    tokens = own.cache.uncached_tokens(call.parts) or call.prompt_tokens // 16
    ahead = load.urgent_tokens
    if call.route.rank > 0:
      ahead += load.other_tokens
    predicted_s = (ahead + tokens) / own.rate + engine_load.REQUEST_OVERHEAD_S
    if prefiller is not None:
      predicted_s += KV_TRANSFER_S
    cost_s = predicted_s + 0.2 * self._book.failure_share(where)
    place = homes.index(where.name)
    if place:
      cost_s += MIN_AFFINITY_GAIN_S + self.affinity_spread_s * place / (
          len(homes) - 1
      )
    is_late = (
        now - call.arrived_at + predicted_s
        > MAX_TARGET_FRACTION * call.route.target_s
    )
    return _Option(
        cost_s,
        Placement(
            runner, prefiller, tokens, ahead + tokens, predicted_s, is_late
        ),
    )

  def _admit(
      self, call: gateway_records.Call, placement: Placement, now: float
  ) -> Placement | Refusal:
    if self._is_worth_sending(call, placement):
      return placement
    where = placement.prefiller or placement.endpoint
    if placement.tokens / self._load.own(where).rate <= NEGLIGIBLE_PREFILL_S:
      return placement
    excess_s = placement.predicted_s - MAX_TARGET_FRACTION * call.route.target_s
    return Refusal(
        'too_late',
        self._retry_after(call, excess_s, now),
        placement.predicted_s,
    )

  def _is_worth_sending(
      self, call: gateway_records.Call, placement: Placement
  ) -> bool:
    if is_urgent_stream(call):
      return not placement.is_late
    floor = self._floor_by_route.get(call.route.name)
    if floor is None:
      floor = size_fairness.SizeFairness()
      self._floor_by_route[call.route.name] = floor
    floor.record_prompt(call.prompt_tokens, placement.tokens)
    part = floor.limit_fraction(call.prompt_tokens, placement.tokens)
    limit_s = part * MAX_TARGET_FRACTION * call.route.target_s
    is_sent = placement.predicted_s <= limit_s
    floor.record_decision(call.prompt_tokens, is_sent)
    return is_sent

  def _place_plain(
      self,
      call: gateway_records.Call,
      endpoints: list[gateway_records.Endpoint],
      now: float,
  ) -> Placement | Refusal:
    best, best_wait_s = None, 0.0
    self._draw.shuffle(endpoints)
    for endpoint in endpoints:
      own = self._load.own(endpoint)
      load = self._load.total(endpoint, now)
      over = max(0, load.count + 1 - endpoint.slots)
      wait_s = own.service_s * (
          1 + over / endpoint.slots + 0.1 * load.count / endpoint.slots
      )
      wait_s += 0.5 * self._book.failure_share(endpoint)
      if best is None or wait_s < best_wait_s:
        best, best_wait_s = endpoint, wait_s
    left_s = call.deadline_at - now
    if best_wait_s > MAX_PLAIN_WAIT_FRACTION * left_s:
      return Refusal(
          'too_late',
          self._retry_after(call, best_wait_s, now),
          best_wait_s,
      )
    return Placement(best, None, 0, 0, best_wait_s, False)

  def _least_busy(
      self, runners: list[gateway_records.Endpoint], now: float
  ) -> gateway_records.Endpoint:
    best, best_cost = runners[0], float('inf')
    for runner in runners:
      load = self._load.total(runner, now)
      own = self._load.own(runner)
      cost = (load.urgent_tokens + load.other_tokens) / own.rate
      cost += load.count / runner.slots * 0.05
      cost += 0.2 * self._book.failure_share(runner)
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
    spread = 0.8 + 0.4 * self._draw.random()
    return min(longest_s, max(MIN_RETRY_AFTER_S, wait_s * spread))
