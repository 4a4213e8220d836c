"""Tests for the status report of operators."""

import unittest

from hdrh import histogram

from mulberrypick.core import status


def make_entry(name: str, values: list[int], **more) -> status.EntryReport:
  shown = histogram.HdrHistogram(
      status.MIN_LATENCY_MS, status.MAX_LATENCY_MS, status.SIGNIFICANT_FIGURES
  )
  for value in values:
    shown.record_value(value)
  key = {'metric': 'first_token', 'tenant': 'drivers', 'rank': 'urgent'}
  encoded = shown.encode().decode()
  metrics = {'histograms': [{'key': key, 'encoded': encoded}]}
  return {'name': name, 'zone': 'a', 'metrics': metrics, **more}


class TestStatus(unittest.TestCase):

  def test_percentiles_are_those_of_all_requests(self):
    entries = [make_entry('e1', [10] * 98), make_entry('e2', [1000] * 2)]
    (latency,) = status.merge_latencies(entries)
    self.assertEqual(latency[:5], ('first_token', 'drivers', 'urgent', 100, 10))
    self.assertGreaterEqual(latency.p99_ms, 990)

  def test_outdated_and_unreachable_hosts_are_shown(self):
    report = status.StatusReport(
        3,
        'ana',
        (),
        (
            make_entry('e1', [], generation=3, is_ready=True),
            make_entry('e2', [], generation=2, is_ready=True),
        ),
        (),
        (),
        (status.MissingHost('127.0.0.1:1', 'no answer'),),
    )
    text = status.format_status(report)
    self.assertRegex(text, r'e2 +a +ready +2 \(behind\)')
    self.assertNotRegex(text, r'e1 .*behind')
    self.assertIn('no answer from 127.0.0.1:1', text)
