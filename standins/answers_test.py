"""Tests for the rules that compute the answers of simulated engines."""

import unittest

import xxhash

from standins import answers


class TestAnswers(unittest.TestCase):

  def test_token_depends_on_model_adapter_prompt_and_index(self):
    source = answers.TokenSource('m', 'a', 'how fär')
    digest = xxhash.xxh64_intdigest('m|a|how fär|12'.encode())
    self.assertEqual(source.token(12), answers.WORDS[digest % 256] + ' ')
    self.assertEqual(len(set(answers.WORDS)), 256)

  def test_answer_ends_at_its_length_or_at_max_tokens(self):
    for prompt, max_tokens, expected in (
        ('a length=9 b', 10, (9, 'stop')),
        ('a length=10', 10, (10, 'stop')),
        ('a length=11', 10, (10, 'length')),
        ('a xlength=3', 4, (4, 'length')),
    ):
      with self.subTest(prompt):
        end = answers.expected_end(prompt, max_tokens)
        self.assertEqual(end, expected)
    self.assertIn(answers.natural_length('any prompt'), range(8, 256))

  def test_block_hashes_are_chained_and_cover_full_blocks_only(self):
    words = ['a', 'b', 'c', 'd', 'e', 'f', 'g']
    root_hash = xxhash.xxh64_intdigest(b'm|')
    first = xxhash.xxh64_intdigest(
        root_hash.to_bytes(8, 'big') + b'a\x1fb\x1fc'
    )
    second = xxhash.xxh64_intdigest(first.to_bytes(8, 'big') + b'd\x1fe\x1ff')
    self.assertEqual(answers.block_hashes('m', '', words, 3), [first, second])


if __name__ == '__main__':
  unittest.main()
