"""Tests of the registry of endpoints."""

import unittest

from mulberrypick.core import endpoint_registry
from mulberrypick.core import gateway_records


def make_endpoint(name: str, **changes) -> gateway_records.Endpoint:
  endpoint = gateway_records.Endpoint(
      name=name,
      started_ms=1,
      service='s',
      ip='127.0.0.1',
      port=1,
      zone='z',
      slots=4,
      is_leaving=False,
      stage=gateway_records.Stage.NONE,
  )
  return endpoint._replace(**changes)


class EndpointRegistryTest(unittest.TestCase):

  def setUp(self):
    self.registry = endpoint_registry.EndpointRegistry()
    self.registry.replace_all([make_endpoint('a'), make_endpoint('b')], 0.0)

  def names(self, now: float) -> list[str]:
    return sorted(e.name for e in self.registry.usable('s', now))

  def test_leaving_holds_for_the_incarnation(self):
    self.registry.update_entry(make_endpoint('a', is_leaving=True), 1.0)
    self.registry.update_entry(make_endpoint('a'), 2.0)
    self.assertEqual(self.names(2.0), ['b'])
    self.registry.update_entry(make_endpoint('a', started_ms=2), 3.0)
    self.assertEqual(self.names(3.0), ['a', 'b'])

  def test_leaving_is_first_reported_by_another_host(self):
    self.assertTrue(self.registry.mark_leaving(('a', 1), 1.0))
    self.assertEqual(self.names(1.0), ['b'])
    self.assertEqual(self.registry.leaving(2.0), [('a', 1)])

  def test_entry_without_a_start_does_not_bring_a_leaving_endpoint_back(self):
    self.registry.mark_leaving(('a', 1), 1.0)
    self.registry.update_entry(make_endpoint('a', started_ms=0), 2.0)
    self.assertEqual(self.names(2.0), ['b'])
    self.registry.update_entry(make_endpoint('a', started_ms=2), 3.0)
    self.assertEqual(self.names(3.0), ['a', 'b'])

  def test_entry_without_a_start_ends_no_time_without_requests(self):
    self.registry.hold_off.record(('a', 1), 5.0, 1.0)
    self.registry.update_entry(make_endpoint('a', started_ms=0), 2.0)
    self.assertEqual(self.names(2.0), ['b'])
    self.assertEqual(self.registry.take_ended(), [])

  def test_leaving_endpoints_of_a_large_fleet_are_all_remembered(self):
    for number in range(1700):
      self.registry.mark_leaving((f'e{number}', 1), 1.0)
    self.registry.update_entry(make_endpoint('e0'), 2.0)
    self.assertEqual(self.names(2.0), ['a', 'b'])

  def test_endpoint_that_leaves_gets_nothing_that_was_placed_before(self):
    self.registry.last_drain_s = 2.0
    a, b = make_endpoint('a'), make_endpoint('b')
    self.registry.record_said_leaving(('a', 1), 1.0)
    self.assertFalse(self.registry.may_send(a, 1.0))
    # The last one is used for a while.
    self.registry.record_said_leaving(('b', 1), 1.0)
    self.assertTrue(self.registry.may_send(b, 2.9))
    self.assertFalse(self.registry.may_send(b, 3.0))

  def test_removed_entry_is_dropped_at_once(self):
    self.assertTrue(self.registry.remove_entry('a', 1.0))
    self.assertEqual(self.names(1.0), ['b'])

  def test_entry_that_expired_in_an_outage_may_return(self):
    self.registry.record_store_recovery(10.0)
    self.assertFalse(self.registry.remove_entry('a', 10.1))
    self.assertEqual(self.registry.expire(11.0, False), [])
    self.registry.update_entry(make_endpoint('a'), 11.5)
    self.assertEqual(self.registry.expire(13.0, False), [])
    self.assertEqual(self.names(13.0), ['a', 'b'])

  def test_entry_that_does_not_return_is_dropped(self):
    self.registry.record_store_recovery(10.0)
    self.registry.replace_all([make_endpoint('b')], 10.0)
    self.assertEqual(self.registry.expire(12.1, False), ['a'])
    self.assertEqual(self.names(12.1), ['b'])

  def test_missing_entry_is_dropped_at_once_if_only_this_host_lost_the_store(
      self,
  ):
    # If only this host lost the store, no entry has expired. An endpoint that
    # left meanwhile must be dropped at once; otherwise it gets requests for
    # two more seconds.
    self.registry.record_store_recovery(10.0)
    self.registry.replace_all([make_endpoint('b')], 10.0)
    self.assertEqual(self.registry.expire(10.1, True), ['a'])

  def test_failures_suspend_until_a_probe_succeeds(self):
    a = make_endpoint('a')
    self.registry.record_failure(a, 0.0)
    self.assertEqual(self.names(0.0), ['a', 'b'])
    self.registry.record_failure(a, 0.0)
    self.assertEqual(self.names(0.1), ['b'])
    self.assertEqual(self.names(0.3), ['a', 'b'])
    self.registry.record_probe(a, 0.3)
    self.assertEqual(self.names(0.35), ['b'])
    self.registry.record_success(a)
    self.assertEqual(self.names(0.35), ['a', 'b'])

  def test_requests_that_fail_together_suspend_as_one_failure(self):
    # Fails if each of them doubles the suspension: an engine that froze for a
    # second with twelve requests was left out for two more.
    endpoint = make_endpoint('a')
    other = make_endpoint('b')
    self.registry.replace_all([endpoint, other], 0.0)
    for number in range(12):
      self.registry.record_failure(endpoint, 1.0 + number / 1000)
    self.assertTrue(self.registry.is_suspended(endpoint, 1.2))
    self.assertFalse(self.registry.is_suspended(endpoint, 1.3))
    # The probe that fails afterwards makes the next suspension longer.
    self.registry.record_probe(endpoint, 1.3)
    self.registry.record_failure(endpoint, 1.4)
    self.assertTrue(self.registry.is_suspended(endpoint, 1.8))
    self.assertFalse(self.registry.is_suspended(endpoint, 2.0))

  def test_unreachable_endpoint_is_suspended_at_once(self):
    self.registry.record_failure(make_endpoint('a'), 0.0, is_unreachable=True)
    self.assertEqual(self.names(0.1), ['b'])

  def test_suspended_engines_are_tried_when_their_stage_has_no_other(self):
    decode = gateway_records.Stage.DECODE
    prefill = gateway_records.Stage.PREFILL
    p, d = make_endpoint('p', stage=prefill), make_endpoint('d', stage=decode)
    self.registry.replace_all([p, d], 0.0)
    self.registry.suspend_silent(d, 0.0)
    self.assertEqual(self.names(0.1), ['d', 'p'])
    self.assertTrue(self.registry.is_suspended(d, 0.1))
    self.assertFalse(self.registry.is_suspended(p, 0.1))
    self.registry.record_success(d)
    self.assertFalse(self.registry.is_suspended(d, 0.1))

  def test_restart_under_the_same_name_is_another_incarnation(self):
    a = make_endpoint('a')
    self.registry.record_failure(a, 0.0, is_unreachable=True)
    self.assertTrue(
        self.registry.update_entry(make_endpoint('a', started_ms=5), 0.1)
    )
    self.assertEqual(self.names(0.1), ['a', 'b'])

  def test_only_endpoints_that_were_not_leaving_count_as_ended(self):
    self.registry.replace_all(
        [make_endpoint(name) for name in ('a', 'b', 'c', 'd')], 1.0
    )
    self.registry.update_entry(make_endpoint('a', is_leaving=True), 2.0)
    self.registry.remove_entry('a', 3.0)
    self.registry.update_entry(make_endpoint('b', slots=9), 3.0)
    self.assertEqual(self.registry.take_ended(), [])
    self.registry.update_entry(make_endpoint('b', started_ms=2), 4.0)
    self.registry.remove_entry('c', 4.0)
    self.registry.record_store_recovery(5.0)
    self.registry.remove_entry('d', 5.1)
    self.assertEqual(self.registry.take_ended(), [('b', 1), ('c', 1)])
    self.registry.expire(8.0, False)
    self.assertEqual(self.registry.take_ended(), [('d', 1)])
    self.assertEqual(self.registry.take_ended(), [])


if __name__ == '__main__':
  unittest.main()
