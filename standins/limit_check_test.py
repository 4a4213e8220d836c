"""Tests of the check of limited endpoints."""

import unittest

from standins import limit_check


def _arrivals(host, *times):
  return [limit_check.Arrival(at, host) for at in times]


class LimitCheckTest(unittest.TestCase):

  def test_counts_requests_of_all_hosts_in_a_sliding_window(self):
    arrivals = _arrivals('a', 3.5, 5.0, 8.9) + _arrivals('b', 5.5, 7.0, 9.0)
    told = {'a': 0.0, 'b': 0.0}
    self.assertEqual(limit_check.count_worst_window(arrivals, told, 0.0), 5)

  def test_ignores_hosts_that_were_not_told_in_time(self):
    arrivals = _arrivals('a', 1.0, 1.4, 1.6) + _arrivals('b', 1.1, 1.2)
    told = {'a': 1.0}
    self.assertEqual(limit_check.count_worst_window(arrivals, told, 0.0), 1)

  def test_ignores_windows_that_end_before_the_checked_time(self):
    arrivals = _arrivals('a', 1.0, 1.1, 1.2, 9.0)
    self.assertEqual(
        limit_check.count_worst_window(arrivals, {'a': 0.0}, 5.0), 1
    )

  def test_allows_one_and_a_half_times_the_limit_and_five(self):
    self.assertEqual(limit_check.allowed_requests(1.5), 14.0)


if __name__ == '__main__':
  unittest.main()
