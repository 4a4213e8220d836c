"""Tests for admission by rank, reserve and share."""

import unittest

from mulberrypick.core import cost as cost_model
from mulberrypick.core import errors
from mulberrypick.core import fleet_usage
from mulberrypick.core import ranked_fair
from mulberrypick.core import records
from mulberrypick.core import waiting as waiting_base

URGENT = records.Rank('urgent', True, 0.5, 0.1, 5.0, 0.5)
OTHER = records.Rank('other', False, 4.0, 0.2, 40.0, 0.3)
TENANTS = {
    'large': records.Tenant('large', 0.6, (), (), ''),
    'small': records.Tenant('small', 0.2, (), (), ''),
}
CONFIG = records.Config(1, {}, {'urgent': URGENT, 'other': OTHER}, {}, TENANTS)


def make_admission(engines=4.0):
  """Returns an admission with the capacity of some engines."""
  admission = ranked_fair.RankedFairAdmission()
  admission.configure(CONFIG)
  admission.set_capacity('m', engines)
  return admission


def make_waiting(
    request_id, rank='other', tenant='large', now=0.0, engine_s=0.5, left_s=40.0
):
  """Returns a queued request with a short prompt and a long answer."""
  request = records.InferenceRequest(
      request_id, tenant, rank, 's', 'm', '', request_id, 10, 100, now,
      now + left_s,
  )  # fmt: skip
  cost = cost_model.Cost(100, 0.01, engine_s - 0.01, 1.0, 10)
  fingerprint = int.from_bytes(request_id.encode(), 'big')
  return waiting_base.WaitingRequest(
      request, 0, (), cost, now, False, fingerprint
  )


def fill(admission, count, prefix, now=0.0, **changes):
  """Offers several similar requests and returns the refusals by id."""
  error_by_id = {}
  for number in range(count):
    waiting = make_waiting(f'{prefix}{number}', now=now, **changes)
    error = admission.offer('m', waiting, now)
    if error is not None:
      error_by_id[waiting.request.request_id] = error
  return error_by_id


def drain(admission, count, now=0.0):
  """Takes up to `count` requests in order and returns their ids."""
  taken = []
  for _ in range(count):
    heads = admission.heads('m', now)
    if not heads:
      break
    request_id = heads[0].request.request_id
    admission.take(request_id, now)
    taken.append(request_id)
  return taken


class TestOrder(unittest.TestCase):

  def test_urgent_goes_first_once_others_have_their_reserve(self):
    admission = make_admission()
    fill(admission, 3, 'o', engine_s=1.0)
    fill(admission, 3, 'u', rank='urgent', engine_s=0.01)
    drain(admission, 1)
    self.assertEqual(['u0', 'u1', 'u2'], drain(admission, 3))

  def test_others_keep_their_reserve_in_a_flood_of_urgent_work(self):
    admission = make_admission(engines=1000.0)
    fill(admission, 100, 'u', rank='urgent')
    fill(admission, 100, 'o')
    taken = drain(admission, 100)
    others = sum(1 for request_id in taken if request_id.startswith('o'))
    self.assertAlmostEqual(0.3, others / 100, delta=0.03)

  def test_tenants_get_their_shares(self):
    admission = make_admission(engines=100.0)
    fill(admission, 100, 'l')
    fill(admission, 100, 's', tenant='small')
    taken = drain(admission, 80)
    large = sum(1 for request_id in taken if request_id.startswith('l'))
    self.assertAlmostEqual(0.75, large / 80, delta=0.03)

  def test_use_on_other_hosts_counts(self):
    admission = make_admission(engines=100.0)
    fill(admission, 10, 'l')
    fill(admission, 10, 's', tenant='small')
    peer_digest = fleet_usage.UsageDigest(
        {'large': 60.0}, {'other': 60.0}, {}, {}
    )
    admission.update_peer('entry-2', peer_digest, 0.0)
    taken = drain(admission, 10)
    self.assertEqual([f's{number}' for number in range(10)], taken)

  def test_each_class_shows_a_head(self):
    admission = make_admission()
    fill(admission, 1, 'o')
    fill(admission, 1, 'u', rank='urgent')
    long = make_waiting('long')
    long = long._replace(cost=long.cost._replace(prefill_s=2.0))
    admission.offer('m', long, 0.0)
    self.assertEqual(3, len(admission.heads('m', 0.0)))


class TestRefusals(unittest.TestCase):

  def test_only_the_overloading_tenant_is_refused(self):
    admission = make_admission()
    refused = fill(admission, 200, 'l')
    self.assertGreater(len(refused), 150)
    self.assertEqual({}, fill(admission, 3, 's', tenant='small'))

  def test_refusals_get_distinct_retry_times(self):
    admission = make_admission()
    refused = fill(admission, 60, 'l')
    times = [error.retry_after_s for error in refused.values()]
    self.assertGreater(min(times), 1.0)
    self.assertGreater(max(times), 2 * min(times))
    self.assertEqual(len(times), len(set(times)))

  def test_a_retry_in_its_slot_is_admitted(self):
    admission = make_admission()
    refused = fill(admission, 60, 'l')
    last = list(refused)[0]
    back_at = refused[last].retry_after_s
    fill(admission, 60, 'n', now=back_at)
    again = make_waiting(last, now=back_at)
    self.assertIsNone(admission.offer('m', again, back_at))

  def test_a_retry_slot_is_valid_on_another_host(self):
    first, second = make_admission(), make_admission()
    refused = fill(first, 60, 'l')
    second.update_peer('entry-1', first.digest(0.0), 0.0)
    request_id = list(refused)[0]
    back_at = refused[request_id].retry_after_s
    fill(second, 60, 'n', now=back_at)
    again = make_waiting(request_id, now=back_at)
    self.assertIsNone(second.offer('m', again, back_at))

  def test_a_run_that_is_longer_than_the_deadline_is_refused(self):
    admission = make_admission()
    error = admission.offer('m', make_waiting('a', left_s=0.5), 0.0)
    self.assertIsInstance(error, errors.DeadlineError)
    self.assertEqual(errors.RUN_NOT_RUN, error.run)

  def test_a_wait_that_got_too_long_ends_before_the_deadline(self):
    admission = make_admission()
    fill(admission, 2, 'o')
    refusals = admission.expire(35.0)
    self.assertEqual(2, len(refusals))
    self.assertEqual({}, admission.waiting_by_rank())

  def test_a_resume_is_admitted_to_a_long_queue(self):
    admission = make_admission()
    fill(admission, 200, 'l')
    resumed = make_waiting('r')._replace(is_retry=True, next_index=7)
    self.assertIsNone(admission.offer('m', resumed, 0.0))
    heads = admission.heads('m', 0.0)
    self.assertEqual('r', heads[0].request.request_id)

  def test_a_withdrawn_request_is_gone(self):
    admission = make_admission()
    fill(admission, 1, 'o')
    self.assertIsNotNone(admission.withdraw('o0'))
    self.assertIsNone(admission.withdraw('o0'))
    self.assertEqual([], admission.heads('m', 0.0))
    self.assertEqual([], admission.expire(100.0))


if __name__ == '__main__':
  unittest.main()
