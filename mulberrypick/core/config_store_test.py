"""Tests for the configuration store of a process.

The store must only adopt newer and complete generations, and become ready only
with the newest announced generation.
"""

import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mulberrypick.core import config
from mulberrypick.core import config_parts
from mulberrypick.core import config_store
from mulberrypick.core import config_test
from mulberrypick.core import errors
from mulberrypick.core import records

FUZZ_EXAMPLES = int(os.environ.get('MULBERRYPICK_FUZZ_EXAMPLES', '60'))
PROCESSES = 3


def make_config(tenants: int, version: int) -> records.Config:
  """Returns a configuration with some tenants and a distinguishing version."""
  parsed = config.parse_config(config_test.TEXT, 0)
  model = parsed.model_by_name['small']._replace(version=str(version))
  drivers = parsed.tenant_by_name['drivers']
  tenant_by_name = {}
  for number in range(tenants):
    name = f'tenant-{number}'
    share = (1 + version % 2 * (number == 0)) / (2 * tenants)
    tenant_by_name[name] = drivers._replace(name=name, share=share)
  return parsed._replace(
      model_by_name={'small': model}, tenant_by_name=tenant_by_name
  )


def make_tree(
    old: config_parts.Tree, tenants: int, version: int
) -> config_parts.Tree:
  acceptance = config_parts.Acceptance(
      old.head.generation + 1, 'ana', f'nonce-{version}'
  )
  return config_parts.build_tree(make_config(tenants, version), acceptance, old)


class TestStore(unittest.TestCase):

  def setUp(self):
    self.first = make_tree(config_parts.EMPTY_TREE, 5, 1)
    self.second = make_tree(self.first, 5, 2)
    self.store = config_store.ConfigStore()

  def test_older_and_equal_generations_are_ignored(self):
    self.assertIsNotNone(self.store.adopt(*self.second))
    self.assertIsNone(self.store.adopt(*self.first))
    self.assertIsNone(self.store.adopt(*self.second))
    self.assertEqual(self.store.generation, 2)

  def test_a_part_that_is_missing_or_damaged_is_refused(self):
    name = self.first.head.fleet
    missing = dict(self.first.part_by_name)
    del missing[name]
    damaged = {**self.first.part_by_name, name: b'[[],[],[]]'}
    for part_by_name in (missing, damaged):
      with self.assertRaises(errors.ConfigError):
        self.store.adopt(self.first.head, part_by_name)
    self.assertEqual(self.store.generation, 0)

  def test_not_ready_before_any_announcement(self):
    self.assertFalse(self.store.update_readiness())
    self.store.record_generation('platform_read', 0)
    self.assertTrue(self.store.update_readiness())

  def test_not_ready_below_the_newest_announced_generation(self):
    self.store.record_generation('platform_read', 1)
    self.store.record_generation('peer_told', 2)
    self.store.adopt(*self.first)
    self.assertFalse(self.store.update_readiness())
    self.store.adopt(*self.second)
    self.assertTrue(self.store.update_readiness())

  def test_many_tenants_round_trip(self):
    for tenants in (0, 1, 31, 49, 1000, 3000, 100):
      with self.subTest(tenants=tenants):
        tree = make_tree(self.store.snapshot.tree, tenants, 1)
        adopted = self.store.adopt(*tree)
        wanted = make_config(tenants, 1)
        self.assertEqual(adopted, wanted._replace(generation=tree.head[0]))
        largest = max(map(len, tree.part_by_name.values()))
        self.assertLess(largest, 1_000_000)


class ConfigSpreadMachine(stateful.RuleBasedStateMachine):
  """Delivers changes to processes in any order, with losses and restarts.

  The expected configurations are those in `accepted`, indexed by generation.
  """

  def __init__(self):
    super().__init__()
    self.trees = [config_parts.EMPTY_TREE]
    self.accepted = [records.EMPTY_CONFIG]
    self.stores = [config_store.ConfigStore() for _ in range(PROCESSES)]
    self.min_generations = [0] * PROCESSES
    self.newest_announced = [None] * PROCESSES

  @stateful.rule(
      tenants=strategies.sampled_from([0, 1, 30, 60, 200]),
      version=strategies.integers(0, 3),
  )
  def accept(self, tenants, version):
    tree = make_tree(self.trees[-1], tenants, version)
    self.trees.append(tree)
    self.accepted.append(
        make_config(tenants, version)._replace(generation=len(self.trees) - 1)
    )

  @stateful.rule(
      to=strategies.integers(0, PROCESSES - 1),
      back=strategies.integers(0, 3),
      is_platform=strategies.booleans(),
  )
  def deliver(self, to, back, is_platform):
    tree = self.trees[max(0, len(self.trees) - 1 - back)]
    store = self.stores[to]
    event = 'platform_read' if is_platform else 'peer_told'
    self.announce(to, event, tree.head.generation)
    store.adopt(*tree)
    store.update_readiness()

  def announce(self, to, event, generation):
    self.stores[to].record_generation(event, generation)
    if not self.stores[to].is_ready:
      self.newest_announced[to] = max(
          self.newest_announced[to] or 0, generation
      )

  @stateful.rule(
      to=strategies.integers(0, PROCESSES - 1), data=strategies.data()
  )
  def deliver_with_a_damaged_part(self, to, data):
    tree = self.trees[-1]
    names = sorted(tree.part_by_name)
    store = self.stores[to]
    lost = [n for n in names if store.find(n) is None]
    if not lost:
      return
    name = data.draw(strategies.sampled_from(lost))
    parts = {**tree.part_by_name, name: b'damaged'}
    self.announce(to, 'peer_told', tree.head.generation)
    is_refused = False
    try:
      store.adopt(tree.head, parts)
    except errors.ConfigError:
      is_refused = True
    assert is_refused == (tree.head.generation > store.generation)
    store.update_readiness()

  @stateful.rule(to=strategies.integers(0, PROCESSES - 1))
  def restart(self, to):
    self.stores[to] = config_store.ConfigStore()
    self.min_generations[to] = 0
    self.newest_announced[to] = None

  @stateful.invariant()
  def only_newer_and_complete(self):
    for number, store in enumerate(self.stores):
      generation = store.generation
      assert generation >= self.min_generations[number]
      assert store.snapshot.config == self.accepted[generation]
      self.min_generations[number] = generation

  @stateful.invariant()
  def ready_only_with_the_newest_announced(self):
    for number, store in enumerate(self.stores):
      if store.is_ready:
        assert store.generation >= self.newest_announced[number]


TestConfigSpread = ConfigSpreadMachine.TestCase
TestConfigSpread.settings = hypothesis.settings(
    derandomize='MULBERRYPICK_FUZZ_EXAMPLES' not in os.environ,
    deadline=None,
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=30,
)
