"""Measures the demand for each model, whether it is served or refused.

Engine roles are planned by the demand and not by the served load: a wrong
split of roles causes refusals of exactly the requests that reveal it.
"""

import math

# Time after which the weight of a request has decayed to 1/e.
DECAY_S = 3.0


class DemandMeter:
  """Demand by model: engine seconds per second for prefill and decode."""

  def __init__(self):
    self._sums_by_model: dict[str, tuple[float, float, float]] = {}

  def add(
      self, model: str, prefill_s: float, decode_s: float, now: float
  ) -> None:
    """Adds an arriving request with its engine seconds."""
    prefill, decode = self._decayed(model, now)
    self._sums_by_model[model] = (prefill + prefill_s, decode + decode_s, now)

  def by_model(self, now: float) -> dict[str, tuple[float, float]]:
    """Returns engine seconds per second for prefill and decode, by model."""
    rates = {}
    for model in self._sums_by_model:
      prefill, decode = self._decayed(model, now)
      rates[model] = (prefill / DECAY_S, decode / DECAY_S)
    return rates

  def _decayed(self, model: str, now: float) -> tuple[float, float]:
    prefill, decode, at = self._sums_by_model.get(model, (0.0, 0.0, now))
    kept = math.exp((at - now) / DECAY_S)
    return prefill * kept, decode * kept
