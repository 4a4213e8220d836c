"""Tests of the decode load that engines take, with links that get full."""

import random
import unittest

from mulberrypick.core import endpoint_limits
from mulberrypick.core import endpoint_registry
from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import engine_load
from mulberrypick.core import fetch_load
from mulberrypick.core import gateway_records
from mulberrypick.core import permits
from mulberrypick.core import placements
from mulberrypick.core import request_placement
from mulberrypick.core import request_placement_test

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE
# A link that transfers the KV cache of a token, 164 KB, at 1,500 Gbit/s.
TOKEN_S = 164e3 * 8 / 1.5e12
SERVICE = gateway_records.Service('s', 90, 433_000, 64, TOKEN_S)
# Prompts that are prefilled a second, their size, and the time to decode.
PROMPTS_PER_S = 110
PROMPT_TOKENS = 17_000
DECODE_S = 0.2


class LinkPlay:
  """Decode engines that fetch one KV cache after the other."""

  def __init__(self, decoders: int, token_s: float):
    registry = endpoint_registry.EndpointRegistry()
    self.load = engine_load.EngineLoad()
    self.load.models.configure([SERVICE._replace(kv_transfer_token_s=token_s)])
    rng = random.Random(1)
    self.placer = request_placement.Placer(
        registry,
        self.load,
        rng,
        permits.Permits(endpoint_limits.EndpointLimits(), rng),
    )
    make = endpoint_registry_test.make_endpoint
    engines = [make('prefill', stage=PREFILL)]
    for number in range(decoders):
      engines.append(make(f'd{number:02}', stage=DECODE, slots=64))
    registry.replace_all(engines, 0.0)
    self.prefiller = engines[0]
    self.link_free_at = {engine.name: 0.0 for engine in engines}
    self.fetch_waits_s: list[float] = []
    self.used: set[str] = set()
    self._ends: list[tuple[float, gateway_records.Endpoint]] = []

  def run(self, seconds: float, per_s: int) -> None:
    for number in range(int(seconds * per_s)):
      now = number / per_s
      self._end_until(now)
      call = request_placement_test.make_call(
          number, now, own=PROMPT_TOKENS - 6_300, output_tokens=500
      )
      chosen = self.placer.choose_decoder(call, set(), now, self.prefiller)
      self.load.own(chosen).count += 1
      self.load.own(chosen).decoding += placements.decode_slot_quarters(
          call, True
      )
      took_s = self.load.models.transfer_s(
          self.prefiller, chosen, call.prompt_tokens
      )
      begins_at = max(now, self.link_free_at[chosen.name])
      self.link_free_at[chosen.name] = begins_at + took_s
      self.fetch_waits_s.append(begins_at + took_s - now)
      self.used.add(chosen.name)
      self._ends.append((begins_at + took_s + DECODE_S, chosen))

  def _end_until(self, now: float) -> None:
    left = []
    for ends_at, endpoint in self._ends:
      if ends_at > now:
        left.append((ends_at, endpoint))
        continue
      self.load.own(endpoint).count -= 1
      self.load.own(endpoint).decoding -= 1
    self._ends = left


class LinkTest(unittest.TestCase):

  def test_prompts_are_fetched_in_time_although_links_are_slow(self):
    # 110 prompts a second are more than one link transfers. By slots alone, one
    # in a hundred took 0.70 s to fetch.
    play = LinkPlay(28, TOKEN_S)
    play.run(10.0, PROMPTS_PER_S)
    ordered = sorted(play.fetch_waits_s)
    self.assertLess(ordered[int(0.99 * len(ordered))], 0.25 * 0.3)
    # The others are left to prefill.
    self.assertLess(len(play.used), 14)

  def test_fast_links_need_no_more_engines_than_the_slots(self):
    play = LinkPlay(28, TOKEN_S / 100)
    play.run(10.0, PROMPTS_PER_S)
    self.assertEqual(len(play.used), 1)

  def test_few_engines_share_the_links_that_there_are(self):
    play = LinkPlay(3, TOKEN_S)
    play.run(10.0, PROMPTS_PER_S)
    self.assertEqual(len(play.used), 3)
    self.assertLess(max(play.fetch_waits_s), 0.3)


class CapacityTest(unittest.TestCase):

  def setUp(self):
    self.engine = endpoint_registry_test.make_endpoint(
        'd', stage=DECODE, slots=64
    )
    self.load = engine_load.EngineLoad()
    self.fetches = fetch_load.FetchLoad(self.load.models)

  def record(self, tokens: int, target_s: float) -> None:
    call = request_placement_test.make_call(1, 0.0, prompt_tokens=tokens)
    route = call.route._replace(target_s=target_s)
    self.fetches.record(call._replace(route=route), self.engine, self.engine)

  def test_slots_bind_without_samples_and_without_transfer_times(self):
    self.assertAlmostEqual(self.fetches.capacity(self.engine), 0.6 * 4 * 64)
    self.assertEqual(self.fetches.max_fetches(self.engine), float('inf'))
    self.record(17_000, 0.3)
    self.assertEqual(self.fetches.max_fetches(self.engine), float('inf'))
    self.assertEqual(self.fetches.wait_s(self.engine, 5), 0.0)

  def test_link_binds_if_it_is_slow(self):
    self.load.models.configure([SERVICE._replace(kv_transfer_token_s=1e-6)])
    self.record(20_000, 0.8)
    self.assertAlmostEqual(self.fetches.max_fetches(self.engine), 10.0)
    self.assertAlmostEqual(self.fetches.wait_s(self.engine, 5), 0.1)

  def test_absurd_values_leave_one_request_an_engine(self):
    self.load.models.configure([SERVICE._replace(kv_transfer_token_s=1.0)])
    self.record(1_000_000, 0.0)
    self.assertEqual(self.fetches.max_fetches(self.engine), 1.0)

  def test_links_and_slots_each_count_what_uses_them(self):
    # Guards against long streams that are spread over all engines: each counted
    # as four fetches, so that no engine was left to prefill.
    self.load.models.configure([SERVICE._replace(kv_transfer_token_s=1e-6)])
    self.record(20_000, 0.8)
    engines = [self.engine] * 4

    def count(streams: int, fetches: int) -> int:
      load = engine_load.Load(streams + fetches, 0, 0, 4 * streams + fetches)
      self.assertEqual((load.streams, load.fetches), (streams, fetches))
      idle = engine_load.Load(0, 0, 0)
      return self.fetches.count_decoders(engines, [load, idle, idle, idle])

    self.assertEqual(count(0, 0), 1)
    self.assertEqual(count(30, 0), 1)
    self.assertEqual(count(30, 8), 1)
    self.assertEqual(count(50, 8), 2)
    self.assertEqual(count(30, 25), 3)


if __name__ == '__main__':
  unittest.main()
