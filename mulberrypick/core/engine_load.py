"""Work that waits at engines and plain endpoints, from all hosts.

Own work is counted exactly; the others' is what they said last, dropped when
they fall silent. The rate at which an engine reads prompts is learnt from its
answers: the tokens ahead of a request over the time that it took.
"""

from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache

# Reading rates assumed before the first answers (tokens a second). Decoding
# engines read at half the speed of those that only read.
PREFILL_TOKENS_PER_S = 400_000.0
DECODE_PREFILL_TOKENS_PER_S = 200_000.0
MIN_TOKENS_PER_S = 20_000.0
MAX_TOKENS_PER_S = 4_000_000.0
# Weight of one sample of a rate.
RATE_WEIGHT = 0.05
# A sample counts from this many tokens ahead: below, fixed costs and work that
# is half done hide the rate.
SAMPLE_TOKENS = 25_000
# Fixed time of a request at an engine, beside the reading (s).
REQUEST_OVERHEAD_S = 0.008
# An endpoint that owes an answer, and says nothing for this long, is taken for
# silent: several times the pause between the answers of a full one (s).
SILENCE_TIMEOUT_S = 0.4
SILENCE_SERVICE_TIMES = 8
# Requests that an endpoint is taken to have places for, running and waiting,
# for each one that it runs at a time: what both deployments of the users give.
CAPACITY_PER_SLOT = 4
# Weight of one refusal, or of one request that was taken though the endpoint
# was thought full: the count that is known here lags behind by some requests,
# so that one alone may be wrong by half. Chosen, not measured.
CAPACITY_WEIGHT = 0.3
# What another host said holds for this long (s).
PEER_TTL_S = 2.0
# Ranks that are told apart: 0, and all others.
RANK_CLASSES = 2


class Load(NamedTuple):
  """Work of one host at one endpoint.

  Attributes:
    count: Requests under way.
    urgent_tokens: Tokens of rank 0 still to be read.
    other_tokens: Tokens of other ranks still to be read.
    decoding: Quarters of places that streams and requests whose prompt was
      read elsewhere take; see `placing.decoding_quarters`.
  """

  count: int
  urgent_tokens: int
  other_tokens: int
  decoding: int = 0


class _PeerLoad:

  def __init__(self, load_by_endpoint: dict[str, Load], at: float):
    self.load_by_endpoint = load_by_endpoint
    self.at = at


class _Own:
  """Own work at one endpoint."""

  def __init__(self, rate: float, slots: int):
    self.count = 0
    self.decoding = 0
    self.tokens = [0] * RANK_CLASSES
    self.rate = rate
    self.service_s = 0.05
    self.last_response_at = float('-inf')
    self.capacity = float(CAPACITY_PER_SLOT * slots)
    self.pending_since: dict[int, float] = {}
    self.cache = part_cache.PartCache()


class EngineLoad:
  """Load by endpoint."""

  def __init__(self):
    self._own: dict[tuple[str, int], _Own] = {}
    self._peers: dict[str, _PeerLoad] = {}

  def own(self, endpoint: gateway_records.Endpoint) -> _Own:
    """Returns the own books of an endpoint, new ones if need be."""
    own = self._own.get(endpoint.incarnation)
    if own is None:
      is_decode = endpoint.stage is gateway_records.Stage.DECODE
      own = _Own(
          DECODE_PREFILL_TOKENS_PER_S if is_decode else PREFILL_TOKENS_PER_S,
          endpoint.slots,
      )
      self._own[endpoint.incarnation] = own
    return own

  def is_silent(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Tells whether an endpoint owes answers and says nothing."""
    own = self._own.get(endpoint.incarnation)
    if own is None or not own.pending_since:
      return False
    longest_s = max(SILENCE_TIMEOUT_S, SILENCE_SERVICE_TIMES * own.service_s)
    if endpoint.stage is not gateway_records.Stage.NONE:
      longest_s = SILENCE_TIMEOUT_S + 2 * sum(own.tokens) / own.rate
    oldest = next(iter(own.pending_since.values()))
    return now - max(oldest, own.last_response_at) > longest_s

  def prune(self, names: set[str]) -> None:
    """Drops idle books of endpoints that are not listed any more."""
    for incarnation, own in list(self._own.items()):
      if incarnation[0] not in names and own.count == 0:
        del self._own[incarnation]

  def forget(self, name: str) -> None:
    """Drops idle books of an endpoint that is gone."""
    for incarnation, own in list(self._own.items()):
      if incarnation[0] == name and own.count == 0:
        del self._own[incarnation]

  def update_peer(
      self, host: str, load_by_endpoint: dict[str, Load], now: float
  ) -> None:
    """Takes in what another host, or several together, have under way."""
    self._peers[host] = _PeerLoad(load_by_endpoint, now)

  def drop_peers(self) -> None:
    """Forgets what all other hosts have under way."""
    self._peers.clear()

  def drop_peer(self, host: str) -> None:
    """Forgets a host that left."""
    self._peers.pop(host, None)

  def total(self, endpoint: gateway_records.Endpoint, now: float) -> Load:
    """Adds up the work of all hosts at an endpoint."""
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
    """Returns the own work, for the other hosts."""
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
    """Learns from a refusal how many places an endpoint has.

    Args:
      endpoint: The endpoint.
      count: Requests known there as this one was sent, itself left out.
    """
    own = self.own(endpoint)
    count = max(endpoint.slots, count)
    if count < own.capacity:
      own.capacity += CAPACITY_WEIGHT * (count - own.capacity)

  def record_accepted(
      self, endpoint: gateway_records.Endpoint, count: int
  ) -> None:
    """Learns from a request that an endpoint took; see `record_refused`."""
    own = self.own(endpoint)
    if count >= own.capacity:
      own.capacity += CAPACITY_WEIGHT * (count + 1 - own.capacity)

  def is_full(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Tells whether an endpoint is likely to refuse one more request."""
    return self.total(endpoint, now).count >= self.own(endpoint).capacity

  def observe_prefill(
      self,
      endpoint: gateway_records.Endpoint,
      tokens_ahead: int,
      took_s: float,
  ) -> None:
    """Learns from a prompt that was read.

    Args:
      endpoint: Where.
      tokens_ahead: Its tokens that were not cached, and those before it.
      took_s: Time from the sending.
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
    """Learns how long a plain endpoint takes for a request."""
    own = self.own(endpoint)
    own.service_s += 0.1 * (took_s - own.service_s)
