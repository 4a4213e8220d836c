"""Successor function of the specification of claims."""

from mulberrypick.core import chart
from mulberrypick.core import claims
from mulberrypick.core import records
from spec import claim_state

Moves = list[tuple[str, claim_state.State]]


def list_moves(state: claim_state.State, variant: claim_state.Variant) -> Moves:
  """Returns all labelled successors of a state."""
  moves = []
  for number, request in enumerate(state.requests):
    if request.entry == claim_state.UNSET:
      # Symmetry: requests are interchangeable, so they arrive in the order of
      # their numbers.
      moves += _list_arrivals(state, number)
      break
    if request.claim:
      moves += _continue_job(state, number, request, variant)
      moves += _list_releases(state, number, request, variant)
      moves += _list_call_moves(state, number, request, variant)
  for update in state.updates:
    moves += _deliver_update(state, update, variant)
  for number in state.calls:
    moves += _deliver_call(state, number, variant)
  moves += _crash(state)
  if variant.expires_open_record and state.record is not None:
    dropped = state._replace(record=None, updates=frozenset())
    moves.append(('the open record expires', dropped))
  return moves


def _replace_request(
    state: claim_state.State, number: int, **fields: object
) -> claim_state.State:
  requests = list(state.requests)
  requests[number] = requests[number]._replace(**fields)
  return state._replace(requests=tuple(requests))


def _list_arrivals(state: claim_state.State, number: int) -> Moves:
  moves = []
  for entry in claim_state.ENTRIES:
    # Symmetry: entries are interchangeable, so request 0 arrives at entry 0.
    if number == 0 and entry != 0:
      continue
    arrived = _replace_request(
        state,
        number,
        entry=entry,
        claim=claims.CHART.initial,
        action=claims.CREATE,
        step=claim_state.READ,
    )
    moves.append((f'request {number} comes to entry {entry}', arrived))
  return moves


def _continue_job(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> Moves:
  """Lists the next moves of a request's exchange with platform or peer."""
  if request.step == claim_state.READ:
    return [_read_slot(state, number, request, variant)]
  if request.step == claim_state.WRITE:
    return _handle_missing_response(state, number, request, variant)
  if request.step == claim_state.ASK:
    return _ask_writer(state, number, request, variant)
  return []


def _read_slot(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> tuple[str, claim_state.State]:
  """Reads the slot, and writes it if the requested change would alter it."""
  label = f'request {number} reads the slot'
  update = _make_update(number, request)
  wanted, outcome = _apply_update(state.record, update, variant)
  if wanted is not state.record:
    moved = state._replace(updates=state.updates | {update})
    return label, _replace_request(moved, number, step=claim_state.WRITE)
  return label, _handle_outcome(state, number, request, outcome, variant)


def _make_update(
    number: int, request: claim_state.Request
) -> claim_state.Update:
  abandoned_nonce, answer = request.abandoned_nonce, request.answer
  return claim_state.Update(
      number, request.action, abandoned_nonce, answer, request.claim
  )


def _apply_update(
    record: claims.ClaimRecord | None,
    update: claim_state.Update,
    variant: claim_state.Variant,
) -> tuple[claims.ClaimRecord | None, claims.Outcome]:
  """Applies an update to the record with `claims.apply_changes`."""
  wanted = _make_claim_record(update)
  if variant.ignores_nonce_on_remove and update.action == claims.REMOVE:
    return None, claims.Outcome(True, None)
  change = claims.Change(
      update.action, claim_state.KEY, wanted, str(update.abandoned_nonce)
  )
  slot = claims.Slot(0, {} if record is None else {claim_state.KEY: record})
  changed, outcomes = claims.apply_changes(slot, [change], 0)
  if changed is slot:
    return record, outcomes[0]
  return changed.record_by_key.get(claim_state.KEY), outcomes[0]


def _make_claim_record(update: claim_state.Update) -> claims.ClaimRecord:
  state, answer = claims.RECORD_OPEN, None
  if update.action == claims.RECORD:
    state = claims.RECORD_UNKNOWN
    if update.claim == claims.ANSWERED:
      state = claims.RECORD_ANSWERED
      answer = records.PlainAnswer(update.answer, '', b'')
  return claims.ClaimRecord(state, str(update.request), '', '', '', 0, answer)


def _handle_outcome(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    outcome: claims.Outcome,
    variant: claim_state.Variant,
) -> claim_state.State:
  """Handles the outcome of a change, whether it was applied or not."""
  if request.action == claims.RECORD:
    return _end_job(state, number, claims.EVENT_RECORD, variant)
  if request.action == claims.REMOVE:
    return _end_job(state, number, claims.EVENT_REMOVE, variant)
  if outcome.is_applied:
    return _end_job(state, number, claims.EVENT_GRANT, variant)
  current = outcome.current
  nonce = int(current.nonce)
  if current.state == claims.RECORD_ANSWERED:
    return _deny(
        state,
        number,
        variant,
        claim_state.OUTCOME_ANSWER,
        current.answer.status,
    )
  if (
      current.state == claims.RECORD_UNKNOWN
      or nonce == request.unresponsive_nonce
  ):
    return _deny(state, number, variant, claim_state.OUTCOME_UNKNOWN)
  return _replace_request(state, number, step=claim_state.ASK, open_nonce=nonce)


def _advance(
    state: claim_state.State,
    number: int,
    event: str,
    variant: claim_state.Variant,
    **fields: object,
) -> claim_state.State:
  """Applies an event to the claim of a request, as in its state chart.

  Some variants have a chart with a deliberate fault. A claim may then be in a
  state in which the chart does not allow the event; the event is then ignored
  instead of raising an error.

  Args:
    state: The state of the system.
    number: Number of the request.
    event: The event in the chart.
    variant: The variant, which holds the chart.
    **fields: Other fields of the request to replace.

  Returns:
    The next state of the system.
  """
  claim = state.requests[number].claim
  is_broken = variant.lifecycle is not claims.CHART
  if not is_broken or chart.is_allowed(variant.lifecycle, claim, event):
    claim = chart.advance(variant.lifecycle, claim, event)
  return _replace_request(state, number, claim=claim, **fields)


def _end_job(
    state: claim_state.State,
    number: int,
    event: str,
    variant: claim_state.Variant,
    **fields: object,
) -> claim_state.State:
  fields.update(
      action='',
      step=claim_state.IDLE,
      open_nonce=claim_state.UNSET,
      unresponsive_nonce=claim_state.UNSET,
  )
  return _advance(state, number, event, variant, **fields)


def _deny(
    state: claim_state.State,
    number: int,
    variant: claim_state.Variant,
    caller_outcome: str,
    answer: int = 0,
) -> claim_state.State:
  event = claims.EVENT_DENY
  return _end_job(
      state,
      number,
      event,
      variant,
      caller_outcome=caller_outcome,
      answer=answer,
  )


def _handle_missing_response(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> Moves:
  """Reads the slot back after a lost response to a write, or a conflict.

  The program never assumes the outcome of a write without a response.
  """
  is_claim = request.action in (claims.CREATE, claims.TAKE_OVER)
  label = f'request {number} hears no answer of its write, or a conflict'
  if variant.assumes_lost_write_applied and is_claim:
    granted = _end_job(state, number, claims.EVENT_GRANT, variant)
    return [(label, granted)]
  return [(label, _replace_request(state, number, step=claim_state.READ))]


def _ask_writer(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> Moves:
  """Queries the writer of the open record for the status of its claim."""
  writer = state.requests[request.open_nonce]
  claim_status = (
      claims.reply_for_state(writer.claim)
      if writer.claim
      else claims.REPLY_FORGOTTEN
  )
  if variant.reports_pending_as_never_sent and writer.claim == claims.GRANTED:
    claim_status = claims.REPLY_NEVER_SENT
  label = f'request {number} asks about claim {request.open_nonce}: '
  replied = _handle_reply(
      state, number, request, claim_status, writer.answer, variant
  )
  moves = [(label + claim_status, replied)]
  if writer.entry != request.entry:
    silence = claims.REPLY_FORGOTTEN
    if variant.assumes_silence_is_never_sent:
      silence = claims.REPLY_NEVER_SENT
    silenced = _handle_reply(state, number, request, silence, 0, variant)
    moves.append((label + 'silence', silenced))
  return moves


def _handle_reply(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    claim_status: str,
    answer: int,
    variant: claim_state.Variant,
) -> claim_state.State:
  if claim_status == claims.REPLY_ANSWERED:
    return _deny(state, number, variant, claim_state.OUTCOME_ANSWER, answer)
  if claim_status == claims.REPLY_UNKNOWN:
    return _deny(state, number, variant, claim_state.OUTCOME_UNKNOWN)
  if claim_status == claims.REPLY_PENDING:
    return _deny(state, number, variant, claim_state.OUTCOME_PENDING)
  if claim_status == claims.REPLY_NEVER_SENT:
    return _replace_request(
        state,
        number,
        step=claim_state.READ,
        action=claims.TAKE_OVER,
        abandoned_nonce=request.open_nonce,
        open_nonce=claim_state.UNSET,
    )
  return _replace_request(
      state,
      number,
      step=claim_state.READ,
      unresponsive_nonce=request.open_nonce,
      open_nonce=claim_state.UNSET,
  )


def _list_releases(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> Moves:
  """Releases a claim before its call was sent, and reports "not run".

  The causes in the program are an unavailable platform, no available endpoint,
  an exceeded deadline and a planned shutdown.
  """
  if request.caller_outcome:
    return []
  if not chart.is_allowed(
      variant.lifecycle, request.claim, claims.EVENT_RELEASE
  ):
    return []
  label = f'request {number} is told "not run"'
  is_sent = request.claim == claims.SENDING
  caller_outcome = (
      claim_state.OUTCOME_UNKNOWN if is_sent else claim_state.OUTCOME_NOT_RUN
  )
  if variant.reports_before_release:
    return [
        (label, _replace_request(state, number, caller_outcome=caller_outcome))
    ]
  released = _advance(
      state,
      number,
      claims.EVENT_RELEASE,
      variant,
      caller_outcome=caller_outcome,
      action=claims.REMOVE,
      step=claim_state.READ,
  )
  return [(label, released)]


def _list_call_moves(
    state: claim_state.State,
    number: int,
    request: claim_state.Request,
    variant: claim_state.Variant,
) -> Moves:
  """Sends the call, and handles a refused connection or a lost answer."""
  moves = []
  lifecycle = variant.lifecycle
  if chart.is_allowed(lifecycle, request.claim, claims.EVENT_SEND):
    sent = state._replace(calls=state.calls | {number})
    sent = _advance(sent, number, claims.EVENT_SEND, variant)
    moves.append((f'request {number} sends its call', sent))
  if request.claim != claims.SENDING:
    return moves
  if number in state.calls:
    refused = state._replace(calls=state.calls - {number})
    refused = _advance(refused, number, claims.EVENT_NOT_SENT, variant)
    moves.append((f'the call of request {number} is refused', refused))
  moves.append(
      (
          f'no answer comes to request {number}',
          _lose_answer(state, number, variant),
      )
  )
  return moves


def _lose_answer(
    state: claim_state.State, number: int, variant: claim_state.Variant
) -> claim_state.State:
  fields = {'action': claims.RECORD, 'step': claim_state.READ}
  if variant.fabricates_answer:
    event = claims.EVENT_ANSWER_WHOLE
    fields.update(
        caller_outcome=claim_state.OUTCOME_ANSWER,
        answer=claim_state.FABRICATED_ANSWER,
    )
  else:
    event = claims.EVENT_ANSWER_MISSING
    fields.update(caller_outcome=claim_state.OUTCOME_UNKNOWN)
  return _advance(state, number, event, variant, **fields)


def _deliver_update(
    state: claim_state.State,
    update: claim_state.Update,
    variant: claim_state.Variant,
) -> Moves:
  """Delivers a conditional update to the platform, possibly late."""
  record, outcome = _apply_update(state.record, update, variant)
  left = state.updates if variant.forwards_updates else frozenset()
  if variant.ignores_version:
    left = state.updates - {update}
    record = None
    if update.action != claims.REMOVE:
      record = _make_claim_record(update)
    outcome = claims.Outcome(True, record)
  done = state._replace(record=record, updates=left)
  label = f'the {update.action} of request {update.request} '
  moves = [(label + 'takes effect, its answer is lost', done)]
  request = state.requests[update.request]
  if request.step == claim_state.WRITE and request.action == update.action:
    settled = _handle_outcome(done, update.request, request, outcome, variant)
    moves.append((label + 'takes effect', settled))
  return moves


def _deliver_call(
    state: claim_state.State, number: int, variant: claim_state.Variant
) -> Moves:
  """Delivers a call to the service, possibly late."""
  executions = list(state.executions)
  executions[number] += 1
  ran = state._replace(
      calls=state.calls - {number}, executions=tuple(executions)
  )
  answer = sum(executions)
  label = f'the call of request {number} runs'
  moves = [(label + ', its answer is lost', ran)]
  request = state.requests[number]
  if request.claim == claims.SENDING:
    answered = _advance(
        ran,
        number,
        claims.EVENT_ANSWER_WHOLE,
        variant,
        caller_outcome=claim_state.OUTCOME_ANSWER,
        answer=answer,
        action=claims.RECORD,
        step=claim_state.READ,
    )
    moves.append((label, answered))
  elif variant.fabricates_answer and request.claim:
    late = _replace_request(
        ran, number, answer=answer, caller_outcome=claim_state.OUTCOME_ANSWER
    )
    moves.append((label + ' and answers late', late))
  return moves


def _crash(state: claim_state.State) -> Moves:
  if state.crashes >= claim_state.MAX_CRASHES:
    return []
  moves = []
  for entry in claim_state.ENTRIES:
    requests = tuple(
        claim_state.Request(
            entry, caller_outcome=r.caller_outcome, answer=r.answer
        )
        if r.entry == entry
        else r
        for r in state.requests
    )
    crashed = state._replace(requests=requests, crashes=state.crashes + 1)
    if requests != state.requests:
      moves.append((f'entry {entry} crashes', crashed))
  return moves
