"""State, wrong decisions and properties of the specification of claims."""

from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import claims

KEY = 'key'
ENTRIES = (0, 1)
MAX_CRASHES = 1
UNSET = -1
MAX_STATES = 3_000_000

# Steps of the job that a request has with the platform or a peer.
IDLE = ''
READ = 'read'
WRITE = 'write'
ASK = 'ask'

# What a caller was told.
OUTCOME_NONE = ''
OUTCOME_ANSWER = 'answer'
OUTCOME_NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'unknown'
OUTCOME_PENDING = 'pending'

AT_MOST_ONCE = 'runs at most once'
NOT_RUN_IS_TRUE = 'not run is true'
ONE_ANSWER = 'one answer'
ANSWER_IS_REAL = 'an answer is of a call that ran'

# The made-up answer of one broken variant.
FABRICATED_ANSWER = -1


class Request(NamedTuple):
  """One request for the call.

  Attributes:
    entry: The entry host that it came to.
    claim: State in the chart; empty before it came and after a crash.
    action: Change of the slot that it works on, empty for none.
    step: `IDLE`, `READ`, `WRITE` or `ASK`.
    open_nonce: Nonce of the open record that it met.
    abandoned_nonce: Nonce that its writer said it had given up.
    unresponsive_nonce: Nonce whose writer did not answer or had forgotten it.
    caller_outcome: What the caller was told.
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
  """A conditional update on its way to the platform."""

  request: int
  action: str
  abandoned_nonce: int
  answer: int
  claim: str


class State(NamedTuple):
  """Everything that the protocol's parts hold.

  Attributes:
    record: The record of the call, or None.
    updates: Conditional updates on their way.
    calls: Requests whose call is on its way to the service.
    executions: Executions by request.
    requests: The requests.
    crashes: Crashes so far.
  """

  record: claims.ClaimRecord | None
  updates: frozenset[Update]
  calls: frozenset[int]
  executions: tuple[int, ...]
  requests: tuple[Request, ...]
  crashes: int


class Variant(NamedTuple):
  """One decision replaced by a wrong one; all defaults are the protocol.

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
  """Returns the state before any request."""
  return State(
      None,
      frozenset(),
      frozenset(),
      (0,) * requests,
      tuple(Request(UNSET) for _ in range(requests)),
      0,
  )


def runs_at_most_once(state: State) -> bool:
  """Whether the service ran the call once at most, over all requests."""
  return sum(state.executions) <= 1


def is_not_run_accurate(state: State) -> bool:
  """Whether no request that was told "not run" ran, then or later."""
  for number, request in enumerate(state.requests):
    if request.caller_outcome == OUTCOME_NOT_RUN and state.executions[number]:
      return False
  return True


def has_one_answer(state: State) -> bool:
  """Whether all callers, and the record, have the same answer."""
  answers = {
      r.answer for r in state.requests if r.caller_outcome == OUTCOME_ANSWER
  }
  if state.record is not None and state.record.answer is not None:
    answers.add(state.record.answer.status)
  return len(answers) <= 1


def are_answers_from_executions(state: State) -> bool:
  """Whether nobody has an answer to a call that did not run."""
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
