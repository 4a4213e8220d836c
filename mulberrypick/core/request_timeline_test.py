"""Tests of the timeline of a request."""

import unittest

from mulberrypick.core import request_timeline

LINES = (
    ' 8.1 h1 at="2026-01-01 10:00:08,100" level=INFO event=call_retried'
    ' reason=silent request=r1 endpoint=e1 runs=1 host=h1',
    'at="2026-01-01 10:00:07,900" level=INFO event=endpoint_dropped'
    ' endpoint=e1 reason=leaving host=h1',
    'at="2026-01-01 10:00:07,900" level=INFO event=endpoint_dropped'
    ' endpoint=e9 reason=leaving host=h1',
    'at="2026-01-01 10:00:09,000" level=INFO event=call_failed reason=reset'
    ' request=r1 endpoint=e2 host=h1',
    'at="2026-01-01 10:00:09,000" level=INFO event=call_failed reason=reset'
    ' request=r2 endpoint=e2 host=h1',
    'at="2026-01-01 10:00:20,000" level=INFO event=store_lost host=h1',
    'no line of ours',
)


class RequestTimelineTest(unittest.TestCase):

  def test_lines_of_a_request_and_around_it_are_ordered_by_time(self):
    timeline = request_timeline.build_timeline(LINES, 'r1')
    self.assertEqual(len(timeline), 3)
    self.assertIn('endpoint_dropped', timeline[0])
    self.assertTrue(timeline[0].startswith('  '))
    self.assertIn('10:00:08.100 h1 call_retried reason=silent', timeline[1])
    self.assertIn('call_failed', timeline[2])

  def test_lines_about_the_same_content_are_included_from_all_hosts(self):
    same = (
        'at="2026-01-01 10:00:01,000" level=INFO event=call_broke'
        ' request=r3 request_hash=0a endpoint=e7 host=h3'
    )
    refused = (
        'at="2026-01-01 10:00:30,000" level=INFO event=call_refused'
        ' reason=crashes_endpoints request=r4 request_hash=0a host=h1'
    )
    timeline = request_timeline.build_timeline((*LINES, refused, same), 'r4')
    self.assertEqual(len(timeline), 2)
    self.assertIn('  10:00:01.000 h3 call_broke', timeline[0])

  def test_begin_of_a_stop_is_included(self):
    # Guards against a request that a stop cut and that can't be traced to it:
    # SIGTERM comes as long before as the grace period lasts.
    stop = (
        'at="2026-01-01 10:00:00,500" level=INFO event=stopping grace_s=9.0'
        ' host=h1',
        'at="2026-01-01 10:00:00,500" level=INFO event=stopping grace_s=9.0'
        ' host=h2',
        'at="2026-01-01 10:00:14,500" level=INFO event=stopped host=h1',
        'at="2026-01-01 09:00:00,500" level=INFO event=starting host=h1',
    )
    timeline = request_timeline.build_timeline((*LINES, *stop), 'r1')
    self.assertIn('10:00:00.500 h1 stopping grace_s=9.0', timeline[0])
    self.assertIn('10:00:14.500 h1 stopped', timeline[-1])
    self.assertEqual(len(timeline), 5)

  def test_unknown_request(self):
    self.assertEqual(request_timeline.build_timeline(LINES, 'r7'), [])


if __name__ == '__main__':
  unittest.main()
