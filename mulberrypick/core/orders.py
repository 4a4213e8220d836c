"""Orders to engines: written as an intent, then sent, then settled.

The intent, `orders/<endpoint>`, is one object for each engine, changed by
conditional update. It does three things: it numbers the orders to an engine
across all holders; it stops a former holder, whose write meets a version that
its successor has left; and it tells a successor what may have been sent. A
successor treats every intent it finds as unknown, and reads the engine's own
state before it writes another.

An intent whose order may still be in flight is settled when the engine shows
its sequence, or when the guard has passed since it was sent: by then the
socket that carried it has given up, and it never arrives.

Everything here is pure; `spec/lease_model.py` runs the same functions.
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
    nonce: Unique to the write that left this content.
  """

  order: records.Order
  nonce: str


class OrderTracker(NamedTuple):
  """What the holder knows of the orders to one engine.

  Attributes:
    state: State in the chart.
    version: Version of the intent object as last seen, 0 for none.
    intent: The last intent seen or written, None for none.
    sent_at: Monotonic time at which it was sent; for an intent of an earlier
      term, the beginning of time, since a successor has waited the guard.
  """

  state: str = CHART.initial
  version: int = 0
  intent: Intent | None = None
  sent_at: float = _NEVER


def order_key(endpoint: str) -> str:
  """Returns the key of an engine's intent object."""
  return ORDER_PREFIX + endpoint


def endpoint_of(key: str) -> str:
  """Returns the engine that a key is about."""
  return key.removeprefix(ORDER_PREFIX)


def encode_intent(intent: Intent) -> bytes:
  """Encodes the content of an intent object."""
  table = {'nonce': intent.nonce, 'order': intent.order._asdict()}
  return msgspec.json.encode(table)


def decode_intent(value: bytes) -> Intent:
  """Decodes the content of an intent object.

  Raises:
    PlatformError: The object is not an intent.
  """
  try:
    table = msgspec.json.decode(value, type=dict)
    return Intent(records.Order(**table['order']), table['nonce'])
  except (msgspec.MsgspecError, TypeError, KeyError) as error:
    raise errors.PlatformError(f'not an intent: {error}') from error


def on_read(
    track: OrderTracker, version: int, intent: Intent | None
) -> OrderTracker:
  """Takes in the intent object as it was read.

  Args:
    track: A track that is unread, or settles a write.
    version: Version of the object, 0 if there is none.
    intent: Its content, None if there is none.

  Returns:
    The track: ready if the write under way is found to have taken effect,
    unread if it is found not to have, else settled or unknown.
  """
  if track.state == SETTLING:
    is_own = intent is not None and intent.nonce == track.intent.nonce
    state = chart.advance(
        CHART, track.state, 'confirmed' if is_own else 'refuted'
    )
    return track._replace(state=state, version=version)
  event = 'absent' if intent is None else 'found'
  state = chart.advance(CHART, track.state, event)
  return OrderTracker(state, version, intent)


def begin_write(
    track: OrderTracker, order: records.Order, nonce: str, engine_sequence: int
) -> OrderTracker:
  """Starts the write of an intent.

  Args:
    track: A settled track; the write replaces its `version`.
    order: The order; its sequence is set here.
    nonce: Unique to this write.
    engine_sequence: Last sequence that the engine shows.
  """
  sequence = engine_sequence + 1
  if track.intent:
    sequence = max(sequence, track.intent.order.sequence + 1)
  intent = Intent(order._replace(sequence=sequence), nonce)
  state = chart.advance(CHART, track.state, 'write')
  return track._replace(state=state, intent=intent)


def on_written(track: OrderTracker, version: int) -> OrderTracker:
  """Takes in that the intent was written."""
  state = chart.advance(CHART, track.state, 'written')
  return track._replace(state=state, version=version)


def on_write_failed(track: OrderTracker, event: str) -> OrderTracker:
  """Takes in that the write did not succeed.

  Args:
    track: A track that writes.
    event: `unavailable` (no effect), `conflict` or `lost`.
  """
  return track._replace(state=chart.advance(CHART, track.state, event))


def begin_send(track: OrderTracker, now: float) -> OrderTracker:
  """Starts the sending of a ready intent."""
  return track._replace(
      state=chart.advance(CHART, track.state, 'send'), sent_at=now
  )


def drop(track: OrderTracker) -> OrderTracker:
  """Gives a ready intent up: no byte of it was sent, and none will be."""
  return track._replace(state=chart.advance(CHART, track.state, 'drop'))


def on_answer(track: OrderTracker, event: str, now: float) -> OrderTracker:
  """Takes in what became of the sending.

  Args:
    track: A track whose order was sent.
    event: `accepted`, `not_run`, `stale` or `lost`.
    now: Monotonic time at which the connection was given up; the guard of a
      lost order counts from here.
  """
  state = chart.advance(CHART, track.state, event)
  return track._replace(state=state, sent_at=now)


def settle(
    track: OrderTracker, engine: records.EngineState, now: float, guard_s: float
) -> OrderTracker:
  """Settles an unknown intent by what the engine shows.

  Args:
    track: A track; others than unknown ones are left as they are.
    engine: The engine's state, read after the track became unknown.
    now: Monotonic time before that read.
    guard_s: Longest time that an order can be in flight.

  Returns:
    The track; still unknown if the order may yet arrive.
  """
  if track.state != UNKNOWN:
    return track
  if engine.last_sequence >= track.intent.order.sequence:
    return track._replace(state=chart.advance(CHART, track.state, 'taken'))
  if now < track.sent_at + guard_s:
    return track
  return track._replace(state=chart.advance(CHART, track.state, 'not_taken'))
