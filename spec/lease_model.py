"""Specification of the lease: two controllers, one object, and time.

The steps of a controller are the functions of `core/lease.py` themselves, and
so follow the chart in `core/charts/lease.toml`. Around them the model puts a
platform that delays writes, loses answers and applies a write after its writer
gave up, and controllers that crash, or pause for any time between any two
steps (a step is never forced).

Time is whole ticks, and all times in a state are relative to now, so that the
space is finite. Both clocks run alike; their drift belongs to the guard.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import lease as leases
from spec import check

DURATION = 2
GUARD = 1
_MAX_FENCE = 2
_NEVER = float('-inf')


class Write(NamedTuple):
  """A write on its way: `result` is empty until the platform has applied it.

  Attributes:
    expected: Version that it replaces.
    record: What it writes.
    result: Empty, `ok` or `conflict`.
  """

  expected: int
  record: leases.LeaseRecord
  result: str = ''


class Controller(NamedTuple):
  """One controller.

  Attributes:
    lease: What the program keeps.
    write: The write whose answer it waits for.
    late: A write that it gave up on, and that may yet take effect.
    since_term: Ticks since its last term ended, at most `GUARD`.
    can_crash: Whether it may still crash.
  """

  lease: leases.Lease
  write: Write | None = None
  late: Write | None = None
  since_term: int = GUARD
  can_crash: bool = False


class World(NamedTuple):
  """The object, and both controllers."""

  version: int
  record: leases.LeaseRecord | None
  controllers: tuple[Controller, Controller]


class Move(NamedTuple):
  """One step of a controller.

  Attributes:
    label: What happens.
    change: Version and content of the object after it, None for no change.
    controller: The controller after it.
  """

  label: str
  change: tuple[int, leases.LeaseRecord] | None
  controller: Controller


class Rules(NamedTuple):
  """What a broken variant changes.

  Attributes:
    max_version: Bound on the writes of the object.
    guard: What a successor waits beyond the duration.
    counts_from_answer: Whether a term counts from the answer of its write.
    guesses_lost_take: Whether a lost answer counts as a success.
    sees_changes: Whether a change of the object restarts the wait.
  """

  max_version: int = 3
  guard: int = GUARD
  counts_from_answer: bool = False
  guesses_lost_take: bool = False
  sees_changes: bool = True


Successors = list[tuple[str, World]]


def start(can_crash: bool) -> World:
  """Returns the world before any term; the first controller may crash."""
  first = Controller(leases.Lease(owner='a'), can_crash=can_crash)
  second = Controller(leases.Lease(owner='b'))
  return World(0, None, (first, second))


def make_next(rules: Rules) -> Callable[[World], Successors]:
  """Makes the transition function for a set of rules.

  What one controller can do depends on itself and the object only, and is
  worked out once for all the worlds that differ in the other controller.
  """

  @functools.cache
  def list_moves(
      version: int, record: leases.LeaseRecord | None, controller: Controller
  ) -> list[Move]:
    found = _call(version, record, controller, rules)
    found += _answer(controller, rules)
    found += _apply(version, controller)
    found += _end(controller)
    return [move._replace(controller=_tidy(move.controller)) for move in found]

  def step(world: World) -> Successors:
    first, second = world.controllers
    pair = (_age(first), _age(second))
    successors = [('tick', world._replace(controllers=pair))]
    for move in list_moves(world.version, world.record, first):
      _add(successors, f'a: {move.label}', world, move, second, True)
    for move in list_moves(world.version, world.record, second):
      _add(successors, f'b: {move.label}', world, move, first, False)
    return successors

  return step


def _add(
    successors: Successors,
    label: str,
    world: World,
    move: Move,
    other: Controller,
    is_first: bool,
) -> None:
  version, record = move.change or (world.version, world.record)
  moved = _forget_late(move.controller, version)
  other = _forget_late(other, version)
  if moved.late and other.late:
    return  # One late write at a time bounds the space.
  pair = (moved, other) if is_first else (other, moved)
  successors.append((label, World(version, record, pair)))


def _forget_late(controller: Controller, version: int) -> Controller:
  """Drops a late write that can't take effect: versions only grow."""
  if controller.late and controller.late.expected < version:
    return controller._replace(late=None)
  return controller


def _tidy(controller: Controller) -> Controller:
  """Clears what no later step reads, so that equal states are equal."""
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
    controller = controller._replace(since_term=0)
  return controller._replace(lease=lease)


@functools.cache
def _age(controller: Controller) -> Controller:
  lease = controller.lease
  lease = lease._replace(
      seen_at=_earlier(lease.seen_at, -DURATION - GUARD),
      term_end_at=_earlier(lease.term_end_at, 0),
      sent_at=_earlier(lease.sent_at, -DURATION),
  )
  since_term = min(controller.since_term + 1, GUARD)
  if leases.is_authorized(controller.lease, 0):
    since_term = 0
  return _tidy(controller._replace(lease=lease, since_term=since_term))


def _earlier(at: float, floor: int) -> float:
  return at if at == _NEVER else max(at - 1, floor)


def _call(
    version: int,
    record: leases.LeaseRecord | None,
    controller: Controller,
    rules: Rules,
) -> list[Move]:
  """The calls that the program starts by itself."""
  lease = controller.lease
  found = []
  if lease.state == leases.WATCHING or lease.state in leases.SETTLING:
    read = leases.on_read(lease, version, record, 0)
    if not rules.sees_changes and lease.version != leases.UNREAD:
      read = read._replace(seen_at=lease.seen_at)
    found.append(Move('read', None, controller._replace(lease=read)))
  if version >= rules.max_version or controller.write:
    return found
  nonce = _unused_nonce(record, controller)
  begun = None
  if leases.can_take(lease, 0, rules.guard) and _next_fence(lease):
    begun = leases.begin_take(lease, 0, nonce, DURATION)
    found.append(_begin(controller, 'take', begun))
  if lease.state == leases.HOLDING and leases.is_authorized(lease, 0):
    begun = leases.begin_renewal(lease, 0, nonce, DURATION)
    found.append(_begin(controller, 'renew', begun))
  return found


def _unused_nonce(
    record: leases.LeaseRecord | None, controller: Controller
) -> str:
  """Picks a nonce that is in no write or object that can still be read."""
  used = {record.nonce} if record else set()
  if controller.late:
    used.add(controller.late.record.nonce)
  for number in range(len(used) + 1):
    nonce = f'{controller.lease.owner}{number}'
    if nonce not in used:
      break
  return nonce


def _next_fence(lease: leases.Lease) -> bool:
  return lease.record is None or lease.record.fence < _MAX_FENCE


def _begin(controller: Controller, label: str, begun: tuple) -> Move:
  lease, record = begun
  write = Write(controller.lease.version, record)
  return Move(label, None, controller._replace(lease=lease, write=write))


def _apply(version: int, controller: Controller) -> list[Move]:
  """What the platform does with a write, in time or late."""
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
  late = controller.late
  if late and late.expected == version:
    change = (version + 1, late.record)
    found.append(Move('applied late', change, controller._replace(late=None)))
  return found


def _answer(controller: Controller, rules: Rules) -> list[Move]:
  """What the writer learns of its write."""
  write = controller.write
  if not write:
    return []
  free = controller._replace(write=None)
  lease = controller.lease
  lost = leases.on_lost(lease)
  if rules.guesses_lost_take:
    lost = leases.on_written(lease, write.expected + 1, write.record)
  if not write.result:
    away = free._replace(lease=leases.on_unavailable(lease))
    given_up = free._replace(lease=lost, late=write)
    return [
        Move('unavailable', None, away),
        Move('gave up', None, given_up),
    ]
  found = [Move('answer lost', None, free._replace(lease=lost))]
  if write.result == 'conflict':
    known = leases.on_conflict(lease)
  else:
    if rules.counts_from_answer:
      lease = lease._replace(sent_at=0)
    known = leases.on_written(lease, write.expected + 1, write.record)
  found.append(Move(f'told {write.result}', None, free._replace(lease=known)))
  return found


def _end(controller: Controller) -> list[Move]:
  """How a term ends: expiry, release, crash."""
  found = []
  lease = controller.lease
  expired = leases.on_tick(lease, 0)
  if expired != lease:
    found.append(Move('expired', None, controller._replace(lease=expired)))
  if lease.state == leases.HOLDING and not controller.write:
    released, record = leases.begin_release(lease, f'{lease.owner}.r')
    late = Write(lease.version, record)
    changed = controller._replace(lease=released, late=late, since_term=GUARD)
    found.append(Move('release', None, changed))
  if controller.can_crash:
    found.append(Move('crash', None, _crash(controller)))
  return found


def _crash(controller: Controller) -> Controller:
  """Starts the program anew, with another identity and no memory."""
  late = controller.late
  if controller.write and not controller.write.result:
    late = controller.write
  fresh = leases.Lease(owner='c')
  return Controller(fresh, late=late, since_term=controller.since_term)


def is_alone(world: World) -> bool:
  """No two controllers are authorized at once."""
  held = [leases.is_authorized(c.lease, 0) for c in world.controllers]
  return not all(held)


def is_current(world: World) -> bool:
  """Whoever is authorized has the fencing number that the object tells."""
  for controller in world.controllers:
    if not leases.is_authorized(controller.lease, 0):
      continue
    if world.record is None or world.record.fence != controller.lease.fence:
      return False
  return True


def is_apart(world: World) -> bool:
  """A term begins no sooner than the guard after the other one's end.

  A release is a promise that no order is in flight, and needs no guard.
  """
  for one, other in (world.controllers, world.controllers[::-1]):
    if other.lease.state == leases.RELEASED:
      continue
    if leases.is_authorized(one.lease, 0) and other.since_term < GUARD:
      return False
  return True


INVARIANTS = {
    'one holder at a time': is_alone,
    'the holder has the current fence': is_current,
    'terms are a guard apart': is_apart,
}


def specifications() -> list[check.Specification]:
  """Returns the lease, and its broken variants."""
  variants = {
      'no-guard': (Rules(guard=0), 'terms are a guard apart'),
      'counts-from-answer': (
          Rules(counts_from_answer=True),
          'one holder at a time',
      ),
      'guesses-lost-answer': (
          Rules(guesses_lost_take=True),
          'the holder has the current fence',
      ),
      'wait-not-restarted': (
          Rules(sees_changes=False),
          'one holder at a time',
      ),
  }
  whole = check.Specification(
      'lease',
      (start(can_crash=False),),
      make_next(Rules()),
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
  crashing = whole._replace(
      name='lease with a crash',
      initial=(start(can_crash=True),),
      next=make_next(Rules(max_version=2)),
  )
  found = [whole, crashing]
  for name, (rules, breaks) in variants.items():
    found.append(
        whole._replace(
            name=f'lease/{name}', next=make_next(rules), breaks=breaks
        )
    )
  return found
