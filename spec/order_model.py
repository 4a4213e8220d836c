"""Specification of orders: two controllers, one engine, one lease.

The controllers run the functions of `core/lease.py` and `core/orders.py`, which
follow the charts `lease` and `order`. Faults of lease writes are covered by
`lease_model.py`; here a lease write either succeeds or has no effect. The model
adds:

- writes of intents whose responses are lost or that take effect late,
- orders that are delayed in flight, refused, or accepted without a response,
- the dead-man timer, which ends a controller process,
- a controller that crashes, and an engine that restarts without memory.

A controller may pause between any two steps, since no step is ever forced.

Time is counted in whole ticks relative to now. An order is in flight for at
most `MAX_FLIGHT_TICKS`, which is less than the guard.
"""

import functools
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import lease as leases
from mulberrypick.core import orders
from mulberrypick.core import records
from spec import check
from spec import order_state

MAX_FLIGHT_TICKS = 1
SLOW_FLIGHT_TICKS = 5
_MAX_FENCE = 2
_MAX_INTENTS = 2
_RENEW = 'renew'

_ORDER = records.Order('e', 0, 0, records.ACTION_DRAIN, '', '', '', '')
_STATE = records.EngineState('e', 0, '', (), 0, 0, False, False, 0)


Successors = list[tuple[str, order_state.SystemState]]


class Variant(NamedTuple):
  """Options of the engine and of the protocol.

  Attributes:
    checks_fence: Whether the engine refuses outdated fencing numbers.
    can_restart: Whether the engine may restart.
    has_timer: Whether the dead-man timer is armed; if not, it never expires.
    reads_timer_back: Whether a controller checks, after arming the timer, that
      it expires no later than the term.
    max_flight_ticks: Longest time that an order is in flight.
    guard_ticks: Time that a successor waits beyond the lease duration.
    settle_guard_ticks: Time to wait for an order whose response was lost.
    reads_engine: Whether a controller reads the state of the engine before it
      plans an order.
  """

  checks_fence: bool
  can_restart: bool = True
  has_timer: bool = True
  reads_timer_back: bool = True
  max_flight_ticks: int = MAX_FLIGHT_TICKS
  guard_ticks: int = order_state.GUARD_TICKS
  settle_guard_ticks: int = order_state.GUARD_TICKS
  reads_engine: bool = True


def make_next(
    variant: Variant,
) -> Callable[[order_state.SystemState], Successors]:
  """Returns the successor function of a variant.

  The moves of one controller depend only on itself and the shared state, so
  they are cached for all states that differ only in the other controller.
  """

  @functools.cache
  def list_moves(
      shared: order_state.SharedState, controller: order_state.Controller
  ) -> list[order_state.Move]:
    found = _list_lease_moves(shared, controller, variant)
    found += _list_intent_moves(shared, controller, variant)
    found += _list_send_moves(shared, controller, variant)
    return [
        move._replace(
            controller=order_state.normalize(
                move.controller, move.shared.intent_version
            )
        )
        for move in found
    ]

  def step(system: order_state.SystemState) -> Successors:
    successors = [('tick', order_state.tick(system))]
    first, second = system.controllers
    for label, shared, moved in list_moves(system.shared, first):
      other = _observe_step(second, shared, label)
      successors.append(
          (f'a: {label}', order_state.SystemState(shared, (moved, other)))
      )
    for label, shared, moved in list_moves(system.shared, second):
      other = _observe_step(first, shared, label)
      successors.append(
          (f'b: {label}', order_state.SystemState(shared, (other, moved)))
      )
    successors += order_state.list_engine_steps(
        system, variant.can_restart, variant.checks_fence
    )
    return successors

  return step


@functools.cache
def _observe_step(
    controller: order_state.Controller,
    shared: order_state.SharedState,
    label: str,
) -> order_state.Controller:
  """Returns the controller after a step of the other controller."""
  lease = controller.lease
  is_watching = lease.state == leases.WATCHING
  if label == _RENEW and is_watching and lease.version != leases.UNREAD:
    controller = controller._replace(lease=lease._replace(seen_at=0))
  return order_state.normalize(controller, shared.intent_version)


def _list_lease_moves(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  lease = controller.lease
  found = []
  if lease.state == leases.WATCHING:
    read = leases.on_read(lease, shared.version, shared.record, 0)
    if read != lease:
      found.append(
          order_state.Move('read', shared, controller._replace(lease=read))
      )
  fence = shared.record.fence if shared.record else 0
  if leases.can_take(lease, 0, variant.guard_ticks) and fence < _MAX_FENCE:
    begun, record = leases.begin_take(lease, 0, 'n', order_state.DURATION_TICKS)
    found += _write_lease('take', shared, controller, begun, record)
  if leases.is_authorized(lease, 0):
    # A real renewal writes a new version of the lease object. A controller that
    # waits for the lease to expire sees the new version and starts its wait
    # again, because the renewal extends the term. In this model a renewal keeps
    # the version, so that the state space is finite; `_observe_step` restarts
    # the wait of the other controller instead.
    begun, record = leases.begin_renewal(
        lease, 0, 'n', order_state.DURATION_TICKS
    )
    held = leases.on_written(begun, lease.version, record)
    if lease.version == shared.version and held != lease:
      found.append(
          order_state.Move(_RENEW, shared, controller._replace(lease=held))
      )
  expired = leases.on_tick(lease, 0)
  if expired != lease and not controller.write:
    found.append(
        order_state.Move('expired', shared, controller._replace(lease=expired))
    )
  if controller.can_crash:
    found.append(
        order_state.Move('crash', shared, order_state.restart(controller))
    )
  return found


def _write_lease(
    label: str,
    shared: order_state.SharedState,
    controller: order_state.Controller,
    begun: leases.Lease,
    record: leases.LeaseRecord,
) -> list[order_state.Move]:
  if begun.version != shared.version:
    refused = controller._replace(lease=leases.on_conflict(begun))
    return [order_state.Move(f'{label}, conflict', shared, refused)]
  held = leases.on_written(begun, shared.version + 1, record)
  after = shared._replace(version=shared.version + 1, record=record)
  taken = controller._replace(lease=held, tracker=orders.OrderTracker())
  return [order_state.Move(label, after, taken)]


def _list_intent_moves(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  found = []
  tracker = controller.tracker
  is_held = leases.is_authorized(controller.lease, 0)
  if is_held and tracker.state in (orders.UNREAD, orders.SETTLING):
    read = orders.on_read(tracker, shared.intent_version, shared.intent)
    found.append(
        order_state.Move(
            'read intent', shared, controller._replace(tracker=read)
        )
    )
  if is_held and tracker.state in (orders.SETTLED, orders.UNKNOWN):
    found += _list_plan_moves(shared, controller, variant)
  found += _list_intent_responses(shared, controller, variant)
  delayed_write = controller.delayed_write
  if delayed_write and delayed_write.expected == shared.intent_version:
    after = _store_intent(shared, delayed_write.intent)
    found.append(
        order_state.Move(
            'late intent', after, controller._replace(delayed_write=None)
        )
    )
  return found


def _store_intent(
    shared: order_state.SharedState, intent: orders.Intent
) -> order_state.SharedState:
  return shared._replace(
      intent_version=shared.intent_version + 1, intent=intent
  )


def _list_plan_moves(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  """Reads the engine, settles the last order and writes the next intent."""
  engine = shared.engine
  state = _STATE._replace(last_sequence=engine.last_sequence)
  tracker = controller.tracker
  base_sequence = engine.last_sequence
  if variant.reads_engine:
    settled = orders.settle(tracker, state, 0, variant.settle_guard_ticks)
  else:
    # The faulty controller assumes that the engine accepted the last order.
    base_sequence = tracker.intent.order.sequence if tracker.intent else 0
    settled = tracker._replace(state=orders.SETTLED)
  if settled.state != orders.SETTLED:
    return []
  found = []
  if settled != tracker:
    found.append(
        order_state.Move('settle', shared, controller._replace(tracker=settled))
    )
  if shared.intent_version >= _MAX_INTENTS:
    return found
  fence = controller.lease.fence
  nonce = f'{controller.lease.owner}{settled.version}'
  begun = orders.begin_write(
      settled, _ORDER._replace(fence=fence), nonce, base_sequence
  )
  write = order_state.Write(settled.version, begun.intent)
  planned = controller._replace(
      tracker=begun,
      write=write,
      incarnation=engine.incarnation,
      base_sequence=base_sequence,
  )
  found.append(order_state.Move('write intent', shared, planned))
  return found


def _list_intent_responses(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  write = controller.write
  if not write:
    return []
  tracker = controller.tracker
  without_write = controller._replace(write=None)
  lost = orders.on_write_failed(tracker, 'lost')
  if not write.result:
    found = []
    result, after = 'conflict', shared
    if write.expected == shared.intent_version:
      result, after = 'written', _store_intent(shared, write.intent)
    done = controller._replace(write=write._replace(result=result))
    found.append(order_state.Move(f'intent {result}', after, done))
    given_up = without_write._replace(tracker=lost, delayed_write=write)
    found.append(order_state.Move('gave up intent', shared, given_up))
    return found
  if write.result == 'written':
    resolved = orders.on_written(tracker, write.expected + 1)
  else:
    resolved = orders.on_write_failed(tracker, 'conflict')
  return [
      order_state.Move(
          'intent answer lost', shared, without_write._replace(tracker=lost)
      ),
      order_state.Move(
          f'told intent {write.result}',
          shared,
          without_write._replace(tracker=resolved),
      ),
  ]


def _list_send_moves(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  tracker = controller.tracker
  found = []
  if (
      tracker.state == orders.READY
      and controller.computed_timer == order_state.NO_TIMER
  ):
    dropped = controller._replace(tracker=orders.drop(tracker))
    found.append(order_state.Move('drop', shared, dropped))
    if leases.is_authorized(controller.lease, 0):
      remaining_ticks = int(controller.lease.term_end_at)
      computed = controller._replace(computed_timer=remaining_ticks)
      found.append(order_state.Move('read the clock', shared, computed))
  if (
      tracker.state == orders.READY
      and controller.computed_timer != order_state.NO_TIMER
  ):
    found += _arm_and_send(shared, controller, variant)
  if tracker.state == 'sent':
    # The sender may give up at any time, even while the order is in flight.
    lost = orders.on_answer(tracker, 'lost', 0)
    found.append(
        order_state.Move('no answer', shared, controller._replace(tracker=lost))
    )
  return found


def _arm_and_send(
    shared: order_state.SharedState,
    controller: order_state.Controller,
    variant: Variant,
) -> list[order_state.Move]:
  tracker = controller.tracker
  if controller.armed_timer == order_state.NO_TIMER:
    is_late = controller.computed_timer > controller.lease.term_end_at
    if is_late and variant.reads_timer_back:
      return [
          order_state.Move(
              'set too late',
              shared,
              controller._replace(computed_timer=order_state.NO_TIMER),
          )
      ]
    armed_timer = controller.computed_timer if variant.has_timer else 0
    return [
        order_state.Move(
            'arm', shared, controller._replace(armed_timer=armed_timer)
        )
    ]
  order = tracker.intent.order
  flight = order_state.InFlightOrder(
      order.sequence,
      order.fence,
      controller.incarnation,
      controller.base_sequence,
      variant.max_flight_ticks,
  )
  after = shared._replace(flights=tuple(sorted((*shared.flights, flight))))
  sent = controller._replace(
      tracker=orders.begin_send(tracker, 0), armed_timer=order_state.NO_TIMER
  )
  return [order_state.Move('send', after, sent)]


TERM_ORDER = 'no order of an older term after one of a newer'
CURRENT_TERM = 'no order of a term that is over has an effect'
CURRENT_BASE = 'every order is planned on the last one taken'
UNIQUE_SEQUENCE = 'no sequence is used twice'
INVARIANTS = {
    TERM_ORDER: lambda w: 'older_term' not in w.shared.engine.faults,
    CURRENT_TERM: lambda w: 'ended_term' not in w.shared.engine.faults,
    CURRENT_BASE: lambda w: 'wrong_base' not in w.shared.engine.faults,
    UNIQUE_SEQUENCE: lambda w: 'reused_sequence' not in w.shared.engine.faults,
}
WITNESSES = {
    'an order of the second term is taken': lambda w: w.shared.engine.top_fence
    == 2,
    'an intent is settled by reading back': lambda w: any(
        c.tracker.state == orders.SETTLING for c in w.controllers
    ),
    'an order is unknown': lambda w: any(
        c.tracker.state == orders.UNKNOWN for c in w.controllers
    ),
}
RESTART_WITNESSES = {
    'the second order is taken by a restarted engine': lambda w: (
        w.shared.engine.incarnation == 1 and w.shared.engine.last_sequence == 2
    ),
}


def specifications() -> list[check.Specification]:
  """Returns the specifications of orders and their broken variants."""
  without_fences = Variant(checks_fence=False)
  with_fences = Variant(checks_fence=True)
  restarting = check.Specification(
      'orders, the engine restarts',
      (order_state.make_initial(can_crash=False),),
      make_next(without_fences),
      INVARIANTS,
      witness_by_name=WITNESSES | RESTART_WITNESSES,
  )
  crashing = check.Specification(
      'orders, a controller crashes',
      (order_state.make_initial(can_crash=True),),
      make_next(without_fences._replace(can_restart=False)),
      INVARIANTS,
      witness_by_name=WITNESSES,
  )
  # If an order can be in flight longer than the guard, only the fence check of
  # the engine protects, and only against an order that arrives after one of a
  # newer term.
  slow = with_fences._replace(
      max_flight_ticks=SLOW_FLIGHT_TICKS, can_restart=False
  )
  slow_network = check.Specification(
      'orders, a slow network and fences checked',
      (order_state.make_initial(can_crash=False),),
      make_next(slow),
      {TERM_ORDER: INVARIANTS[TERM_ORDER]},
      witness_by_name=WITNESSES,
  )
  variants = {
      'no-timer': (without_fences._replace(has_timer=False), TERM_ORDER),
      'no-timer-with-fences': (
          with_fences._replace(has_timer=False),
          TERM_ORDER,
      ),
      'timer-not-read-back': (
          without_fences._replace(reads_timer_back=False),
          TERM_ORDER,
      ),
      'slow-network-no-fences': (slow._replace(checks_fence=False), TERM_ORDER),
      'no-guard': (without_fences._replace(guard_ticks=0), CURRENT_TERM),
      'lost-order-not-waited-for': (
          without_fences._replace(settle_guard_ticks=0),
          CURRENT_BASE,
      ),
      'engine-not-read': (
          without_fences._replace(reads_engine=False),
          CURRENT_BASE,
      ),
      'lost-order-then-reused': (
          without_fences._replace(settle_guard_ticks=0),
          UNIQUE_SEQUENCE,
      ),
  }
  found = [restarting, crashing, slow_network]
  for name, (variant, expected_violation) in variants.items():
    found.append(
        restarting._replace(
            name=f'orders/{name}',
            next=make_next(variant),
            expected_violation=expected_violation,
        )
    )
  return found
