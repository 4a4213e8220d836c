"""Tests of the metrics that are sent to statsd."""

import socket
import unittest

from mulberrypick.core import records
from mulberrypick.core import settings
from mulberrypick.ops import completions
from mulberrypick.ops import metrics_task

RECEIVE_TIMEOUT_S = 20.0


def make_result(number: int) -> completions.CompletionResult:
  request = records.InferenceRequest(
      request_id=f'r{number}',
      tenant='drivers',
      rank='urgent',
      service='assistant',
      model='yard-talk',
      adapter='',
      prompt='open?',
      prompt_tokens=1,
      max_tokens=5,
      arrived_at=0.0,
      deadline_at=20.0,
  )
  return completions.CompletionResult(request, 'whole', 2, 5, 0.1, 0.5)


class TestStatsd(unittest.TestCase):

  def setUp(self):
    self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    self.addCleanup(self.socket.close)
    self.socket.bind(('127.0.0.1', 0))
    self.socket.settimeout(RECEIVE_TIMEOUT_S)
    address = settings.Address(*self.socket.getsockname())
    self.task = metrics_task.MetricsTask(address)

  def receive(self, count: int) -> list[str]:
    return [self.socket.recv(1000).decode() for _ in range(count)]

  def test_a_whole_answer_is_sent_as_documented(self):
    self.task.record_result(make_result(1))
    self.task.start()
    self.task.stop()
    names = [line.split(':')[0] for line in self.receive(6)]
    self.assertEqual(
        names,
        [
            'mulberrypick.requests.drivers.urgent.whole',
            'mulberrypick.attempts.drivers.urgent',
            'mulberrypick.tokens.drivers.urgent',
            'mulberrypick.first_token.drivers.urgent',
            'mulberrypick.total.drivers.urgent',
            'mulberrypick.between_tokens.drivers.urgent',
        ],
    )

  def test_dropped_results_are_sent_once(self):
    too_many = 3
    for number in range(metrics_task.MAX_QUEUED_RESULTS + too_many):
      self.task.record_result(make_result(number))
    self.task.start()
    self.assertEqual(
        self.receive(2),
        [
            f'mulberrypick.metrics_dropped:{too_many}|c',
            'mulberrypick.requests.drivers.urgent.whole:1|c',
        ],
    )
    self.assertEqual(self.task.snapshot().dropped, too_many)
    self.task.stop()
