"""Compares declared models with the state of the engines and lists orders.

No plan is stored: each call derives the next orders from the current state of
the engines. A successor, or the same holder after an engine crashed during a
change, therefore continues from the actual state.

An unload or a role change would interrupt running requests, so it is preceded
by a drain: the engine refuses new work, entry hosts send requests to other
engines, and running requests finish. Then the change is made, and finally the
engine is undrained. For each model of the zone, only one change is in progress
at a time, and missing replicas are loaded first. A planned change thus never
takes away more than one engine of a model.
"""

import abc
from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import model_placement
from mulberrypick.core import records


class ZoneView(NamedTuple):
  """The input of a reconciliation, as known to the holder of a zone's lease.

  Attributes:
    zone: The zone.
    model_by_name: The declared models.
    hosts: The platform's list of hosts.
    drains: Engines of all zones that operators want drained.
    state_by_engine: Current states; unreachable engines have none.
    report_by_engine: Load reports, for the role planner.
    unsettled: Engines whose last order may still arrive or has an unknown
      result; they get no other order.
  """

  zone: str
  model_by_name: Mapping[str, records.Model]
  hosts: tuple[records.Host, ...]
  drains: frozenset[str]
  state_by_engine: Mapping[str, records.EngineState]
  report_by_engine: Mapping[str, records.EngineReport]
  unsettled: frozenset[str]


class RolePlanner(abc.ABC):
  """Decides which role each engine of the zone should have."""

  @abc.abstractmethod
  def plan(self, view: ZoneView, now: float) -> dict[str, str]:
    """Returns the wanted role by engine; other engines keep their role.

    Args:
      view: The state of the zone.
      now: Monotonic time.
    """


class StaticRolePlanner(RolePlanner):
  """Keeps every engine in its current role."""

  def plan(self, view: ZoneView, now: float) -> dict[str, str]:
    """Returns no changes; see `RolePlanner.plan`."""
    return {}


class _Need(NamedTuple):
  """The changes that one engine needs.

  Attributes:
    unloads: Models and adapters to unload, adapters before their model.
    loads: Models and adapters to load, a model before its adapters.
    role: Role to change to, empty to keep the current one.
    is_drain_wanted: Whether an operator wants the engine drained.
    models: Models affected by a change of this engine.
  """

  unloads: tuple[model_placement.LoadUnit, ...]
  loads: tuple[model_placement.LoadUnit, ...]
  role: str
  is_drain_wanted: bool
  models: frozenset[str]

  @property
  def is_disruptive(self) -> bool:
    """Whether the engine must be drained for the changes."""
    return bool(self.unloads or self.role)

  @property
  def interrupts_service(self) -> bool:
    """Whether the engine serves no requests during the changes."""
    return self.is_disruptive or self.is_drain_wanted


def list_orders(
    view: ZoneView, role_by_engine: Mapping[str, str]
) -> list[records.Order]:
  """Lists the orders that are due now, at most one for each engine.

  Args:
    view: The state of the zone.
    role_by_engine: Wanted roles, from the role planner.

  Returns:
    Orders without sequence and fencing number, most urgent first.
  """
  need_by_engine = _list_needs(view, role_by_engine)
  orders = []
  busy_models = set()
  idle = []
  for engine in sorted(need_by_engine):
    state = view.state_by_engine[engine]
    need = need_by_engine[engine]
    if _is_change_in_progress(view, state, need):
      busy_models |= need.models
      orders += _continue_change(view, state, need)
    else:
      idle.append(engine)
  # Engines that need no drain come first: they load missing replicas.
  idle.sort(
      key=lambda engine: (need_by_engine[engine].interrupts_service, engine)
  )
  for engine in idle:
    need = need_by_engine[engine]
    order = _begin_change(view.state_by_engine[engine], need)
    if order is None or busy_models & need.models:
      continue
    busy_models |= need.models
    orders.append(order)
  return orders


def list_placeable_engines(view: ZoneView) -> dict[str, list[str]]:
  """Lists the engines on which models can be placed, by zone.

  Engines that are leaving or that operators want drained are left out; their
  models are placed on other engines.
  """
  usable_by_zone = {}
  for host in view.hosts:
    if host.kind != records.HOST_ENGINE:
      continue
    usable = usable_by_zone.setdefault(host.zone, [])
    if host.state != records.STATE_LIVE or host.name in view.drains:
      continue
    usable.append(host.name)
  return usable_by_zone


def list_engines(view: ZoneView) -> list[records.Host]:
  """Lists the engines of the zone that accept orders, all but leaving ones."""
  return [
      host
      for host in view.hosts
      if host.kind == records.HOST_ENGINE
      and host.zone == view.zone
      and host.state == records.STATE_LIVE
  ]


def _list_needs(
    view: ZoneView, role_by_engine: Mapping[str, str]
) -> dict[str, _Need]:
  usable_by_zone = list_placeable_engines(view)
  count_by_zone = {zone: len(e) for zone, e in usable_by_zone.items()}
  share_by_model = {}
  for name, model in view.model_by_name.items():
    share = model_placement.count_by_zone(model, count_by_zone)
    share_by_model[name] = share.get(view.zone, 0)
  held_by_engine = {
      engine: _held_models(view.state_by_engine[engine])
      for engine in usable_by_zone.get(view.zone, [])
      if engine in view.state_by_engine
  }
  wanted_by_engine = model_placement.place(
      view.model_by_name, share_by_model, held_by_engine
  )
  need_by_engine = {}
  for host in list_engines(view):
    state = view.state_by_engine.get(host.name)
    if state is None:
      continue
    wanted = wanted_by_engine.get(host.name)
    role = role_by_engine.get(host.name, state.role)
    need_by_engine[host.name] = _find_need(view, state, wanted, role)
  return need_by_engine


def _held_models(state: records.EngineState) -> frozenset[str]:
  return frozenset(
      model_placement.parse_load_unit(m).model for m in state.models
  )


def _find_need(
    view: ZoneView,
    state: records.EngineState,
    wanted: set[str] | None,
    role: str,
) -> _Need:
  """Returns the changes that an engine needs.

  If `wanted` is None, the engine keeps its models.
  """
  held = [model_placement.parse_load_unit(loaded) for loaded in state.models]
  is_drain_wanted = state.endpoint in view.drains
  touched = {unit.model for unit in held}
  if wanted is None or is_drain_wanted:
    return _Need((), (), '', is_drain_wanted, frozenset(touched))
  units = []
  for name in sorted(wanted):
    units += model_placement.list_load_units(view.model_by_name[name])
  loads = tuple(unit for unit in units if unit not in held)
  surplus = [unit for unit in held if unit not in units]
  surplus.sort(key=lambda unit: (unit.adapter == '', unit))
  touched |= {unit.model for unit in loads}
  wanted_role = '' if role == state.role else role
  return _Need(tuple(surplus), loads, wanted_role, False, frozenset(touched))


def _is_change_in_progress(
    view: ZoneView, state: records.EngineState, need: _Need
) -> bool:
  if state.endpoint in view.unsettled or state.is_changing:
    return True
  return state.is_draining and not need.is_drain_wanted


def _continue_change(
    view: ZoneView, state: records.EngineState, need: _Need
) -> list[records.Order]:
  """Returns the next order of a change in progress, if it is due."""
  if state.endpoint in view.unsettled or state.is_changing:
    return []
  engine = state.endpoint
  if need.is_disruptive and state.running:
    return []
  if need.unloads:
    return [_order(engine, records.ACTION_UNLOAD, need.unloads[0])]
  if need.role:
    return [_role_order(engine, need.role)]
  if need.loads:
    return [_order(engine, records.ACTION_LOAD, need.loads[0])]
  return [_order(engine, records.ACTION_UNDRAIN)]


def _begin_change(
    state: records.EngineState, need: _Need
) -> records.Order | None:
  """Returns the first order of a change, or None if none is needed."""
  engine = state.endpoint
  if need.is_drain_wanted:
    if state.is_draining:
      return None
    return _order(engine, records.ACTION_DRAIN)
  if need.is_disruptive:
    return _order(engine, records.ACTION_DRAIN)
  if need.loads:
    return _order(engine, records.ACTION_LOAD, need.loads[0])
  return None


_NO_UNIT = model_placement.LoadUnit('', '', '')


def _order(
    engine: str, action: str, unit: model_placement.LoadUnit = _NO_UNIT
) -> records.Order:
  return records.Order(
      engine, 0, 0, action, unit.model, unit.version, unit.adapter, ''
  )


def _role_order(engine: str, role: str) -> records.Order:
  return records.Order(engine, 0, 0, records.ACTION_ROLE, '', '', '', role)
