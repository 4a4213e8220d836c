"""Tests of the quarantine, the isolation of suspects and the retry budget."""

import unittest

from mulberrypick.core import crash_exchange
from mulberrypick.core import isolation
from mulberrypick.core import quarantine
from mulberrypick.core import retry_budget

CRASHING, CONCURRENT, OTHER = 1, 2, 3


class TestQuarantine(unittest.TestCase):

  def test_the_second_crash_identifies_the_request(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CRASHING, False, 0.0)
    found.record_broken_attempt('e1', 1, CONCURRENT, False, 0.01)
    self.assertEqual(quarantine.SUSPECT, found.verdict(CONCURRENT, 0.1))
    found.record_broken_attempt('e2', 1, OTHER, True, 5.0)
    found.record_broken_attempt('e2', 1, CRASHING, False, 5.01)
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 5.1))
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, 5.1))
    self.assertEqual(quarantine.CLEAR, found.verdict(OTHER, 5.1))

  def test_one_that_ran_to_its_end_is_cleared(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CONCURRENT, False, 0.0)
    found.record_completion(CONCURRENT, 0.05)
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, 0.1))

  def test_two_broken_attempts_of_one_crash_count_once(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CONCURRENT, False, 0.0)
    found.record_broken_attempt('e1', 1, CONCURRENT, False, 0.5)
    self.assertEqual(quarantine.SUSPECT, found.verdict(CONCURRENT, 1.0))

  def test_one_with_tokens_is_refused_after_the_third_crash(self):
    found = quarantine.Quarantine()
    for second, endpoint in enumerate(('e1', 'e2')):
      found.record_broken_attempt(endpoint, 1, CRASHING, True, second * 3.0)
    self.assertEqual(quarantine.SUSPECT, found.verdict(CRASHING, 4.0))
    self.assertTrue(found.is_strong(CRASHING))
    found.record_broken_attempt('e3', 1, CRASHING, True, 6.0)
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 6.1))

  def test_a_failed_network_makes_no_suspects(self):
    found = quarantine.Quarantine()
    for number in range(5):
      found.record_broken_attempt(f'e{number}', 1, number, False, 0.1 * number)
    for number in range(5):
      self.assertEqual(quarantine.CLEAR, found.verdict(number, 1.0))

  def test_a_failed_network_withdraws_only_what_this_host_saw(self):
    found = quarantine.Quarantine()
    report = crash_exchange.CrashReport('e2', 1, 0.0, False, (OTHER,))
    found.exchange.merge(
        crash_exchange.CrashNews((report,)), 'host-2', False, 0.0
    )
    added = []
    for number in range(3):
      added = found.record_broken_attempt(
          f'e{number}', 1, 10 + number, False, 0.1 * number
      )
    self.assertEqual(added, [])
    self.assertEqual(quarantine.CLEAR, found.verdict(12, 1.0))
    self.assertEqual(quarantine.SUSPECT, found.verdict(OTHER, 1.0))

  def test_reports_of_others_expire_without_own_breaks(self):
    found = quarantine.Quarantine()
    for number in range(2):
      report = crash_exchange.CrashReport(f'e{number}', 1, 0.0, True, (OTHER,))
      found.exchange.merge(
          crash_exchange.CrashNews((report,)), 'host-2', False, 0.0
      )
    found.expire(quarantine.SUSPECT_TTL_S + 1.0)
    self.assertEqual(found.all_crashes(), [])
    self.assertEqual(
        found.exchange.take_news(quarantine.SUSPECT_TTL_S + 1.0),
        crash_exchange.CrashNews(),
    )

  def test_fast_crashes_by_one_request_are_no_network_failure(self):
    found = quarantine.Quarantine()
    for number in range(3):
      found.record_broken_attempt(
          f'e{number}', 1, CRASHING, False, 0.2 * number
      )
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 1.0))

  def test_crashing_request_is_refused_although_another_shared_its_crashes(
      self,
  ):
    for has_token in (False, True):
      found = quarantine.Quarantine()
      for second, endpoint in enumerate(('e1', 'e2', 'e3')):
        for fingerprint in (CONCURRENT, CRASHING):
          found.record_broken_attempt(
              endpoint, 1, fingerprint, has_token, 5.0 * second
          )
      self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 11.0))

  def test_request_that_shared_all_crashes_is_tried_again_after_a_while(self):
    found = quarantine.Quarantine()
    for number in range(3):
      for fingerprint in (CONCURRENT, CRASHING):
        found.record_broken_attempt(
            f'e{number}', 1, fingerprint, False, 5.0 * number
        )
    later = 10.0 + quarantine.SHARED_REFUSAL_S
    self.assertEqual(quarantine.REFUSED, found.verdict(CONCURRENT, later - 0.1))
    self.assertEqual(quarantine.SUSPECT, found.verdict(CONCURRENT, later))
    found.record_broken_attempt('e4', 1, CRASHING, False, later)
    end = later + quarantine.QUARANTINE_S - 1.0
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, end))
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, later))

  def test_requests_that_share_all_crashes_are_tried_ever_more_seldom(self):
    found = quarantine.Quarantine()
    crashes = 0
    for second in range(400):
      if found.verdict(CRASHING, float(second)) == quarantine.REFUSED:
        continue
      crashes += 1
      for fingerprint in (CONCURRENT, CRASHING):
        found.record_broken_attempt(
            f'e{second}', 1, fingerprint, False, float(second)
        )
    # Three, and the three retries that are allowed later.
    self.assertEqual(crashes, 6)

  def test_no_request_is_blamed_for_two_crashes_that_another_shared(self):
    found = quarantine.Quarantine()
    for second, endpoint in enumerate(('e1', 'e2')):
      for fingerprint in (CONCURRENT, CRASHING):
        found.record_broken_attempt(
            endpoint, 1, fingerprint, False, 5.0 * second
        )
    self.assertEqual(quarantine.SUSPECT, found.verdict(CONCURRENT, 5.1))
    self.assertEqual(quarantine.SUSPECT, found.verdict(CRASHING, 5.1))

  def test_stored_evidence_against_a_sound_request_yields_to_the_cause(self):
    # A host that did not hear of the cause yet refuses the request beside it,
    # and stores why. Hosts that start later read it, and that of the cause.
    found = quarantine.Quarantine()
    for second, endpoint in enumerate(('e1', 'e2')):
      found.record_broken_attempt(endpoint, 1, CONCURRENT, False, 5.0 * second)
    self.assertTrue(found.is_refused(CONCURRENT, 5.1))
    stored = list(found.exchange.reports_of(CONCURRENT, 5.1))
    for second, endpoint in enumerate(('e1', 'e2', 'e3')):
      found.record_broken_attempt(endpoint, 1, CRASHING, False, 5.0 * second)
    stored += found.exchange.reports_of(CRASHING, 10.1)
    started = quarantine.Quarantine()
    news = crash_exchange.CrashNews(tuple(stored))
    started.exchange.merge(news, 'store', False, 10.2)
    for host in (found, started):
      self.assertFalse(host.is_refused(CONCURRENT, 10.2))
      self.assertTrue(host.is_refused(CRASHING, 10.2))

  def test_second_crash_beside_other_failures_counts(self):
    # Three endpoints at once look like a failed network.
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CRASHING, False, 0.0)
    found.record_broken_attempt('e2', 1, CRASHING, False, 10.0)
    found.record_broken_attempt('e3', 1, CONCURRENT, False, 10.1)
    found.record_broken_attempt('e4', 1, OTHER, False, 10.2)
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 10.3))

  def test_an_endpoint_that_reports_afterwards_did_not_crash(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CONCURRENT, False, 0.0)
    found.record_alive('e1', 1, 0.5)
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, 1.0))
    found.record_broken_attempt('e2', 1, CONCURRENT, False, 10.0)
    found.record_broken_attempt('e3', 1, CONCURRENT, False, 15.0)
    self.assertEqual(quarantine.REFUSED, found.verdict(CONCURRENT, 15.1))
    found.record_alive('e3', 1, 15.5)
    self.assertEqual(quarantine.SUSPECT, found.verdict(CONCURRENT, 16.0))
    found.record_alive('e2', 1, 15.5)
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, 16.0))

  def test_a_new_incarnation_or_an_old_report_clears_no_suspect(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CRASHING, False, 10.0)
    found.record_alive('e1', 2, 12.0)
    found.record_alive('e1', 1, 9.0)
    self.assertEqual(quarantine.SUSPECT, found.verdict(CRASHING, 13.0))

  def test_both_states_end_by_time(self):
    found = quarantine.Quarantine()
    found.record_broken_attempt('e1', 1, CRASHING, False, 0.0)
    found.record_broken_attempt('e2', 1, CRASHING, False, 3.0)
    found.record_broken_attempt('e3', 1, CONCURRENT, False, 9.0)
    later = 9.0 + quarantine.SUSPECT_TTL_S
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, later))
    later = 3.0 + quarantine.QUARANTINE_S
    self.assertEqual(quarantine.CLEAR, found.verdict(CRASHING, later))

  def test_suspects_and_refusals_of_a_peer_are_applied(self):
    found = quarantine.Quarantine()
    found.update_peer((CONCURRENT,), (CRASHING,), 0.0)
    self.assertEqual(quarantine.TRIED_BY_PEER, found.verdict(CONCURRENT, 1.0))
    self.assertEqual(quarantine.REFUSED, found.verdict(CRASHING, 1.0))
    silent = quarantine.PEER_TTL_S + 1.0
    self.assertEqual(quarantine.CLEAR, found.verdict(CONCURRENT, silent))

  def test_hosts_that_repeat_a_refusal_to_each_other_do_not_prolong_it(self):
    found, other = quarantine.Quarantine(), quarantine.Quarantine()
    found.update_peer((), (CRASHING,), 0.0)
    for step in range(1, 13):
      now = step * quarantine.QUARANTINE_S / 10
      other.update_peer((), found.refused(now), now)
      found.update_peer((), other.refused(now), now)
    self.assertEqual(quarantine.CLEAR, found.verdict(CRASHING, now))

  def test_memory_is_bounded(self):
    found = quarantine.Quarantine()
    for number in range(3 * quarantine.MAX_TRACKED):
      found.record_broken_attempt('e1', 1, number, False, 2.0 * number)
    self.assertLessEqual(len(found.suspects(0.0)), quarantine.MAX_ANNOUNCED)


class TestIsolation(unittest.TestCase):

  def test_hosts_use_different_endpoints_for_suspects(self):
    names = ('entry-1', 'entry-2', 'entry-3')
    endpoints = [f'e{number}' for number in range(30)]
    allowed = []
    for name in names:
      isolated = isolation.Isolation(name)
      isolated.set_entries(names)
      isolated.quarantine.record_broken_attempt('e0', 1, CRASHING, False, 0.0)
      held = make_held(queued_at=0.0)
      excluded = isolated.excluded(held, endpoints, (), 0.1)
      allowed.append(set(endpoints).difference(excluded))
    self.assertEqual(set(endpoints), set().union(*allowed))
    self.assertEqual(30, sum(len(names) for names in allowed))

  def test_a_suspect_that_failed_everywhere_may_run_again(self):
    isolated = isolation.Isolation('entry-1')
    held = make_held(queued_at=0.0)
    waiting = held.waiting._replace(failed_endpoints=('e1', 'e2'))
    held = held._replace(waiting=waiting)
    self.assertEqual((), isolated.excluded(held, ['e1', 'e2'], (), 0.1))
    self.assertEqual(
        {'e1', 'e2'}, set(isolated.excluded(held, ['e1', 'e2', 'e3'], (), 0.1))
    )

  def test_any_endpoint_may_be_used_after_a_while(self):
    isolated = isolation.Isolation('entry-1')
    isolated.set_entries(('entry-2',))
    held = make_held(queued_at=0.0)
    later = isolation.OWN_ENDPOINTS_ONLY_S + 0.1
    self.assertIn('e1', isolated.excluded(held, ['e1'], (), 0.1))
    self.assertNotIn('e1', isolated.excluded(held, ['e1'], (), later))
    self.assertIn('e1', isolated.excluded(held, ['e1'], ('e1',), later))


class TestRetryBudget(unittest.TestCase):

  def test_first_retry_is_free_and_further_ones_are_not(self):
    budget = retry_budget.RetryBudget()
    for _ in range(500):
      self.assertTrue(budget.take(1, 0.0))
    taken = sum(1 for _ in range(500) if budget.take(2, 0.0))
    self.assertEqual(retry_budget.MAX_RETRIES, taken)

  def test_new_requests_refill_the_budget(self):
    budget = retry_budget.RetryBudget()
    while budget.take(2, 0.0):
      pass
    for _ in range(10):
      budget.record_request()
    self.assertTrue(budget.take(2, 0.0))


def make_held(queued_at):
  """Makes a held request with the fingerprint of the crashing request."""
  waiting = isolation.waiting_base.WaitingRequest(
      None, 0, (), None, queued_at, True, CRASHING
  )
  return isolation.HeldRequest('m', waiting)


if __name__ == '__main__':
  unittest.main()
