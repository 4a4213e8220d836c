"""Tests of the load of endpoints."""

import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records


class EngineLoadTest(unittest.TestCase):

  def setUp(self):
    self.load = engine_load.EngineLoad()
    self.engine = endpoint_registry_test.make_endpoint(
        'a', stage=gateway_records.Stage.PREFILL
    )

  def test_total_adds_hosts_and_drops_silent_ones(self):
    own = self.load.own(self.engine)
    own.count = 1
    own.tokens[1] = 1000
    peer = {'a': engine_load.Load(2, 0, 5000, 1)}
    self.load.update_peer('other', peer, 10.0)
    total = self.load.total(self.engine, 10.5)
    self.assertEqual(total, engine_load.Load(3, 0, 6000, 1))
    late = 10.0 + engine_load.PEER_TTL_S + 0.1
    self.assertEqual(self.load.total(self.engine, late).count, 1)

  def test_prefill_rate_ignores_short_queues(self):
    self.load.observe_prefill(self.engine, 1000, 1.0)
    self.assertEqual(
        self.load.own(self.engine).rate, engine_load.PREFILL_TOKENS_PER_S
    )
    for _ in range(200):
      self.load.observe_prefill(self.engine, 100_000, 0.508)
    self.assertAlmostEqual(
        self.load.own(self.engine).rate, 200_000, delta=2_000
    )

  def test_capacity_follows_refusals_and_accepted_requests(self):
    # A fixed capacity per slot overloads endpoints that accept fewer requests:
    # at 77 hosts, prefill engines with a capacity of 24 refused half of all
    # prompts.
    own = self.load.own(self.engine)
    initial = engine_load.CAPACITY_PER_SLOT * self.engine.slots
    own.count = initial - 1
    self.assertFalse(self.load.is_full(self.engine, 1.0))
    own.count = initial
    self.assertTrue(self.load.is_full(self.engine, 1.0))
    for _ in range(20):
      self.load.record_refused(self.engine, initial // 2)
    own.count = initial // 2 + 1
    self.assertTrue(self.load.is_full(self.engine, 1.0))
    for _ in range(20):
      self.load.record_accepted(self.engine, 2 * initial)
    own.count = 2 * initial - 1
    self.assertFalse(self.load.is_full(self.engine, 1.0))

  def test_refusal_above_the_known_capacity_changes_nothing(self):
    own = self.load.own(self.engine)
    known = own.capacity
    self.load.record_refused(self.engine, 10 * int(known))
    self.load.record_accepted(self.engine, 1)
    self.assertEqual(own.capacity, known)

  def test_capacity_is_at_least_the_number_of_slots(self):
    own = self.load.own(self.engine)
    for _ in range(50):
      self.load.record_refused(self.engine, 1)
    own.count = self.engine.slots - 1
    self.assertFalse(self.load.is_full(self.engine, 1.0))

  def test_silence_needs_a_pending_request(self):
    own = self.load.own(self.engine)
    self.assertFalse(self.load.is_silent(self.engine, 100.0))
    own.pending_since[1] = 100.0
    self.assertFalse(self.load.is_silent(self.engine, 100.3))
    self.assertTrue(self.load.is_silent(self.engine, 100.5))
    own.last_response_at = 100.4
    self.assertFalse(self.load.is_silent(self.engine, 100.5))

  def test_state_of_removed_endpoints_is_dropped_once_idle(self):
    own = self.load.own(self.engine)
    own.count = 1
    self.load.prune(set())
    self.assertIs(self.load.own(self.engine), own)
    own.count = 0
    self.load.prune(set())
    self.assertIsNot(self.load.own(self.engine), own)


if __name__ == '__main__':
  unittest.main()
