"""Tests of the progress of prompts at an engine."""

import unittest

from mulberrypick.core import pending_reads


class PendingReadsTest(unittest.TestCase):

  def test_prompt_counts_less_while_it_is_prefilled(self):
    reads = pending_reads.PendingReads()
    reads.add(1, pending_reads.PendingRead(0, 1_000, 10.0, 12.0))
    reads.add(2, pending_reads.PendingRead(1, 4_000, 12.0, 14.0))
    self.assertEqual(reads.remaining(9.0), (1_000, 4_000))
    self.assertEqual(reads.remaining(10.5), (750, 4_000))
    least = pending_reads.MIN_REMAINING
    self.assertEqual(reads.remaining(13.0)[0], round(1_000 * least))
    self.assertEqual(reads.remaining(30.0)[1], round(4_000 * least))
    reads.remove(1)
    reads.remove(1)
    self.assertEqual(reads.remaining(9.0), (0, 4_000))


if __name__ == '__main__':
  unittest.main()
