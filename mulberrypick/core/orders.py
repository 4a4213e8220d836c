"""Orders to engines, each of which is stored before it is sent.

An order tells an engine, for example, to load a model or to change its role.
Only the controller that holds the lease of the zone sends orders. It first
writes the order into the engine's object in the platform, `orders/<endpoint>`,
by conditional update. The stored order is called the intent.

The object has three purposes. It numbers the orders to an engine across all
holders of the lease. It stops a former holder, whose write conflicts with the
version left by its successor. And it tells a successor which order may have
been sent. A successor treats the outcome of every existing intent as unknown,
and reads the state of the engine itself before it writes another intent.

An order that may be in flight is settled, so that another one may be written,
when the engine's state shows its sequence number, or when the guard time has
passed since it was sent. By then, the connection that carried the order has
timed out, so the order can no longer arrive.

The functions here have no side effects; `spec/order_model.py` runs the same
functions.
"""

from typing import NamedTuple

import msgspec

from mulberrypick.core import chart
from mulberrypick.core import errors
from mulberrypick.core import records

CHART = chart.load_chart('order')

UNREAD = 'unread'
SETTLED = 'settled'
READY = 'ready'
UNKNOWN = 'unknown'
SETTLING = 'settling'

ORDER_PREFIX = 'orders/'
_NEVER = float('-inf')


class Intent(NamedTuple):
  """An order to an engine as it is stored before it is sent.

  Attributes:
    order: The order to be sent.
    nonce: Unique id of the write that left this content.
  """

  order: records.Order
  nonce: str


class OrderTracker(NamedTuple):
  """The lease holder's knowledge of the orders to one engine.

  Attributes:
    state: State in the chart `order`.
    version: Last known version of the engine's object, 0 if there is none.
    intent: The last stored order read or written, None if there is none.
    sent_at: Monotonic time at which that order was sent; minus infinity for an
      order of an earlier term of the lease, because the successor has already
      waited for the guard time.
  """

  state: str = CHART.initial
  version: int = 0
  intent: Intent | None = None
  sent_at: float = _NEVER


def order_key(endpoint: str) -> str:
  """Returns the key of the object that stores the last order to an engine."""
  return ORDER_PREFIX + endpoint


def endpoint_of(key: str) -> str:
  """Returns the name of the engine in the key of its stored order."""
  return key.removeprefix(ORDER_PREFIX)


def encode_intent(intent: Intent) -> bytes:
  """Encodes an order for storing it in the platform before it is sent."""
  table = {'nonce': intent.nonce, 'order': intent.order._asdict()}
  return msgspec.json.encode(table)


def decode_intent(value: bytes) -> Intent:
  """Decodes an order that was stored before it was sent.

  Raises:
    PlatformError: The bytes are not a stored order.
  """
  try:
    table = msgspec.json.decode(value, type=dict)
    return Intent(records.Order(**table['order']), table['nonce'])
  except (msgspec.MsgspecError, TypeError, KeyError) as error:
    raise errors.PlatformError(f'malformed intent: {error}') from error


def on_read(
    tracker: OrderTracker, version: int, intent: Intent | None
) -> OrderTracker:
  """Updates a tracker after the stored order of its engine was read.

  Args:
    tracker: A tracker in state `UNREAD` or `SETTLING`.
    version: Version of the object, 0 if there is none.
    intent: Content of the object, None if there is none.

  Returns:
    The new tracker. From `SETTLING`, its state becomes `READY` if the
    unconfirmed write took effect and `UNREAD` if not. From `UNREAD`, it becomes
    `SETTLED` if there is no stored order and `UNKNOWN` otherwise.
  """
  if tracker.state == SETTLING:
    is_own = intent is not None and intent.nonce == tracker.intent.nonce
    state = chart.advance(
        CHART, tracker.state, 'confirmed' if is_own else 'refuted'
    )
    return tracker._replace(state=state, version=version)
  event = 'absent' if intent is None else 'found'
  state = chart.advance(CHART, tracker.state, event)
  return OrderTracker(state, version, intent)


def begin_write(
    tracker: OrderTracker,
    order: records.Order,
    nonce: str,
    engine_sequence: int,
) -> OrderTracker:
  """Begins the write that stores an order before it is sent.

  Args:
    tracker: A tracker in state `SETTLED`; the write must replace its `version`.
    order: The order; its sequence number is set by this function.
    nonce: Unique id of this write.
    engine_sequence: Last sequence number reported by the engine.
  """
  sequence = engine_sequence + 1
  if tracker.intent:
    sequence = max(sequence, tracker.intent.order.sequence + 1)
  intent = Intent(order._replace(sequence=sequence), nonce)
  state = chart.advance(CHART, tracker.state, 'write')
  return tracker._replace(state=state, intent=intent)


def on_written(tracker: OrderTracker, version: int) -> OrderTracker:
  """Records that an order was stored and may now be sent."""
  state = chart.advance(CHART, tracker.state, 'written')
  return tracker._replace(state=state, version=version)


def on_write_failed(tracker: OrderTracker, event: str) -> OrderTracker:
  """Handles a write of an order that failed or whose answer was lost.

  Args:
    tracker: A tracker whose write is in progress.
    event: `unavailable` (no effect), `conflict` or `lost` (unknown effect).
  """
  return tracker._replace(state=chart.advance(CHART, tracker.state, event))


def begin_send(tracker: OrderTracker, now: float) -> OrderTracker:
  """Records that the stored order is being sent to the engine."""
  return tracker._replace(
      state=chart.advance(CHART, tracker.state, 'send'), sent_at=now
  )


def drop(tracker: OrderTracker) -> OrderTracker:
  """Discards a stored order that was not sent; it must never be sent."""
  return tracker._replace(state=chart.advance(CHART, tracker.state, 'drop'))


def on_answer(tracker: OrderTracker, event: str, now: float) -> OrderTracker:
  """Handles the result of sending an order.

  Args:
    tracker: A tracker whose order was sent.
    event: `accepted`, `not_run`, `stale` (the engine has a higher fencing
      number) or `lost` (no answer).
    now: Monotonic time at which the connection was closed; for a lost order,
      the guard time is measured from here.
  """
  state = chart.advance(CHART, tracker.state, event)
  return tracker._replace(state=state, sent_at=now)


def settle(
    tracker: OrderTracker,
    engine: records.EngineState,
    now: float,
    guard_s: float,
) -> OrderTracker:
  """Settles an order of unknown outcome according to the engine's state.

  Args:
    tracker: A tracker; returned unchanged unless it is in state `UNKNOWN`.
    engine: The engine's state, read after the tracker became unknown.
    now: Monotonic time before that read.
    guard_s: Longest time that an order can be in flight.

  Returns:
    The new tracker, still in state `UNKNOWN` if the order may yet arrive.
  """
  if tracker.state != UNKNOWN:
    return tracker
  if engine.last_sequence >= tracker.intent.order.sequence:
    return tracker._replace(state=chart.advance(CHART, tracker.state, 'taken'))
  if now < tracker.sent_at + guard_s:
    return tracker
  return tracker._replace(
      state=chart.advance(CHART, tracker.state, 'not_taken')
  )
