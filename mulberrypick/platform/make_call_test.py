"""Tests of the records that requests of callers are placed by."""

import unittest

from mulberrypick.adapters import received_request
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_task
from mulberrypick.platform import requests

_ROUTE = gateway_records.Route(
    name='ask',
    hostname='town.example',
    path_prefix='/ask/',
    kind=gateway_records.CallKind.STREAM,
    timeout_s=2.0,
    target_s=0.2,
    rank=0,
    share_by_service={'first': 50, 'second': 50},
    attempts=2,
    is_resumable=True,
)


def _make_call(request: str, *headers: tuple[bytes, bytes]):
  received = received_request.ReceivedRequest(
      method=b'POST',
      target=b'/ask/x',
      headers=[(b'X-Mulberrypick-Request-Id', request.encode()), *headers],
      body=b'question',
      peer='10.0.0.1',
      received_at=0.0,
  )
  return gateway_task.make_call(
      received, requests.decode_call(received), _ROUTE
  )


class MakeCallTest(unittest.TestCase):

  def test_stream_that_is_taken_up_stays_at_its_service(self):
    services = set()
    for number in range(20):
      first = _make_call(f'r{number}')
      services.add(first.service)
      again = _make_call(
          f'again-{number}',
          (b'Resumes', b'r%d' % number),
          (b'Last-Event-Id', b'3'),
      )
      self.assertEqual(again.service, first.service)
    self.assertEqual(services, {'first', 'second'})


if __name__ == '__main__':
  unittest.main()
