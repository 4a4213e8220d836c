"""Tests of the HTTP edge with a real server and fake engines and services."""

import json
import socket
import threading
import time
import unittest

import urllib3

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.adapters import http_server
from mulberrypick.adapters import memory_platform
from mulberrypick.adapters import peers
from mulberrypick.adapters import service
from mulberrypick.core import admission
from mulberrypick.core import dispatch
from mulberrypick.core import errors
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing
from mulberrypick.ops import dispatch_task
from mulberrypick.ops import edge
from mulberrypick.ops import entry_state
from mulberrypick.ops import plain_calls

WAIT_S = 20.0
TENANT = {'X-Mulberry-Tenant': 'mill'}
CONFIG = records.Config(
    1,
    {'m': records.Model('m', '1', (), 2)},
    {'urgent': records.Rank('urgent', True, 0.5, 0.05, 30.0, 0.5)},
    {
        'assistant': records.Service(
            'assistant', 'model', 'm', '', 'urgent', True, 3, 30.0
        ),
        'booking': records.Service(
            'booking', 'plain', '', '', 'urgent', False, 1, 5.0
        ),
    },
    {
        'mill': records.Tenant(
            'mill', 1.0, ('assistant', 'booking'), ('urgent',), ''
        )
    },
)


def encode_request(body: bytes) -> bytes:
  head = (
      'POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Mulberry-Tenant: mill\r\n'
      f'Content-Length: {len(body)}\r\n\r\n'
  )
  return head.encode() + body


class FakeEngine(engine_adapter.Engine):
  """Streams `w0 w1 ...`; the prompt selects a fault.

  With `fail=N` the stream of the first attempt fails before token N. With
  `hang` nothing is streamed until the request is cancelled. With `drip` tokens
  are streamed slowly. With `broken` every stream fails before its first token.
  With `refused` all engines refuse the request.
  """

  def __init__(self):
    self.cancelled = threading.Event()
    self.attempts = []

  def generate(self, attempt, request, kv=None):
    self.attempts.append(attempt)
    fail_at = -1
    if request.prompt.startswith('fail=') and len(self.attempts) == 1:
      fail_at = int(request.prompt.removeprefix('fail='))
    if request.prompt == 'refused':
      raise errors.EndpointRefusedError(attempt.endpoint, 'busy')
    if request.prompt == 'broken':
      raise errors.EndpointFailedError(attempt.endpoint, 'broken')
    if request.prompt == 'hang':
      self.cancelled.wait(WAIT_S)
      raise errors.EndpointFailedError(attempt.endpoint, 'cancelled')
    for index in range(attempt.start_index, request.max_tokens):
      if request.prompt == 'drip' and self.cancelled.wait(0.01):
        raise errors.EndpointFailedError(attempt.endpoint, 'cancelled')
      if index == fail_at:
        raise errors.EndpointFailedError(attempt.endpoint, 'broken')
      try:
        yield records.Frame(attempt.attempt_id, index, f'w{index} ', False, '')
      except GeneratorExit:
        # The real adapter closes its connection here, which cancels the
        # request.
        self.cancelled.set()
        raise
    yield records.Frame(
        attempt.attempt_id, request.max_tokens, '', True, 'length'
    )

  def prefill(self, attempt, request):
    raise NotImplementedError

  def cancel(self, attempt):
    self.cancelled.set()

  def read_load(self, endpoint, address):
    raise NotImplementedError

  def read_state(self, endpoint, address):
    raise NotImplementedError

  def read_cache_events(self, endpoint, address, after_number):
    return []

  def send_order(self, address, order):
    raise NotImplementedError


class FakeService(service.PlainService):
  """Answers each plain call with its path."""

  def call(self, endpoint, address, call, timeout_s):
    return records.PlainAnswer(201, 'text/plain', call.path.encode())


class NoPeers(peers.Peers):
  """Peers of an entry host that has none."""

  def register_handler(self, kind, handler):
    pass

  def send(self, peer_address, kind, body):
    pass

  def request(self, peer_address, kind, body, timeout_s):
    return None


def make_host(name: str) -> records.Host:
  return records.Host(
      name, 'a', 'engine', '127.0.0.1:1', '', '', 1, 'live', True
  )


def make_report(name: str) -> records.EngineReport:
  return records.EngineReport(
      name, 1, 'mixed', ('m',), 0, 0, 2000, 2000, False, 1e4, 0.01, 0.0
  )


class TestEdge(unittest.TestCase):

  def setUp(self):
    self.engine = FakeEngine()
    dispatcher = dispatch.Dispatcher(
        'entry-1',
        'a',
        routing.make_router('least-in-flight'),
        admission.make_admission('first-come'),
    )
    task = dispatch_task.DispatchTask(dispatcher)
    task.start()
    self.addCleanup(task.stop)
    state = entry_state.EntryState()
    state.update_config(CONFIG)
    state.set_started()
    task.post(messages.ConfigSeen(CONFIG))
    task.post(messages.HostsSeen((make_host('e1'), make_host('e2'))))
    task.post(messages.ReportSeen(make_report('e1')))
    task.post(messages.ReportSeen(make_report('e2')))
    state.update_hosts(
        (
            make_host('desk')._replace(
                kind=records.HOST_SERVICE, service='booking'
            ),
        )
    )
    runner = plain_calls.PlainCallRunner(
        memory_platform.MemoryPlatform(), FakeService(), NoPeers(), 'e', 'e:1'
    )
    runner.start()
    self.addCleanup(runner.stop)
    self.results = []
    self.edge = edge.Edge(
        'entry-1',
        state,
        task,
        self.engine,
        runner,
        self.results.append,
        edge.EdgeLimits(body_bytes=10_000, prompt_tokens=500),
    )
    self.server = http_server.HttpServer(
        ('127.0.0.1', 0),
        self.edge,
        http_server.ServerLimits(
            threads=4, queue=2, request_read_timeout_s=0.5
        ),
        5.0,
    )
    self.edge.disconnect_monitor = self.server.disconnect_monitor
    self.server.start_in_background()
    self.addCleanup(self.server.stop)
    self.port = self.server.bind_addr[1]
    self.pool = urllib3.HTTPConnectionPool(
        '127.0.0.1', self.port, retries=False
    )
    self.addCleanup(self.pool.close)

  def request(
      self, method='POST', path='/v1/completions', headers=None, body=None
  ):
    if isinstance(body, dict):
      body = json.dumps(body).encode()
    headers = TENANT if headers is None else headers
    return self.pool.request(method, path, body=body, headers=headers)

  def assert_error(self, response, status, kind):
    error = json.loads(response.data)['error']
    self.assertEqual((status, kind), (response.status, error['type']))
    self.assertEqual('not_run', error['run'])

  def test_whole_answer(self):
    body = {'model': 'assistant', 'prompt': 'hi', 'max_tokens': 3}
    response = self.request(body=body)
    data = json.loads(response.data)
    self.assertEqual('w0 w1 w2 ', data['choices'][0]['text'])
    self.assertEqual(3, data['usage']['completion_tokens'])

  def test_a_chat_is_streamed_and_a_completion_survives_a_failed_engine(self):
    messages_ = [{'role': 'user', 'content': 'x'}]
    body = {'model': 'assistant', 'messages': messages_, 'stream': True}
    response = self.request(
        path='/v1/chat/completions', body=body | {'max_tokens': 2}
    )
    self.assertIn(b'data: [DONE]', response.data)
    body = {'model': 'assistant', 'prompt': 'fail=4', 'max_tokens': 9}
    self.engine.attempts.clear()
    response = self.request(body=body)
    text = json.loads(response.data)['choices'][0]['text']
    self.assertEqual([f'w{index}' for index in range(9)], text.split())
    first, second = self.engine.attempts
    self.assertEqual((0, 4), (first.start_index, second.start_index))
    self.assertNotEqual(first.endpoint, second.endpoint)

  def test_run_is_not_run_if_all_engines_refused_the_request(self):
    # Without a short deadline the request would wait for engines.
    headers = TENANT | {'X-Mulberry-Deadline-Ms': '1000'}
    body = {'model': 'assistant', 'prompt': 'refused'}
    response = self.request(headers=headers, body=body)
    self.assertEqual('not_run', json.loads(response.data)['error']['run'])

  def test_run_is_unknown_once_an_engine_may_have_run_the_request(self):
    response = self.request(body={'model': 'assistant', 'prompt': 'broken'})
    error = json.loads(response.data)['error']
    self.assertEqual(
        ('repeated_crash', 'unknown'), (error['type'], error['run'])
    )

  def test_refusals_of_bad_input(self):
    good = {'model': 'assistant', 'prompt': 'a'}
    key = TENANT | {'Idempotency-Key': 'k'}
    cases = [
        ('malformed', {'body': b'{'}, 400, 'bad_request'),
        ('wrong type', {'body': good | {'prompt': 7}}, 400, 'bad_request'),
        ('unknown model', {'body': good | {'model': 'x'}}, 404, 'not_found'),
        (
            'unknown tenant',
            {'body': good, 'headers': {'X-Mulberry-Tenant': 'x'}},
            404,
            'not_found',
        ),
        ('no tenant', {'body': good, 'headers': {}}, 401, 'unauthorized'),
        ('unknown path', {'path': '/v2', 'body': good}, 404, 'not_found'),
        ('method', {'method': 'PUT', 'body': good}, 405, 'method_not_allowed'),
        ('large body', {'body': b'x' * 20_000}, 413, 'too_large'),
        (
            'long prompt',
            {'body': good | {'prompt': 'a ' * 600}},
            413,
            'too_large',
        ),
        (
            'large headers',
            {'body': good, 'headers': {'X-A': 'x' * 30_000}},
            413,
            'too_large',
        ),
        (
            'unknown service',
            {'path': '/services/x/', 'headers': key},
            404,
            'not_found',
        ),
        ('no key', {'path': '/services/booking/book'}, 400, 'bad_request'),
        (
            'doubled key',
            {
                'path': '/services/booking/book',
                'headers': TENANT | {'Idempotency-Key': 'a, b'},
            },
            400,
            'bad_request',
        ),
    ]
    for name, arguments, status, kind in cases:
      with self.subTest(name):
        self.assert_error(self.request(**arguments), status, kind)
    self.assertEqual(200, self.request('GET', '/healthz').status)

  def test_chunked_body_is_bounded(self):
    chunks = iter([b'x' * 4_000] * 20)
    response = self.pool.request(
        'POST', '/v1/completions', body=chunks, headers=TENANT, chunked=True
    )
    self.assert_error(response, 413, 'too_large')

  def test_plain_call(self):
    headers = TENANT | {'Idempotency-Key': 'k1'}
    response = self.request(
        path='/services/booking/book?stack=4', headers=headers
    )
    self.assertEqual((201, b'/book?stack=4'), (response.status, response.data))

  def test_a_repeat_is_answered_and_another_body_refused(self):
    headers = TENANT | {'Idempotency-Key': 'k2'}
    path = '/services/booking/book'
    for _ in range(2):
      response = self.request(path=path, headers=headers, body=b'4 bales')
      self.assertEqual(201, response.status)
    response = self.request(path=path, headers=headers, body=b'5 bales')
    self.assertEqual(409, response.status)
    error = json.loads(response.data)['error']
    self.assertEqual('idempotency_key_conflict', error['type'])

  def test_a_disconnect_during_the_stream_cancels_the_request(self):
    body = (
        b'{"model": "assistant", "prompt": "drip", "stream": true,'
        b' "max_tokens": 9000}'
    )
    sock = socket.create_connection(('127.0.0.1', self.port))
    sock.settimeout(WAIT_S)
    sock.sendall(encode_request(body))
    received = b''
    while b'w3 ' not in received:
      received += sock.recv(4096)
    sock.close()
    self.assertTrue(self.engine.cancelled.wait(WAIT_S))
    self._wait_until(lambda: self.results)
    self.assertEqual('left', self.results[0].outcome)

  def test_slow_senders_are_timed_out_and_do_not_take_all_threads(self):
    body_begun = encode_request(b'{' * 9)[:-8]
    heads = [body_begun, b'GET /healthz HT']
    for head in heads:
      with self.subTest(head):
        sock = socket.create_connection(('127.0.0.1', self.port))
        self.addCleanup(sock.close)
        sock.settimeout(WAIT_S)
        sock.sendall(head)
        answer = b''
        while chunk := sock.recv(4096):
          answer += chunk
        self.assertIn(b' 408 ', answer.split(b'\r\n')[0])
    self.assertEqual(200, self.request('GET', '/healthz').status)

  def test_a_disconnect_before_the_first_token_cancels_the_request(self):
    body = b'{"model": "assistant", "prompt": "hang", "stream": true}'
    sock = socket.create_connection(('127.0.0.1', self.port))
    sock.sendall(encode_request(body))
    self._wait_until(lambda: self.engine.attempts)
    sock.close()
    self.assertTrue(self.engine.cancelled.wait(WAIT_S))
    self._wait_until(lambda: self.results)
    self.assertEqual('left', self.results[0].outcome)

  def test_connections_beyond_the_pool_are_refused_at_once(self):
    body = b'{"model": "assistant", "prompt": "hang"}'
    socks = []
    for number in range(6):
      sock = socket.create_connection(('127.0.0.1', self.port))
      self.addCleanup(sock.close)
      sock.sendall(encode_request(body))
      socks.append(sock)
      # The first four occupy the threads; the last two fill the queue.
      running = min(number + 1, 4)
      self._wait_until(lambda n=running: len(self.engine.attempts) == n)
    late = socket.create_connection(('127.0.0.1', self.port))
    self.addCleanup(late.close)
    late.settimeout(WAIT_S)
    self.assertIn(b' 503 ', late.recv(4096))
    self.engine.cancelled.set()

  def _wait_until(self, is_true):
    deadline = time.monotonic() + WAIT_S
    while not is_true():
      self.assertLess(time.monotonic(), deadline)
      time.sleep(0.01)


if __name__ == '__main__':
  unittest.main()
