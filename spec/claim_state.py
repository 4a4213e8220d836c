"""State, wrong decisions and properties of the specification of claims."""

from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import claims

KEY = 'key'
ENTRIES = (0, 1)
CRASHES = 1
NOBODY = -1
MAX_STATES = 3_000_000

# Steps of the job that a request has with the platform or a peer.
IDLE = ''
READ = 'read'
WRITE = 'write'
ASK = 'ask'

# What a caller was told.
TOLD_NOTHING = ''
TOLD_ANSWER = 'answer'
TOLD_NOT_RUN = 'not_run'
TOLD_UNKNOWN = 'unknown'
TOLD_PENDING = 'pending'

AT_MOST_ONCE = 'runs at most once'
NOT_RUN_IS_TRUE = 'not run is true'
ONE_ANSWER = 'one answer'
ANSWER_IS_REAL = 'an answer is of a call that ran'

# The made-up answer of one broken variant.
MADE_UP = -1


class Request(NamedTuple):
  """One request for the call.

  Attributes:
    entry: The entry host that it came to.
    claim: State in the chart; empty before it came and after a crash.
    action: Change of the slot that it works on, empty for none.
    step: `IDLE`, `READ`, `WRITE` or `ASK`.
    met: Nonce of the open record that it met.
    given_up: Nonce that its writer said it had given up.
    silent: Nonce whose writer did not answer or had forgotten it.
    told: What the caller was told.
    answer: Number of the execution whose answer it holds, 0 for none.
  """

  entry: int
  claim: str = ''
  action: str = ''
  step: str = IDLE
  met: int = NOBODY
  given_up: int = NOBODY
  silent: int = NOBODY
  told: str = TOLD_NOTHING
  answer: int = 0


class Update(NamedTuple):
  """A conditional update on its way to the platform."""

  request: int
  action: str
  given_up: int
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
    lifecycle: The chart.
    requests: How many requests come.
    takes_over_silent: Takes silence for "never sent".
    grants_lost_answer: Takes a lost answer of the claim for success.
    tells_before_release: Says "not run" without releasing the claim.
    lets_pending_go: Says "never" of a claim that it may still send.
    makes_up_answer: Records an answer of its own when none came, and the real
      one over it when it comes late.
    drops_open: Lets an open record expire while its writer may still send.
    removes_any: Removes the record without comparing its nonce.
    forwards: Updates go through another entry host, which applies them by
      nonce to what it reads, late and any number of times; this is correct.
    ignores_version: Writes without the version as a fence.
  """

  lifecycle: chart.Chart = claims.CHART
  requests: int = 2
  takes_over_silent: bool = False
  grants_lost_answer: bool = False
  tells_before_release: bool = False
  lets_pending_go: bool = False
  makes_up_answer: bool = False
  drops_open: bool = False
  removes_any: bool = False
  forwards: bool = False
  ignores_version: bool = False


def make_initial(requests: int) -> State:
  """Returns the state before any request."""
  return State(
      None,
      frozenset(),
      frozenset(),
      (0,) * requests,
      tuple(Request(NOBODY) for _ in range(requests)),
      0,
  )


def runs_at_most_once(state: State) -> bool:
  """Whether the service ran the call once at most, over all requests."""
  return sum(state.executions) <= 1


def not_run_is_true(state: State) -> bool:
  """Whether no request that was told "not run" ran, then or later."""
  for number, request in enumerate(state.requests):
    if request.told == TOLD_NOT_RUN and state.executions[number]:
      return False
  return True


def has_one_answer(state: State) -> bool:
  """Whether all callers, and the record, have the same answer."""
  answers = {r.answer for r in state.requests if r.told == TOLD_ANSWER}
  if state.record is not None and state.record.answer is not None:
    answers.add(state.record.answer.status)
  return len(answers) <= 1


def answer_is_real(state: State) -> bool:
  """Whether nobody has an answer to a call that did not run."""
  for request in state.requests:
    if request.told == TOLD_ANSWER and not sum(state.executions):
      return False
  return True


def _is_told(told: str) -> Callable[[State], bool]:
  return lambda state: any(r.told == told for r in state.requests)


def _is_repeat_answered(state: State) -> bool:
  answered = [r for r in state.requests if r.told == TOLD_ANSWER]
  return len({r.entry for r in answered}) > 1


def _is_handed_over(state: State) -> bool:
  for number, request in enumerate(state.requests):
    if request.given_up != NOBODY and state.executions[number]:
      return True
  return False


INVARIANT_BY_NAME = {
    AT_MOST_ONCE: runs_at_most_once,
    NOT_RUN_IS_TRUE: not_run_is_true,
    ONE_ANSWER: has_one_answer,
    ANSWER_IS_REAL: answer_is_real,
}

WITNESS_BY_NAME = {
    'a repeat is answered on the other entry': _is_repeat_answered,
    'a claim is handed over and runs': _is_handed_over,
    'a caller is told that the outcome is unknown': _is_told(TOLD_UNKNOWN),
    'a caller is told "not run"': _is_told(TOLD_NOT_RUN),
    'a caller is told "pending"': _is_told(TOLD_PENDING),
}
