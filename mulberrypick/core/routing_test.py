"""Tests of routing by predicted time, and of the load and cache behind it."""

import random
import unittest

from mulberrypick.core import cost
from mulberrypick.core import load
from mulberrypick.core import partition
from mulberrypick.core import prefix_cache
from mulberrypick.core import records
from mulberrypick.core import routing
from standins import answers

SPEEDS = cost.Speeds(4000.0, 0.02, 0.001, 8.0)


def make_load(name, zone='z1', **changes):
  """Returns an idle endpoint that has just sent a load report."""
  host = records.Host(
      name, zone, records.HOST_ENGINE, '127.0.0.1:1', '', '', 1,
      records.STATE_LIVE, True,
  )  # fmt: skip
  known = load.EndpointLoad(host)
  report = records.EngineReport(
      name, 1, records.ROLE_MIXED, ('m',), 0, 0, 2000, 2000, False, 4000.0,
      0.02, 0.0,
  )  # fmt: skip
  known.handle_report(report._replace(**changes), 0.0)
  return known


def make_sent(number, is_urgent=False, prefill=400, pieces=30):
  """Returns an attempt that this host has in flight."""
  return load.SentAttempt(
      f'r{number}/1', is_urgent, 0.5, prefill, pieces, prefill / 4000 / 50, 0.0
  )


def make_request(is_urgent=False, prompt=100, **changes):
  """Returns a routing request with an expected answer of 50 tokens."""
  request = routing.RoutingRequest(
      is_urgent, prompt, 50, 10, 0.1 if is_urgent else 0.2, 0.1,
      prompt / 4000 / 50, SPEEDS, 1, 1.0, None, (), (),
  )  # fmt: skip
  return request._replace(**changes)


def pick(request, loads, quiet=(), own_zone='z1', now=0.0):
  """Returns the name of the picked endpoint, or None."""
  for known in loads:
    known.is_quiet = known.name in quiet
  pool = load.Pool(
      loads,
      [known for known in loads if known.is_quiet],
      [known for known in loads if not known.is_quiet],
  )
  router = routing.PredictedTimeRouter()
  chosen = router.pick(request, pool, own_zone, now, random.Random(3))
  return chosen.name if chosen is not None else None


class TestPredictedTime(unittest.TestCase):

  def test_the_less_loaded_endpoint_is_chosen(self):
    busy, idle = make_load('busy', running=20), make_load('idle')
    self.assertEqual('idle', pick(make_request(), [busy, idle]))

  def test_own_work_counts_before_any_report_shows_it(self):
    first, second = make_load('first'), make_load('second')
    for number in range(5):
      first.add(make_sent(number, prefill=0))
    self.assertEqual('second', pick(make_request(), [first, second]))

  def test_the_own_zone_wins_among_equals(self):
    near, far = make_load('near'), make_load('far', zone='z2')
    for _ in range(10):
      self.assertEqual('near', pick(make_request(), [near, far]))

  def test_a_busy_own_zone_does_not(self):
    near, far = make_load('near', running=30), make_load('far', zone='z2')
    self.assertEqual('far', pick(make_request(), [near, far]))

  def test_nothing_is_chosen_when_memory_is_full(self):
    full = make_load('full', pieces_free=0, running=5)
    self.assertIsNone(pick(make_request(), [full]))

  def test_nothing_is_chosen_when_the_batch_would_exceed_its_target(self):
    large = make_load('large', running=200)
    self.assertIsNone(pick(make_request(), [large]))

  def test_an_idle_endpoint_is_chosen_even_above_the_targets(self):
    request = make_request(
        is_urgent=True, prompt=9000, strictest_between_tokens_s=0.001
    )
    self.assertEqual('idle', pick(request, [make_load('idle')]))

  def test_long_prompts_stay_off_quiet_endpoints(self):
    loads = [make_load('quiet'), make_load('bulk', running=3)]
    self.assertEqual('bulk', pick(make_request(prompt=3000), loads, ['quiet']))

  def test_urgent_work_goes_to_quiet_endpoints(self):
    loads = [make_load('quiet', running=5), make_load('bulk')]
    self.assertEqual('quiet', pick(make_request(True), loads, ['quiet']))

  def test_an_endpoint_in_backoff_or_excluded_is_left_out(self):
    in_backoff, failed = make_load('resting'), make_load('failed')
    in_backoff.back_off(5.0)
    request = make_request(excluded=('failed',))
    self.assertIsNone(pick(request, [in_backoff, failed], now=1.0))
    self.assertEqual('resting', pick(request, [in_backoff, failed], now=6.0))


class TestPrefix(unittest.TestCase):

  def test_a_cached_prefix_justifies_a_short_queue_but_not_a_long_one(self):
    warm, cold = make_load('warm', running=1), make_load('cold')
    request = make_request(prompt=3000, warm=((warm, 2800),))
    self.assertEqual('warm', pick(request, [warm, cold]))
    busy = make_load('busy', running=100)
    request = make_request(prompt=3000, warm=((busy, 2800),))
    self.assertEqual('cold', pick(request, [busy, cold]))

  def test_a_cached_prefix_justifies_queued_prefill_it_saves(self):
    warm, cold = make_load('warm'), make_load('cold')
    warm.add(make_sent(1, prefill=1200))
    request = make_request(prompt=3000, warm=((warm, 2800),))
    self.assertEqual('warm', pick(request, [warm, cold]))
    request = make_request(prompt=3000)
    self.assertEqual('cold', pick(request, [warm, cold]))

  def test_the_deepest_known_block_counts(self):
    cache = prefix_cache.PrefixCache()
    shared = ' '.join(f'w{number}' for number in range(64))
    first = prefix_cache.hash_blocks('m', '', shared + ' a' * 32)
    second = prefix_cache.hash_blocks('m', '', shared + ' b' * 32)
    self.assertEqual(6, len(first))
    self.assertEqual(first[:4], second[:4])
    cache.store('e1', first)
    self.assertEqual({'e1': 64}, cache.find(second))
    self.assertEqual({'e1': 96}, cache.find(first))
    cache.evict('e1', first)
    self.assertEqual({}, cache.find(second))

  def test_hashes_are_those_of_the_engines(self):
    prompt = ' '.join(f'w{number}' for number in range(40))
    expected = answers.block_hashes('m', 'x', prompt.split(), 16)
    self.assertEqual(
        tuple(expected), prefix_cache.hash_blocks('m', 'x', prompt)
    )

  def test_memory_is_bounded(self):
    cache = prefix_cache.PrefixCache(max_entries=10)
    cache.store('e1', range(100))
    self.assertEqual(10, len(cache))


class TestOtherLoad(unittest.TestCase):

  def test_own_load_is_subtracted_from_a_report(self):
    known = make_load('e')
    known.add(make_sent(1, prefill=0, pieces=30))
    known.record_first_token('r1/1')
    report = known.report._replace(running=3, pieces_free=1900, age_s=0.0)
    known.handle_report(report, 1.0)
    other_load = known.other_load(1.0)
    self.assertEqual(2, other_load.running)
    self.assertEqual(70, other_load.pieces)

  def test_a_late_report_includes_attempts_that_ended_since(self):
    known = make_load('e')
    known.add(make_sent(1, prefill=0))
    known.record_first_token('r1/1')
    known.remove('r1/1', 2.0)
    report = known.report._replace(running=1, age_s=3.0)
    known.handle_report(report, 4.0)
    self.assertEqual(0, known.other_load(4.0).running)

  def test_a_report_without_waiting_prompts_ends_prefills(self):
    known = make_load('e')
    known.add(make_sent(1, prefill=400))
    known.handle_report(known.report._replace(running=1), 0.1)
    self.assertEqual(400, known.prefill_sent)
    known.handle_report(known.report._replace(running=1), 5.0)
    self.assertEqual(0, known.prefill_sent)

  def test_an_older_report_changes_nothing(self):
    known = make_load('e')
    known.handle_report(known.report._replace(running=9), 5.0)
    self.assertFalse(
        known.handle_report(known.report._replace(running=1, age_s=3.0), 6.0)
    )
    self.assertEqual(9, known.other_load(5.0).running)

  def test_other_load_decays_with_the_age_of_the_report(self):
    known = make_load('e', running=10)
    self.assertLess(known.other_load(8.0).running, 2.0)


class TestPartition(unittest.TestCase):

  def test_the_order_alternates_zones_and_ignores_the_input_order(self):
    zone_by_name = {f'e{number}': f'z{number % 3}' for number in range(9)}
    ordered = partition.order_by_hash(zone_by_name)
    self.assertEqual(3, len({zone_by_name[name] for name in ordered[:3]}))
    turned = dict(reversed(zone_by_name.items()))
    self.assertEqual(ordered, partition.order_by_hash(turned))

  def test_the_size_follows_urgent_demand_and_keeps_the_reserve(self):
    little = partition.Demand(0.5, 8.0, 0.3)
    self.assertEqual(1, partition.size(12, little, 0))
    flood = partition.Demand(50.0, 8.0, 0.3)
    self.assertEqual(8, partition.size(12, flood, 1))
    self.assertEqual(0, partition.size(12, partition.Demand(0, 8, 0), 3))

  def test_small_changes_leave_the_size_alone(self):
    present = partition.size(12, partition.Demand(2.0, 5.0, 0.3), 0)
    wanted = partition.size(12, partition.Demand(1.6, 5.0, 0.3), present)
    self.assertEqual(present, wanted)


if __name__ == '__main__':
  unittest.main()
