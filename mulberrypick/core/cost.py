"""What a request will cost an engine, learned from reports and answers.

An engine that batches takes `base + per_sequence * sequences` seconds for a
step that gives each running sequence one token, and prefills at a steady
speed. Both are learned from load reports by least squares that forgets old
samples. The length of an answer is learned for each service and tenant, as
callers bound it far too high.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import records

# Samples older than about 1 / (1 - FORGETTING) reports no longer count.
DECAY_FACTOR = 0.995
# The line that holds before any report was seen, and its weight in samples.
PRIOR_BASE_S = 0.01
PRIOR_SEQUENCE_S = 0.0004
PRIOR_WEIGHT = 0.05
PRIOR_PREFILL_TOKENS_PER_S = 8000.0
TYPICAL_BATCH = 8.0
BATCH_WEIGHT = 0.02
OUTPUT_WEIGHT = 0.1
PRIOR_OUTPUT_TOKENS = 128.0
MAX_CALLER_MEANS = 4096
TOKENS_PER_PIECE = 16
# A prompt that prefills for longer than this stretches others' answers.
LONG_PREFILL_S = 0.08
# An engine prefills at most this many tokens in one step.
MAX_PREFILL_TOKENS_PER_STEP = 512


class Speeds(NamedTuple):
  """How fast the engines of a model are.

  Attributes:
    prefill_tokens_per_s: Speed of prefill alone.
    step_base_s: Time of a decode step, whatever the batch.
    step_sequence_s: Time that each sequence adds to a step.
    batch: Sequences that typically share a step.
  """

  prefill_tokens_per_s: float
  step_base_s: float
  step_sequence_s: float
  batch: float

  def step_s(self, sequences: float) -> float:
    """Returns the time of one decode step, in seconds."""
    return self.step_base_s + self.step_sequence_s * sequences


class Cost(NamedTuple):
  """What a request is expected to take.

  Attributes:
    output_tokens: Tokens of the answer that remain.
    prefill_s: Engine seconds of prefill, with nothing in the cache.
    decode_s: Engine seconds of decode, as its part of typical batches.
    run_s: Time from start to end on an engine with a typical batch.
    pieces: Pieces of KV memory.
  """

  output_tokens: int
  prefill_s: float
  decode_s: float
  run_s: float
  pieces: int

  @property
  def engine_s(self) -> float:
    """Engine seconds in all."""
    return self.prefill_s + self.decode_s

  @property
  def is_long(self) -> bool:
    """Whether the prompt stretches the answers of others for long."""
    return self.prefill_s > LONG_PREFILL_S

  @property
  def stretch_s(self) -> float:
    """Seconds of prefill for each output token."""
    return self.prefill_s / self.output_tokens


class StepTimeFit:
  """Least squares of step time over batch size, forgetting old samples."""

  __slots__ = ('_weight', '_x', '_y', '_xx', '_xy')

  def __init__(self):
    # Two samples on the prior line, at batches of 0 and 32.
    wide_s = PRIOR_BASE_S + PRIOR_SEQUENCE_S * 32.0
    self._weight = PRIOR_WEIGHT * 2.0
    self._x = PRIOR_WEIGHT * 32.0
    self._y = PRIOR_WEIGHT * (PRIOR_BASE_S + wide_s)
    self._xx = PRIOR_WEIGHT * 32.0 * 32.0
    self._xy = PRIOR_WEIGHT * 32.0 * wide_s

  def add(self, sequences: float, step_s: float) -> None:
    """Takes in one sample."""
    # The prior must not fade to nothing, or equal batches leave no slope.
    fade = DECAY_FACTOR if self._weight > 20.0 else 1.0
    self._weight = self._weight * fade + 1.0
    self._x = self._x * fade + sequences
    self._y = self._y * fade + step_s
    self._xx = self._xx * fade + sequences * sequences
    self._xy = self._xy * fade + sequences * step_s

  def fit(self) -> tuple[float, float]:
    """Returns base and slope, neither below 0."""
    spread = self._weight * self._xx - self._x * self._x
    if spread <= 1e-9:
      return max(0.0, self._y / self._weight), 0.0
    slope = (self._weight * self._xy - self._x * self._y) / spread
    slope = max(0.0, slope)
    base = (self._y - slope * self._x) / self._weight
    return max(0.0, base), slope


class CostModel:
  """Learns speeds for each model and answer lengths for each caller."""

  def __init__(self, max_caller_means: int = MAX_CALLER_MEANS):
    self._lengths_kept = max_caller_means
    self._line_by_queue: dict[str, StepTimeFit] = {}
    self._speeds_by_queue: dict[str, Speeds] = {}
    self._mean_by_service: dict[str, float] = {}
    self._mean_by_caller: collections.OrderedDict[tuple[str, str], float] = (
        collections.OrderedDict()
    )

  def handle_report(self, report: records.EngineReport) -> None:
    """Learns speeds from a load report."""
    for queue in report.models:
      line = self._line_by_queue.setdefault(queue, StepTimeFit())
      if report.running and report.decode_step_s > 0.0:
        line.add(report.running, report.decode_step_s)
      base_s, sequence_s = line.fit()
      old = self.speeds(queue)
      batch = old.batch
      if report.running:
        batch += BATCH_WEIGHT * (report.running - batch)
      prefill = report.prefill_tokens_per_s or old.prefill_tokens_per_s
      self._speeds_by_queue[queue] = Speeds(
          prefill, base_s, sequence_s, max(1.0, batch)
      )

  def speeds(self, queue: str) -> Speeds:
    """Returns the speeds of a model's engines."""
    known = self._speeds_by_queue.get(queue)
    if known is not None:
      return known
    return Speeds(
        PRIOR_PREFILL_TOKENS_PER_S,
        PRIOR_BASE_S,
        PRIOR_SEQUENCE_S,
        TYPICAL_BATCH,
    )

  def record_output(
      self, request: records.InferenceRequest, tokens: int
  ) -> None:
    """Learns from the length of a whole answer."""
    caller = (request.service, request.tenant)
    mean = self._mean_by_caller.pop(caller, None)
    if mean is None:
      mean = float(tokens)
    self._mean_by_caller[caller] = mean + OUTPUT_WEIGHT * (tokens - mean)
    if len(self._mean_by_caller) > self._lengths_kept:
      self._mean_by_caller.popitem(last=False)
    mean = self._mean_by_service.get(request.service, float(tokens))
    mean += OUTPUT_WEIGHT * (tokens - mean)
    self._mean_by_service[request.service] = mean

  def output_tokens(self, request: records.InferenceRequest) -> int:
    """Returns the expected tokens of the whole answer, at least 1."""
    mean = self._mean_by_caller.get((request.service, request.tenant))
    if mean is None:
      mean = self._mean_by_service.get(request.service, PRIOR_OUTPUT_TOKENS)
    return max(1, min(request.max_tokens, round(mean)))

  def cost(
      self, queue: str, request: records.InferenceRequest, next_index: int
  ) -> Cost:
    """Returns what a request will take.

    Args:
      queue: Name of its model's queue.
      request: The request.
      next_index: Tokens that are already there; they are prefilled again.

    Returns:
      The cost.
    """
    speeds = self.speeds(queue)
    output = max(1, self.output_tokens(request) - next_index)
    prompt = request.prompt_tokens + next_index
    prefill_s = prompt / speeds.prefill_tokens_per_s
    token_s = speeds.step_base_s / speeds.batch + speeds.step_sequence_s
    step_s = speeds.step_s(speeds.batch)
    # Other prompts' prefill stretches the steps in between.
    run_s = (
        prefill_s
        + (output + prompt / MAX_PREFILL_TOKENS_PER_STEP) * step_s * 1.25
    )
    pieces = -(-(prompt + output) // TOKENS_PER_PIECE)
    return Cost(output, prefill_s, output * token_s, run_s, pieces)
