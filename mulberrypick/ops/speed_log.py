"""Logs what is known of the speed of engines when it has changed."""

import logging

from mulberrypick.adapters import logs
from mulberrypick.core import engine_models

_log = logging.getLogger(__name__)
# Samples without which a model is not logged.
MIN_SAMPLES = 5.0


class SpeedLog:
  """Remembers what was logged last."""

  def __init__(self):
    self._logged_s: dict[engine_models.ModelKey, float] = {}

  def record(self, models: engine_models.EngineModels) -> None:
    """Logs the models that differ from what was logged last."""
    known = models.all_models()
    for key in self._logged_s.keys() - {key for key, _ in known}:
      del self._logged_s[key]
    for key, model in known:
      expected_s = model.expect_s(engine_models.TYPICAL_TOKENS)
      logged_s = self._logged_s.get(key)
      if model.samples < MIN_SAMPLES:
        continue
      if logged_s is not None and engine_models.has_same_time(
          expected_s, logged_s
      ):
        continue
      self._logged_s[key] = expected_s
      logs.log_event(
          _log,
          logging.INFO,
          'engine_speed',
          service=key.service,
          software=key.software,
          work=key.work.value,
          fixed_s=round(model.fixed_s, 4),
          tokens_per_s=round(1.0 / model.per_token_s),
          spread=round(model.spread, 2),
          samples=round(model.samples, 1),
      )
