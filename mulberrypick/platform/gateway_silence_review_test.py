"""Tests of what a gateway does while and after an endpoint is silent."""

import asyncio
import http.client
import socket
import threading
import time
import unittest

import uvloop

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_server
from mulberrypick.platform import gateway_silence_test
from standins import gateway_cluster
from standins import silence

HEADERS = gateway_silence_test.HEADERS
# Time for which the event loop of the gateway stands still.
PAUSE_S = 1.0
# Time between events of an engine that goes on (s).
STEADY_INTERVAL_S = 0.2
# Arrivals at endpoints that one request may cause in `SILENCE_S`, if each is
# refused: those of the first tries, and one an interval of 0.2 s.
MAX_ARRIVALS = 12


class RefusedRunTest(gateway_silence_test.SilenceTestCase):

  async def test_refusals_after_a_given_up_run_do_not_spend_the_budget(self):
    # Guards against sending a request to full engines without a pause.
    first = self.cluster.replica_by_name['writer-1']
    await self.remove('writer-2')
    first.silence.plan(silence.SilencePoint.STREAM, 60.0)
    stream = asyncio.create_task(self.call('/ask/x', 'r0', headers=HEADERS))
    await self.wait_until(lambda: first.silence.count)
    others = []
    for name in ('writer-3', 'writer-4'):
      await self.cluster.add(name, 'engine', 'decode')
      replica = self.cluster.replica_by_name[name]
      replica.behaviour = replica.behaviour._replace(mode='full')
      others.append(replica)
    await self.wait_until(lambda: any(r.arrivals for r in others))
    await asyncio.sleep(1.0)
    stream.cancel()
    arrivals = sum(r.arrivals for r in others)
    self.assertLessEqual(arrivals, MAX_ARRIVALS)


def pause_loop(case: unittest.TestCase) -> None:
  """Lets the event loop stand still within a callback of a socket."""
  mine, other = socket.socketpair()
  case.addCleanup(mine.close)
  case.addCleanup(other.close)
  loop = asyncio.get_running_loop()

  def stand_still():
    loop.remove_reader(mine)
    time.sleep(PAUSE_S)

  loop.add_reader(mine, stand_still)
  other.send(b'x')


class SteadyEngine:
  """An engine in a thread of its own, which does not stop with the event loop.

  It sends one event an interval.

  Attributes:
    port: Port that it listens on.
    arrivals: Number of received requests.
  """

  def __init__(self):
    self._listener = socket.create_server(('127.0.0.1', 0))
    self.port = self._listener.getsockname()[1]
    self.arrivals = 0
    self._thread = threading.Thread(target=self._accept, daemon=True)
    self._thread.start()

  def close(self) -> None:
    self._listener.close()

  def _accept(self) -> None:
    while True:
      try:
        connection, _ = self._listener.accept()
      except OSError:
        return
      threading.Thread(
          target=self._serve, args=(connection,), daemon=True
      ).start()

  def _serve(self, connection: socket.socket) -> None:
    with connection, connection.makefile('rb') as lines:
      while request := lines.readline():
        headers = http.client.parse_headers(lines)
        lines.read(int(headers.get('Content-Length', '0')))
        if b' /mulberrypick/' in request:
          connection.sendall(b'HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n')
          continue
        self.arrivals += 1
        try:
          self._send_stream(connection, headers)
        except OSError:
          return

  def _send_stream(
      self, connection: socket.socket, headers: http.client.HTTPMessage
  ) -> None:
    request_id = headers['X-Mulberrypick-Request-Id']
    connection.sendall(
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'X-Mulberrypick-Request-Id: {request_id}\r\n'
        'X-Mulberrypick-Server-Signature: s\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'.encode()
    )
    start = int(headers.get('Last-Event-Id', '0'))
    for number in range(start + 1, gateway_silence_test.EVENTS + 1):
      time.sleep(STEADY_INTERVAL_S)
      event = b'id: %d\ndata: x\n\n' % number
      connection.sendall(b'%x\r\n%s\r\n' % (len(event), event))
    connection.sendall(b'0\r\n\r\n')


class UvloopTestCase(unittest.IsolatedAsyncioTestCase):
  """Runs on the event loop of the program."""

  @classmethod
  def setUpClass(cls):
    super().setUpClass()
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    cls.addClassCleanup(asyncio.set_event_loop_policy, None)


class PausedProcessTest(UvloopTestCase, gateway_silence_test.SilenceTestCase):
  """The event loop of the gateway stands still; its endpoints do not."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.engines = []
    for writer in self.replicas('decode'):
      engine = SteadyEngine()
      self.addCleanup(engine.close)
      self.engines.append(engine)
      entry = writer.entry() | {
          'address': f'127.0.0.1:{engine.port}',
          'born': 2,
      }
      self.cluster.store.put('servers', writer.name, entry)
    find = self.gateway.state.endpoints.find
    ports = {e.port for e in self.engines}
    await self.wait_until(
        lambda: {find(w.name).port for w in self.replicas('decode')} == ports
    )

  async def open_connections(self) -> None:
    """Opens a kept connection to each engine."""
    pool = self.gateway.state.pool
    for writer in self.replicas('decode'):
      endpoint = self.gateway.state.endpoints.find(writer.name)
      pool.release(endpoint, await pool.acquire(endpoint, False))

  async def test_pause_of_the_gateway_is_no_silence_of_endpoints(self):
    # Guards against giving up runs whose data is there and was not read.
    await self.open_connections()
    streams = asyncio.gather(
        *(self.call('/ask/x', f's{n}', headers=HEADERS) for n in range(4))
    )
    await self.wait_until(lambda: sum(e.arrivals for e in self.engines) == 4)
    await asyncio.sleep(2 * STEADY_INTERVAL_S)
    pause_loop(self)
    self.assert_streams_whole(await streams)
    self.assertEqual(sum(e.arrivals for e in self.engines), 4)


class PausedServerTest(UvloopTestCase):
  """The event loop stands still beside connections of callers."""

  async def test_request_sent_before_the_idle_limit_is_answered(self):
    # Guards against closing a connection whose request is there but not read.
    limits = received_request.Limits(idle_timeout_s=PAUSE_S)
    server = stream_server.StreamServer(self.answer, lambda *_: None)
    server.limits = limits
    port = gateway_cluster.free_ports(1)[0]
    await server.listen('127.0.0.1', port)
    self.addCleanup(server.stop_listening)
    is_used = threading.Event()
    caller = threading.Thread(
        target=self.call_twice, args=(port, is_used), daemon=True
    )
    caller.start()
    while not is_used.is_set():
      await asyncio.sleep(0.005)
    await asyncio.sleep(0.5 * limits.idle_timeout_s)
    pause_loop(self)
    while caller.is_alive():
      await asyncio.sleep(0.005)
    self.assertEqual(self.answers, [b'HTTP/1.1 200 OK', b'HTTP/1.1 200 OK'])

  async def answer(self, received, caller) -> None:
    caller.write_response(200, [], received.target)

  def call_twice(self, port: int, is_used: threading.Event) -> None:
    """Sends a second request after seven tenths of the idle limit."""
    self.answers = []
    with socket.create_connection(('127.0.0.1', port)) as connection:
      connection.settimeout(10.0)
      for path in (b'/a', b'/b'):
        connection.sendall(b'GET ' + path + b' HTTP/1.1\r\nHost: h\r\n\r\n')
        try:
          self.answers.append(connection.recv(1000).partition(b'\r')[0])
        except ConnectionResetError:
          self.answers.append(b'reset')
        if path == b'/a':
          is_used.set()
          time.sleep(0.7 * PAUSE_S)


if __name__ == '__main__':
  unittest.main()
