"""Long streams of a lower rank beside urgent prompts when engines leave."""

import unittest

from mulberrypick.core import gateway_records
from standins import stage_play

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE
FLEET = {'p1': PREFILL, 'p2': PREFILL, 'd1': DECODE, 'd2': DECODE, 'd3': DECODE}
CALM = stage_play.Load(prompts_per_s=15.0)
BUSY = stage_play.Load(prompts_per_s=110.0)
FLOOD = stage_play.Load(prompts_per_s=250.0)
# What the users expect of the long streams, and of the largest of them relative
# to all.
MIN_STREAMS_IN_TIME = 0.7
MIN_RELATIVE_LARGEST = 0.5


class LongStreamsTest(unittest.TestCase):

  def check(self, play: stage_play.StagePlay, start_s: float) -> None:
    """Checks the requests that arrived from a time on."""
    outcomes = play.outcomes
    outcomes.end(play.now)
    in_time = outcomes.streams_in_time(start_s)
    self.assertGreaterEqual(in_time, MIN_STREAMS_IN_TIME)
    self.assertGreaterEqual(
        outcomes.largest_served(start_s),
        MIN_RELATIVE_LARGEST * outcomes.served(start_s),
    )
    self.assertGreaterEqual(outcomes.prompts_in_time(start_s), in_time - 0.15)

  def play(self) -> stage_play.StagePlay:
    play = stage_play.StagePlay(FLEET)
    play.run(2.0, CALM)
    return play

  def test_both_prefill_engines_leave(self):
    play = self.play()
    play.leave('p1')
    play.run(1.0, BUSY)
    play.leave('p2')
    play.join('d4', DECODE)
    play.run(33.0, BUSY)
    self.assertIn(PREFILL, [order.stage for _, order in play.given])
    self.check(play, 2.0)

  def test_one_prefill_engine_leaves(self):
    play = self.play()
    play.leave('p1')
    play.run(33.0, BUSY)
    self.check(play, 2.0)

  def test_no_engine_was_ever_of_stage_prefill(self):
    play = stage_play.StagePlay(dict.fromkeys(('d1', 'd2', 'd3', 'd4'), DECODE))
    play.run(35.0, BUSY)
    self.assertIn(PREFILL, [order.stage for _, order in play.given])
    self.check(play, 0.0)

  def test_new_engines_come_in_the_other_stage(self):
    play = self.play()
    for number, name in enumerate(('p1', 'p2')):
      play.join(f'd{4 + number}', DECODE)
      play.run(1.0, BUSY)
      play.leave(name)
    play.run(33.0, BUSY)
    self.check(play, 2.0)

  def test_three_decode_engines_are_left(self):
    play = self.play()
    play.leave('p1')
    play.leave('p2')
    play.run(33.0, BUSY)
    self.assertIn(PREFILL, [order.stage for _, order in play.given])
    self.check(play, 8.0)

  def test_engines_that_take_no_orders(self):
    # The time until an engine has changed its stage, without an end.
    play = stage_play.StagePlay(dict.fromkeys(('d1', 'd2', 'd3', 'd4'), DECODE))
    play.takes_orders = False
    play.run(35.0, BUSY)
    self.check(play, 0.0)

  def test_flood_of_prompts_beside_one_prefill_engine(self):
    play = stage_play.StagePlay({**FLEET, 'p1': DECODE})
    play.takes_orders = False
    play.run(4.0, BUSY)
    play.run(30.0, FLOOD)
    play.outcomes.end(play.now)
    in_time = play.outcomes.streams_in_time()
    self.assertGreaterEqual(in_time, MIN_STREAMS_IN_TIME)

  def test_long_streams_avoid_an_engine_on_which_they_would_not_end(self):
    play = self.play()
    play.join('d0', DECODE, slowness=5.0)
    play.run(33.0, CALM)
    self.check(play, 2.0)


if __name__ == '__main__':
  unittest.main()
