"""Specification of orders: two controllers, one engine, one lease.

The steps of a controller are the functions of `core/lease.py` and
`core/orders.py`, and so follow the charts `lease` and `order`. The faults of
the lease's own writes are in `lease_model.py`; here they succeed or have no
effect. What is added: intents whose answers are lost or that take effect late,
orders that are delayed in flight, refused or taken without an answer, the
dead-man timer, a controller that crashes, and an engine that restarts without
memory. A controller may pause between any two steps, since no step is forced.

Time is whole ticks, relative to now. An order is in flight for `FLIGHT` ticks
at most, which is less than the guard.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import lease as leases
from mulberrypick.core import orders
from mulberrypick.core import records
from spec import check

DURATION = 2
GUARD = 2
FLIGHT = 1
_MAX_FENCE = 2
_MAX_INTENTS = 2
_NEVER = float('-inf')
_OFF = -1

_ORDER = records.Order('e', 0, 0, records.ACTION_DRAIN, '', '', '', '')
_STATE = records.EngineState('e', 0, '', (), 0, 0, False, False, 0)


class Flight(NamedTuple):
  """An order on its way.

  Attributes:
    sequence: Its sequence.
    fence: Its fencing number.
    life: Life of the engine that it was planned on.
    base: Last sequence that the engine showed then.
    left: Ticks within which it arrives, if it does.
  """

  sequence: int
  fence: int
  life: int
  base: int
  left: int


class Write(NamedTuple):
  """The write of an intent: `result` is empty until it was applied."""

  expected: int
  intent: orders.Intent
  result: str = ''


class Controller(NamedTuple):
  """One controller.

  Attributes:
    lease: What it knows of the lease.
    track: What it knows of the orders.
    write: The intent whose answer it waits for.
    late: An intent that may yet be written.
    life: Life of the engine that the present order is planned on.
    base: Last sequence that the engine showed then.
    computed: Ticks that the timer is about to be armed for, `_OFF` for none.
    armed: Ticks until the timer ends the process, `_OFF` for none.
    can_crash: Whether it may crash.
  """

  lease: leases.Lease
  track: orders.Track = orders.Track()
  write: Write | None = None
  late: Write | None = None
  life: int = 0
  base: int = 0
  computed: int = _OFF
  armed: int = _OFF
  can_crash: bool = False


class Engine(NamedTuple):
  """The engine, and what a bystander would have noted.

  Attributes:
    life: Grows with a restart, at which it forgets the rest.
    last: Sequence of the last order taken.
    fence: Highest fencing number seen.
    top_fence: The same, not forgotten.
    faults: What went wrong, see `INVARIANTS`.
  """

  life: int = 0
  last: int = 0
  fence: int = 0
  top_fence: int = 0
  faults: frozenset[str] = frozenset()


class World(NamedTuple):
  """Everything."""

  version: int
  record: leases.LeaseRecord | None
  intent_version: int
  intent: orders.Intent | None
  engine: Engine
  flights: tuple[Flight, ...]
  controllers: tuple[Controller, ...]


class Rules(NamedTuple):
  """The engine's kind, and what a broken variant changes.

  Attributes:
    checks_fence: Whether the engine refuses old fencing numbers.
    can_restart: Whether the engine may restart.
    has_timer: Whether the dead-man timer is armed.
    reads_timer_back: Whether the timer is checked after it was armed.
    guard: What a successor waits beyond the duration.
    settle_guard: What a lost order is waited for.
    reads_engine: Whether a successor reads the engine before it plans.
    guesses_lost_write: Whether a lost answer counts as a written intent.
  """

  checks_fence: bool
  can_restart: bool = True
  has_timer: bool = True
  reads_timer_back: bool = True
  guard: int = GUARD
  settle_guard: int = GUARD
  reads_engine: bool = True
  guesses_lost_write: bool = False


Successors = list[tuple[str, World]]


def start() -> World:
  """Returns the world before any term."""
  first = Controller(leases.Lease(owner='a'), can_crash=True)
  second = Controller(leases.Lease(owner='b'))
  return World(0, None, 0, None, Engine(), (), (first, second))


def make_next(rules: Rules) -> Callable[[World], Successors]:
  """Makes the transition function for a set of rules."""

  def step(world: World) -> Successors:
    successors = [('tick', _tick(world))]
    for index, controller in enumerate(world.controllers):
      found = _lease_moves(world, controller, rules)
      found += _intent_moves(world, controller, rules)
      found += _send_moves(world, controller, rules)
      for label, after, moved in found:
        controllers = list(after.controllers)
        controllers[index] = _tidy(moved, after.intent_version)
        after = after._replace(controllers=tuple(controllers))
        successors.append((f'{"ab"[index]}: {label}', after))
    successors += _engine_moves(world, rules)
    return successors

  return step


def _tidy(controller: Controller, intent_version: int) -> Controller:
  """Clears what no later step reads."""
  lease = controller.lease
  track = controller.track
  if lease.state == leases.HOLDING:
    lease = lease._replace(nonce='', sent_at=_NEVER, seen_at=_NEVER)
  else:
    lease = lease._replace(fence=0, nonce='', sent_at=_NEVER)
    if not controller.write and track.state != 'sent':
      track = orders.Track()
      controller = controller._replace(
          life=0, base=0, computed=_OFF, armed=_OFF
      )
  if track.state != orders.UNKNOWN:
    track = track._replace(sent_at=_NEVER)
  if track.state in (orders.UNREAD, orders.SETTLED, orders.UNKNOWN):
    controller = controller._replace(life=0, base=0, computed=_OFF, armed=_OFF)
  late = controller.late
  if late and late.expected < intent_version:
    late = None
  return controller._replace(lease=lease, track=track, late=late)


def _tick(world: World) -> World:
  flights = tuple(
      flight._replace(left=flight.left - 1)
      for flight in world.flights
      if flight.left
  )
  controllers = tuple(
      _age(controller, world.intent_version) for controller in world.controllers
  )
  return world._replace(flights=flights, controllers=controllers)


@functools.cache
def _age(controller: Controller, intent_version: int) -> Controller:
  if controller.armed == 1:
    return _killed(controller)
  lease = controller.lease
  lease = lease._replace(
      seen_at=_earlier(lease.seen_at, -DURATION - GUARD),
      term_end_at=_earlier(lease.term_end_at, 0),
  )
  track = controller.track
  track = track._replace(sent_at=_earlier(track.sent_at, -GUARD))
  armed = controller.armed - 1 if controller.armed > 0 else controller.armed
  aged = controller._replace(lease=lease, track=track, armed=armed)
  return _tidy(aged, intent_version)


def _earlier(at: float, floor: int) -> float:
  return at if at == _NEVER else max(at - 1, floor)


def _killed(controller: Controller) -> Controller:
  """Starts the program anew, without memory."""
  late = controller.late
  if controller.write and not controller.write.result:
    late = controller.write
  owner = 'c' if controller.lease.owner == 'a' else 'd'
  return Controller(leases.Lease(owner=owner), late=late)


def _lease_moves(world: World, controller: Controller, rules: Rules) -> list:
  lease = controller.lease
  found = []
  if lease.state == leases.WATCHING:
    read = leases.on_read(lease, world.version, world.record, 0)
    if read != lease:
      found.append(('read', world, controller._replace(lease=read)))
  fence = world.record.fence if world.record else 0
  if leases.can_take(lease, 0, rules.guard) and fence < _MAX_FENCE:
    begun, record = leases.begin_take(lease, 0, 'n', DURATION)
    found += _write_lease('take', world, controller, begun, record)
  if leases.is_authorized(lease, 0):
    # A renewal leaves the version as it is here, so that the space is finite.
    begun, record = leases.begin_renewal(lease, 0, 'n', DURATION)
    held = leases.on_written(begun, lease.version, record)
    if lease.version == world.version and held != lease:
      # The other one sees a change, and waits anew.
      after = world._replace(controllers=_see_change(world, controller))
      found.append(('renew', after, controller._replace(lease=held)))
  expired = leases.on_time(lease, 0)
  if expired != lease and not controller.write:
    found.append(('expired', world, controller._replace(lease=expired)))
  if controller.can_crash:
    found.append(('crash', world, _killed(controller)))
  return found


def _write_lease(
    label: str,
    world: World,
    controller: Controller,
    begun: leases.Lease,
    record: leases.LeaseRecord,
) -> list:
  if begun.version != world.version:
    refused = controller._replace(lease=leases.on_conflict(begun))
    return [(f'{label}, conflict', world, refused)]
  held = leases.on_written(begun, world.version + 1, record)
  after = world._replace(version=world.version + 1, record=record)
  taken = controller._replace(lease=held, track=orders.Track())
  return [(label, after, taken)]


def _see_change(world: World, holder: Controller) -> tuple[Controller, ...]:
  controllers = []
  for other in world.controllers:
    watches = other.lease.state == leases.WATCHING
    if other is not holder and watches and other.lease.version != -1:
      other = other._replace(lease=other.lease._replace(seen_at=0))
    controllers.append(other)
  return tuple(controllers)


def _intent_moves(world: World, controller: Controller, rules: Rules) -> list:
  found = []
  track = controller.track
  is_held = leases.is_authorized(controller.lease, 0)
  if is_held and track.state in (orders.UNREAD, orders.SETTLING):
    read = orders.on_read(track, world.intent_version, world.intent)
    found.append(('read intent', world, controller._replace(track=read)))
  if is_held and track.state in (orders.SETTLED, orders.UNKNOWN):
    found += _plan(world, controller, rules)
  found += _answer_intent(world, controller, rules)
  late = controller.late
  if late and late.expected == world.intent_version:
    after = _put_intent(world, late.intent)
    found.append(('late intent', after, controller._replace(late=None)))
  return found


def _put_intent(world: World, intent: orders.Intent) -> World:
  return world._replace(intent_version=world.intent_version + 1, intent=intent)


def _plan(world: World, controller: Controller, rules: Rules) -> list:
  """Reads the engine, settles, and begins to write the next intent."""
  engine = world.engine
  state = _STATE._replace(last_sequence=engine.last)
  track = controller.track
  base = engine.last
  if rules.reads_engine:
    settled = orders.settle(track, state, 0, rules.settle_guard)
  else:
    # Believes that what was written was carried out.
    base = track.intent.order.sequence if track.intent else 0
    settled = track._replace(state=orders.SETTLED)
  if settled.state != orders.SETTLED:
    return []
  found = []
  if settled != track:
    found.append(('settle', world, controller._replace(track=settled)))
  if world.intent_version >= _MAX_INTENTS:
    return found
  fence = controller.lease.fence
  nonce = f'{controller.lease.owner}{settled.version}'
  begun = orders.begin_write(settled, _ORDER._replace(fence=fence), nonce, base)
  write = Write(settled.version, begun.intent)
  planned = controller._replace(
      track=begun, write=write, life=engine.life, base=base
  )
  found.append(('write intent', world, planned))
  return found


def _answer_intent(world: World, controller: Controller, rules: Rules) -> list:
  write = controller.write
  if not write:
    return []
  track = controller.track
  free = controller._replace(write=None)
  lost = orders.on_unwritten(track, 'lost')
  if rules.guesses_lost_write:
    lost = orders.on_written(track, write.expected + 1)
  if not write.result:
    found = []
    result, after = 'conflict', world
    if write.expected == world.intent_version:
      result, after = 'written', _put_intent(world, write.intent)
    done = controller._replace(write=write._replace(result=result))
    found.append((f'intent {result}', after, done))
    given_up = free._replace(track=lost, late=write)
    found.append(('gave up intent', world, given_up))
    return found
  if write.result == 'written':
    known = orders.on_written(track, write.expected + 1)
  else:
    known = orders.on_unwritten(track, 'conflict')
  return [
      ('intent answer lost', world, free._replace(track=lost)),
      (f'told intent {write.result}', world, free._replace(track=known)),
  ]


def _send_moves(world: World, controller: Controller, rules: Rules) -> list:
  track = controller.track
  found = []
  if track.state == orders.READY and controller.computed == _OFF:
    dropped = controller._replace(track=orders.drop(track))
    found.append(('drop', world, dropped))
    if leases.is_authorized(controller.lease, 0):
      left = int(controller.lease.term_end_at)
      computed = controller._replace(computed=left)
      found.append(('read the clock', world, computed))
  if track.state == orders.READY and controller.computed != _OFF:
    found += _arm_and_send(world, controller, rules)
  if track.state == 'sent':
    # The sender may give up at any time; the order may still be in flight.
    lost = orders.on_answer(track, 'lost', 0)
    found.append(('no answer', world, controller._replace(track=lost)))
  return found


def _arm_and_send(world: World, controller: Controller, rules: Rules) -> list:
  track = controller.track
  if controller.armed == _OFF:
    is_late = controller.computed > controller.lease.term_end_at
    if is_late and rules.reads_timer_back:
      return [('set too late', world, controller._replace(computed=_OFF))]
    armed = controller.computed if rules.has_timer else 0
    return [('arm', world, controller._replace(armed=armed))]
  order = track.intent.order
  flight = Flight(
      order.sequence, order.fence, controller.life, controller.base, FLIGHT
  )
  after = world._replace(flights=tuple(sorted((*world.flights, flight))))
  sent = controller._replace(track=orders.begin_send(track, 0), armed=_OFF)
  return [('send', after, sent)]


def _engine_moves(world: World, rules: Rules) -> Successors:
  successors = []
  engine = world.engine
  if rules.can_restart and engine.life == 0:
    fresh = engine._replace(life=1, last=0, fence=0)
    successors.append(('engine restarts', world._replace(engine=fresh)))
  for flight in set(world.flights):
    flights = list(world.flights)
    flights.remove(flight)
    after = world._replace(flights=tuple(flights))
    event = 'accepted'
    if rules.checks_fence and flight.fence < engine.fence:
      event = 'stale'
    else:
      after = after._replace(engine=_take(world, flight))
    label = f'order {flight.sequence} of term {flight.fence} {event}'
    successors.append((f'{label}, no answer', after))
    told = _tell(after, flight, event)
    if told != after:
      successors.append((label, told))
  return successors


def _tell(world: World, flight: Flight, event: str) -> World:
  """Gives the engine's answer to the sender, if it still waits."""
  controllers = []
  for controller in world.controllers:
    track = controller.track
    if track.state == 'sent' and track.intent.order.fence == flight.fence:
      track = orders.on_answer(track, event, 0)
      controller = controller._replace(track=track)
      if event == 'stale':
        lease = leases.on_stale(controller.lease)
        controller = controller._replace(lease=lease)
    controllers.append(_tidy(controller, world.intent_version))
  return world._replace(controllers=tuple(controllers))


def _take(world: World, flight: Flight) -> Engine:
  """The engine takes an order; a bystander notes what is wrong with it."""
  engine = world.engine
  faults = set(engine.faults)
  if flight.fence < engine.top_fence:
    faults.add('old')
  if flight.fence != world.record.fence:
    faults.add('powerless')
  if flight.life == engine.life and flight.base != engine.last:
    faults.add('blind')
  if flight.life == engine.life and flight.sequence <= engine.last:
    faults.add('reused')
  return engine._replace(
      last=flight.sequence,
      fence=max(engine.fence, flight.fence),
      top_fence=max(engine.top_fence, flight.fence),
      faults=frozenset(faults),
  )


OLD = 'no order of an older term after one of a newer'
POWERLESS = 'no order of a term that is over has an effect'
BLIND = 'every order is planned on the last one taken'
REUSED = 'no sequence is used twice'
INVARIANTS = {
    OLD: lambda w: 'old' not in w.engine.faults,
    POWERLESS: lambda w: 'powerless' not in w.engine.faults,
    BLIND: lambda w: 'blind' not in w.engine.faults,
    REUSED: lambda w: 'reused' not in w.engine.faults,
}
WITNESSES = {
    'an order of the second term is taken': lambda w: w.engine.top_fence == 2,
    'an intent is settled by reading back': lambda w: any(
        c.track.state == orders.SETTLING for c in w.controllers
    ),
    'an order is unknown': lambda w: any(
        c.track.state == orders.UNKNOWN for c in w.controllers
    ),
    'the second order is taken by a restarted engine': lambda w: (
        w.engine.life == 1 and w.engine.last == 2
    ),
}


def specifications() -> list[check.Specification]:
  """Returns the orders to both kinds of engine, and broken variants."""
  ignores = Rules(checks_fence=False)
  checks = Rules(checks_fence=True)
  whole = check.Specification(
      'orders to an engine that ignores fences',
      (start(),),
      make_next(ignores),
      INVARIANTS,
      witness_by_name=WITNESSES,
  )
  found = [
      whole,
      whole._replace(
          name='orders to an engine that checks fences',
          next=make_next(checks),
      ),
  ]
  variants = {
      'no-timer': (ignores._replace(has_timer=False), OLD),
      'no-timer-with-fences': (checks._replace(has_timer=False), OLD),
      'timer-not-read-back': (ignores._replace(reads_timer_back=False), OLD),
      'no-guard': (ignores._replace(guard=0), POWERLESS),
      'lost-order-not-waited-for': (ignores._replace(settle_guard=0), BLIND),
      'engine-not-read': (ignores._replace(reads_engine=False), BLIND),
      'guesses-lost-write': (
          ignores._replace(guesses_lost_write=True),
          REUSED,
      ),
  }
  for name, (rules, breaks) in variants.items():
    found.append(
        whole._replace(
            name=f'orders/{name}', next=make_next(rules), breaks=breaks
        )
    )
  return found
