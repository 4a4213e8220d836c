"""Tests of the limits that endpoints name."""

import unittest

from mulberrypick.core import endpoint_limits

_ENDPOINT = ('engine-1', 7)


def _named(rate, at):
  return endpoint_limits.Limit(rate, at, '')


class EndpointLimitsTest(unittest.TestCase):

  def setUp(self):
    self.limits = endpoint_limits.EndpointLimits()

  def test_response_without_limit_ends_it(self):
    self.assertTrue(self.limits.observe(_ENDPOINT, _named(1.5, 10.0)))
    self.assertEqual(self.limits.rate(_ENDPOINT), 1.5)
    self.assertTrue(self.limits.observe(_ENDPOINT, _named(None, 10.2)))
    self.assertIsNone(self.limits.rate(_ENDPOINT))

  def test_response_to_an_earlier_request_does_not_end_it(self):
    self.limits.observe(_ENDPOINT, _named(1.5, 10.0))
    self.assertFalse(self.limits.observe(_ENDPOINT, _named(None, 9.9)))
    self.assertEqual(self.limits.rate(_ENDPOINT), 1.5)

  def test_restarted_endpoint_has_no_limit(self):
    self.limits.observe(_ENDPOINT, _named(1.5, 10.0))
    self.assertIsNone(self.limits.rate(('engine-1', 8)))
    self.limits.prune({('engine-1', 8)})
    self.assertEqual(self.limits.limited(), [])

  def test_reports_are_sent_at_once_and_repeated(self):
    self.limits.take_reports(9.9)
    self.limits.observe(_ENDPOINT, _named(1.5, 10.0))
    self.assertTrue(self.limits.has_unsent())
    report = endpoint_limits.LimitReport('engine-1', 7, 1.5, 0.1)
    self.assertEqual(self.limits.take_reports(10.1), [report])
    self.assertEqual(self.limits.take_reports(10.2), [])
    repeated = self.limits.take_reports(11.0)
    self.assertEqual(repeated, [report._replace(age_s=1.0)])

  def test_hosts_agree_whatever_the_order_of_reports(self):
    reports = [
        endpoint_limits.LimitReport('engine-1', 7, 1.5, 3.0),
        endpoint_limits.LimitReport('engine-1', 7, None, 2.0),
        endpoint_limits.LimitReport('engine-1', 7, 2.5, 1.0),
    ]
    for order in (reports, reports[::-1]):
      limits = endpoint_limits.EndpointLimits()
      for report in order:
        limits.merge(report, 'host-2', False, 10.0)
      self.assertEqual(limits.rate(_ENDPOINT), 2.5)
      self.assertFalse(limits.has_unsent())

  def test_small_change_is_neither_told_at_once_nor_logged(self):
    self.limits.observe(_ENDPOINT, _named(1.5, 10.0))
    self.limits.take_reports(10.0)
    self.assertFalse(self.limits.observe(_ENDPOINT, _named(1.6, 10.1)))
    self.assertFalse(self.limits.has_unsent())
    self.assertEqual(self.limits.rate(_ENDPOINT), 1.6)
    self.assertTrue(self.limits.observe(_ENDPOINT, _named(1.9, 10.2)))

  def test_relay_forwards_new_limits(self):
    report = endpoint_limits.LimitReport('engine-1', 7, 1.5, 3.0)
    self.limits.merge(report, 'host-2', True, 10.0)
    self.assertTrue(self.limits.has_unsent())

  def test_ended_limit_is_told_for_a_while(self):
    self.limits.observe(_ENDPOINT, _named(1.5, 10.0))
    self.limits.observe(_ENDPOINT, _named(None, 11.0))
    self.assertEqual(self.limits.take_reports(12.0)[0].rate, None)
    self.assertEqual(self.limits.take_reports(22.0), [])


if __name__ == '__main__':
  unittest.main()
