"""Continuous batching scheduler of the simulated engine, without a clock.

`plan()` selects the work of the next step and its duration; `finish()` applies
the step and returns the generated tokens. The caller waits for the duration in
between. Requests are ordered by priority, then by arrival. If KV memory runs
out, the last sequence in this order is preempted: its memory is freed, and it
is computed again later.
"""

import heapq
from typing import NamedTuple

from standins import answers
from standins import engine_memory


class Settings(NamedTuple):
  """Speed and memory of an engine.

  Attributes:
    pieces: KV memory, in pieces.
    piece_tokens: Tokens per piece.
    prefill_tokens_per_s: Prefill speed.
    decode_step_s: Fixed time of a step with at least one decoding sequence.
    decode_seq_s: Additional time for each decoding sequence.
    step_prefill_tokens: Maximum number of prefill tokens in a step.
    max_running: Maximum number of sequences in the batch.
  """

  pieces: int = 2000
  piece_tokens: int = 16
  prefill_tokens_per_s: float = 8000.0
  decode_step_s: float = 0.010
  decode_seq_s: float = 0.0002
  step_prefill_tokens: int = 512
  max_running: int = 256


class Work(NamedTuple):
  """A request to the scheduler.

  Attributes:
    attempt_id: The caller's id of the attempt.
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    prompt: Text of the prompt.
    prompt_tokens: Number of prompt tokens.
    blocks: Block hashes of the prompt and the tokens before `start_index`.
    start_index: Index of the first token to generate.
    end_index: Number of tokens in the whole answer.
    finish_reason: Finish reason of the answer.
    priority: Higher values are scheduled first.
    imported_tokens: Number of prompt tokens covered by imported KV cache.
    is_prefill_only: Whether to stop after the prompt.
  """

  attempt_id: str
  model: str
  adapter: str
  prompt: str
  prompt_tokens: int
  blocks: list[int]
  start_index: int
  end_index: int
  finish_reason: str
  priority: int
  imported_tokens: int
  is_prefill_only: bool


class Sequence:
  """Scheduling state of one request."""

  def __init__(self, work: Work, number: int, sink: object):
    self.work = work
    self.sink = sink
    self.sort_key = (-work.priority, number)
    self.tokens = answers.TokenSource(work.model, work.adapter, work.prompt)
    self.next_index = work.start_index
    self.prefilled = 0
    self.cached_tokens = 0
    self.blocks: list[int] = []
    self.private_pieces = 0
    self.is_removed = False

  def __lt__(self, other: 'Sequence') -> bool:
    return self.sort_key < other.sort_key

  def context_tokens(self) -> int:
    """Returns the number of tokens whose KV cache prefill has to compute."""
    return self.work.prompt_tokens + self.next_index

  def prefill_left(self) -> int:
    """Returns the number of tokens that prefill has not covered yet."""
    return self.context_tokens() - self.prefilled

  def pieces(self) -> int:
    """Returns the number of KV memory pieces that the sequence holds."""
    return len(self.blocks) + self.private_pieces


class Plan(NamedTuple):
  """The work of one step.

  Attributes:
    duration_s: Duration of the step.
    prefill: Sequences to prefill, with the number of tokens for each.
    decode: Sequences that generate one token each.
  """

  duration_s: float
  prefill: list[tuple[Sequence, int]]
  decode: list[Sequence]


class Output(NamedTuple):
  """The result of a step for one sequence.

  Attributes:
    sequence: The sequence.
    index: Index of the token.
    text: Text of the token; empty if the sequence ended without a new token.
    is_last: Whether the sequence is finished.
  """

  sequence: Sequence
  index: int
  text: str
  is_last: bool


class Batch:
  """The scheduler. Not thread-safe: only one thread may use it."""

  def __init__(self, settings: Settings):
    self.settings = settings
    self.memory = engine_memory.KvMemory(settings.pieces)
    self._waiting: list[Sequence] = []
    self._running: list[Sequence] = []
    self._arrivals = 0

  def fits(self, work: Work) -> bool:
    """Returns whether a request fits into the KV memory of an idle engine."""
    tokens = work.prompt_tokens + work.end_index
    return self._pieces_for(tokens) <= self.settings.pieces

  def add(self, work: Work, sink: object) -> Sequence:
    """Queues a request."""
    self._arrivals += 1
    sequence = Sequence(work, self._arrivals, sink)
    heapq.heappush(self._waiting, sequence)
    return sequence

  def remove(self, sequence: Sequence) -> None:
    """Removes a waiting or running request and frees its memory."""
    if sequence.is_removed:
      return
    sequence.is_removed = True
    if sequence in self._running:
      self._running.remove(sequence)
    self._release(sequence)

  def sequences(self) -> list[Sequence]:
    """Returns all running and waiting requests."""
    waiting = [s for s in self._waiting if not s.is_removed]
    return self._running + waiting

  def is_idle(self) -> bool:
    """Returns whether there is nothing to compute."""
    return not self._running and not self._waiting

  def waiting_tokens(self) -> int:
    """Returns the number of tokens that still need prefill."""
    return sum(s.prefill_left() for s in self.sequences())

  def running(self) -> int:
    """Returns the number of decoding sequences."""
    return sum(1 for s in self._running if not s.prefill_left())

  def plan(self) -> Plan | None:
    """Returns the next step, or None if there is nothing to compute."""
    self._allocate_next_tokens()
    self._admit()
    if not self._running:
      return None
    prefill = []
    decode = []
    budget = self.settings.step_prefill_tokens
    for sequence in sorted(self._running):
      remaining = sequence.prefill_left()
      if not remaining:
        decode.append(sequence)
        continue
      tokens = min(remaining, budget)
      if not tokens:
        continue
      budget -= tokens
      prefill.append((sequence, tokens))
    prefill_tokens = self.settings.step_prefill_tokens - budget
    return Plan(self._duration_s(prefill_tokens, len(decode)), prefill, decode)

  def finish(self, plan: Plan) -> list[Output]:
    """Applies a step and returns its outputs."""
    outputs = []
    for sequence in plan.decode:
      if not sequence.is_removed:
        outputs.append(self._emit(sequence))
    for sequence, tokens in plan.prefill:
      if sequence.is_removed:
        continue
      sequence.prefilled += tokens
      if sequence.prefill_left():
        continue
      self._store_blocks(sequence)
      outputs.append(self._emit(sequence))
    return outputs

  def _duration_s(self, prefill_tokens: int, decoding: int) -> float:
    settings = self.settings
    duration_s = prefill_tokens / settings.prefill_tokens_per_s
    if decoding:
      duration_s += settings.decode_step_s + settings.decode_seq_s * decoding
    return duration_s

  def _emit(self, sequence: Sequence) -> Output:
    index = sequence.next_index
    if sequence.work.is_prefill_only or index >= sequence.work.end_index:
      self.remove(sequence)
      return Output(sequence, index, '', True)
    text = sequence.tokens.token(index)
    sequence.next_index += 1
    # The next decode step writes the KV cache of this token, not a prefill.
    sequence.prefilled += 1
    is_last = sequence.next_index >= sequence.work.end_index
    if is_last:
      self.remove(sequence)
    return Output(sequence, index, text, is_last)

  def _store_blocks(self, sequence: Sequence) -> None:
    for block in sequence.work.blocks[len(sequence.blocks) :]:
      self.memory.store(block)
      sequence.blocks.append(block)
      sequence.private_pieces -= 1

  def _pieces_for(self, tokens: int) -> int:
    return -(-tokens // self.settings.piece_tokens)

  def _allocate_next_tokens(self) -> None:
    """Allocates memory for the next token of every decoding sequence."""
    for sequence in sorted(self._running):
      if sequence.prefill_left() or sequence not in self._running:
        continue
      needed = self._pieces_for(sequence.context_tokens() + 1)
      missing = needed - sequence.pieces()
      if missing <= 0:
        continue
      while not self.memory.allocate(missing):
        self._preempt(max(self._running))
        if sequence not in self._running:
          break
      else:
        sequence.private_pieces += missing

  def _admit(self) -> None:
    """Moves waiting requests into the batch while memory suffices."""
    while self._waiting:
      sequence = self._waiting[0]
      if sequence.is_removed:
        heapq.heappop(self._waiting)
        continue
      if len(self._running) >= self.settings.max_running:
        return
      if not self._try_admit(sequence):
        return
      # Sequences that were preempted for this one have a lower priority, so it
      # is still the first in the queue.
      heapq.heappop(self._waiting)
      self._running.append(sequence)

  def _try_admit(self, sequence: Sequence) -> bool:
    """Allocates memory; may preempt sequences of lower priority.

    Returns:
      Whether there was enough memory.
    """
    work = sequence.work
    found = self.memory.acquire_cached_prefix(work.blocks)
    needed = self._pieces_for(sequence.context_tokens() + 1) - found
    while not self.memory.allocate(needed):
      victim = max(self._running, default=None)
      if victim is None or victim.work.priority >= work.priority:
        self.memory.release(work.blocks[:found], 0)
        return False
      self._preempt(victim)
    sequence.blocks = work.blocks[:found]
    sequence.private_pieces = needed
    covered = max(found * self.settings.piece_tokens, work.imported_tokens)
    # The last token is always computed, because it yields the next token.
    sequence.prefilled = min(covered, sequence.context_tokens() - 1)
    sequence.cached_tokens = min(sequence.prefilled, work.prompt_tokens)
    return True

  def _preempt(self, sequence: Sequence) -> None:
    self._running.remove(sequence)
    self._release(sequence)
    sequence.prefilled = 0
    heapq.heappush(self._waiting, sequence)

  def _release(self, sequence: Sequence) -> None:
    self.memory.release(sequence.blocks, sequence.private_pieces)
    sequence.blocks = []
    sequence.private_pieces = 0
