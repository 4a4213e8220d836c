"""Continuous batching of the engine stand-in: a scheduler without a clock.

`plan()` chooses what the next step computes and how long it takes; `finish()`
applies it and returns the tokens that the step made. The loop that owns the
scheduler waits in between. Higher priority goes first, then earlier arrival; a
sequence for which KV memory runs out is put back and computed again later.
"""

import heapq
from typing import NamedTuple

from standins import answers
from standins import engine_memory


class Settings(NamedTuple):
  """Speeds and sizes of an engine.

  Attributes:
    pieces: Pieces of KV memory.
    piece_tokens: Tokens of a piece.
    prefill_tokens_per_s: Speed of prefill.
    decode_step_s: Time of a step that decodes at all.
    decode_seq_s: Further time for each sequence that decodes.
    step_prefill_tokens: Prefill tokens of a step at most.
    max_running: Sequences in the batch at most.
  """

  pieces: int = 2000
  piece_tokens: int = 16
  prefill_tokens_per_s: float = 8000.0
  decode_step_s: float = 0.010
  decode_seq_s: float = 0.0002
  step_prefill_tokens: int = 512
  max_running: int = 256


class Work(NamedTuple):
  """A request as the scheduler sees it.

  Attributes:
    attempt_id: The caller's id of the attempt.
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    prompt: The prompt text.
    prompt_tokens: Tokens of the prompt.
    blocks: Block hashes of the prompt and the tokens before `start_index`.
    start_index: First token wanted.
    end_index: Count of the answer's tokens.
    finish_reason: Finish reason of the answer.
    priority: Higher goes first.
    imported_tokens: Prompt tokens whose KV cache was imported.
    is_prefill_only: Whether to end with the prompt.
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
  """One request in the scheduler."""

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
    """Returns the tokens that prefill has to cover."""
    return self.work.prompt_tokens + self.next_index

  def prefill_left(self) -> int:
    """Returns the tokens that prefill has not covered yet."""
    return self.context_tokens() - self.prefilled

  def pieces(self) -> int:
    """Returns the pieces that it holds."""
    return len(self.blocks) + self.private_pieces


class Plan(NamedTuple):
  """What one step computes.

  Attributes:
    duration_s: How long it takes.
    prefill: Sequences with the prompt tokens to compute.
    decode: Sequences that each get one token.
  """

  duration_s: float
  prefill: list[tuple[Sequence, int]]
  decode: list[Sequence]


class Output(NamedTuple):
  """What a step made for one sequence.

  Attributes:
    sequence: The sequence.
    index: Index of the token.
    text: The token, empty if only prefill was asked for.
    is_last: Whether the sequence is done.
  """

  sequence: Sequence
  index: int
  text: str
  is_last: bool


class Batch:
  """The scheduler. Not safe for threads: one loop owns it."""

  def __init__(self, settings: Settings):
    self.settings = settings
    self.memory = engine_memory.KvMemory(settings.pieces)
    self._waiting: list[Sequence] = []
    self._running: list[Sequence] = []
    self._arrivals = 0

  def fits(self, work: Work) -> bool:
    """Tells whether the memory could ever hold a request."""
    tokens = work.prompt_tokens + work.end_index
    return self._pieces_for(tokens) <= self.settings.pieces

  def add(self, work: Work, sink: object) -> Sequence:
    """Queues a request."""
    self._arrivals += 1
    sequence = Sequence(work, self._arrivals, sink)
    heapq.heappush(self._waiting, sequence)
    return sequence

  def remove(self, sequence: Sequence) -> None:
    """Takes a request out, wherever it stands."""
    if sequence.is_removed:
      return
    sequence.is_removed = True
    if sequence in self._running:
      self._running.remove(sequence)
    self._release(sequence)

  def sequences(self) -> list[Sequence]:
    """Returns all requests that wait or run."""
    waiting = [s for s in self._waiting if not s.is_removed]
    return self._running + waiting

  def is_idle(self) -> bool:
    """Tells whether there is nothing to compute."""
    return not self._running and not self._waiting

  def waiting_tokens(self) -> int:
    """Returns the tokens that wait for prefill."""
    return sum(s.prefill_left() for s in self.sequences())

  def running(self) -> int:
    """Returns the sequences that decode."""
    return sum(1 for s in self._running if not s.prefill_left())

  def plan(self) -> Plan | None:
    """Chooses the next step, or None if there is nothing to compute."""
    self._allocate_next_tokens()
    self._admit()
    if not self._running:
      return None
    prefill = []
    decode = []
    budget = self.settings.step_prefill_tokens
    for sequence in sorted(self._running):
      left = sequence.prefill_left()
      if not left:
        decode.append(sequence)
        continue
      tokens = min(left, budget)
      if not tokens:
        continue
      budget -= tokens
      prefill.append((sequence, tokens))
    spent = self.settings.step_prefill_tokens - budget
    return Plan(self._duration_s(spent, len(decode)), prefill, decode)

  def finish(self, plan: Plan) -> list[Output]:
    """Applies a step and returns what it made."""
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
    # The next decode step writes the token's KV entry; no prefill is due.
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
    """Gives every decoding sequence room for its next token."""
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
    """Moves waiting requests into the batch while memory lasts."""
    while self._waiting:
      sequence = self._waiting[0]
      if sequence.is_removed:
        heapq.heappop(self._waiting)
        continue
      if len(self._running) >= self.settings.max_running:
        return
      if not self._try_admit(sequence):
        return
      # What was put back for it ranks lower, so that it still is the first.
      heapq.heappop(self._waiting)
      self._running.append(sequence)

  def _try_admit(self, sequence: Sequence) -> bool:
    """Takes memory for a request, from lower priorities if need be."""
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
    # The last token is always computed: its output is the next token.
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
