"""What is known of the speed of engines: a model for each kind of work.

Engines of one service and software version are taken to be alike, so that the
answers of one tell about the others; what one of them differs by is learned
beside. Nothing is assumed of a deployment but what its configuration says, and
wide priors that a few answers replace. Hosts add up what they observe.
"""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import time_model

# Times assumed before the first answers.
PRIOR_FIXED_S = 0.01
PRIOR_READ_TOKENS_PER_S = 100_000.0
# Decode engines prefill at half the speed of prefill engines, by the protocol.
DECODE_READ_SLOWDOWN = 2.0
# A KV cache is transferred between zones at half the speed, by the protocol.
CROSS_ZONE_SLOWDOWN = 2.0
# Samples from which on a model is used rather than that of similar engines.
MIN_SAMPLES = 2.0
# Weight of one answer in the pace of an endpoint, and the time constant by
# which the pace returns to that of its model without answers.
PACE_WEIGHT = 0.15
PACE_FADE_S = 20.0
# Bound of the pace of one endpoint, either way.
MAX_PACE = 16.0
# Sums of other hosts that are older than this are left out.
PEER_TTL_S = 3.0

# Samples from which on a model is kept for hosts that start.
MIN_KEPT_SAMPLES = 5.0
# A prompt by which models are compared, in tokens, and the relative change of
# its expected time from which on they differ.
TYPICAL_TOKENS = 4_000
MIN_CHANGE = 0.3

# Fixed time and time for a token by model, as kept for hosts that start.
SpeedsByModel = dict[str, tuple[float, float]]
# Sums of the samples by model, as hosts send them to each other.
SumsByModel = dict[str, tuple[float, ...]]


class Work(enum.Enum):
  """A kind of work whose time is modelled.

  READ: a prompt is prefilled on a prefill engine.
  READ_ON_DECODER: a prompt is prefilled on a decode engine.
  START: a decode engine fetches a prefilled prompt and writes the first event.
  EVENT: a decode engine that prefills nothing writes the next event of a
    stream. The time grows with the requests at the engine, not with tokens.
  """

  READ = 'read'
  READ_ON_DECODER = 'read_on_decoder'
  START = 'start'
  EVENT = 'event'


class ModelKey(NamedTuple):
  """Identifies a model.

  Attributes:
    service: Name of the service.
    software: Version of the engine's software.
    work: Kind of work.
  """

  service: str
  software: str
  work: Work

  def encode(self) -> str:
    """Returns the key as hosts send it to each other."""
    return f'{self.work.value}/{self.software}/{self.service}'


def decode_key(text: str) -> ModelKey | None:
  """Decodes a key; returns None for one of a newer version."""
  work, _, rest = text.partition('/')
  software, _, service = rest.partition('/')
  for known in Work:
    if known.value == work:
      return ModelKey(service, software, known)
  return None


def read_work(endpoint: gateway_records.Endpoint) -> Work:
  """Returns which work the prefill of a prompt is at an endpoint."""
  if endpoint.stage is gateway_records.Stage.DECODE:
    return Work.READ_ON_DECODER
  return Work.READ


class Pace:
  """By which factor one endpoint differs from its model."""

  def __init__(self):
    self._log = 0.0
    self._at = 0.0

  def factor(self, now: float) -> float:
    """Returns the factor by which its times are longer."""
    return math.exp(self._faded(now))

  def observe(self, ratio: float, now: float) -> None:
    """Records the time of an answer, relative to the model's."""
    bound = math.log(MAX_PACE)
    sample = min(bound, max(-bound, math.log(max(ratio, 1e-6))))
    faded = self._faded(now)
    self._log = faded + PACE_WEIGHT * (sample - faded)
    self._at = now

  def _faded(self, now: float) -> float:
    return self._log * math.exp(-max(0.0, now - self._at) / PACE_FADE_S)


class _PeerSums(NamedTuple):
  """Sums over the samples of other hosts, and when they arrived."""

  sums_by_key: dict[ModelKey, time_model.Sums]
  at: float


def are_alike(one: SpeedsByModel, other: SpeedsByModel) -> bool:
  """Returns whether two sets of speeds tell about the same."""
  if one.keys() != other.keys():
    return False
  for key, (fixed_s, per_token_s) in one.items():
    other_fixed_s, other_token_s = other[key]
    expected_s = fixed_s + TYPICAL_TOKENS * per_token_s
    other_s = other_fixed_s + TYPICAL_TOKENS * other_token_s
    if not has_same_time(expected_s, other_s):
      return False
  return True


def has_same_time(one_s: float, other_s: float) -> bool:
  """Returns whether two expected times hardly differ."""
  return 1.0 / (1.0 + MIN_CHANGE) < one_s / other_s < 1.0 + MIN_CHANGE


class EngineModels:
  """Models of all engines, learned here and by other hosts."""

  def __init__(self):
    self._models: dict[ModelKey, time_model.TimeModel] = {}
    self._peers: dict[str, _PeerSums] = {}
    # Seconds to transfer the KV cache of a token, by service.
    self._transfer_token_s: dict[str, float] = {}

  def configure(self, services: Iterable[gateway_records.Service]) -> None:
    """Applies what the configuration says of the engines."""
    for service in services:
      self._transfer_token_s[service.name] = service.kv_transfer_token_s

  def transfer_s(
      self,
      source: gateway_records.Endpoint,
      target: gateway_records.Endpoint,
      tokens: int,
  ) -> float:
    """Returns the time to transfer a KV cache between two engines."""
    transfer_s = tokens * self._transfer_token_s.get(source.service, 0.0)
    if source.zone != target.zone:
      transfer_s *= CROSS_ZONE_SLOWDOWN
    return transfer_s

  def find(
      self, endpoint: gateway_records.Endpoint, work: Work
  ) -> time_model.TimeModel:
    """Returns the best model of a kind of work at an endpoint.

    Until there are samples of its own software version, it is the model of
    another version of the service.
    """
    key = ModelKey(endpoint.service, endpoint.software, work)
    model = self._own_model(key)
    if model.samples >= MIN_SAMPLES or model.is_prior_known:
      return model
    best = model
    for other, candidate in self._models.items():
      if other.service != key.service or other.work is not work:
        continue
      if candidate.samples > best.samples:
        best = candidate
    return best

  def observe(
      self,
      endpoint: gateway_records.Endpoint,
      work: Work,
      tokens: float,
      took_s: float,
      now: float,
  ) -> float:
    """Adds a sample.

    Args:
      endpoint: The endpoint that did the work.
      work: Kind of work.
      tokens: Tokens that it took the time for.
      took_s: The time.
      now: Time on the event loop's clock.

    Returns:
      The time relative to what was expected.
    """
    expected_s = self.find(endpoint, work).expect_s(tokens)
    key = ModelKey(endpoint.service, endpoint.software, work)
    self._own_model(key).observe(tokens, took_s, now)
    if work is Work.READ:
      self._update_decoder_prior(key)
    return took_s / expected_s

  def _update_decoder_prior(self, key: ModelKey) -> None:
    """Expects of decode engines what is now known of prefill engines.

    Decode engines may have prefilled short prompts only, which tell nothing of
    the time for each token. They would then get no long ones to learn from.
    """
    key = key._replace(work=Work.READ_ON_DECODER)
    model = self._models.get(key)
    if model is not None and not model.is_prior_known:
      model.set_prior(*self._prior(key))

  def all_models(self) -> list[tuple[ModelKey, time_model.TimeModel]]:
    """Returns all models that have samples."""
    return [(k, m) for k, m in self._models.items() if m.samples > 0]

  def prune(self, in_use: set[tuple[str, str]]) -> None:
    """Drops models of software that no endpoint runs any more.

    The last one that has samples is kept: it tells about newer software.

    Args:
      in_use: Services, and software versions of their endpoints.
    """
    for key in list(self._models):
      if (key.service, key.software) in in_use:
        continue
      for other, model in self._models.items():
        is_alike = other.service == key.service and other.work is key.work
        if other != key and is_alike and model.samples >= MIN_SAMPLES:
          del self._models[key]
          break

  def speeds_to_keep(self) -> SpeedsByModel:
    """Returns what is worth to be known to hosts that start."""
    speeds = {}
    for key, model in self._models.items():
      if model.samples < MIN_KEPT_SAMPLES:
        continue
      speeds[key.encode()] = (
          float(f'{model.fixed_s:.4g}'),
          float(f'{model.per_token_s:.4g}'),
      )
    return speeds

  def adopt_speeds(self, speeds: SpeedsByModel) -> int:
    """Uses kept speeds until there are samples; returns how many are usable."""
    count = 0
    for text, (fixed_s, per_token_s) in speeds.items():
      key = decode_key(text)
      is_sound = all(
          math.isfinite(value) and value >= 0
          for value in (fixed_s, per_token_s)
      )
      if key is None or not is_sound:
        continue
      self._own_model(key).set_known_prior(fixed_s, per_token_s)
      count += 1
    return count

  def update_peer(self, source: str, received: SumsByModel, now: float) -> None:
    """Replaces the sums sent by another host, or by a relay for several."""
    sums_by_key = {}
    for text, values in received.items():
      key = decode_key(text)
      is_sound = len(values) == len(time_model.Sums._fields) and all(
          math.isfinite(value) and value >= 0 for value in values
      )
      if key is not None and is_sound:
        sums_by_key[key] = time_model.Sums(*values)
    self._peers[source] = _PeerSums(sums_by_key, now)
    self._merge_peers(now)

  def sums_to_send(self, sources: Iterable[str], now: float) -> SumsByModel:
    """Returns the sums of this host and of others that it forwards.

    Args:
      sources: The other hosts.
      now: Time on the event loop's clock.
    """
    total: dict[ModelKey, time_model.Sums] = {}
    for key, model in self._models.items():
      model.fade(now)
      if model.sums.weight > 0.1:
        total[key] = model.sums
    for source in sources:
      peer = self._peers.get(source)
      if peer is None or now - peer.at > PEER_TTL_S:
        continue
      for key, sums in peer.sums_by_key.items():
        total[key] = time_model.add_sums(
            total.get(key, time_model.Sums()), sums
        )
    return {
        key.encode(): tuple(float(f'{value:.4g}') for value in sums)
        for key, sums in total.items()
    }

  def peer_sources(self) -> list[str]:
    """Returns the hosts whose sums are known."""
    return list(self._peers)

  def _merge_peers(self, now: float) -> None:
    total: dict[ModelKey, time_model.Sums] = {}
    for source, peer in list(self._peers.items()):
      if now - peer.at > PEER_TTL_S:
        del self._peers[source]
        continue
      for key, sums in peer.sums_by_key.items():
        total[key] = time_model.add_sums(
            total.get(key, time_model.Sums()), sums
        )
    for key in total:
      self._own_model(key)
    for key, model in self._models.items():
      model.set_others(total.get(key, time_model.Sums()))

  def _own_model(self, key: ModelKey) -> time_model.TimeModel:
    model = self._models.get(key)
    if model is None:
      model = self._models[key] = time_model.TimeModel(*self._prior(key))
    return model

  def _prior(self, key: ModelKey) -> tuple[float, float]:
    """Returns the fixed time and the time for a token without samples."""
    if key.work is Work.START:
      transfer_s = self._transfer_token_s.get(key.service, 0.0)
      return PRIOR_FIXED_S, max(transfer_s, 1e-9)
    slowdown = 1.0
    if key.work is Work.READ_ON_DECODER:
      slowdown = DECODE_READ_SLOWDOWN
    reader = self._models.get(key._replace(work=Work.READ))
    is_reader_known = reader is not None and (
        reader.samples >= MIN_SAMPLES or reader.is_prior_known
    )
    if slowdown > 1.0 and is_reader_known:
      return reader.fixed_s, slowdown * reader.per_token_s
    return PRIOR_FIXED_S, slowdown / PRIOR_READ_TOKENS_PER_S
