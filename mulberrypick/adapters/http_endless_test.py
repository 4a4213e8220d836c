"""Tests of the entries' clients against servers that send without end."""

import time
import unittest

import msgspec

from mulberrypick.adapters import http_engine
from mulberrypick.adapters import http_limits
from mulberrypick.adapters import http_operator
from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_service
from mulberrypick.adapters import http_service_test
from mulberrypick.core import errors
from mulberrypick.core import records
from standins import endless_server

CASE = endless_server.Case
# Below the time for which the endless server sends.
TIMEOUT_S = 1.0
MAX_CALL_S = 2.0
# Limits of 16 MiB and of 64 MiB for lists, and the kernels' buffers.
MAX_SENT_BYTES = 32 << 20
MAX_LIST_SENT_BYTES = 96 << 20
CALL = records.PlainCall(
    'r1', 'mill', 'urgent', 'desk', 'POST', '/x', '', b'{}', 'k', 0.0
)
ATTEMPT_ID = 'r1/1'
REQUEST = records.InferenceRequest(
    'r1', 't', 'r', 's', 'm', '', 'prompt', 10, 10, 0.0, 0.0
)
WHOLE_TIMEOUT_S = 10.0


class EndlessTestCase(unittest.TestCase):

  max_sent_bytes = MAX_SENT_BYTES

  def check_cases(self, call, error_types, whole_cases=()):
    """Checks that a call, given an address, fails in time for each case.

    Args:
      call: The call.
      error_types: Types of the error that it must raise.
      whole_cases: Cases that begin with a complete response to the call.
    """
    for case in CASE:
      with self.subTest(case.value):
        server = endless_server.EndlessServer(case)
        began = time.monotonic()
        try:
          address = f'127.0.0.1:{server.port}'
          if case in whole_cases:
            call(address)
          else:
            with self.assertRaises(error_types):
              call(address)
          took_s = time.monotonic() - began
        finally:
          server.stop()
        self.assertLess(took_s, MAX_CALL_S)
        for served in server.connections:
          self.assertLessEqual(served.sent_bytes, self.max_sent_bytes)


class ServiceTest(EndlessTestCase):

  def test_call(self):
    adapter = http_service.HttpPlainService()
    self.check_cases(
        lambda address: adapter.call('desk-1', address, CALL, TIMEOUT_S),
        errors.EndpointError,
        # Services don't repeat the id of a request.
        (CASE.FOREIGN_RESPONSES,),
    )


class EngineTest(EndlessTestCase):

  def setUp(self):
    self.engine = http_engine.HttpEngine(
        stall_timeout_s=TIMEOUT_S, report_timeout_s=TIMEOUT_S
    )

  def test_stream(self):
    def read(address):
      attempt = records.Attempt(ATTEMPT_ID, 'e', address, 0, 0)
      for _ in self.engine.generate(attempt, REQUEST):
        pass

    self.check_cases(read, errors.EndpointError)

  def test_report(self):
    self.check_cases(
        lambda address: self.engine.read_load('e', address),
        errors.EndpointError,
    )

  def test_order(self):
    order = records.Order('e', 1, 1, 'load', 'm', 'v1', '', '')
    self.check_cases(
        lambda address: self.engine.send_order(address, order),
        errors.EndpointError,
    )


class PlatformTest(EndlessTestCase):

  max_sent_bytes = MAX_LIST_SENT_BYTES

  def test_read(self):
    self.check_cases(
        lambda address: http_platform.HttpPlatform(
            f'http://{address}', '', TIMEOUT_S, 'test'
        ).get('key'),
        errors.PlatformError,
    )


class OperatorTest(EndlessTestCase):

  def test_status(self):
    client = http_operator.OperatorClient(TIMEOUT_S, '')
    self.check_cases(client.read_status, errors.EndpointError)


class WholeResponseTest(unittest.TestCase):
  """Responses within the limits arrive whole."""

  def test_large_plain_response(self):
    body = bytes(12 << 20)
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    address = http_service_test.serve_once(self, head + body)
    adapter = http_service.HttpPlainService()
    answer = adapter.call('desk-1', address, CALL, WHOLE_TIMEOUT_S)
    self.assertEqual(answer.body, body)

  def test_stream_larger_than_the_limit_of_a_response(self):
    text = 'x' * 100_000
    count = http_limits.MAX_RESPONSE_BYTES // len(text) + 10
    stream = [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n']
    for index in range(count):
      is_last = index == count - 1
      event = b'data: %b\n\n' % msgspec.json.encode(
          {
              'attempt_id': ATTEMPT_ID,
              'index': index,
              'text': text,
              'done': is_last,
          }
      )
      stream.append(b'%x\r\n%b\r\n' % (len(event), event))
    stream.append(b'0\r\n\r\n')
    address = http_service_test.serve_once(self, b''.join(stream))
    attempt = records.Attempt(ATTEMPT_ID, 'e', address, 0, 0)
    frames = list(http_engine.HttpEngine().generate(attempt, REQUEST))
    self.assertEqual(len(frames), count)


if __name__ == '__main__':
  unittest.main()
