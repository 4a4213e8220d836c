"""Collects what the router needs to choose an endpoint for a request.

This is the cost, the prefix and the rank of the request, and the endpoints of
its queue. The router chooses among them.
"""

import random

from mulberrypick.core import cost
from mulberrypick.core import fleet
from mulberrypick.core import load
from mulberrypick.core import prefix_cache
from mulberrypick.core import records
from mulberrypick.core import routing
from mulberrypick.core import waiting as waiting_base

PREFILLER_SAMPLE_SIZE = 4
# Longest prefill that may be queued ahead of a request on a prefill engine, in
# seconds. A host uses only its fraction of this time, that is, the fraction of
# the fleet's load that comes through it.
MAX_REMOTE_QUEUED_PREFILL_S = 1.5


class EndpointChoice:
  """Finds the endpoint of a request by means of a router.

  Attributes:
    own_fraction: Fraction of the fleet's load that comes through this host.
  """

  def __init__(
      self,
      own_zone: str,
      router: routing.Router,
      known_fleet: fleet.Fleet,
      cost_model: cost.CostModel,
      rng: random.Random,
  ):
    """Initializes the choice without known prefixes.

    Args:
      own_zone: Zone of this host.
      router: Chooses among the endpoints.
      known_fleet: The endpoints.
      cost_model: Speeds of the engines.
      rng: The dispatcher's seeded random number generator.
    """
    self._own_zone = own_zone
    self._router = router
    self._fleet = known_fleet
    self._cost = cost_model
    self._rng = rng
    self._config = records.EMPTY_CONFIG
    self._strictest_between_tokens_s = 0.0
    self._prefix = prefix_cache.PrefixCache()
    self.own_fraction = 1.0

  def configure(self, config: records.Config) -> None:
    """Applies a newer configuration."""
    self._config = config
    self._strictest_between_tokens_s = _strictest_between(config)

  def hash_prompt(self, request: records.InferenceRequest) -> tuple[int, ...]:
    """Returns the hashes of the prompt's blocks, if the router uses them."""
    if not self._router.uses_cache:
      return ()
    return prefix_cache.hash_blocks(
        request.model, request.adapter, request.prompt
    )

  def handle_cache_events(
      self, endpoint: str, stored: tuple[int, ...], evicted: tuple[int, ...]
  ) -> None:
    """Updates the cached blocks of an engine by its cache events."""
    self._prefix.evict(endpoint, evicted)
    self._prefix.store(endpoint, stored)

  def handle_answer(
      self,
      endpoint: str,
      waiting: waiting_base.WaitingRequest,
      prompt_tokens: int,
      cached_tokens: int,
  ) -> None:
    """Drops the blocks of a prompt if the engine had none of them cached.

    Args:
      endpoint: The engine.
      waiting: The request.
      prompt_tokens: Prompt tokens as counted by the engine, or 0.
      cached_tokens: Those of them that were in its cache.
    """
    if prompt_tokens and not cached_tokens:
      self._prefix.evict(endpoint, waiting.blocks)

  def find(
      self,
      queue: str,
      waiting: waiting_base.WaitingRequest,
      fill_fraction: float,
      excluded: tuple[str, ...],
      now: float,
  ) -> load.EndpointLoad | None:
    """Finds the endpoint for a request.

    Args:
      queue: Name of the queue.
      waiting: The request.
      fill_fraction: Fraction of an endpoint's capacity that may be used.
      excluded: Names of endpoints that must not run it.
      now: Monotonic time.

    Returns:
      The endpoint, or None if the request has to wait.
    """
    pool = self._fleet.pool(queue)
    if not pool.all:
      return None
    routing_request = self._make_request(
        queue, waiting, fill_fraction, excluded
    )
    return self._router.pick(
        routing_request, pool, self._own_zone, now, self._rng
    )

  def record_start(
      self, endpoint: str, waiting: waiting_base.WaitingRequest
  ) -> None:
    """Records that an endpoint will have the prompt of a request cached."""
    self._prefix.store(endpoint, waiting.blocks)

  def cached_tokens(self, endpoint: str, blocks: tuple[int, ...]) -> int:
    """Returns the prompt tokens that an endpoint probably has cached."""
    return self._prefix.find(blocks).get(endpoint, 0)

  def _make_request(
      self, queue, waiting, fill_fraction, excluded
  ) -> routing.RoutingRequest:
    request = waiting.request
    rank = self._config.rank_by_name.get(request.rank)
    return routing.RoutingRequest(
        rank is not None and rank.is_urgent,
        request.prompt_tokens + waiting.next_index,
        waiting.cost.output_tokens,
        waiting.cost.pieces,
        rank.between_tokens_s if rank is not None else 0.0,
        self._strictest_between_tokens_s,
        waiting.cost.prefill_per_token_s,
        self._cost.speeds(queue),
        self.own_fraction,
        fill_fraction,
        self._predict_remote_prefill(queue, waiting),
        self._find_warm(queue, waiting),
        excluded,
    )

  def find_prefiller(self, queue: str, now: float) -> load.EndpointLoad | None:
    """Returns the least loaded of a sample of prefill engines, if any."""
    loads = self._fleet.prefillers(queue)
    best = None
    for known in self._rng.sample(
        loads, min(PREFILLER_SAMPLE_SIZE, len(loads))
    ):
      if known.backoff_until > now:
        continue
      if best is None or _queued_prefill(known, now) < _queued_prefill(
          best, now
      ):
        best = known
    return best

  def _predict_remote_prefill(self, queue: str, waiting) -> float | None:
    """Predicts the seconds on a prefill engine; None if none is available."""
    if waiting.next_index:
      # A resumed request is prefilled by the engine that decodes it.
      return 0.0
    loads = self._fleet.prefillers(queue)
    if not loads:
      return None
    speed = self._cost.speeds(queue).prefill_tokens_per_s
    least = min(known.prefill_sent for known in loads)
    if least / speed > MAX_REMOTE_QUEUED_PREFILL_S * self.own_fraction:
      return None
    return (least + waiting.request.prompt_tokens) / speed

  def _find_warm(
      self, queue: str, waiting: waiting_base.WaitingRequest
  ) -> tuple[tuple[load.EndpointLoad, int], ...]:
    warm = []
    names = self._fleet.pool(queue).names
    for name, tokens in self._prefix.find(waiting.blocks).items():
      if name in names:
        warm.append((self._fleet.endpoint(name), tokens))
    return tuple(warm)


def _queued_prefill(known: load.EndpointLoad, now: float) -> float:
  return known.prefill_sent + known.other_load(now).prefill_tokens


def _strictest_between(config: records.Config) -> float:
  """Returns the strictest target of the time between tokens, 0 for none."""
  targets = []
  for rank in config.rank_by_name.values():
    if rank.between_tokens_s > 0.0:
      targets.append(rank.between_tokens_s)
  return min(targets, default=0.0)
