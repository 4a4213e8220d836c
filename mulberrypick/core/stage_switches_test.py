"""Tests of engines that are changing their stage."""

import unittest

from mulberrypick.core import endpoint_registry
from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import gateway_records
from mulberrypick.core import stage_switches

ENGINE = ('writer-1', 7)


def report(number: int, left_s: float) -> stage_switches.SwitchReport:
  return stage_switches.SwitchReport(*ENGINE, number, left_s)


class StageSwitchesTest(unittest.TestCase):

  def setUp(self):
    self.switches = stage_switches.StageSwitches()

  def test_engine_is_left_out_for_the_time_of_the_report(self):
    self.assertTrue(self.switches.record(report(0, 3.0), 10.0))
    self.assertTrue(self.switches.is_switching(ENGINE, 12.9))
    self.assertFalse(self.switches.is_switching(ENGINE, 13.0))
    self.assertFalse(self.switches.is_switching(('writer-1', 8), 11.0))

  def test_hosts_that_repeat_a_report_do_not_prolong_it(self):
    self.switches.record(report(0, 3.0), 10.0)
    self.assertFalse(self.switches.record(report(0, 3.0), 12.0))
    self.assertFalse(self.switches.is_switching(ENGINE, 13.1))
    self.assertFalse(self.switches.record(report(0, 3.0), 14.0))
    self.assertFalse(self.switches.is_switching(ENGINE, 14.1))

  def test_ended_switch_is_not_started_again_by_a_late_report(self):
    self.switches.record(report(4, 3.0), 10.0)
    self.switches.end(ENGINE, 11.0)
    self.assertFalse(self.switches.is_switching(ENGINE, 11.0))
    self.assertFalse(self.switches.record(report(4, 2.0), 11.1))
    self.assertEqual(self.switches.reports(11.1), [])

  def test_the_next_order_is_a_new_switch(self):
    self.switches.record(report(0, 3.0), 10.0)
    self.switches.end(ENGINE, 11.0)
    self.assertTrue(self.switches.record(report(1, 3.0), 12.0))
    self.assertTrue(self.switches.is_switching(ENGINE, 12.1))

  def test_reports_tell_what_is_left(self):
    self.switches.record(report(2, 3.0), 10.0)
    self.assertEqual(self.switches.reports(11.0), [report(2, 2.0)])
    self.assertEqual(self.switches.count(11.0), 1)
    self.assertEqual(self.switches.reports(13.5), [])

  def test_absurd_times_are_left_out(self):
    for left_s in (0.0, -1.0, 1e9, float('nan'), float('inf')):
      self.assertFalse(self.switches.record(report(0, left_s), 10.0))
    self.assertFalse(self.switches.is_switching(ENGINE, 10.1))

  def test_ended_switches_are_forgotten(self):
    self.switches.record(report(0, 3.0), 10.0)
    self.switches.reports(13.0 + stage_switches.REMEMBER_S)
    self.assertTrue(self.switches.record(report(0, 3.0), 30.0))


class RegistryTest(unittest.TestCase):
  """Engines that change their stage get no requests until they have."""

  def setUp(self):
    self.registry = endpoint_registry.EndpointRegistry()
    make = endpoint_registry_test.make_endpoint
    self.decoder = make('a', stage=gateway_records.Stage.DECODE)
    other = make('b', stage=gateway_records.Stage.DECODE)
    self.registry.replace_all([self.decoder, other], 0.0)

  def usable(self, now: float) -> list[str]:
    found = self.registry.usable(self.decoder.service, now)
    return [endpoint.name for endpoint in found]

  def test_engine_is_used_again_once_the_list_shows_its_new_stage(self):
    switch = stage_switches.SwitchReport(*self.decoder.incarnation, 0, 6.0)
    self.registry.switches.record(switch, 1.0)
    self.assertEqual(self.usable(1.1), ['b'])
    # The list is written again meanwhile, without another stage.
    self.registry.update_entry(self.decoder._replace(slots=9), 2.0)
    self.assertEqual(self.usable(2.1), ['b'])
    changed = self.decoder._replace(stage=gateway_records.Stage.PREFILL)
    self.registry.update_entry(changed, 3.0)
    self.assertEqual(sorted(self.usable(3.1)), ['a', 'b'])

  def test_engine_is_used_again_if_it_does_not_change(self):
    switch = stage_switches.SwitchReport(*self.decoder.incarnation, 0, 6.0)
    self.registry.switches.record(switch, 1.0)
    self.assertEqual(sorted(self.usable(7.1)), ['a', 'b'])


if __name__ == '__main__':
  unittest.main()
