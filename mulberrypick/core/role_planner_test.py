"""Tests for the planning of role changes."""

import unittest

from mulberrypick.core import reconcile
from mulberrypick.core import records
from mulberrypick.core import role_planner

PROMPTS = role_planner.RoleDemand(6.0, 2.0)
OUTPUTS = role_planner.RoleDemand(2.0, 6.0)


class EngineSimulation:
  """Simulates engines that apply planned role changes after a delay."""

  def __init__(self, roles_text):
    self.planner = role_planner.ForecastRolePlanner()
    self.changes = 0
    self.state_by_engine = {}
    self._done_at_by_engine = {}
    for number, role in enumerate(roles_text.split()):
      name = f'e{number}'
      self.state_by_engine[name] = records.EngineState(
          name, 1, role, ('m@1',), 0, 0, False, False, 0
      )

  def split(self):
    """Returns the number of engines by role: prefill, decode, mixed."""
    found = [state.role for state in self.state_by_engine.values()]
    return tuple(found.count(role) for role in role_planner.RoleSplit._fields)

  def run(self, demand, start, end, is_demand_reported=True):
    """Simulates the seconds from `start` to `end` with a constant demand."""
    for now in range(start, end):
      if is_demand_reported:
        self.planner.record_demand({'m': demand}, float(now))
      for engine, role in self._plan(float(now)).items():
        self._change(engine, role, now)

  def _plan(self, now):
    view = reconcile.ZoneView(
        'z1', {}, (), frozenset(), self.state_by_engine, {}, frozenset()
    )
    return self.planner.plan(view, now)

  def _change(self, engine, role, now):
    state = self.state_by_engine[engine]
    if not state.is_changing:
      self.changes += 1
      self._done_at_by_engine[engine] = now + 3
      state = state._replace(is_changing=True)
    elif now >= self._done_at_by_engine[engine]:
      state = state._replace(is_changing=False, role=role)
    self.state_by_engine[engine] = state


class TestForecast(unittest.TestCase):

  def test_nothing_changes_while_the_split_serves_the_demand(self):
    simulation = EngineSimulation(
        'prefill prefill prefill decode decode decode'
    )
    simulation.run(role_planner.RoleDemand(2.5, 2.5), 0, 120)
    self.assertEqual(0, simulation.changes)

  def test_engines_follow_a_change_of_demand(self):
    simulation = EngineSimulation(
        'prefill prefill prefill prefill decode decode decode decode'
    )
    simulation.run(PROMPTS, 0, 60)
    split = role_planner.RoleSplit(*simulation.split())
    self.assertGreaterEqual(role_planner.served_fraction(split, PROMPTS), 0.95)
    self.assertLessEqual(simulation.changes, 2)
    simulation.run(OUTPUTS, 60, 140)
    split = role_planner.RoleSplit(*simulation.split())
    self.assertGreaterEqual(role_planner.served_fraction(split, OUTPUTS), 0.95)
    # One change for each engine that had to change its role.
    self.assertLessEqual(simulation.changes, 6)

  def test_an_oscillating_demand_causes_few_changes(self):
    simulation = EngineSimulation(
        'prefill prefill prefill prefill decode decode decode decode'
    )
    for number in range(30):
      demand = (PROMPTS, OUTPUTS)[number % 2]
      simulation.run(demand, 4 * number, 4 * number + 4)
    self.assertLessEqual(simulation.changes, 6)

  def test_a_small_gain_is_not_worth_a_change(self):
    simulation = EngineSimulation('prefill prefill decode decode')
    simulation.run(role_planner.RoleDemand(2.1, 1.9), 0, 60)
    self.assertEqual(0, simulation.changes)

  def test_mixed_engines_need_no_change(self):
    simulation = EngineSimulation('mixed mixed mixed mixed mixed mixed')
    simulation.run(PROMPTS, 0, 60)
    simulation.run(OUTPUTS, 60, 120)
    self.assertEqual(0, simulation.changes)

  def test_no_roles_change_without_recent_demand(self):
    simulation = EngineSimulation('prefill prefill decode decode')
    simulation.run(PROMPTS, 0, 1)
    simulation = EngineSimulation('prefill prefill decode decode')
    simulation.run(PROMPTS, 0, 60, is_demand_reported=False)
    self.assertEqual(0, simulation.changes)

  def test_an_engine_for_each_kind_of_work_stays(self):
    for demand in (
        role_planner.RoleDemand(9.0, 0.1),
        role_planner.RoleDemand(0.1, 9.0),
    ):
      simulation = EngineSimulation('prefill decode')
      simulation.run(demand, 0, 60)
      prefill, decode, mixed = simulation.split()
      self.assertGreaterEqual(prefill + mixed, 1)
      self.assertGreaterEqual(decode + mixed, 1)


class TestGain(unittest.TestCase):

  def test_the_time_of_a_role_change_is_charged(self):
    split = role_planner.RoleSplit(4, 4, 0)
    busy = role_planner.RoleDemand(4.0, 4.0)
    self.assertLess(
        role_planner.estimate_gain(split, 'prefill', 'decode', busy), 0.0
    )
    shifted = role_planner.RoleDemand(2.0, 6.0)
    self.assertGreater(
        role_planner.estimate_gain(split, 'prefill', 'decode', shifted), 0.0
    )

  def test_the_forecast_follows_a_trend(self):
    trend = role_planner.DemandTrend()
    for second in range(8):
      trend.add(role_planner.RoleDemand(1.0 + 0.5 * second, 4.0), float(second))
    self.assertAlmostEqual(7.0, trend.forecast(5.0).prefill)
    self.assertAlmostEqual(4.0, trend.forecast(5.0).decode)


if __name__ == '__main__':
  unittest.main()
