"""Sends orders to engines and determines their outcome.

An order makes an engine change its role, for example. Before it is sent, it
is recorded in the platform as an intent. Orders may be sent only during a term,
a period for which this host holds the zone's lease. Used by the controller task
on its thread only, which is the thread that receives the watchdog's signal.
`core/orders.py` defines the rules.
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
    send_s: Minimum time left in the term to start sending an order. It is
      slightly longer than the timeouts of the engine adapter, so that the
      watchdog kills only a process that was paused.
  """

  guard_s: float
  send_s: float


class OrderSender:
  """Sends the controller's orders to engines while it holds the lease.

  It is used for all terms of the lease in turn.

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
    """Starts a term; reads all intents written by earlier lease holders.

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
      tracker = orders.on_read(orders.OrderTracker(), value.version, intent)
      self.track_by_engine[orders.endpoint_of(key)] = tracker

  def settle(self, state: records.EngineState, read_at: float) -> bool:
    """Determines the outcome of an engine's last order from the engine's state.

    Args:
      state: The engine's state.
      read_at: Monotonic time before the state was read.

    Returns:
      Whether the next order may be planned on this state.

    Raises:
      PlatformError: The record of the order in the platform (intent) had to be
        read, but could not be.
      StaleFenceError: The intent is from a newer term, so this term has ended.
    """
    engine = state.endpoint
    tracker = self.track_by_engine.get(engine, orders.OrderTracker())
    is_fresh = tracker.state in (orders.SETTLED, orders.UNKNOWN)
    if tracker.state in (orders.UNREAD, orders.SETTLING):
      tracker = self._read(tracker, engine)
    if tracker.state == orders.READY:
      # The write of the intent took effect after all, but the order was planned
      # on an engine state that is outdated by now.
      tracker = orders.drop(tracker)
    if is_fresh:
      tracker = orders.settle(tracker, state, read_at, self._timing.guard_s)
    self.track_by_engine[engine] = tracker
    return is_fresh and tracker.state == orders.SETTLED

  def is_settled(self) -> bool:
    """Returns whether it is certain that no order is in flight."""
    states = {tracker.state for tracker in self.track_by_engine.values()}
    return orders.UNKNOWN not in states

  def issue(
      self,
      order: records.Order,
      address: str,
      engine_sequence: int,
      term: lease_holder.Term,
  ) -> None:
    """Records an order in the platform as an intent, then sends it.

    Args:
      order: The order, without sequence and fencing number.
      address: `ip:port` of the engine.
      engine_sequence: Last sequence number reported by the engine.
      term: The current term.

    Raises:
      PlatformError: The intent could not be written; nothing was sent.
      StaleFenceError: The term has ended.
    """
    tracker = self.track_by_engine[order.endpoint]
    tracker = orders.begin_write(
        tracker,
        order._replace(fence=term.fence),
        secrets.token_hex(8),
        engine_sequence,
    )
    tracker = self._write(tracker)
    self.track_by_engine[order.endpoint] = tracker
    if tracker.state == orders.READY:
      self._send(tracker, address, term)

  def _read(
      self, tracker: orders.OrderTracker, engine: str
  ) -> orders.OrderTracker:
    value = self._platform.get(orders.order_key(engine))
    if value is None:
      return orders.on_read(tracker, platforms.MISSING_VERSION, None)
    intent = orders.decode_intent(value.value)
    if intent.order.fence > self._fence:
      raise errors.StaleFenceError(engine, intent.order.fence)
    return orders.on_read(tracker, value.version, intent)

  def _write(self, tracker: orders.OrderTracker) -> orders.OrderTracker:
    engine = tracker.intent.order.endpoint
    value = orders.encode_intent(tracker.intent)
    event = 'lost'
    try:
      version = self._platform.put(
          orders.order_key(engine), value, tracker.version
      )
    except errors.ConflictError:
      event = 'conflict'
    except errors.PlatformUnavailableError:
      event = 'unavailable'
    except errors.PlatformError:
      pass  # The write may have taken effect despite the error.
    else:
      return orders.on_written(tracker, version)
    self._log('intent_not_written', tracker.intent.order, cause=event)
    return orders.on_write_failed(tracker, event)

  def _send(
      self, tracker: orders.OrderTracker, address: str, term: lease_holder.Term
  ) -> None:
    order = tracker.intent.order
    engine = order.endpoint
    try:
      if term.end_at - time.monotonic() < self._timing.send_s:
        raise term_watchdog.TermExpiredError('the term ends too soon')
      self._timer.arm(term.end_at)
    except term_watchdog.TermExpiredError as error:
      self.track_by_engine[engine] = orders.drop(tracker)
      self._log('order_dropped', order, cause=str(error))
      return
    try:
      sent = orders.begin_send(tracker, time.monotonic())
      event = self._send_to_engine(address, order)
    finally:
      self._timer.disarm()
    self.track_by_engine[engine] = orders.on_answer(
        sent, event, time.monotonic()
    )
    if event == 'stale':
      raise errors.StaleFenceError(engine, order.fence)

  def _send_to_engine(self, address: str, order: records.Order) -> str:
    """Sends an order; returns the resulting event of state chart `order`."""
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
