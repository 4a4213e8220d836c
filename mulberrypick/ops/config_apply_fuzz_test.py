"""Fuzz test of concurrent operators against a log of the accepted changes."""

import os
import unittest

import hypothesis
from hypothesis import strategies

from mulberrypick.adapters import memory_platform
from mulberrypick.core import config
from mulberrypick.core import config_parts
from mulberrypick.core import errors
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_apply_test
from mulberrypick.ops import config_fetch

FUZZ_EXAMPLES = int(os.environ.get('MULBERRYPICK_FUZZ_EXAMPLES', '25'))
IS_LONG = 'MULBERRYPICK_FUZZ_EXAMPLES' in os.environ
TENANTS = 120

# Faults during one change: a concurrent change before the n-th write, the
# number of writes whose responses are lost, the key prefix of these writes, and
# whether unreferenced parts are removed.
faults = strategies.tuples(
    strategies.none() | strategies.integers(1, 6),
    strategies.integers(0, 3),
    strategies.sampled_from(['config/head', 'config/part/', '']),
    strategies.booleans(),
)


class ConcurrentOperators:
  """Operators that share one platform, and the log of accepted changes."""

  def __init__(self):
    self.platform = memory_platform.MemoryPlatform()
    self.log = []
    self.number = 0

  def make_text(self) -> bytes:
    self.number += 1
    return config_apply_test.make_text(
        TENANTS, version=str(self.number), changed=self.number % TENANTS
    )

  def apply(self, operator: str, planned_on: int) -> None:
    """Applies a change and logs it if it is reported as accepted."""
    text = self.make_text()
    try:
      applied = config_apply.apply_config(
          self.platform, text, planned_on, operator
      )
    except errors.ConfigRaceError as error:
      # Another operator's change was accepted first. It is already in the log,
      # which holds accepted changes only, so this refused change is not added.
      assert error.current > planned_on
      return
    assert applied.generation == planned_on + 1
    self.log.append((applied.generation, text))

  def change(self, fault) -> None:
    concurrent_at, lost_count, prefix, is_tidied = fault
    planned_on = self.read().config.generation
    writes = 0

    def interfere(kind: str, key: str) -> None:
      nonlocal writes
      if kind != 'put':
        return
      writes += 1
      if writes == concurrent_at:
        self.platform.before_call = None
        self.apply('rival', self.read().config.generation)
        if is_tidied:
          config_apply.tidy(self.platform)

    self.platform.before_call = interfere
    self.platform.lose_answers(lost_count, prefix)
    self.apply('own', planned_on)
    self.platform.before_call = None
    self.platform.lose_answers(0)
    if is_tidied:
      config_apply.tidy(self.platform)

  def read(self):
    return config_fetch.read_tree(self.platform)[1]


class TestApplyFuzz(unittest.TestCase):

  @hypothesis.settings(
      derandomize=not IS_LONG, deadline=None, max_examples=FUZZ_EXAMPLES
  )
  @hypothesis.given(strategies.lists(faults, min_size=1, max_size=3))
  def test_exactly_the_accepted_changes_are_in_force(self, changes):
    operators = ConcurrentOperators()
    for fault in changes:
      operators.change(fault)
    in_force = operators.read()
    generations = sorted(generation for generation, _ in operators.log)
    self.assertEqual(
        generations, list(range(1, in_force.config.generation + 1))
    )
    newest = dict(operators.log)[in_force.config.generation]
    declared = config.parse_config(newest, in_force.config.generation)
    self.assertEqual(in_force.config, declared)
    config_apply.tidy(operators.platform)
    listing = operators.platform.list_objects(config_parts.PART_PREFIX)
    self.assertEqual(
        len(listing.value_by_key), len(config_parts.list_parts(in_force.tree))
    )
