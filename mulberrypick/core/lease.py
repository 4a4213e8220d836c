"""The lease of a zone: which controller may give orders, and until when.

There is one object for each zone, `leases/<zone>`, changed by conditional
update only. Its fencing number grows with every term. No clock is compared
across hosts: a holder counts its term from the moment *before* it sent the
write, and a successor waits a whole duration and a guard on its own clock
after it last saw the object change. Hence the old term is over, by the guard,
before the new one begins.

A write whose answer was lost is settled by reading the object back: the nonce
in it tells whether that very write took effect. A controller that finds its
own earlier write there still holds what that write gave it.

Everything here is pure. The task in `ops/lease_holder.py` makes the calls; the
specification in `spec/lease_model.py` runs the same functions.
"""

from typing import NamedTuple

import msgspec

from mulberrypick.core import chart
from mulberrypick.core import errors

CHART = chart.load_chart('lease')

WATCHING = 'watching'
TAKING = 'taking'
HOLDING = 'holding'
RENEWING = 'renewing'
RELEASED = 'released'
SETTLING = ('settling_take', 'settling_renewal')

# Version of an object that has not been read, or has to be read again.
UNREAD = -1
_NEVER = float('-inf')


class LeaseRecord(NamedTuple):
  """The content of a zone's lease object.

  Attributes:
    owner: Identity of the holding process, empty after a release.
    nonce: Unique to the write that left this content.
    fence: Fencing number of the term.
    duration_s: Length of a term, counted from before its last write.
  """

  owner: str
  nonce: str
  fence: int
  duration_s: float


class Timing(NamedTuple):
  """The times of a lease.

  Attributes:
    duration_s: Length of a term.
    guard_s: What a successor waits beyond it. It covers the longest delay of
      an order in flight and the drift of clocks over a term.
  """

  duration_s: float
  guard_s: float


class Lease(NamedTuple):
  """What one controller knows of its zone's lease.

  Attributes:
    owner: Identity of this process; a restarted one has another.
    state: State in the chart.
    version: Version of the object as last seen, or `UNREAD`.
    record: Content at that version, None if there is no object.
    seen_at: Monotonic time at which that version was first seen.
    fence: Fencing number of the own term.
    term_end_at: Monotonic time at which the own term ends.
    nonce: Nonce of the last write.
    sent_at: Monotonic time just before the last write.
  """

  owner: str
  state: str = CHART.initial
  version: int = UNREAD
  record: LeaseRecord | None = None
  seen_at: float = _NEVER
  fence: int = 0
  term_end_at: float = _NEVER
  nonce: str = ''
  sent_at: float = _NEVER


def lease_key(zone: str) -> str:
  """Returns the key of a zone's lease object."""
  return f'leases/{zone}'


def encode_record(record: LeaseRecord) -> bytes:
  """Encodes the content of a lease object."""
  return msgspec.json.encode(record._asdict())


def decode_record(value: bytes) -> LeaseRecord:
  """Decodes the content of a lease object.

  Raises:
    PlatformError: The object is not a lease.
  """
  try:
    return LeaseRecord(**msgspec.json.decode(value, type=dict))
  except (msgspec.MsgspecError, TypeError) as error:
    raise errors.PlatformError(f'not a lease: {error}') from error


def is_authorized(lease: Lease, now: float) -> bool:
  """Tells whether this controller may give orders now.

  That holds while a renewal is under way or its answer was lost, too: the
  term that the last confirmed write gave goes on until its end.
  """
  if lease.state not in (HOLDING, RENEWING, 'settling_renewal'):
    return False
  return now < lease.term_end_at


def can_take(lease: Lease, now: float, guard_s: float) -> bool:
  """Tells whether a new term may be asked for.

  Args:
    lease: The lease.
    now: Monotonic time.
    guard_s: Guard beyond the duration that the object tells.

  Returns:
    True if there never was a holder, if the last one released, or if the
    object has not changed for a whole duration and the guard.
  """
  if lease.state != WATCHING or lease.version == UNREAD:
    return False
  if lease.record is None or not lease.record.owner:
    return True
  return now >= lease.seen_at + lease.record.duration_s + guard_s


def begin_take(
    lease: Lease, now: float, nonce: str, duration_s: float
) -> tuple[Lease, LeaseRecord]:
  """Starts the write that takes a new term.

  Args:
    lease: A lease that `can_take`.
    now: Monotonic time before the write is sent.
    nonce: Unique to this write.
    duration_s: Length of the term.

  Returns:
    The lease, and the content to write over `lease.version`.
  """
  fence = lease.record.fence + 1 if lease.record else 1
  begun = lease._replace(
      state=chart.advance(CHART, lease.state, 'take'),
      fence=fence,
      nonce=nonce,
      sent_at=now,
      term_end_at=_NEVER,
  )
  return begun, LeaseRecord(lease.owner, nonce, fence, duration_s)


def begin_renewal(
    lease: Lease, now: float, nonce: str, duration_s: float
) -> tuple[Lease, LeaseRecord]:
  """Starts the write that lengthens the own term; as `begin_take`."""
  begun = lease._replace(
      state=chart.advance(CHART, lease.state, 'renew'),
      nonce=nonce,
      sent_at=now,
  )
  return begun, LeaseRecord(lease.owner, nonce, lease.fence, duration_s)


def begin_release(lease: Lease, nonce: str) -> tuple[Lease, LeaseRecord]:
  """Starts the write that gives the term up; no order may be in flight.

  Returns:
    The lease, which gives no orders any more whatever becomes of the write,
    and the content to write over `lease.version`.
  """
  released = lease._replace(
      state=chart.advance(CHART, lease.state, 'release'), term_end_at=_NEVER
  )
  return released, LeaseRecord('', nonce, lease.fence, 0.0)


def on_written(lease: Lease, version: int, record: LeaseRecord) -> Lease:
  """Takes in that the write under way succeeded.

  Args:
    lease: A lease that takes or renews.
    version: The new version.
    record: The content written.
  """
  return _start_term(lease, 'written', version, record)


def on_unavailable(lease: Lease) -> Lease:
  """Takes in that the write under way had no effect."""
  return lease._replace(state=chart.advance(CHART, lease.state, 'unavailable'))


def on_lost(lease: Lease) -> Lease:
  """Takes in that nothing is known of the write under way."""
  return lease._replace(state=chart.advance(CHART, lease.state, 'lost'))


def on_conflict(lease: Lease) -> Lease:
  """Takes in that the object stood at another version.

  A holder's conflict may come from its own earlier write, whose answer was
  lost, so it reads back before it gives up the term.
  """
  state = chart.advance(CHART, lease.state, 'conflict')
  return lease._replace(state=state, version=UNREAD)


def on_read(
    lease: Lease, version: int, record: LeaseRecord | None, now: float
) -> Lease:
  """Takes in the object as it was read.

  Args:
    lease: A lease that watches or settles a write.
    version: Version of the object, 0 if there is none.
    record: Its content, None if there is none.
    now: Monotonic time after the read.

  Returns:
    The lease; one that settled a write either holds or watches.
  """
  if lease.state not in SETTLING:
    return _observe_version(lease, version, record, now)
  if record and record.nonce == lease.nonce:
    return _start_term(lease, 'confirmed', version, record)
  is_renewal = lease.state == 'settling_renewal'
  is_own = record and (record.owner, record.fence) == (lease.owner, lease.fence)
  if is_renewal and is_own:
    state = chart.advance(CHART, lease.state, 'still_held')
    return lease._replace(state=state, version=version, record=record)
  return _observe_version(_end_term(lease, 'refuted'), version, record, now)


def on_tick(lease: Lease, now: float) -> Lease:
  """Ends the own term once its time is over."""
  if not chart.is_allowed(CHART, lease.state, 'expired'):
    return lease
  if now < lease.term_end_at:
    return lease
  return _end_term(lease, 'expired')


def on_stale(lease: Lease) -> Lease:
  """Ends the own term at once: an engine has seen a higher fencing number."""
  if not chart.is_allowed(CHART, lease.state, 'stale'):
    return lease
  return _end_term(lease, 'stale')


def _start_term(
    lease: Lease, event: str, version: int, record: LeaseRecord
) -> Lease:
  return lease._replace(
      state=chart.advance(CHART, lease.state, event),
      version=version,
      record=record,
      term_end_at=lease.sent_at + record.duration_s,
  )


def _end_term(lease: Lease, event: str) -> Lease:
  return lease._replace(
      state=chart.advance(CHART, lease.state, event),
      version=UNREAD,
      record=None,
      term_end_at=_NEVER,
  )


def _observe_version(
    lease: Lease, version: int, record: LeaseRecord | None, now: float
) -> Lease:
  if version == lease.version:
    return lease
  return lease._replace(version=version, record=record, seen_at=now)
