"""States, variants and properties of the specification of claims."""

from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import claims

KEY = 'key'
ENTRIES = (0, 1)
MAX_CRASHES = 1
UNSET = -1
MAX_STATES = 3_000_000

# What a request waits for: a read or a conditional write of the slot on the
# platform, or the reply of the entry that wrote an open record.
IDLE = ''
READ = 'read'
WRITE = 'write'
ASK = 'ask'

# Outcomes reported to a caller.
OUTCOME_NONE = ''
OUTCOME_ANSWER = 'answer'
OUTCOME_NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'unknown'
OUTCOME_PENDING = 'pending'

AT_MOST_ONCE = 'runs at most once'
NOT_RUN_IS_TRUE = 'not run is true'
ONE_ANSWER = 'one answer'
ANSWER_IS_REAL = 'an answer is of a call that ran'

# The answer that `Variant.fabricates_answer` records.
FABRICATED_ANSWER = -1


class Request(NamedTuple):
  """One request for the call.

  Attributes:
    entry: The entry host that received it, `UNSET` before it arrives.
    claim: State in the chart; empty before it arrives and after a crash.
    action: Change of the slot in progress, empty for none.
    step: `IDLE`, `READ`, `WRITE` or `ASK`.
    open_nonce: Nonce of the open record that it found in the slot.
    abandoned_nonce: Nonce that its writer replied it will never send.
    unresponsive_nonce: Nonce whose writer did not reply or has no memory of it.
    caller_outcome: Outcome that was reported to the caller.
    answer: Number of the execution whose answer it holds, 0 for none.
  """

  entry: int
  claim: str = ''
  action: str = ''
  step: str = IDLE
  open_nonce: int = UNSET
  abandoned_nonce: int = UNSET
  unresponsive_nonce: int = UNSET
  caller_outcome: str = OUTCOME_NONE
  answer: int = 0


class Update(NamedTuple):
  """A conditional update in flight to the platform."""

  request: int
  action: str
  abandoned_nonce: int
  answer: int
  claim: str


class State(NamedTuple):
  """A state of the platform, the service, the network and the entries.

  Attributes:
    record: The record of the call on the platform, or None.
    updates: Conditional updates in flight.
    calls: Numbers of the requests whose call is in flight to the service.
    executions: Number of executions for each request.
    requests: The requests.
    crashes: Number of crashes so far.
  """

  record: claims.ClaimRecord | None
  updates: frozenset[Update]
  calls: frozenset[int]
  executions: tuple[int, ...]
  requests: tuple[Request, ...]
  crashes: int


class Variant(NamedTuple):
  """Options of the specification; the defaults are the correct protocol.

  Attributes:
    lifecycle: The state chart of a claim.
    requests: Number of requests.
    assumes_silence_is_never_sent: Treats an unanswered status query as the
      reply "never sent".
    assumes_lost_write_applied: Treats a lost response to the write of the
      claim as success.
    reports_before_release: Reports "not run" without releasing the claim.
    reports_pending_as_never_sent: Replies "never sent" for a granted claim
      whose call may still be sent.
    fabricates_answer: Records a fabricated answer when none was received, and
      replaces it by the real one if that arrives late.
    expires_open_record: Lets an open record expire while its writer may still
      send the call.
    ignores_nonce_on_remove: Removes the record without comparing its nonce.
    forwards_updates: Updates are forwarded through another entry host, which
      matches them by nonce against the record that it reads. They may take
      effect late and any number of times. This variant is correct.
    ignores_version: Writes unconditionally, without comparing the version of
      the slot.
  """

  lifecycle: chart.Chart = claims.CHART
  requests: int = 2
  assumes_silence_is_never_sent: bool = False
  assumes_lost_write_applied: bool = False
  reports_before_release: bool = False
  reports_pending_as_never_sent: bool = False
  fabricates_answer: bool = False
  expires_open_record: bool = False
  ignores_nonce_on_remove: bool = False
  forwards_updates: bool = False
  ignores_version: bool = False


def make_initial(requests: int) -> State:
  """Returns the state before any request arrives."""
  return State(
      None,
      frozenset(),
      frozenset(),
      (0,) * requests,
      tuple(Request(UNSET) for _ in range(requests)),
      0,
  )


def runs_at_most_once(state: State) -> bool:
  """Whether the service ran the call at most once over all requests."""
  return sum(state.executions) <= 1


def is_not_run_accurate(state: State) -> bool:
  """Whether no request that was reported as "not run" was executed."""
  for number, request in enumerate(state.requests):
    if request.caller_outcome == OUTCOME_NOT_RUN and state.executions[number]:
      return False
  return True


def has_one_answer(state: State) -> bool:
  """Whether all answered callers and the record have the same answer."""
  answers = {
      r.answer for r in state.requests if r.caller_outcome == OUTCOME_ANSWER
  }
  if state.record is not None and state.record.answer is not None:
    answers.add(state.record.answer.status)
  return len(answers) <= 1


def are_answers_from_executions(state: State) -> bool:
  """Whether no caller received an answer although the call never ran."""
  for request in state.requests:
    if request.caller_outcome == OUTCOME_ANSWER and not sum(state.executions):
      return False
  return True


def _has_caller_outcome(caller_outcome: str) -> Callable[[State], bool]:
  return lambda state: any(
      r.caller_outcome == caller_outcome for r in state.requests
  )


def _is_answered_on_both_entries(state: State) -> bool:
  answered = [r for r in state.requests if r.caller_outcome == OUTCOME_ANSWER]
  return len({r.entry for r in answered}) > 1


def _is_taken_over_and_run(state: State) -> bool:
  for number, request in enumerate(state.requests):
    if request.abandoned_nonce != UNSET and state.executions[number]:
      return True
  return False


INVARIANT_BY_NAME = {
    AT_MOST_ONCE: runs_at_most_once,
    NOT_RUN_IS_TRUE: is_not_run_accurate,
    ONE_ANSWER: has_one_answer,
    ANSWER_IS_REAL: are_answers_from_executions,
}

WITNESS_BY_NAME = {
    'a repeat is answered on the other entry': _is_answered_on_both_entries,
    'a claim is handed over and runs': _is_taken_over_and_run,
    'a caller is told that the outcome is unknown': _has_caller_outcome(
        OUTCOME_UNKNOWN
    ),
    'a caller is told "not run"': _has_caller_outcome(OUTCOME_NOT_RUN),
    'a caller is told "pending"': _has_caller_outcome(OUTCOME_PENDING),
}
