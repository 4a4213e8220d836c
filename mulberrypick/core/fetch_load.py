"""How much decode load an engine takes, by its slots and by its link.

Answers load pattern: many long prompts with short answers are prefilled on
other engines. A decode engine fetches one KV cache after the other, so that its
link is full long before its slots are: with 17 ms for each, 60 requests at once
wait for a second. A request that fetches its KV cache therefore counts as more
decode load the longer that takes, so that fetching for all requests at an
engine takes a fraction of their latency target. Streams that fetch nothing
count by their slots only.
"""

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

  def quarters(
      self,
      call: gateway_records.Call,
      endpoint: gateway_records.Endpoint,
      is_prefilled: bool,
  ) -> int:
    """Returns the decode load of a request, in quarters of a slot.

    Args:
      call: The request.
      endpoint: The engine that decodes it.
      is_prefilled: Whether it fetches its KV cache from another engine.
    """
    quarters = placements.decode_slot_quarters(call, is_prefilled)
    if not is_prefilled:
      return quarters
    return max(quarters, round(self._fetch_quarters(endpoint)))

  def _fetch_quarters(self, endpoint: gateway_records.Endpoint) -> float:
    """Returns the part of an engine's capacity that one fetch takes."""
    mean = self._by_service.get(endpoint.service)
    fraction = 0.0 if mean is None else min(1.0, mean.fraction)
    return max(1.0, fraction * self.capacity(endpoint))

  def wait_s(self, endpoint: gateway_records.Endpoint, quarters: int) -> float:
    """Returns how long one more request waits for the link at most.

    Args:
      endpoint: The decode engine.
      quarters: Quarters of slots that it uses to decode, as if all of them were
        of requests that fetched their KV cache or have yet to.
    """
    mean = self._by_service.get(endpoint.service)
    if mean is None:
      return 0.0
    return quarters / self._fetch_quarters(endpoint) * mean.fetch_s
