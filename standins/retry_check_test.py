"""Tests of the check of extra arrivals."""

import unittest

from standins import retry_check

CALL = retry_check.CallKind.CALL
PREFILL = retry_check.CallKind.PREFILL
REPEATED = retry_check.CallKind.REPEATED


def arrive(at, request, kind=CALL, service='desk'):
  return retry_check.Arrival(at, request, service, kind)


def send(at, service='desk'):
  return retry_check.Request(at, service)


def repeats(times):
  """Returns arrivals of which one at each time is extra."""
  arrivals = []
  for number, at in enumerate(times):
    arrivals.append(arrive(at - 0.001, f'r{number}'))
    arrivals.append(arrive(at, f'r{number}'))
  return arrivals


class ExtraArrivalsTest(unittest.TestCase):

  def count(self, *kinds):
    arrivals = []
    for number, kind in enumerate(kinds):
      arrivals.append(arrive(float(number), 'r', kind))
    return len(retry_check.extra_arrivals(arrivals))

  def test_first_arrival_is_not_extra(self):
    self.assertEqual(self.count(CALL), 0)
    self.assertEqual(self.count(CALL, CALL, CALL), 2)

  def test_only_the_first_accepted_prefill_is_free(self):
    self.assertEqual(self.count(PREFILL, CALL), 0)
    self.assertEqual(self.count(CALL, PREFILL, CALL), 1)
    self.assertEqual(self.count(PREFILL, CALL, PREFILL, CALL), 2)
    self.assertEqual(self.count(PREFILL, PREFILL, CALL), 1)

  def test_call_of_a_repeated_run_is_always_extra(self):
    self.assertEqual(self.count(REPEATED), 1)

  def test_requests_and_services_are_counted_apart(self):
    arrivals = [
        arrive(0.0, 'r'),
        arrive(1.0, 's'),
        arrive(2.0, 'r', service='engine'),
    ]
    self.assertEqual(retry_check.extra_arrivals(arrivals), [])

  def test_order_of_the_records_does_not_matter(self):
    arrivals = [arrive(2.0, 'r'), arrive(1.0, 'r')]
    self.assertEqual(retry_check.extra_arrivals(arrivals), [(2.0, 'desk')])


class WindowsTest(unittest.TestCase):

  bound = retry_check.Bound(0.5, 2.0, 10.0)

  def find(self, times, requests=()):
    return retry_check.find_excess(
        repeats(times), [send(at) for at in requests], self.bound
    )

  def test_slack_may_be_used_in_each_window(self):
    self.assertEqual(self.find([1.0, 2.0, 11.0, 12.0]), [])

  def test_windows_slide(self):
    found = self.find([9.0, 9.5, 10.5])
    self.assertEqual([window.extra for window in found], [3])
    self.assertEqual(found[0].allowed, 2.0)

  def test_separate_cases_are_found(self):
    found = self.find([1.0, 1.0, 1.0, 50.0, 50.0, 50.0])
    self.assertEqual(len(found), 2)

  def test_requests_of_this_or_an_earlier_window_count(self):
    extra = [20.0, 20.1, 20.2]
    self.assertEqual(self.find(extra, [20.0, 20.1]), [])
    # For the window that begins at 20, those of the one before it.
    self.assertEqual(self.find(extra, [14.0, 14.1]), [])
    # For windows that begin after 16, those of the one 5 s earlier.
    self.assertEqual(self.find(extra, [16.0, 20.0]), [])
    self.assertEqual(len(self.find(extra, [0.1, 0.2])), 1)

  def test_requests_of_three_windows_are_not_added(self):
    requests = [6.0, 12.0, 25.0]
    self.assertEqual(len(self.find([20.0, 20.1, 20.2], requests)), 1)

  def test_a_window_with_fewer_requests_is_found(self):
    # Windows that begin at 10.2 to 20 hold the arrivals; those that begin
    # before 12.6 have none of the later requests, after 11.1 none of the first.
    found = self.find([20.0, 20.1, 20.2], [1.0, 1.1, 22.5, 22.6])
    self.assertEqual(len(found), 1)
    self.assertGreater(found[0].began_at, 11.0)
    self.assertLessEqual(found[0].began_at, 12.6)

  def test_requests_for_another_service_do_not_count(self):
    found = retry_check.find_excess(
        repeats([1.0, 1.1, 1.2]), [send(1.0, 'engine')] * 9, self.bound
    )
    self.assertEqual(len(found), 1)

  def test_worst_window_of_a_service_is_returned(self):
    found = retry_check.worst_windows(
        repeats([1.0, 30.0, 31.0]), [], self.bound
    )
    self.assertEqual([window.extra for window in found], [2])


if __name__ == '__main__':
  unittest.main()
