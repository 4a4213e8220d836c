"""States of the specification of orders, and the passing of time.

See `order_model.py` for the steps.
"""

import functools
from typing import NamedTuple

from mulberrypick.core import lease as leases
from mulberrypick.core import orders

DURATION = 2
GUARD = 2
OFF = -1
NEVER = float('-inf')


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
    computed: Ticks that the timer is about to be armed for, `OFF` for none.
    armed: Ticks until the timer ends the process, `OFF` for none.
    can_crash: Whether it may crash.
  """

  lease: leases.Lease
  track: orders.OrderTracker = orders.OrderTracker()
  write: Write | None = None
  late: Write | None = None
  life: int = 0
  base: int = 0
  computed: int = OFF
  armed: int = OFF
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


class Shared(NamedTuple):
  """The platform's objects, the engine, and what is on its way to it."""

  version: int
  record: leases.LeaseRecord | None
  intent_version: int
  intent: orders.Intent | None
  engine: Engine
  flights: tuple[Flight, ...]


class World(NamedTuple):
  """Everything."""

  shared: Shared
  controllers: tuple[Controller, ...]


class Move(NamedTuple):
  """One step of a controller: what happens, and what is after it."""

  label: str
  shared: Shared
  controller: Controller


def start(can_crash: bool) -> World:
  """Returns the world before any term; the first controller may crash."""
  first = Controller(leases.Lease(owner='a'), can_crash=can_crash)
  second = Controller(leases.Lease(owner='b'))
  return World(Shared(0, None, 0, None, Engine(), ()), (first, second))


def tidy(controller: Controller, intent_version: int) -> Controller:
  """Clears what no later step reads."""
  lease = controller.lease
  track = controller.track
  if lease.state == leases.HOLDING:
    lease = lease._replace(nonce='', sent_at=NEVER, seen_at=NEVER)
  else:
    lease = lease._replace(fence=0, nonce='', sent_at=NEVER)
    if not controller.write and track.state != 'sent':
      track = orders.OrderTracker()
      controller = controller._replace(life=0, base=0, computed=OFF, armed=OFF)
  if track.state != orders.UNKNOWN:
    track = track._replace(sent_at=NEVER)
  if track.state in (orders.UNREAD, orders.SETTLED, orders.UNKNOWN):
    controller = controller._replace(life=0, base=0, computed=OFF, armed=OFF)
  late = controller.late
  if late and late.expected < intent_version:
    late = None
  return controller._replace(lease=lease, track=track, late=late)


def tick(world: World) -> World:
  """Lets a tick pass."""
  shared = world.shared
  flights = tuple(
      flight._replace(left=flight.left - 1)
      for flight in shared.flights
      if flight.left
  )
  first, second = world.controllers
  pair = (
      _age(first, shared.intent_version),
      _age(second, shared.intent_version),
  )
  return World(shared._replace(flights=flights), pair)


@functools.cache
def _age(controller: Controller, intent_version: int) -> Controller:
  if controller.armed == 1:
    return restart(controller)
  lease = controller.lease
  lease = lease._replace(
      seen_at=_earlier(lease.seen_at, -DURATION - GUARD),
      term_end_at=_earlier(lease.term_end_at, 0),
  )
  track = controller.track
  track = track._replace(sent_at=_earlier(track.sent_at, -GUARD))
  armed = controller.armed - 1 if controller.armed > 0 else controller.armed
  aged = controller._replace(lease=lease, track=track, armed=armed)
  return tidy(aged, intent_version)


def _earlier(at: float, floor: int) -> float:
  return at if at == NEVER else max(at - 1, floor)


def restart(controller: Controller) -> Controller:
  """Starts the program anew, without memory."""
  late = controller.late
  if controller.write and not controller.write.result:
    late = controller.write
  owner = 'c' if controller.lease.owner == 'a' else 'd'
  return Controller(leases.Lease(owner=owner), late=late)


def list_engine_steps(
    world: World, can_restart: bool, checks_fence: bool
) -> list[tuple[str, World]]:
  """Lists what the engine can do: restart, or take an order that is due."""
  successors = []
  shared = world.shared
  engine = shared.engine
  if can_restart and engine.life == 0:
    fresh = engine._replace(life=1, last=0, fence=0)
    restarted = shared._replace(engine=fresh)
    successors.append(('engine restarts', world._replace(shared=restarted)))
  for flight in set(shared.flights):
    flights = list(shared.flights)
    flights.remove(flight)
    after = shared._replace(flights=tuple(flights))
    event = 'accepted'
    if checks_fence and flight.fence < engine.fence:
      event = 'stale'
    else:
      after = after._replace(engine=_take(shared, flight))
    label = f'order {flight.sequence} of term {flight.fence} {event}'
    untold = World(after, world.controllers)
    successors.append((f'{label}, no answer', untold))
    told = _tell(untold, flight, event)
    if told != untold:
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
    controllers.append(tidy(controller, world.shared.intent_version))
  return world._replace(controllers=tuple(controllers))


def _take(shared: Shared, flight: Flight) -> Engine:
  """The engine takes an order; a bystander notes what is wrong with it."""
  engine = shared.engine
  faults = set(engine.faults)
  if flight.fence < engine.top_fence:
    faults.add('old')
  if flight.fence != shared.record.fence:
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
