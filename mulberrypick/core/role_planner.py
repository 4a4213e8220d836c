"""Decides which engines change their roles, and when.

An engine serves nothing for some seconds while it changes its role, so a change
must gain more than that costs. The planner compares how much of the forecast
demand the fleet can serve over a horizon with and without moving one engine.
Demand is measured in engine seconds per second, separately for prefill and
decode. Engines move one at a time. After each move the planner waits, and it
waits longer after each move that soon reverses the previous one, so roles do
not follow a demand that oscillates.
"""

import abc
import collections
from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import reconcile
from mulberrypick.core import records

# A change must gain more than it costs within this time.
HORIZON_S = 30.0
# Time for which an engine is unavailable during a change, including the drain.
ROLE_CHANGE_S = 6.0
# Weight of the capacity lost during a change, relative to the gain after it.
LOSS_WEIGHT = 1.5
# A change must gain at least the work that one engine does during this fraction
# of `HORIZON_S`.
MIN_GAIN_FRACTION = 0.6
# Bounds of the time between two role changes of engines with the same model,
# which starts at the minimum. It is multiplied by the backoff factor after a
# change that reverses the previous one within the reversal window, and halved
# after a change in the same direction within that window.
MIN_DWELL_S = 4.0
MAX_DWELL_S = 128.0
REVERSAL_WINDOW_S = 90.0
REVERSAL_BACKOFF_FACTOR = 3.0
# Time between two changes of one engine.
MIN_ENGINE_DWELL_S = 20.0
# Age of the oldest demand samples used in a forecast.
TREND_WINDOW_S = 10.0
# No roles change if the latest demand sample is older than this.
MAX_DEMAND_AGE_S = 5.0
# Speed of a mixed engine relative to an engine with a single role.
MIXED_SPEED_FRACTION = 1.0


class RoleDemand(NamedTuple):
  """Demand on a model, in engine seconds per second.

  Attributes:
    prefill: Demand for prefill.
    decode: Demand for decode.
  """

  prefill: float
  decode: float


class RoleSplit(NamedTuple):
  """Number of engines of a model in each role."""

  prefill: int
  decode: int
  mixed: int


def served_fraction(split: RoleSplit, demand: RoleDemand) -> float:
  """Returns the fraction of the demand that engines in these roles serve."""
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
  """Returns the split after an engine changes roles; empty means no role."""
  counts = split._asdict()
  if old:
    counts[old] -= 1
  if new:
    counts[new] += 1
  return RoleSplit(**counts)


def estimate_gain(
    split: RoleSplit, old: str, new: str, demand: RoleDemand
) -> float:
  """Returns the engine seconds that a role change gains over the horizon.

  The engine seconds lost during the role change are subtracted.
  """
  total = demand.prefill + demand.decode
  before = served_fraction(split, demand)
  during = served_fraction(move_engine(split, old, ''), demand)
  after = served_fraction(move_engine(split, old, new), demand)
  gained = (after - before) * (HORIZON_S - ROLE_CHANGE_S)
  lost = (before - during) * ROLE_CHANGE_S
  return total * (gained - lost * LOSS_WEIGHT)


class DemandTrend:
  """Forecasts the demand on a model from its recent samples."""

  def __init__(self):
    self._samples: collections.deque[tuple[float, RoleDemand]] = (
        collections.deque()
    )

  def add(self, demand: RoleDemand, now: float) -> None:
    """Adds a demand sample and drops samples that are too old."""
    self._samples.append((now, demand))
    while now - self._samples[0][0] > TREND_WINDOW_S:
      self._samples.popleft()

  def is_fresh(self, now: float) -> bool:
    """Returns whether the latest sample is recent enough to use."""
    return (
        bool(self._samples) and now - self._samples[-1][0] <= MAX_DEMAND_AGE_S
    )

  def mean(self) -> RoleDemand:
    """Returns the mean demand over the window."""
    count = len(self._samples)
    prefill = sum(sample.prefill for _, sample in self._samples)
    decode = sum(sample.decode for _, sample in self._samples)
    return RoleDemand(prefill / count, decode / count)

  def forecast(self, ahead_s: float) -> RoleDemand:
    """Returns the forecast demand `ahead_s` after the last sample."""
    prefill = [(at, sample.prefill) for at, sample in self._samples]
    decode = [(at, sample.decode) for at, sample in self._samples]
    return RoleDemand(
        _extrapolate(prefill, ahead_s), _extrapolate(decode, ahead_s)
    )


def _extrapolate(points: list[tuple[float, float]], ahead_s: float) -> float:
  """Extrapolates by linear regression, to at most twice the last value."""
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
  """The last role change of an engine of a model, and the wait after it.

  Attributes:
    moved_at: Monotonic time of the change.
    is_to_prefill: Whether the change added to prefill.
    dwell_s: Seconds to wait after the change.
  """

  moved_at: float
  is_to_prefill: bool
  dwell_s: float


class DemandSink(abc.ABC):
  """Receives the demand reported by the entry hosts."""

  @abc.abstractmethod
  def record_demand(
      self, demand_by_model: Mapping[str, RoleDemand], now: float
  ) -> None:
    """Records the demand on the engines of this zone."""


class ForecastRolePlanner(reconcile.RolePlanner, DemandSink):
  """Changes the role of an engine if the forecast shows a gain."""

  def __init__(self):
    self._trend_by_model: dict[str, DemandTrend] = {}
    self._wanted_by_engine: dict[str, str] = {}
    self._last_move_by_model: dict[str, _LastMove] = {}
    self._moved_at_by_engine: dict[str, float] = {}

  def record_demand(self, demand_by_model, now):
    """Records the demand; see `DemandSink.record_demand`."""
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
    """Drops completed role changes and those of engines that are gone."""
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
    # A role change must gain for both the forecast and the recent mean demand.
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
  """Returns whether a role change shifts capacity from decode to prefill."""
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
  """Returns the role changes that leave engines for prefill and decode."""
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
  """Returns a new role planner for a name used in the settings."""
  return ROLE_PLANNER_BY_NAME[name]()
