"""Tests of the HTTP service client against the stand-in service process."""

import pathlib
import socket
import tempfile
import threading
import unittest

from mulberrypick.adapters import http_service
from mulberrypick.core import errors
from mulberrypick.core import records
from standins import endless_server
from standins import launcher

TIMEOUT_S = 10.0


def make_call(key='k', body=b'{"bales":3}', path='/bookings?yard=2'):
  return records.PlainCall(
      'r1',
      'mill',
      'urgent',
      'desk',
      'POST',
      path,
      'application/json',
      body,
      key,
      0.0,
  )


def serve_once(test, answer):
  """Starts a server that sends raw bytes on one connection and closes it.

  Returns:
    The address of the server.
  """
  listener = socket.create_server(('127.0.0.1', 0))
  test.addCleanup(listener.close)

  def serve():
    connection, _ = listener.accept()
    with connection:
      # Closing a connection with unread bytes would reset it.
      endless_server.read_request(connection)
      connection.sendall(answer)

  threading.Thread(target=serve, daemon=True).start()
  return f'127.0.0.1:{listener.getsockname()[1]}'


class TestCalls(unittest.TestCase):

  @classmethod
  def setUpClass(cls):
    folder = cls.enterClassContext(tempfile.TemporaryDirectory())
    cls.fleet = cls.enterClassContext(launcher.Fleet(pathlib.Path(folder)))
    cls.adapter = http_service.HttpPlainService('127.0.2.1')

  def setUp(self):
    name = self.id().rpartition('.')[2]
    self.program = self.fleet.start_service(name, 1, 'desk')
    self.addCleanup(self.end, name)

  def end(self, name):
    if name in self.fleet.program_by_name:
      self.fleet.kill(name)

  def call(self, call=None, timeout_s=TIMEOUT_S):
    call = call or make_call()
    return self.adapter.call('desk-1', self.program.address, call, timeout_s)

  def executions(self):
    return self.fleet.call(self.program, 'GET', '/executions')['count_by_key']

  def test_call_may_take_longer_than_connect_timeout(self):
    self.fleet.put_fault(self.program, delay_s=0.8)
    adapter = http_service.HttpPlainService(connect_timeout_s=0.3)
    answer = adapter.call(
        'desk-1', self.program.address, make_call(), TIMEOUT_S
    )
    self.assertEqual(answer.status, 200)

  def test_runs_call_once_and_returns_response(self):
    answer = self.call()
    self.assertEqual(answer.status, 200)
    self.assertEqual(answer.content_type, 'application/json')
    self.assertIn(b'"path":"/bookings","key":"k","execution":1', answer.body)
    self.assertEqual(self.executions(), {'k': 1})

  def test_lost_response_fails_after_one_execution(self):
    self.fleet.put_fault(self.program, lose_answers=1)
    with self.assertRaises(errors.EndpointFailedError):
      self.call()
    self.assertEqual(self.executions(), {'k': 1})

  def test_late_response_fails(self):
    self.fleet.put_fault(self.program, delay_s=30)
    with self.assertRaises(errors.EndpointFailedError):
      self.call(timeout_s=0.2)

  def test_draining_service_does_not_run_call(self):
    self.fleet.call(self.program, 'POST', '/drain')
    with self.assertRaises(errors.EndpointDrainingError):
      self.call()
    self.assertEqual(self.executions(), {})

  def test_stopped_service_is_unreachable(self):
    self.fleet.kill(self.program.name)
    with self.assertRaises(errors.EndpointUnreachableError):
      self.call()

  def test_network_cut_is_unreachable_and_dropped_call_fails(self):
    self.fleet.put_fault(self.program, cut=['127.0.2.'])
    with self.assertRaises(errors.EndpointUnreachableError):
      self.call()
    self.fleet.put_fault(self.program, cut=['127.0.2.'], mode='drop')
    with self.assertRaises(errors.EndpointFailedError):
      self.call()
    self.fleet.put_fault(self.program, cut=[])
    self.assertEqual(self.executions(), {})


class TestResponses(unittest.TestCase):

  def call(self, answer):
    adapter = http_service.HttpPlainService()
    address = serve_once(self, answer)
    return adapter.call('desk-1', address, make_call(), TIMEOUT_S)

  def test_conflict_of_the_service_is_passed_on(self):
    answer = self.call(
        b'HTTP/1.1 409 Conflict\r\nContent-Length: 14\r\n\r\n' b'{"error":"no"}'
    )
    self.assertEqual((answer.status, answer.body), (409, b'{"error":"no"}'))

  def test_truncated_response_fails(self):
    for answer in (
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
    ):
      with (
          self.subTest(answer),
          self.assertRaises(errors.EndpointFailedError),
      ):
        self.call(answer)


if __name__ == '__main__':
  unittest.main()
