"""Tests of request placement, some with a simulated load."""

import math
import random
import unittest

from mulberrypick.core import endpoint_limits
from mulberrypick.core import endpoint_registry
from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import engine_load
from mulberrypick.core import engine_models
from mulberrypick.core import gateway_records
from mulberrypick.core import pending_reads
from mulberrypick.core import permits
from mulberrypick.core import placements
from mulberrypick.core import request_placement
from mulberrypick.core import route_table_test

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE
ENGINE = gateway_records.Service('s', 90, 1_700_000, 64)
PLAIN = gateway_records.Service('s', 90, 0, 0)
Part = gateway_records.PromptPart


def make_call(number: int, now: float, **changes) -> gateway_records.Call:
  route = route_table_test.make_route(
      '/read/',
      kind=gateway_records.CallKind.STREAM,
      rank=2,
      target_s=0.3,
      timeout_s=2.0,
      attempts=1,
  )
  own = changes.pop('own', 2900)
  shared = changes.pop('shared', f'book{number % 50}')
  parts = (Part('all', 2500), Part(shared, 3800), Part(f'own{number}', own))
  call = gateway_records.Call(
      id=f'r{number}',
      route=route,
      service='s',
      parts=parts,
      prompt_tokens=6300 + own,
      output_tokens=300,
      fingerprint=number,
      arrived_at=now,
      deadline_at=now + 2.0,
  )
  return call._replace(**changes)


class PlacementCase(unittest.TestCase):

  def setUp(self):
    self.registry = endpoint_registry.EndpointRegistry()
    self.load = engine_load.EngineLoad()
    self.limits = endpoint_limits.EndpointLimits()
    self.permits = permits.Permits(self.limits, random.Random(1))
    self.placer = request_placement.Placer(
        self.registry, self.load, random.Random(1), self.permits
    )

  def list_engines(self, **stage_by_name):
    endpoints = []
    for name, stage in stage_by_name.items():
      endpoints.append(
          endpoint_registry_test.make_endpoint(name, stage=stage, slots=64)
      )
    self.registry.replace_all(endpoints, 0.0)
    self.teach_speeds(endpoints)
    return {endpoint.name: endpoint for endpoint in endpoints}

  def teach_speeds(self, endpoints):
    """Shows engines that prefill 400,000 tokens a second, or half as many."""
    for endpoint in endpoints:
      slowdown = 2.0 if endpoint.stage is DECODE else 1.0
      for tokens in (2_000, 10_000, 50_000) * 30:
        took_s = 0.008 + slowdown * tokens / 400_000
        self.load.observe_prefill(endpoint, tokens, took_s, 0.0)

  def add_waiting_tokens(self, endpoint, tokens: int, rank: int = 1):
    read = pending_reads.PendingRead(rank, tokens, math.inf, math.inf)
    self.load.own(endpoint).reads.add(len(endpoint.name), read)


class EngineTest(PlacementCase):

  def test_prompt_goes_to_the_engine_that_has_its_parts_cached(self):
    engines = self.list_engines(p1=PREFILL, p2=PREFILL, d1=DECODE)
    cache = self.load.own(engines['p2']).cache
    cache.store('all', 2500, 0.0)
    cache.store('book1', 3800, 0.0)
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(placement.prefiller.name, 'p2')
    self.assertEqual(placement.tokens, 2900)

  def test_engine_with_cached_parts_is_avoided_when_overloaded(self):
    engines = self.list_engines(p1=PREFILL, p2=PREFILL, d1=DECODE)
    cache = self.load.own(engines['p2']).cache
    cache.store('all', 2500, 0.0)
    cache.store('book1', 3800, 0.0)
    self.add_waiting_tokens(engines['p2'], 100_000)
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(placement.prefiller.name, 'p1')

  def test_full_prefill_engine_is_avoided_and_all_full_refuse(self):
    engines = self.list_engines(p1=PREFILL, p2=PREFILL, d1=DECODE)
    for name in ('p1', 'p2'):
      self.load.own(engines[name]).capacity = 100
      self.load.own(engines[name]).count = 100
    self.load.own(engines['p2']).count = 90
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(placement.prefiller.name, 'p2')
    self.load.own(engines['p2']).count = 100
    refused = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(refused.reason, 'full')
    self.assertGreater(refused.retry_after_s, 0)

  def test_short_answers_do_not_reserve_all_engines_for_decoding(self):
    # Fails if short answers count as long streams: at 77 hosts, 57 such
    # requests in flight reserved all 13 engines for decoding, so that five
    # prefill engines got all the prompts.
    stages = dict.fromkeys([f'd{number:02}' for number in range(13)], DECODE)
    engines = self.list_engines(p1=PREFILL, **stages)
    self.add_waiting_tokens(engines['p1'], 60_000)
    call = make_call(1, 0.0)
    quarters = placements.decode_slot_quarters(call, True)
    for name in stages:
      # With 64 slots an engine counts as filled by 38 long streams.
      self.load.own(engines[name]).decoding = 40 * quarters
    placement = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertIsNone(placement.prefiller)
    long_call = call._replace(output_tokens=placements.LONG_OUTPUT_TOKENS)
    self.assertEqual(
        placements.decode_slot_quarters(long_call, True),
        placements.QUARTERS_PER_SLOT,
    )
    for name in stages:
      self.load.own(engines[name]).decoding = 40 * placements.QUARTERS_PER_SLOT
    placement = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertIsNotNone(placement.prefiller)

  def test_affinity_spread_distributes_requests(self):
    # Without a spread, hosts that learn of each other's load late choose the
    # same engine: 77 hosts sent all prompts of a period of 70 ms to one
    # prefill engine.
    names = [f'p{number}' for number in range(6)]
    engines = self.list_engines(d1=DECODE, **{name: PREFILL for name in names})
    for name in names[1:]:
      self.add_waiting_tokens(engines[name], 4_000)

    def most() -> int:
      count_by_name = dict.fromkeys(names, 0)
      for number in range(60):
        placement = self.placer.place(
            make_call(number, 0.0), ENGINE, set(), 0.0
        )
        count_by_name[placement.prefiller.name] += 1
      return max(count_by_name.values())

    self.assertGreater(most(), 50)
    self.placer.affinity_spread_s = 0.07
    self.assertLess(most(), 25)

  def test_flood_overflows_to_some_decode_engines_only(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE, d2=DECODE)
    self.add_waiting_tokens(engines['p1'], 60_000)
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertIsNone(placement.prefiller)
    self.assertEqual(placement.endpoint.name, 'd2')

  def test_last_decode_engine_prefills_no_less_urgent_prompt(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    self.add_waiting_tokens(engines['p1'], 60_000)
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(placement.prefiller.name, 'p1')

  def test_late_request_is_refused_with_retry_after(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    self.add_waiting_tokens(engines['p1'], 400_000)
    refused = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(refused.reason, 'too_late')
    self.assertGreater(refused.retry_after_s, 0.1)
    self.assertLessEqual(refused.retry_after_s, 2.0 / 3)

  def test_urgent_request_overtakes_what_waits_for_a_slot(self):
    # Engines prefill what has a slot in turn, whatever its rank: with free
    # slots, urgent requests took as long as others behind the same tokens.
    engines = self.list_engines(p1=PREFILL, d1=DECODE, d2=DECODE)
    for engine in engines.values():
      self.add_waiting_tokens(engine, 400_000)
      self.load.own(engine).count = 200 * engine.slots
    route = make_call(1, 0.0).route._replace(rank=0, target_s=0.1)
    call = make_call(
        1, 0.0, own=140, route=route, output_tokens=12000
    )._replace(parts=(Part('q', 140),), prompt_tokens=140)
    placement = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertIsInstance(placement, placements.Placement)
    self.assertEqual(placement.endpoint.name, 'd1')

  def test_prompt_that_is_late_anywhere_is_sent_if_engines_are_free(self):
    # It does not get faster by coming back. On engines that prefill 30,000
    # tokens a second, 17 of 147 long prompts of a calm day were refused.
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    call = make_call(1, 0.0, own=300_000)
    placement = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertIsInstance(placement, placements.Placement)
    self.assertGreater(placement.predicted_s, call.route.target_s)
    self.add_waiting_tokens(engines['p1'], 100_000)
    refused = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertEqual(refused.reason, 'too_late')

  def test_nothing_is_refused_as_late_before_the_speed_is_known(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    self.load.models = engine_models.EngineModels()
    for engine in engines.values():
      self.add_waiting_tokens(engine, 150_000)
    placement = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertIsInstance(placement, placements.Placement)

  def count_admitted(self, speeds: engine_models.SpeedsByModel) -> int:
    """Returns how many of 60 prompts that come at once are sent."""
    self.setUp()
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    self.load.models = engine_models.EngineModels()
    self.load.models.adopt_speeds(speeds)
    admitted = 0
    tokens_by_engine = dict.fromkeys(engines, 0)
    for number in range(60):
      call = make_call(number, 0.0, own=10_000)
      placement = self.placer.place(call, ENGINE, set(), 0.0)
      if isinstance(placement, placements.Refusal):
        continue
      admitted += 1
      engine = placement.prefiller or placement.endpoint
      tokens_by_engine[engine.name] += placement.tokens
      self.add_waiting_tokens(engine, tokens_by_engine[engine.name])
    return admitted

  def test_flood_after_a_restart_of_all_hosts_if_speeds_were_kept(self):
    # Load pattern: nobody has seen an answer, and all callers come at once. The
    # engines can prefill one prompt within the target.
    software = endpoint_registry_test.make_endpoint('p1').software
    kept = {
        f'{work}/{software}/s': (0.005, 1 / 50_000)
        for work in ('read', 'read_on_decoder')
    }
    self.assertEqual(self.count_admitted({}), 60)
    self.assertLess(self.count_admitted(kept), 6)

  def test_refused_request_comes_back_when_the_queue_is_read(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    for engine in engines.values():
      self.add_waiting_tokens(engine, 150_000)
    refused = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertGreater(refused.retry_after_s, 0.8 * 150_000 / 400_000)

  def test_long_prompt_is_not_sent_to_an_engine_that_takes_twice_as_long(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE, d2=DECODE)
    call = make_call(1, 0.0, own=20_000)
    self.add_waiting_tokens(engines['p1'], 40_000)
    placement = self.placer.place(call, ENGINE, set(), 0.0)
    self.assertEqual(placement.prefiller.name, 'p1')

  def test_short_prompts_are_spread_if_tokens_take_no_time(self):
    # Fails if only tokens tell the load of engines: where prompts are short or
    # cached they take a fixed time, and the first engine got all requests.
    engines = self.list_engines(d1=DECODE, d2=DECODE, d3=DECODE)
    for engine in engines.values():
      for number in range(200):
        self.load.observe_prefill(engine, 60 + number % 5 * 20, 0.028, 0.0)
    taken = dict.fromkeys(engines, 0)
    for number in range(30):
      call = make_call(number, 0.0, parts=(Part(f'own{number}', 100),))
      call = call._replace(prompt_tokens=100)
      placement = self.placer.place(call, ENGINE, set(), 0.0)
      taken[placement.endpoint.name] += 1
      self.load.own(placement.endpoint).count += 1
    self.assertLessEqual(max(taken.values()), 20, taken)

  def test_decode_engine_is_chosen_by_its_load_after_the_prefill(self):
    engines = self.list_engines(p1=PREFILL, d1=DECODE, d2=DECODE)
    self.load.own(engines['d1']).decoding = 200
    call = make_call(1, 0.0)
    chosen = {}
    for busy, idle in (('d1', 'd2'), ('d2', 'd1')):
      self.load.own(engines[busy]).count = 30
      self.load.own(engines[idle]).count = 0
      chosen[busy] = self.placer.choose_decoder(
          call, set(), 0.0, engines['p1']
      ).name
    self.assertEqual(chosen, {'d1': 'd2', 'd2': 'd1'})

  def test_kv_cache_goes_to_a_decode_engine_of_the_same_zone(self):
    # Load pattern: calm, so that the transfer between zones, which takes twice
    # as long, is what tells the decode engines apart.
    self.load.models.configure([ENGINE._replace(kv_transfer_token_s=1e-6)])
    engines = {}
    for name, stage, zone in (
        ('p1', PREFILL, 'b'),
        ('d1', DECODE, 'a'),
        ('d2', DECODE, 'b'),
    ):
      engines[name] = endpoint_registry_test.make_endpoint(
          name, stage=stage, zone=zone, slots=64
      )
    self.registry.replace_all(list(engines.values()), 0.0)
    for name in ('d1', 'd2'):
      self.load.own(engines[name]).decoding = 200
    call = make_call(1, 0.0)

    def choose() -> str:
      return self.placer.choose_decoder(call, set(), 0.0, engines['p1']).name

    self.assertEqual(choose(), 'd2')
    self.load.own(engines['d2']).count = 5
    self.assertEqual(choose(), 'd2')
    self.load.own(engines['d2']).count = 40
    self.assertEqual(choose(), 'd1')

  def test_urgent_prompt_does_not_wait_for_less_urgent_ones(self):
    # Load pattern: long prompts of rank 2 take all engines that prefill for
    # longer than the urgent target of 0.2 s.
    engines = self.list_engines(p1=PREFILL, d1=DECODE, d2=DECODE)
    for name in ('p1', 'd2'):
      self.add_waiting_tokens(engines[name], 100_000)
    call = make_call(1, 0.0, own=1_000, shared='all')
    route = call.route._replace(rank=0, target_s=0.2)
    urgent = call._replace(route=route, parts=call.parts[-1:])
    placed = self.placer.place(urgent, ENGINE, set(), 0.0)
    self.assertIsInstance(placed, placements.Placement)
    self.assertEqual((placed.endpoint.name, placed.prefiller), ('d1', None))
    less_urgent = urgent._replace(route=route._replace(rank=1))
    waiting = self.placer.place(less_urgent, ENGINE, set(), 0.0)
    self.assertEqual(waiting.prefiller.name, 'p1')

  def test_without_decode_engine_all_is_refused(self):
    self.list_engines(p1=PREFILL)
    refused = self.placer.place(make_call(1, 0.0), ENGINE, set(), 0.0)
    self.assertEqual(refused.reason, 'no_decode_endpoint')

  def simulate_flood(self, per_s: int) -> tuple[int, int, list[float]]:
    """Simulates prompts for two seconds; the engine prefills 400,000 tokens/s.

    Returns:
      Prompts sent, prompts refused, and the times to the first event.
    """
    engines = self.list_engines(p1=PREFILL, d1=DECODE)
    own = self.load.own(engines['p1'])
    free_at, queue = 0.0, []
    times, refused = [], 0
    for number in range(2 * per_s):
      now = number / per_s
      while queue and queue[0][0] <= now:
        own.reads.remove(queue.pop(0)[1])
      found = self.placer.place(make_call(number, now), ENGINE, set(), now)
      if isinstance(found, placements.Refusal):
        refused += 1
        continue
      for part in make_call(number, now).parts:
        own.cache.store(part.key, part.tokens, 0.0)
      free_at = max(now, free_at) + found.tokens / 400_000
      call = make_call(number, now)
      own.reads.add(number, placements.make_read(call, found, now))
      queue.append((free_at, number))
      times.append(free_at - now)
    return len(times), refused, times

  def test_flood_is_served_in_time_or_refused(self):
    sent, refused, times = self.simulate_flood(300)
    self.assertGreater(refused, 0)
    # The engine prefills 400,000 tokens/s; a prompt has 2,900 that are not
    # shared.
    self.assertGreater(sent, 0.8 * 2 * 400_000 / 2900)
    self.assertLess(max(times), 0.3)

  def test_low_load_is_served_completely(self):
    _, refused, times = self.simulate_flood(50)
    self.assertEqual(refused, 0)
    self.assertLess(max(times), 0.1)


class PlainTest(PlacementCase):

  def make_plain(self) -> gateway_records.Call:
    route = route_table_test.make_route('/a/')
    return make_call(1, 0.0)._replace(route=route, parts=())

  def list_plain(self, *names: str):
    self.registry.replace_all(
        [endpoint_registry_test.make_endpoint(name) for name in names], 0.0
    )

  def test_least_loaded_endpoint_is_chosen(self):
    self.list_plain('a', 'b')
    self.load.update_peer('other', {'a': engine_load.Load(4, 0, 0)}, 0.0)
    for _ in range(10):
      placement = self.placer.place(self.make_plain(), PLAIN, set(), 0.0)
      self.assertEqual(placement.endpoint.name, 'b')

  def test_endpoint_that_fails_is_avoided(self):
    self.list_plain('a', 'b')
    self.registry.record_failure(endpoint_registry_test.make_endpoint('a'), 0.0)
    for _ in range(10):
      placement = self.placer.place(self.make_plain(), PLAIN, set(), 0.0)
      self.assertEqual(placement.endpoint.name, 'b')

  def test_full_service_refuses_at_once(self):
    self.list_plain('a')
    self.load.update_peer('other', {'a': engine_load.Load(400, 0, 0)}, 0.0)
    refused = self.placer.place(self.make_plain(), PLAIN, set(), 0.0)
    self.assertEqual(refused.reason, 'too_late')

  def test_service_without_endpoints_refuses(self):
    refused = self.placer.place(self.make_plain(), PLAIN, set(), 0.0)
    self.assertEqual(refused.reason, 'no_endpoint')


if __name__ == '__main__':
  unittest.main()
