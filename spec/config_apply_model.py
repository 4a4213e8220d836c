"""Specifications of applying changes to the configuration.

In `config-apply`, two concurrent operators may lose responses, give up or crash
at every step, and their writes may take effect late. In `config-parts`, they
race with each other and with the removal of old parts, and revert changes. The
two specifications share their steps; a single one that combines them would have
too many states to search.

The transitions come from `core/charts/config_apply.toml`. What became of a
write whose response was lost is decided by `config_apply.find_write_event`.
Each fault that the design excludes is a broken variant.
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
MAX_DELAYED_WRITES = 1
IDLE = 'idle'

# Names of the deliberate faults. Each broken variant has one of them, and the
# model checker must find that it violates a property.
BLIND_WRITE = 'blind-write'
CONFLICT_IS_REFUSAL = 'conflict-is-refusal'
NO_HISTORY = 'no-history'
LOST_IS_REFUSAL = 'lost-is-refusal'
LOST_IS_SUCCESS = 'lost-is-success'
DIGEST_NAMES = 'digest-names'


class LogEntry(NamedTuple):
  """One accepted generation of the configuration.

  Attributes:
    attempt: Operator and number of the attempt.
    planned_on: Generation that the change was planned on.
    part: Name of the part: the generation that added it, and its content.
  """

  attempt: tuple[str, int]
  planned_on: int
  part: tuple[int, str]


class Operator(NamedTuple):
  """One operator's current attempt.

  Attributes:
    state: State in the chart, or `IDLE`.
    attempt_number: Number of the attempt.
    planned_on: Generation that the change is planned on.
    content: Content of the part to be written.
    write: Log entry to write once its part is uploaded, or None.
    may_be_applied: Whether the response to a write was lost, so that the write
      may take effect.
    to_remove: Parts that the accepted change replaced.
  """

  state: str
  attempt_number: int
  planned_on: int
  content: str
  write: LogEntry | None
  may_be_applied: bool
  to_remove: frozenset


class ApplyState(NamedTuple):
  """State of the platform, the operators and the writes in flight.

  Attributes:
    log: Accepted generations, oldest first.
    parts: Names of the parts stored on the platform.
    operators: The operators.
    delayed_writes: Writes in flight that may take effect late.
    cleanup: Generation and part names that the removal of unused parts read
      from the head, or None if it is not running.
    reported: Attempts and the verdicts that were reported to their operators.
  """

  log: tuple[LogEntry, ...]
  parts: frozenset
  operators: tuple[Operator, ...]
  delayed_writes: frozenset
  cleanup: tuple[int, frozenset] | None
  reported: frozenset


_IDLE_OPERATOR = Operator(IDLE, 0, 0, '', None, False, frozenset())


def _name_part(
    state: ApplyState, content: str, generation: int, broken_rule: str
):
  """Names a part as `config_parts` does; unchanged content keeps its name."""
  if broken_rule == DIGEST_NAMES:
    return (0, content)
  if state.log and state.log[-1].part[1] == content:
    return state.log[-1].part
  return (generation, content)


def _find_write_event(
    log: tuple[LogEntry, ...], write: LogEntry, broken_rule: str
) -> str:
  """Returns the chart event for a write whose response was lost."""
  visible = log[-1:] if broken_rule == NO_HISTORY else log
  first = len(log) - len(visible) + 1
  history = tuple(
      _make_acceptance(first + i, entry.attempt)
      for i, entry in enumerate(visible)
  )[::-1]
  head = config_parts.EMPTY_HEAD._replace(generation=len(log), history=history)
  own = _make_acceptance(write.planned_on + 1, write.attempt)
  event = config_apply.find_write_event(head, own)
  if broken_rule == NO_HISTORY and event == 'history_too_short':
    return 'own_nonce_absent'
  return event


def _make_acceptance(generation: int, attempt: tuple[str, int]):
  nonce = f'{attempt[0]}/{attempt[1]}'
  return config_parts.Acceptance(generation, attempt[0], nonce)


def _append_to_log(log, write: LogEntry, broken_rule: str):
  """Returns the log after a conditional write, or None on a conflict."""
  if write.planned_on != len(log) and broken_rule != BLIND_WRITE:
    return None
  if len(log) >= MAX_GENERATION:
    return None
  return (*log, write)


class _ApplySteps:
  """Computes the successors of a state of either specification."""

  def __init__(
      self, state: ApplyState, broken_rule: str, has_losses: bool, attempts
  ):
    self.state = state
    self.broken_rule = broken_rule
    self.has_losses = has_losses
    self.contents = ONE_CONTENT if has_losses else TWO_CONTENTS
    self.attempts = attempts
    self.successors = []

  def add(self, label: str, index: int, operator: Operator, **changes):
    operators = list(self.state.operators)
    operators[index] = operator
    label = f'{OPERATORS[index]} {label}' if label else ''
    self.successors.append(
        (label, self.state._replace(operators=tuple(operators), **changes))
    )

  def list_successors(self):
    for index, operator in enumerate(self.state.operators):
      if operator.state == IDLE:
        self.plan_change(index, operator)
      elif operator.state == 'planned' and operator.write is None:
        self.upload_part(index, operator)
      elif operator.state == 'planned':
        self.write_head(index, operator)
      elif operator.state == 'unsettled':
        self.resolve_unsettled(index, operator)
      else:
        self.finish(index, operator)
      if operator.state != IDLE:
        self.add(
            'crashes',
            index,
            _IDLE_OPERATOR._replace(attempt_number=operator.attempt_number),
        )
    if self.has_losses:
      self.deliver_delayed_writes()
    else:
      self.clean_up()
    return self.successors

  def plan_change(self, index, operator):
    if operator.attempt_number == self.attempts[index]:
      return
    for content in self.contents:
      planned = Operator(
          APPLY_CHART.initial,
          operator.attempt_number + 1,
          len(self.state.log),
          content,
          None,
          False,
          frozenset(),
      )
      self.add(f'plans {content}', index, planned)

  def upload_part(self, index, operator):
    planned_on = operator.planned_on
    if planned_on != len(self.state.log):
      # The program reads the head again before it writes any part.
      refused = operator._replace(state='refused')
      self.add('finds a newer head', index, refused)
      return
    part = _name_part(
        self.state, operator.content, planned_on + 1, self.broken_rule
    )
    attempt = (OPERATORS[index], operator.attempt_number)
    write = LogEntry(attempt, planned_on, part)
    self.add(
        'uploads',
        index,
        operator._replace(write=write),
        parts=self.state.parts | {part},
    )

  def write_head(self, index, operator):
    log = _append_to_log(self.state.log, operator.write, self.broken_rule)
    lost = operator._replace(may_be_applied=True)
    if log is None:
      event = 'conflict'
      state = chart.advance(APPLY_CHART, operator.state, event)
      if self.broken_rule == CONFLICT_IS_REFUSAL:
        state = 'refused'
      self.report('is refused by the platform', index, operator, state)
    else:
      state = chart.advance(APPLY_CHART, operator.state, 'written')
      self.record_accepted('writes', index, operator, state, log)
      if self.has_losses:
        self.add('writes, answer lost', index, lost, log=log)
    if self.has_losses and len(self.state.delayed_writes) < MAX_DELAYED_WRITES:
      delayed_writes = self.state.delayed_writes | {operator.write}
      self.add('writes, on its way', index, lost, delayed_writes=delayed_writes)
    self.give_up(index, operator)

  def give_up(self, index, operator):
    state = 'unknown' if operator.may_be_applied else 'refused'
    if self.broken_rule == LOST_IS_REFUSAL:
      state = 'refused'
    if self.broken_rule == LOST_IS_SUCCESS and operator.may_be_applied:
      state = 'accepted'
    self.report('gives up', index, operator, state)

  def resolve_unsettled(self, index, operator):
    event = _find_write_event(self.state.log, operator.write, self.broken_rule)
    state = chart.advance(APPLY_CHART, operator.state, event)
    if state == 'accepted':
      self.record_accepted(
          'finds its nonce', index, operator, state, self.state.log
      )
      return
    self.report('does not find its nonce', index, operator, state)

  def record_accepted(self, label, index, operator, state, log):
    """Reports an accepted change and stores which parts it replaced."""
    generation = operator.planned_on + 1
    old = {log[generation - 2].part} if generation > 1 else set()
    replaced = frozenset(old - {operator.write.part})
    self.report(
        label, index, operator._replace(to_remove=replaced), state, log=log
    )

  def report(self, label, index, operator, state, **changes):
    attempt = (OPERATORS[index], operator.attempt_number)
    self.add(
        f'{label}: {state}',
        index,
        operator._replace(state=state),
        reported=self.state.reported | {(attempt, state)},
        **changes,
    )

  def finish(self, index, operator):
    done = _IDLE_OPERATOR._replace(attempt_number=operator.attempt_number)
    parts = self.state.parts - operator.to_remove
    label = 'removes what it replaced' if operator.to_remove else 'is done'
    self.add(label, index, done, parts=parts)

  def deliver_delayed_writes(self):
    for write in self.state.delayed_writes:
      log = (
          _append_to_log(self.state.log, write, self.broken_rule)
          or self.state.log
      )
      delayed_writes = self.state.delayed_writes - {write}
      self.successors.append(
          (
              f'late write of {write.attempt}',
              self.state._replace(log=log, delayed_writes=delayed_writes),
          )
      )

  def clean_up(self):
    state = self.state
    if state.cleanup is None and state.log:
      seen = (len(state.log), frozenset({state.log[-1].part}))
      self.successors.append(
          ('tidy reads the head', state._replace(cleanup=seen))
      )
    if state.cleanup is None:
      return
    generation, names = state.cleanup
    garbage = {
        part
        for part in state.parts
        if part[0] <= generation and part not in names
    }
    self.successors.append(
        (
            'tidy removes',
            state._replace(parts=state.parts - garbage, cleanup=None),
        )
    )


def _logged_attempts(state: ApplyState) -> set:
  return {entry.attempt for entry in state.log}


def _are_accepted_logged(state: ApplyState) -> bool:
  accepted = {a for a, verdict in state.reported if verdict == 'accepted'}
  return accepted <= _logged_attempts(state)


def _are_refused_absent(state: ApplyState) -> bool:
  refused = {a for a, verdict in state.reported if verdict == 'refused'}
  return not refused & _logged_attempts(state)


def _are_none_overwritten(state: ApplyState) -> bool:
  return all(entry.planned_on == i for i, entry in enumerate(state.log))


def _do_head_parts_exist(state: ApplyState) -> bool:
  return not state.log or state.log[-1].part in state.parts


def _are_attempts_unique(state: ApplyState) -> bool:
  return len(_logged_attempts(state)) == len(state.log)


_LOSS_WITNESSES = {
    'a lost answer is settled after another change': (
        lambda s: len(s.log) == 2
        and not s.delayed_writes
        and {(s.log[0].attempt, 'accepted'), (s.log[1].attempt, 'accepted')}
        <= s.reported
    ),
    'an outcome is told as unknown': (
        lambda s: any(verdict == 'unknown' for _, verdict in s.reported)
    ),
    'a late write lands': (
        lambda s: any((e.attempt, 'unknown') in s.reported for e in s.log)
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


def make_apply_specification(
    name: str,
    broken_rule: str = '',
    expected_violation: str = '',
    attempts=(2, 2),
) -> check.Specification:
  """Returns `config-apply` or `config-parts`, or a broken variant of it."""
  has_losses = name == 'config-apply'
  return check.Specification(
      name=f'{name}/{broken_rule}' if broken_rule else name,
      initial=(
          ApplyState(
              (),
              frozenset(),
              (_IDLE_OPERATOR, _IDLE_OPERATOR),
              frozenset(),
              None,
              frozenset(),
          ),
      ),
      next=lambda state: _ApplySteps(
          state, broken_rule, has_losses, attempts
      ).list_successors(),
      invariant_by_name={
          'an accepted change is in the log': _are_accepted_logged,
          'a refused change is not': _are_refused_absent,
          'no change is planned on an older generation': _are_none_overwritten,
          'no change lands twice': _are_attempts_unique,
          'all parts of the head exist': _do_head_parts_exist,
      },
      expected_violation=expected_violation,
      witness_by_name=_LOSS_WITNESSES if has_losses else _PART_WITNESSES,
  )


def specifications() -> list[check.Specification]:
  """Returns both specifications."""
  return [
      make_apply_specification('config-apply'),
      make_apply_specification('config-parts'),
  ]


def broken_variants() -> list[check.Specification]:
  """Returns the broken variants, at least one for each property."""
  planned = 'no change is planned on an older generation'
  refused = 'a refused change is not'
  return [
      make_apply_specification('config-apply', BLIND_WRITE, planned),
      make_apply_specification(
          'config-apply', BLIND_WRITE, 'no change lands twice'
      ),
      make_apply_specification('config-apply', CONFLICT_IS_REFUSAL, refused),
      make_apply_specification('config-apply', NO_HISTORY, refused),
      make_apply_specification('config-apply', LOST_IS_REFUSAL, refused),
      make_apply_specification(
          'config-apply', LOST_IS_SUCCESS, 'an accepted change is in the log'
      ),
      make_apply_specification(
          'config-parts', DIGEST_NAMES, 'all parts of the head exist'
      ),
  ]
