"""Tests of where long streams go, and what is kept off their engines."""

import unittest

from mulberrypick.core import placements
from mulberrypick.core import request_placement_test
from mulberrypick.core import stream_outlook

DECODE = request_placement_test.DECODE
ENGINE = request_placement_test.ENGINE
PREFILL = request_placement_test.PREFILL
GAP_S = 0.15
EVENT_S = 0.035
TOKENS_PER_EVENT = 67


class StreamPlacementCase(request_placement_test.PlacementCase):

  def setUp(self):
    super().setUp()
    self.engines = self.list_engines(
        p1=PREFILL, d1=DECODE, d2=DECODE, d3=DECODE
    )
    stream = self.make_stream(0)
    self.placer.outlook.record_call(stream)
    for _ in range(20):
      self.placer.outlook.record_end(stream, 6_000 // TOKENS_PER_EVENT)
    self.taught_at = -8.0
    self.teach_events()

  def teach_events(self, **factor_by_name: float):
    """Shows events of all engines, some by a factor slower."""
    for number in range(40):
      for name, engine in self.engines.items():
        took_s = factor_by_name.get(name, 1) * EVENT_S
        self.load.observe_event(engine, took_s, self.taught_at + number / 10)
    self.taught_at += 4.0

  def make_stream(self, number: int, tokens: int = 6_000, rank: int = 2):
    call = request_placement_test.make_call(number, 0.0)
    route = call.route._replace(
        rank=rank, target_s=0.4, timeout_s=15.0, gap_s=GAP_S
    )
    part = request_placement_test.Part(f'q{number}', 160)
    return call._replace(
        route=route,
        parts=(part,),
        prompt_tokens=160,
        output_tokens=tokens,
        deadline_at=15.0,
    )

  def make_prompt(self, rank: int = 0):
    call = request_placement_test.make_call(1, 0.0)
    route = call.route._replace(rank=rank, target_s=0.15, gap_s=GAP_S)
    return call._replace(route=route, output_tokens=100)

  def place(self, call):
    return self.placer.place(call, ENGINE, set(), 0.0)


class LongStreamTest(StreamPlacementCase):

  def test_streams_of_any_rank_share_the_fewest_engines(self):
    for rank in (0, 2, 5):
      for number in range(30):
        call = self.make_stream(number, rank=rank)
        placed = self.place(call)
        self.assertEqual(placed.endpoint.name, 'd1', rank)
        own = self.load.own(placed.endpoint)
        own.count += 1
        own.decoding += placements.decode_slot_quarters(call, False)
      self.load.own(self.engines['d1']).count = 0
      self.load.own(self.engines['d1']).decoding = 0

  def test_stream_avoids_an_engine_on_which_it_would_not_end(self):
    # 14,000 tokens take 7 s on the others, 29 s on d1.
    self.teach_events(d1=4)
    placed = self.place(self.make_stream(1, 14_000))
    self.assertIn(placed.endpoint.name, ('d2', 'd3'))

  def test_stream_avoids_an_engine_whose_pauses_are_too_long(self):
    self.teach_events(d1=5)
    placed = self.place(self.make_stream(1, 2_000))
    self.assertIn(placed.endpoint.name, ('d2', 'd3'))

  def test_stream_that_is_late_on_all_engines_goes_to_the_fastest(self):
    self.teach_events(d1=8, d2=6, d3=7)
    placed = self.place(self.make_stream(1, 14_000))
    self.assertEqual(placed.endpoint.name, 'd2')

  def test_stream_that_can_not_end_for_want_of_a_slot_is_refused(self):
    # Guards against streams that wait for a slot, are cut at their deadline and
    # keep a slot from others meanwhile.
    for name in ('d1', 'd2', 'd3'):
      self.load.own(self.engines[name]).count = 64
    placed = self.place(self.make_stream(1))
    self.assertIsInstance(placed, placements.Placement)
    for name in ('d1', 'd2', 'd3'):
      self.load.own(self.engines[name]).count = 64 + 180
    placed = self.place(self.make_stream(1, 2_000))
    self.assertIsInstance(placed, placements.Placement)
    refused = self.place(self.make_stream(1, 14_000))
    self.assertEqual(refused.reason, 'no_slot')
    self.assertGreater(refused.retry_after_s, 1.0)
    urgent = self.place(self.make_stream(1, 14_000, rank=0))
    self.assertIsInstance(urgent, placements.Placement)

  def test_stream_goes_where_a_slot_is_free(self):
    self.load.own(self.engines['d1']).count = 80
    self.load.own(self.engines['d1']).decoding = 320
    placed = self.place(self.make_stream(1))
    self.assertEqual(placed.endpoint.name, 'd2')


class PromptTest(StreamPlacementCase):

  def setUp(self):
    super().setUp()
    self.load.own(self.engines['d1']).count = 20
    self.load.own(self.engines['d1']).decoding = 80

  def wait_at(self, tokens: int, *names: str):
    for name in names:
      self.add_waiting_tokens(self.engines[name], tokens, 0)

  def test_urgent_prompt_keeps_off_less_urgent_streams(self):
    # Guards against answers whose tokens wait for one prompt after the other
    # until their deadline.
    self.wait_at(10_000, 'p1', 'd2', 'd3')
    for _ in range(50):
      placed = self.place(self.make_prompt())
      self.assertTrue(
          placed.prefiller or placed.endpoint.name in ('d2', 'd3'), placed
      )

  def test_urgent_prompt_uses_all_engines_of_a_service_without_streams(self):
    self.placer.outlook = stream_outlook.StreamOutlook(self.load)
    self.wait_at(40_000, 'p1', 'd2', 'd3')
    placed = self.place(self.make_prompt())
    self.assertEqual((placed.endpoint.name, placed.prefiller), ('d1', None))

  def test_urgent_prompt_that_is_late_elsewhere_uses_room_beside_streams(self):
    self.wait_at(60_000, 'p1', 'd2', 'd3')
    long_prompt = self.make_prompt()
    part = request_placement_test.Part('long', 18_000)
    long_prompt = long_prompt._replace(parts=(part,), prompt_tokens=18_000)
    self.assertIsInstance(self.place(long_prompt), placements.Refusal)
    short = self.make_prompt()
    short = short._replace(parts=short.parts[-1:], prompt_tokens=2_900)
    placed = self.place(short)
    self.assertEqual((placed.endpoint.name, placed.prefiller), ('d1', None))

  def test_prompts_beside_streams_leave_their_pauses_in_time(self):
    self.wait_at(60_000, 'p1', 'd2', 'd3')
    self.wait_at(9_000, 'd1')
    short = self.make_prompt()
    short = short._replace(parts=short.parts[-1:], prompt_tokens=2_900)
    self.assertIsInstance(self.place(short), placements.Refusal)

  def test_prompt_keeps_off_streams_of_an_engine_that_decodes_no_more(self):
    # Guards against streams that were begun when more engines decoded.
    self.load.own(self.engines['d2']).decoding = 40
    self.wait_at(10_000, 'p1', 'd3')
    for rank in (0, 1):
      for _ in range(50):
        placed = self.place(self.make_prompt(rank))
        self.assertTrue(
            placed.prefiller or placed.endpoint.name == 'd3', placed
        )

  def test_less_urgent_prompt_uses_no_room_beside_streams(self):
    self.wait_at(60_000, 'p1', 'd2', 'd3')
    short = self.make_prompt(rank=1)
    short = short._replace(parts=short.parts[-1:], prompt_tokens=2_900)
    self.assertIsInstance(self.place(short), placements.Refusal)

  def test_prompt_goes_to_streams_if_no_other_engine_is_left(self):
    self.registry.replace_all([self.engines['d1']], 0.0)
    placed = self.place(self.make_prompt())
    self.assertEqual((placed.endpoint.name, placed.prefiller), ('d1', None))


if __name__ == '__main__':
  unittest.main()
