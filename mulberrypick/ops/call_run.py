"""Processes one request: places it, sends it, and forwards or fails it.

An error response may state that the request did not run only if no endpoint
received it, or if every endpoint that received it confirmed that it did not
run it.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import stream_client
from mulberrypick.adapters import stream_server
from mulberrypick.core import errors
from mulberrypick.core import event_stream
from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.ops import call_log
from mulberrypick.ops import caller_stream
from mulberrypick.ops import endpoint_send
from mulberrypick.ops import failure_response
from mulberrypick.ops import gateway_metrics
from mulberrypick.ops import gateway_state
from mulberrypick.ops import prompt_handles
from mulberrypick.ops import run_securer
from mulberrypick.ops import version_exchange
from mulberrypick.platform import protocol
from mulberrypick.platform import requests

# Maximum number of times that a request is sent to endpoints, including sends
# after which it did not run.
MAX_SENDS = 4
# Retry-After of the response if no endpoint ran a request. The queues of
# endpoints hold a few requests of some tens of milliseconds each.
BUSY_RETRY_AFTER_S = 0.1
# A request that may be retried is sent to another endpoint, if that is secured,
# when the response head takes longer than both of these: a multiple of the
# route's latency target, and a multiple of the predicted latency.
HEAD_TIMEOUT_TARGET_FACTOR = 1.5
HEAD_TIMEOUT_PREDICTION_FACTOR = 3.0
# A stream that sends no data for this long is resumed at another endpoint, if
# that is secured. Callers tolerate pauses of 0.15 s and disconnect after 2 s.
STALL_TIMEOUT_S = 0.6
# Longest time for which a request waits for a permit from another host, which
# takes a few milliseconds. Without a permit it is then refused.
MAX_PERMIT_WAIT_S = 0.05
# Reasons of attempts, also of prefills, after which nothing was sent.
UNSENT_REASONS = ('connect', 'limited', 'read_connect', 'read_limited')
# Reasons of attempts that this host ended, and that might have gone on.
GIVEN_UP_REASONS = ('silent', 'stalled')
# After a run was given up for one that failed, the endpoint of the latter is
# left out in so many attempts to secure another run.
ROUNDS_WITHOUT_LAST = 5
# Outcomes of attempts after which the request goes on.
INTERIM_OUTCOMES = ('retried', 'waited', 'moved')


class _AttemptResult(NamedTuple):
  """Result of one attempt to serve the request.

  Attributes:
    is_final: Whether the caller got its whole response.
    may_have_run: Whether the endpoint may have run the request.
    reason: Identifier of the result, for logs and error responses.
    is_prompt_read: False if prefill failed; True if it succeeded or there
      was none.
  """

  is_final: bool
  may_have_run: bool
  reason: str
  is_prompt_read: bool = True


class CallRun:
  """Processes one request of a caller."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      log: call_log.CallLog,
      metrics: gateway_metrics.GatewayMetrics,
      versions: version_exchange.VersionExchange,
      call: gateway_records.Call,
      service: gateway_records.Service,
      received: stream_server.ReceivedRequest,
      caller: stream_server.ServerConnection,
  ):
    self._state = state
    self._log = log
    self._metrics = metrics
    self._versions = versions
    self._call = call
    self._service = service
    self._received = received
    self._caller = caller
    self._headers = requests.forwarded_headers(received)
    self._excluded: set[tuple[str, int]] = set()
    self._last_failed = ('', 0)
    self._runs = 0
    self._stream = caller_stream.CallerStream(caller)
    self._is_sending = False
    self._placement: placements.Placement | None = None
    self._first_event_s = 0.0
    self._prefill_s = 0.0
    # When the permit expires that is reserved for the placement's endpoint.
    self._permit_until = float('-inf')
    self._securer = run_securer.RunSecurer(state, service)
    self._secured: run_securer.SecuredRun | None = None
    # Whether this host ended the last run, which might have gone on.
    self._has_given_up = False
    # Whether it was logged that the silent run is not given up.
    self._is_waiting = False
    # What a retry lacked, for logs; empty if none was considered.
    self._lacked = ''

  async def run(self) -> None:
    """Responds to the request; cancelled if the caller disconnects."""
    end_at = min(
        self._call.deadline_at,
        self._call.arrived_at + self._call.route.timeout_s,
    )
    self._end_at = end_at
    try:
      async with asyncio.timeout_at(end_at):
        await self._run_attempts()
    except TimeoutError:
      if self._runs or self._is_sending:
        self._fail(504, 'timeout')
        return
      self._refuse(placements.Refusal('timeout', None))
    except asyncio.CancelledError:
      self._log_decision('left', 'caller_left')
      raise
    finally:
      if self._secured is not None:
        self._securer.release(self._call, self._secured)
      self._securer.give_back_retry(self._call)

  async def _run_attempts(self) -> None:
    reason = 'no_endpoint'
    sends = 0
    while sends < MAX_SENDS or self._has_given_up:
      placement = await self._next_placement()
      if isinstance(placement, placements.Refusal):
        if not sends:
          self._refuse(placement)
          return
        self._lacked = placement.reason
        if not await self._secure_again():
          break
        continue
      sends += 1
      self._placement = placement
      attempt = await self._run_attempt(placement)
      if attempt.is_final:
        return
      reason = attempt.reason
      self._record_attempt(attempt, placement)
      if self._secured is not None:
        continue
      if not self._may_retry(attempt) and not await self._secure_again():
        break
      self._log_decision('retried', reason)
    if self._runs:
      self._fail(502, reason)
      return
    self._refuse(placements.Refusal(reason, BUSY_RETRY_AFTER_S))

  async def _next_placement(
      self,
  ) -> placements.Placement | placements.Refusal:
    """Returns the secured placement, or places the request."""
    now = asyncio.get_running_loop().time()
    if self._secured is not None:
      placement = self._secured.placement
      self._permit_until = self._secured.permit_until
    else:
      placement = await self._place()
      if isinstance(placement, placements.Refusal):
        return placement
      placement = self._securer.take_prefill(self._call, placement)
      now = asyncio.get_running_loop().time()
      self._permit_until = self._state.permits.reserve(
          placement.endpoint.incarnation, self._call.route.rank == 0, now
      )
    self._state.endpoints.record_probe(placement.endpoint, now)
    if placement.prefiller is not None:
      self._state.endpoints.record_probe(placement.prefiller, now)
    return placement

  def _record_attempt(
      self, attempt: _AttemptResult, placement: placements.Placement
  ) -> None:
    failed = (
        self._placement.endpoint
        if attempt.is_prompt_read
        else placement.prefiller
    )
    self._excluded.add(failed.incarnation)
    self._last_failed = failed.incarnation
    if attempt.may_have_run:
      self._runs += 1
      self._has_given_up = attempt.reason in GIVEN_UP_REASONS

  async def _secure_again(self) -> bool:
    """Secures another run if the one for which a run was given up failed.

    It waits until there is one: the caller does not lose an answer because this
    host gave a run up.
    """
    if not self._has_given_up:
      return False
    # Endpoints that were silent may respond again.
    self._excluded = {self._last_failed}
    rounds = 0
    while not await self._secure(self._excluded, lambda: True):
      if self._lacked == run_securer.CRASHES_ENDPOINTS:
        return False
      await asyncio.sleep(endpoint_send.SECURE_INTERVAL_S)
      rounds += 1
      if rounds == ROUNDS_WITHOUT_LAST:
        self._excluded = set()
    return True

  async def _secure_elsewhere(self, is_needed: Callable[[], bool]) -> bool:
    """Secures a run at another endpoint than that of the present one."""
    excluded = self._excluded | {self._placement.endpoint.incarnation}
    return await self._secure(excluded, is_needed)

  async def _secure(
      self, excluded: set[tuple[str, int]], is_needed: Callable[[], bool]
  ) -> bool:
    """Secures another run; returns whether there is one."""
    self._secured = await self._securer.secure(self._call, excluded, is_needed)
    self._lacked = self._securer.lacked
    return self._secured is not None

  async def _give_up_for(self, is_silent: Callable[[], bool]) -> bool:
    """Secures another run while an endpoint is silent, and logs the result."""
    if await self._secure_elsewhere(is_silent):
      other = self._secured.placement
      self._log_decision(
          'moved',
          'silent',
          to=other.endpoint.name,
          to_reader=other.prefiller.name if other.prefiller else '',
          last_event=self._stream.last_event,
      )
      self._is_waiting = False
      return True
    if not self._is_waiting:
      self._is_waiting = True
      self._log_decision(
          'waited',
          'silent',
          lacked=self._lacked,
          last_event=self._stream.last_event,
      )
    return False

  async def _place(
      self,
  ) -> placements.Placement | placements.Refusal:
    """Places the request; waits shortly for a permit if it needs one."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + MAX_PERMIT_WAIT_S
    while True:
      changed = self._state.permits_changed
      placement = self._state.placer.place(
          self._call, self._service, self._excluded, loop.time()
      )
      if self._state.permits.has_wanted():
        self._state.permits_wanted.set()
      if (
          isinstance(placement, placements.Placement)
          or not placement.awaits_permit
      ):
        return placement
      try:
        async with asyncio.timeout_at(end_at):
          await changed.wait()
      except TimeoutError:
        return placement

  def _may_retry(self, attempt: _AttemptResult) -> bool:
    now = asyncio.get_running_loop().time()
    if self._state.is_refused(self._call, now):
      self._lacked = 'crashes_endpoints'
      return False
    if attempt.may_have_run:
      route = self._call.route
      if not route.is_idempotent or self._runs >= route.attempts:
        self._lacked = 'attempts'
        return False
    # Nothing was sent, so that a retry adds no load except a second prefill,
    # which is taken from the budget when it is placed.
    if attempt.reason in UNSENT_REASONS:
      return True
    if self._securer.take_retry(self._call):
      return True
    self._lacked = 'budget'
    return False

  async def _run_attempt(
      self, placement: placements.Placement
  ) -> _AttemptResult:
    if placement.prefiller is None:
      return await self._send_to(placement, [], placement.tokens)
    handle, attempt = await self._prefill(placement)
    if handle is None:
      return attempt
    attempt = _AttemptResult(False, False, 'cancelled')
    try:
      attempt = await self._run_decode(placement, handle)
    finally:
      if not attempt.is_final and not attempt.may_have_run:
        prompt_handles.free_in_background(
            self._state, placement.prefiller, handle
        )
    return attempt

  async def _run_decode(
      self, placement: placements.Placement, handle: str
  ) -> _AttemptResult:
    """Decodes a prefilled request; tries another engine if one can't run it.

    Repeating the prefill instead would count as one more request to the service
    and would waste the finished prefill.
    """
    source = requests.kv_source_headers(placement.prefiller, handle)
    tried = set(self._excluded)
    while True:
      attempt = await self._send_to(placement, source, 0)
      if attempt.is_final or attempt.may_have_run:
        return attempt
      tried.add(placement.endpoint.incarnation)
      now = asyncio.get_running_loop().time()
      other = self._state.placer.place_decode(self._call, tried, now)
      if other is None:
        return attempt
      if attempt.reason not in UNSENT_REASONS and not self._may_retry(attempt):
        return attempt
      self._log_decision('retried', attempt.reason)
      placement = placement._replace(endpoint=other)
      self._placement = placement

  async def _prefill(
      self, placement: placements.Placement
  ) -> tuple[str | None, _AttemptResult]:
    prefiller = placement.prefiller
    send = endpoint_send.EndpointSend(
        self._state, self._log, prefiller, self._call, placement.tokens, 0
    )
    self._state.record_parts(prefiller, self._call.parts, True)
    extra_headers = requests.prefill_headers()
    try:
      result = await send.start(
          lambda now: self._encode(prefiller, extra_headers, now),
          None,
          False,
          connection=self._take_connection(),
      )
      if result.outcome is not endpoint_send.Outcome.ANSWERED:
        return None, _AttemptResult(
            False, False, f'read_{result.reason}', False
        )
      body = await send.exchange.read_all(endpoint_send.MAX_RESPONSE_BYTES)
      handle = requests.decode_kv_handle(body)
      if result.head.status != 200 or handle is None:
        return None, _AttemptResult(
            False, False, f'read_{result.reason}', False
        )
      send.record_prefill(placement.tokens_ahead)
      now = asyncio.get_running_loop().time()
      self._prefill_s = now - self._call.arrived_at
      self._securer.has_prefilled = True
      self._state.endpoints.record_success(prefiller)
      return handle, _AttemptResult(False, False, 'read')
    except errors.ExchangeBrokenError as error:
      send.record_break(error.reason, False)
      return None, _AttemptResult(False, False, f'read_{error.reason}', False)
    finally:
      send.close()

  async def _send_to(
      self,
      placement: placements.Placement,
      extra_headers: list[tuple[bytes, bytes]],
      tokens: int,
  ) -> _AttemptResult:
    endpoint = placement.endpoint
    decode_quarters = placements.decode_slot_quarters(
        self._call, bool(extra_headers)
    )
    send = endpoint_send.EndpointSend(
        self._state, self._log, endpoint, self._call, tokens, decode_quarters
    )
    if self._service.is_engine:
      self._state.record_parts(endpoint, self._call.parts, not extra_headers)
    permit_until, self._permit_until = self._permit_until, float('-inf')
    try:
      self._is_sending = True
      result = await send.start(
          lambda now: self._encode(endpoint, extra_headers, now),
          self._head_limit(placement),
          True,
          permit_until,
          self._take_connection(),
      )
      if result.outcome is endpoint_send.Outcome.ANSWERED:
        return await self._forward_response(
            send, result.head, placement, tokens
        )
      self._is_sending = False
      ran = result.outcome is endpoint_send.Outcome.BROKEN
      return _AttemptResult(False, ran, result.reason)
    except errors.RunGivenUpError:
      return _AttemptResult(False, True, 'stalled')
    except errors.ExchangeBrokenError as error:
      send.record_break(error.reason, self._stream.last_event is not None)
      return _AttemptResult(False, True, error.reason)
    finally:
      send.close()

  async def _forward_response(
      self,
      send: endpoint_send.EndpointSend,
      head: stream_client.Head,
      placement: placements.Placement,
      tokens: int,
  ) -> _AttemptResult:
    is_stream = self._call.route.kind is gateway_records.CallKind.STREAM
    if is_stream and head.status < 300:
      return await self._forward_stream(send, head, placement, tokens)
    body = await send.exchange.read_all(endpoint_send.MAX_RESPONSE_BYTES)
    if head.status >= 500:
      self._state.endpoints.record_failure(
          placement.endpoint, asyncio.get_running_loop().time()
      )
      if self._may_run_again() and await self._secure_elsewhere(lambda: True):
        return _AttemptResult(False, True, f'status_{head.status}')
    if self._stream.has_head:
      return _AttemptResult(False, True, f'status_{head.status}')
    took_s = asyncio.get_running_loop().time() - send.sent_at
    self._state.load.observe_service_time(placement.endpoint, took_s)
    self._caller.write_response(
        head.status, requests.response_headers(head), body
    )
    if head.status < 500:
      self._state.endpoints.record_success(placement.endpoint)
    if head.status < 400:
      send.record_completion()
    self._log_decision('served', f'status_{head.status}')
    return _AttemptResult(True, True, 'served')

  async def _forward_stream(
      self,
      send: endpoint_send.EndpointSend,
      head: stream_client.Head,
      placement: placements.Placement,
      tokens: int,
  ) -> _AttemptResult:
    cutter = event_stream.EventSplitter()
    is_first = True
    limit = self._silence_limit(STALL_TIMEOUT_S)
    while data := await send.read_some(limit):
      try:
        events = cutter.feed(data)
      except ValueError as error:
        raise errors.ExchangeBrokenError('event_too_long') from error
      if not events:
        continue
      if is_first:
        is_first = False
        now = asyncio.get_running_loop().time()
        self._first_event_s = self._first_event_s or now - self._call.arrived_at
        if tokens:
          send.record_prefill(placement.tokens_ahead)
        self._state.endpoints.record_success(placement.endpoint)
        self._bind(placement.endpoint)
      send.record_activity()
      await self._stream.write(head, events)
    if cutter.has_partial_event:
      raise errors.ExchangeBrokenError('event_cut')
    self._stream.finish(head)
    send.record_completion()
    self._log_decision('served', 'stream')
    return _AttemptResult(True, True, 'served')

  def _bind(self, endpoint: gateway_records.Endpoint) -> None:
    """Binds the stream to the version that writes its first event."""
    if self._call.route.is_resumable and not self._stream.has_head:
      self._versions.bind(self._call, endpoint.software)
    if self._call.software is None:
      self._call = self._call._replace(software=endpoint.software)

  def _may_run_again(self) -> bool:
    route = self._call.route
    return route.is_idempotent and self._runs + 1 < route.attempts

  def _silence_limit(self, after_s: float) -> endpoint_send.SilenceLimit | None:
    if not self._may_run_again():
      return None
    return endpoint_send.SilenceLimit(after_s, self._give_up_for)

  def _head_limit(
      self, placement: placements.Placement
  ) -> endpoint_send.SilenceLimit | None:
    return self._silence_limit(
        max(
            HEAD_TIMEOUT_TARGET_FACTOR * self._call.route.target_s,
            HEAD_TIMEOUT_PREDICTION_FACTOR * placement.predicted_s,
        )
    )

  def _take_connection(self) -> stream_client.ClientConnection | None:
    """Returns the connection of the secured run, which is now used."""
    secured, self._secured = self._secured, None
    return secured.connection if secured is not None else None

  def _encode(
      self,
      endpoint: gateway_records.Endpoint,
      extra_headers: list[tuple[bytes, bytes]],
      now: float,
  ) -> bytes:
    # It is sent right after it is encoded.
    if endpoint is self._placement.prefiller:
      self._securer.has_unused_prefill = False
    self._securer.has_unused_retry = False
    headers = list(self._headers)
    if self._stream.last_event is not None:
      headers = [h for h in headers if h[0].lower() != protocol.LAST_EVENT]
      headers += requests.resume_headers(b'%d' % self._stream.last_event)
    headers += requests.endpoint_headers(
        endpoint,
        self._end_at - now,
        self._call.route.rank,
        bool(extra_headers) and endpoint is self._placement.endpoint,
    )
    headers += extra_headers
    return stream_client.encode_request(
        self._received.method,
        self._received.target,
        headers,
        self._received.body,
    )

  def _refuse(self, refusal: placements.Refusal) -> None:
    self._log_decision(
        'refused',
        refusal.reason,
        predicted_s=round(refusal.predicted_s, 3),
        retry_after_s=refusal.retry_after_s,
    )
    if self._stream.has_head:
      self._caller.abort()
      return
    failure_response.write_failure(
        self._caller, 503, refusal.reason, self._call.id, refusal.retry_after_s
    )

  def _fail(self, status: int, reason: str) -> None:
    self._log_decision(
        'cut' if self._stream.has_head else 'failed',
        reason,
        lacked=self._lacked,
        last_event=self._stream.last_event,
    )
    if self._stream.has_head:
      self._caller.abort()
      return
    failure_response.write_failure(
        self._caller, status, reason, self._call.id, None
    )

  def _log_decision(self, outcome: str, reason: str, **fields: object) -> None:
    now = asyncio.get_running_loop().time()
    placement = self._placement
    if placement is not None:
      fields['endpoint'] = placement.endpoint.name
      fields['software'] = placement.endpoint.software
      fields['reader'] = placement.prefiller.name if placement.prefiller else ''
      fields['tokens_ahead'] = placement.tokens_ahead
      fields['tokens'] = placement.tokens
      fields['expected_s'] = round(placement.predicted_s, 3)
    if outcome not in INTERIM_OUTCOMES:
      after_s = self._first_event_s or now - self._call.arrived_at
      self._metrics.observe_call(self._call.route, outcome, after_s)
    config = self._state.config
    self._log.record(
        outcome,
        reason,
        now,
        self._call.route.name,
        request=self._call.id,
        request_hash=call_log.format_hash(self._call.fingerprint),
        after_s=round(now - self._call.arrived_at, 3),
        read_s=round(self._prefill_s, 3),
        first_s=round(self._first_event_s, 3),
        runs=self._runs,
        bound_to=self._call.software,
        config=config.version if config else 0,
        **fields,
    )
