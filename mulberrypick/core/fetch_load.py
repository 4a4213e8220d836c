"""How much decode load an engine takes, by its slots and by its link.

Answers load pattern: many long prompts with short answers are prefilled on
other engines. A decode engine fetches one KV cache after the other, so that its
link is full long before its slots are: with 17 ms for each, 60 requests at once
wait for a second. Requests that fetch are therefore limited so that fetching
for all of them takes a fraction of their latency target. The slots limit them
too, together with the streams, which fetch nothing.
"""

from mulberrypick.core import engine_load
from mulberrypick.core import engine_models
from mulberrypick.core import gateway_records
from mulberrypick.core import placements

# Fraction of the latency target that fetching all KV caches of the requests at
# an engine may take.
MAX_FETCH_FRACTION = 0.25
# Weight of one request in the means, once there were enough of them.
MEAN_WEIGHT = 0.05


class _Mean:
  """Means over the requests whose prompt was prefilled on another engine."""

  def __init__(self):
    self.count = 0
    self.fetch_s = 0.0
    # Time to fetch, relative to the time that may be used for it.
    self.fraction = 0.0


class FetchLoad:
  """Learns what fetching takes, by service."""

  def __init__(self, models: engine_models.EngineModels):
    self._models = models
    self._by_service: dict[str, _Mean] = {}

  def record(
      self,
      call: gateway_records.Call,
      prefiller: gateway_records.Endpoint,
      runner: gateway_records.Endpoint,
  ) -> None:
    """Records a request that a decode engine is chosen for."""
    mean = self._by_service.setdefault(call.service, _Mean())
    mean.count += 1
    weight = max(MEAN_WEIGHT, 1 / mean.count)
    took_s = self._models.transfer_s(prefiller, runner, call.prompt_tokens)
    allowed_s = MAX_FETCH_FRACTION * max(call.route.target_s, 1e-3)
    mean.fetch_s += weight * (took_s - mean.fetch_s)
    mean.fraction += weight * (took_s / allowed_s - mean.fraction)

  def capacity(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns the quarters of slots that an engine takes of decode load."""
    return placements.QUARTERS_PER_SLOT * (
        placements.MAX_DECODER_FILL * endpoint.slots
    )

  def max_fetches(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns how many requests that fetch their KV cache an engine takes."""
    mean = self._by_service.get(endpoint.service)
    if mean is None or mean.fraction <= 0.0:
      return float('inf')
    return max(1.0, 1.0 / mean.fraction)

  def wait_s(self, endpoint: gateway_records.Endpoint, fetches: int) -> float:
    """Returns how long one more request waits for the link at most.

    Args:
      endpoint: The decode engine.
      fetches: Its requests that fetched their KV cache, or have yet to.
    """
    mean = self._by_service.get(endpoint.service)
    return 0.0 if mean is None else fetches * mean.fetch_s

  def count_decoders(
      self,
      runners: list[gateway_records.Endpoint],
      loads: list[engine_load.Load],
  ) -> int:
    """Returns how many engines what decodes now needs, and one more request.

    Args:
      runners: The engines, in the order in which they are used.
      loads: The load of each.
    """
    by_slots = placements.count_engines(
        [self.capacity(runner) for runner in runners],
        sum(load.decoding for load in loads),
        placements.QUARTERS_PER_SLOT,
    )
    by_links = placements.count_engines(
        [self.max_fetches(runner) for runner in runners],
        sum(load.fetches for load in loads),
        1,
    )
    return max(by_slots, by_links)
