"""Writes intents, sends orders, and determines their outcome.

Used by the controller task on its thread only, which is the thread that
receives the watchdog's signal. `core/orders.py` defines the rules.
"""

import logging
import secrets
import time
from typing import NamedTuple

from mulberrypick.adapters import engine as engines
from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platforms
from mulberrypick.core import errors
from mulberrypick.core import orders
from mulberrypick.core import records
from mulberrypick.ops import lease_holder
from mulberrypick.ops import term_watchdog

_logger = logging.getLogger(__name__)


class OrderTiming(NamedTuple):
  """Time limits of orders.

  Attributes:
    guard_s: Maximum time that an order can be in flight.
    send_s: Minimum time left in the term to start sending. It is slightly
      longer than the timeouts of the engine adapter, so that the watchdog kills
      only a process that was paused.
  """

  guard_s: float
  send_s: float


class OrderSender:
  """Sends orders in successive terms.

  Attributes:
    track_by_engine: Tracker of the last order to each engine.
  """

  def __init__(
      self,
      platform: platforms.Platform,
      engine: engines.Engine,
      timing: OrderTiming,
  ):
    """Initializes the sender; call it on the thread that sends orders."""
    self._platform = platform
    self._engine = engine
    self._timing = timing
    self._timer = term_watchdog.TermWatchdog()
    self._fence = 0
    self.track_by_engine: dict[str, orders.OrderTracker] = {}

  def begin_term(self, fence: int) -> None:
    """Starts a term and reads all intents, as another holder may have written.

    Args:
      fence: Fencing number of the term.

    Raises:
      PlatformError: The intents could not be read; the term has not started.
    """
    self._fence = fence
    listing = self._platform.list_objects(orders.ORDER_PREFIX)
    self.track_by_engine = {}
    for key, value in listing.value_by_key.items():
      intent = orders.decode_intent(value.value)
      track = orders.on_read(orders.OrderTracker(), value.version, intent)
      self.track_by_engine[orders.endpoint_of(key)] = track

  def settle(self, state: records.EngineState, read_at: float) -> bool:
    """Determines the outcome of an engine's last order from the engine's state.

    Args:
      state: The engine's state.
      read_at: Monotonic time before the state was read.

    Returns:
      Whether the next order may be planned on this state.

    Raises:
      PlatformError: The intent had to be read, but could not be.
      StaleFenceError: The intent is from a newer term, so this term has ended.
    """
    engine = state.endpoint
    track = self.track_by_engine.get(engine, orders.OrderTracker())
    is_fresh = track.state in (orders.SETTLED, orders.UNKNOWN)
    if track.state in (orders.UNREAD, orders.SETTLING):
      track = self._read(track, engine)
    if track.state == orders.READY:
      # The write took effect after all, but the order was planned on a state
      # that is outdated by now.
      track = orders.drop(track)
    if is_fresh:
      track = orders.settle(track, state, read_at, self._timing.guard_s)
    self.track_by_engine[engine] = track
    return is_fresh and track.state == orders.SETTLED

  def is_settled(self) -> bool:
    """Returns whether it is certain that no order is in flight."""
    states = {track.state for track in self.track_by_engine.values()}
    return orders.UNKNOWN not in states

  def issue(
      self,
      order: records.Order,
      address: str,
      engine_sequence: int,
      term: lease_holder.Term,
  ) -> None:
    """Writes an order's intent and sends it.

    Args:
      order: The order, without sequence and fencing number.
      address: `ip:port` of the engine.
      engine_sequence: Last sequence number reported by the engine.
      term: The current term.

    Raises:
      PlatformError: The intent could not be written; nothing was sent.
      StaleFenceError: The term has ended.
    """
    track = self.track_by_engine[order.endpoint]
    track = orders.begin_write(
        track,
        order._replace(fence=term.fence),
        secrets.token_hex(8),
        engine_sequence,
    )
    track = self._write(track)
    self.track_by_engine[order.endpoint] = track
    if track.state == orders.READY:
      self._send(track, address, term)

  def _read(
      self, track: orders.OrderTracker, engine: str
  ) -> orders.OrderTracker:
    value = self._platform.get(orders.order_key(engine))
    if value is None:
      return orders.on_read(track, platforms.MISSING_VERSION, None)
    intent = orders.decode_intent(value.value)
    if intent.order.fence > self._fence:
      raise errors.StaleFenceError(engine, intent.order.fence)
    return orders.on_read(track, value.version, intent)

  def _write(self, track: orders.OrderTracker) -> orders.OrderTracker:
    engine = track.intent.order.endpoint
    value = orders.encode_intent(track.intent)
    event = 'lost'
    try:
      version = self._platform.put(
          orders.order_key(engine), value, track.version
      )
    except errors.ConflictError:
      event = 'conflict'
    except errors.PlatformUnavailableError:
      event = 'unavailable'
    except errors.PlatformError:
      pass  # The write may have taken effect despite the error.
    else:
      return orders.on_written(track, version)
    self._log('intent_not_written', track.intent.order, cause=event)
    return orders.on_write_failed(track, event)

  def _send(
      self, track: orders.OrderTracker, address: str, term: lease_holder.Term
  ) -> None:
    order = track.intent.order
    engine = order.endpoint
    try:
      if term.end_at - time.monotonic() < self._timing.send_s:
        raise term_watchdog.TermExpiredError('the term ends too soon')
      self._timer.arm(term.end_at)
    except term_watchdog.TermExpiredError as error:
      self.track_by_engine[engine] = orders.drop(track)
      self._log('order_dropped', order, cause=str(error))
      return
    try:
      sent = orders.begin_send(track, time.monotonic())
      event = self._send_to_engine(address, order)
    finally:
      self._timer.disarm()
    self.track_by_engine[engine] = orders.on_answer(
        sent, event, time.monotonic()
    )
    if event == 'stale':
      raise errors.StaleFenceError(engine, order.fence)

  def _send_to_engine(self, address: str, order: records.Order) -> str:
    """Sends an order; returns the resulting event of the state chart."""
    event = 'accepted'
    cause = ''
    try:
      self._engine.send_order(address, order)
    except errors.StaleFenceError as error:
      event, cause = 'stale', str(error)
    except (
        errors.EndpointUnreachableError,
        errors.EndpointRefusedError,
    ) as error:
      event, cause = 'not_run', str(error)
    except errors.EndpointError as error:
      event, cause = 'lost', str(error)
    self._log('order_sent', order, outcome=event, cause=cause)
    return event

  def _log(self, event: str, order: records.Order, **fields: object) -> None:
    logs.log_event(
        _logger,
        logging.INFO,
        event,
        endpoint=order.endpoint,
        sequence=order.sequence,
        fence=order.fence,
        action=order.action,
        model=order.model,
        adapter=order.adapter,
        role=order.role,
        **fields,
    )
