"""Tests of the decisions to change stages because of the load."""

import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import gateway_records
from mulberrypick.core import stage_balance

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE
# Interval of the checks.
STEP_S = 0.2


def make_uses(
    prefillers: int, decoders: int, reading: int = 0, quarters: int = 0
) -> list[stage_balance.EngineUse]:
  """Returns engines in three zones.

  Args:
    prefillers: Number of prefill engines.
    decoders: Number of decode engines.
    reading: Number of decode engines that have a prompt to prefill.
    quarters: Quarters of slots that each decode engine uses to decode.
  """
  uses = []
  for number in range(prefillers + decoders):
    stage = PREFILL if number < prefillers else DECODE
    endpoint = endpoint_registry_test.make_endpoint(
        f'e{number:02}', stage=stage
    )
    endpoint = endpoint._replace(zone=f'zone-{number % 3}')
    is_reading = 0 <= number - prefillers < reading
    uses.append(
        stage_balance.EngineUse(
            endpoint,
            1_000 if is_reading else 0,
            quarters if stage is DECODE else 0,
            38.0,
        )
    )
  return uses


class FleetPlay:
  """Engines that execute the orders of a balance after some time."""

  def __init__(
      self,
      uses: list[stage_balance.EngineUse],
      first_start_at: float | None = 0.0,
  ):
    self.uses = uses
    self.balance = stage_balance.StageBalance(first_start_at)
    self.now = 0.0
    self.given = []
    self._ready_at: dict[str, float] = {}

  def run(self, seconds: float, switch_s: float = 3.0) -> None:
    end = self.now + seconds
    while self.now < end:
      self.now += STEP_S
      self._finish()
      for order in self.balance.decide(self.uses, self.now):
        self.given.append((round(self.now, 1), order))
        self._ready_at[order.endpoint.name] = self.now + switch_s
        self._replace(order.endpoint.name, is_switching=True)

  def _finish(self) -> None:
    for _, order in self.given:
      name = order.endpoint.name
      if self._ready_at.get(name, float('inf')) <= self.now:
        del self._ready_at[name]
        endpoint = order.endpoint._replace(stage=order.stage)
        self._replace(
            name, endpoint=endpoint, is_switching=False, read_tokens=0
        )

  def _replace(self, name: str, **fields) -> None:
    for number, use in enumerate(self.uses):
      if use.endpoint.name == name:
        self.uses[number] = use._replace(**fields)

  def count(self, stage: gateway_records.Stage) -> int:
    return sum(use.endpoint.stage is stage for use in self.uses)


class ToPrefillTest(unittest.TestCase):

  def test_host_that_restarted_orders_no_engine_away_from_decoding(self):
    # Guards against an order in the first second after all hosts were killed:
    # the engine was away while all callers came back.
    for first_start_at in (None, -60.0):
      play = FleetPlay(make_uses(2, 3, reading=3), first_start_at)
      play.run(stage_balance.NEED_HORIZON_S - 1.0)
      self.assertEqual(play.given, [])
      play.run(4.0)
      self.assertEqual([o.stage for _, o in play.given], [PREFILL])

  def test_decode_engines_that_prefill_change_until_the_reserve_is_left(self):
    play = FleetPlay(make_uses(2, 3, reading=2))
    play.run(20.0)
    self.assertEqual([order.stage for _, order in play.given], [PREFILL])
    self.assertEqual(play.count(DECODE), 2)

  def test_each_zone_keeps_a_decode_engine_in_a_large_fleet(self):
    play = FleetPlay(make_uses(17, 28, reading=28))
    most = 0
    for _ in range(150):
      play.run(STEP_S)
      most = max(most, sum(use.is_switching for use in play.uses))
    # One engine decodes, nine are the reserve of 45.
    self.assertEqual(play.count(DECODE), 10)
    self.assertEqual(most, 5)
    zones = [u.endpoint.zone for u in play.uses if u.endpoint.stage is DECODE]
    counts = [zones.count(zone) for zone in sorted(set(zones))]
    self.assertEqual(sorted(counts), [3, 3, 4])

  def test_nothing_changes_while_engines_are_replaced(self):
    # Guards against an order by the number of engines in a release: the old
    # ones left one after the other, and a single decode engine stayed.
    play = FleetPlay(make_uses(2, 4, reading=4))
    for number in range(5):
      play.run(stage_balance.SETTLED_S - 1.0)
      renamed = play.uses[-1].endpoint._replace(started_ms=100 + number)
      play.uses[-1] = play.uses[-1]._replace(endpoint=renamed)
    self.assertEqual(play.given, [])
    play.run(stage_balance.SETTLED_S + 1.0)
    self.assertEqual([order.stage for _, order in play.given], [PREFILL])

  def test_nothing_changes_before_streams_had_time_to_begin(self):
    play = FleetPlay(make_uses(2, 4, reading=4))
    play.run(stage_balance.SETTLED_S - 0.5)
    self.assertEqual(play.given, [])

  def test_two_decode_engines_always_stay(self):
    play = FleetPlay(make_uses(2, 2, reading=2))
    play.run(20.0)
    self.assertEqual(play.given, [])

  def test_no_change_if_decode_engines_prefill_now_and_then(self):
    play = FleetPlay(make_uses(2, 4))
    for _ in range(20):
      play.uses = make_uses(2, 4, reading=1)
      play.run(STEP_S)
      play.uses = make_uses(2, 4)
      play.run(4 * STEP_S)
    self.assertEqual(play.given, [])

  def test_no_change_if_the_engines_have_to_decode(self):
    # Each engine takes 38 quarters.
    play = FleetPlay(make_uses(2, 4, reading=4, quarters=35))
    play.run(20.0)
    self.assertEqual(play.given, [])

  def test_the_highest_decode_load_of_a_longer_time_counts(self):
    play = FleetPlay(make_uses(2, 4, quarters=35))
    play.run(1.0)
    play.uses = make_uses(2, 4, reading=4)
    play.run(stage_balance.NEED_HORIZON_S - 2.0)
    self.assertEqual(play.given, [])
    play.run(4.0)
    self.assertNotEqual(play.given, [])

  def test_nothing_changes_beside_an_engine_that_is_changing(self):
    play = FleetPlay(make_uses(2, 6, reading=6))
    play.run(10.0, switch_s=100.0)
    self.assertEqual(len(play.given), 1)

  def test_engines_that_were_ordered_lately_stay_as_they_are(self):
    uses = make_uses(2, 6, reading=6)
    kept = [use._replace(may_change=False) for use in uses]
    play = FleetPlay(kept)
    play.run(10.0)
    self.assertEqual(play.given, [])
    play.uses = [*kept[:7], uses[7]]
    play.run(10.0, switch_s=100.0)
    self.assertEqual([o.endpoint.name for _, o in play.given], ['e07'])
    play = FleetPlay(
        [use._replace(may_change=False) for use in make_uses(4, 1)]
    )
    play.run(30.0)
    self.assertEqual(play.given, [])


class ToDecodeTest(unittest.TestCase):

  def test_lasting_lack_of_decode_engines_changes_a_prefill_engine(self):
    play = FleetPlay(make_uses(4, 1))
    play.run(stage_balance.LACK_S - 1.0)
    self.assertEqual(play.given, [])
    play.run(20.0)
    self.assertEqual([order.stage for _, order in play.given], [DECODE])

  def test_short_lack_changes_nothing(self):
    play = FleetPlay(make_uses(4, 1))
    play.run(stage_balance.LACK_S - 1.0)
    play.uses = make_uses(4, 2)
    play.run(1.0)
    play.uses = make_uses(4, 1)
    play.run(stage_balance.LACK_S - 1.0)
    self.assertEqual(play.given, [])

  def test_decode_load_that_no_engine_is_left_for_changes_some(self):
    # Each engine takes 38 quarters; 3 engines have 180.
    play = FleetPlay(make_uses(7, 3, quarters=60))
    play.run(30.0)
    self.assertEqual({order.stage for _, order in play.given}, {DECODE})

  def test_full_slots_of_the_only_decode_engine_change_one_soon(self):
    # Guards against ten times as many streams as slots beside idle engines.
    for prefillers, stages in ((2, [DECODE]), (1, [])):
      play = FleetPlay(make_uses(prefillers, 1, quarters=90))
      play.run(stage_balance.FULL_LACK_S + 1.0)
      self.assertEqual([order.stage for _, order in play.given], stages)

  def test_crashed_engine_that_is_tried_now_and_then_hides_no_lack(self):
    play = FleetPlay(make_uses(4, 1))
    for _ in range(12):
      play.uses = make_uses(4, 1)
      play.run(1.0)
      play.uses = make_uses(3, 1)
      play.run(0.4)
      if play.given:
        break
    self.assertEqual([order.stage for _, order in play.given], [DECODE])

  def test_few_engines_are_left_as_they_are(self):
    play = FleetPlay(make_uses(2, 1))
    play.run(30.0)
    self.assertEqual(play.given, [])


class WithoutPrefillEnginesTest(unittest.TestCase):

  def test_a_decode_engine_is_ordered_to_prefill_soon(self):
    # Guards against long streams that share all engines with prompts for the
    # rest of the day.
    for decoders in (3, 4, 5):
      play = FleetPlay(make_uses(0, decoders, reading=decoders))
      play.run(2.0)
      self.assertEqual([o.stage for _, o in play.given], [PREFILL], decoders)
      play.run(28.0)
      self.assertGreaterEqual(play.count(DECODE), 2)

  def test_two_decode_engines_that_are_left_stay(self):
    play = FleetPlay(make_uses(0, 2, reading=2))
    play.run(20.0)
    self.assertEqual(play.given, [])

  def test_engines_that_the_decode_load_needs_stay(self):
    # 40 streams of four quarters on each of three engines need all of them.
    play = FleetPlay(make_uses(0, 3, reading=3, quarters=160))
    play.run(20.0)
    self.assertEqual(play.given, [])

  def test_engines_that_prefill_nothing_stay(self):
    play = FleetPlay(make_uses(0, 5))
    play.run(20.0)
    self.assertEqual(play.given, [])

  def test_the_engine_that_decodes_least_changes(self):
    uses = make_uses(0, 3, reading=3)
    for number, quarters in enumerate((8, 0, 12)):
      uses[number] = uses[number]._replace(decode_quarters=quarters)
    play = FleetPlay(uses)
    play.run(2.0)
    self.assertEqual([o.endpoint.name for _, o in play.given], ['e01'])


class InputTest(unittest.TestCase):

  def test_plain_services_and_prefill_engines_alone_get_no_orders(self):
    plain = []
    for use in make_uses(0, 5, reading=5):
      endpoint = use.endpoint._replace(stage=gateway_records.Stage.NONE)
      plain.append(use._replace(endpoint=endpoint))
    for uses in (plain, make_uses(5, 0), []):
      play = FleetPlay(uses)
      play.run(20.0)
      self.assertEqual(play.given, [])

  def test_clock_that_steps_back_is_no_time(self):
    balance = stage_balance.StageBalance(0.0)
    balance.decide(make_uses(2, 4, reading=4), 100.0)
    self.assertEqual(balance.decide(make_uses(2, 4, reading=4), 50.0), [])


if __name__ == '__main__':
  unittest.main()
