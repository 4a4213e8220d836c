"""States, clock and engine steps of the specification of orders.

The steps of the controllers are in `order_model.py`.
"""

import functools
from typing import NamedTuple

from mulberrypick.core import lease as leases
from mulberrypick.core import orders

DURATION_TICKS = 2
GUARD_TICKS = 2
NO_TIMER = -1
NEVER = float('-inf')


class InFlightOrder(NamedTuple):
  """An order in flight to the engine.

  Attributes:
    sequence: Sequence number of the order.
    fence: Fencing number of the order.
    incarnation: Incarnation of the engine that it was planned on.
    base_sequence: Last sequence number that the engine reported at that time.
    remaining_ticks: Ticks within which it arrives; after them it is lost.
  """

  sequence: int
  fence: int
  incarnation: int
  base_sequence: int
  remaining_ticks: int


class Write(NamedTuple):
  """A conditional write of an intent; `result` is empty until processed."""

  expected: int
  intent: orders.Intent
  result: str = ''


class Controller(NamedTuple):
  """One controller.

  Attributes:
    lease: The controller's view of the lease.
    tracker: The controller's view of its orders.
    write: The intent write whose response it waits for, or None.
    delayed_write: An intent write that it gave up on and that may still take
      effect, or None.
    incarnation: Incarnation of the engine that the current order is planned on.
    base_sequence: Last sequence number that the engine reported at that time.
    computed_timer: Ticks for which the timer is about to be armed, `NO_TIMER`
      if none were computed.
    armed_timer: Ticks until the timer ends the process, `NO_TIMER` if it is
      not armed.
    can_crash: Whether the controller may crash.
  """

  lease: leases.Lease
  tracker: orders.OrderTracker = orders.OrderTracker()
  write: Write | None = None
  delayed_write: Write | None = None
  incarnation: int = 0
  base_sequence: int = 0
  computed_timer: int = NO_TIMER
  armed_timer: int = NO_TIMER
  can_crash: bool = False


class Engine(NamedTuple):
  """The engine; `top_fence` and `faults` are only read by the properties.

  Attributes:
    incarnation: Number of restarts. A restart clears `last_sequence` and
      `fence`.
    last_sequence: Sequence number of the last accepted order.
    fence: Highest fencing number accepted since the restart.
    top_fence: Highest fencing number ever accepted.
    faults: Violations seen so far, see `order_model.INVARIANTS`.
  """

  incarnation: int = 0
  last_sequence: int = 0
  fence: int = 0
  top_fence: int = 0
  faults: frozenset[str] = frozenset()


class SharedState(NamedTuple):
  """The platform's objects, the engine, and the orders in flight to it."""

  version: int
  record: leases.LeaseRecord | None
  intent_version: int
  intent: orders.Intent | None
  engine: Engine
  flights: tuple[InFlightOrder, ...]


class SystemState(NamedTuple):
  """State of the shared objects and of both controllers."""

  shared: SharedState
  controllers: tuple[Controller, ...]


class Move(NamedTuple):
  """One step of a controller: its label and the resulting state."""

  label: str
  shared: SharedState
  controller: Controller


def make_initial(can_crash: bool) -> SystemState:
  """Returns the state before any term.

  Args:
    can_crash: Whether the first controller may crash.
  """
  first = Controller(leases.Lease(owner='a'), can_crash=can_crash)
  second = Controller(leases.Lease(owner='b'))
  return SystemState(
      SharedState(0, None, 0, None, Engine(), ()), (first, second)
  )


def normalize(controller: Controller, intent_version: int) -> Controller:
  """Resets fields that no later step reads, so that equivalent states match."""
  lease = controller.lease
  tracker = controller.tracker
  if lease.state == leases.HOLDING:
    lease = lease._replace(nonce='', sent_at=NEVER, seen_at=NEVER)
  else:
    lease = lease._replace(fence=0, nonce='', sent_at=NEVER)
    if not controller.write and tracker.state != 'sent':
      tracker = orders.OrderTracker()
      controller = controller._replace(
          incarnation=0,
          base_sequence=0,
          computed_timer=NO_TIMER,
          armed_timer=NO_TIMER,
      )
  if tracker.state != orders.UNKNOWN:
    tracker = tracker._replace(sent_at=NEVER)
  if tracker.state in (orders.UNREAD, orders.SETTLED, orders.UNKNOWN):
    controller = controller._replace(
        incarnation=0,
        base_sequence=0,
        computed_timer=NO_TIMER,
        armed_timer=NO_TIMER,
    )
  delayed_write = controller.delayed_write
  if delayed_write and delayed_write.expected < intent_version:
    delayed_write = None
  return controller._replace(
      lease=lease, tracker=tracker, delayed_write=delayed_write
  )


def tick(system: SystemState) -> SystemState:
  """Returns the state one tick later."""
  shared = system.shared
  flights = tuple(
      flight._replace(remaining_ticks=flight.remaining_ticks - 1)
      for flight in shared.flights
      if flight.remaining_ticks
  )
  first, second = system.controllers
  pair = (
      _advance_clock(first, shared.intent_version),
      _advance_clock(second, shared.intent_version),
  )
  return SystemState(shared._replace(flights=flights), pair)


@functools.cache
def _advance_clock(controller: Controller, intent_version: int) -> Controller:
  if controller.armed_timer == 1:
    return restart(controller)
  lease = controller.lease
  lease = lease._replace(
      seen_at=_shift_time(lease.seen_at, -DURATION_TICKS - GUARD_TICKS),
      term_end_at=_shift_time(lease.term_end_at, 0),
  )
  tracker = controller.tracker
  tracker = tracker._replace(sent_at=_shift_time(tracker.sent_at, -GUARD_TICKS))
  armed_timer = (
      controller.armed_timer - 1
      if controller.armed_timer > 0
      else controller.armed_timer
  )
  aged = controller._replace(
      lease=lease, tracker=tracker, armed_timer=armed_timer
  )
  return normalize(aged, intent_version)


def _shift_time(at: float, floor: int) -> float:
  return at if at == NEVER else max(at - 1, floor)


def restart(controller: Controller) -> Controller:
  """Returns the controller restarted under a new owner, without memory."""
  delayed_write = controller.delayed_write
  if controller.write and not controller.write.result:
    delayed_write = controller.write
  owner = 'c' if controller.lease.owner == 'a' else 'd'
  return Controller(leases.Lease(owner=owner), delayed_write=delayed_write)


def list_engine_steps(
    system: SystemState, can_restart: bool, checks_fence: bool
) -> list[tuple[str, SystemState]]:
  """Lists the engine's steps: restart, or receive an order in flight."""
  successors = []
  shared = system.shared
  engine = shared.engine
  if can_restart and engine.incarnation == 0:
    fresh = engine._replace(incarnation=1, last_sequence=0, fence=0)
    restarted = shared._replace(engine=fresh)
    successors.append(('engine restarts', system._replace(shared=restarted)))
  for flight in set(shared.flights):
    flights = list(shared.flights)
    flights.remove(flight)
    after = shared._replace(flights=tuple(flights))
    event = 'accepted'
    if checks_fence and flight.fence < engine.fence:
      event = 'stale'
    else:
      after = after._replace(engine=_accept_order(shared, flight))
    label = f'order {flight.sequence} of term {flight.fence} {event}'
    unanswered = SystemState(after, system.controllers)
    successors.append((f'{label}, no answer', unanswered))
    answered = _deliver_response(unanswered, flight, event)
    if answered != unanswered:
      successors.append((label, answered))
  return successors


def _deliver_response(
    system: SystemState, flight: InFlightOrder, event: str
) -> SystemState:
  """Delivers the engine's response to the sender if it still waits."""
  controllers = []
  for controller in system.controllers:
    tracker = controller.tracker
    if tracker.state == 'sent' and tracker.intent.order.fence == flight.fence:
      tracker = orders.on_answer(tracker, event, 0)
      controller = controller._replace(tracker=tracker)
      if event == 'stale':
        lease = leases.on_stale(controller.lease)
        controller = controller._replace(lease=lease)
    controllers.append(normalize(controller, system.shared.intent_version))
  return system._replace(controllers=tuple(controllers))


def _accept_order(shared: SharedState, flight: InFlightOrder) -> Engine:
  """Accepts an order and records which properties it violates."""
  engine = shared.engine
  faults = set(engine.faults)
  if flight.fence < engine.top_fence:
    faults.add('older_term')
  if flight.fence != shared.record.fence:
    faults.add('ended_term')
  if (
      flight.incarnation == engine.incarnation
      and flight.base_sequence != engine.last_sequence
  ):
    faults.add('wrong_base')
  if (
      flight.incarnation == engine.incarnation
      and flight.sequence <= engine.last_sequence
  ):
    faults.add('reused_sequence')
  return engine._replace(
      last_sequence=flight.sequence,
      fence=max(engine.fence, flight.fence),
      top_fence=max(engine.top_fence, flight.fence),
      faults=frozenset(faults),
  )
