"""Tests of the entries' clients against servers that send without end."""

import time
import unittest

from mulberrypick.adapters import http_engine
from mulberrypick.adapters import http_operator
from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_service
from mulberrypick.core import errors
from mulberrypick.core import records
from standins import endless_server

CASE = endless_server.Case
# Below the time for which the endless server sends.
TIMEOUT_S = 1.0
MAX_CALL_S = 2.0
# A limit of 16 MiB for a body, and the kernels' buffers.
MAX_SENT_BYTES = 32 << 20
CALL = records.PlainCall(
    'r1', 'mill', 'urgent', 'desk', 'POST', '/x', '', b'{}', 'k', 0.0
)
ATTEMPT_ID = 'r1/1'


class EndlessTestCase(unittest.TestCase):

  def check_cases(self, call, error_types):
    """Checks that a call, given an address, fails in time for each case."""
    for case in CASE:
      with self.subTest(case.value):
        server = endless_server.EndlessServer(case)
        began = time.monotonic()
        try:
          with self.assertRaises(error_types):
            call(f'127.0.0.1:{server.port}')
          took_s = time.monotonic() - began
        finally:
          server.stop()
        self.assertLess(took_s, MAX_CALL_S)
        for served in server.connections:
          self.assertLessEqual(served.sent_bytes, MAX_SENT_BYTES)


class ServiceTest(EndlessTestCase):

  def test_call(self):
    adapter = http_service.HttpPlainService()
    self.check_cases(
        lambda address: adapter.call('desk-1', address, CALL, TIMEOUT_S),
        errors.EndpointError,
    )


class EngineTest(EndlessTestCase):

  def setUp(self):
    self.engine = http_engine.HttpEngine(
        stall_timeout_s=TIMEOUT_S, report_timeout_s=TIMEOUT_S
    )

  def test_stream(self):
    request = records.InferenceRequest(
        'r1', 't', 'r', 's', 'm', '', 'prompt', 10, 10, 0.0, 0.0
    )

    def read(address):
      attempt = records.Attempt(ATTEMPT_ID, 'e', address, 0, 0)
      for _ in self.engine.generate(attempt, request):
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


if __name__ == '__main__':
  unittest.main()
