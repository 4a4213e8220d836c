"""Claims, which make a non-repeatable call run at most once.

Before the first byte of such a call is sent to its service, a claim with a new
nonce is created in the platform by conditional update. Only the process whose
nonce is in the claim may send the call, and only once. The answer is then
recorded in the claim, and a repeated call receives it on any entry host.

Keys are hashed to slots, and each slot is one object, so one conditional update
carries all pending claims and answers of a slot. The version of the object
fences the updates. All changes are idempotent by nonce: after a conflict or a
lost answer, the object is read again and the same changes are applied again.
The outcome of a write is never assumed.

Retention does not compare clocks. The platform holds an epoch number, which an
entry host increments after it has seen the number unchanged for
`EPOCH_INTERVAL_S` on its own monotonic clock. A record is kept for a number of
epochs, so for at least that number less one, times `EPOCH_INTERVAL_S`. The size
of a slot is limited as well. At the limit, the oldest answers lose their body;
if that is not enough, new claims are refused as not run. A claim without an
answer is kept much longer than one with an answer, because the call could run
twice if the claim were dropped while its writer is only paused.
"""

from typing import NamedTuple

import msgspec
import xxhash

from mulberrypick.core import chart
from mulberrypick.core import records

SLOT_COUNT = 8
SLOT_PREFIX = 'claims/'
EPOCH_KEY = 'claim-epoch'
EPOCH_INTERVAL_S = 3600.0
ANSWER_RETAIN_EPOCHS = 25
UNRESOLVED_RETAIN_EPOCHS = 24 * 30 + 1

# The platform accepts objects of up to 1,000,000 bytes.
MAX_SLOT_BYTES = 900_000
MAX_KEY_CHARS = 255
# Limits the body of a recorded answer. A larger answer is sent to its caller
# only; repeated calls are told that the call ran.
MAX_ANSWER_BYTES = 16_384
# Encoded size of a record without its text fields and body.
RECORD_OVERHEAD_BYTES = 64

# States of a record in the platform.
RECORD_OPEN = 'open'
RECORD_ANSWERED = 'answered'
RECORD_UNKNOWN = 'unknown'

# States and events of `charts/claim.toml`.
CLAIMING = 'claiming'
GRANTED = 'granted'
SENDING = 'sending'
ANSWERED = 'answered'
UNKNOWN = 'unknown'
RELEASED = 'released'
CLOSED = 'closed'
EVENT_GRANT = 'grant'
EVENT_DENY = 'deny'
EVENT_RELEASE = 'release'
EVENT_SEND = 'send'
EVENT_NOT_SENT = 'not_sent'
EVENT_ANSWER_WHOLE = 'answer_whole'
EVENT_ANSWER_MISSING = 'answer_missing'
EVENT_RECORD = 'record'
EVENT_REMOVE = 'remove'

# Actions of a `Change`.
CREATE = 'create'
TAKE_OVER = 'take_over'
RECORD = 'record'
REMOVE = 'remove'

# Statuses with which the owner of a claim answers a `ClaimQuery`.
REPLY_NEVER_SENT = 'never'
REPLY_PENDING = 'pending'
REPLY_ANSWERED = 'answered'
REPLY_UNKNOWN = 'unknown'
REPLY_FORGOTTEN = 'forgotten'

CHART = chart.load_chart('claim')

_REPLY_BY_STATE = {
    CLAIMING: REPLY_PENDING,
    GRANTED: REPLY_PENDING,
    SENDING: REPLY_PENDING,
    ANSWERED: REPLY_ANSWERED,
    UNKNOWN: REPLY_UNKNOWN,
    RELEASED: REPLY_NEVER_SENT,
    CLOSED: REPLY_FORGOTTEN,
}


class ClaimRecord(NamedTuple):
  """One claim as stored in the platform.

  Attributes:
    state: `RECORD_OPEN`, `RECORD_ANSWERED` or `RECORD_UNKNOWN`.
    nonce: Unique id of the claim.
    fingerprint: Digest of method, path and body.
    owner: Name of the entry host that created the claim.
    owner_address: `ip:port` of that host's peer socket.
    epoch: Epoch of the last change.
    answer: The recorded answer; None if the claim is open, the outcome is
      unknown, or the answer is too large or no longer kept.
  """

  state: str
  nonce: str
  fingerprint: str
  owner: str
  owner_address: str
  epoch: int
  answer: records.PlainAnswer | None


class Slot(NamedTuple):
  """The claims that are stored in one object of the platform.

  Attributes:
    epoch: Highest epoch in which the slot was written.
    record_by_key: Claims by scoped key (see `scope_key`), oldest first.
  """

  epoch: int
  record_by_key: dict[str, ClaimRecord]


EMPTY_SLOT = Slot(0, {})


class Change(NamedTuple):
  """A requested change of one record; idempotent by the record's nonce.

  Attributes:
    action: `CREATE`, `TAKE_OVER`, `RECORD` or `REMOVE`.
    key: The idempotency key with tenant and service; see `scope_key`.
    record: The requested record; for `REMOVE` only its nonce is used.
    old_nonce: For `TAKE_OVER`, the nonce of the claim to replace.
  """

  action: str
  key: str
  record: ClaimRecord
  old_nonce: str = ''


class Outcome(NamedTuple):
  """The outcome of a change.

  Attributes:
    is_applied: Whether the slot now has the requested content.
    current: The record in the slot, None if there is none. For a `CREATE` that
      was not applied, None means that the slot is full.
  """

  is_applied: bool
  current: ClaimRecord | None


class ClaimQuery(NamedTuple):
  """Asks the owner of an open claim for its status."""

  key: str
  nonce: str


class ClaimReply(NamedTuple):
  """Answers a `ClaimQuery`.

  Attributes:
    claim_status: One of the `REPLY_` constants.
    answer: The answer of the call if `REPLY_ANSWERED`, else None.
  """

  claim_status: str
  answer: records.PlainAnswer | None


def scope_key(tenant: str, service: str, key: str) -> str:
  """Returns a caller's key qualified by its tenant and service."""
  return f'{tenant}\x1f{service}\x1f{key}'


def find_slot(key: str) -> int:
  """Returns the number of the slot that stores the claim of a scoped key."""
  return xxhash.xxh64_intdigest(key.encode()) % SLOT_COUNT


def make_slot_key(slot: int) -> str:
  """Returns the platform's key of the object that stores a slot."""
  return f'{SLOT_PREFIX}{slot}'


def call_fingerprint(call: records.PlainCall) -> str:
  """Returns a digest of a call, equal for repeats of the same call."""
  digest = xxhash.xxh3_128()
  for part in (call.method, call.path, call.content_type):
    digest.update(part.encode() + b'\0')
  digest.update(call.body)
  return digest.hexdigest()


def encode_slot(slot: Slot) -> bytes:
  """Encodes a slot as the content of its object."""
  return msgspec.msgpack.encode(slot)


def decode_slot(value: bytes) -> Slot:
  """Decodes the result of `encode_slot`."""
  return msgspec.msgpack.decode(value, type=Slot)


def recordable_answer(
    answer: records.PlainAnswer,
) -> records.PlainAnswer | None:
  """Returns the answer, or None if it is too large to be recorded."""
  return answer if len(answer.body) <= MAX_ANSWER_BYTES else None


def advance(state: str, event: str) -> str:
  """Returns the state of a claim after an event; see `chart.advance`."""
  return chart.advance(CHART, state, event)


def is_allowed(state: str, event: str) -> bool:
  """Returns whether a claim in a state has a transition for an event."""
  return chart.is_allowed(CHART, state, event)


def reply_for_state(state: str) -> str:
  """Returns the status, a `REPLY_` constant, of a claim in a state."""
  return _REPLY_BY_STATE[state]


def measure_record(key: str, record: ClaimRecord) -> int:
  """Returns an upper bound on the encoded size of a record, in bytes."""
  size = RECORD_OVERHEAD_BYTES + len(key.encode()) + len(record.nonce)
  size += len(record.fingerprint) + len(record.owner.encode())
  size += len(record.owner_address)
  if record.answer is not None:
    size += len(record.answer.body) + len(record.answer.content_type.encode())
  return size


def apply_changes(
    slot: Slot, changes: list[Change], epoch: int
) -> tuple[Slot, list[Outcome]]:
  """Applies changes to the claims of a slot, in the given order.

  Args:
    slot: The slot as read from the platform.
    changes: The requested changes.
    epoch: The epoch known to this process.

  Returns:
    The new slot, and an outcome for each change. The slot is the argument
    itself if nothing has to be written.
  """
  epoch = max(epoch, slot.epoch)
  record_by_key = _drop_expired(slot.record_by_key, epoch)
  size = sum(measure_record(k, r) for k, r in record_by_key.items())
  outcomes = []
  is_changed = False
  for change in changes:
    current = record_by_key.get(change.key)
    wanted, outcome = _resolve_change(change, current, epoch)
    if wanted is not current:
      size += _measure_growth(change.key, current, wanted)
      if size > MAX_SLOT_BYTES:
        size = _drop_answers(record_by_key, size)
      if size > MAX_SLOT_BYTES and current is None:
        size -= _measure_growth(change.key, current, wanted)
        outcomes.append(Outcome(False, None))
        continue
      _replace(record_by_key, change.key, wanted)
      is_changed = True
    outcomes.append(outcome)
  if not is_changed:
    return slot, outcomes
  return Slot(epoch, record_by_key), outcomes


def _resolve_change(
    change: Change, current: ClaimRecord | None, epoch: int
) -> tuple[ClaimRecord | None, Outcome]:
  """Returns the record to store, or None, and the outcome of a change."""
  wanted = change.record._replace(epoch=epoch)
  is_own = current is not None and current.nonce == wanted.nonce
  if change.action in (CREATE, TAKE_OVER):
    is_replaceable = (
        current is not None
        and change.action == TAKE_OVER
        and current.state == RECORD_OPEN
        and current.nonce == change.old_nonce
    )
    if current is None or is_replaceable:
      return wanted, Outcome(True, wanted)
    return current, Outcome(is_own, current)
  if not is_own or current.state != RECORD_OPEN:
    return current, Outcome(is_own, current)
  if change.action == REMOVE:
    return None, Outcome(True, None)
  return wanted, Outcome(True, wanted)


def _replace(
    record_by_key: dict[str, ClaimRecord], key: str, wanted: ClaimRecord | None
) -> None:
  if wanted is None:
    del record_by_key[key]
    return
  record_by_key[key] = wanted


def _measure_growth(
    key: str, current: ClaimRecord | None, wanted: ClaimRecord | None
) -> int:
  before = 0 if current is None else measure_record(key, current)
  after = 0 if wanted is None else measure_record(key, wanted)
  return after - before


def _drop_expired(
    record_by_key: dict[str, ClaimRecord], epoch: int
) -> dict[str, ClaimRecord]:
  kept = {}
  for key, record in record_by_key.items():
    retain_epochs = UNRESOLVED_RETAIN_EPOCHS
    if record.state == RECORD_ANSWERED:
      retain_epochs = ANSWER_RETAIN_EPOCHS
    if record.epoch + retain_epochs > epoch:
      kept[key] = record
  return kept


def _drop_answers(record_by_key: dict[str, ClaimRecord], size: int) -> int:
  """Drops recorded answers, oldest first, until the slot fits.

  Returns:
    The remaining size of the slot in bytes.
  """
  for key, record in record_by_key.items():
    if size <= MAX_SLOT_BYTES:
      break
    if record.answer is None:
      continue
    without_answer = record._replace(answer=None)
    size += _measure_growth(key, record, without_answer)
    record_by_key[key] = without_answer
  return size
