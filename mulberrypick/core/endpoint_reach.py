"""Decides whether this host is cut off from all endpoints.

Such a host is apart: it passes requests on to others. That connections fail is
no proof, as endpoints fail too. A failure, or a connection that takes long,
starts rounds of probes: connections without a request, to endpoints that have
not failed yet. The host is apart if all of two rounds fail, and another host
reached an endpoint after the first one began. Data on connections that were
open before prove nothing: they may live on while new ones are refused.

A host without traffic probes at times as well, as it would not notice
otherwise.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import gateway_records

# Endpoints that are probed in a round.
MAX_PROBES = 5
# Rounds that must fail one after the other. A host that is short of processor
# time may fail to open connections for a moment.
MIN_FAILED_ROUNDS = 2
# Time between the rounds of probes of a host that suspects to be apart, and of
# one that is.
SUSPECTED_PROBE_INTERVAL_S = 0.3
APART_PROBE_INTERVAL_S = 0.4
# Time between two probes that other hosts ask for, and between the rounds of
# two suspicions.
MIN_PROBE_INTERVAL_S = 0.1
# A host that had no sign of endpoints for this long probes one.
MAX_IDLE_S = 1.5
# Connections that break off within this time after one was opened are those of
# single endpoints.
OPENED_GRACE_S = 0.3
# Connections that break off shortly before the last data arrived belong to the
# same cut.
BREAK_MARGIN_S = 0.05

_CHART = chart.load_chart('reach')


class Reach(enum.Enum):
  """Whether a host reaches endpoints; a state of the chart `reach`."""

  CONNECTED = 'connected'
  SUSPECTED = 'suspected'
  APART = 'apart'
  RETURNING = 'returning'


class Change(NamedTuple):
  """A change of the state.

  Attributes:
    state: The new state.
    previous: The state before.
    since: When the present failures began, or when this host was apart first.
  """

  state: Reach
  previous: Reach
  since: float


class EndpointReach:
  """What one host knows of its connections to endpoints.

  Attributes:
    state: Whether it reaches endpoints.
    reached_at: When it last opened a connection or received data.
    failed: Endpoints to which connections failed since one was opened, with
      their services.
    peer_reached_at: When another host last reached an endpoint.
  """

  def __init__(self):
    self.state = Reach.CONNECTED
    self.reached_at = float('-inf')
    self._opened_at = float('-inf')
    self.failed: dict[tuple[str, int], str] = {}
    self.peer_reached_at = float('-inf')
    self._failing_since: float | None = None
    self._apart_since = 0.0
    self._probed_at = float('-inf')
    # When the first round of probes began that failed as a whole, and how many
    # did so since a connection was opened.
    self._round_began_at: float | None = None
    self._failed_rounds = 0
    # Whether the probes that were last chosen settle a suspicion.
    self._is_settling = False
    # Whether another host asks for a sign of endpoints.
    self._is_asked = False
    # Rounds of the present suspicion that follow each other sooner.
    self._quick_rounds = 0

  @property
  def is_apart(self) -> bool:
    """Whether requests are to be passed on."""
    return self.state in (Reach.APART, Reach.RETURNING)

  def record_opened(self, now: float) -> Change | None:
    """Records that a connection to an endpoint was opened."""
    since = self._apart_since if self.is_apart else self._failing_since or now
    self.reached_at = self._opened_at = now
    self.failed.clear()
    self._failing_since = None
    self._round_began_at = None
    self._failed_rounds = 0
    return self._advance('opened', since)

  def record_data(self, now: float) -> None:
    """Records that an endpoint sent data."""
    self.reached_at = now

  def record_failed(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> Change | None:
    """Records that no connection to an endpoint could be opened."""
    self.failed[endpoint.incarnation] = endpoint.service
    return self._record_failure(now)

  def record_doubt(self, now: float) -> Change | None:
    """Records a connection that broke off, is silent, or opens slowly."""
    if self.is_apart:
      return None
    is_first = self.state is Reach.CONNECTED
    if is_first and now - self._opened_at < OPENED_GRACE_S:
      return None
    return self._record_failure(now)

  def record_peer(self, reached_at: float) -> None:
    """Records when another host reached an endpoint."""
    self.peer_reached_at = max(self.peer_reached_at, reached_at)

  def record_round(
      self, probed: list[gateway_records.Endpoint], began_at: float
  ) -> Change | None:
    """Records that a round of probes has ended.

    Args:
      probed: The endpoints that were last chosen.
      began_at: When it began.
    """
    has_failed = all(e.incarnation in self.failed for e in probed)
    if self._is_settling and probed and has_failed:
      if not self._failed_rounds:
        self._round_began_at = began_at
      self._failed_rounds += 1
    return self.settle()

  def settle(self) -> Change | None:
    """Returns the change if the failures prove that this host is apart."""
    if self.state is not Reach.SUSPECTED:
      return None
    if self._failed_rounds < MIN_FAILED_ROUNDS:
      return None
    if self.peer_reached_at < self._round_began_at:
      return None
    last_sign_at = min(self._failing_since, self.reached_at)
    self._apart_since = last_sign_at - BREAK_MARGIN_S
    return self._advance('confirmed', self._apart_since)

  def is_probe_due(self, now: float) -> bool:
    """Returns whether to probe endpoints now, and records it if so."""
    interval_s = {
        Reach.CONNECTED: MAX_IDLE_S,
        Reach.SUSPECTED: SUSPECTED_PROBE_INTERVAL_S,
        Reach.APART: APART_PROBE_INTERVAL_S,
        Reach.RETURNING: 0.0,
    }[self.state]
    if self._is_asked or (self._quick_rounds and self.state is Reach.SUSPECTED):
      interval_s = min(interval_s, MIN_PROBE_INTERVAL_S)
    elif self.state is Reach.CONNECTED and now - self.reached_at < MAX_IDLE_S:
      return False
    if now - self._probed_at < interval_s:
      return False
    self._probed_at = now
    self._is_asked = False
    self._quick_rounds = max(0, self._quick_rounds - 1)
    return True

  def ask(self) -> None:
    """Makes a probe due, as another host needs a new sign of endpoints."""
    self._is_asked = self.state is Reach.CONNECTED

  def choose_probes(
      self, endpoints: Iterable[gateway_records.Endpoint]
  ) -> list[gateway_records.Endpoint]:
    """Returns the endpoints to probe, of different services where possible.

    A suspicion is settled by endpoints that have not failed yet, or by any if
    all have failed; otherwise one sign of life is enough.

    Args:
      endpoints: The known endpoints, in random order.
    """
    candidates = list(endpoints)
    self._is_settling = self.state is Reach.SUSPECTED
    if not self._is_settling:
      return candidates[:1]
    sound = [e for e in candidates if e.incarnation not in self.failed]
    return _spread(sound or candidates)[:MAX_PROBES]

  def _record_failure(self, now: float) -> Change | None:
    if self.state is Reach.CONNECTED:
      self._failing_since = now
      self._quick_rounds = MIN_FAILED_ROUNDS
    return self._advance('failed', self._failing_since)

  def _advance(self, event: str, since: float) -> Change | None:
    previous = self.state
    self.state = Reach(chart.advance(_CHART, previous.value, event))
    if self.state is previous:
      return None
    return Change(self.state, previous, since)


def _spread(
    endpoints: list[gateway_records.Endpoint],
) -> list[gateway_records.Endpoint]:
  """Returns the endpoints with those of each service far from each other."""
  count_by_service: dict[str, int] = {}
  ranked = []
  for number, endpoint in enumerate(endpoints):
    rank = count_by_service.get(endpoint.service, 0)
    count_by_service[endpoint.service] = rank + 1
    ranked.append((rank, number, endpoint))
  return [endpoint for _, _, endpoint in sorted(ranked)]
