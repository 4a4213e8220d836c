"""Predicts the engine time of a request from load reports and past answers.

A decode step gives each sequence of the batch one token and is modelled as
`base + per_sequence * sequences` seconds. It is fitted to load reports by least
squares with exponentially decaying weights. Prefill has a constant speed, which
engines report. The length of an answer is learned for each service and tenant,
as the limits that callers set are far too high.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import records

# Factor by which older samples decay with each report: about the last
# 1 / (1 - DECAY_FACTOR) reports count.
DECAY_FACTOR = 0.995
# Step time assumed before the first reports, and its weight in samples.
PRIOR_BASE_S = 0.01
PRIOR_SEQUENCE_S = 0.0004
PRIOR_WEIGHT = 0.05
PRIOR_PREFILL_TOKENS_PER_S = 8000.0
PRIOR_BATCH = 8.0
BATCH_WEIGHT = 0.02
OUTPUT_WEIGHT = 0.1
PRIOR_OUTPUT_TOKENS = 128.0
MAX_CALLER_MEANS = 4096
# Tokens in a KV cache block, called a piece in load reports.
TOKENS_PER_PIECE = 16
# A prompt whose prefill takes longer counts as long: it delays the decode steps
# of other requests.
LONG_PREFILL_S = 0.08
# An engine prefills at most this many tokens per step.
MAX_PREFILL_TOKENS_PER_STEP = 512


class Speeds(NamedTuple):
  """Speeds of the engines of a model.

  Attributes:
    prefill_tokens_per_s: Speed of prefill alone.
    step_base_s: Fixed time of a decode step.
    step_sequence_s: Time that each sequence adds to a decode step.
    batch: Mean number of sequences that share a decode step.
  """

  prefill_tokens_per_s: float
  step_base_s: float
  step_sequence_s: float
  batch: float

  def step_s(self, sequences: float) -> float:
    """Returns the time of one decode step, in seconds."""
    return self.step_base_s + self.step_sequence_s * sequences


class Cost(NamedTuple):
  """Predicted resource use of a request.

  Attributes:
    output_tokens: Tokens of the answer that remain to be generated.
    prefill_s: Engine seconds of prefill with an empty cache.
    decode_s: Engine seconds of decode: the request's share of the time of
      typical batches.
    run_s: Time from start to end on an engine with a typical batch.
    pieces: KV cache blocks.
  """

  output_tokens: int
  prefill_s: float
  decode_s: float
  run_s: float
  pieces: int

  @property
  def engine_s(self) -> float:
    """Engine seconds of prefill and decode."""
    return self.prefill_s + self.decode_s

  @property
  def is_long(self) -> bool:
    """Whether the prompt is long enough to delay the answers of others."""
    return self.prefill_s > LONG_PREFILL_S

  @property
  def prefill_per_token_s(self) -> float:
    """Seconds of prefill divided by the number of output tokens.

    On average, the prefill of the request lengthens each decode step of its
    engine by this time, since one step generates one of its tokens.
    """
    return self.prefill_s / self.output_tokens


class StepTimeFit:
  """Least squares fit of step time over batch size, with decaying weights."""

  __slots__ = ('_weight', '_x', '_y', '_xx', '_xy')

  def __init__(self):
    # The assumed step times at batches of 0 and 32 sequences count as samples.
    large_batch_s = PRIOR_BASE_S + PRIOR_SEQUENCE_S * 32.0
    self._weight = PRIOR_WEIGHT * 2.0
    self._x = PRIOR_WEIGHT * 32.0
    self._y = PRIOR_WEIGHT * (PRIOR_BASE_S + large_batch_s)
    self._xx = PRIOR_WEIGHT * 32.0 * 32.0
    self._xy = PRIOR_WEIGHT * 32.0 * large_batch_s

  def add(self, sequences: float, step_s: float) -> None:
    """Adds a reported step time."""
    # The first samples are added without decay, so that the assumed times keep
    # some weight: samples of equal batches alone don't determine a slope.
    decay = DECAY_FACTOR if self._weight > 20.0 else 1.0
    self._weight = self._weight * decay + 1.0
    self._x = self._x * decay + sequences
    self._y = self._y * decay + step_s
    self._xx = self._xx * decay + sequences * sequences
    self._xy = self._xy * decay + sequences * step_s

  def fit(self) -> tuple[float, float]:
    """Returns the step's fixed time and time per sequence, both at least 0."""
    spread = self._weight * self._xx - self._x * self._x
    if spread <= 1e-9:
      return max(0.0, self._y / self._weight), 0.0
    slope = (self._weight * self._xy - self._x * self._y) / spread
    slope = max(0.0, slope)
    base = (self._y - slope * self._x) / self._weight
    return max(0.0, base), slope


class CostModel:
  """Learns the speeds of each model and the answer lengths of each caller."""

  def __init__(self, max_caller_means: int = MAX_CALLER_MEANS):
    self._max_caller_means = max_caller_means
    self._fit_by_queue: dict[str, StepTimeFit] = {}
    self._speeds_by_queue: dict[str, Speeds] = {}
    self._mean_by_service: dict[str, float] = {}
    self._mean_by_caller: collections.OrderedDict[tuple[str, str], float] = (
        collections.OrderedDict()
    )

  def handle_report(self, report: records.EngineReport) -> None:
    """Updates the speeds of the report's models."""
    for queue in report.models:
      step_fit = self._fit_by_queue.setdefault(queue, StepTimeFit())
      if report.running and report.decode_step_s > 0.0:
        step_fit.add(report.running, report.decode_step_s)
      base_s, sequence_s = step_fit.fit()
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
        PRIOR_BATCH,
    )

  def record_output(
      self, request: records.InferenceRequest, tokens: int
  ) -> None:
    """Updates the mean answer length by a complete answer."""
    caller = (request.service, request.tenant)
    mean = self._mean_by_caller.pop(caller, None)
    if mean is None:
      mean = float(tokens)
    self._mean_by_caller[caller] = mean + OUTPUT_WEIGHT * (tokens - mean)
    if len(self._mean_by_caller) > self._max_caller_means:
      self._mean_by_caller.popitem(last=False)
    mean = self._mean_by_service.get(request.service, float(tokens))
    mean += OUTPUT_WEIGHT * (tokens - mean)
    self._mean_by_service[request.service] = mean

  def output_tokens(self, request: records.InferenceRequest) -> int:
    """Returns the expected tokens of the complete answer, at least 1."""
    mean = self._mean_by_caller.get((request.service, request.tenant))
    if mean is None:
      mean = self._mean_by_service.get(request.service, PRIOR_OUTPUT_TOKENS)
    return max(1, min(request.max_tokens, round(mean)))

  def cost(
      self, queue: str, request: records.InferenceRequest, next_index: int
  ) -> Cost:
    """Predicts the cost of a request.

    Args:
      queue: Name of its model's queue.
      request: The request.
      next_index: Tokens of the answer that were generated already; a resume
        prefills them again.

    Returns:
      The cost.
    """
    speeds = self.speeds(queue)
    output = max(1, self.output_tokens(request) - next_index)
    prompt = request.prompt_tokens + next_index
    prefill_s = prompt / speeds.prefill_tokens_per_s
    token_s = speeds.step_base_s / speeds.batch + speeds.step_sequence_s
    step_s = speeds.step_s(speeds.batch)
    # Prefill of other prompts lengthens the steps by about a quarter.
    run_s = (
        prefill_s
        + (output + prompt / MAX_PREFILL_TOKENS_PER_STEP) * step_s * 1.25
    )
    pieces = -(-(prompt + output) // TOKENS_PER_PIECE)
    return Cost(output, prefill_s, output * token_s, run_s, pieces)
