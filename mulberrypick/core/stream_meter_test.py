"""Tests of the meter of a stream."""

import unittest

from mulberrypick.core import stream_meter


class StreamMeterTest(unittest.TestCase):

  def setUp(self):
    self.meter = stream_meter.StreamMeter()

  def test_pauses_are_those_between_events(self):
    for at in (5.0, 5.25, 6.25, 6.5):
      self.meter.record(1, 0, at)
    self.assertEqual(self.meter.events, 4)
    self.assertEqual(self.meter.longest_pause_s, 1.0)
    self.assertEqual(self.meter.mean_event_s, 0.5)

  def test_only_pauses_without_prefill_beside_tell_of_the_engine(self):
    self.assertIsNone(self.meter.record(1, 0, 1.0))
    self.assertEqual(self.meter.record(1, 0, 1.5), 0.5)
    self.assertIsNone(self.meter.record(1, 4_000, 2.0))
    self.assertIsNone(self.meter.record(1, 0, 2.5))
    self.assertIsNone(self.meter.record(2, 0, 3.0))
    self.assertEqual(self.meter.record(1, 0, 3.25), 0.25)
    self.assertEqual(self.meter.most_beside, 4_000)


if __name__ == '__main__':
  unittest.main()
