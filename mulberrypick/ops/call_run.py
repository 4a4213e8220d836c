"""Processes one request: places it, sends it, and forwards or fails it.

An error response may state that the request did not run only if no endpoint
received it, or if every endpoint that received it confirmed that it did not
run it.
"""

import asyncio
from collections.abc import Callable

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import event_stream
from mulberrypick.core import gateway_records
from mulberrypick.core import placements
from mulberrypick.core import stream_meter
from mulberrypick.ops import attempt_clock
from mulberrypick.ops import call_log
from mulberrypick.ops import caller_stream
from mulberrypick.ops import endpoint_send
from mulberrypick.ops import failure_response
from mulberrypick.ops import forward_run
from mulberrypick.ops import forward_server
from mulberrypick.ops import gateway_metrics
from mulberrypick.ops import gateway_state
from mulberrypick.ops import next_run
from mulberrypick.ops import pass_on
from mulberrypick.ops import prompt_handles
from mulberrypick.ops import stop_end
from mulberrypick.ops import stop_guard
from mulberrypick.ops import version_exchange
from mulberrypick.platform import protocol
from mulberrypick.platform import requests

# Maximum number of times that a request is sent to endpoints, including sends
# after which it did not run.
MAX_SENDS = 4
# Retry-After of the response if no endpoint ran a request. The queues of
# endpoints hold a few requests of some tens of milliseconds each.
BUSY_RETRY_AFTER_S = 0.1
# Retry-After of the response of a host that is apart if no other one takes the
# request. Hosts describe themselves to each other every 0.25 s.
NO_HELPER_RETRY_AFTER_S = 0.3
# A request that may be retried is sent to another endpoint, if that is secured,
# when the response head takes longer than both of these: a multiple of the
# route's latency target, and the high end of the predicted latency.
HEAD_TIMEOUT_TARGET_FACTOR = 1.5
# A stream that sends no data for this many of the longest pauses that are in
# time is resumed at another endpoint, if that is secured. Callers disconnect
# after eight of them or later.
STALL_GAPS = 4.0
# Longest pause that is in time if the route states none.
DEFAULT_GAP_S = 0.15
# Reason of an attempt that an endpoint refused as not run.
REFUSED = 'status_503'
# An engine that is full refuses at once. One that takes longer could not fetch
# the KV cache.
MIN_FETCH_FAILURE_S = 0.1
# Engines that must fail to do so: with one, its own link may be the cause, and
# to prefill a long prompt again takes longer than to ask another one.
LOST_CACHE_REFUSALS = 2
# Refusals of a host that may be cut off from all endpoints.
UNREACHABLE_REASONS = ('no_endpoint', 'no_decode_endpoint')
# Outcomes of attempts after which the request goes on.
INTERIM_OUTCOMES = ('retried', 'waited', 'moved')


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
      received: received_request.ReceivedRequest,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      forwarded: forward_server.ForwardedCaller | None = None,
  ):
    """Creates a run.

    Args:
      state: The state of this host.
      log: Logs decisions.
      metrics: Counts requests.
      versions: Finds and tells the versions of streams.
      call: The request.
      service: Its service.
      received: The request as it was received.
      caller: Its caller.
      forwarded: The same if it is that of another host, None otherwise.
    """
    self._state = state
    self._log = log
    self._metrics = metrics
    self._versions = versions
    self._service = service
    self._received = received
    self._caller = caller
    self._headers = requests.forwarded_headers(received)
    self._next = next_run.NextRun(state, call, service)
    self._forwarded = forwarded
    self._stream = caller_stream.CallerStream(caller, forwarded)
    self._passing = pass_on.PassOn(
        state,
        self._next,
        received,
        caller,
        self._stream,
        forwarded,
        self._can_end,
    )
    self._stop_end = stop_end.StopEnd(
        self._next, forwarded, self._log_decision, self._refuse, self._fail
    )
    self._meter = stream_meter.StreamMeter()
    # Whether an endpoint or a helper has the request and may run it.
    self._is_sent = False
    self._placement: placements.Placement | None = None
    self._first_event_s = 0.0
    self._prefill_s = 0.0
    self._clock = attempt_clock.AttemptClock(
        state.stop, self._stream, self._meter, forwarded is not None
    )
    # Whether an engine keeps the KV cache of the prefilled prompt.
    self._has_handle = False
    # Whether it was logged that the silent run is not given up.
    self._is_waiting = False

  @property
  def _call(self) -> gateway_records.Call:
    return self._next.call

  async def run(self) -> None:
    """Responds to the request; cancelled if the caller disconnects."""
    end_at = min(
        self._call.deadline_at,
        self._call.arrived_at + self._call.route.timeout_s,
    )
    self._end_at = end_at
    try:
      async with asyncio.timeout_at(end_at) as timeout:
        with self._state.stop.watch(
            timeout, lambda now: (self._call, self._clock.observe(now))
        ):
          await self._run_attempts()
    except TimeoutError:
      self._clock.record_end(self._call, False)
      # A timer may fire a moment before its time, so the time tells nothing.
      if timeout.when() < end_at:
        self._stop_end.end(self._is_sent)
        return
      if self._next.runs or self._is_sent:
        self._fail(504, 'timeout')
        return
      self._refuse(placements.Refusal('timeout', None))
    except asyncio.CancelledError:
      self._log_decision(*self._state.stop.cause_of_cancellation())
      raise
    finally:
      self._next.close()

  async def _run_attempts(self) -> None:
    reason = 'no_endpoint'
    sends = 0
    while sends < MAX_SENDS or self._next.has_given_up:
      if self._is_ended_for_stop() or await self._pass_on():
        return
      placement = await self._next.place()
      if isinstance(placement, placements.Refusal):
        if (
            placement.reason in UNREACHABLE_REASONS
            and await self._passing.is_needed_after_failure()
        ):
          continue
        if not sends and not self._next.runs:
          self._refuse(placement)
          return
        if not await self._is_secured_after(placement):
          break
        continue
      sends += 1
      self._placement = placement
      attempt = await self._run_attempt(placement)
      if attempt.may_have_run:
        self._clock.record_end(self._call, attempt.is_final)
      if attempt.is_final:
        return
      reason = attempt.reason
      failed = (
          self._placement.endpoint
          if attempt.is_prompt_read
          else placement.prefiller
      )
      self._next.record_attempt(attempt, failed)
      self._is_sent = False
      if not await self._goes_on_after(attempt):
        break
    self._end_unserved(reason)

  def _can_end(self, now: float) -> bool:
    """Returns whether the request may be sent now."""
    return self._clock.can_send(self._call, self._next.has_given_up, now)

  def _is_ended_for_stop(self) -> bool:
    """Begins an attempt; ends the request if this process can't serve it.

    Returns:
      Whether the request has its final response.
    """
    self._clock.begin()
    if self._can_end(asyncio.get_running_loop().time()):
      return False
    self._stop_end.end(self._is_sent)
    return True

  def _end_unserved(self, reason: str) -> None:
    """Fails a request that may have run, and refuses any other."""
    if self._next.runs:
      self._fail(502, reason)
      return
    self._refuse(placements.Refusal(reason, BUSY_RETRY_AFTER_S))

  async def _is_secured_after(self, refusal: placements.Refusal) -> bool:
    """Returns whether there is another run although none was placed."""
    self._next.lacked = refusal.reason
    return await self._next.secure_again()

  async def _goes_on_after(self, attempt: next_run.AttemptResult) -> bool:
    """Returns whether the request is sent again after an attempt."""
    if self._next.secured is not None:
      return True
    has_failed = attempt.may_have_run or (
        attempt.reason in next_run.CONNECT_REASONS
    )
    if has_failed and await self._passing.is_needed_after_failure():
      return True
    if (
        not self._next.may_retry(attempt)
        and not await self._next.secure_again()
    ):
      return False
    self._log_decision('retried', attempt.reason)
    return True

  async def _pass_on(self) -> bool:
    """Passes the request on to another host if this one is apart.

    Returns:
      Whether the request has its final response.
    """
    if not self._passing.is_needed():
      return False
    if self._forwarded is not None:
      # The other host finds one that is not apart.
      self._log_decision('refused', forward_server.APART)
      self._forwarded.decline(forward_server.APART, self._next.has_sent)
      return True
    self._is_sent = True
    result = await self._passing.run()
    self._is_sent = False
    self._end_passed_on(result)
    return True

  def _end_passed_on(self, result: forward_run.ForwardResult) -> None:
    """Logs how passing on ended, and fails the request if it was not served."""
    if result.outcome is forward_run.Outcome.ANSWERED:
      self._clock.record_end(self._call, True)
      self._log_decision('passed_on', result.reason, helper=result.helper)
      return
    if result.reason == stop_guard.STOPPING:
      # No other host has taken it since the last run, which is counted.
      self._stop_end.end(False)
      return
    if self._next.runs:
      self._fail(502, result.reason)
      return
    self._refuse(
        placements.Refusal(forward_run.NO_HELPER, NO_HELPER_RETRY_AFTER_S)
    )

  async def _give_up_for(self, is_silent: Callable[[], bool]) -> bool:
    """Secures another run while an endpoint is silent, and logs the result."""
    present = self._placement.endpoint
    if not self._clock.can_repeat(self._call):
      self._log_waiting(stop_guard.STOPPING)
      return False
    if (
        self._next.may_run_again()
        and await self._passing.is_needed_after_failure()
    ):
      self._log_decision('moved', 'apart', last_event=self._stream.last_event)
      return True
    if await self._next.secure_elsewhere(present, is_silent):
      other = self._next.secured.placement
      self._log_decision(
          'moved',
          'silent',
          to=other.endpoint.name,
          to_reader=other.prefiller.name if other.prefiller else '',
          last_event=self._stream.last_event,
      )
      self._is_waiting = False
      return True
    self._log_waiting(self._next.lacked)
    return False

  def _log_waiting(self, lacked: str) -> None:
    """Logs once that a silent run is not given up, as another one lacks."""
    if self._is_waiting:
      return
    self._is_waiting = True
    self._log_decision(
        'waited', 'silent', lacked=lacked, last_event=self._stream.last_event
    )

  async def _run_attempt(
      self, placement: placements.Placement
  ) -> next_run.AttemptResult:
    if placement.prefiller is None:
      return await self._send_to(placement, [], placement.tokens)
    handle, attempt = await self._prefill(placement)
    if handle is None:
      return attempt
    attempt = next_run.AttemptResult(False, False, 'cancelled')
    self._has_handle = True
    try:
      attempt = await self._run_decode(placement, handle)
    finally:
      if not attempt.is_final and not attempt.may_have_run:
        self._free_handle(placement.prefiller, handle)
    return attempt

  def _free_handle(
      self, prefiller: gateway_records.Endpoint, handle: str
  ) -> None:
    """Frees the KV cache of a prefilled prompt that is not needed any more."""
    if self._has_handle:
      self._has_handle = False
      prompt_handles.free_in_background(self._state, prefiller, handle)

  async def _run_decode(
      self, placement: placements.Placement, handle: str
  ) -> next_run.AttemptResult:
    """Decodes a prefilled request; tries another engine if one can't run it.

    Repeating the prefill instead would count as one more request to the service
    and would waste the finished prefill. If the prefilled prompt can't be
    fetched, the next engine prefills it itself: all would fail in the same way,
    one after the other until the time limit.
    """
    source = requests.kv_source_headers(placement.prefiller, handle)
    placement = self._placement = self._next.choose_decoder(placement)
    tried = set(self._next.excluded)
    prefiller, tokens = placement.prefiller, 0
    late_refusals = 0
    loop = asyncio.get_running_loop()
    while True:
      sent_at = loop.time()
      attempt = await self._send_to(placement, source, tokens)
      if attempt.is_final or attempt.may_have_run:
        return attempt
      if attempt.reason == stop_guard.STOPPING:
        return attempt
      tried.add(placement.endpoint.incarnation)
      now = loop.time()
      if attempt.reason == REFUSED and now - sent_at >= MIN_FETCH_FAILURE_S:
        late_refusals += 1
      if source and self._is_cache_lost(prefiller, late_refusals):
        source, tokens = [], placement.tokens
        self._clock.read_s = 0.0
        placement = placement._replace(prefiller=None)
        self._free_handle(prefiller, handle)
      other = self._state.placer.place_decode(self._call, tried, now)
      if other is None:
        return attempt
      if (
          attempt.reason not in next_run.UNSENT_REASONS
          and not self._next.may_retry(attempt)
      ):
        return attempt
      self._log_decision('retried', attempt.reason)
      placement = placement._replace(endpoint=other)
      self._placement = placement

  def _is_cache_lost(
      self,
      prefiller: gateway_records.Endpoint,
      late_refusals: int,
  ) -> bool:
    """Returns whether no decode engine can fetch a prefilled prompt.

    Args:
      prefiller: The engine that prefilled it.
      late_refusals: Number of decode engines that refused it after some time.
    """
    endpoints = self._state.endpoints
    now = asyncio.get_running_loop().time()
    if endpoints.find(prefiller.name) is None:
      return True
    if endpoints.is_suspended(prefiller, now):
      return True
    return late_refusals >= LOST_CACHE_REFUSALS

  async def _prefill(
      self, placement: placements.Placement
  ) -> tuple[str | None, next_run.AttemptResult]:
    prefiller = placement.prefiller
    now = asyncio.get_running_loop().time()
    read = placements.make_read(self._call, placement, now)
    send = endpoint_send.EndpointSend(
        self._state, self._log, prefiller, self._call, read, 0, self._can_end
    )
    self._state.record_parts(prefiller, self._call.parts, True)
    extra_headers = requests.prefill_headers()
    try:
      result = await send.start(
          lambda now: self._encode(prefiller, extra_headers, now),
          None,
          False,
          connection=self._next.take_connection(),
      )
      if result.outcome is not endpoint_send.Outcome.ANSWERED:
        return None, next_run.AttemptResult(
            False, False, f'read_{result.reason}', False
        )
      body = await send.exchange.read_all(endpoint_send.MAX_RESPONSE_BYTES)
      handle = requests.decode_kv_handle(body)
      if result.head.status != 200 or handle is None:
        return None, next_run.AttemptResult(
            False, False, f'read_{result.reason}', False
        )
      send.record_prefill(placement.tokens_ahead)
      now = asyncio.get_running_loop().time()
      self._prefill_s = now - self._call.arrived_at
      self._clock.read_s = now - send.sent_at
      self._next.record_prefill()
      self._state.endpoints.record_success(prefiller)
      return handle, next_run.AttemptResult(False, False, 'read')
    except errors.ExchangeBrokenError as error:
      send.record_break(error.reason, False)
      return None, next_run.AttemptResult(
          False, False, f'read_{error.reason}', False
      )
    finally:
      send.close()

  async def _send_to(
      self,
      placement: placements.Placement,
      extra_headers: list[tuple[bytes, bytes]],
      tokens: int,
  ) -> next_run.AttemptResult:
    endpoint = placement.endpoint
    decode_quarters = placements.decode_slot_quarters(
        self._call, bool(extra_headers)
    )
    read = None
    if tokens:
      now = asyncio.get_running_loop().time()
      read = placements.make_read(self._call, placement, now)
    send = endpoint_send.EndpointSend(
        self._state,
        self._log,
        endpoint,
        self._call,
        read,
        decode_quarters,
        self._can_end,
    )
    if self._service.is_engine:
      self._state.record_parts(endpoint, self._call.parts, not extra_headers)
    permit_until = self._next.take_permit()

    def encode(now: float) -> bytes:
      self._is_sent = True
      return self._encode(endpoint, extra_headers, now)

    try:
      result = await send.start(
          encode,
          self._head_limit(placement),
          True,
          permit_until,
          self._next.take_connection(),
      )
      if result.outcome is endpoint_send.Outcome.ANSWERED:
        if self._forwarded is not None and result.says_leaving:
          self._forwarded.leaving = endpoint.incarnation
        return await self._forward_response(
            send, result.head, placement, tokens
        )
      self._is_sent = False
      ran = result.outcome is endpoint_send.Outcome.BROKEN
      return next_run.AttemptResult(False, ran, result.reason)
    except errors.RunGivenUpError:
      return next_run.AttemptResult(False, True, 'stalled')
    except errors.ExchangeBrokenError as error:
      send.record_break(error.reason, self._stream.last_event is not None)
      return next_run.AttemptResult(False, True, error.reason)
    finally:
      send.close()

  async def _forward_response(
      self,
      send: endpoint_send.EndpointSend,
      head: stream_client.Head,
      placement: placements.Placement,
      tokens: int,
  ) -> next_run.AttemptResult:
    is_stream = self._call.route.kind is gateway_records.CallKind.STREAM
    if is_stream and head.status == 200:
      return await self._forward_stream(send, head, placement, tokens)
    body = await send.exchange.read_all(endpoint_send.MAX_RESPONSE_BYTES)
    if head.status >= 500:
      self._state.endpoints.record_failure(
          placement.endpoint, asyncio.get_running_loop().time()
      )
      if self._next.may_run_again() and await self._next.secure_elsewhere(
          placement.endpoint, lambda: True
      ):
        return next_run.AttemptResult(False, True, f'status_{head.status}')
    if self._stream.has_head:
      return next_run.AttemptResult(False, True, f'status_{head.status}')
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
    return next_run.AttemptResult(True, True, 'served')

  async def _forward_stream(
      self,
      send: endpoint_send.EndpointSend,
      head: stream_client.Head,
      placement: placements.Placement,
      tokens: int,
  ) -> next_run.AttemptResult:
    cutter = event_stream.EventSplitter()
    is_first = True
    resumed_at = self._stream.last_event or 0
    # The last event that the caller has, or the next one, shows that the run
    # goes on where the stream broke off.
    is_proven = not self._stream.has_head
    if self._stream.has_head and self._stream.last_event is None:
      # Without ids it can't go on elsewhere.
      raise errors.ExchangeBrokenError('event_without_id')
    gap_s = self._call.route.gap_s or DEFAULT_GAP_S
    limit = self._silence_limit(STALL_GAPS * gap_s)
    while data := await send.read_some(limit):
      try:
        events = cutter.feed(data)
      except ValueError as error:
        raise errors.ExchangeBrokenError(
            endpoint_send.EVENT_TOO_LONG
        ) from error
      send.exchange.keep(cutter.partial_bytes)
      if not events:
        continue
      if is_first:
        is_first = False
        self._record_first_event(send, placement, tokens)
      send.record_activity()
      self._measure(placement.endpoint, len(events))
      is_proven |= any((event.id or 0) >= resumed_at for event in events)
      await self._stream.write(head, events)
    if cutter.has_partial_event:
      raise errors.ExchangeBrokenError('event_cut')
    if not is_proven:
      raise errors.ExchangeBrokenError('no_event')
    self._stream.finish(head)
    send.record_completion()
    if placements.is_long_output(self._call):
      self._state.placer.outlook.record_end(self._call, self._meter.events)
    is_slow = self._meter.longest_pause_s > gap_s
    self._log_decision('served', call_log.SLOW_STREAM if is_slow else 'stream')
    return next_run.AttemptResult(True, True, 'served')

  def _record_first_event(
      self,
      send: endpoint_send.EndpointSend,
      placement: placements.Placement,
      tokens: int,
  ) -> None:
    """Records the first event of a run, and learns from its time."""
    now = asyncio.get_running_loop().time()
    self._clock.record_first_event(now)
    self._first_event_s = self._first_event_s or now - self._call.arrived_at
    if tokens:
      send.record_prefill(placement.tokens_ahead)
    elif placement.prefiller is not None:
      send.record_start(self._call.prompt_tokens)
    self._state.endpoints.record_success(placement.endpoint)
    self._bind(placement.endpoint)

  def _measure(self, endpoint: gateway_records.Endpoint, events: int) -> None:
    """Measures the pauses of the stream beside the load of its engine."""
    now = asyncio.get_running_loop().time()
    beside = self._state.load.backlog(endpoint, now)
    pause_s = self._meter.record(events, beside, now)
    if pause_s is not None and placements.is_long_output(self._call):
      self._state.load.observe_event(endpoint, pause_s, now)

  def _bind(self, endpoint: gateway_records.Endpoint) -> None:
    """Binds the stream to the version that writes its first event."""
    if self._call.route.is_resumable and not self._stream.has_head:
      self._versions.bind(self._call, endpoint.software)
    if self._call.software is None:
      self._next.call = self._call._replace(software=endpoint.software)
    if self._forwarded is not None:
      self._forwarded.software = self._call.software

  def _silence_limit(self, after_s: float) -> endpoint_send.SilenceLimit | None:
    if not self._next.may_run_again():
      return None
    return endpoint_send.SilenceLimit(after_s, self._give_up_for)

  def _head_limit(
      self, placement: placements.Placement
  ) -> endpoint_send.SilenceLimit | None:
    return self._silence_limit(
        max(
            HEAD_TIMEOUT_TARGET_FACTOR * self._call.route.target_s,
            placement.slow_s,
        )
    )

  def _encode(
      self,
      endpoint: gateway_records.Endpoint,
      extra_headers: list[tuple[bytes, bytes]],
      now: float,
  ) -> bytes:
    # It is sent right after it is encoded.
    self._next.record_send(endpoint is self._placement.prefiller)
    headers = list(self._headers)
    if self._stream.last_event is not None:
      headers = [h for h in headers if h[0].lower() != protocol.LAST_EVENT]
      headers += requests.resume_headers(self._stream.last_event)
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
        lacked=self._next.lacked,
        last_event=self._stream.last_event,
    )
    if self._stream.has_head:
      self._caller.abort()
      return
    failure_response.write_failure(
        self._caller, status, reason, self._call.id, None
    )

  def _describe_run(self) -> str:
    """Returns how far the request came, for logs."""
    if self._stream.has_head:
      return 'runs'
    if self._next.runs or self._is_sent:
      return 'sent'
    return 'not_sent'

  def _log_decision(self, outcome: str, reason: str, **fields: object) -> None:
    now = asyncio.get_running_loop().time()
    if reason in stop_guard.REASONS:
      fields['ran'] = self._describe_run()
      fields |= self._clock.describe(now)
    placement = self._placement
    if placement is not None:
      fields['endpoint'] = placement.endpoint.name
      fields['software'] = placement.endpoint.software
      fields['reader'] = placement.prefiller.name if placement.prefiller else ''
      fields['tokens_ahead'] = placement.tokens_ahead
      fields['tokens'] = placement.tokens
      fields['expected_s'] = round(placement.predicted_s, 3)
    if self._meter.events:
      fields['events'] = self._meter.events
      fields['event_s'] = round(self._meter.mean_event_s, 3)
      fields['longest_pause_s'] = round(self._meter.longest_pause_s, 3)
      fields['beside_tokens'] = self._meter.most_beside
    if outcome not in INTERIM_OUTCOMES:
      after_s = self._first_event_s or now - self._call.arrived_at
      self._metrics.observe_call(self._call.route, outcome, after_s)
      if self._meter.events > 1:
        self._metrics.observe_pause(
            self._call.route, outcome, self._meter.longest_pause_s
        )
    if self._forwarded is not None:
      fields['from_host'] = self._forwarded.origin.host
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
        runs=self._next.runs,
        is_sent=self._is_sent,
        bound_to=self._call.software,
        config=config.version if config else 0,
        **fields,
    )
