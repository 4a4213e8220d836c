"""Runs calls to plain services.

A call to a repeatable service is tried on several endpoints. Any other call is
claimed first and sent once, and its answer is recorded before the caller
receives it; see `core/claims.py`. A caller is told "not run" only after the
claim of its call has reached a state from which it can no longer be sent.

A repeated call that finds an open claim queries the owner of the claim, which
identifies the claim by its nonce. An owner that does not reply is never taken
for "not sent": the outcome is unknown until the owner replies or its record
appears in the platform.
"""

import logging
import random
import threading
import time
from collections.abc import Callable
from collections.abc import Sequence

import msgspec
import tenacity

from mulberrypick.adapters import logs
from mulberrypick.adapters import peers as peers_lib
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.adapters import service as service_lib
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import call_steps
from mulberrypick.ops import claim_task
from mulberrypick.ops import slot_writer

CLAIM_QUERY_TIMEOUT_S = 0.3
# How long a repeated call waits for the answer of the first call with its key.
PENDING_TIMEOUT_S = 2.0
PENDING_POLL_INTERVAL_S = 0.05
PENDING_RETRY_AFTER_S = 1.0
UNAVAILABLE_RETRY_AFTER_S = 1.0
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
STOP_TIMEOUT_S = 60.0

log = logging.getLogger(__name__)


class PlainCallRunner:
  """Runs calls to plain services; `run` is thread-safe."""

  def __init__(
      self,
      platform: platform_lib.Platform,
      service: service_lib.PlainService,
      peers: peers_lib.Peers,
      own_name: str,
      own_peer_address: str,
      observer: call_steps.StepObserver | None = None,
      rng: random.Random | None = None,
      writers: int = claim_task.WRITER_COUNT,
      writes_per_s: float = slot_writer.MAX_WRITES_PER_S,
      list_peers: Callable[[], Sequence[str]] | None = None,
      claim_query_timeout_s: float = CLAIM_QUERY_TIMEOUT_S,
      pending_timeout_s: float = PENDING_TIMEOUT_S,
  ):
    """Creates the runner; it accepts calls after `start`.

    Args:
      platform: Stores the claims.
      service: Sends calls to endpoints.
      peers: Sends queries to the owners of claims; must not be started yet.
      own_name: Name of this entry host.
      own_peer_address: `ip:port` at which other entry hosts query this one.
      observer: Called at each step of a call.
      rng: Source of jitter.
      writers: Number of threads that write claims.
      writes_per_s: Maximum rate at which this host writes claims.
      list_peers: Lists the peer addresses of the live entry hosts. If given,
        the claims of a slot, an object that holds many claims, are forwarded
        to one host that writes them.
      claim_query_timeout_s: Longest wait for the owner of a claim.
      pending_timeout_s: Longest wait for the answer of a call in progress.
    """
    self._service = service
    self._peers = peers
    self._own_peer_address = own_peer_address
    self._observer = observer or call_steps.NoObserver()
    self._rng = rng or random.Random()
    self._claim_query_timeout_s = claim_query_timeout_s
    self._pending_timeout_s = pending_timeout_s
    self._running = 0
    self._is_stopping = False
    self._idle = threading.Condition()
    self.claims = claim_task.ClaimTask(
        platform,
        peers,
        own_name,
        own_peer_address,
        rng=self._rng,
        writers=writers,
        writes_per_s=writes_per_s,
        list_peers=list_peers,
    )

  def start(self) -> None:
    """Starts the threads that write claims."""
    self.claims.start()

  def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
    """Refuses new calls, lets sent ones finish, and releases unsent claims.

    Args:
      timeout_s: Longest wait for the calls in progress.

    Returns:
      Whether all calls ended and all records were written.
    """
    with self._idle:
      self._is_stopping = True
      is_idle = self._idle.wait_for(lambda: not self._running, timeout_s)
    return self.claims.stop() and is_idle

  def run(
      self,
      call: records.PlainCall,
      service: records.Service,
      endpoints: list[records.Host],
      now: Callable[[], float],
  ) -> records.PlainAnswer:
    """Runs one call to its end.

    Args:
      call: The call.
      service: The service that is called.
      endpoints: Endpoints to try, best first.
      now: Returns the time on the monotonic clock of `call.deadline_at`.

    Returns:
      The complete answer of this call or of the call that it repeats.

    Raises:
      RequestError: The call has no answer; the error says whether it was run.
    """
    with self._idle:
      if self._is_stopping:
        raise errors.UnavailableError(
            'this entry host is stopping',
            retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
        )
      self._running += 1
    try:
      if service.is_repeatable:
        return self._run_repeatable(call, service, endpoints, now)
      return self._run_claimed(call, service, endpoints, now)
    finally:
      with self._idle:
        self._running -= 1
        self._idle.notify_all()

  def _run_repeatable(
      self,
      call: records.PlainCall,
      service: records.Service,
      endpoints: list[records.Host],
      now: Callable[[], float],
  ) -> records.PlainAnswer:
    run = errors.RUN_NOT_RUN
    backoff = tenacity.wait_random_exponential(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
    attempts = _choose_attempts(service, endpoints)
    for number, host in enumerate(attempts, start=1):
      timeout_s = _get_timeout(call, service, now, run)
      try:
        return self._service.call(host.name, host.address, call, timeout_s)
      except errors.EndpointFailedError as error:
        run = errors.RUN_UNKNOWN
        _log_attempt(call, host, error)
      except errors.EndpointError as error:
        _log_attempt(call, host, error)
      if number < len(attempts):
        _sleep_backoff(backoff, number, call, now)
    raise errors.UnavailableError(
        f'no endpoint of {service.name} answered',
        run,
        UNAVAILABLE_RETRY_AFTER_S,
    )

  def _run_claimed(
      self,
      call: records.PlainCall,
      service: records.Service,
      endpoints: list[records.Host],
      now: Callable[[], float],
  ) -> records.PlainAnswer:
    _check_key(call)
    claimed = self._obtain_claim(call, now)
    if isinstance(claimed, records.PlainAnswer):
      return claimed
    self._observer.observe(call_steps.STEP_CLAIMED)
    try:
      return self._send(claimed.nonce, call, service, endpoints, now)
    finally:
      # Releasing the claim has no effect once the call was sent.
      self.claims.release(claimed.nonce)

  def _obtain_claim(
      self, call: records.PlainCall, now: Callable[[], float]
  ) -> claim_task.ClaimGranted | records.PlainAnswer:
    """Obtains the claim, or the answer of the call that this one repeats."""
    key = claims.scope_key(call.tenant, call.service, call.idempotency_key)
    fingerprint = claims.call_fingerprint(call)
    pending_until = min(call.deadline_at, now() + self._pending_timeout_s)
    old_nonce = ''
    forgotten_nonce = ''
    while True:
      self._observer.observe(call_steps.STEP_BEFORE_CLAIM)
      timeout_s = call.deadline_at - now()
      result = self.claims.claim(key, fingerprint, timeout_s, old_nonce)
      if isinstance(result, claim_task.ClaimGranted):
        return result
      record = result.record
      if record.fingerprint != fingerprint:
        raise errors.KeyConflictError(
            'the idempotency key was already used for a different call'
        )
      if record.state != claims.RECORD_OPEN:
        return _read_record(record)
      if record.nonce == forgotten_nonce:
        raise _unknown_error()
      reply = self._query_while_pending(key, record, pending_until, now)
      if reply.claim_status == claims.REPLY_ANSWERED:
        return reply.answer
      if reply.claim_status == claims.REPLY_UNKNOWN:
        raise _unknown_error()
      if reply.claim_status == claims.REPLY_NEVER_SENT:
        old_nonce = record.nonce
        continue
      # The owner may have recorded the outcome just before it was queried, so
      # the record is read once more.
      forgotten_nonce = record.nonce

  def _query_while_pending(
      self,
      key: str,
      record: claims.ClaimRecord,
      pending_until: float,
      now: Callable[[], float],
  ) -> claims.ClaimReply:
    while True:
      reply = self._query_owner(claims.ClaimQuery(key, record.nonce), record)
      if reply.claim_status != claims.REPLY_PENDING:
        return reply
      if now() + PENDING_POLL_INTERVAL_S > pending_until:
        raise errors.CallPendingError(
            'the same call is still running for an earlier request',
            errors.RUN_UNKNOWN,
            PENDING_RETRY_AFTER_S,
        )
      time.sleep(PENDING_POLL_INTERVAL_S)

  def _query_owner(
      self, query: claims.ClaimQuery, record: claims.ClaimRecord
  ) -> claims.ClaimReply:
    if record.owner_address == self._own_peer_address:
      return self.claims.reply(query)
    body = self._peers.request(
        record.owner_address,
        claim_task.KIND_CLAIM_QUERY,
        msgspec.msgpack.encode(query),
        self._claim_query_timeout_s,
    )
    if body is None:
      return claims.ClaimReply(claims.REPLY_FORGOTTEN, None)
    return msgspec.msgpack.decode(body, type=claims.ClaimReply)

  def _send(
      self,
      nonce: str,
      call: records.PlainCall,
      service: records.Service,
      endpoints: list[records.Host],
      now: Callable[[], float],
  ) -> records.PlainAnswer:
    run = errors.RUN_NOT_RUN
    for host in _choose_attempts(service, endpoints):
      timeout_s = _get_timeout(call, service, now, run)
      self._observer.observe(call_steps.STEP_BEFORE_SEND)
      if not self.claims.begin_send(nonce):
        break
      answer = self._send_once(nonce, host, call, timeout_s)
      if answer is not None:
        return answer
    raise errors.UnavailableError(
        f'no endpoint of {service.name} took the call; it was not run',
        run,
        UNAVAILABLE_RETRY_AFTER_S,
    )

  def _send_once(
      self,
      nonce: str,
      host: records.Host,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer | None:
    """Sends the call to an endpoint once.

    Returns:
      The answer; None if it is certain that the endpoint did not run the call.
    """
    try:
      answer = self._service.call(host.name, host.address, call, timeout_s)
    except (
        errors.EndpointUnreachableError,
        errors.EndpointRefusedError,
    ) as error:
      self.claims.mark_not_sent(nonce)
      _log_attempt(call, host, error)
      return None
    except Exception as error:
      # After any other error, part of the call may have been sent.
      _log_attempt(call, host, error)
      self.claims.record_unknown(nonce)
      raise _unknown_error() from error
    self._observer.observe(call_steps.STEP_ANSWERED)
    self.claims.record_answer(nonce, answer)
    self._observer.observe(call_steps.STEP_RECORDED)
    return answer


def _check_key(call: records.PlainCall) -> None:
  key = call.idempotency_key
  if not key:
    raise errors.BadRequestError(
        f'a call to {call.service} requires an Idempotency-Key'
    )
  if len(key) > claims.MAX_KEY_CHARS:
    raise errors.BadRequestError(
        f'the Idempotency-Key is longer than {claims.MAX_KEY_CHARS} characters'
    )


def _choose_attempts(
    service: records.Service, endpoints: list[records.Host]
) -> list[records.Host]:
  """Returns the endpoint of each attempt, in rotation if there are few."""
  if not endpoints:
    return []
  attempts = max(1, service.max_attempts)
  return [endpoints[n % len(endpoints)] for n in range(attempts)]


def _get_timeout(
    call: records.PlainCall,
    service: records.Service,
    now: Callable[[], float],
    run: str,
) -> float:
  left_s = call.deadline_at - now()
  if left_s <= 0:
    raise errors.DeadlineError('the deadline of the call has passed', run)
  return min(left_s, service.timeout_s)


def _sleep_backoff(
    backoff: tenacity.wait.wait_base,
    number: int,
    call: records.PlainCall,
    now: Callable[[], float],
) -> None:
  state = tenacity.RetryCallState(None, None, (), {})
  state.attempt_number = number
  time.sleep(max(0.0, min(backoff(state), call.deadline_at - now())))


def _read_record(record: claims.ClaimRecord) -> records.PlainAnswer:
  if record.state == claims.RECORD_UNKNOWN:
    raise _unknown_error()
  if record.answer is None:
    raise errors.AnswerNotKeptError(
        'the call was run, but its answer was not kept', errors.RUN_DONE
    )
  return record.answer


def _unknown_error() -> errors.OutcomeUnknownError:
  return errors.OutcomeUnknownError(
      'the call may have been sent, and its answer is lost',
      errors.RUN_UNKNOWN,
  )


def _log_attempt(
    call: records.PlainCall, host: records.Host, error: Exception
) -> None:
  logs.log_event(
      log,
      logging.WARNING,
      'plain_attempt_failed',
      request_id=call.request_id,
      endpoint=host.name,
      error=str(error),
  )
