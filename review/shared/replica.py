"""Stand-in of a replica: a plain service or a model replica that decodes."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import NamedTuple

from review.shared import wire


class Arrival(NamedTuple):
  """A request that reached a replica.

  Attributes:
    at: When its last byte was read, on the monotonic clock.
    request: Its id.
    replica: Id of the replica.
  """

  at: float
  request: str
  replica: str


class Run:
  """A run of a request.

  Attributes:
    replica: Id of the replica.
    began_at: When it began, on the monotonic clock.
    ended_at: When it ended, None while it goes on.
    is_complete: Whether the answer was written to its end.
  """

  def __init__(self, replica: str):
    self.replica = replica
    self.began_at = time.monotonic()
    self.ended_at: float | None = None
    self.is_complete = False


class Replica:
  """A sound replica.

  Attributes:
    id: Its id.
    work_s: Time that a plain request takes.
    events: Events of a stream.
    gap_s: Time between two events.
    answer: Body of a plain answer.
    tokens_per_event: Tokens that an event of a stream holds. Its id is the
      number of the last one, so that ids increase by so many.
    arrivals: Requests that reached it, refused ones too.
    runs: Runs by request id.
    version: Version of its software.
    slots: Requests at once that its entry states.
    crashing_cookie: Requests with this cookie crash it; empty for none.
    on_crash: Called after it has crashed.
    server: Its server.
  """

  def __init__(self, replica_id: str, service: str, zone: str, stage: str = ''):
    self.id = replica_id
    self.work_s = 0.045
    self.events = 0
    self.gap_s = 0.1
    self.answer = b'x' * 800
    self.tokens_per_event = 1
    self.version = 'v1'
    self.slots = 64
    self.crashing_cookie = ''
    self.on_crash: Callable[[Replica], None] = lambda replica: None
    self.arrivals: list[Arrival] = []
    self.runs: dict[str, list[Run]] = {}
    self.server = wire.Server(self._handle)
    self._service = service
    self._zone = zone
    self._stage = stage
    self._ip = ''
    self._born = int(time.time() * 1000)
    self._orders = 0

  async def start(self, ip: str) -> None:
    """Starts to listen."""
    self._ip = ip
    await self.server.start(ip)

  async def restart(self) -> None:
    """Starts again, as a new boot under the same id."""
    self._born = int(time.time() * 1000)
    self.server = wire.Server(self._handle)
    await self.server.start(self._ip)

  def entry(self, state: str = 'ready') -> dict[str, object]:
    """Returns its entry in the store."""
    entry = {
        'service': self._service,
        'address': f'{self._ip}:{self.server.port}',
        'zone': self._zone,
        'version': self.version,
        'slots': self.slots,
        'state': state,
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': self._born,
    }
    if self._stage:
      entry['stage'] = self._stage
      entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
    return entry

  async def _handle(
      self, request: wire.Message, writer: asyncio.StreamWriter
  ) -> None:
    method, target = request.start[0], request.start[1]
    if target.startswith('/mulberrypick/'):
      self._answer_control(method, target, request.body, writer)
      return
    request_id = request.headers.get('x-mulberrypick-request-id', '')
    self.arrivals.append(Arrival(time.monotonic(), request_id, self.id))
    expected = request.headers.get('x-mulberrypick-expect-instance')
    if expected not in (None, self.id):
      headers = [('X-Mulberrypick-Instance-Id', self.id)]
      writer.write(wire.encode_response(421, headers, b''))
      return
    run = Run(self.id)
    self.runs.setdefault(request_id, []).append(run)
    cookie = request.headers.get('cookie', '')
    if self.crashing_cookie and cookie == self.crashing_cookie:
      self.server.stop()
      self.on_crash(self)
      await asyncio.Event().wait()
    headers = [
        ('X-Mulberrypick-Request-Id', request_id),
        ('X-Mulberrypick-Server-Signature', f'{self.id}.{request_id}'),
    ]
    try:
      if self.events:
        await self._stream(request, headers, writer)
      else:
        await asyncio.sleep(self.work_s)
        writer.write(wire.encode_response(200, headers, self.answer))
        await writer.drain()
      run.is_complete = True
    finally:
      run.ended_at = time.monotonic()

  async def _stream(
      self,
      request: wire.Message,
      headers: wire.Headers,
      writer: asyncio.StreamWriter,
  ) -> None:
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += ['Transfer-Encoding: chunked', '', '']
    writer.write('\r\n'.join(lines).encode())
    after = int(request.headers.get('last-event-id', '0'))
    step = self.tokens_per_event
    for number in range(step, step * self.events + 1, step):
      if number <= after:
        continue
      event = b'id: %d\ndata: token %d\n\n' % (number, number)
      writer.write(b'%x\r\n%s\r\n' % (len(event), event))
      await writer.drain()
      await asyncio.sleep(self.gap_s)
    writer.write(b'0\r\n\r\n')
    await writer.drain()

  def _answer_control(
      self, method: str, target: str, raw: bytes, writer: asyncio.StreamWriter
  ) -> None:
    status, body = 200, {}
    if target.startswith('/mulberrypick/report'):
      body = {
          'stage': self._stage,
          'sequence': self._orders,
          'busy': False,
          'queued': 0,
          'active': 0,
      }
    elif method == 'POST':
      # The stage that an order asks for already holds, or it is refused.
      is_held = json.loads(raw).get('stage') == self._stage
      status = 200 if is_held else 409
    writer.write(wire.encode_response(status, [], json.dumps(body).encode()))
