"""Orders to engines: written as an intent, then sent, then settled.

Each engine has one intent object, `orders/<endpoint>`, which is changed by
conditional update. It has three purposes. It numbers the orders to an engine
across all holders of the lease. It stops a former holder, whose write conflicts
with the version left by its successor. And it tells a successor which order may
have been sent. A successor treats every existing intent as unknown, and reads
the state of the engine itself before it writes another intent.

An intent whose order may be in flight is settled when the engine's state shows
its sequence number, or when the guard time has passed since it was sent. By
then, the connection that carried the order has timed out, so it can no longer
arrive.

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
  """The content of an engine's intent object.

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
    version: Last known version of the intent object, 0 if there is none.
    intent: The last intent read or written, None if there is none.
    sent_at: Monotonic time at which it was sent; minus infinity for an intent
      of an earlier term, because the successor has already waited for the guard
      time.
  """

  state: str = CHART.initial
  version: int = 0
  intent: Intent | None = None
  sent_at: float = _NEVER


def order_key(endpoint: str) -> str:
  """Returns the key of an engine's intent object."""
  return ORDER_PREFIX + endpoint


def endpoint_of(key: str) -> str:
  """Returns the name of the engine in an intent object's key."""
  return key.removeprefix(ORDER_PREFIX)


def encode_intent(intent: Intent) -> bytes:
  """Encodes the content of an intent object."""
  table = {'nonce': intent.nonce, 'order': intent.order._asdict()}
  return msgspec.json.encode(table)


def decode_intent(value: bytes) -> Intent:
  """Decodes the content of an intent object.

  Raises:
    PlatformError: The bytes are not an intent.
  """
  try:
    table = msgspec.json.decode(value, type=dict)
    return Intent(records.Order(**table['order']), table['nonce'])
  except (msgspec.MsgspecError, TypeError, KeyError) as error:
    raise errors.PlatformError(f'malformed intent: {error}') from error


def on_read(
    tracker: OrderTracker, version: int, intent: Intent | None
) -> OrderTracker:
  """Handles the content of the intent object after a read.

  Args:
    tracker: A tracker in state `UNREAD` or `SETTLING`.
    version: Version of the object, 0 if there is none.
    intent: Content of the object, None if there is none.

  Returns:
    The new tracker. From `SETTLING`, it is ready if the unconfirmed write took
    effect and unread if not. From `UNREAD`, it is settled if there is no intent
    and unknown otherwise.
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
  """Begins the write of an intent.

  Args:
    tracker: A settled tracker; the write must replace its `version`.
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
  """Handles the success of the write of an intent."""
  state = chart.advance(CHART, tracker.state, 'written')
  return tracker._replace(state=state, version=version)


def on_write_failed(tracker: OrderTracker, event: str) -> OrderTracker:
  """Handles the failure of the write of an intent.

  Args:
    tracker: A tracker whose write is in progress.
    event: `unavailable` (no effect), `conflict` or `lost` (unknown effect).
  """
  return tracker._replace(state=chart.advance(CHART, tracker.state, event))


def begin_send(tracker: OrderTracker, now: float) -> OrderTracker:
  """Begins to send the order of a ready intent."""
  return tracker._replace(
      state=chart.advance(CHART, tracker.state, 'send'), sent_at=now
  )


def drop(tracker: OrderTracker) -> OrderTracker:
  """Discards a ready intent; its order must never be sent."""
  return tracker._replace(state=chart.advance(CHART, tracker.state, 'drop'))


def on_answer(tracker: OrderTracker, event: str, now: float) -> OrderTracker:
  """Handles the result of sending an order.

  Args:
    tracker: A tracker whose order was sent.
    event: `accepted`, `not_run`, `stale` or `lost`.
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
  """Settles an unknown intent according to the engine's state.

  Args:
    tracker: A tracker; returned unchanged unless it is in state `UNKNOWN`.
    engine: The engine's state, read after the tracker became unknown.
    now: Monotonic time before that read.
    guard_s: Longest time that an order can be in flight.

  Returns:
    The new tracker, still unknown if the order may yet arrive.
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
