"""Load of engines and plain endpoints, summed over all gateway hosts.

This host's own load is counted exactly. The load of other hosts is what they
sent last, and expires when they fall silent. The prefill rate of an engine is
estimated from its answers: the tokens queued ahead of a request, divided by
the time until it was prefilled.
"""

from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache

# Prefill rates assumed before the first answers. Decode engines prefill at half
# the speed of prefill engines.
PREFILL_TOKENS_PER_S = 400_000.0
DECODE_PREFILL_TOKENS_PER_S = 200_000.0
MIN_TOKENS_PER_S = 20_000.0
MAX_TOKENS_PER_S = 4_000_000.0
# Weight of one sample in the mean prefill rate.
RATE_WEIGHT = 0.05
# Samples of the prefill rate with fewer tokens queued ahead are ignored: fixed
# costs and partly finished work dominate them.
SAMPLE_TOKENS = 25_000
# Fixed time of a request on an engine, in addition to the prefill.
REQUEST_OVERHEAD_S = 0.008
# An endpoint with pending requests counts as silent after this long without a
# response, a plain one after this many mean service times if they are longer. A
# full endpoint answers several times within this time.
SILENCE_TIMEOUT_S = 0.4
SILENCE_SERVICE_TIMES = 8
# Initial estimate of the requests, running and queued, that an endpoint accepts
# per slot (the capacity to run one request), as in the existing deployments.
CAPACITY_PER_SLOT = 4
# Weight of one sample of the capacity: one refusal, or one request accepted by
# an endpoint that was believed to be full. The count known here lags behind by
# some requests, so that a single sample may be wrong by half.
CAPACITY_WEIGHT = 0.3
# Time for which the load sent by another host remains valid.
PEER_TTL_S = 2.0
# Load is counted for two classes of ranks: rank 0, and all others.
RANK_CLASSES = 2


class Load(NamedTuple):
  """Load of one host, or of several, on one endpoint.

  Attributes:
    count: Requests in flight.
    urgent_tokens: Tokens of rank 0 that are still to be prefilled.
    other_tokens: Tokens of other ranks that are still to be prefilled.
    decoding: Quarters of slots used by long streams and by requests whose
      prompt was prefilled on another engine; see
      `placements.decode_slot_quarters`.
  """

  count: int
  urgent_tokens: int
  other_tokens: int
  decoding: int = 0


class _PeerLoad:

  def __init__(self, load_by_endpoint: dict[str, Load], at: float):
    self.load_by_endpoint = load_by_endpoint
    self.at = at


class _OwnLoad:
  """This host's load on one endpoint, and what it learned about it."""

  def __init__(self, rate: float, slots: int):
    self.count = 0
    self.decoding = 0
    self.tokens = [0] * RANK_CLASSES
    self.rate = rate
    self.service_s = 0.05
    self.last_response_at = float('-inf')
    self.refused_at = float('-inf')
    self.capacity = float(CAPACITY_PER_SLOT * slots)
    self.pending_since: dict[int, float] = {}
    self.cache = part_cache.PartCache()


class EngineLoad:
  """Load of this host and of others, by endpoint."""

  def __init__(self):
    self._own: dict[tuple[str, int], _OwnLoad] = {}
    self._peers: dict[str, _PeerLoad] = {}

  def own(self, endpoint: gateway_records.Endpoint) -> _OwnLoad:
    """Returns this host's load on an endpoint, creating it if needed."""
    own = self._own.get(endpoint.incarnation)
    if own is None:
      is_decode = endpoint.stage is gateway_records.Stage.DECODE
      own = _OwnLoad(
          DECODE_PREFILL_TOKENS_PER_S if is_decode else PREFILL_TOKENS_PER_S,
          endpoint.slots,
      )
      self._own[endpoint.incarnation] = own
    return own

  def is_silent(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Returns whether an endpoint has not responded to pending requests."""
    own = self._own.get(endpoint.incarnation)
    if own is None or not own.pending_since:
      return False
    longest_s = max(SILENCE_TIMEOUT_S, SILENCE_SERVICE_TIMES * own.service_s)
    if endpoint.stage is not gateway_records.Stage.NONE:
      longest_s = SILENCE_TIMEOUT_S + 2 * sum(own.tokens) / own.rate
    oldest = next(iter(own.pending_since.values()))
    return now - max(oldest, own.last_response_at) > longest_s

  def prune(self, names: set[str]) -> None:
    """Drops endpoints not in `names` without a request of this host."""
    for incarnation, own in list(self._own.items()):
      if incarnation[0] not in names and own.count == 0:
        del self._own[incarnation]

  def forget(self, name: str) -> None:
    """Drops a removed endpoint unless it has a request of this host."""
    for incarnation, own in list(self._own.items()):
      if incarnation[0] == name and own.count == 0:
        del self._own[incarnation]

  def update_peer(
      self, host: str, load_by_endpoint: dict[str, Load], now: float
  ) -> None:
    """Replaces the load sent by another host, or by a relay for several."""
    self._peers[host] = _PeerLoad(load_by_endpoint, now)

  def drop_peers(self) -> None:
    """Drops the load of all other hosts."""
    self._peers.clear()

  def drop_peer(self, host: str) -> None:
    """Drops the load of a host that left."""
    self._peers.pop(host, None)

  def total(self, endpoint: gateway_records.Endpoint, now: float) -> Load:
    """Returns the load of all hosts on an endpoint."""
    own = self._own.get(endpoint.incarnation)
    count = own.count if own else 0
    urgent = own.tokens[0] if own else 0
    other = own.tokens[1] if own else 0
    decoding = own.decoding if own else 0
    for peer in self._peers.values():
      if now - peer.at > PEER_TTL_S:
        continue
      load = peer.load_by_endpoint.get(endpoint.name)
      if load is None:
        continue
      count += load.count
      urgent += load.urgent_tokens
      other += load.other_tokens
      decoding += load.decoding
    return Load(count, urgent, other, decoding)

  def own_loads(self) -> dict[str, Load]:
    """Returns this host's load by endpoint name, to be sent to other hosts."""
    load_by_endpoint = {}
    for incarnation, own in self._own.items():
      if own.count:
        load_by_endpoint[incarnation[0]] = Load(
            own.count, own.tokens[0], own.tokens[1], own.decoding
        )
    return load_by_endpoint

  def record_refused(
      self, endpoint: gateway_records.Endpoint, count: int
  ) -> None:
    """Lowers the estimated capacity of an endpoint that refused a request.

    Args:
      endpoint: The endpoint.
      count: Requests known to be on the endpoint when the refused one was sent,
        not counting that one.
    """
    own = self.own(endpoint)
    count = max(endpoint.slots, count)
    if count < own.capacity:
      own.capacity += CAPACITY_WEIGHT * (count - own.capacity)

  def record_accepted(
      self, endpoint: gateway_records.Endpoint, count: int
  ) -> None:
    """Raises the estimated capacity of an endpoint that accepted a request.

    Args:
      endpoint: The endpoint.
      count: As for `record_refused`.
    """
    own = self.own(endpoint)
    if count >= own.capacity:
      own.capacity += CAPACITY_WEIGHT * (count + 1 - own.capacity)

  def is_full(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Returns whether an endpoint is likely to refuse one more request."""
    return self.total(endpoint, now).count >= self.own(endpoint).capacity

  def observe_prefill(
      self,
      endpoint: gateway_records.Endpoint,
      tokens_ahead: int,
      took_s: float,
  ) -> None:
    """Updates the prefill rate of an engine by one prefilled prompt.

    Args:
      endpoint: The engine.
      tokens_ahead: Uncached tokens of the prompt, and the tokens before them.
      took_s: Time since the request was sent.
    """
    own = self.own(endpoint)
    if tokens_ahead < SAMPLE_TOKENS or took_s <= REQUEST_OVERHEAD_S:
      return
    sample = tokens_ahead / (took_s - REQUEST_OVERHEAD_S)
    sample = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, sample))
    own.rate += RATE_WEIGHT * (sample - own.rate)

  def observe_service_time(
      self, endpoint: gateway_records.Endpoint, took_s: float
  ) -> None:
    """Updates the mean service time of a plain endpoint."""
    own = self.own(endpoint)
    own.service_s += 0.1 * (took_s - own.service_s)
