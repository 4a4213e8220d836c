"""Deterministic rules for the answers of simulated engines.

The engine, the load tool and the tests compute the same answer from the same
prompt, so each answer can be checked token by token without recorded data.
One whitespace-separated word of a prompt counts as one token.
"""

import re
from typing import NamedTuple

import xxhash

FINISH_STOP = 'stop'
FINISH_LENGTH = 'length'

MIN_ANSWER_TOKENS = 8
ANSWER_LENGTH_RANGE_TOKENS = 248
BLOCK_HASH_BYTES = 8

_FIRST_SYLLABLES = 'ba ce di fo gu ha je ki lo mu na pe ri so tu va'
_SECOND_SYLLABLES = (
    'ban cel dir fos gun hal jem kir lom mus nat per rin sol tum vas'
)
WORDS = tuple(
    first + second
    for first in _FIRST_SYLLABLES.split()
    for second in _SECOND_SYLLABLES.split()
)
_LENGTH_WORD = re.compile(r'(?:^|\s)length=(\d+)(?:\s|$)')
_TOKENS = tuple(word + ' ' for word in WORDS)


class ExpectedEnd(NamedTuple):
  """Length and finish reason of the correct answer to a prompt.

  Attributes:
    tokens: Number of tokens in the answer.
    finish_reason: `FINISH_STOP` or `FINISH_LENGTH`.
  """

  tokens: int
  finish_reason: str


class TokenSource:
  """Computes single tokens of one answer, in any order."""

  def __init__(self, model: str, adapter: str, prompt: str):
    self._hash = xxhash.xxh64(f'{model}|{adapter}|{prompt}|'.encode())

  def token(self, index: int) -> str:
    """Returns the text of the token at an index, with a trailing space."""
    digest = self._hash.copy()
    digest.update(b'%d' % index)
    return _TOKENS[digest.intdigest() % len(_TOKENS)]


def natural_length(prompt: str) -> int:
  """Returns the number of answer tokens without a token limit.

  A word `length=N` in the prompt sets it; otherwise it follows from the hash
  of the prompt.
  """
  match = _LENGTH_WORD.search(prompt)
  if match:
    return int(match.group(1))
  return (
      MIN_ANSWER_TOKENS
      + xxhash.xxh64_intdigest(prompt.encode()) % ANSWER_LENGTH_RANGE_TOKENS
  )


def expected_end(prompt: str, max_tokens: int) -> ExpectedEnd:
  """Returns the length and the finish reason of the correct answer."""
  length = natural_length(prompt)
  if length <= max_tokens:
    return ExpectedEnd(length, FINISH_STOP)
  return ExpectedEnd(max_tokens, FINISH_LENGTH)


def expected_tokens(
    model: str, adapter: str, prompt: str, max_tokens: int
) -> list[str]:
  """Returns all tokens of the correct answer."""
  source = TokenSource(model, adapter, prompt)
  count = expected_end(prompt, max_tokens).tokens
  return [source.token(index) for index in range(count)]


def expected_text(
    model: str, adapter: str, prompt: str, max_tokens: int
) -> str:
  """Returns the text of the correct answer."""
  return ''.join(expected_tokens(model, adapter, prompt, max_tokens))


def block_hashes(
    model: str, adapter: str, words: list[str], piece_tokens: int
) -> list[int]:
  """Returns the chained hashes of the full blocks of a prompt.

  Args:
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    words: The prompt's words.
    piece_tokens: Number of words in a block.

  Returns:
    One hash per full block, in order. Each hash includes the previous one. A
    trailing incomplete block has no hash.
  """
  hashes = []
  previous = xxhash.xxh64_intdigest(f'{model}|{adapter}'.encode())
  for start in range(0, len(words) - piece_tokens + 1, piece_tokens):
    block = '\x1f'.join(words[start : start + piece_tokens])
    head = previous.to_bytes(BLOCK_HASH_BYTES, 'big')
    previous = xxhash.xxh64_intdigest(head + block.encode())
    hashes.append(previous)
  return hashes
