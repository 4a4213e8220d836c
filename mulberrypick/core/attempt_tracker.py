"""Starts attempts, and updates what is known of the fleet when they end.

Every attempt is counted in the load of its endpoint while it runs. Its end
updates the expected length of answers, the contents of engine caches, the
quarantine of crashing requests, and the backoff of endpoints.
"""

from mulberrypick.core import attempts
from mulberrypick.core import cost
from mulberrypick.core import decision_log
from mulberrypick.core import endpoint_choice
from mulberrypick.core import fleet
from mulberrypick.core import isolation
from mulberrypick.core import load
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import waiting as waiting_base

PRIORITY_URGENT = 10
PRIORITY_OTHER = 0


class AttemptTracker:
  """Tracks attempts from their start to their end.

  Attributes:
    attempts: The attempts in flight.
  """

  def __init__(
      self,
      known_fleet: fleet.Fleet,
      choice: endpoint_choice.EndpointChoice,
      cost_model: cost.CostModel,
      isolated: isolation.Isolation,
      decisions: decision_log.DecisionLog,
  ):
    """Makes a tracker without attempts that updates the given objects."""
    self._fleet = known_fleet
    self._choice = choice
    self._cost = cost_model
    self._isolation = isolated
    self._decisions = decisions
    self._config = records.EMPTY_CONFIG
    self.attempts = attempts.Attempts()

  def configure(self, config: records.Config) -> None:
    """Applies a newer configuration."""
    self._config = config

  def record_first_token(
      self, attempt_id: str
  ) -> attempts.RunningAttempt | None:
    """Records an attempt's first token; returns None if it has ended."""
    running = self.attempts.record_first_token(attempt_id)
    if running is None:
      return None
    known = self._fleet.endpoint(running.attempt.endpoint)
    if known is not None:
      known.record_first_token(attempt_id)
    return running

  def end(
      self, message: messages.AttemptEnded, now: float
  ) -> attempts.RunningAttempt | None:
    """Removes an attempt that ended; returns None for an unknown one."""
    running = self.attempts.remove(message.attempt_id)
    if running is None:
      return None
    self._decisions.add_line(
        message.request_id,
        f'{message.attempt_id} on {message.endpoint}: {message.outcome},'
        f' tokens={message.tokens}',
    )
    known = self._fleet.endpoint(message.endpoint)
    if known is not None:
      known.remove(message.attempt_id, now)
    self._fleet.back_off_after(message.endpoint, message.outcome, now)
    self._apply_outcome(running, message, now)
    return running

  def _is_urgent(self, request: records.InferenceRequest) -> bool:
    rank = self._config.rank_by_name.get(request.rank)
    return rank is not None and rank.is_urgent

  def start(
      self,
      queue: str,
      waiting: waiting_base.WaitingRequest,
      chosen: load.EndpointLoad,
      now: float,
      is_suspect: bool = False,
  ) -> messages.Start:
    """Starts an attempt of a request on an endpoint.

    Args:
      queue: Name of its queue.
      waiting: The request.
      chosen: The endpoint.
      now: Monotonic time.
      is_suspect: Whether the request was part of a crash and runs in isolation.

    Returns:
      The message that starts the attempt.
    """
    prefill = None
    if chosen.is_decoder and not waiting.next_index:
      prefiller = self._choice.find_prefiller(queue, now)
      if prefiller is not None:
        prefill = self._add_attempt(queue, waiting, prefiller, now, False, True)
    attempt = self._add_attempt(
        queue, waiting, chosen, now, is_suspect, False, prefill is not None
    )
    self._choice.record_start(chosen.name, waiting)
    self._decisions.add_line(
        waiting.request.request_id,
        f'{attempt.attempt_id} to {chosen.name}: in_flight={chosen.in_flight}'
        f' waited_s={now - waiting.queued_at:.3f}',
    )
    return messages.Start(waiting.request.request_id, attempt, prefill)

  def _add_attempt(
      self,
      queue: str,
      waiting: waiting_base.WaitingRequest,
      chosen: load.EndpointLoad,
      now: float,
      is_suspect: bool,
      is_prefill: bool,
      is_prefilled: bool = False,
  ) -> records.Attempt:
    """Makes an attempt, adds it to the load of its endpoint and returns it."""
    request = waiting.request
    is_urgent = self._is_urgent(request)
    attempt = records.Attempt(
        self.attempts.next_id(request.request_id),
        chosen.name,
        chosen.address,
        waiting.next_index,
        PRIORITY_URGENT if is_urgent else PRIORITY_OTHER,
    )
    prompt_tokens = max(1, request.prompt_tokens + waiting.next_index)
    cached = self._choice.cached_tokens(chosen.name, waiting.blocks)
    if is_prefilled:
      cached = prompt_tokens
    left = max(0.0, 1.0 - cached / prompt_tokens)
    cost_s = waiting.cost.prefill_s * left
    if not is_prefill:
      cost_s += waiting.cost.decode_s
    sent = load.SentAttempt(
        attempt.attempt_id,
        is_urgent,
        cost_s,
        round(prompt_tokens * left),
        waiting.cost.pieces,
        0.0 if is_prefill else waiting.cost.prefill_per_token_s * left,
        now,
    )
    chosen.add(sent)
    running = attempts.RunningAttempt(
        waiting, queue, attempt, is_suspect, is_prefill
    )
    self.attempts.add(running)
    return attempt

  def _apply_outcome(self, running, message, now: float) -> None:
    """Updates the cost model, known caches and quarantine after an attempt."""
    waiting = running.waiting
    if running.is_prefill and message.outcome != messages.OUTCOME_FAILED:
      return
    has_token = self.attempts.pop_has_token(message.attempt_id)
    if message.outcome == messages.OUTCOME_WHOLE:
      tokens = waiting.next_index + message.tokens
      self._cost.record_output(waiting.request, tokens)
      self._isolation.quarantine.record_completion(waiting.fingerprint, now)
      self._choice.handle_answer(
          message.endpoint,
          waiting,
          message.prompt_tokens,
          message.cached_tokens,
      )
    if message.outcome == messages.OUTCOME_FAILED:
      self.attempts.record_failure(message.request_id)
      has_token = has_token or message.tokens > 0
      known = self._fleet.endpoint(message.endpoint)
      self._isolation.quarantine.record_broken_attempt(
          message.endpoint,
          known.incarnation if known is not None else 0,
          waiting.fingerprint,
          has_token,
          now,
      )
    if message.outcome in (messages.OUTCOME_WHOLE, messages.OUTCOME_CANCELLED):
      self.attempts.forget(message.request_id)
