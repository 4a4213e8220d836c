"""Checks the configuration specifications, with bounds fit for unit tests."""

import unittest

from spec import check
from spec import config_apply_model
from spec import config_spread_model


class TestConfigModel(unittest.TestCase):

  def assert_proved(self, specification: check.Specification) -> None:
    result = check.run(specification)
    self.assertEqual(result.verdict, check.PROVED, result)
    self.assertEqual(result.unreached_witnesses, ())

  def test_racing_operators_and_lost_answers(self):
    self.assert_proved(
        config_apply_model.make_apply_specification(
            'config-apply', attempts=(1, 2)
        )
    )

  def test_removal_of_parts(self):
    self.assert_proved(
        config_apply_model.make_apply_specification(
            'config-parts', attempts=(2, 1)
        )
    )

  def test_spread(self):
    self.assert_proved(config_spread_model.make_spread_specification())

  def test_every_broken_variant_is_refuted(self):
    variants = [
        *config_apply_model.broken_variants(),
        *config_spread_model.broken_variants(),
    ]
    for variant in variants:
      with self.subTest(
          name=variant.name, expected_violation=variant.expected_violation
      ):
        self.assertTrue(check.run(variant).is_expected)
