"""Tests of splitting a stream into events."""

import unittest

from mulberrypick.core import event_stream


class EventSplitterTest(unittest.TestCase):

  def test_events_do_not_depend_on_the_chunks(self):
    raw = b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n'
    for size in range(1, len(raw) + 1):
      splitter = event_stream.EventSplitter()
      events = []
      for start in range(0, len(raw), size):
        events += splitter.feed(raw[start : start + size])
      self.assertEqual(b''.join(event.raw for event in events), raw)
      self.assertEqual([event.id for event in events], [1, 2, None])
      self.assertFalse(splitter.has_partial_event)

  def test_incomplete_event_is_buffered(self):
    splitter = event_stream.EventSplitter()
    self.assertEqual(splitter.feed(b'id: 1\ndata: a\n'), [])
    self.assertTrue(splitter.has_partial_event)

  def test_too_long_event_is_refused(self):
    splitter = event_stream.EventSplitter()
    with self.assertRaises(ValueError):
      splitter.feed(b'x' * (event_stream.MAX_EVENT_BYTES + 1))


if __name__ == '__main__':
  unittest.main()
