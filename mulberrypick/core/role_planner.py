"""When engines change their roles, and which ones.

A change takes an engine away for seconds, so it must earn more than that. The
planner compares what the fleet can serve over a horizon, with the demand as it
is forecast, before and after moving one engine. Demand is in engine seconds a
second, for prefill and for decode apart. One engine moves at a time; after a
move the planner waits, and longer each time that it turns back soon, so that a
mix that goes to and fro does not take the roles with it.
"""

import abc
import collections
from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import reconcile
from mulberrypick.core import records

# Seconds over which a change has to pay.
HORIZON_S = 30.0
# Seconds that a change takes an engine away, with its drain.
ROLE_CHANGE_S = 6.0
# What is lost while an engine is away counts this many times.
LOSS_WEIGHT = 1.5
# The moved engine has to be of use for this part of the horizon.
MIN_GAIN_FRACTION = 0.6
# Seconds between two changes of one model, at first and at most; longer after
# each change that turns back within some time, halved by others.
MIN_DWELL_S = 4.0
MAX_DWELL_S = 128.0
REVERSAL_WINDOW_S = 90.0
REVERSAL_BACKOFF_FACTOR = 3.0
# Seconds before an engine changes again.
MIN_ENGINE_DWELL_S = 20.0
# Samples of demand that the forecast looks back on.
TREND_WINDOW_S = 10.0
# Without news of the demand for this long, nothing changes.
MAX_DEMAND_AGE_S = 5.0
# An engine that does both does each at this part of its speed.
MIXED_SPEED_FRACTION = 1.0


class RoleDemand(NamedTuple):
  """Demand on a model, in engine seconds a second.

  Attributes:
    prefill: For prompts.
    decode: For answers.
  """

  prefill: float
  decode: float


class RoleSplit(NamedTuple):
  """Engines of a model by role."""

  prefill: int
  decode: int
  mixed: int


def served_fraction(split: RoleSplit, demand: RoleDemand) -> float:
  """Returns the part of the demand that a split can serve, 0 to 1."""
  mixed = split.mixed * MIXED_SPEED_FRACTION
  total = demand.prefill + demand.decode
  if total <= 0.0:
    return 1.0
  fraction = min(1.0, (split.prefill + split.decode + mixed) / total)
  if demand.prefill > 0.0:
    fraction = min(fraction, (split.prefill + mixed) / demand.prefill)
  if demand.decode > 0.0:
    fraction = min(fraction, (split.decode + mixed) / demand.decode)
  return fraction


def move_engine(split: RoleSplit, old: str, new: str) -> RoleSplit:
  """Returns the split with one engine moved; an empty role is away."""
  counts = split._asdict()
  if old:
    counts[old] -= 1
  if new:
    counts[new] += 1
  return RoleSplit(**counts)


def estimate_gain(
    split: RoleSplit, old: str, new: str, demand: RoleDemand
) -> float:
  """Returns the engine seconds that a move gains over the horizon.

  The engine serves nothing while it is away, which is charged against it.
  """
  total = demand.prefill + demand.decode
  before = served_fraction(split, demand)
  during = served_fraction(move_engine(split, old, ''), demand)
  after = served_fraction(move_engine(split, old, new), demand)
  gained = (after - before) * (HORIZON_S - ROLE_CHANGE_S)
  lost = (before - during) * ROLE_CHANGE_S
  return total * (gained - lost * LOSS_WEIGHT)


class DemandTrend:
  """Forecasts a model's demand from the last seconds of it."""

  def __init__(self):
    self._samples: collections.deque[tuple[float, RoleDemand]] = (
        collections.deque()
    )

  def add(self, demand: RoleDemand, now: float) -> None:
    """Takes in a sample."""
    self._samples.append((now, demand))
    while now - self._samples[0][0] > TREND_WINDOW_S:
      self._samples.popleft()

  def is_fresh(self, now: float) -> bool:
    """Tells whether there is any recent sample."""
    return (
        bool(self._samples) and now - self._samples[-1][0] <= MAX_DEMAND_AGE_S
    )

  def mean(self) -> RoleDemand:
    """Returns the mean demand of the last seconds."""
    count = len(self._samples)
    prefill = sum(sample.prefill for _, sample in self._samples)
    decode = sum(sample.decode for _, sample in self._samples)
    return RoleDemand(prefill / count, decode / count)

  def forecast(self, ahead_s: float) -> RoleDemand:
    """Returns the demand some seconds after the last sample."""
    prefill = [(at, sample.prefill) for at, sample in self._samples]
    decode = [(at, sample.decode) for at, sample in self._samples]
    return RoleDemand(
        _extrapolate(prefill, ahead_s), _extrapolate(decode, ahead_s)
    )


def _extrapolate(points: list[tuple[float, float]], ahead_s: float) -> float:
  """Continues a line of least squares, at most to twice the last value."""
  last_at, last = points[-1]
  count = len(points)
  mean_at = sum(at for at, _ in points) / count
  mean = sum(value for _, value in points) / count
  spread = sum((at - mean_at) ** 2 for at, _ in points)
  if spread <= 0.0:
    return last
  slope = sum((at - mean_at) * (value - mean) for at, value in points) / spread
  return min(2.0 * last, max(0.0, last + slope * ahead_s))


class _LastMove(NamedTuple):
  """How soon roles of a model may change again.

  Attributes:
    moved_at: When one last changed.
    is_to_prefill: Whether that was towards prefill.
    dwell_s: Seconds to wait after it.
  """

  moved_at: float
  is_to_prefill: bool
  dwell_s: float


class DemandSink(abc.ABC):
  """What is told of the demand, from the entry hosts."""

  @abc.abstractmethod
  def record_demand(
      self, demand_by_model: Mapping[str, RoleDemand], now: float
  ) -> None:
    """Takes in the demand on the engines of this zone."""


class ForecastRolePlanner(reconcile.RolePlanner, DemandSink):
  """Moves an engine when the forecast says that it pays."""

  def __init__(self):
    self._trend_by_model: dict[str, DemandTrend] = {}
    self._wanted_by_engine: dict[str, str] = {}
    self._last_move_by_model: dict[str, _LastMove] = {}
    self._moved_at_by_engine: dict[str, float] = {}

  def record_demand(self, demand_by_model, now):
    """Takes in the demand; see `DemandSink.record_demand`."""
    for model, demand in demand_by_model.items():
      self._trend_by_model.setdefault(model, DemandTrend()).add(demand, now)

  def plan(self, view, now):
    """Returns the wanted roles; see `RolePlanner.plan`."""
    self._drop_completed(view)
    if self._wanted_by_engine:
      return dict(self._wanted_by_engine)
    for model in sorted(self._trend_by_model):
      chosen = self._choose_move(model, view, now)
      if chosen is None:
        continue
      engine, role = chosen
      old = view.state_by_engine[engine].role
      self._wanted_by_engine[engine] = role
      self._moved_at_by_engine[engine] = now
      self._record_move(model, _is_to_prefill(old, role), now)
      break
    return dict(self._wanted_by_engine)

  def _record_move(self, model: str, is_to_prefill: bool, now: float) -> None:
    dwell_s = MIN_DWELL_S
    last = self._last_move_by_model.get(model)
    if last is not None and now - last.moved_at < REVERSAL_WINDOW_S:
      if last.is_to_prefill != is_to_prefill:
        dwell_s = min(MAX_DWELL_S, REVERSAL_BACKOFF_FACTOR * last.dwell_s)
      else:
        dwell_s = max(MIN_DWELL_S, last.dwell_s / 2.0)
    self._last_move_by_model[model] = _LastMove(now, is_to_prefill, dwell_s)

  def _drop_completed(self, view: reconcile.ZoneView) -> None:
    """Drops wishes that are fulfilled, or whose engine is gone."""
    for engine, role in list(self._wanted_by_engine.items()):
      state = view.state_by_engine.get(engine)
      if state is None or (state.role == role and not state.is_changing):
        del self._wanted_by_engine[engine]

  def _choose_move(
      self, model: str, view: reconcile.ZoneView, now: float
  ) -> tuple[str, str] | None:
    trend = self._trend_by_model[model]
    if not trend.is_fresh(now):
      return None
    last_move = self._last_move_by_model.get(model)
    if last_move is not None and now - last_move.moved_at < last_move.dwell_s:
      return None
    states = _holders(model, view)
    split = _count(states)
    # A move has to pay for the demand as forecast and as it was lately.
    forecast = trend.forecast(ROLE_CHANGE_S + HORIZON_S / 4)
    recent = trend.mean()
    best, best_gain = None, 0.0
    for old, new in _moves(split):
      gained = min(
          estimate_gain(split, old, new, forecast),
          estimate_gain(split, old, new, recent),
      )
      if gained > best_gain and self._movable_engines(states, old, now):
        best, best_gain = (old, new), gained
    if best is None or best_gain < MIN_GAIN_FRACTION * HORIZON_S:
      return None
    old, new = best
    engine = min(self._movable_engines(states, old, now), key=_by_running)
    return engine.endpoint, new

  def _movable_engines(
      self, states: list[records.EngineState], role: str, now: float
  ) -> list[records.EngineState]:
    movable = []
    for state in states:
      moved_at = self._moved_at_by_engine.get(state.endpoint)
      if state.role != role or state.is_changing or state.is_draining:
        continue
      if moved_at is not None and now - moved_at < MIN_ENGINE_DWELL_S:
        continue
      movable.append(state)
    return movable


def _is_to_prefill(old: str, new: str) -> bool:
  """Tells whether a move adds to prefill at the cost of decode."""
  return new == records.ROLE_PREFILL or old == records.ROLE_DECODE


def _by_running(state: records.EngineState) -> tuple[int, str]:
  return state.running, state.endpoint


def _holders(model: str, view: reconcile.ZoneView) -> list[records.EngineState]:
  """Returns the engines that hold a model, with or without adapters."""
  states = []
  for name in sorted(view.state_by_engine):
    state = view.state_by_engine[name]
    held = {piece.split('@')[0].split('+')[0] for piece in state.models}
    if model in held:
      states.append(state)
  return states


def _count(states: list[records.EngineState]) -> RoleSplit:
  counts = collections.Counter(state.role for state in states)
  return RoleSplit(
      counts[records.ROLE_PREFILL],
      counts[records.ROLE_DECODE],
      counts[records.ROLE_MIXED],
  )


def _moves(split: RoleSplit) -> list[tuple[str, str]]:
  """Returns the moves that leave an engine for each kind of work."""
  moves = []
  for old in RoleSplit._fields:
    if getattr(split, old) == 0:
      continue
    for new in RoleSplit._fields:
      if new == old:
        continue
      after = move_engine(split, old, new)
      has_prefill = after.prefill or after.mixed
      has_decode = after.decode or after.mixed
      if has_prefill and has_decode:
        moves.append((old, new))
  return moves


ROLE_PLANNER_BY_NAME = {
    'keep': reconcile.StaticRolePlanner,
    'forecast': ForecastRolePlanner,
}


def make_role_planner(name: str) -> reconcile.RolePlanner:
  """Makes a role planner by the name that the settings use."""
  return ROLE_PLANNER_BY_NAME[name]()
