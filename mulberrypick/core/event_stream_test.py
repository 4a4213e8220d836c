"""Tests of splitting a stream into events."""

import unittest

from mulberrypick.core import event_stream


class EventCutterTest(unittest.TestCase):

  def test_events_are_the_same_however_the_bytes_arrive(self):
    raw = b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n'
    for size in range(1, len(raw) + 1):
      cutter = event_stream.EventSplitter()
      events = []
      for start in range(0, len(raw), size):
        events += cutter.feed(raw[start : start + size])
      self.assertEqual(b''.join(event.raw for event in events), raw)
      self.assertEqual([event.id for event in events], [1, 2, None])
      self.assertFalse(cutter.has_partial_event)

  def test_cut_event_is_kept_back(self):
    cutter = event_stream.EventSplitter()
    self.assertEqual(cutter.feed(b'id: 1\ndata: a\n'), [])
    self.assertTrue(cutter.has_partial_event)

  def test_endless_event_is_refused(self):
    cutter = event_stream.EventSplitter()
    with self.assertRaises(ValueError):
      cutter.feed(b'x' * (event_stream.MAX_EVENT_BYTES + 1))


if __name__ == '__main__':
  unittest.main()
