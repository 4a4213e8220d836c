"""The lease of a zone, which decides which controller may give orders.

Each zone has one object, `leases/<zone>`, which is changed only by conditional
update. A controller holds the lease for a term, which it may extend by renewing
the lease. The fencing number in the object increases with every term. Clocks
are never compared across hosts: a holder measures its term from *before* it
sent the write, and a successor waits on its own clock for the full duration
plus a guard time after it last saw the object change. The old term therefore
ends at least the guard time before the new one begins.

If the answer of a write is lost, the object is read back: its nonce shows
whether that write took effect. A controller that finds an earlier write of its
own still holds the term that the earlier write gave it.

The functions here have no side effects. The task in `ops/lease_holder.py` makes
the calls to the platform; the specification in `spec/lease_model.py` runs the
same functions.
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

# Version of an object that has not been read or must be read again.
UNREAD = -1
_NEVER = float('-inf')


class LeaseRecord(NamedTuple):
  """The content of a zone's lease object.

  Attributes:
    owner: Identity of the process that holds the lease, empty after a release.
    nonce: Unique id of the write that left this content.
    fence: Fencing number of the term.
    duration_s: Length of the term, measured from before the last write.
  """

  owner: str
  nonce: str
  fence: int
  duration_s: float


class Timing(NamedTuple):
  """The durations of a lease.

  Attributes:
    duration_s: Length of a term.
    guard_s: Additional time that a successor waits. It covers the longest delay
      of an order in flight and the clock drift during a term.
  """

  duration_s: float
  guard_s: float


class Lease(NamedTuple):
  """One controller's knowledge of its zone's lease.

  Attributes:
    owner: Identity of this process, different after each restart.
    state: State in the chart `lease`.
    version: Last known version of the object, or `UNREAD`.
    record: Content at that version, None if there is no object.
    seen_at: Monotonic time at which that version was first seen.
    fence: Fencing number of this controller's term.
    term_end_at: Monotonic time at which this controller's term ends.
    nonce: Nonce of this controller's last write.
    sent_at: Monotonic time just before that write.
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
    PlatformError: The bytes are not a lease record.
  """
  try:
    return LeaseRecord(**msgspec.json.decode(value, type=dict))
  except (msgspec.MsgspecError, TypeError) as error:
    raise errors.PlatformError(f'malformed lease record: {error}') from error


def is_authorized(lease: Lease, now: float) -> bool:
  """Returns whether this controller may give orders now.

  This is also the case while a renewal is in progress or after its answer was
  lost: the term of the last confirmed write continues until it ends.
  """
  if lease.state not in (HOLDING, RENEWING, 'settling_renewal'):
    return False
  return now < lease.term_end_at


def can_take(lease: Lease, now: float, guard_s: float) -> bool:
  """Returns whether this controller may try to take the lease.

  Args:
    lease: The lease.
    now: Monotonic time.
    guard_s: Time to wait in addition to the duration stored in the object.

  Returns:
    True if the lease never had a holder, if the last holder released it, or if
    the object has not changed for its duration plus the guard time.
  """
  if lease.state != WATCHING or lease.version == UNREAD:
    return False
  if lease.record is None or not lease.record.owner:
    return True
  return now >= lease.seen_at + lease.record.duration_s + guard_s


def begin_take(
    lease: Lease,
    now: float,
    nonce: str,
    duration_s: float,
    min_fence: int = 1,
) -> tuple[Lease, LeaseRecord]:
  """Begins the write by which this controller takes the lease.

  Args:
    lease: A lease for which `can_take` is true.
    now: Monotonic time before the write is sent.
    nonce: Unique id of this write.
    duration_s: Length of the term.
    min_fence: Smallest fencing number, if the object may have lost terms.

  Returns:
    The new lease state, and the content to write if the object is still at
    `lease.version`.
  """
  fence = max(min_fence, lease.record.fence + 1 if lease.record else 1)
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
  """Begins the write that extends this controller's term; see `begin_take`."""
  begun = lease._replace(
      state=chart.advance(CHART, lease.state, 'renew'),
      nonce=nonce,
      sent_at=now,
  )
  return begun, LeaseRecord(lease.owner, nonce, lease.fence, duration_s)


def begin_release(lease: Lease, nonce: str) -> tuple[Lease, LeaseRecord]:
  """Begins the write that releases the lease; no order may be in flight.

  Returns:
    The new lease state, which authorizes no orders even if the write fails, and
    the content to write if the object is still at `lease.version`.
  """
  released = lease._replace(
      state=chart.advance(CHART, lease.state, 'release'), term_end_at=_NEVER
  )
  return released, LeaseRecord('', nonce, lease.fence, 0.0)


def on_written(lease: Lease, version: int, record: LeaseRecord) -> Lease:
  """Handles the success of the write in progress.

  Args:
    lease: A lease in state `TAKING` or `RENEWING`.
    version: The new version of the object.
    record: The written content.
  """
  return _start_term(lease, 'written', version, record)


def on_unavailable(lease: Lease) -> Lease:
  """Handles a write in progress that certainly had no effect."""
  return lease._replace(state=chart.advance(CHART, lease.state, 'unavailable'))


def on_lost(lease: Lease) -> Lease:
  """Handles a write in progress whose answer was lost."""
  return lease._replace(state=chart.advance(CHART, lease.state, 'lost'))


def on_conflict(lease: Lease) -> Lease:
  """Handles a write that found the object at another version.

  The conflict may be caused by an earlier write of this holder whose answer was
  lost, so the holder reads the object back before it gives up the term.
  """
  state = chart.advance(CHART, lease.state, 'conflict')
  return lease._replace(state=state, version=UNREAD)


def on_read(
    lease: Lease, version: int, record: LeaseRecord | None, now: float
) -> Lease:
  """Handles the content of the object after a read.

  Args:
    lease: A lease that is watching or whose last write is unconfirmed.
    version: Version of the object, 0 if there is none.
    record: Content of the object, None if there is none.
    now: Monotonic time after the read.

  Returns:
    The new lease state. After an unconfirmed write it is either holding or
    watching.
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
  """Ends this controller's term if it has expired."""
  if not chart.is_allowed(CHART, lease.state, 'expired'):
    return lease
  if now < lease.term_end_at:
    return lease
  return _end_term(lease, 'expired')


def on_stale(lease: Lease) -> Lease:
  """Ends this controller's term: an engine has a higher fencing number."""
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
