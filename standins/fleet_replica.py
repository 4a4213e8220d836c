"""Simulated replica of a plain service or a model engine of the fleet.

It records for the tests which requests it executed, how often, and which of
them were aborted by the caller.
"""

import asyncio
import collections
import secrets
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_server
from standins import crash_point
from standins import silence
from standins import unframed_stream

_REQUEST_ID = b'X-Mulberrypick-Request-Id'
_SIGNATURE = b'X-Mulberrypick-Server-Signature'
_KV_EVENTS_PATH = b'/mulberrypick/kv-events'
# Limits of the calls that wait for KV events, and of the events kept for them.
MAX_WAITING_CALLS = 2
MAX_RETAINED_EVENTS = 500
DEFAULT_SOFTWARE = 'v1'


# Time after which an endpoint gives up to fetch a prefilled prompt.
FETCH_TIMEOUT_S = 0.3


class Behaviour(NamedTuple):
  """How a replica handles requests.

  Attributes:
    work_s: Execution time of a plain request, and time to the first event of a
      stream.
    status: HTTP status of plain answers.
    events: Number of events in a stream.
    event_interval_s: Time between events.
    rate: Prefill speed in tokens per second. Prompts are prefilled one at a
      time, without their cached parts. 0 takes no time.
    mode: The failure to simulate:
      `ok`: none;
      `mute`: never answers;
      `reset`: closes the connection before an answer;
      `full`: refuses requests as not executed;
      `lost`: its prefilled prompts can't be fetched; the endpoints that try to
        refuse the request after `FETCH_TIMEOUT_S`;
      `held`: refuses too, but never sends the body of the refusal;
      `unmarked`: answers without the signature header;
      `stray`: sends a foreign answer before its own;
      `extra`: sends a foreign answer after its own;
      `torn`: closes the connection within the third event of a stream;
      `still`: sends nothing after the second event of a stream;
      `unframed`: sends a body whose end is the end of the connection;
      `encoded`: adds a Content-Encoding header;
      one of `unframed_stream.MODES`: sends such streams.
  """

  work_s: float = 0.0
  status: int = 200
  events: int = 5
  event_interval_s: float = 0.005
  rate: float = 0.0
  mode: str = 'ok'


class FleetReplica:
  """A replica that listens on its own port.

  Attributes:
    name: Id of the replica.
    service: Name of the service.
    stage: `prefill`, `decode`, or empty for a plain service.
    behaviour: How it handles requests.
    on_run: Called with each request that it would run, its headers by name and
      its connection; returns whether it has answered it. None for nothing.
    limit: Requests per second that its answers ask for; 0 for no limit.
    is_saying_it_leaves: Whether its answers say that it leaves.
    hold_off: Value of Retry-After with which it refuses all requests; empty to
      run them.
    told_arrivals: Time, on the event loop's clock, and id of each request that
      was received while its answers said that it leaves or that it wants no
      requests. The id is empty for calls that belong to no request.
    software: Version of its software. Events of versions other than the default
      end with a comment that names it.
    runs: Number of executions by request id.
    aborted_requests: Ids of requests whose caller disconnected before the end.
    headers_by_request: Headers of each received request, by request id.
    target_by_request: Path and query of each received request, by request id.
    body_by_request: Body of each received request, by request id.
    freed_handles: KV handles that were freed.
    arrivals: Number of received requests, including refused ones.
    arrived_at: Time of the last received request on the event loop's clock.
    limited_arrivals: Time, on the event loop's clock, and id of each request
      that was received while it named a limit. The id is empty for calls that
      belong to no request.
    orders: Accepted orders.
    switch_s: Time for which it refuses requests after an order until it has
      changed its stage; 0 if it executes no orders.
    switching_arrivals: Time, on the event loop's clock, and id of each request
      that was received while it was changing its stage.
    on_stage: Called after it has changed its stage.
    port: Port that it listens on, 0 before the start.
    born: Epoch of its KV events and `born` of its entry. Increases with every
      start of the replica.
    on_crash: Called after a request crashed the replica.
    crashed_by: Body of the request that crashed the replica, empty if none did.
    crashing_arrivals: Time, on the event loop's clock, and id of each received
      request that crashes replicas.
    silence: When it is silent.
    run_spans: Time, on the event loop's clock, at which the last execution of
      each request began, and at which it ended if it has, by request id.
  """

  def __init__(self, name: str, service: str, stage: str = ''):
    self.name = name
    self.service = service
    self.stage = stage
    self.behaviour = Behaviour()
    self.on_run: (
        Callable[
            [str, dict[str, str], server_connection.ServerConnection],
            Awaitable[bool],
        ]
        | None
    ) = None
    self.limit = 0.0
    self.is_saying_it_leaves = False
    self.hold_off = ''
    self.told_arrivals: list[tuple[float, str]] = []
    self.software = DEFAULT_SOFTWARE
    self.runs: collections.Counter[str] = collections.Counter()
    self.aborted_requests: list[str] = []
    self.headers_by_request: dict[str, dict[str, str]] = {}
    self.target_by_request: dict[str, str] = {}
    self.body_by_request: dict[str, bytes] = {}
    self.freed_handles: list[str] = []
    self.arrivals = 0
    self.arrived_at = float('-inf')
    self.limited_arrivals: list[tuple[float, str]] = []
    self.orders: list[dict[str, object]] = []
    self.switch_s = 0.0
    self.switching_arrivals: list[tuple[float, str]] = []
    self.on_stage: Callable[[FleetReplica], None] = lambda replica: None
    self._switch: asyncio.TimerHandle | None = None
    self.port = 0
    self.born = 1
    self.on_crash: Callable[[FleetReplica], None] = lambda replica: None
    self.crashed_by = b''
    self.crashing_arrivals: list[tuple[float, str]] = []
    self.silence = silence.Silence()
    self.run_spans: dict[str, list[float]] = {}
    self._is_down = False
    self._handles: set[str] = set()
    self._prefill_lock = asyncio.Lock()
    self._cached_parts: set[str] = set()
    self._kv_events: list[list[object]] = []
    self._new_kv_event = asyncio.Event()
    self._waiting_calls = 0
    self._server = stream_server.StreamServer(self._handle, lambda *_: None)

  async def start(self, port: int) -> None:
    """Listens on a loopback port."""
    self.port = port
    await self._server.listen('127.0.0.1', port)

  def connection_count(self) -> int:
    """Returns the number of open connections."""
    return len(self._server.connections)

  def stop(self) -> None:
    """Stops abruptly, as in a crash: aborts all connections."""
    if self._switch is not None:
      self._switch.cancel()
    self._server.stop_listening()
    for connection in list(self._server.connections):
      connection.abort()

  async def _crash_at(
      self, body: bytes, *points: crash_point.CrashPoint
  ) -> None:
    """Crashes if the body of a request names one of the points.

    After a crash it does not return.
    """
    point = crash_point.parse_body(body)
    if point in points and not self._is_down:
      self._is_down = True
      self.crashed_by = body
      if point.is_silent:
        self._server.stop_listening()
      else:
        self.stop()
      self.on_crash(self)
    if self._is_down:
      await asyncio.Event().wait()

  def entry(self, state: str = 'ready') -> dict[str, object]:
    """Returns the entry of this replica in the store."""
    entry = {
        'service': self.service,
        'address': f'127.0.0.1:{self.port}',
        'zone': 'zone-a',
        'version': self.software,
        'slots': 8,
        'state': state,
        'coldRemainingMs': 0,
        'sequence': 0,
        'born': self.born,
    }
    if self.stage:
      entry['stage'] = self.stage
    return entry

  async def _handle(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    await self._crash_at(b'')
    headers = {}
    for name, value in received.headers:
      headers[name.decode().lower()] = value.decode()
    self._record_limited_arrival(headers)
    self._record_told_arrival(headers)
    if received.method == b'DELETE':
      self.freed_handles.append(received.target.decode().rpartition('/')[2])
      caller.write_response(200, self._state_headers(), b'')
      return
    if received.target.startswith(_KV_EVENTS_PATH):
      await self._send_kv_events(received, headers, caller)
      return
    if received.target.startswith(b'/mulberrypick/'):
      self._handle_orders(received, caller)
      return
    self.arrivals += 1
    self.arrived_at = asyncio.get_running_loop().time()
    request = headers.get('x-mulberrypick-request-id', '')
    body = crash_point.body_of(received.body, headers)
    if crash_point.parse_body(body) is not None:
      self.crashing_arrivals.append((self.arrived_at, request))
    self.headers_by_request[request] = headers
    self.target_by_request[request] = received.target.decode()
    self.body_by_request[request] = received.body
    expected = headers.get('x-mulberrypick-expect-instance')
    if expected is not None and expected != self.name:
      name = (b'X-Mulberrypick-Instance-Id', self.name.encode())
      caller.write_response(421, [name], b'')
      return
    if self.behaviour.mode == 'held':
      caller.write_head(
          503, [*_refusal(request), (b'Content-Length', b'9')], True
      )
      await asyncio.Event().wait()
    if self._is_refusing(request):
      self._refuse(caller, request)
      return
    try:
      await self._run_or_fail(request, headers, body, caller)
    except asyncio.CancelledError:
      self.aborted_requests.append(request)
      raise
    finally:
      self.run_spans.get(request, []).append(asyncio.get_running_loop().time())

  def _is_refusing(self, request: str) -> bool:
    """Returns whether it refuses a request as not executed."""
    if self._switch is not None:
      self.switching_arrivals.append((self.arrived_at, request))
      return True
    return self.behaviour.mode == 'full' or bool(self.hold_off)

  def _record_limited_arrival(self, headers: dict[str, str]) -> None:
    if not self.limit:
      return
    request = headers.get('x-mulberrypick-request-id', '')
    now = asyncio.get_running_loop().time()
    self.limited_arrivals.append((now, request))

  def _record_told_arrival(self, headers: dict[str, str]) -> None:
    if not self.is_saying_it_leaves and not self.hold_off:
      return
    request = headers.get('x-mulberrypick-request-id', '')
    now = asyncio.get_running_loop().time()
    self.told_arrivals.append((now, request))

  def _handle_orders(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    if received.method == b'GET':
      report = {'stage': self.stage, 'sequence': len(self.orders)}
      caller.write_response(200, [], msgspec.json.encode(report))
      return
    order = msgspec.json.decode(received.body)
    if order.get('expected') != len(self.orders):
      caller.write_response(409, [], b'{}')
      return
    self.orders.append(order)
    caller.write_response(202, [], b'{}')
    if self.switch_s:
      loop = asyncio.get_running_loop()
      self._switch = loop.call_later(
          self.switch_s, self._change_stage, str(order['stage'])
      )

  def _change_stage(self, stage: str) -> None:
    self._switch = None
    self.stage = stage
    self.on_stage(self)

  def _refuse(
      self, caller: server_connection.ServerConnection, request: str
  ) -> None:
    headers = self._state_headers() + _refusal(request)
    if self.hold_off:
      headers.append((b'Retry-After', self.hold_off.encode()))
    caller.write_response(503, headers, b'')

  def _state_headers(self) -> list[tuple[bytes, bytes]]:
    """Returns the headers that tell callers of the state of the replica."""
    headers = []
    if self.limit:
      headers.append((b'Server-Limit', b'%.2f' % self.limit))
    if self.is_saying_it_leaves:
      headers.append((b'Server-Leaving', b'1'))
    return headers

  async def _run_or_fail(
      self,
      request: str,
      headers: dict[str, str],
      body: bytes,
      caller: server_connection.ServerConnection,
  ) -> None:
    if self.on_run is not None and await self.on_run(request, headers, caller):
      return
    await self._run(request, headers, body, caller)

  async def _run(
      self,
      request: str,
      headers: dict[str, str],
      body: bytes,
      caller: server_connection.ServerConnection,
  ) -> None:
    if headers.get('x-mulberrypick-stage') == 'prefill':
      await self._crash_at(body, crash_point.CrashPoint.PREFILL)
      await self._answer_prefill(request, headers, caller)
      return
    source = headers.get('x-mulberrypick-kv-source')
    if source and source.endswith('-lost'):
      await asyncio.sleep(FETCH_TIMEOUT_S)
    if self.stage == 'prefill' or (source and not source.endswith('-ok')):
      self._refuse(caller, request)
      return
    self.runs[request] += 1
    self.run_spans[request] = [asyncio.get_running_loop().time()]
    mode = self.behaviour.mode
    if mode == 'mute':
      await asyncio.Event().wait()
    if not source:
      await self._crash_at(body, crash_point.CrashPoint.PREFILL)
      await self._prefill_prompt(headers)
    await asyncio.sleep(self.behaviour.work_s)
    await self._crash_at(
        body, crash_point.CrashPoint.RUN, crash_point.CrashPoint.SILENT_RUN
    )
    await self.silence.wait_at(silence.SilencePoint.HEAD)
    if mode == 'reset':
      caller.abort()
      return
    answer_headers = self._answer_headers(request)
    if mode == 'stray':
      stray = [(_REQUEST_ID, b'foreign'), (_SIGNATURE, b'x')]
      caller.write_response(200, stray, b'foreign body')
    if self.stage:
      start = int(headers.get('last-event-id', '0'))
      await self._stream(answer_headers, start, body, caller)
      return
    await self._answer_plain(request, answer_headers, caller)

  async def _answer_plain(
      self,
      request: str,
      answer_headers: list[tuple[bytes, bytes]],
      caller: server_connection.ServerConnection,
  ) -> None:
    mode = self.behaviour.mode
    answer = f'{self.name}:{request}'.encode()
    if mode in ('unframed', unframed_stream.RESET):
      caller.write_head(200, answer_headers, True)
      caller.write(answer)
      if mode == unframed_stream.RESET:
        await asyncio.sleep(self.behaviour.event_interval_s)
        unframed_stream.reset(caller)
      return
    caller.write_response(self.behaviour.status, answer_headers, answer)
    if mode == 'extra':
      caller.write_response(200, [(_REQUEST_ID, b'foreign')], b'foreign body')

  def _answer_headers(self, request: str) -> list[tuple[bytes, bytes]]:
    mode = self.behaviour.mode
    answer_headers = [*self._state_headers(), (_REQUEST_ID, request.encode())]
    if mode != 'unmarked':
      answer_headers.append(
          (_SIGNATURE, f'{self.name}.{secrets.token_hex(4)}'.encode())
      )
    if mode == 'encoded':
      answer_headers.append((b'Content-Encoding', b'gzip'))
    return answer_headers

  def _record_part(self, key: str, tokens: int) -> None:
    last = self._kv_events[-1][0] if self._kv_events else 0
    self._kv_events.append([last + 1, '+', '', key, tokens, ''])
    del self._kv_events[:-MAX_RETAINED_EVENTS]
    self._new_kv_event.set()

  async def _send_kv_events(
      self,
      received: received_request.ReceivedRequest,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> None:
    """Sends the KV events after the sequence number in the query.

    If there are none, it waits for the next event and sends an empty list if
    none occurs in time.
    """
    if self._waiting_calls >= MAX_WAITING_CALLS:
      caller.write_response(429, [(b'X-Mulberrypick-Not-Executed', b'1')], b'')
      return
    query = received.target.decode().partition('?')[2]
    since = int(dict(urllib.parse.parse_qsl(query)).get('since', '0'))
    wait_s = int(headers.get('wait-ms', '0')) / 1000
    self._waiting_calls += 1
    try:
      async with asyncio.timeout(wait_s):
        while not self._kv_events or self._kv_events[-1][0] <= since:
          self._new_kv_event.clear()
          await self._new_kv_event.wait()
    except TimeoutError:
      # No new event within the wait: the answer has an empty list.
      pass
    finally:
      self._waiting_calls -= 1
    events = [item for item in self._kv_events if item[0] > since]
    oldest = self._kv_events[0][0] if self._kv_events else 1
    body = {
        'epoch': self.born,
        'nextPageToken': events[-1][0] if events else since,
        'lost': since + 1 < oldest,
        'events': events,
    }
    caller.write_response(200, [], msgspec.json.encode(body))

  async def _prefill_prompt(self, headers: dict[str, str]) -> None:
    if not self.behaviour.rate:
      return
    async with self._prefill_lock:
      tokens = 0
      for part in headers.get('x-mulberrypick-prefix-hash', '').split(','):
        key, _, count = part.partition(':')
        if key in self._cached_parts or not count:
          continue
        self._cached_parts.add(key)
        self._record_part(key, int(count))
        tokens += int(count)
      await asyncio.sleep(tokens / self.behaviour.rate)

  async def _answer_prefill(
      self,
      request: str,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> None:
    await self._prefill_prompt(headers)
    await asyncio.sleep(self.behaviour.work_s)
    await self.silence.wait_at(silence.SilencePoint.PREFILL)
    if self.behaviour.mode == 'reset':
      caller.abort()
      return
    is_lost = self.behaviour.mode == 'lost'
    handle = secrets.token_hex(4) + ('-lost' if is_lost else '-ok')
    body = {'kvHandle': handle, 'tokenCount': 1, 'version': 1}
    headers = [*self._state_headers(), (_REQUEST_ID, request.encode())]
    caller.write_response(200, headers, msgspec.json.encode(body))

  async def _stream(
      self,
      answer_headers: list[tuple[bytes, bytes]],
      start: int,
      body: bytes,
      caller: server_connection.ServerConnection,
  ) -> None:
    mode = self.behaviour.mode
    is_open = mode in unframed_stream.MODES
    answer_headers = [*answer_headers, (b'Content-Type', b'text/event-stream')]
    if not is_open:
      answer_headers.append((b'Transfer-Encoding', b'chunked'))
    caller.write_head(200, answer_headers, is_open)
    for number in range(start + 1, self.behaviour.events + 1):
      if unframed_stream.end_early(mode, number - start - 1, caller):
        return
      if self.behaviour.mode == 'torn' and number == start + 3:
        caller.write(b'8\r\nid: 3\nda\r\n')
        caller.abort()
        return
      if self.behaviour.mode == 'still' and number == start + 3:
        await asyncio.Event().wait()
      if number == start + crash_point.EVENTS_BEFORE_CRASH + 1:
        await self._crash_at(
            body,
            crash_point.CrashPoint.STREAM,
            crash_point.CrashPoint.SILENT_STREAM,
        )
      await self._crash_at(b'')
      await self.silence.wait_at(
          silence.SilencePoint.STREAM if number > start + 2 else None
      )
      event = b'id: %d\ndata: piece %d\n' % (number, number)
      if self.software != DEFAULT_SOFTWARE:
        event += b': %s\n' % self.software.encode()
      event += b'\n'
      if not is_open:
        event = b'%x\r\n%s\r\n' % (len(event), event)
      caller.write(event)
      await asyncio.sleep(self.behaviour.event_interval_s)
    if not is_open:
      caller.write(b'0\r\n\r\n')


def _refusal(request: str) -> list[tuple[bytes, bytes]]:
  return [
      (_REQUEST_ID, request.encode()),
      (b'X-Mulberrypick-Not-Executed', b'1'),
  ]
