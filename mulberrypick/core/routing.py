"""Which endpoint runs a request.

A router picks among live endpoints that hold the model, and leaves out those
that failed the request before or rest after a failure. The simple routers stay
here as baselines that a setting switches on.
"""

import abc
import random
from typing import NamedTuple

from mulberrypick.core import load


class Ask(NamedTuple):
  """What a request needs of an endpoint.

  Attributes:
    is_urgent: Whether its rank is urgent.
    prompt_tokens: Prompt tokens, with those of a resumed answer.
    output_tokens: Expected output tokens.
    between_tokens_s: Target of the time between two tokens.
    blocks: Hashes of the prompt's blocks, chained; may be empty.
    excluded: Names of endpoints that must not run it.
  """

  is_urgent: bool
  prompt_tokens: int
  output_tokens: int
  between_tokens_s: float
  blocks: tuple[int, ...]
  excluded: tuple[str, ...]


def is_usable(candidate: load.EndpointLoad, ask: Ask, now: float) -> bool:
  """Tells whether an endpoint may run the request now."""
  return candidate.rest_until <= now and candidate.name not in ask.excluded


class Router(abc.ABC):
  """Picks an endpoint for a request."""

  @abc.abstractmethod
  def pick(
      self,
      ask: Ask,
      candidates: list[load.EndpointLoad],
      own_zone: str,
      now: float,
      rng: random.Random,
  ) -> load.EndpointLoad | None:
    """Picks an endpoint.

    Args:
      ask: What the request needs.
      candidates: Live endpoints that hold the model; never empty.
      own_zone: Zone of this host.
      now: Monotonic time.
      rng: The dispatcher's seeded source.

    Returns:
      The endpoint, or None if all are too busy and the request should wait.
    """


class RoundRobinRouter(Router):
  """Takes endpoints in turn: the plainest baseline."""

  def __init__(self):
    self._turn = 0

  def pick(self, ask, candidates, own_zone, now, rng):
    """Returns the next endpoint in turn; see `Router.pick`."""
    del own_zone, rng
    for _ in candidates:
      self._turn += 1
      candidate = candidates[self._turn % len(candidates)]
      if is_usable(candidate, ask, now):
        return candidate
    return None


class LeastInFlightRouter(Router):
  """Takes the endpoint with the fewest own attempts under way."""

  def pick(self, ask, candidates, own_zone, now, rng):
    """Returns the least used endpoint; see `Router.pick`."""
    del own_zone
    start = rng.randrange(len(candidates))
    best = None
    for offset in range(len(candidates)):
      candidate = candidates[(start + offset) % len(candidates)]
      if not is_usable(candidate, ask, now):
        continue
      if best is None or candidate.in_flight < best.in_flight:
        best = candidate
    return best


ROUTER_BY_NAME = {
    'round-robin': RoundRobinRouter,
    'least-in-flight': LeastInFlightRouter,
}


def make_router(name: str) -> Router:
  """Makes a router by the name that the settings use."""
  return ROUTER_BY_NAME[name]()
