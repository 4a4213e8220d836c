"""Tests of permits for limited endpoints."""

import random
import unittest

from mulberrypick.core import endpoint_limits
from mulberrypick.core import permits

_ENDPOINT = ('desk-1', 1)
WINDOW_S = 4.0


def _allowed(rate: float) -> float:
  """Returns the requests that the platform allows in a window."""
  return 1.5 * rate * WINDOW_S + 5


def _worst_window(times: list[float]) -> int:
  worst = 0
  for first in times:
    worst = max(worst, sum(first <= at <= first + WINDOW_S for at in times))
  return worst


class PermitsTest(unittest.TestCase):

  def setUp(self):
    self.limits = endpoint_limits.EndpointLimits()
    self.permits = permits.Permits(self.limits, random.Random(1))
    self.limits.observe(_ENDPOINT, endpoint_limits.Limit(1.5, 0.0, ''))

  def _ask(self, is_urgent, now):
    self.assertTrue(self.permits.want([_ENDPOINT], is_urgent, now))
    (request,) = self.permits.take_wanted(now)
    return request

  def _reply(self, request, is_granted, now, wait_s=0.0):
    self.permits.handle_reply(
        permits.PermitReply(*_ENDPOINT, request.number, is_granted, wait_s), now
    )

  def test_endpoint_without_limit_needs_no_permit(self):
    other = ('desk-2', 1)
    self.assertTrue(self.permits.may_send(other, False, 0.0))
    self.assertTrue(self.permits.take(other, False, 0.0))

  def test_permit_allows_one_request(self):
    self.assertFalse(self.permits.take(_ENDPOINT, False, 0.0))
    self._reply(self._ask(False, 0.0), True, 0.01)
    self.assertTrue(self.permits.may_send(_ENDPOINT, False, 0.01))
    self.assertTrue(self.permits.take(_ENDPOINT, False, 0.01))
    self.assertFalse(self.permits.take(_ENDPOINT, False, 0.01))

  def test_permit_expires(self):
    self._reply(self._ask(False, 0.0), True, 0.4)
    self.assertTrue(self.permits.may_send(_ENDPOINT, False, 0.45))
    self.assertFalse(self.permits.take(_ENDPOINT, False, 0.51))

  def test_permit_for_urgent_request_serves_no_other(self):
    self._reply(self._ask(True, 0.0), True, 0.01)
    self.assertFalse(self.permits.take(_ENDPOINT, False, 0.02))
    self.assertTrue(self.permits.take(_ENDPOINT, True, 0.02))

  def test_asks_again_after_the_time_in_a_refusal(self):
    self._reply(self._ask(False, 0.0), False, 0.01, 0.5)
    self.assertFalse(self.permits.want([_ENDPOINT], False, 0.3))
    self.assertFalse(self.permits.has_wanted())
    self.assertAlmostEqual(self.permits.wait_s([_ENDPOINT], False, 0.3), 0.21)
    self.assertTrue(self.permits.want([_ENDPOINT], False, 0.52))

  def test_refusal_of_another_rank_does_not_delay_an_urgent_request(self):
    self._reply(self._ask(False, 0.0), False, 0.01, 2.0)
    self.assertFalse(self.permits.want([_ENDPOINT], False, 0.02))
    self._reply(self._ask(True, 0.02), False, 0.03, 0.5)
    self.assertFalse(self.permits.want([_ENDPOINT], True, 0.04))
    self.assertAlmostEqual(self.permits.wait_s([_ENDPOINT], True, 0.03), 0.5)
    self.assertAlmostEqual(self.permits.wait_s([_ENDPOINT], False, 0.01), 2.0)

  def test_asks_again_if_no_reply_arrives(self):
    self._ask(False, 0.0)
    self.assertTrue(self.permits.want([_ENDPOINT], False, 0.05))
    self.assertFalse(self.permits.has_wanted())
    self.assertFalse(self.permits.want([_ENDPOINT], False, 0.2))
    self._ask(False, 0.3)

  def test_late_reply_to_an_older_request_is_ignored(self):
    old = self._ask(False, 0.0)
    self._ask(False, 0.3)
    self._reply(old, True, 0.31)
    self.assertFalse(self.permits.may_send(_ENDPOINT, False, 0.32))

  def test_reserved_permit_is_not_given_twice(self):
    self._reply(self._ask(False, 0.0), True, 0.01)
    until = self.permits.reserve(_ENDPOINT, False, 0.02)
    self.assertAlmostEqual(until, permits.PERMIT_TTL_S)
    self.assertFalse(self.permits.may_send(_ENDPOINT, False, 0.03))

  def test_permits_end_with_the_limit(self):
    self._reply(self._ask(False, 0.0), True, 0.01)
    self.limits.observe(_ENDPOINT, endpoint_limits.Limit(None, 0.1, ''))
    self.permits.prune()
    self.limits.observe(_ENDPOINT, endpoint_limits.Limit(1.0, 0.2, ''))
    self.assertFalse(self.permits.may_send(_ENDPOINT, False, 0.21))


class PermitIssuerTest(unittest.TestCase):

  def _issuer(self, own='a'):
    return permits.PermitIssuer(own, random.Random(1))

  def _request(self, issuer, now, rate=1.5, share=1.0, is_urgent=False):
    request = permits.PermitRequest(*_ENDPOINT, 1, is_urgent)
    return issuer.issue(request, rate, share, now)

  def _count(self, issuer, first, last, **options):
    granted = 0
    for step in range(int(first * 100), int(last * 100)):
      granted += self._request(issuer, step / 100, **options).is_granted
    return granted

  def test_issues_at_the_rate_of_the_limit(self):
    granted = self._count(self._issuer(), 0.0, 100.0)
    self.assertGreater(granted, 140)
    self.assertLessEqual(granted, 150)

  def test_issues_less_if_other_hosts_are_out_of_reach(self):
    granted = self._count(self._issuer(), 0.0, 100.0, rate=9.0, share=1 / 3)
    self.assertGreater(granted, 290)
    self.assertLessEqual(granted, 301)

  def test_requests_of_rank_0_come_first(self):
    issuer = self._issuer()
    self._count(issuer, 0.0, 10.0)
    while self._request(issuer, 10.0).is_granted:
      continue
    self.assertTrue(self._request(issuer, 10.0, is_urgent=True).is_granted)

  def test_endpoint_that_takes_nothing_gets_a_few_requests(self):
    granted = self._count(self._issuer(), 0.0, 100.0, rate=0.0)
    self.assertGreater(granted, 15)
    self.assertLess(granted, 30)

  def test_only_the_first_in_rank_issues(self):
    issuers = {}
    for own in 'abc':
      issuers[own] = self._issuer(own)
      issuers[own].update_candidates(frozenset('abc'), 0.0)
    granted = []
    for own, issuer in issuers.items():
      self._request(issuer, 2.0)
      granted.append(self._count(issuer, 2.0, 12.0))
      is_first = issuer.issuer_of('desk-1') == own
      self.assertEqual(granted[-1] > 0, is_first)
    self.assertEqual(sum(count > 0 for count in granted), 1)

  def test_new_issuer_waits_until_all_know_it(self):
    issuer = self._issuer()
    rank = permits.rendezvous.rank('desk-1', 'abc')
    issuer = self._issuer(rank[1])
    issuer.update_candidates(frozenset('abc'), 0.0)
    self.assertEqual(self._count(issuer, 5.0, 10.0), 0)
    issuer.update_candidates(frozenset(rank[1:]), 10.0)
    self.assertEqual(self._count(issuer, 10.0, 12.0), 0)
    self.assertGreater(self._count(issuer, 12.0, 20.0), 0)

  def test_change_of_other_candidates_keeps_the_issuer(self):
    rank = permits.rendezvous.rank('desk-1', 'abc')
    issuer = self._issuer(rank[0])
    issuer.update_candidates(frozenset('abc'), 0.0)
    self._count(issuer, 2.0, 10.0)
    issuer.update_candidates(frozenset(rank[:2]), 10.0)
    self.assertGreater(self._count(issuer, 10.0, 12.0), 0)


class IssuedWindowTest(unittest.TestCase):
  """Permits of many hosts, with a change of the issuer at any time."""

  def _run(self, seed: int) -> list[float]:
    """Returns the times at which permits are used."""
    rng = random.Random(seed)
    rate = rng.choice((0.5, 1.5, 1.8, 5.0, 20.0))
    addresses = frozenset(f'h{number}' for number in range(9))
    rank = permits.rendezvous.rank('desk-1', addresses)
    issuers = {}
    for address in rank[:2]:
      issuers[address] = permits.PermitIssuer(address, rng)
      issuers[address].update_candidates(addresses, 0.0)
    change_at = rng.uniform(5.0, 15.0)
    # The others notice that the first one is gone within this time.
    noticed_at = change_at + rng.uniform(0.0, permits.HANDOVER_S)
    used = []
    for step in range(300, 2500):
      now = step / 100
      address = rank[0] if now < change_at else rank[1]
      if now >= noticed_at:
        issuers[rank[1]].update_candidates(addresses - {rank[0]}, noticed_at)
      request = permits.PermitRequest(*_ENDPOINT, step, rng.random() < 0.5)
      if issuers[address].issue(request, rate, 1.0, now).is_granted:
        used.append(now + rng.uniform(0.0, permits.PERMIT_TTL_S))
    self.assertLessEqual(_worst_window(sorted(used)), _allowed(rate))
    return used

  def test_no_window_exceeds_what_the_platform_allows(self):
    for seed in range(30):
      with self.subTest(seed=seed):
        self.assertTrue(self._run(seed))


if __name__ == '__main__':
  unittest.main()
