"""Tests of the collection of signs of crashes."""

import unittest

from mulberrypick.core import crash_evidence
from mulberrypick.core import crash_exchange
from mulberrypick.core import endpoint_registry
from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import quarantine
from mulberrypick.ops import crash_watch

FIRST, SECOND = ('a', 1), ('b', 1)
CRASHING = 7


class CrashWatchTest(unittest.TestCase):

  def setUp(self):
    self.quarantine = quarantine.Quarantine()
    self.watch = crash_watch.CrashWatch(self.quarantine)
    for at, key in ((10.0, FIRST), (11.0, SECOND)):
      self.watch.record_break(key, CRASHING, False, at)

  def verdict(self, now: float = 12.0) -> str:
    return self.quarantine.verdict(CRASHING, now)

  def test_refusal_is_logged_with_its_crashes_once(self):
    with self.assertLogs(crash_watch.__name__, 'INFO') as lines:
      self.watch.record_break(('c', 1), CRASHING, False, 12.0)
      self.watch.record_break(('d', 1), CRASHING, False, 13.0)
    self.assertEqual(
        sum('request_quarantined' in line for line in lines.output), 0
    )
    watch = crash_watch.CrashWatch(self.quarantine)
    with self.assertLogs(crash_watch.__name__, 'INFO') as lines:
      watch.record_break(('e', 1), CRASHING, False, 14.0)
    self.assertIn("'crashes': 'a/1:own,b/1:own", lines.output[-1])

  def test_more_requests_in_one_message_than_are_tracked(self):
    fingerprints = tuple(range(100, 100 + crash_evidence.MAX_TRACKED + 50))
    report = crash_exchange.CrashReport('c', 1, 0.1, False, fingerprints)
    news = crash_exchange.CrashNews((report,))
    self.watch.merge_news(news, 'host-2', True, 12.0)
    self.assertEqual(self.quarantine.verdict(101, 12.0), quarantine.CLEAR)
    self.assertEqual(self.verdict(), quarantine.REFUSED)

  def test_lines_are_limited_and_those_left_out_are_counted(self):
    excess = 5
    reports = []
    for number in range(crash_watch.MAX_LINES_PER_S + excess):
      reports.append(
          crash_exchange.CrashReport(f'x{number}', 1, 0.1, False, (number,))
      )
    news = crash_exchange.CrashNews(tuple(reports))
    with self.assertLogs(crash_watch.__name__, 'INFO') as lines:
      self.watch.merge_news(news, 'host-2', False, 20.5)
      self.watch.record_break(('y', 1), 99, False, 30.0)
    self.assertEqual(len(lines.output), crash_watch.MAX_LINES_PER_S + 2)
    self.assertIn(f"'count': {excess}", lines.output[-2])

  def test_response_on_a_connection_from_before_disproves_a_crash(self):
    self.watch.record_response(FIRST, 5.0, 11.5, False, 12.0)
    self.assertEqual(self.verdict(), quarantine.SUSPECT)

  def test_response_on_a_newer_connection_may_be_of_a_restarted_endpoint(self):
    self.watch.record_response(FIRST, 11.0, 11.5, False, 12.0)
    self.assertEqual(self.verdict(), quarantine.REFUSED)
    self.watch.record_response(FIRST, 11.0, 11.5, True, 12.0)
    self.assertEqual(self.verdict(), quarantine.SUSPECT)

  def test_response_to_a_request_from_before_disproves_nothing(self):
    self.watch.record_response(FIRST, 5.0, 9.9, True, 12.0)
    self.assertEqual(self.verdict(), quarantine.REFUSED)

  def test_endpoint_that_is_still_listed_did_not_crash(self):
    endpoints = endpoint_registry.EndpointRegistry()
    restarted = endpoint_registry_test.make_endpoint('b', started_ms=2)
    endpoints.replace_all(
        [endpoint_registry_test.make_endpoint('a'), restarted], 0.0
    )
    later = 11.0 + crash_watch.MAX_LISTED_AFTER_CRASH_S + 0.1
    self.watch.record_listed(endpoints, 12.0, later)
    self.assertEqual(self.verdict(later), quarantine.REFUSED)
    self.watch.record_listed(endpoints, 1.0, later)
    self.assertEqual(self.verdict(later), quarantine.SUSPECT)
    remaining = [crash.key for crash in self.quarantine.crashes(CRASHING)]
    self.assertEqual(remaining, [SECOND])

  def test_unanswered_attempt_counts_once_its_endpoint_ended(self):
    self.watch.record_unanswered(('c', 1), 8, False, 12.0)
    self.assertEqual(self.quarantine.verdict(8, 12.0), quarantine.CLEAR)
    self.watch.record_end(('c', 1), 15.0)
    self.watch.record_unanswered(('c', 1), 9, False, 16.0)
    for fingerprint in (8, 9):
      self.assertEqual(
          self.quarantine.verdict(fingerprint, 16.0), quarantine.SUSPECT
      )


class CrashesOfAPartTest(unittest.TestCase):
  """Requests of one part crash endpoints beside content that many ask for."""

  POPULAR = 77
  PART, OTHER_PART = frozenset({5}), frozenset({6})

  def setUp(self):
    self.quarantine = quarantine.Quarantine()
    self.watch = crash_watch.CrashWatch(self.quarantine)

  def crash(self, number: int, beside: int | None = None):
    """Lets one more request with the part crash an endpoint."""
    key, at = (f'e{number}', 1), 10.0 + number
    self.watch.record_break(key, 1000 + number, False, at, self.PART)
    if beside is not None:
      self.watch.record_break(key, beside, False, at, self.OTHER_PART)

  def is_refused(self, fingerprint: int, now: float = 20.0) -> bool:
    return self.quarantine.is_refused(fingerprint, now)

  def test_content_beside_the_part_is_released(self):
    # Guards against content that many callers send being refused for ten
    # minutes after hosts that had seen it complete were restarted.
    for number in range(3):
      self.crash(number, beside=self.POPULAR)
    self.assertTrue(self.is_refused(self.POPULAR, 12.1))
    with self.assertLogs(crash_watch.__name__, 'INFO') as lines:
      for number in range(3, 6):
        self.crash(number)
    self.assertFalse(self.is_refused(self.POPULAR))
    self.assertEqual(
        sum('request_released' in line for line in lines.output), 1
    )
    # One more crash beside the part says nothing new about it.
    self.crash(6, beside=self.POPULAR)
    self.assertFalse(self.is_refused(self.POPULAR))

  def test_content_at_a_crash_without_the_part_stays_refused(self):
    for number in range(2):
      self.crash(number, beside=self.POPULAR)
    self.watch.record_break(('x', 1), self.POPULAR, False, 12.5)
    for number in range(2, 6):
      self.crash(number)
    self.assertTrue(self.is_refused(self.POPULAR))

  def test_content_that_explains_as_many_crashes_is_refused_for_a_while(self):
    for number in range(3):
      self.crash(number, beside=self.POPULAR)
    self.assertTrue(self.is_refused(self.POPULAR, 12.1))
    after = 12.0 + quarantine.SHARED_REFUSAL_S
    self.assertFalse(self.is_refused(self.POPULAR, after + 0.1))
    # The next crash tells them apart.
    self.watch.record_break(('x', 1), self.POPULAR, False, after)
    self.assertTrue(self.is_refused(self.POPULAR, after + 60.0))

  def test_content_at_more_crashes_than_the_part_stays_refused(self):
    for number in range(4):
      self.crash(number, beside=self.POPULAR)
    self.watch.record_break(('x', 1), self.POPULAR, False, 15.0)
    self.assertTrue(self.is_refused(self.POPULAR, 60.0))

  def test_content_with_the_part_stays_refused(self):
    for number in range(3):
      self.watch.record_break(
          (f'e{number}', 1), self.POPULAR, False, 10.0 + number, self.PART
      )
    for number in range(3, 6):
      self.crash(number)
    self.assertTrue(self.is_refused(self.POPULAR))

  def test_content_is_refused_again_if_the_part_is_found_sound(self):
    for number in range(3):
      self.crash(number, beside=self.POPULAR)
    for number in range(3, 6):
      self.crash(number)
    self.assertFalse(self.is_refused(self.POPULAR))
    self.watch.parts.record_completion(self.PART, 16.0, 16.1)
    self.assertTrue(self.is_refused(self.POPULAR))


if __name__ == '__main__':
  unittest.main()
