"""Decides when engines change between prefill and decode because of the load.

Answers load pattern: prompts are long and answers short, so that the prefill
engines have more to read than they can, while the decode engines have little to
decode. Decode engines can prefill as well, at half of the speed and in smaller
chunks. An engine that does so most of the time prefills more than twice as much
in the other stage. The reverse is decided when too few engines decode.

An engine is unavailable for seconds while it changes, and orders are priced.
The decode load that counts is therefore the highest one of a longer time, some
decode engines are kept as a reserve for crashes, and few engines change at a
time. A host that has not observed it for that long, because it restarted, does
not know it, and orders no engine away from decoding.

If all prefill engines left or crashed, one is ordered to prefill without such a
reserve, for as long as two decode engines stay.
"""

import math
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.core import stage_planner

# Time constant of the mean number of decode engines that prefill.
READING_MEAN_S = 1.5
# Mean number of decode engines that prefill from which on one of them changes.
MIN_READING_ENGINES = 0.3
# The highest decode load of this time counts.
NEED_HORIZON_S = 20.0
# Decode engines that are kept beyond those that the decode load needs, as a
# fraction of all engines of the service, and the least number kept.
RESERVE_FRACTION = 0.2
MIN_DECODERS = 2
# Largest fraction of the engines of a service that change at a time; one may
# always.
MAX_SWITCHING_FRACTION = 0.125
# Time with too few decode engines until a prefill engine changes: an engine
# that crashed is mostly back within a few seconds.
LACK_S = 6.0
# The same if the only decode engine has more than it should.
FULL_LACK_S = 2.0
# An engine that crashed seems to be back for a moment whenever it is tried. A
# lack ends only if there is none for this long.
LACK_PAUSE_S = 0.9
# Time for which the engines must be the same, and the decode load be known,
# before an engine is ordered away from decoding: in a release old engines leave
# one after the other, and streams last for seconds.
SETTLED_S = 5.0


class EngineUse(NamedTuple):
  """An engine and its load of all hosts.

  Attributes:
    endpoint: The engine.
    read_tokens: Tokens that it still has to prefill.
    decode_quarters: Quarters of slots that it uses to decode.
    capacity: Quarters of slots that it takes of decode load.
    fetches: Its requests that fetch their KV cache from another engine.
    max_fetches: How many of them it takes.
    streams: Long streams that it decodes.
    is_switching: Whether it is changing its stage.
    may_change: Whether it may be ordered to; one that was ordered lately stays
      as it is, also if it has not changed.
  """

  endpoint: gateway_records.Endpoint
  read_tokens: int
  decode_quarters: int
  capacity: float
  fetches: int = 0
  max_fetches: float = float('inf')
  streams: int = 0
  is_switching: bool = False
  may_change: bool = True


class _Need(NamedTuple):
  """Decode load of a service.

  Attributes:
    quarters: Quarters of slots that its requests use to decode.
    fetches: Requests that fetch their KV cache from another engine.
  """

  quarters: int
  fetches: int

  def count_engines(self, engines: list[EngineUse], fill: float) -> int:
    """Returns how many engines it takes.

    Args:
      engines: The engines, in the order in which they are used.
      fill: Multiple of the usual load that an engine takes.
    """
    by_slots = placements.count_engines(
        [fill * use.capacity for use in engines],
        self.quarters,
        placements.QUARTERS_PER_SLOT,
    )
    by_links = placements.count_engines(
        [fill * use.max_fetches for use in engines], self.fetches, 1
    )
    return max(by_slots, by_links)


class _ServiceState:
  """What was observed of the engines of one service."""

  def __init__(self, now: float, knows_need_from: float):
    self.knows_need_from = knows_need_from
    self.observed_at = now
    self.reading_mean = 0.0
    self.need = _Need(0, 0)
    self.need_at = now
    self.lacking_since: float | None = None
    self.lacked_at = now
    self.loaded_since: float | None = None
    self.engines: frozenset[tuple[str, int]] = frozenset()
    self.changed_at = now


class StageBalance:
  """Observes the load of engines and decides which of them change."""

  def __init__(self, first_start_at: float | None = None):
    """Creates the decision.

    Args:
      first_start_at: When the whole system was started for the first time,
        with this process; None if it ran before. There was no load before.
    """
    self._first_start_at = first_start_at
    self._by_service: dict[str, _ServiceState] = {}

  def decide(
      self, uses: list[EngineUse], now: float
  ) -> list[stage_planner.StageOrder]:
    """Returns the orders to be given now.

    Args:
      uses: All engines that are listed, with their load.
      now: Time on a clock that advances while the host is suspended.
    """
    by_service: dict[str, list[EngineUse]] = {}
    for use in uses:
      if use.endpoint.stage is not gateway_records.Stage.NONE:
        by_service.setdefault(use.endpoint.service, []).append(use)
    for service in list(self._by_service):
      if service not in by_service:
        del self._by_service[service]
    given = []
    for service, engines in by_service.items():
      state = self._by_service.get(service)
      if state is None:
        state = _ServiceState(now, self._find_knows_need_from(now))
        self._by_service[service] = state
      given += _decide_service(state, engines, now)
    return given

  def _find_knows_need_from(self, now: float) -> float:
    """Returns from when on the decode load before is known."""
    first_start_at = self._first_start_at
    if first_start_at is not None and now - first_start_at < NEED_HORIZON_S:
      return now
    return now + NEED_HORIZON_S


def _decide_service(
    state: _ServiceState, engines: list[EngineUse], now: float
) -> list[stage_planner.StageOrder]:
  decoders = _in_stage(engines, gateway_records.Stage.DECODE)
  prefillers = _in_stage(engines, gateway_records.Stage.PREFILL)
  _observe(state, engines, decoders, now)
  switching = sum(use.is_switching for use in engines)
  most = max(1, int(MAX_SWITCHING_FRACTION * len(engines))) - switching
  if not decoders or most <= 0:
    return []
  usable = decoders + prefillers
  # Those that are left after crashes may be filled with decode load.
  crowded = 1.0 / placements.MAX_DECODER_FILL
  need = state.need.count_engines(usable, 1.0)
  is_full = _sum_need(decoders).count_engines(usable, 1.0) > len(decoders)
  if _is_lacking(state, need, len(decoders), len(prefillers), is_full, now):
    state.lacking_since = None
    return _order_to_decode(decoders, prefillers)
  if state.reading_mean < MIN_READING_ENGINES:
    return []
  if not _may_reduce(state, bool(prefillers), now):
    return []
  reserve = max(1, math.ceil(RESERVE_FRACTION * len(engines)))
  if not prefillers:
    # All prompts are prefilled between the tokens of streams.
    reserve = 0
  crowded_need = state.need.count_engines(usable, crowded)
  surplus = len(decoders) - max(MIN_DECODERS, need, crowded_need + reserve)
  return _orders_to_prefill(decoders, prefillers, min(surplus, most))


def _may_reduce(state: _ServiceState, has_prefillers: bool, now: float) -> bool:
  """Returns whether enough is known to order an engine away from decoding."""
  if now < state.knows_need_from:
    return False
  if not has_prefillers:
    return True
  if state.loaded_since is None or now - state.loaded_since < SETTLED_S:
    return False
  return now - state.changed_at >= SETTLED_S


def _in_stage(
    engines: list[EngineUse], stage: gateway_records.Stage
) -> list[EngineUse]:
  """Returns the engines of a stage that do not change it now."""
  found = []
  for use in engines:
    if use.endpoint.stage is stage and not use.is_switching:
      found.append(use)
  return found


def _observe(
    state: _ServiceState,
    engines: list[EngineUse],
    decoders: list[EngineUse],
    now: float,
) -> None:
  """Updates what is known of the engines and of the decode load."""
  elapsed_s = max(0.0, now - state.observed_at)
  state.observed_at = now
  weight = 1.0 - math.exp(-elapsed_s / READING_MEAN_S)
  reading = sum(use.read_tokens > 0 for use in decoders)
  state.reading_mean += weight * (reading - state.reading_mean)
  need = _sum_need(decoders)
  if (need.quarters or reading) and state.loaded_since is None:
    state.loaded_since = now
  present = frozenset(use.endpoint.incarnation for use in engines)
  if present != state.engines:
    state.engines, state.changed_at = present, now
  is_old = now - state.need_at > NEED_HORIZON_S
  if is_old or need.quarters >= state.need.quarters:
    state.need, state.need_at = need, now
  elif need.fetches > state.need.fetches:
    state.need = state.need._replace(fetches=need.fetches)


def _sum_need(decoders: list[EngineUse]) -> _Need:
  return _Need(
      sum(use.decode_quarters for use in decoders),
      sum(use.fetches for use in decoders),
  )


def _is_lacking(
    state: _ServiceState,
    need: int,
    decoders: int,
    prefillers: int,
    is_full: bool,
    now: float,
) -> bool:
  """Returns whether too few engines decode for long enough.

  Args:
    state: What was observed of the service.
    need: Decode engines that the decode load needs.
    decoders: Number of decode engines.
    prefillers: Number of prefill engines.
    is_full: Whether the decode engines have more load than they should.
    now: Time on a clock that advances while the host is suspended.
  """
  is_short = decoders < max(MIN_DECODERS, need)
  is_urgent = decoders < MIN_DECODERS <= prefillers and is_full
  if is_urgent or (is_short and prefillers >= decoders + 2):
    state.lacked_at = now
    if state.lacking_since is None:
      state.lacking_since = now
  elif now - state.lacked_at > LACK_PAUSE_S:
    state.lacking_since = None
  if state.lacking_since is None or state.lacked_at != now:
    return False
  lack_s = FULL_LACK_S if is_urgent else LACK_S
  return now - state.lacking_since >= lack_s


def _count_by_zone(engines: list[EngineUse]) -> dict[str, int]:
  counts: dict[str, int] = {}
  for use in engines:
    zone = use.endpoint.zone
    counts[zone] = counts.get(zone, 0) + 1
  return counts


def _orders_to_prefill(
    decoders: list[EngineUse], prefillers: list[EngineUse], count: int
) -> list[stage_planner.StageOrder]:
  """Orders decode engines to prefill; each zone keeps one if it can.

  An engine is away until the streams that it decodes have ended. One that has
  any is therefore ordered only if no engine is left to prefill.
  """
  decoding = _count_by_zone(decoders)
  prefilling = _count_by_zone(prefillers)
  # Engines at the end of the order of names are the first to prefill besides.
  left = sorted(
      (
          use
          for use in decoders
          if use.may_change and not (prefillers and _is_decoding(use))
      ),
      key=lambda u: u.endpoint.name,
      reverse=True,
  )
  given = []
  for _ in range(min(count, len(left))):
    chosen = max(
        left,
        key=lambda u: (
            not _is_decoding(u),
            decoding[u.endpoint.zone],
            -prefilling.get(u.endpoint.zone, 0),
            -u.decode_quarters,
        ),
    )
    left.remove(chosen)
    zone = chosen.endpoint.zone
    decoding[zone] -= 1
    prefilling[zone] = prefilling.get(zone, 0) + 1
    given.append(
        stage_planner.StageOrder(chosen.endpoint, gateway_records.Stage.PREFILL)
    )
  return given


def _is_decoding(use: EngineUse) -> bool:
  """Returns whether an engine has a long stream."""
  return use.streams > 0


def _order_to_decode(
    decoders: list[EngineUse], prefillers: list[EngineUse]
) -> list[stage_planner.StageOrder]:
  """Orders the prefill engine to decode whose zone has fewest that do."""
  decoding = _count_by_zone(decoders)
  chosen = min(
      (use for use in prefillers if use.may_change),
      key=lambda u: (
          decoding.get(u.endpoint.zone, 0),
          u.read_tokens,
          u.endpoint.name,
      ),
      default=None,
  )
  if chosen is None:
    return []
  return [
      stage_planner.StageOrder(chosen.endpoint, gateway_records.Stage.DECODE)
  ]
