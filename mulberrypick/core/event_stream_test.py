"""Tests of splitting a stream into events."""

import time
import unittest

from mulberrypick.core import event_stream

# Processor time for 1 MiB; a cost that grows with its square takes 10 s.
MAX_CPU_S = 2.0


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

  def test_cost_of_an_event_is_linear_in_its_size(self):
    splitter = event_stream.EventSplitter()
    piece = b'x' * 64
    began = time.process_time()
    for _ in range(event_stream.MAX_EVENT_BYTES // len(piece)):
      splitter.feed(piece)
    self.assertLess(time.process_time() - began, MAX_CPU_S)

  def test_cost_of_many_events_at_once_is_linear_in_their_size(self):
    piece = b'id: 1\ndata: a\n\n'
    count = event_stream.MAX_EVENT_BYTES // len(piece)
    began = time.process_time()
    events = event_stream.EventSplitter().feed(piece * count)
    self.assertLess(time.process_time() - began, MAX_CPU_S)
    self.assertEqual(len(events), count)


if __name__ == '__main__':
  unittest.main()
