"""Callers beside planned work: all ways to send a request and to read.

They keep connections open until a response says that it is the last one or the
gateway closes them, and open new ones as long as its port is open.
"""

import asyncio
import random
import socket
import time

from standins import gateway_cluster
from standins import slow_reader
from standins import soak_planned_checks
from standins import soak_planned_endpoint
from standins import soak_planned_plan

WAY = soak_planned_plan.Way
SLOW_WAYS = (WAY.SLOW, WAY.FOLLOWED, WAY.STALLED)
ROUTES = ('safe', 'unsafe', 'ask', 'read')
STREAM_ROUTES = ('ask', 'read')
# Time limits that callers set (s).
SHORT_LIMIT_S = 2.0
LONG_LIMITS_S = (15.0, 30.0)
# Share of large answers, to callers that read fast and slowly.
LARGE_SHARE = (0.1, 0.6)
BODY = b'0123456789abcdef'
# Receive buffer of a caller that reads slowly.
SMALL_BUFFER_BYTES = 4096
# A caller gives up so long after its time limit.
GIVE_UP_S = 1.0
# Longest pause between two requests of a connection.
PAUSE_S = 0.4


class _Sent:
  """A request while it is being sent."""

  def __init__(self, request: str, route: str, job: soak_planned_endpoint.Job):
    self.request = request
    self.route = route
    self.job = job
    self.limit_s = SHORT_LIMIT_S
    self.read_pause_s = 0.0
    self.stall_s = 0.0
    self.began_at: float | None = None
    self.sent_at: float | None = None


class PlannedCaller:
  """One connection at a time to a gateway.

  Attributes:
    requests: What was seen of the requests that ended.
  """

  def __init__(
      self,
      connection: soak_planned_plan.Connection,
      port: int,
      book: soak_planned_endpoint.JobBook,
      grace_s: float,
      route_limit_s: float,
  ):
    self.requests: list[soak_planned_checks.Request] = []
    self._connection = connection
    self._port = port
    self._book = book
    self._grace_s = grace_s
    self._route_limit_s = route_limit_s
    self._rng = random.Random(connection.seed)
    self._count = 0
    self._is_last = False

  async def run(self, done: asyncio.Event) -> None:
    """Sends requests until `done` is set or the port is closed."""
    await asyncio.sleep(self._connection.open_at_s)
    while not done.is_set():
      try:
        reader, writer = await self._open()
      except OSError:
        # A gateway that stops or starts has no port.
        await asyncio.sleep(PAUSE_S)
        continue
      self._is_last = False
      try:
        while not self._is_last and not done.is_set():
          await self._exchange(reader, writer)
          await asyncio.sleep(self._rng.uniform(0.0, PAUSE_S))
      finally:
        writer.transport.abort()

  async def _open(self):
    sock = socket.socket()
    sock.setblocking(False)
    if self._connection.way in SLOW_WAYS:
      sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    try:
      loop = asyncio.get_running_loop()
      await loop.sock_connect(sock, ('127.0.0.1', self._port))
      return await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES)
    except OSError:
      sock.close()
      raise

  async def _exchange(
      self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Sends a request, or two behind each other, and reads the responses."""
    way = self._connection.way
    requests = [self._draw()]
    if way in (WAY.PIPELINED, WAY.FOLLOWED):
      requests.append(self._draw())
    sending = asyncio.create_task(self._send(requests, writer))
    closed_at = None
    for request in requests:
      is_behind_close = self._is_last
      if is_behind_close and request.began_at is None:
        break
      response = slow_reader.Response()
      if closed_at is None:
        try:
          async with asyncio.timeout(request.limit_s + GIVE_UP_S):
            response = await slow_reader.read_response(
                reader, request.stall_s, request.read_pause_s
            )
        except TimeoutError:
          # It gives up; the rule does not count what reached its limit.
          closed_at = time.monotonic()
        if not response.is_whole:
          closed_at = closed_at or time.monotonic()
      self._is_last |= response.is_last or not response.is_whole
      ended_at = closed_at or time.monotonic()
      if request is requests[-1]:
        await self._end_sending(sending)
      if request.began_at is not None:
        self._record(request, response, ended_at, is_behind_close)
    await self._end_sending(sending)

  async def _end_sending(self, sending: asyncio.Task) -> None:
    if self._is_last:
      sending.cancel()
    try:
      await sending
    except (asyncio.CancelledError, ConnectionError):
      # The rest of a request is worth nothing after its response or the end of
      # the connection; a response before that ends the connection.
      self._is_last = True

  def _record(
      self,
      request: _Sent,
      response: slow_reader.Response,
      ended_at: float,
      is_behind_close: bool,
  ) -> None:
    is_right = soak_planned_endpoint.is_right(
        request.request, request.job, response.body
    )
    self.requests.append(
        soak_planned_checks.Request(
            request.request,
            request.route,
            self._connection.gateway,
            self._connection.way,
            request.began_at,
            request.sent_at,
            ended_at,
            response.status,
            response.is_whole,
            is_right,
            min(request.limit_s, self._route_limit_s),
            is_behind_close,
        )
    )

  def _draw(self) -> _Sent:
    """Draws the next request, its work and its answer."""
    rng = self._rng
    self._count += 1
    route = rng.choice(ROUTES)
    is_slow = self._connection.way in SLOW_WAYS
    job, is_long = soak_planned_endpoint.draw_job(
        rng, route in STREAM_ROUTES, LARGE_SHARE[is_slow], self._grace_s
    )
    request = _Sent(f'{self._connection.seed}-{self._count}', route, job)
    if is_slow or is_long or self._connection.way is not WAY.WHOLE:
      request.limit_s = rng.choice(LONG_LIMITS_S)
    self._book.job_by_request[request.request] = job
    if self._connection.way is WAY.STALLED:
      request.stall_s = rng.uniform(0.0, 0.6 * self._grace_s)
    elif is_slow:
      # It takes half of the grace period to read the answer, or less.
      reads = (
          job.padding_bytes * max(1, job.events) / slow_reader.READ_BYTES + 1
      )
      request.read_pause_s = rng.uniform(0.0, 0.5 * self._grace_s) / reads
    return request

  async def _send(
      self, requests: list[_Sent], writer: asyncio.StreamWriter
  ) -> None:
    way, rng = self._connection.way, self._rng
    for number, request in enumerate(requests):
      if number and way is WAY.FOLLOWED:
        # It is sent while the answer before it is being read.
        await asyncio.sleep(rng.uniform(0.0, 0.5 * self._grace_s))
        if self._is_last:
          return
      head = self._make_head(request)
      request.began_at = time.monotonic()
      if way is WAY.HALF:
        cut = rng.randrange(1, len(head))
        writer.write(head[:cut])
        await asyncio.sleep(rng.uniform(0.0, 0.5 * self._grace_s))
        head = head[cut:]
      writer.write(head)
      if way is WAY.LATE and request.route != 'safe':
        await asyncio.sleep(rng.uniform(0.0, self._grace_s))
      await self._send_body(request, writer)
      await writer.drain()
      request.sent_at = time.monotonic()

  async def _send_body(
      self, request: _Sent, writer: asyncio.StreamWriter
  ) -> None:
    if request.route == 'safe':
      return
    if self._connection.way is not WAY.CHUNKED:
      writer.write(BODY)
      return
    pieces = self._rng.choice((2, 8))
    pause_s = self._rng.uniform(0.0, 0.4 * self._grace_s) / pieces
    size = len(BODY) // pieces
    for begin in range(0, len(BODY), size):
      writer.write(b'%x\r\n%s\r\n' % (size, BODY[begin : begin + size]))
      await writer.drain()
      await asyncio.sleep(pause_s)
    writer.write(b'0\r\n\r\n')

  def _make_head(self, request: _Sent) -> bytes:
    is_get = request.route == 'safe'
    lines = [
        f'{"GET" if is_get else "POST"} /{request.route}/x HTTP/1.1',
        f'Host: {gateway_cluster.HOST}',
        f'X-Mulberrypick-Request-Id: {request.request}',
        f'X-Mulberrypick-Deadline-Ms: {request.limit_s * 1000:.0f}',
    ]
    if request.route in STREAM_ROUTES:
      lines.append(f'X-Mulberrypick-Token-Usage: 220,{request.job.events}')
      lines.append('X-Mulberrypick-Prefix-Hash: aa:80,bb:140')
    if self._connection.way is WAY.CHUNKED and not is_get:
      lines.append('Transfer-Encoding: chunked')
    elif not is_get:
      lines.append(f'Content-Length: {len(BODY)}')
    return '\r\n'.join((*lines, '', '')).encode()
