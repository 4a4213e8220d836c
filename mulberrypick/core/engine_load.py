"""Load of engines and plain endpoints, summed over all gateway hosts.

This host's own load is counted exactly. The load of other hosts is what they
sent last, and expires when they fall silent. How long an engine takes for its
work is predicted by `engine_models`, from the answers to earlier requests.
"""

from typing import NamedTuple

from mulberrypick.core import engine_models
from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache
from mulberrypick.core import pending_reads
from mulberrypick.core import refusal_pause

# Shortest silence after which callers leave, by the protocol.
MIN_CALLER_PATIENCE_S = 2.0
# Endpoints that a request is sent to, one after the other, before its caller
# leaves if all of them are silent.
SILENT_ENDPOINTS = 5
# An endpoint with pending requests counts as silent if it has not responded for
# this long in addition to the time that its work takes at the high end of what
# is expected: its process may stand still for a moment. A plain endpoint counts
# as silent after this many mean service times if they are longer.
SILENCE_TIMEOUT_S = MIN_CALLER_PATIENCE_S / SILENT_ENDPOINTS
SILENCE_SERVICE_TIMES = 8
# Initial estimate of the requests, running and queued, that an endpoint accepts
# per slot (the capacity to run one request), as in the existing deployments.
CAPACITY_PER_SLOT = 4
# Weight of one sample of the capacity: one refusal, or one request accepted by
# an endpoint that was believed to be full. The count known here lags behind by
# some requests, so that a single sample may be wrong by half.
CAPACITY_WEIGHT = 0.3
# Answers from which on the model of an engine tells who will be late: a pause
# at the start must not refuse what follows.
KNOWN_SAMPLES = 2.0
# Events of streams arrive more often than their engine's load is summed up, and
# than its pace is learned from them.
BACKLOG_INTERVAL_S = 0.02
EVENT_SAMPLE_INTERVAL_S = 0.1
# Time for which the load sent by another host remains valid.
PEER_TTL_S = 2.0


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

  @property
  def fetches(self) -> int:
    """Requests whose prompt was prefilled on another engine, at most.

    The decode load counts them as one quarter each and long streams as four.
    Requests that the engine still prefills make the number too high.
    """
    return max(0, min(self.decoding, (4 * self.count - self.decoding) // 3))

  @property
  def streams(self) -> int:
    """Long streams, at least."""
    return (self.decoding - self.fetches) // 4


class _PeerLoad:

  def __init__(self, load_by_endpoint: dict[str, Load], at: float):
    self.load_by_endpoint = load_by_endpoint
    self.at = at


class _OwnLoad:
  """This host's load on one endpoint, and what it learned about it."""

  def __init__(self, slots: int):
    self.count = 0
    self.decoding = 0
    self.reads = pending_reads.PendingReads()
    self.pace = engine_models.Pace()
    self.event_pace = engine_models.Pace()
    self.event_sampled_at = float('-inf')
    self.backlog = 0
    self.backlog_at = float('-inf')
    self.service_s = 0.05
    self.last_response_at = float('-inf')
    self.refusal_pause = refusal_pause.RefusalPause()
    self.capacity = float(CAPACITY_PER_SLOT * slots)
    self.pending_since: dict[int, float] = {}
    self.cache = part_cache.PartCache()


class EngineLoad:
  """Load of this host and of others, by endpoint.

  Attributes:
    models: How long engines take for their work.
  """

  def __init__(self):
    self.models = engine_models.EngineModels()
    self._own: dict[tuple[str, int], _OwnLoad] = {}
    self._peers: dict[str, _PeerLoad] = {}

  def own(self, endpoint: gateway_records.Endpoint) -> _OwnLoad:
    """Returns this host's load on an endpoint, creating it if needed."""
    own = self._own.get(endpoint.incarnation)
    if own is None:
      own = self._own[endpoint.incarnation] = _OwnLoad(endpoint.slots)
    return own

  def is_silent(self, endpoint: gateway_records.Endpoint, now: float) -> bool:
    """Returns whether an endpoint has not responded to pending requests."""
    own = self._own.get(endpoint.incarnation)
    if own is None or not own.pending_since:
      return False
    longest_s = max(SILENCE_TIMEOUT_S, SILENCE_SERVICE_TIMES * own.service_s)
    if endpoint.stage is not gateway_records.Stage.NONE:
      longest_s = SILENCE_TIMEOUT_S + self.longest_read_s(endpoint, now)
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
    urgent, other = own.reads.remaining(now) if own else (0, 0)
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

  def own_loads(self, now: float) -> dict[str, Load]:
    """Returns this host's load by endpoint name, to be sent to other hosts."""
    load_by_endpoint = {}
    for incarnation, own in self._own.items():
      if own.count:
        load_by_endpoint[incarnation[0]] = Load(
            own.count, *own.reads.remaining(now), own.decoding
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

  def read_s(
      self, endpoint: gateway_records.Endpoint, tokens: int, now: float
  ) -> float:
    """Returns the expected time until an engine has prefilled tokens."""
    model = self.models.find(endpoint, engine_models.read_work(endpoint))
    return model.expect_s(tokens) * self.own(endpoint).pace.factor(now)

  def longest_read_s(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> float:
    """Returns the high end of the time to prefill all that an engine has."""
    model = self.models.find(endpoint, engine_models.read_work(endpoint))
    load = self.total(endpoint, now)
    tokens = load.urgent_tokens + load.other_tokens
    return self.read_s(endpoint, tokens, now) * model.high_factor

  def is_speed_known(self, endpoint: gateway_records.Endpoint) -> bool:
    """Returns whether there are enough answers to tell who will be late."""
    work = engine_models.read_work(endpoint)
    model = self.models.find(endpoint, work)
    return model.is_prior_known or model.samples >= KNOWN_SAMPLES

  def read_token_s(
      self, endpoint: gateway_records.Endpoint, now: float
  ) -> float:
    """Returns the time by which one more token delays the prefill."""
    model = self.models.find(endpoint, engine_models.read_work(endpoint))
    return model.per_token_s * self.own(endpoint).pace.factor(now)

  def observe_prefill(
      self,
      endpoint: gateway_records.Endpoint,
      tokens_ahead: int,
      took_s: float,
      now: float,
  ) -> None:
    """Updates what is known of an engine by one prefilled prompt.

    Args:
      endpoint: The engine.
      tokens_ahead: Uncached tokens of the prompt, and the tokens before them.
      took_s: Time since the request was sent.
      now: Time on the event loop's clock.
    """
    work = engine_models.read_work(endpoint)
    ratio = self.models.observe(endpoint, work, tokens_ahead, took_s, now)
    self.own(endpoint).pace.observe(ratio, now)

  def observe_event(
      self, endpoint: gateway_records.Endpoint, took_s: float, now: float
  ) -> None:
    """Updates what is known of the pace of streams at an engine.

    Args:
      endpoint: The engine; it prefilled nothing meanwhile.
      took_s: Time between two events of a stream.
      now: Time on the event loop's clock.
    """
    own = self.own(endpoint)
    if now - own.event_sampled_at < EVENT_SAMPLE_INTERVAL_S:
      return
    own.event_sampled_at = now
    count = self.total(endpoint, now).count
    ratio = self.models.observe(
        endpoint, engine_models.Work.EVENT, count, took_s, now
    )
    own.event_pace.observe(ratio, now)

  def backlog(self, endpoint: gateway_records.Endpoint, now: float) -> int:
    """Returns the tokens that wait to be prefilled, as of a moment ago."""
    own = self.own(endpoint)
    if now - own.backlog_at >= BACKLOG_INTERVAL_S:
      load = self.total(endpoint, now)
      own.backlog = load.urgent_tokens + load.other_tokens
      own.backlog_at = now
    return own.backlog

  def event_s(self, endpoint: gateway_records.Endpoint, now: float) -> float:
    """Returns the expected time between two events without prefill."""
    model = self.models.find(endpoint, engine_models.Work.EVENT)
    count = self.total(endpoint, now).count
    return model.expect_s(count) * self.own(endpoint).event_pace.factor(now)

  def observe_service_time(
      self, endpoint: gateway_records.Endpoint, took_s: float
  ) -> None:
    """Updates the mean service time of a plain endpoint."""
    own = self.own(endpoint)
    own.service_s += 0.1 * (took_s - own.service_s)
