"""Results of placing a request, and what a request needs of an engine."""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import pending_reads

# A request that may generate this many tokens is a long stream, which other
# work must not slow down: at 0.5 ms per token it takes at least one second.
LONG_OUTPUT_TOKENS = 2_000
# Decode load is counted in quarters of a slot, the capacity for one request.
QUARTERS_PER_SLOT = 4
# Fraction of an engine's slots that decode-only work fills before another
# engine is reserved for decoding. The rest absorbs fluctuations.
MAX_DECODER_FILL = 0.6


class Placement(NamedTuple):
  """The endpoints chosen for a request.

  Attributes:
    endpoint: The endpoint that runs the request.
    prefiller: The engine that prefills the prompt first; None if `endpoint`
      does so.
    tokens: Tokens of the prompt that have to be prefilled.
    tokens_ahead: `tokens` and the tokens that are prefilled before them.
    predicted_s: Predicted time to the first event.
    is_late: Whether the first event is predicted to miss its target.
    slow_s: High end of the time to the first event; a sound engine seldom takes
      longer.
    wait_s: Part of the predicted time that requests before it take.
    read_s: Part of the predicted time in which its own prompt is prefilled.
  """

  endpoint: gateway_records.Endpoint
  prefiller: gateway_records.Endpoint | None
  tokens: int
  tokens_ahead: int
  predicted_s: float
  is_late: bool
  slow_s: float = 0.0
  wait_s: float = 0.0
  read_s: float = 0.0


class Refusal(NamedTuple):
  """The reason why a request is not sent.

  Attributes:
    reason: Reason code for logs and callers.
    retry_after_s: Time after which the caller should retry; None if too little
      time is left for a retry.
    predicted_s: Predicted time to the first event, 0 if unknown.
    awaits_permit: Whether this host has asked for a permit to send to an
      endpoint that could run the request.
  """

  reason: str
  retry_after_s: float | None
  predicted_s: float = 0.0
  awaits_permit: bool = False


class EngineSplit(NamedTuple):
  """How a host uses the engines of a service.

  Attributes:
    prefillers: Names of the engines of stage prefill.
    decoders: Names of the decode engines that are kept for decoding.
    overflow: Names of the decode engines that also prefill for others.
    draining: Names of those that will, once their streams have ended.
    quarters: Quarters of slots that requests use to decode.
    capacity: Quarters of slots that `decoders` take.
  """

  prefillers: tuple[str, ...]
  decoders: tuple[str, ...]
  overflow: tuple[str, ...]
  draining: tuple[str, ...]
  quarters: int
  capacity: float


def make_read(
    call: gateway_records.Call, placement: Placement, now: float
) -> pending_reads.PendingRead:
  """Returns the prefill of a request that is sent now."""
  begins_at = now + placement.wait_s
  return pending_reads.PendingRead(
      min(call.route.rank, 1),
      placement.tokens,
      begins_at,
      begins_at + placement.read_s,
  )


def is_long_output(call: gateway_records.Call) -> bool:
  """Returns whether a request may generate a long stream."""
  return call.output_tokens >= LONG_OUTPUT_TOKENS


def is_urgent_stream(call: gateway_records.Call) -> bool:
  """Returns whether a request is a long stream of rank 0.

  Other work must not slow such a stream down.
  """
  return is_long_output(call) and call.route.rank == 0


def decode_slot_quarters(call: gateway_records.Call, is_prefilled: bool) -> int:
  """Returns the decode load of a request, in quarters of a slot.

  A request whose prompt is prefilled on another engine and whose answer is
  short needs only a few decode steps, so it counts less than a long stream. If
  both counted the same, many prompts with short answers would reserve all
  engines for decoding while the prompts need them for prefill.

  Args:
    call: The request.
    is_prefilled: Whether its prompt is prefilled on another engine.
  """
  if is_long_output(call):
    return QUARTERS_PER_SLOT
  return 1 if is_prefilled else 0


def count_engines(
    capacities: Iterable[float], load: float, one_more: float
) -> int:
  """Returns how many engines a load needs, and one more request.

  Args:
    capacities: What each engine takes, in the order in which they are used.
    load: What all requests use.
    one_more: What one more request uses.

  Returns:
    The number; all of them if they are too few.
  """
  count, reserved = 0, 0.0
  for capacity in capacities:
    if reserved >= load + one_more:
      break
    reserved += capacity
    count += 1
  return count
