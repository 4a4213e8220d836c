"""Routers: the choice of the endpoint that runs a request.

A router picks one of the live endpoints that hold the model. It leaves out
endpoints on which the request failed before, and endpoints that back off after
a failure. The simple routers are baselines that a setting selects.
"""

import abc
import functools
import random
from typing import NamedTuple

from mulberrypick.core import cost
from mulberrypick.core import load


class RoutingRequest(NamedTuple):
  """What the router needs to know of a request.

  Attributes:
    is_urgent: Whether its rank is urgent.
    prompt_tokens: Prompt tokens, including those of a resumed answer.
    output_tokens: Expected output tokens.
    pieces: KV cache blocks that it will hold.
    between_tokens_s: Target of the time between two tokens, or 0.
    strictest_between_tokens_s: Strictest such target of all ranks, or 0.
    prefill_per_token_s: The request's seconds of prefill, divided by its number
      of output tokens; see `Cost.prefill_per_token_s`.
    speeds: Speeds of the engines.
    own_fraction: Fraction of the fleet's load that comes through this host.
    fill_fraction: Fraction of an endpoint's capacity that may be used, 0 to 1.
    remote_prefill_s: Predicted time of a prefill on a separate prefill engine,
      None if none is available.
    warm: Endpoints that probably have a prefix of the prompt in their cache,
      each with the number of cached tokens.
    excluded: Names of endpoints that must not run it.
  """

  is_urgent: bool
  prompt_tokens: int
  output_tokens: int
  pieces: int
  between_tokens_s: float
  strictest_between_tokens_s: float
  prefill_per_token_s: float
  speeds: cost.Speeds
  own_fraction: float
  fill_fraction: float
  remote_prefill_s: float | None
  warm: tuple[tuple[load.EndpointLoad, int], ...]
  excluded: tuple[str, ...]


def is_usable(
    candidate: load.EndpointLoad, request: RoutingRequest, now: float
) -> bool:
  """Returns whether an endpoint may run the request now."""
  if candidate.is_decoder and request.remote_prefill_s is None:
    return False
  return (
      candidate.backoff_until <= now and candidate.name not in request.excluded
  )


class Router(abc.ABC):
  """Picks an endpoint for a request.

  Attributes:
    uses_cache: Whether it considers which prefixes the endpoints have cached.
  """

  uses_cache = False

  @abc.abstractmethod
  def pick(
      self,
      request: RoutingRequest,
      pool: load.Pool,
      own_zone: str,
      now: float,
      rng: random.Random,
  ) -> load.EndpointLoad | None:
    """Picks an endpoint.

    Args:
      request: The request.
      pool: Live endpoints that hold the model; never empty.
      own_zone: Zone of this host.
      now: Monotonic time.
      rng: The dispatcher's seeded random number generator.

    Returns:
      The endpoint, or None if all are too busy and the request has to wait.
    """


class RoundRobinRouter(Router):
  """Picks endpoints in turn; the simplest baseline."""

  def __init__(self):
    self._turn = 0

  def pick(self, request, pool, own_zone, now, rng):
    """Returns the next endpoint in turn; see `Router.pick`."""
    del own_zone, rng
    candidates = pool.all
    for _ in candidates:
      self._turn += 1
      candidate = candidates[self._turn % len(candidates)]
      if is_usable(candidate, request, now):
        return candidate
    return None


class LeastInFlightRouter(Router):
  """Picks the endpoint with the fewest attempts of this host in flight."""

  def pick(self, request, pool, own_zone, now, rng):
    """Returns the endpoint with the fewest attempts; see `Router.pick`."""
    del own_zone
    candidates = pool.all
    start = rng.randrange(len(candidates))
    best = None
    for offset in range(len(candidates)):
      candidate = candidates[(start + offset) % len(candidates)]
      if not is_usable(candidate, request, now):
        continue
      if best is None or candidate.in_flight < best.in_flight:
        best = candidate
    return best


# Candidates that are sampled for one decision.
SAMPLE_SIZE = 4
# If none of them has capacity, up to this many are examined.
MAX_SAMPLE_SIZE = 12
# Longest prefill that may be queued ahead of a request on an endpoint.
MAX_QUEUED_PREFILL_S = 0.15
# Added time of an endpoint in another zone: the network round trip.
CROSS_ZONE_COST_S = 0.004
# Fraction of the target time between two tokens that may be used.
MAX_TOKEN_INTERVAL_FRACTION = 0.85
# A batch may always grow to this number of sequences, even if the targets are
# exceeded.
ALWAYS_ALLOWED_BATCH = 2.0


class PredictedTimeRouter(Router):
  """Picks the endpoint with the earliest predicted end of the answer.

  It samples a few candidates at random, so that hosts with the same delayed
  reports don't all choose the same endpoint. An endpoint has capacity while
  the queued prefill, the time between tokens and the KV cache stay within
  their limits. Long prompts are kept off some endpoints, called quiet, so that
  they do not delay urgent requests there.
  """

  def __init__(self, uses_cache: bool = True):
    self.uses_cache = uses_cache

  def pick(self, request, pool, own_zone, now, rng):
    """Returns the endpoint with the least predicted time; see `Router.pick`."""
    prefill_s = request.prompt_tokens / request.speeds.prefill_tokens_per_s
    if request.is_urgent and pool.quiet:
      best = self._pick_from(request, pool.quiet, own_zone, now, rng)
      if best is not None:
        return best
      return self._pick_from(request, pool.bulk, own_zone, now, rng)
    if prefill_s > cost.LONG_PREFILL_S and pool.bulk:
      return self._pick_from(request, pool.bulk, own_zone, now, rng)
    return self._pick_from(request, pool.all, own_zone, now, rng)

  def _pick_from(self, request, candidates, own_zone, now, rng):
    best, best_s = None, 0.0
    kinds = {candidate.is_quiet for candidate in candidates[:1]}
    for candidate, cached in request.warm:
      if candidate.is_quiet not in kinds:
        continue
      time_s = self._predict_with_zone(
          request, candidate, cached, own_zone, now
      )
      if time_s is not None and (best is None or time_s < best_s):
        best, best_s = candidate, time_s
    sample_size = min(MAX_SAMPLE_SIZE, len(candidates))
    for number, candidate in enumerate(rng.sample(candidates, sample_size)):
      if number >= SAMPLE_SIZE and best is not None:
        break
      time_s = self._predict_with_zone(request, candidate, 0, own_zone, now)
      if time_s is not None and (best is None or time_s < best_s):
        best, best_s = candidate, time_s
    return best

  def _predict_with_zone(self, request, candidate, cached, own_zone, now):
    """Predicts the time, including the round trip to another zone.

    Returns None if the endpoint can't run the request now.
    """
    if not is_usable(candidate, request, now):
      return None
    time_s = self._predict(request, candidate, cached, now)
    if time_s is not None and candidate.zone != own_zone:
      time_s += CROSS_ZONE_COST_S
    return time_s

  def _predict(
      self,
      request: RoutingRequest,
      candidate: load.EndpointLoad,
      cached: int,
      now: float,
  ) -> float | None:
    """Predicts the time to the end of the answer; None if capacity is short."""
    speeds = request.speeds
    other_load = candidate.other_load(now)
    if candidate.is_decoder:
      cached = request.prompt_tokens
    prefill_tokens = other_load.prefill_tokens + candidate.prefill_sent
    running = candidate.in_flight + other_load.running
    running += other_load.prefill_tokens / max(1, request.prompt_tokens)
    between_s = _predict_between(request, candidate, running, cached)
    if not _is_on_target(request, candidate, running, between_s):
      return None
    used = candidate.pieces_sent + other_load.pieces + request.pieces
    total = candidate.report.pieces_total
    if used > total * request.fill_fraction and running >= 1.0:
      return None
    ahead = prefill_tokens
    limit_s = MAX_QUEUED_PREFILL_S * request.fill_fraction
    if request.is_urgent:
      # The engine prefills urgent prompts first. The urgent load of other hosts
      # changes faster than it is reported, so each host limits its own to its
      # share.
      ahead = candidate.urgent_prefill_sent
      limit_s = MAX_QUEUED_PREFILL_S * request.own_fraction
    # Cached tokens save prefill, so the queue may be longer by that time.
    limit_s += cached / speeds.prefill_tokens_per_s
    if ahead / speeds.prefill_tokens_per_s > limit_s:
      return None
    if request.is_urgent and candidate.is_quiet:
      ahead += other_load.prefill_tokens
    if candidate.is_decoder:
      return request.remote_prefill_s + request.output_tokens * between_s
    tokens = ahead + max(1, request.prompt_tokens - cached)
    return (
        tokens / speeds.prefill_tokens_per_s + request.output_tokens * between_s
    )


def _predict_between(
    request: RoutingRequest,
    candidate: load.EndpointLoad,
    running: float,
    cached: int,
) -> float:
  """Predicts the mean time between tokens with the request in the batch.

  A sequence is prefilled once for all of its output tokens. On average, a
  decode step is therefore lengthened by the sum, over the sequences of the
  batch, of their prefill seconds per output token.
  """
  prefill_per_token_s = candidate.prefill_per_token_sent_s
  unknown = running - candidate.in_flight
  if unknown > 0.0:
    mean_s = (prefill_per_token_s + request.prefill_per_token_s) / (
        candidate.in_flight + 1
    )
    prefill_per_token_s += unknown * mean_s
  own_fraction = max(0.0, 1.0 - cached / max(1, request.prompt_tokens))
  prefill_per_token_s += request.prefill_per_token_s * own_fraction
  return request.speeds.step_s(running + 1.0) + prefill_per_token_s


def _is_on_target(
    request: RoutingRequest,
    candidate: load.EndpointLoad,
    running: float,
    between_s: float,
) -> bool:
  """Returns whether the batch with the request meets the token time target.

  Batches of up to `ALWAYS_ALLOWED_BATCH` requests are always allowed, and so is
  any batch if no target is set.
  """
  if running + 1.0 <= ALWAYS_ALLOWED_BATCH:
    return True
  target_s = (
      request.strictest_between_tokens_s
      if candidate.is_quiet
      else request.between_tokens_s
  )
  if target_s <= 0.0:
    return True
  return (
      between_s
      <= target_s * MAX_TOKEN_INTERVAL_FRACTION * request.fill_fraction
  )


ROUTER_BY_NAME = {
    'round-robin': RoundRobinRouter,
    'least-in-flight': LeastInFlightRouter,
    'predicted-time': PredictedTimeRouter,
    'predicted-time-without-cache': functools.partial(
        PredictedTimeRouter, uses_cache=False
    ),
}


def make_router(name: str) -> Router:
  """Returns a new router by its name in the settings."""
  return ROUTER_BY_NAME[name]()
