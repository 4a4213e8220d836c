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
from spec import order_world

FLIGHT = 1
SLOW_FLIGHT = 5
_MAX_FENCE = 2
_MAX_INTENTS = 2
_RENEW = 'renew'

_ORDER = records.Order('e', 0, 0, records.ACTION_DRAIN, '', '', '', '')
_STATE = records.EngineState('e', 0, '', (), 0, 0, False, False, 0)


Successors = list[tuple[str, order_world.World]]


class Rules(NamedTuple):
  """The engine's kind, and what a broken variant changes.

  Attributes:
    checks_fence: Whether the engine refuses old fencing numbers.
    can_restart: Whether the engine may restart.
    has_timer: Whether the dead-man timer is armed.
    reads_timer_back: Whether the timer is checked after it was armed.
    flight: Longest time that an order is in flight.
    guard: What a successor waits beyond the duration.
    settle_guard: What a lost order is waited for.
    reads_engine: Whether a successor reads the engine before it plans.
  """

  checks_fence: bool
  can_restart: bool = True
  has_timer: bool = True
  reads_timer_back: bool = True
  flight: int = FLIGHT
  guard: int = order_world.GUARD
  settle_guard: int = order_world.GUARD
  reads_engine: bool = True


def make_next(rules: Rules) -> Callable[[order_world.World], Successors]:
  """Makes the transition function for a set of rules.

  What one controller can do depends on itself and the shared part only, and is
  worked out once for all the worlds that differ in the other controller.
  """

  @functools.cache
  def list_moves(
      shared: order_world.Shared, controller: order_world.Controller
  ) -> list[order_world.Move]:
    found = _lease_moves(shared, controller, rules)
    found += _intent_moves(shared, controller, rules)
    found += _send_moves(shared, controller, rules)
    return [
        move._replace(
            controller=order_world.tidy(
                move.controller, move.shared.intent_version
            )
        )
        for move in found
    ]

  def step(world: order_world.World) -> Successors:
    successors = [('tick', order_world.tick(world))]
    first, second = world.controllers
    for label, shared, moved in list_moves(world.shared, first):
      other = _follow(second, shared, label)
      successors.append(
          (f'a: {label}', order_world.World(shared, (moved, other)))
      )
    for label, shared, moved in list_moves(world.shared, second):
      other = _follow(first, shared, label)
      successors.append(
          (f'b: {label}', order_world.World(shared, (other, moved)))
      )
    successors += order_world.list_engine_steps(
        world, rules.can_restart, rules.checks_fence
    )
    return successors

  return step


@functools.cache
def _follow(
    controller: order_world.Controller, shared: order_world.Shared, label: str
) -> order_world.Controller:
  """What a step of the other controller changes in this one."""
  lease = controller.lease
  is_watching = lease.state == leases.WATCHING
  if label == _RENEW and is_watching and lease.version != leases.UNREAD:
    controller = controller._replace(lease=lease._replace(seen_at=0))
  return order_world.tidy(controller, shared.intent_version)


def _lease_moves(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  lease = controller.lease
  found = []
  if lease.state == leases.WATCHING:
    read = leases.on_read(lease, shared.version, shared.record, 0)
    if read != lease:
      found.append(
          order_world.Move('read', shared, controller._replace(lease=read))
      )
  fence = shared.record.fence if shared.record else 0
  if leases.can_take(lease, 0, rules.guard) and fence < _MAX_FENCE:
    begun, record = leases.begin_take(lease, 0, 'n', order_world.DURATION)
    found += _write_lease('take', shared, controller, begun, record)
  if leases.is_authorized(lease, 0):
    # A renewal leaves the version as it is here, so that the space is finite.
    begun, record = leases.begin_renewal(lease, 0, 'n', order_world.DURATION)
    held = leases.on_written(begun, lease.version, record)
    if lease.version == shared.version and held != lease:
      # The other one sees a change, and waits anew: see `_follow`.
      found.append(
          order_world.Move(_RENEW, shared, controller._replace(lease=held))
      )
  expired = leases.on_tick(lease, 0)
  if expired != lease and not controller.write:
    found.append(
        order_world.Move('expired', shared, controller._replace(lease=expired))
    )
  if controller.can_crash:
    found.append(
        order_world.Move('crash', shared, order_world.restart(controller))
    )
  return found


def _write_lease(
    label: str,
    shared: order_world.Shared,
    controller: order_world.Controller,
    begun: leases.Lease,
    record: leases.LeaseRecord,
) -> list[order_world.Move]:
  if begun.version != shared.version:
    refused = controller._replace(lease=leases.on_conflict(begun))
    return [order_world.Move(f'{label}, conflict', shared, refused)]
  held = leases.on_written(begun, shared.version + 1, record)
  after = shared._replace(version=shared.version + 1, record=record)
  taken = controller._replace(lease=held, track=orders.OrderTracker())
  return [order_world.Move(label, after, taken)]


def _intent_moves(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  found = []
  track = controller.track
  is_held = leases.is_authorized(controller.lease, 0)
  if is_held and track.state in (orders.UNREAD, orders.SETTLING):
    read = orders.on_read(track, shared.intent_version, shared.intent)
    found.append(
        order_world.Move('read intent', shared, controller._replace(track=read))
    )
  if is_held and track.state in (orders.SETTLED, orders.UNKNOWN):
    found += _plan(shared, controller, rules)
  found += _answer_intent(shared, controller, rules)
  late = controller.late
  if late and late.expected == shared.intent_version:
    after = _put_intent(shared, late.intent)
    found.append(
        order_world.Move('late intent', after, controller._replace(late=None))
    )
  return found


def _put_intent(
    shared: order_world.Shared, intent: orders.Intent
) -> order_world.Shared:
  return shared._replace(
      intent_version=shared.intent_version + 1, intent=intent
  )


def _plan(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  """Reads the engine, settles, and begins to write the next intent."""
  engine = shared.engine
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
    found.append(
        order_world.Move('settle', shared, controller._replace(track=settled))
    )
  if shared.intent_version >= _MAX_INTENTS:
    return found
  fence = controller.lease.fence
  nonce = f'{controller.lease.owner}{settled.version}'
  begun = orders.begin_write(settled, _ORDER._replace(fence=fence), nonce, base)
  write = order_world.Write(settled.version, begun.intent)
  planned = controller._replace(
      track=begun, write=write, life=engine.life, base=base
  )
  found.append(order_world.Move('write intent', shared, planned))
  return found


def _answer_intent(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  write = controller.write
  if not write:
    return []
  track = controller.track
  free = controller._replace(write=None)
  lost = orders.on_write_failed(track, 'lost')
  if not write.result:
    found = []
    result, after = 'conflict', shared
    if write.expected == shared.intent_version:
      result, after = 'written', _put_intent(shared, write.intent)
    done = controller._replace(write=write._replace(result=result))
    found.append(order_world.Move(f'intent {result}', after, done))
    given_up = free._replace(track=lost, late=write)
    found.append(order_world.Move('gave up intent', shared, given_up))
    return found
  if write.result == 'written':
    known = orders.on_written(track, write.expected + 1)
  else:
    known = orders.on_write_failed(track, 'conflict')
  return [
      order_world.Move('intent answer lost', shared, free._replace(track=lost)),
      order_world.Move(
          f'told intent {write.result}', shared, free._replace(track=known)
      ),
  ]


def _send_moves(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  track = controller.track
  found = []
  if track.state == orders.READY and controller.computed == order_world.OFF:
    dropped = controller._replace(track=orders.drop(track))
    found.append(order_world.Move('drop', shared, dropped))
    if leases.is_authorized(controller.lease, 0):
      left = int(controller.lease.term_end_at)
      computed = controller._replace(computed=left)
      found.append(order_world.Move('read the clock', shared, computed))
  if track.state == orders.READY and controller.computed != order_world.OFF:
    found += _arm_and_send(shared, controller, rules)
  if track.state == 'sent':
    # The sender may give up at any time; the order may still be in flight.
    lost = orders.on_answer(track, 'lost', 0)
    found.append(
        order_world.Move('no answer', shared, controller._replace(track=lost))
    )
  return found


def _arm_and_send(
    shared: order_world.Shared, controller: order_world.Controller, rules: Rules
) -> list[order_world.Move]:
  track = controller.track
  if controller.armed == order_world.OFF:
    is_late = controller.computed > controller.lease.term_end_at
    if is_late and rules.reads_timer_back:
      return [
          order_world.Move(
              'set too late',
              shared,
              controller._replace(computed=order_world.OFF),
          )
      ]
    armed = controller.computed if rules.has_timer else 0
    return [order_world.Move('arm', shared, controller._replace(armed=armed))]
  order = track.intent.order
  flight = order_world.Flight(
      order.sequence,
      order.fence,
      controller.life,
      controller.base,
      rules.flight,
  )
  after = shared._replace(flights=tuple(sorted((*shared.flights, flight))))
  sent = controller._replace(
      track=orders.begin_send(track, 0), armed=order_world.OFF
  )
  return [order_world.Move('send', after, sent)]


OLD = 'no order of an older term after one of a newer'
POWERLESS = 'no order of a term that is over has an effect'
BLIND = 'every order is planned on the last one taken'
REUSED = 'no sequence is used twice'
INVARIANTS = {
    OLD: lambda w: 'old' not in w.shared.engine.faults,
    POWERLESS: lambda w: 'powerless' not in w.shared.engine.faults,
    BLIND: lambda w: 'blind' not in w.shared.engine.faults,
    REUSED: lambda w: 'reused' not in w.shared.engine.faults,
}
WITNESSES = {
    'an order of the second term is taken': lambda w: w.shared.engine.top_fence
    == 2,
    'an intent is settled by reading back': lambda w: any(
        c.track.state == orders.SETTLING for c in w.controllers
    ),
    'an order is unknown': lambda w: any(
        c.track.state == orders.UNKNOWN for c in w.controllers
    ),
}
RESTART_WITNESSES = {
    'the second order is taken by a restarted engine': lambda w: (
        w.shared.engine.life == 1 and w.shared.engine.last == 2
    ),
}


def specifications() -> list[check.Specification]:
  """Returns the orders to both kinds of engine, and broken variants."""
  ignores = Rules(checks_fence=False)
  checks = Rules(checks_fence=True)
  restarting = check.Specification(
      'orders, the engine restarts',
      (order_world.start(can_crash=False),),
      make_next(ignores),
      INVARIANTS,
      witness_by_name=WITNESSES | RESTART_WITNESSES,
  )
  crashing = check.Specification(
      'orders, a controller crashes',
      (order_world.start(can_crash=True),),
      make_next(ignores._replace(can_restart=False)),
      INVARIANTS,
      witness_by_name=WITNESSES,
  )
  # Beyond the guard only the engine's own check helps, and only against an
  # order that comes after one of a newer term.
  slow = checks._replace(flight=SLOW_FLIGHT, can_restart=False)
  slow_network = check.Specification(
      'orders, a slow network and fences checked',
      (order_world.start(can_crash=False),),
      make_next(slow),
      {OLD: INVARIANTS[OLD]},
      witness_by_name=WITNESSES,
  )
  variants = {
      'no-timer': (ignores._replace(has_timer=False), OLD),
      'no-timer-with-fences': (checks._replace(has_timer=False), OLD),
      'timer-not-read-back': (ignores._replace(reads_timer_back=False), OLD),
      'slow-network-no-fences': (slow._replace(checks_fence=False), OLD),
      'no-guard': (ignores._replace(guard=0), POWERLESS),
      'lost-order-not-waited-for': (ignores._replace(settle_guard=0), BLIND),
      'engine-not-read': (ignores._replace(reads_engine=False), BLIND),
      'lost-order-then-reused': (ignores._replace(settle_guard=0), REUSED),
  }
  found = [restarting, crashing, slow_network]
  for name, (rules, breaks) in variants.items():
    found.append(
        restarting._replace(
            name=f'orders/{name}', next=make_next(rules), breaks=breaks
        )
    )
  return found
