"""Tests of the queue of received bytes."""

import unittest

from mulberrypick.adapters import byte_queue


class ByteQueueTest(unittest.TestCase):

  def test_bytes_keep_their_order_in_parts_of_any_size(self):
    for size in range(1, 12):
      queue = byte_queue.ByteQueue()
      for part in (b'abc', b'', b'd', b'efghij'):
        queue.append(part)
      self.assertEqual(len(queue), 10)
      parts = []
      while queue:
        parts.append(queue.take(size))
        self.assertEqual(len(queue), 10 - sum(map(len, parts)))
      self.assertEqual(b''.join(parts), b'abcdefghij')
      self.assertLessEqual(max(map(len, parts)), size)
      self.assertEqual(queue.take(size), b'')


if __name__ == '__main__':
  unittest.main()
