"""Tests of the load of endpoints."""

import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import pending_reads


class EngineLoadTest(unittest.TestCase):

  def setUp(self):
    self.load = engine_load.EngineLoad()
    self.engine = endpoint_registry_test.make_endpoint(
        'a', stage=gateway_records.Stage.PREFILL
    )

  def test_total_adds_hosts_and_drops_silent_ones(self):
    own = self.load.own(self.engine)
    own.count = 1
    read = pending_reads.PendingRead(1, 1000, 11.0, 12.0)
    own.reads.add(1, read)
    peer = {'a': engine_load.Load(2, 0, 5000, 1)}
    self.load.update_peer('other', peer, 10.0)
    total = self.load.total(self.engine, 10.5)
    self.assertEqual(total, engine_load.Load(3, 0, 6000, 1))
    late = 10.0 + engine_load.PEER_TTL_S + 0.1
    self.assertEqual(self.load.total(self.engine, late).count, 1)

  def test_time_to_prefill_follows_the_answers(self):
    for number in range(60):
      now = number / 10
      self.load.observe_prefill(self.engine, 5_000, 0.11, now)
      self.load.observe_prefill(self.engine, 20_000, 0.41, now)
    self.assertAlmostEqual(
        self.load.read_s(self.engine, 10_000, 6.0), 0.21, delta=0.01
    )

  def test_slow_engine_differs_from_those_like_it(self):
    slow = endpoint_registry_test.make_endpoint(
        'slow', stage=gateway_records.Stage.PREFILL
    )
    for number in range(100):
      now = number / 10
      self.load.observe_prefill(self.engine, 10_000, 0.1, now)
      self.load.observe_prefill(slow, 10_000, 0.3, now)
    self.assertGreater(
        self.load.read_s(slow, 10_000, 10.0),
        2 * self.load.read_s(self.engine, 10_000, 10.0),
    )

  def test_slow_engine_that_reads_a_prompt_is_not_silent(self):
    # 20,000 tokens take 0.4 s on engines that prefill 50,000 a second; they
    # were taken to be silent after 0.5 s.
    for number in range(30):
      self.load.observe_prefill(self.engine, 10_000, 0.22, number / 10)
    own = self.load.own(self.engine)
    own.reads.add(1, pending_reads.PendingRead(1, 40_000, 10.0, 10.8))
    own.pending_since[1] = 10.0
    self.assertFalse(self.load.is_silent(self.engine, 10.7))
    self.assertTrue(self.load.is_silent(self.engine, 14.0))

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


class LoadTest(unittest.TestCase):

  def test_prompts_that_are_being_read_are_no_streams(self):
    load = engine_load.Load(count=9, urgent_tokens=900, other_tokens=0)
    self.assertEqual((load.streams, load.fetches), (0, 0))
    beside = engine_load.Load(9, 900, 0, decoding=12)
    self.assertLessEqual(beside.streams, 3)
    self.assertLessEqual(beside.fetches, 12)


if __name__ == '__main__':
  unittest.main()
