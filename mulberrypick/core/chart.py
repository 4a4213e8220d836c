"""State charts: lifecycles as data that program and model checker share.

A chart is a TOML file beside this module, in `charts/`:

    name = "lease"
    initial = "standby"
    [transitions.standby]
    acquired = "holder"
    [transitions.holder]
    expired = "standby"

The interpreter is a table lookup, without callbacks and without an object per
lifecycle: the caller keeps the state, a string, among its own records. That
keeps transitions pure, which the model checker needs, and costs well under a
microsecond, so that they can stand on the path of a request.
"""

import importlib.resources
import tomllib
from typing import NamedTuple

from mulberrypick.core import errors


class Chart(NamedTuple):
  """A finite lifecycle.

  Attributes:
    name: Name of the chart, the file's stem.
    initial: The state that a new lifecycle starts in.
    target_by_event_by_state: The next state for each state and event.
  """

  name: str
  initial: str
  target_by_event_by_state: dict[str, dict[str, str]]


def parse_chart(text: str) -> Chart:
  """Parses and checks a chart.

  Args:
    text: The TOML text.

  Returns:
    The chart.

  Raises:
    ChartError: A target or the initial state is not a state of the chart.
  """
  data = tomllib.loads(text)
  chart = Chart(data['name'], data['initial'], data['transitions'])
  states = chart.target_by_event_by_state
  if chart.initial not in states:
    raise errors.ChartError(f'{chart.name}: no state {chart.initial}')
  for state, target_by_event in states.items():
    for event, target in target_by_event.items():
      if target not in states:
        raise errors.ChartError(f'{chart.name}: {state}.{event} to {target}')
  return chart


def load_chart(name: str) -> Chart:
  """Loads a chart that ships with the package, by its name."""
  folder = importlib.resources.files('mulberrypick.core') / 'charts'
  return parse_chart((folder / f'{name}.toml').read_text())


def advance(chart: Chart, state: str, event: str) -> str:
  """Returns the state after an event.

  Raises:
    ChartError: The event does not belong to the state.
  """
  target = chart.target_by_event_by_state.get(state, {}).get(event)
  if target is None:
    raise errors.ChartError(f'{chart.name}: no event {event} in {state}')
  return target


def is_allowed(chart: Chart, state: str, event: str) -> bool:
  """Tells whether an event belongs to a state."""
  return event in chart.target_by_event_by_state.get(state, {})
