"""Specification of the lease: two controllers, one lease object, and time.

The controllers run the functions of `core/lease.py`, which follow the chart
`core/charts/lease.toml`. The model adds a platform that delays writes, loses
responses and may apply a write after its writer gave up on it. Controllers may
crash, and may pause for any time between two steps, since no step is ever
forced.

Time is counted in whole ticks. All times in a state are relative to now, which
keeps the state space finite. Both clocks run at the same rate; the guard
accounts for clock drift.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import lease as leases
from spec import check

DURATION_TICKS = 2
GUARD_TICKS = 1
_MAX_FENCE = 2
_NEVER = float('-inf')


class Write(NamedTuple):
  """A conditional write of the lease object.

  Attributes:
    expected: Version that it replaces.
    record: The record to write.
    result: `ok` or `conflict`; empty until the platform has processed it.
  """

  expected: int
  record: leases.LeaseRecord
  result: str = ''


class Controller(NamedTuple):
  """One controller.

  Attributes:
    lease: The lease state that the program keeps.
    write: The write whose response it waits for, or None.
    delayed_write: A write that it gave up on and that may still take effect,
      or None.
    ticks_since_term: Ticks since its last term ended, at most `GUARD_TICKS`.
    can_crash: Whether it may still crash.
  """

  lease: leases.Lease
  write: Write | None = None
  delayed_write: Write | None = None
  ticks_since_term: int = GUARD_TICKS
  can_crash: bool = False


class SystemState(NamedTuple):
  """State of the lease object and of both controllers."""

  version: int
  record: leases.LeaseRecord | None
  controllers: tuple[Controller, Controller]


class Move(NamedTuple):
  """One step of a controller.

  Attributes:
    label: Description of the step.
    change: Version and record of the object after the step, or None if the
      object does not change.
    controller: The controller after the step.
  """

  label: str
  change: tuple[int, leases.LeaseRecord] | None
  controller: Controller


class Variant(NamedTuple):
  """Options of the specification; the defaults are the correct protocol.

  Attributes:
    max_version: Bound on the number of writes to the object.
    guard_ticks: Time that a successor waits beyond the lease duration.
    counts_term_from_response: Whether a term starts when the response to its
      write is received, instead of when the write was sent.
    assumes_lost_write_applied: Whether a lost response counts as success.
    restarts_wait_on_change: Whether a change of the object restarts the wait
      of a successor.
  """

  max_version: int = 3
  guard_ticks: int = GUARD_TICKS
  counts_term_from_response: bool = False
  assumes_lost_write_applied: bool = False
  restarts_wait_on_change: bool = True


Successors = list[tuple[str, SystemState]]


def make_initial(can_crash: bool) -> SystemState:
  """Returns the state before any term.

  Args:
    can_crash: Whether the first controller may crash.
  """
  first = Controller(leases.Lease(owner='a'), can_crash=can_crash)
  second = Controller(leases.Lease(owner='b'))
  return SystemState(0, None, (first, second))


def make_next(variant: Variant) -> Callable[[SystemState], Successors]:
  """Returns the successor function of a variant.

  The moves of one controller depend only on itself and the object, so they are
  cached and shared by all states that differ only in the other controller.
  """

  @functools.cache
  def list_moves(
      version: int, record: leases.LeaseRecord | None, controller: Controller
  ) -> list[Move]:
    found = _list_calls(version, record, controller, variant)
    found += _list_responses(controller, variant)
    found += _list_write_effects(version, controller)
    found += _list_term_ends(controller)
    return [
        move._replace(controller=_normalize(move.controller)) for move in found
    ]

  def step(system: SystemState) -> Successors:
    first, second = system.controllers
    pair = (_advance_clock(first), _advance_clock(second))
    successors = [('tick', system._replace(controllers=pair))]
    for move in list_moves(system.version, system.record, first):
      _add(successors, f'a: {move.label}', system, move, second, True)
    for move in list_moves(system.version, system.record, second):
      _add(successors, f'b: {move.label}', system, move, first, False)
    return successors

  return step


def _add(
    successors: Successors,
    label: str,
    system: SystemState,
    move: Move,
    other: Controller,
    is_first: bool,
) -> None:
  version, record = move.change or (system.version, system.record)
  moved = _drop_void_write(move.controller, version)
  other = _drop_void_write(other, version)
  if moved.delayed_write and other.delayed_write:
    return  # At most one delayed write at a time bounds the state space.
  pair = (moved, other) if is_first else (other, moved)
  successors.append((label, SystemState(version, record, pair)))


def _drop_void_write(controller: Controller, version: int) -> Controller:
  """Drops a delayed write whose expected version is already replaced."""
  if controller.delayed_write and controller.delayed_write.expected < version:
    return controller._replace(delayed_write=None)
  return controller


def _normalize(controller: Controller) -> Controller:
  """Resets fields that no later step reads, so that equivalent states match."""
  lease = controller.lease
  if lease.state in (leases.WATCHING, leases.HOLDING, leases.RELEASED):
    lease = lease._replace(nonce='', sent_at=_NEVER)
  if lease.state in (leases.WATCHING, leases.RELEASED):
    lease = lease._replace(fence=0, term_end_at=_NEVER)
  if lease.state == leases.RELEASED:
    lease = lease._replace(version=leases.UNREAD, record=None)
  if lease.state != leases.WATCHING:
    lease = lease._replace(seen_at=_NEVER)
  if leases.is_authorized(lease, 0):
    controller = controller._replace(ticks_since_term=0)
  return controller._replace(lease=lease)


@functools.cache
def _advance_clock(controller: Controller) -> Controller:
  lease = controller.lease
  lease = lease._replace(
      seen_at=_shift_time(lease.seen_at, -DURATION_TICKS - GUARD_TICKS),
      term_end_at=_shift_time(lease.term_end_at, 0),
      sent_at=_shift_time(lease.sent_at, -DURATION_TICKS),
  )
  ticks_since_term = min(controller.ticks_since_term + 1, GUARD_TICKS)
  if leases.is_authorized(controller.lease, 0):
    ticks_since_term = 0
  return _normalize(
      controller._replace(lease=lease, ticks_since_term=ticks_since_term)
  )


def _shift_time(at: float, floor: int) -> float:
  return at if at == _NEVER else max(at - 1, floor)


def _list_calls(
    version: int,
    record: leases.LeaseRecord | None,
    controller: Controller,
    variant: Variant,
) -> list[Move]:
  """Lists the reads and writes that a controller can start."""
  lease = controller.lease
  found = []
  if lease.state == leases.WATCHING or lease.state in leases.SETTLING:
    read = leases.on_read(lease, version, record, 0)
    if not variant.restarts_wait_on_change and lease.version != leases.UNREAD:
      read = read._replace(seen_at=lease.seen_at)
    found.append(Move('read', None, controller._replace(lease=read)))
  if version >= variant.max_version or controller.write:
    return found
  nonce = _unused_nonce(record, controller)
  begun = None
  if leases.can_take(lease, 0, variant.guard_ticks) and _may_increment_fence(
      lease
  ):
    begun = leases.begin_take(lease, 0, nonce, DURATION_TICKS)
    found.append(_begin(controller, 'take', begun))
  if lease.state == leases.HOLDING and leases.is_authorized(lease, 0):
    begun = leases.begin_renewal(lease, 0, nonce, DURATION_TICKS)
    found.append(_begin(controller, 'renew', begun))
  return found


def _unused_nonce(
    record: leases.LeaseRecord | None, controller: Controller
) -> str:
  """Returns a nonce used neither by the object nor by a delayed write."""
  used = {record.nonce} if record else set()
  if controller.delayed_write:
    used.add(controller.delayed_write.record.nonce)
  for number in range(len(used) + 1):
    nonce = f'{controller.lease.owner}{number}'
    if nonce not in used:
      break
  return nonce


def _may_increment_fence(lease: leases.Lease) -> bool:
  return lease.record is None or lease.record.fence < _MAX_FENCE


def _begin(controller: Controller, label: str, begun: tuple) -> Move:
  lease, record = begun
  write = Write(controller.lease.version, record)
  return Move(label, None, controller._replace(lease=lease, write=write))


def _list_write_effects(version: int, controller: Controller) -> list[Move]:
  """Lists how the platform can process a pending or delayed write."""
  found = []
  write = controller.write
  if write and not write.result:
    if write.expected != version:
      conflict = write._replace(result='conflict')
      found.append(Move('conflict', None, controller._replace(write=conflict)))
    else:
      change = (version + 1, write.record)
      done = write._replace(result='ok')
      found.append(Move('applied', change, controller._replace(write=done)))
  delayed_write = controller.delayed_write
  if delayed_write and delayed_write.expected == version:
    change = (version + 1, delayed_write.record)
    found.append(
        Move('applied late', change, controller._replace(delayed_write=None))
    )
  return found


def _list_responses(controller: Controller, variant: Variant) -> list[Move]:
  """Lists the responses that a writer can receive, including none."""
  write = controller.write
  if not write:
    return []
  without_write = controller._replace(write=None)
  lease = controller.lease
  lost = leases.on_lost(lease)
  if variant.assumes_lost_write_applied:
    lost = leases.on_written(lease, write.expected + 1, write.record)
  if not write.result:
    unavailable = without_write._replace(lease=leases.on_unavailable(lease))
    given_up = without_write._replace(lease=lost, delayed_write=write)
    return [
        Move('unavailable', None, unavailable),
        Move('gave up', None, given_up),
    ]
  found = [Move('answer lost', None, without_write._replace(lease=lost))]
  if write.result == 'conflict':
    resolved = leases.on_conflict(lease)
  else:
    if variant.counts_term_from_response:
      lease = lease._replace(sent_at=0)
    resolved = leases.on_written(lease, write.expected + 1, write.record)
  found.append(
      Move(f'told {write.result}', None, without_write._replace(lease=resolved))
  )
  return found


def _list_term_ends(controller: Controller) -> list[Move]:
  """Lists the ways in which a term can end: expiry, release or crash."""
  found = []
  lease = controller.lease
  expired = leases.on_tick(lease, 0)
  if expired != lease:
    found.append(Move('expired', None, controller._replace(lease=expired)))
  if lease.state == leases.HOLDING and not controller.write:
    released, record = leases.begin_release(lease, f'{lease.owner}.r')
    delayed_write = Write(lease.version, record)
    changed = controller._replace(
        lease=released,
        delayed_write=delayed_write,
        ticks_since_term=GUARD_TICKS,
    )
    found.append(Move('release', None, changed))
  if controller.can_crash:
    found.append(Move('crash', None, _crash(controller)))
  return found


def _crash(controller: Controller) -> Controller:
  """Returns the controller restarted under a new owner and without memory."""
  delayed_write = controller.delayed_write
  if controller.write and not controller.write.result:
    delayed_write = controller.write
  fresh = leases.Lease(owner='c')
  return Controller(
      fresh,
      delayed_write=delayed_write,
      ticks_since_term=controller.ticks_since_term,
  )


def has_at_most_one_holder(system: SystemState) -> bool:
  """Whether at most one controller is authorized."""
  held = [leases.is_authorized(c.lease, 0) for c in system.controllers]
  return not all(held)


def has_holder_current_fence(system: SystemState) -> bool:
  """Whether an authorized controller has the fencing number of the object."""
  for controller in system.controllers:
    if not leases.is_authorized(controller.lease, 0):
      continue
    if system.record is None or system.record.fence != controller.lease.fence:
      return False
  return True


def are_terms_separated(system: SystemState) -> bool:
  """Whether a term begins no sooner than the guard after the other one's end.

  A controller releases the lease only when none of its orders is in flight, so
  no guard is needed after a release.
  """
  for one, other in (system.controllers, system.controllers[::-1]):
    if other.lease.state == leases.RELEASED:
      continue
    if (
        leases.is_authorized(one.lease, 0)
        and other.ticks_since_term < GUARD_TICKS
    ):
      return False
  return True


INVARIANTS = {
    'one holder at a time': has_at_most_one_holder,
    'the holder has the current fence': has_holder_current_fence,
    'terms are a guard apart': are_terms_separated,
}


def specifications() -> list[check.Specification]:
  """Returns the specifications of the lease and their broken variants."""
  variants = {
      'no-guard': (Variant(guard_ticks=0), 'terms are a guard apart'),
      'counts-from-answer': (
          Variant(counts_term_from_response=True),
          'one holder at a time',
      ),
      'guesses-lost-answer': (
          Variant(assumes_lost_write_applied=True),
          'the holder has the current fence',
      ),
      'wait-not-restarted': (
          Variant(restarts_wait_on_change=False),
          'one holder at a time',
      ),
  }
  correct = check.Specification(
      'lease',
      (make_initial(can_crash=False),),
      make_next(Variant()),
      INVARIANTS,
      witness_by_name={
          'second term': lambda w: any(
              c.lease.fence == _MAX_FENCE and leases.is_authorized(c.lease, 0)
              for c in w.controllers
          ),
          'renewal settled by reading back': lambda w: any(
              c.lease.state == 'settling_renewal' for c in w.controllers
          ),
      },
  )
  crashing = correct._replace(
      name='lease with a crash',
      initial=(make_initial(can_crash=True),),
      next=make_next(Variant(max_version=2)),
  )
  found = [correct, crashing]
  for name, (variant, expected_violation) in variants.items():
    found.append(
        correct._replace(
            name=f'lease/{name}',
            next=make_next(variant),
            expected_violation=expected_violation,
        )
    )
  return found
