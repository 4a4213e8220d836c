"""Exchanges limits of endpoints, and permits to send to them, between hosts.

`core/permits.py` explains who issues permits. Hosts that send to each other
directly are all candidates for issuers; in a large fleet only relays are, and
tell their members which relays there are.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from collections.abc import Iterable

from mulberrypick.adapters import logs
from mulberrypick.core import endpoint_limits
from mulberrypick.core import peer_topology
from mulberrypick.core import permits
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message
from mulberrypick.ops import peer_table

_log = logging.getLogger(__name__)
SUMMARY_INTERVAL_S = 5.0


class PermitExchange:
  """Requests permits for this host, and issues permits to others."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      table: peer_table.PeerTable,
      address: str,
      new_message: Callable[[], peer_message.PeerMessage],
      send: Callable[[Iterable[str], peer_message.PeerMessage], None],
  ):
    self._state = state
    self._table = table
    self._address = address
    self._new_message = new_message
    self._send = send
    self.issuer = permits.PermitIssuer(address, random.Random())
    self._summary_at = 0.0

  async def run(self) -> None:
    """Sends requests for permits as they are wanted, until cancelled."""
    state = self._state
    while True:
      await state.permits_wanted.wait()
      state.permits_wanted.clear()
      now = asyncio.get_running_loop().time()
      self._update_candidates(now)
      for request in state.permits.take_wanted(now):
        self._request(request, now)

  def fill_message(self, message: peer_message.PeerMessage, now: float) -> None:
    """Adds the limits that are to be reported to a message."""
    message.limits = self._state.limits.take_reports(now)
    if message.limits:
      self._update_candidates(now)
      message.issuers = sorted(self._candidates(now))

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Handles limits, requests for permits and replies from another host."""
    state = self._state
    is_relay = self._table.neighbors.role is peer_topology.Role.RELAY
    for report in message.limits:
      if state.limits.merge(
          report, message.host, is_relay and not message.is_control_only, now
      ):
        state.log_limit((report.endpoint, report.started_ms), message.host)
    if state.limits.has_unsent():
      state.load_changed.set()
    if message.permit_request is not None:
      self._answer(message, message.permit_request, now)
    if message.permit_reply is not None:
      self._handle_reply(message.permit_reply, now)

  def _request(self, request: permits.PermitRequest, now: float) -> None:
    issuer = self.issuer.issuer_of(request.endpoint)
    if issuer == self._address:
      self._handle_reply(self._issue(request, now), now)
      return
    if issuer is None:
      return
    message = self._new_message()
    message.is_control_only = True
    message.permit_request = request
    message.limits = self._report_of(request, now)
    self._send((issuer,), message)

  def _answer(
      self,
      message: peer_message.PeerMessage,
      request: permits.PermitRequest,
      now: float,
  ) -> None:
    self._update_candidates(now)
    answer = self._new_message()
    answer.is_control_only = True
    answer.permit_reply = self._issue(request, now)
    answer.limits = self._report_of(request, now)
    self._send((message.address,), answer)

  def _issue(
      self, request: permits.PermitRequest, now: float
  ) -> permits.PermitReply:
    state = self._state
    rate = state.limits.rate((request.endpoint, request.started_ms))
    self._log_summary(now)
    if rate is None:
      # The limit has ended; the report beside the reply says so.
      return permits.PermitReply(
          request.endpoint, request.started_ms, request.number, False, 0.0
      )
    known = len(self._table.topology.hosts())
    share = min(1.0, state.hosts / known)
    return self.issuer.issue(request, rate, share, now)

  def _handle_reply(self, reply: permits.PermitReply, now: float) -> None:
    self._state.permits.handle_reply(reply, now)
    self._state.wake_permit_waiters()

  def _report_of(
      self, request: permits.PermitRequest, now: float
  ) -> list[endpoint_limits.LimitReport]:
    incarnation = (request.endpoint, request.started_ms)
    report = self._state.limits.report(incarnation, now)
    return [] if report is None else [report]

  def _update_candidates(self, now: float) -> None:
    self.issuer.update_candidates(self._candidates(now), now)
    self.issuer.prune(set(self._state.limits.limited()))

  def _candidates(self, now: float) -> frozenset[str]:
    own = frozenset() if self._state.is_leaving else frozenset({self._address})
    role, table = peer_topology.Role, self._table
    if table.neighbors.role is role.DIRECT:
      return own | table.staying_addresses(now)
    if table.neighbors.role is role.RELAY:
      relays = {relay.address for relay in table.relays(now)}
      return own | (relays & table.staying_addresses(now))
    return table.issuers_of_relay()

  def _log_summary(self, now: float) -> None:
    if now - self._summary_at < SUMMARY_INTERVAL_S:
      return
    self._summary_at = now
    logs.log_event(
        _log,
        logging.INFO,
        'permits_issued',
        issued=self.issuer.issued,
        refused=self.issuer.refused,
        hosts=self._state.hosts,
    )
