"""Handles requests of callers, and readiness checks by the load balancer."""

import asyncio
import logging

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.core import crashing_parts
from mulberrypick.core import gateway_records
from mulberrypick.core import route_table
from mulberrypick.ops import call_log
from mulberrypick.ops import call_run
from mulberrypick.ops import failure_response
from mulberrypick.ops import forward_server
from mulberrypick.ops import gateway_metrics
from mulberrypick.ops import gateway_state
from mulberrypick.ops import stop_guard
from mulberrypick.ops import version_exchange
from mulberrypick.platform import protocol
from mulberrypick.platform import requests

_log = logging.getLogger(__name__)
# Retry-After of a host that has no configuration yet.
NOT_READY_RETRY_S = 0.3


class GatewayTask:
  """Handles requests of callers and readiness checks of a gateway."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      log: call_log.CallLog,
      metrics: gateway_metrics.GatewayMetrics,
      versions: version_exchange.VersionExchange,
  ):
    self._state = state
    self._log = log
    self._metrics = metrics
    self._versions = versions

  async def handle(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    """Responds to one request of a caller.

    After an unexpected exception it is unknown whether the request ran, and the
    response says so. A response that has begun is broken off.
    """
    caller.request_id = requests.find_id(received.headers)
    if received.follows_close:
      self._refuse(
          caller,
          503,
          stop_guard.STOPPING,
          caller.request_id,
          stop_guard.RETRY_AFTER_S,
      )
      return
    try:
      await self._answer(received, caller)
    except Exception:
      _log.exception('call_fault')
      if caller.has_head:
        caller.abort()
        return
      failure_response.write_failure(
          caller, 502, 'internal_fault', caller.request_id, None
      )

  async def answer_forwarded(
      self,
      received: received_request.ReceivedRequest,
      caller: forward_server.ForwardedCaller,
  ) -> None:
    """Responds to a request that another host passes on."""
    headers = requests.decode_call(received)
    self._log.record(
        'taken',
        'forwarded',
        asyncio.get_running_loop().time(),
        '',
        request=headers.id,
        from_host=caller.origin.host,
        elapsed_s=round(caller.origin.elapsed_s, 3),
        runs=caller.origin.runs,
    )
    await self._answer(received, caller, caller)

  async def _answer(
      self,
      received: received_request.ReceivedRequest,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      forwarded: forward_server.ForwardedCaller | None = None,
  ) -> None:
    state = self._state
    headers = requests.decode_call(received)
    config = state.config
    if config is None:
      self._refuse(caller, 503, 'no_config', headers.id, NOT_READY_RETRY_S)
      return
    path = received.target.partition(b'?')[0].decode('latin-1')
    route = route_table.match_route(config, headers.hostname, path)
    if route is None:
      self._refuse(caller, 404, 'no_route', headers.id, None)
      return
    call = make_call(received, headers, route)
    service = config.service_by_name.get(call.service)
    now = asyncio.get_running_loop().time()
    if forwarded is None or not forwarded.origin.is_repeat:
      state.budget.record_request(call.service, now)
    if service is None:
      self._refuse(caller, 503, 'no_service', headers.id, NOT_READY_RETRY_S)
      return
    if state.quarantine.is_refused(call.fingerprint, now):
      request_hash = call_log.format_hash(call.fingerprint)
      self._refuse(
          caller,
          503,
          'crashes_endpoints',
          headers.id,
          None,
          request_hash=request_hash,
      )
      return
    refusal = state.part_watch.admit(call, state.turn_among_hosts, now)
    if refusal is not None:
      parts = crashing_parts.format_keys(refusal.keys)
      self._refuse(
          caller, 503, 'part_crashes_endpoints', headers.id, None, parts=parts
      )
      return
    if forwarded is not None and forwarded.origin.software is not None:
      call = call._replace(software=forwarded.origin.software)
    elif headers.is_resumed and route.is_resumable:
      call = await self._take_up(call, caller, forwarded)
      if call is None:
        return
    run = call_run.CallRun(
        state,
        self._log,
        self._metrics,
        self._versions,
        call,
        service,
        received,
        caller,
        forwarded,
    )
    await run.run()

  async def _take_up(
      self,
      call: gateway_records.Call,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      forwarded: forward_server.ForwardedCaller | None,
  ) -> gateway_records.Call | None:
    """Binds a stream that goes on; returns None if it was refused."""
    bound = await self._bind_in_time(call)
    if bound is None:
      self._end_for_stop(call, caller, forwarded)
      return None
    if not bound.software:
      self._refuse(caller, 503, 'version_unknown', call.id, None)
      return None
    return bound

  async def _bind_in_time(
      self, call: gateway_records.Call
  ) -> gateway_records.Call | None:
    """Binds a stream; returns None if a stop ends the request meanwhile."""
    stop = self._state.stop
    timeout = asyncio.timeout(None)
    try:
      async with timeout:
        with stop.watch(timeout):
          return await self._bind_taken_up(call)
    except TimeoutError:
      if not timeout.expired():
        raise
      return None
    except asyncio.CancelledError:
      outcome, reason = stop.cause_of_cancellation()
      self._record(outcome, reason, call)
      raise

  def _end_for_stop(
      self,
      call: gateway_records.Call,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      forwarded: forward_server.ForwardedCaller | None,
  ) -> None:
    """Ends a request that was not sent and that a stop leaves no time for."""
    self._record('refused', stop_guard.STOPPING, call)
    if forwarded is not None:
      forwarded.decline(forward_server.LEAVING)
      return
    failure_response.write_failure(
        caller, 503, stop_guard.STOPPING, call.id, stop_guard.RETRY_AFTER_S
    )

  def _record(
      self, outcome: str, reason: str, call: gateway_records.Call
  ) -> None:
    """Logs how a request ended that was not sent."""
    now = asyncio.get_running_loop().time()
    self._log.record(
        outcome,
        reason,
        now,
        call.route.name,
        request=call.id,
        after_s=round(now - call.arrived_at, 3),
        ran='not_sent',
    )

  async def _bind_taken_up(
      self, call: gateway_records.Call
  ) -> gateway_records.Call:
    """Binds a stream that its caller takes up to the version that began it.

    Returns:
      The request; its `software` is empty if the version is unknown.
    """
    found = await self._versions.find(call)
    now = asyncio.get_running_loop().time()
    self._log.record(
        'resumed',
        'by_caller',
        now,
        call.route.name,
        request=call.id,
        resumes=call.stream_id,
        bound_to=found.software,
        source=found.source,
        took_s=round(now - call.arrived_at, 3),
    )
    return call._replace(software=found.software or '')

  async def answer_ready(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    """Responds to a readiness check."""
    is_asked = received.target.partition(b'?')[0] == protocol.READY_PATH
    status = 200 if is_asked and self._state.is_ready else 503
    caller.write_response(status, [], b'')

  def log_refused(self, status: int, peer: str) -> None:
    """Logs a request that was refused before it was received completely."""
    now = asyncio.get_running_loop().time()
    self._log.record('refused', f'status_{status}', now, '', peer=peer)

  def log_undelivered(self, request: str, unsent: int, reason: str) -> None:
    """Logs a response that was written, and did not reach its caller whole."""
    now = asyncio.get_running_loop().time()
    self._log.record(
        'undelivered', reason, now, '', request=request, unsent_bytes=unsent
    )

  def _refuse(
      self,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      status: int,
      reason: str,
      request_id: str,
      retry_after_s: float | None,
      **fields: object,
  ) -> None:
    now = asyncio.get_running_loop().time()
    self._log.record('refused', reason, now, '', request=request_id, **fields)
    failure_response.write_failure(
        caller, status, reason, request_id, retry_after_s
    )


def make_call(
    received: received_request.ReceivedRequest,
    headers: requests.CallHeaders,
    route: gateway_records.Route,
) -> gateway_records.Call:
  """Returns the record of a request by which it is placed and admitted."""
  stream_id = headers.resumes or headers.id
  return gateway_records.Call(
      id=headers.id,
      route=route,
      service=route_table.pick_service(route, stream_id),
      parts=headers.parts,
      prompt_tokens=headers.prompt_tokens,
      output_tokens=headers.output_tokens,
      fingerprint=requests.fingerprint(received),
      arrived_at=received.received_at,
      deadline_at=received.received_at + headers.deadline_s,
      stream_id=stream_id,
  )
