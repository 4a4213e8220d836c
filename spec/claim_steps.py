"""The steps of the specification of claims: all moves out of a state."""

from mulberrypick.core import chart
from mulberrypick.core import claims
from mulberrypick.core import records
from spec import claim_state as parts

Moves = list[tuple[str, parts.State]]


def list_moves(state: parts.State, variant: parts.Variant) -> Moves:
  """Lists all labelled successors of a state."""
  moves = []
  for number, request in enumerate(state.requests):
    if request.entry == parts.NOBODY:
      # Requests are alike: they come in the order of their numbers.
      moves += _come(state, number)
      break
    if request.claim:
      moves += _work(state, number, request, variant)
      moves += _give_up(state, number, request, variant)
      moves += _serve(state, number, request, variant)
  for update in state.updates:
    moves += _deliver_update(state, update, variant)
  for number in state.calls:
    moves += _deliver_call(state, number, variant)
  moves += _crash(state)
  if variant.drops_open and state.record is not None:
    dropped = state._replace(record=None, updates=frozenset())
    moves.append(('the open record expires', dropped))
  return moves


def _change(state: parts.State, number: int, **fields: object) -> parts.State:
  requests = list(state.requests)
  requests[number] = requests[number]._replace(**fields)
  return state._replace(requests=tuple(requests))


def _come(state: parts.State, number: int) -> Moves:
  moves = []
  for entry in parts.ENTRIES:
    # The first entry to be used is number 0: entries are alike as well.
    if number == 0 and entry != 0:
      continue
    came = _change(
        state,
        number,
        entry=entry,
        claim=claims.CHART.initial,
        action=claims.CREATE,
        step=parts.READ,
    )
    moves.append((f'request {number} comes to entry {entry}', came))
  return moves


def _work(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> Moves:
  """Goes on with the job that a request has with the platform or a peer."""
  if request.step == parts.READ:
    return [_read(state, number, request, variant)]
  if request.step == parts.WRITE:
    return _wait_for_write(state, number, request, variant)
  if request.step == parts.ASK:
    return _ask(state, number, request, variant)
  return []


def _read(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> tuple[str, parts.State]:
  """Reads the slot, and decides by it what to write, if anything."""
  label = f'request {number} reads the slot'
  update = _make_update(number, request)
  wanted, outcome = _apply(state.record, update, variant)
  if wanted is not state.record:
    moved = state._replace(updates=state.updates | {update})
    return label, _change(moved, number, step=parts.WRITE)
  return label, _settle(state, number, request, outcome, variant)


def _make_update(number: int, request: parts.Request) -> parts.Update:
  given_up, answer = request.given_up, request.answer
  return parts.Update(number, request.action, given_up, answer, request.claim)


def _apply(
    record: claims.ClaimRecord | None,
    update: parts.Update,
    variant: parts.Variant,
) -> tuple[claims.ClaimRecord | None, claims.Outcome]:
  """Applies an update by the code that the program runs."""
  wanted = _make_record(update)
  if variant.removes_any and update.action == claims.REMOVE:
    return None, claims.Outcome(True, None)
  change = claims.Change(update.action, parts.KEY, wanted, str(update.given_up))
  slot = claims.Slot(0, {} if record is None else {parts.KEY: record})
  changed, outcomes = claims.apply_changes(slot, [change], 0)
  if changed is slot:
    return record, outcomes[0]
  return changed.record_by_key.get(parts.KEY), outcomes[0]


def _make_record(update: parts.Update) -> claims.ClaimRecord:
  state, answer = claims.RECORD_OPEN, None
  if update.action == claims.RECORD:
    state = claims.RECORD_UNKNOWN
    if update.claim == claims.ANSWERED:
      state = claims.RECORD_ANSWERED
      answer = records.PlainAnswer(update.answer, '', b'')
  return claims.ClaimRecord(state, str(update.request), '', '', '', 0, answer)


def _settle(
    state: parts.State,
    number: int,
    request: parts.Request,
    outcome: claims.Outcome,
    variant: parts.Variant,
) -> parts.State:
  """Takes in that the platform stands as wanted, or that it doesn't."""
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
        state, number, variant, parts.TOLD_ANSWER, current.answer.status
    )
  if current.state == claims.RECORD_UNKNOWN or nonce == request.silent:
    return _deny(state, number, variant, parts.TOLD_UNKNOWN)
  return _change(state, number, step=parts.ASK, met=nonce)


def _advance(
    state: parts.State,
    number: int,
    event: str,
    variant: parts.Variant,
    **fields: object,
) -> parts.State:
  """Takes a claim through its chart, strictly unless the chart is broken."""
  claim = state.requests[number].claim
  is_broken = variant.lifecycle is not claims.CHART
  if not is_broken or chart.is_allowed(variant.lifecycle, claim, event):
    claim = chart.advance(variant.lifecycle, claim, event)
  return _change(state, number, claim=claim, **fields)


def _end_job(
    state: parts.State,
    number: int,
    event: str,
    variant: parts.Variant,
    **fields: object,
) -> parts.State:
  fields.update(
      action='',
      step=parts.IDLE,
      met=parts.NOBODY,
      silent=parts.NOBODY,
  )
  return _advance(state, number, event, variant, **fields)


def _deny(
    state: parts.State,
    number: int,
    variant: parts.Variant,
    told: str,
    answer: int = 0,
) -> parts.State:
  event = claims.EVENT_DENY
  return _end_job(state, number, event, variant, told=told, answer=answer)


def _wait_for_write(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> Moves:
  """The answer of a write doesn't come: read back, never guess."""
  is_claim = request.action in (claims.CREATE, claims.TAKE_OVER)
  label = f'request {number} hears no answer of its write, or a conflict'
  if variant.grants_lost_answer and is_claim:
    granted = _end_job(state, number, claims.EVENT_GRANT, variant)
    return [(label, granted)]
  return [(label, _change(state, number, step=parts.READ))]


def _ask(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> Moves:
  """Asks the writer of the open record that was met."""
  met = state.requests[request.met]
  claim_status = (
      claims.reply_for_state(met.claim) if met.claim else claims.REPLY_FORGOTTEN
  )
  if variant.lets_pending_go and met.claim == claims.GRANTED:
    claim_status = claims.REPLY_NEVER_SENT
  label = f'request {number} asks about claim {request.met}: '
  told = _take_reply(state, number, request, claim_status, met.answer, variant)
  moves = [(label + claim_status, told)]
  if met.entry != request.entry:
    silence = claims.REPLY_FORGOTTEN
    if variant.takes_over_silent:
      silence = claims.REPLY_NEVER_SENT
    silenced = _take_reply(state, number, request, silence, 0, variant)
    moves.append((label + 'silence', silenced))
  return moves


def _take_reply(
    state: parts.State,
    number: int,
    request: parts.Request,
    claim_status: str,
    answer: int,
    variant: parts.Variant,
) -> parts.State:
  if claim_status == claims.REPLY_ANSWERED:
    return _deny(state, number, variant, parts.TOLD_ANSWER, answer)
  if claim_status == claims.REPLY_UNKNOWN:
    return _deny(state, number, variant, parts.TOLD_UNKNOWN)
  if claim_status == claims.REPLY_PENDING:
    return _deny(state, number, variant, parts.TOLD_PENDING)
  if claim_status == claims.REPLY_NEVER_SENT:
    return _change(
        state,
        number,
        step=parts.READ,
        action=claims.TAKE_OVER,
        given_up=request.met,
        met=parts.NOBODY,
    )
  return _change(
      state,
      number,
      step=parts.READ,
      silent=request.met,
      met=parts.NOBODY,
  )


def _give_up(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> Moves:
  """Platform away, no endpoint, no time left, or a planned stop: not run."""
  if request.told:
    return []
  if not chart.is_allowed(
      variant.lifecycle, request.claim, claims.EVENT_RELEASE
  ):
    return []
  label = f'request {number} is told "not run"'
  is_sent = request.claim == claims.SENDING
  told = parts.TOLD_UNKNOWN if is_sent else parts.TOLD_NOT_RUN
  if variant.tells_before_release:
    return [(label, _change(state, number, told=told))]
  released = _advance(
      state,
      number,
      claims.EVENT_RELEASE,
      variant,
      told=told,
      action=claims.REMOVE,
      step=parts.READ,
  )
  return [(label, released)]


def _serve(
    state: parts.State,
    number: int,
    request: parts.Request,
    variant: parts.Variant,
) -> Moves:
  """Sends the call, and takes in what the connection tells."""
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
          _lose_call(state, number, variant),
      )
  )
  return moves


def _lose_call(
    state: parts.State, number: int, variant: parts.Variant
) -> parts.State:
  fields = {'action': claims.RECORD, 'step': parts.READ}
  if variant.makes_up_answer:
    event = claims.EVENT_ANSWER_WHOLE
    fields.update(told=parts.TOLD_ANSWER, answer=parts.MADE_UP)
  else:
    event = claims.EVENT_ANSWER_MISSING
    fields.update(told=parts.TOLD_UNKNOWN)
  return _advance(state, number, event, variant, **fields)


def _deliver_update(
    state: parts.State,
    update: parts.Update,
    variant: parts.Variant,
) -> Moves:
  """A conditional update reaches the platform, perhaps late."""
  record, outcome = _apply(state.record, update, variant)
  left = state.updates if variant.forwards else frozenset()
  if variant.ignores_version:
    left = state.updates - {update}
    record = None
    if update.action != claims.REMOVE:
      record = _make_record(update)
    outcome = claims.Outcome(True, record)
  done = state._replace(record=record, updates=left)
  label = f'the {update.action} of request {update.request} '
  moves = [(label + 'takes effect, its answer is lost', done)]
  request = state.requests[update.request]
  if request.step == parts.WRITE and request.action == update.action:
    settled = _settle(done, update.request, request, outcome, variant)
    moves.append((label + 'takes effect', settled))
  return moves


def _deliver_call(
    state: parts.State, number: int, variant: parts.Variant
) -> Moves:
  """A call reaches the service, perhaps late."""
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
        told=parts.TOLD_ANSWER,
        answer=answer,
        action=claims.RECORD,
        step=parts.READ,
    )
    moves.append((label, answered))
  elif variant.makes_up_answer and request.claim:
    late = _change(ran, number, answer=answer, told=parts.TOLD_ANSWER)
    moves.append((label + ' and answers late', late))
  return moves


def _crash(state: parts.State) -> Moves:
  if state.crashes >= parts.CRASHES:
    return []
  moves = []
  for entry in parts.ENTRIES:
    requests = tuple(
        parts.Request(entry, told=r.told, answer=r.answer)
        if r.entry == entry
        else r
        for r in state.requests
    )
    crashed = state._replace(requests=requests, crashes=state.crashes + 1)
    if requests != state.requests:
      moves.append((f'entry {entry} crashes', crashed))
  return moves
