"""Tests for the decisions about leases."""

import unittest

from mulberrypick.core import errors
from mulberrypick.core import lease as leases

DURATION_S = 6.0
GUARD_S = 2.0


def held(at: float = 0.0) -> leases.Lease:
  """Returns a lease that `a` took at the given time as its first holder."""
  lease = leases.on_read(leases.Lease('a'), 0, None, at)
  begun, record = leases.begin_take(lease, at, 'n1', DURATION_S)
  return leases.on_written(begun, 1, record)


def renewing(at: float) -> leases.Lease:
  """Returns the lease of `held()` while a renewal sent at `at` is pending."""
  begun, _ = leases.begin_renewal(held(), at, 'n2', DURATION_S)
  return begun


def record_of(owner: str, nonce: str, fence: int) -> leases.LeaseRecord:
  return leases.LeaseRecord(owner, nonce, fence, DURATION_S)


class TestTerm(unittest.TestCase):

  def test_a_term_counts_from_before_its_write(self):
    lease = held(at=10.0)
    self.assertTrue(leases.is_authorized(lease, 15.9))
    self.assertFalse(leases.is_authorized(lease, 16.0))

  def test_a_renewal_under_way_keeps_the_old_end(self):
    self.assertTrue(leases.is_authorized(renewing(3.0), 5.9))
    self.assertFalse(leases.is_authorized(renewing(3.0), 6.0))

  def test_a_renewal_found_by_its_nonce_counts_from_before_its_write(self):
    lost = leases.on_lost(renewing(3.0))
    lease = leases.on_read(lost, 2, record_of('a', 'n2', 1), 5.0)
    self.assertEqual(leases.HOLDING, lease.state)
    self.assertEqual(9.0, lease.term_end_at)

  def test_a_renewal_that_had_no_effect_leaves_the_old_end(self):
    lost = leases.on_lost(renewing(3.0))
    lease = leases.on_read(lost, 1, record_of('a', 'n1', 1), 5.0)
    self.assertEqual(leases.HOLDING, lease.state)
    self.assertEqual(6.0, lease.term_end_at)

  def test_a_conflict_with_the_own_earlier_write_is_settled(self):
    lease = leases.on_conflict(renewing(3.0))
    self.assertTrue(leases.is_authorized(lease, 4.0))
    lease = leases.on_read(lease, 3, record_of('a', 'old', 1), 4.0)
    self.assertEqual((leases.HOLDING, 3), (lease.state, lease.version))

  def test_a_conflict_with_another_holder_ends_the_term(self):
    lease = leases.on_conflict(renewing(3.0))
    lease = leases.on_read(lease, 2, record_of('b', 'x', 2), 4.0)
    self.assertEqual(leases.WATCHING, lease.state)
    self.assertFalse(leases.is_authorized(lease, 4.0))

  def test_a_stale_fence_ends_the_term_at_once(self):
    self.assertFalse(leases.is_authorized(leases.on_stale(held()), 0.1))

  def test_an_unavailable_platform_does_not_end_the_term_early(self):
    lease = leases.on_unavailable(renewing(3.0))
    self.assertTrue(leases.is_authorized(leases.on_tick(lease, 5.9), 5.9))
    self.assertEqual(leases.WATCHING, leases.on_tick(lease, 6.0).state)


class TestTake(unittest.TestCase):

  def test_nothing_is_taken_before_the_object_was_read(self):
    self.assertFalse(leases.can_take(leases.Lease('b'), 99.0, GUARD_S))

  def test_a_successor_waits_a_duration_and_the_guard_after_a_change(self):
    lease = leases.on_read(leases.Lease('b'), 1, record_of('a', 'n1', 1), 10.0)
    lease = leases.on_read(lease, 1, record_of('a', 'n1', 1), 17.0)
    self.assertFalse(leases.can_take(lease, 17.9, GUARD_S))
    self.assertTrue(leases.can_take(lease, 18.0, GUARD_S))
    lease = leases.on_read(lease, 2, record_of('a', 'n2', 1), 17.5)
    self.assertFalse(leases.can_take(lease, 25.4, GUARD_S))

  def test_a_released_lease_is_free_at_once(self):
    released, record = leases.begin_release(held(), 'n3')
    self.assertFalse(leases.is_authorized(released, 0.1))
    lease = leases.on_read(leases.Lease('b'), 2, record, 1.0)
    self.assertTrue(leases.can_take(lease, 1.0, GUARD_S))

  def test_the_fence_grows_with_each_term(self):
    lease = leases.on_read(leases.Lease('b'), 7, record_of('', 'n', 4), 1.0)
    begun, record = leases.begin_take(lease, 1.0, 'n', DURATION_S)
    self.assertEqual((5, 5), (begun.fence, record.fence))


class TestRecord(unittest.TestCase):

  def test_a_record_round_trips(self):
    record = record_of('a', 'n', 3)
    value = leases.encode_record(record)
    self.assertEqual(record, leases.decode_record(value))

  def test_a_malformed_record_is_refused(self):
    for value in (b'{', b'{"owner": "a"}'):
      with self.assertRaises(errors.PlatformError):
        leases.decode_record(value)


if __name__ == '__main__':
  unittest.main()
