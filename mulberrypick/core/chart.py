"""State charts: state machines as data, shared with the model checker.

A chart is a TOML file in the folder `charts/` beside this module:

    name = "lease"
    initial = "standby"
    [transitions.standby]
    acquired = "holder"
    [transitions.holder]
    expired = "standby"

The interpreter is a table lookup, without callbacks and without an object for
each state machine: the caller stores the current state as a string in its own
records. Transitions therefore have no side effects, which the model checker
requires, and take well under a microsecond, which is fast enough for the
request path.
"""

import importlib.resources
import tomllib
from typing import NamedTuple

from mulberrypick.core import errors


class Chart(NamedTuple):
  """A finite state machine.

  Attributes:
    name: Name of the chart, equal to the stem of its file name.
    initial: The initial state.
    target_by_event_by_state: The next state for each state and event.
  """

  name: str
  initial: str
  target_by_event_by_state: dict[str, dict[str, str]]


def parse_chart(text: str) -> Chart:
  """Parses and validates a chart.

  Args:
    text: The TOML text.

  Returns:
    The chart.

  Raises:
    ChartError: The initial state or a target is not a state of the chart.
  """
  data = tomllib.loads(text)
  chart = Chart(data['name'], data['initial'], data['transitions'])
  states = chart.target_by_event_by_state
  if chart.initial not in states:
    raise errors.ChartError(
        f'{chart.name}: the initial state {chart.initial} does not exist'
    )
  for state, target_by_event in states.items():
    for event, target in target_by_event.items():
      if target not in states:
        raise errors.ChartError(
            f'{chart.name}: {state}.{event} to {target}, which does not exist'
        )
  return chart


def load_chart(name: str) -> Chart:
  """Loads a chart of this package by its name."""
  folder = importlib.resources.files('mulberrypick.core') / 'charts'
  return parse_chart((folder / f'{name}.toml').read_text())


def advance(chart: Chart, state: str, event: str) -> str:
  """Returns the state after an event.

  Raises:
    ChartError: The state has no transition for the event.
  """
  target = chart.target_by_event_by_state.get(state, {}).get(event)
  if target is None:
    raise errors.ChartError(f'{chart.name}: no event {event} in {state}')
  return target


def is_allowed(chart: Chart, state: str, event: str) -> bool:
  """Returns whether a state has a transition for an event."""
  return event in chart.target_by_event_by_state.get(state, {})
