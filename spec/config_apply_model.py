"""Model of applying changes of the configuration.

`config-apply` has two operators who race, lose answers, give up and crash at
every step, and writes that land late. `config-parts` has them race with each
other and with the removal of old parts, and change back what was changed.
Both share their steps; in one space they would be too many to search.

The transitions come from `core/charts/config_apply.toml`, and the verdict on a
lost answer from `config_apply.judge`. Each way to be wrong that the design
rules out is a broken variant.
"""

from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import config_parts
from mulberrypick.ops import config_apply
from spec import check

APPLY_CHART = chart.load_chart('config_apply')

OPERATORS = ('ana', 'berta')
ONE_CONTENT = ('x',)
TWO_CONTENTS = ('x', 'y')
MAX_GENERATION = 3
MAX_LATE = 1
IDLE = 'idle'

# Ways to be wrong.
BLIND_WRITE = 'blind-write'
CONFLICT_IS_REFUSAL = 'conflict-is-refusal'
NO_HISTORY = 'no-history'
LOST_IS_REFUSAL = 'lost-is-refusal'
LOST_IS_SUCCESS = 'lost-is-success'
DIGEST_NAMES = 'digest-names'


class Entry(NamedTuple):
  """One accepted generation: whose attempt, planned on what, which part."""

  attempt: tuple[str, int]
  planned_on: int
  part: tuple[int, str]


class Operator(NamedTuple):
  """One operator's attempt.

  `state` is that of the chart, or `IDLE`. `write` is the entry to write once
  its part is there; `may_have_landed` after a lost answer.
  """

  state: str
  number: int
  planned_on: int
  content: str
  write: Entry | None
  may_have_landed: bool
  to_remove: frozenset


class Apply(NamedTuple):
  """The platform's log and parts, the operators, and writes on their way."""

  log: tuple[Entry, ...]
  parts: frozenset
  operators: tuple[Operator, ...]
  late: frozenset
  tidy: tuple[int, frozenset] | None
  told: frozenset


_NEW = Operator(IDLE, 0, 0, '', None, False, frozenset())


def _name_part(state: Apply, content: str, generation: int, broken: str):
  """Names a part as `config_parts` does: the old name if it is in the tree."""
  if broken == DIGEST_NAMES:
    return (0, content)
  if state.log and state.log[-1].part[1] == content:
    return state.log[-1].part
  return (generation, content)


def _judge(log: tuple[Entry, ...], write: Entry, broken: str) -> str:
  """Asks the program's own code what became of a write."""
  kept = log[-1:] if broken == NO_HISTORY else log
  first = len(log) - len(kept) + 1
  history = tuple(
      _accept(first + i, entry.attempt) for i, entry in enumerate(kept)
  )[::-1]
  head = config_parts.EMPTY_HEAD._replace(generation=len(log), history=history)
  own = _accept(write.planned_on + 1, write.attempt)
  event = config_apply.find_write_event(head, own)
  if broken == NO_HISTORY and event == 'history_too_short':
    return 'own_nonce_absent'
  return event


def _accept(generation: int, attempt: tuple[str, int]):
  nonce = f'{attempt[0]}/{attempt[1]}'
  return config_parts.Acceptance(generation, attempt[0], nonce)


def _land(log, write: Entry, broken: str):
  """Returns the log after a conditional write, None for a conflict."""
  if write.planned_on != len(log) and broken != BLIND_WRITE:
    return None
  if len(log) >= MAX_GENERATION:
    return None
  return (*log, write)


class _ApplySteps:
  """The successors of one state of `config-apply`."""

  def __init__(self, state: Apply, broken: str, has_losses: bool, attempts):
    self.state = state
    self.broken = broken
    self.has_losses = has_losses
    self.contents = ONE_CONTENT if has_losses else TWO_CONTENTS
    self.attempts = attempts
    self.found = []

  def add(self, label: str, index: int, operator: Operator, **changes):
    operators = list(self.state.operators)
    operators[index] = operator
    label = f'{OPERATORS[index]} {label}' if label else ''
    self.found.append(
        (label, self.state._replace(operators=tuple(operators), **changes))
    )

  def all(self):
    for index, operator in enumerate(self.state.operators):
      if operator.state == IDLE:
        self.plan(index, operator)
      elif operator.state == 'planned' and operator.write is None:
        self.upload(index, operator)
      elif operator.state == 'planned':
        self.write(index, operator)
      elif operator.state == 'unsettled':
        self.settle(index, operator)
      else:
        self.finish(index, operator)
      if operator.state != IDLE:
        self.add('crashes', index, _NEW._replace(number=operator.number))
    if self.has_losses:
      self.deliver_late()
    else:
      self.tidy()
    return self.found

  def plan(self, index, operator):
    if operator.number == self.attempts[index]:
      return
    for content in self.contents:
      planned = Operator(
          APPLY_CHART.initial,
          operator.number + 1,
          len(self.state.log),
          content,
          None,
          False,
          frozenset(),
      )
      self.add(f'plans {content}', index, planned)

  def upload(self, index, operator):
    planned_on = operator.planned_on
    if planned_on != len(self.state.log):
      # It reads the head again before it writes parts.
      refused = operator._replace(state='refused')
      self.add('finds a newer head', index, refused)
      return
    part = _name_part(self.state, operator.content, planned_on + 1, self.broken)
    attempt = (OPERATORS[index], operator.number)
    write = Entry(attempt, planned_on, part)
    self.add(
        'uploads',
        index,
        operator._replace(write=write),
        parts=self.state.parts | {part},
    )

  def write(self, index, operator):
    log = _land(self.state.log, operator.write, self.broken)
    lost = operator._replace(may_have_landed=True)
    if log is None:
      event = 'conflict'
      state = chart.advance(APPLY_CHART, operator.state, event)
      if self.broken == CONFLICT_IS_REFUSAL:
        state = 'refused'
      self.told('is refused by the platform', index, operator, state)
    else:
      state = chart.advance(APPLY_CHART, operator.state, 'written')
      self.accept('writes', index, operator, state, log)
      if self.has_losses:
        self.add('writes, answer lost', index, lost, log=log)
    if self.has_losses and len(self.state.late) < MAX_LATE:
      late = self.state.late | {operator.write}
      self.add('writes, on its way', index, lost, late=late)
    self.give_up(index, operator)

  def give_up(self, index, operator):
    state = 'unknown' if operator.may_have_landed else 'refused'
    if self.broken == LOST_IS_REFUSAL:
      state = 'refused'
    if self.broken == LOST_IS_SUCCESS and operator.may_have_landed:
      state = 'accepted'
    self.told('gives up', index, operator, state)

  def settle(self, index, operator):
    event = _judge(self.state.log, operator.write, self.broken)
    state = chart.advance(APPLY_CHART, operator.state, event)
    if state == 'accepted':
      self.accept('finds its nonce', index, operator, state, self.state.log)
      return
    self.told('does not find its nonce', index, operator, state)

  def accept(self, label, index, operator, state, log):
    """Remembers the parts that left the tree by this change."""
    generation = operator.planned_on + 1
    old = {log[generation - 2].part} if generation > 1 else set()
    replaced = frozenset(old - {operator.write.part})
    self.told(
        label, index, operator._replace(to_remove=replaced), state, log=log
    )

  def told(self, label, index, operator, state, **changes):
    attempt = (OPERATORS[index], operator.number)
    self.add(
        f'{label}: {state}',
        index,
        operator._replace(state=state),
        told=self.state.told | {(attempt, state)},
        **changes,
    )

  def finish(self, index, operator):
    done = _NEW._replace(number=operator.number)
    parts = self.state.parts - operator.to_remove
    label = 'removes what it replaced' if operator.to_remove else 'is done'
    self.add(label, index, done, parts=parts)

  def deliver_late(self):
    for write in self.state.late:
      log = _land(self.state.log, write, self.broken) or self.state.log
      late = self.state.late - {write}
      self.found.append(
          (
              f'late write of {write.attempt}',
              self.state._replace(log=log, late=late),
          )
      )

  def tidy(self):
    state = self.state
    if state.tidy is None and state.log:
      seen = (len(state.log), frozenset({state.log[-1].part}))
      self.found.append(('tidy reads the head', state._replace(tidy=seen)))
    if state.tidy is None:
      return
    generation, names = state.tidy
    garbage = {
        part
        for part in state.parts
        if part[0] <= generation and part not in names
    }
    self.found.append(
        ('tidy removes', state._replace(parts=state.parts - garbage, tidy=None))
    )


def _attempts_in(state: Apply) -> set:
  return {entry.attempt for entry in state.log}


def _accepted_stand(state: Apply) -> bool:
  accepted = {a for a, verdict in state.told if verdict == 'accepted'}
  return accepted <= _attempts_in(state)


def _refused_are_out(state: Apply) -> bool:
  refused = {a for a, verdict in state.told if verdict == 'refused'}
  return not refused & _attempts_in(state)


def _none_overwritten(state: Apply) -> bool:
  return all(entry.planned_on == i for i, entry in enumerate(state.log))


def _parts_exist(state: Apply) -> bool:
  return not state.log or state.log[-1].part in state.parts


def _once(state: Apply) -> bool:
  return len(_attempts_in(state)) == len(state.log)


_LOSS_WITNESSES = {
    'a lost answer is settled after another change': (
        lambda s: len(s.log) == 2
        and not s.late
        and {(s.log[0].attempt, 'accepted'), (s.log[1].attempt, 'accepted')}
        <= s.told
    ),
    'an outcome is told as unknown': (
        lambda s: any(verdict == 'unknown' for _, verdict in s.told)
    ),
    'a late write lands': (
        lambda s: any((e.attempt, 'unknown') in s.told for e in s.log)
    ),
}

_PART_WITNESSES = {
    'a change is changed back': (
        lambda s: len(s.log) == MAX_GENERATION
        and s.log[0].part[1] == s.log[2].part[1] != s.log[1].part[1]
    ),
    'an old part is gone': (
        lambda s: len(s.log) > 1 and s.log[0].part not in s.parts
    ),
}


def make_apply(
    name: str, broken: str = '', breaks: str = '', attempts=(2, 2)
) -> check.Specification:
  """Makes `config-apply` or `config-parts`, or one with a rule broken."""
  has_losses = name == 'config-apply'
  return check.Specification(
      name=f'{name}/{broken}' if broken else name,
      initial=(
          Apply((), frozenset(), (_NEW, _NEW), frozenset(), None, frozenset()),
      ),
      next=lambda state: _ApplySteps(state, broken, has_losses, attempts).all(),
      invariant_by_name={
          'an accepted change is in the log': _accepted_stand,
          'a refused change is not': _refused_are_out,
          'no change is planned on an older generation': _none_overwritten,
          'no change lands twice': _once,
          'all parts of the head exist': _parts_exist,
      },
      breaks=breaks,
      witness_by_name=_LOSS_WITNESSES if has_losses else _PART_WITNESSES,
  )


def specifications() -> list[check.Specification]:
  """Lists both specifications."""
  return [make_apply('config-apply'), make_apply('config-parts')]


def broken_variants() -> list[check.Specification]:
  """Lists the broken variants, at least one for each property."""
  planned = 'no change is planned on an older generation'
  refused = 'a refused change is not'
  return [
      make_apply('config-apply', BLIND_WRITE, planned),
      make_apply('config-apply', BLIND_WRITE, 'no change lands twice'),
      make_apply('config-apply', CONFLICT_IS_REFUSAL, refused),
      make_apply('config-apply', NO_HISTORY, refused),
      make_apply('config-apply', LOST_IS_REFUSAL, refused),
      make_apply(
          'config-apply', LOST_IS_SUCCESS, 'an accepted change is in the log'
      ),
      make_apply('config-parts', DIGEST_NAMES, 'all parts of the head exist'),
  ]
