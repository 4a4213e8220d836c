"""Specification of distributing the configuration between processes.

Two processes receive messages about generations late, repeatedly and in any
order. They restart without memory, and may be partitioned from each other and
from the platform. The transitions come from `core/charts/config.toml`. Each
fault that the design excludes is a broken variant. A witness shows a known
limit: a process that restarts while the platform is unavailable may become
ready with an older generation than it had before.
"""

from typing import NamedTuple

from mulberrypick.core import chart
from spec import check

SPREAD_CHART = chart.load_chart('config')
PROCESSES = 2
MAX_HEAD = 2
READY = 'ready'

# Names of the deliberate faults. Each broken variant has one of them, and the
# model checker must find that it violates a property.
ADOPTS_OLDER = 'takes-older'
READY_IMMEDIATELY = 'ready-at-once'
SENDS_BEFORE_READY = 'unready-tells'


class Process(NamedTuple):
  """One process.

  The last four fields are ghost variables: only the properties read them.

  Attributes:
    state: State in the chart.
    generation: Generation in force.
    newest_known: Newest generation that it knows of, -1 if it knows none.
    is_partitioned: Whether it can reach neither the platform nor its peer.
    generation_before_restart: Newest generation that was in force before a
      restart.
    has_read_platform: Whether it read the platform before it was ready.
    was_informed: Whether the platform or a ready peer named a generation to it
      since its last restart.
    has_regressed: Whether it replaced a generation by an older one.
  """

  state: str
  generation: int
  newest_known: int
  is_partitioned: bool
  generation_before_restart: int
  has_read_platform: bool
  was_informed: bool
  has_regressed: bool


class SpreadState(NamedTuple):
  """State of the platform, the processes and the messages in flight.

  Attributes:
    head: Newest generation on the platform.
    is_platform_down: Whether the platform is unavailable.
    processes: The processes.
    messages: Receiver and generation of every message. Messages stay after
      delivery, so that they can arrive late, repeatedly and in any order.
  """

  head: int
  is_platform_down: bool
  processes: tuple[Process, ...]
  messages: frozenset


_RESTARTED = Process(SPREAD_CHART.initial, 0, -1, False, 0, False, False, False)


class _SpreadSteps:
  """Computes the successors of a state of `config-spread`."""

  def __init__(self, state: SpreadState, broken_rule: str):
    self.state = state
    self.broken_rule = broken_rule
    self.successors = []

  def add(self, label: str, index: int, process: Process, **changes):
    processes = list(self.state.processes)
    processes[index] = process
    self.successors.append(
        (
            f'{index} {label}',
            self.state._replace(processes=tuple(processes), **changes),
        )
    )

  def list_successors(self):
    state = self.state
    if state.head < MAX_HEAD and not state.is_platform_down:
      accepted = state._replace(head=state.head + 1)
      self.successors.append(('a change is accepted', accepted))
    toggled = state._replace(is_platform_down=not state.is_platform_down)
    self.successors.append(('the platform comes or goes', toggled))
    for index, process in enumerate(state.processes):
      self.add_process_steps(index, process)
    return self.successors

  def add_process_steps(self, index: int, process: Process):
    toggled = process._replace(is_partitioned=not process.is_partitioned)
    self.add('is cut off or healed', index, toggled)
    fresh = _RESTARTED._replace(
        is_partitioned=process.is_partitioned,
        generation_before_restart=max(
            process.generation_before_restart, process.generation
        ),
    )
    # Its sockets are new, so no message sent before the restart reaches it.
    messages = frozenset(n for n in self.state.messages if n[0] != index)
    self.add('restarts', index, fresh, messages=messages)
    if not self.state.is_platform_down and not process.is_partitioned:
      self.read_platform(index, process)
    self.receive(index, process)
    self.send_to_peer(index, process)
    if chart.is_allowed(SPREAD_CHART, process.state, 'newest_adopted'):
      self.become_ready(index, process)

  def read_platform(self, index, process):
    """Reads the head; the generation itself follows as a message."""
    updated = self.update_newest_known(
        process, 'platform_read', self.state.head
    )
    has_read_platform = process.has_read_platform or process.state != READY
    updated = updated._replace(
        has_read_platform=has_read_platform, was_informed=True
    )
    messages = self.state.messages | {(index, self.state.head)}
    self.add('reads the platform', index, updated, messages=messages)

  def update_newest_known(self, process, event, generation):
    return process._replace(
        state=chart.advance(SPREAD_CHART, process.state, event),
        newest_known=max(process.newest_known, generation),
    )

  def receive(self, index, process):
    for receiver, generation in self.state.messages:
      if receiver != index:
        continue
      adopted = self.adopt(process, generation)
      self.add(f'adopts {generation} if newer', index, adopted)

  def adopt(self, process, generation):
    if generation <= process.generation and self.broken_rule != ADOPTS_OLDER:
      return process
    return process._replace(
        generation=generation,
        has_regressed=process.has_regressed or generation < process.generation,
    )

  def send_to_peer(self, index, process):
    other = 1 - index
    receiver = self.state.processes[other]
    if process.is_partitioned or receiver.is_partitioned:
      return
    if process.state != READY and self.broken_rule != SENDS_BEFORE_READY:
      return
    updated = self.update_newest_known(
        receiver, 'peer_told', process.generation
    )
    is_ready = process.state == READY
    updated = updated._replace(was_informed=updated.was_informed or is_ready)
    messages = self.state.messages | {(other, process.generation)}
    self.add(f'hears from {index}', other, updated, messages=messages)

  def become_ready(self, index, process):
    is_newest = process.generation >= process.newest_known
    if is_newest or self.broken_rule == READY_IMMEDIATELY:
      state = chart.advance(SPREAD_CHART, process.state, 'newest_adopted')
      if process.state != READY:
        self.add('is ready', index, process._replace(state=state))


def _is_ready_with_older(state: SpreadState) -> bool:
  return any(
      p.state == READY and p.generation < p.generation_before_restart
      for p in state.processes
  )


def make_spread_specification(
    broken_rule: str = '', expected_violation: str = ''
) -> check.Specification:
  """Returns `config-spread`, or a broken variant of it."""

  def each(holds):
    return lambda state: all(holds(p, state) for p in state.processes)

  return check.Specification(
      name=f'config-spread/{broken_rule}' if broken_rule else 'config-spread',
      initial=(SpreadState(0, False, (_RESTARTED,) * PROCESSES, frozenset()),),
      next=lambda state: _SpreadSteps(state, broken_rule).list_successors(),
      invariant_by_name={
          'a running process never goes back': each(
              lambda p, s: not p.has_regressed
          ),
          'ready only after the platform or a ready peer told': each(
              lambda p, s: p.state != READY or p.was_informed
          ),
          'ready after a read is as new as before the restart': each(
              lambda p, s: p.state != READY
              or not p.has_read_platform
              or p.generation >= p.generation_before_restart
          ),
      },
      expected_violation=expected_violation,
      witness_by_name={
          'limit: after a restart without the platform it may be older': (
              _is_ready_with_older
          ),
          'ready by a peer alone': lambda s: any(
              p.state == READY
              and not p.has_read_platform
              and p.generation == MAX_HEAD
              for p in s.processes
          ),
      },
  )


def broken_variants() -> list[check.Specification]:
  """Returns the broken variants, one for each property."""
  informed = 'ready only after the platform or a ready peer told'
  as_new = 'ready after a read is as new as before the restart'
  return [
      make_spread_specification(
          ADOPTS_OLDER, 'a running process never goes back'
      ),
      make_spread_specification(READY_IMMEDIATELY, as_new),
      make_spread_specification(SENDS_BEFORE_READY, informed),
  ]
