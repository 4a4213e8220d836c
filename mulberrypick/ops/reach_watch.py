"""Collects the signs of whether this host reaches endpoints; logs changes."""

import asyncio
import logging
from collections.abc import Callable

from mulberrypick.adapters import logs
from mulberrypick.core import endpoint_reach
from mulberrypick.core import gateway_records

_log = logging.getLogger(__name__)
# Longest time for which a request waits until it is known whether its host is
# cut off or only one endpoint failed. Probes take a few milliseconds, or until
# their time limit if all endpoints hang.
MAX_VERDICT_WAIT_S = 0.6


class ReachWatch:
  """Whether this host reaches endpoints.

  Attributes:
    known: The decision, and what it is based on.
    on_apart: Called with the time of the first failure when this host is found
      to be cut off.
    on_return: Called when it reaches endpoints again.
    suspected: Set while this host suspects to be cut off.
    changed: Set at each change of the state; it is then replaced by a new
      event.
  """

  def __init__(
      self,
      on_apart: Callable[[float], None],
      on_return: Callable[[], None],
  ):
    self.known = endpoint_reach.EndpointReach()
    self.on_apart = on_apart
    self.on_return = on_return
    self.suspected = asyncio.Event()
    self.changed = asyncio.Event()

  @property
  def is_apart(self) -> bool:
    """Whether this host is cut off from all endpoints."""
    return self.known.is_apart

  def record_opened(self) -> None:
    """Records that a connection to an endpoint was opened."""
    self._handle(self.known.record_opened(_now()))

  def record_failed(self, endpoint: gateway_records.Endpoint) -> None:
    """Records that no connection to an endpoint could be opened."""
    self._handle(self.known.record_failed(endpoint, _now()))

  def record_doubt(self) -> None:
    """Records a connection that broke off, is silent, or opens slowly."""
    self._handle(self.known.record_doubt(_now()))

  def record_data(self) -> None:
    """Records that an endpoint sent data."""
    self.known.record_data(_now())

  def record_round(
      self, probed: list[gateway_records.Endpoint], began_at: float
  ) -> None:
    """Records that a round of probes, begun at a time, has ended."""
    self._handle(self.known.record_round(probed, began_at))

  def record_peer(self, reached_at: float) -> None:
    """Records when another host reached an endpoint."""
    self.known.record_peer(reached_at)
    self._handle(self.known.settle())

  async def wait_for_verdict(self) -> None:
    """Waits shortly until a suspicion is settled."""
    end_at = _now() + MAX_VERDICT_WAIT_S
    try:
      async with asyncio.timeout_at(end_at):
        while self.known.state is endpoint_reach.Reach.SUSPECTED:
          await self.changed.wait()
    except TimeoutError:
      # The request goes on as if only endpoints had failed.
      return

  def _handle(self, change: endpoint_reach.Change | None) -> None:
    if change is None:
      return
    self.changed.set()
    self.changed = asyncio.Event()
    states = endpoint_reach.Reach
    if change.state is states.SUSPECTED:
      self.suspected.set()
      return
    self.suspected.clear()
    if change.state is states.APART and change.previous is states.SUSPECTED:
      self._log_apart(change)
      self.on_apart(change.since)
    if change.state is states.CONNECTED and change.previous is states.RETURNING:
      logs.log_event(
          _log,
          logging.INFO,
          'host_returned',
          apart_s=round(_now() - change.since, 3),
      )
      self.on_return()

  def _log_apart(self, change: endpoint_reach.Change) -> None:
    now = _now()
    failed = [f'{name}/{started_ms}' for name, started_ms in self.known.failed]
    logs.log_event(
        _log,
        logging.WARNING,
        'host_apart',
        failing_s=round(now - change.since, 3),
        failed=','.join(failed),
        services=','.join(sorted(set(self.known.failed.values()))),
        peer_reached_s=round(now - self.known.peer_reached_at, 3),
    )


def _now() -> float:
  return asyncio.get_running_loop().time()
