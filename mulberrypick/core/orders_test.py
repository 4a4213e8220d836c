"""Tests of orders, and a fuzz test of leases and orders together.

The fuzz test runs random steps of three controllers, whose clocks differ, and
of an engine that does not check fencing numbers. It checks that each order that
the engine takes has the fencing number currently stored in the lease object and
a higher sequence number than all orders taken before, and that at most one
controller holds the lease at a time.
"""

import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mulberrypick.adapters import memory_platform
from mulberrypick.core import errors
from mulberrypick.core import lease as leases
from mulberrypick.core import orders
from mulberrypick.core import records

GUARD_S = 2.0
MAX_FLIGHT_S = 1.5
DURATION_S = 6.0
KEY = leases.lease_key('z1')
ORDER_KEY = orders.order_key('e1')
FUZZ_EXAMPLES = int(os.environ.get('MULBERRYPICK_FUZZ_EXAMPLES', '150'))

ORDER = records.Order('e1', 0, 3, records.ACTION_DRAIN, '', '', '', '')
CONTROLLER_INDEXES = strategies.integers(min_value=0, max_value=2)
# Outcome of a write to the platform: `answered` (applied), `lost` (applied, but
# the answer is lost), `late` (the answer is lost and the write may be applied
# later) or `unavailable` (not applied).
OUTCOMES = strategies.sampled_from(
    ('answered',) * 6 + ('lost', 'late', 'unavailable')
)


def engine_with_sequence(sequence: int) -> records.EngineState:
  """Returns the state of an engine whose last order had this number."""
  return records.EngineState('e1', 1, 'mixed', (), 0, sequence, False, False, 0)


def sent_tracker(at: float = 0.0) -> orders.OrderTracker:
  """Returns a tracker whose first order was sent at the given time."""
  tracker = orders.on_read(orders.OrderTracker(), 0, None)
  tracker = orders.begin_write(tracker, ORDER, 'n1', 0)
  return orders.begin_send(orders.on_written(tracker, 1), at)


class TestOrders(unittest.TestCase):

  def test_a_lost_order_is_taken_if_the_engine_shows_its_sequence(self):
    tracker = orders.on_answer(sent_tracker(), 'lost', 5.0)
    tracker = orders.settle(tracker, engine_with_sequence(1), 5.1, GUARD_S)
    self.assertEqual(orders.SETTLED, tracker.state)

  def test_a_lost_order_stays_unknown_for_the_guard_time(self):
    tracker = orders.on_answer(sent_tracker(), 'lost', 5.0)
    waiting = orders.settle(tracker, engine_with_sequence(0), 6.9, GUARD_S)
    self.assertEqual(orders.UNKNOWN, waiting.state)
    settled = orders.settle(tracker, engine_with_sequence(0), 7.0, GUARD_S)
    self.assertEqual(orders.SETTLED, settled.state)

  def test_an_intent_of_a_former_holder_is_unknown(self):
    intent = orders.Intent(ORDER._replace(sequence=4), 'n')
    tracker = orders.on_read(orders.OrderTracker(), 9, intent)
    self.assertEqual(orders.UNKNOWN, tracker.state)
    tracker = orders.settle(tracker, engine_with_sequence(3), 0.0, GUARD_S)
    tracker = orders.begin_write(tracker, ORDER, 'n2', 3)
    self.assertEqual(5, tracker.intent.order.sequence)

  def test_sequences_continue_from_that_of_the_engine(self):
    tracker = orders.on_read(orders.OrderTracker(), 0, None)
    tracker = orders.begin_write(tracker, ORDER, 'n', 41)
    self.assertEqual(42, tracker.intent.order.sequence)

  def test_a_lost_write_is_settled_by_its_nonce(self):
    tracker = orders.on_read(orders.OrderTracker(), 0, None)
    tracker = orders.begin_write(tracker, ORDER, 'n1', 0)
    lost = orders.on_write_failed(tracker, 'lost')
    ready = orders.on_read(lost, 1, tracker.intent)
    self.assertEqual((orders.READY, 1), (ready.state, ready.version))
    other = orders.Intent(ORDER, 'x')
    self.assertEqual(orders.UNREAD, orders.on_read(lost, 1, other).state)

  def test_an_intent_round_trips(self):
    intent = orders.Intent(ORDER, 'n')
    self.assertEqual(intent, orders.decode_intent(orders.encode_intent(intent)))
    with self.assertRaises(errors.PlatformError):
      orders.decode_intent(b'{"nonce": "n"}')


class Controller:
  """A simulated controller with its own clock.

  Attributes:
    name: Name of the current process; each restart changes it.
    offset: Difference between its clock and the machine's clock, in seconds.
    lease: Its knowledge of the lease.
    tracker: Its knowledge of the orders to the engine.
    timer_at: Time on its clock at which the watchdog kills the process unless
      the order has been sent; None if the watchdog's timer is not armed.
    fence: Fencing number of the term to which `tracker` belongs.
  """

  def __init__(self, name: str, clock_offset: float):
    self.name = name
    self.offset = clock_offset
    self.restart()

  def restart(self) -> None:
    self.lease = leases.Lease(owner=self.name)
    self.name += "'"
    self.tracker = orders.OrderTracker()
    self.timer_at = None
    self.fence = 0

  def begin_term(self) -> None:
    self.fence = self.lease.fence
    self.tracker = orders.OrderTracker()

  def is_disarmed(self) -> bool:
    return self.timer_at is None


class AuthorityMachine(stateful.RuleBasedStateMachine):
  """Runs random steps of three controllers, a platform and an engine.

  Attributes:
    platform: Stores the lease and the intent.
    now: Simulated time, in seconds.
    nonce_count: Number of nonces generated.
    late_writes: Arguments of writes that the platform may yet apply.
    in_flight: Orders without an answer, each preceded by the last time at which
      it can arrive.
    taken: Sequence and fencing number of each order that the engine took.
    controllers: The controllers.
  """

  def __init__(self):
    super().__init__()
    self.platform = memory_platform.MemoryPlatform()
    self.now = 0.0
    self.nonce_count = 0
    self.late_writes = []
    self.in_flight = []
    self.taken = []
    self.controllers = [
        Controller(name, offset)
        for name, offset in (('a', 0.0), ('b', 1e6), ('c', 37.5))
    ]

  def put(self, key, value, version, outcome):
    """Writes an object of the platform, with a result set by `outcome`."""
    if outcome == 'unavailable':
      raise errors.PlatformUnavailableError('unavailable')
    if outcome == 'late':
      self.late_writes.append((key, value, version))
      raise errors.PlatformAnswerLostError('late')
    version = self.platform.put(key, value, version)
    if outcome == 'lost':
      raise errors.PlatformAnswerLostError('lost')
    return version

  def make_nonce(self):
    self.nonce_count += 1
    return str(self.nonce_count)

  @stateful.rule(
      seconds=strategies.sampled_from((0.0, 1.0, 1.0, 5.0, 8.0)),
      first=CONTROLLER_INDEXES,
      outcome=OUTCOMES,
      paused=strategies.integers(min_value=0, max_value=4),
  )
  def time_passes(self, seconds, first, outcome, paused):
    """Advances time, then runs a lease round of the controllers that run.

    First, orders that can no longer arrive are discarded, and each controller
    whose watchdog timer has expired is killed and restarted.

    Args:
      seconds: Time to advance.
      first: Index of the controller that runs first.
      outcome: Outcome of the write, if any, of the first controller that runs;
        the writes of the others are answered.
      paused: Index of a controller that does not run, if there is one with this
        index.
    """
    self.now += seconds
    self.in_flight = [f for f in self.in_flight if f[0] >= self.now]
    for controller in self.controllers:
      at = self.now + controller.offset
      if controller.timer_at is not None and at >= controller.timer_at:
        controller.restart()
    for step in range(len(self.controllers)):
      index = (first + step) % len(self.controllers)
      if index != paused:
        self.lease_round(self.controllers[index], outcome)
        outcome = 'answered'

  def lease_round(self, controller, outcome):
    """Lets a controller renew the lease, or take it if it can."""
    now = self.now + controller.offset
    lease = controller.lease = leases.on_tick(controller.lease, now)
    if lease.state == leases.HOLDING:
      lease_and_record = leases.begin_renewal(
          lease, now, self.make_nonce(), DURATION_S
      )
    else:
      lease = controller.lease = self.read_lease(lease, now)
      if not leases.can_take(lease, now, GUARD_S):
        return
      lease_and_record = leases.begin_take(
          lease, now, self.make_nonce(), DURATION_S
      )
    controller.lease = self.write_lease(*lease_and_record, outcome)

  def read_lease(self, lease, now):
    value = self.platform.get(KEY)
    if value is None:
      return leases.on_read(lease, 0, None, now)
    record = leases.decode_record(value.value)
    return leases.on_read(lease, value.version, record, now)

  def write_lease(self, lease, record, outcome):
    value = leases.encode_record(record)
    try:
      version = self.put(KEY, value, lease.version, outcome)
    except errors.ConflictError:
      return leases.on_conflict(lease)
    except errors.PlatformUnavailableError:
      return leases.on_unavailable(lease)
    except errors.PlatformAnswerLostError:
      return leases.on_lost(lease)
    return leases.on_written(lease, version, record)

  @stateful.precondition(lambda self: self.late_writes)
  @stateful.rule(pick=strategies.integers(min_value=0, max_value=9))
  def late_write(self, pick):
    """Lets a late write arrive at the platform."""
    write = self.late_writes.pop(pick % len(self.late_writes))
    try:
      self.platform.put(*write)
    except errors.ConflictError:
      pass

  @stateful.rule(
      outcome=OUTCOMES,
      then=strategies.sampled_from(('pause', 'answered', 'lost', 'lost')),
  )
  def order_rounds(self, outcome, then):
    """Runs an order round of all controllers.

    To give an order, a controller writes its intent, arms the watchdog timer
    and then sends the order.

    Args:
      outcome: Outcome of each write of an intent in this round.
      then: What happens to the orders of controllers whose timers are armed:
        `answered` (sent, taken and answered), `lost` (sent, but not answered;
        the engine may take them later) or `pause` (not sent until `send` or a
        later order round sends them).
    """
    for controller in self.controllers:
      self.order_round(controller, outcome)
    if then != 'pause':
      for controller in self.list_armed():
        self.send_order(controller, then == 'answered')

  def order_round(self, controller, outcome):
    """Advances a controller by a few steps, or until it arms its timer.

    A controller without a valid lease forgets its orders instead, unless its
    timer is armed.
    """
    now = self.now + controller.offset
    for _ in range(4):
      if not leases.is_authorized(controller.lease, now):
        if controller.is_disarmed():
          controller.tracker = orders.OrderTracker()
        return
      if controller.fence != controller.lease.fence:
        controller.begin_term()
      tracker = controller.tracker
      if tracker.state in (orders.UNREAD, orders.SETTLING):
        controller.tracker = self.read_intent(tracker)
      elif tracker.state == orders.READY:
        controller.timer_at = controller.lease.term_end_at
      else:
        self.settle_and_write(controller, now, outcome)

  def read_intent(self, tracker):
    value = self.platform.get(ORDER_KEY)
    if value is None:
      return orders.on_read(tracker, 0, None)
    intent = orders.decode_intent(value.value)
    return orders.on_read(tracker, value.version, intent)

  def settle_and_write(self, controller, now, outcome):
    """Settles the last order and, if it is settled, writes a new intent."""
    last = self.taken[-1][0] if self.taken else 0
    tracker = orders.settle(
        controller.tracker, engine_with_sequence(last), now, GUARD_S
    )
    controller.tracker = tracker
    if tracker.state != orders.SETTLED:
      return
    order = ORDER._replace(fence=controller.lease.fence)
    tracker = orders.begin_write(tracker, order, self.make_nonce(), last)
    value = orders.encode_intent(tracker.intent)
    try:
      version = self.put(ORDER_KEY, value, tracker.version, outcome)
      controller.tracker = orders.on_written(tracker, version)
    except errors.ConflictError:
      controller.tracker = orders.on_write_failed(tracker, 'conflict')
    except errors.PlatformUnavailableError:
      controller.tracker = orders.on_write_failed(tracker, 'unavailable')
    except errors.PlatformAnswerLostError:
      controller.tracker = orders.on_write_failed(tracker, 'lost')

  @stateful.precondition(lambda self: self.list_armed())
  @stateful.rule(index=CONTROLLER_INDEXES, is_answered=strategies.booleans())
  def send(self, index, is_answered):
    """Lets a controller that paused before sending its order send it."""
    armed = self.list_armed()
    self.send_order(armed[index % len(armed)], is_answered)

  def send_order(self, controller, is_answered):
    """Sends an order without checking the term.

    Only the watchdog, simulated by `time_passes`, prevents sending an order
    after the end of the term.
    """
    now = self.now + controller.offset
    tracker = orders.begin_send(controller.tracker, now)
    order = tracker.intent.order
    if is_answered:
      self.take(order)
    else:
      self.in_flight.append((self.now + MAX_FLIGHT_S, order))
    event = 'accepted' if is_answered else 'lost'
    controller.tracker = orders.on_answer(tracker, event, now)
    controller.timer_at = None

  @stateful.precondition(lambda self: self.in_flight)
  @stateful.rule(pick=strategies.integers(min_value=0, max_value=9))
  def late_order(self, pick):
    """Lets an order that is still in flight arrive at the engine."""
    _, order = self.in_flight.pop(pick % len(self.in_flight))
    self.take(order)

  def take(self, order):
    """Lets the engine take an order, and checks the order's numbers."""
    current = leases.decode_record(self.platform.get(KEY).value).fence
    assert order.fence == current, 'the fencing number is not the current one'
    last = self.taken[-1][0] if self.taken else 0
    assert order.sequence > last, 'the sequence number did not increase'
    self.taken.append((order.sequence, order.fence))

  @stateful.rule(index=strategies.integers(min_value=0, max_value=14))
  def crash(self, index):
    """Restarts a controller, if there is one with this index."""
    if index < len(self.controllers):
      self.controllers[index].restart()

  def list_armed(self):
    """Returns the controllers whose watchdog timer is armed."""
    return [c for c in self.controllers if not c.is_disarmed()]

  @stateful.invariant()
  def one_holder(self):
    holders = [
        controller
        for controller in self.controllers
        if leases.is_authorized(controller.lease, self.now + controller.offset)
    ]
    assert len(holders) <= 1, 'more than one controller holds the lease'


AuthorityMachine.TestCase.settings = hypothesis.settings(
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=60,
    deadline=None,
    database=None,
    derandomize='MULBERRYPICK_FUZZ_EXAMPLES' not in os.environ,
)
TestAuthorityFuzz = AuthorityMachine.TestCase


if __name__ == '__main__':
  unittest.main()
