"""Runs one completion from its submission to the end of its answer.

The thread that serves the caller's connection runs this code. It requests an
endpoint from the dispatcher and streams tokens from it. If the endpoint fails
during the stream, it requests another endpoint and resumes at the next token,
so the caller receives one continuous answer. An answer that cannot be
completed ends with an error and is never presented as complete.
"""

import logging
import queue
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.adapters import logs
from mulberrypick.core import assembly
from mulberrypick.core import errors
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.ops import dispatch_task

REPLY_POLL_TIMEOUT_S = 0.25

_logger = logging.getLogger(__name__)


class CompletionResult(NamedTuple):
  """How a completion ended, for metrics and logs.

  Attributes:
    request: The request.
    outcome: `whole` for a complete answer, `left` if the caller disconnected,
      or the kind of the error.
    attempts: Number of attempts on engines.
    tokens: Number of tokens delivered to the caller.
    first_token_s: Time from arrival to the first token, 0 if there was none.
    total_s: Time from arrival to the end.
  """

  request: records.InferenceRequest
  outcome: str
  attempts: int
  tokens: int
  first_token_s: float
  total_s: float


class CallerDisconnectedError(errors.MulberrypickError):
  """The caller closed its connection."""


class Completion:
  """One completion; the thread of the caller's connection iterates `run`."""

  def __init__(
      self,
      request: records.InferenceRequest,
      dispatcher: dispatch_task.DispatchTask,
      engine: engine_adapter.Engine,
      report: Callable[[CompletionResult], None],
  ):
    """Creates a completion without submitting it.

    Args:
      request: The validated request.
      dispatcher: Chooses endpoints.
      engine: Client of the engines.
      report: Called once with the result when the completion ends.
    """
    self._request = request
    self._dispatcher = dispatcher
    self._engine = engine
    self._report = report
    self._assembly = assembly.AnswerAssembler()
    self._attempts = 0
    self._first_token_at = 0.0
    self._may_have_run = False
    self._is_cancelled = threading.Event()
    self._running: records.Attempt | None = None
    self._prompt_tokens = 0
    self._cached_tokens = 0

  @property
  def finish_reason(self) -> str:
    """`stop` or `length` once the answer is complete."""
    return self._assembly.finish_reason

  @property
  def tokens(self) -> int:
    """Number of tokens delivered so far."""
    return self._assembly.next_index

  def cancel(self) -> None:
    """Cancels the completion because its caller disconnected; thread-safe."""
    self._is_cancelled.set()
    attempt = self._running
    if attempt is None:
      return
    try:
      self._engine.cancel(attempt)
    except errors.EndpointError:
      pass  # The stream fails or ends without being cancelled.

  def run(self) -> Iterator[str]:
    """Yields the text pieces of the answer in order, each exactly once.

    Raises:
      RequestError: The request was refused, or its answer cannot be completed.
      CallerDisconnectedError: The caller disconnected.
    """
    outcome = 'left'
    try:
      yield from self._run_attempts()
      outcome = 'whole'
    except errors.RequestError as error:
      outcome = error.kind
      raise
    finally:
      self._report(self._build_result(outcome))

  def _run_attempts(self) -> Iterator[str]:
    failed_endpoints: list[str] = []
    while not self._assembly.is_complete:
      start = self._request_endpoint(tuple(failed_endpoints))
      self._attempts += 1
      outcome = yield from self._run_attempt(start)
      if outcome == messages.OUTCOME_WHOLE:
        return
      if self._is_cancelled.is_set():
        raise CallerDisconnectedError('the caller disconnected')
      failed_endpoints.append(start.attempt.endpoint)

  def _request_endpoint(
      self, failed_endpoints: tuple[str, ...]
  ) -> messages.Start:
    submit = messages.Submit(
        self._request, self._assembly.next_index, failed_endpoints
    )
    reply = self._dispatcher.submit(submit)
    while not self._is_cancelled.is_set():
      try:
        effect = reply.get(timeout=REPLY_POLL_TIMEOUT_S)
      except queue.Empty:
        continue
      if isinstance(effect, messages.Start):
        return effect
      raise self._set_run(effect.error)
    self._withdraw(reply)
    raise CallerDisconnectedError('the caller disconnected')

  def _withdraw(self, reply: dispatch_task.Reply) -> None:
    self._dispatcher.post(messages.Withdraw(self._request.request_id))
    # The dispatcher may have started an attempt before it received the
    # withdrawal. The attempt is ended here to release its endpoint.
    try:
      effect = reply.get(timeout=REPLY_POLL_TIMEOUT_S)
    except queue.Empty:
      return
    if isinstance(effect, messages.Start):
      self._end_attempt(effect.attempt, messages.OUTCOME_CANCELLED, 0)

  def _set_run(self, error: errors.RequestError) -> errors.RequestError:
    """Sets in a refusal whether earlier attempts may have run the request."""
    if self._assembly.next_index > 0:
      error.run = errors.RUN_PARTIAL
    elif self._may_have_run:
      error.run = errors.RUN_UNKNOWN
    return error

  def _run_attempt(self, start: messages.Start) -> Iterator[str]:
    """Streams one attempt; returns its outcome, raises no endpoint errors."""
    attempt = start.attempt
    first_index = self._assembly.next_index
    self._assembly.begin(attempt.attempt_id)
    self._running = attempt
    outcome = messages.OUTCOME_CANCELLED
    try:
      kv = self._run_prefill(start)
      yield from self._stream(attempt, kv)
      outcome = messages.OUTCOME_FAILED
      if self._assembly.is_complete:
        outcome = messages.OUTCOME_WHOLE
    except errors.EndpointUnreachableError as error:
      outcome = self._handle_failure(error, messages.OUTCOME_UNREACHABLE)
    except errors.EndpointRefusedError as error:
      outcome = self._handle_failure(error, messages.OUTCOME_REFUSED)
    except errors.EndpointError as error:
      outcome = self._handle_failure(error, messages.OUTCOME_FAILED)
    finally:
      self._running = None
      if self._is_cancelled.is_set() and outcome != messages.OUTCOME_WHOLE:
        outcome = messages.OUTCOME_CANCELLED
      tokens = self._assembly.next_index - first_index
      self._end_attempt(attempt, outcome, tokens)
    return outcome

  def _run_prefill(
      self, start: messages.Start
  ) -> engine_adapter.ExportedKvCache | None:
    attempt = start.prefill_attempt
    if attempt is None:
      return None
    try:
      kv = self._engine.prefill(attempt, self._request)
    except errors.EndpointError as error:
      # The decode engine can run the prefill itself.
      outcome = self._handle_failure(error, messages.OUTCOME_FAILED)
      self._end_attempt(attempt, outcome, 0)
      return None
    self._may_have_run = True
    self._end_attempt(attempt, messages.OUTCOME_WHOLE, 0)
    return kv

  def _stream(
      self,
      attempt: records.Attempt,
      kv: engine_adapter.ExportedKvCache | None,
  ) -> Iterator[str]:
    frames = self._engine.generate(attempt, self._request, kv)
    is_first = True
    try:
      for frame in frames:
        if is_first:
          self._handle_first_token(attempt)
          is_first = False
        if frame.is_last:
          self._prompt_tokens = frame.prompt_tokens
          self._cached_tokens = frame.cached_tokens
        yield from self._assembly.accept(frame)
        if self._is_cancelled.is_set() or self._assembly.is_complete:
          return
    finally:
      frames.close()

  def _handle_first_token(self, attempt: records.Attempt) -> None:
    if self._first_token_at == 0.0:
      self._first_token_at = time.monotonic()
    # The dispatcher tracks the first token of every attempt, so the message is
    # sent even if an earlier attempt delivered tokens.
    self._dispatcher.post(
        messages.FirstToken(self._request.request_id, attempt.attempt_id)
    )

  def _handle_failure(self, error: errors.EndpointError, outcome: str) -> str:
    not_run = (errors.EndpointUnreachableError, errors.EndpointRefusedError)
    if not isinstance(error, not_run):
      self._may_have_run = True
    logs.log_event(
        _logger,
        logging.WARNING,
        'attempt_failed',
        request_id=self._request.request_id,
        endpoint=error.endpoint,
        outcome=outcome,
        next_index=self._assembly.next_index,
        reason=str(error),
    )
    return outcome

  def _end_attempt(
      self, attempt: records.Attempt, outcome: str, tokens: int
  ) -> None:
    self._dispatcher.post(
        messages.AttemptEnded(
            self._request.request_id,
            attempt.attempt_id,
            attempt.endpoint,
            outcome,
            tokens,
            self._prompt_tokens,
            self._cached_tokens,
        )
    )

  def _build_result(self, outcome: str) -> CompletionResult:
    arrived_at = self._request.arrived_at
    first_token_s = 0.0
    if self._first_token_at:
      first_token_s = self._first_token_at - arrived_at
    return CompletionResult(
        self._request,
        outcome,
        self._attempts,
        self._assembly.next_index,
        first_token_s,
        time.monotonic() - arrived_at,
    )
