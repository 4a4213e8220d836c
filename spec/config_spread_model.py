"""Model of the spread of configurations between processes.

Two processes hear of generations late, twice and in any order, restart without
memory, and are cut off from each other and from the platform. The transitions
come from `core/charts/config.toml`. Each way to be wrong that the design rules
out is a broken variant; a witness shows the limit of what a restart without
memory can promise.
"""

from typing import NamedTuple

from mulberrypick.core import chart
from spec import check

SPREAD_CHART = chart.load_chart('config')
PROCESSES = 2
MAX_HEAD = 2
READY = 'ready'

# Ways to be wrong.
TAKES_OLDER = 'takes-older'
READY_AT_ONCE = 'ready-at-once'
UNREADY_TELLS = 'unready-tells'


class Process(NamedTuple):
  """One process; the last four fields are ghosts for the properties.

  `has_read` is whether it read the platform before it was ready.
  """

  state: str
  generation: int
  newest_known: int
  is_cut: bool
  before_restart: int
  has_read: bool
  was_informed: bool
  went_back: bool


class Spread(NamedTuple):
  """The platform's newest generation, the processes, and all news ever sent.

  News are kept for ever: they arrive late, twice and in any order.
  """

  head: int
  is_away: bool
  processes: tuple[Process, ...]
  news: frozenset


_FRESH = Process(SPREAD_CHART.initial, 0, -1, False, 0, False, False, False)


class _SpreadSteps:
  """The successors of one state of `config-spread`."""

  def __init__(self, state: Spread, broken: str):
    self.state = state
    self.broken = broken
    self.found = []

  def add(self, label: str, index: int, process: Process, **changes):
    processes = list(self.state.processes)
    processes[index] = process
    self.found.append(
        (
            f'{index} {label}',
            self.state._replace(processes=tuple(processes), **changes),
        )
    )

  def all(self):
    state = self.state
    if state.head < MAX_HEAD and not state.is_away:
      accepted = state._replace(head=state.head + 1)
      self.found.append(('a change is accepted', accepted))
    away = state._replace(is_away=not state.is_away)
    self.found.append(('the platform comes or goes', away))
    for index, process in enumerate(state.processes):
      self.steps_of(index, process)
    return self.found

  def steps_of(self, index: int, process: Process):
    cut = process._replace(is_cut=not process.is_cut)
    self.add('is cut off or healed', index, cut)
    fresh = _FRESH._replace(
        is_cut=process.is_cut,
        before_restart=max(process.before_restart, process.generation),
    )
    # Its sockets are new, so that no old news reaches it.
    news = frozenset(n for n in self.state.news if n[0] != index)
    self.add('restarts', index, fresh, news=news)
    if not self.state.is_away and not process.is_cut:
      self.read(index, process)
    self.hear(index, process)
    self.tell(index, process)
    if chart.is_allowed(SPREAD_CHART, process.state, 'newest_adopted'):
      self.settle(index, process)

  def read(self, index, process):
    """Notes the head; the parts follow as news from the platform."""
    noted = self.note(process, 'platform_read', self.state.head)
    has_read = process.has_read or process.state != READY
    noted = noted._replace(has_read=has_read, was_informed=True)
    news = self.state.news | {(index, self.state.head)}
    self.add('reads the platform', index, noted, news=news)

  def note(self, process, event, generation):
    return process._replace(
        state=chart.advance(SPREAD_CHART, process.state, event),
        newest_known=max(process.newest_known, generation),
    )

  def hear(self, index, process):
    for receiver, generation in self.state.news:
      if receiver != index:
        continue
      adopted = self.adopt(process, generation)
      self.add(f'adopts {generation} if newer', index, adopted)

  def adopt(self, process, generation):
    if generation <= process.generation and self.broken != TAKES_OLDER:
      return process
    return process._replace(
        generation=generation,
        went_back=process.went_back or generation < process.generation,
    )

  def tell(self, index, process):
    other = 1 - index
    receiver = self.state.processes[other]
    if process.is_cut or receiver.is_cut:
      return
    if process.state != READY and self.broken != UNREADY_TELLS:
      return
    noted = self.note(receiver, 'peer_told', process.generation)
    is_ready = process.state == READY
    noted = noted._replace(was_informed=noted.was_informed or is_ready)
    news = self.state.news | {(other, process.generation)}
    self.add(f'hears from {index}', other, noted, news=news)

  def settle(self, index, process):
    is_newest = process.generation >= process.newest_known
    if is_newest or self.broken == READY_AT_ONCE:
      state = chart.advance(SPREAD_CHART, process.state, 'newest_adopted')
      if process.state != READY:
        self.add('is ready', index, process._replace(state=state))


def _is_late(state: Spread) -> bool:
  return any(
      p.state == READY and p.generation < p.before_restart
      for p in state.processes
  )


def make_spread(broken: str = '', breaks: str = '') -> check.Specification:
  """Makes `config-spread`, or a variant with one rule broken."""

  def each(holds):
    return lambda state: all(holds(p, state) for p in state.processes)

  return check.Specification(
      name=f'config-spread/{broken}' if broken else 'config-spread',
      initial=(Spread(0, False, (_FRESH,) * PROCESSES, frozenset()),),
      next=lambda state: _SpreadSteps(state, broken).all(),
      invariant_by_name={
          'a running process never goes back': each(
              lambda p, s: not p.went_back
          ),
          'ready only after the platform or a ready peer told': each(
              lambda p, s: p.state != READY or p.was_informed
          ),
          'ready after a read is as new as before the restart': each(
              lambda p, s: p.state != READY
              or not p.has_read
              or p.generation >= p.before_restart
          ),
      },
      breaks=breaks,
      witness_by_name={
          'limit: after a restart without the platform it may be older': (
              _is_late
          ),
          'ready by a peer alone': lambda s: any(
              p.state == READY and not p.has_read and p.generation == MAX_HEAD
              for p in s.processes
          ),
      },
  )


def broken_variants() -> list[check.Specification]:
  """Lists the broken variants, one for each property."""
  informed = 'ready only after the platform or a ready peer told'
  as_new = 'ready after a read is as new as before the restart'
  return [
      make_spread(TAKES_OLDER, 'a running process never goes back'),
      make_spread(READY_AT_ONCE, as_new),
      make_spread(UNREADY_TELLS, informed),
  ]
