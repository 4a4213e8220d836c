"""Tests of the HTTP engine client against broken streams."""

import socket
import threading
import unittest

from mulberrypick.adapters import http_engine
from mulberrypick.core import errors
from mulberrypick.core import records

REQUEST = records.InferenceRequest(
    'r1', 'mill', 'urgent', 's', 'reader', '', 'a', 0, 256, 0, 0
)


class TestBrokenStreams(unittest.TestCase):

  def generate(self, body, headers=b''):
    listener = socket.create_server(('127.0.0.1', 0))
    self.addCleanup(listener.close)

    def serve():
      connection, _ = listener.accept()
      with connection:
        connection.recv(65_536)
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        connection.sendall(head + headers + b'\r\n' + body)

    threading.Thread(target=serve, daemon=True).start()
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    attempt = records.Attempt('r1/1', 'e', address, 0, 0)
    return http_engine.HttpEngine().generate(attempt, REQUEST)

  def test_stream_without_last_frame_fails(self):
    event = b'data: {"attempt_id":"r1/1","index":0,"text":"a "}\n\n'
    for name, body in (
        ('ended without last frame', chunk(event) + chunk(b'')),
        ('ended within an event', chunk(event + event[:9]) + chunk(b'')),
        ('closed', chunk(event)),
        ('closed within a chunk', chunk(event) + chunk(event)[:20]),
        ('malformed event', chunk(event) + chunk(b'data: {]\n\n') + chunk(b'')),
    ):
      with self.subTest(name):
        stream = self.generate(body)
        self.assertEqual(next(stream).text, 'a ')
        with self.assertRaises(errors.EndpointFailedError):
          list(stream)

  def test_engine_may_close_connection_after_complete_stream(self):
    last = b'data: {"attempt_id":"r1/1","index":0,"done":true}\n\n'
    body = chunk(last) + chunk(b'')
    stream = self.generate(body, b'Connection: close\r\n')
    self.assertTrue(next(stream).is_last)
    stream.close()

  def test_split_events_and_events_after_the_last_frame(self):
    event = b'data: {"attempt_id":"r1/1","index":0,"text":"a "}\n\n'
    last = b'data: {"attempt_id":"r1/1","index":1,"done":true}\n\n'
    late = b'data: {"attempt_id":"r1/1","index":0,"text":"a "}\n\n'
    events = event + last + late
    body = b''.join(chunk(events[i : i + 7]) for i in range(0, len(events), 7))
    frames = list(self.generate(body + chunk(b'')))
    self.assertEqual([f.is_last for f in frames], [False, True, False])


def chunk(data):
  return b'%x\r\n%b\r\n' % (len(data), data)


if __name__ == '__main__':
  unittest.main()
