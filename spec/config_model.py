"""Specifications of applying and distributing configuration changes."""

from spec import check
from spec import config_apply_model
from spec import config_spread_model


def specifications() -> list[check.Specification]:
  """Returns the specifications and their broken variants."""
  return [
      *config_apply_model.specifications(),
      config_spread_model.make_spread_specification(),
      *config_apply_model.broken_variants(),
      *config_spread_model.broken_variants(),
  ]
