"""Tests of the messages between entry hosts, over real sockets."""

import queue
import threading
import unittest

from mulberrypick.adapters import zmq_peers

WAIT_S = 10.0


class TestZmqPeers(unittest.TestCase):

  def make(self, name: str, **kwargs) -> zmq_peers.ZmqPeers:
    node = zmq_peers.ZmqPeers('127.0.0.1:0', name, **kwargs)
    self.addCleanup(node.stop)
    return node

  def test_ask_is_answered_by_the_handler(self):
    left, right = self.make('left'), self.make('right')
    right.handle('echo', lambda sender, body: sender.encode() + b':' + body)
    left.start()
    right.start()
    answer = left.ask(right.address, 'echo', b'hello', WAIT_S)
    self.assertEqual(answer, b'left:hello')

  def test_tell_arrives_once(self):
    left, right = self.make('left'), self.make('right')
    told = queue.SimpleQueue()
    right.handle('news', lambda sender, body: told.put((sender, body)))
    left.start()
    right.start()
    left.tell(right.address, 'news', b'1')
    self.assertEqual(told.get(timeout=WAIT_S), ('left', b'1'))
    self.assertTrue(told.empty())

  def test_question_without_answer_gives_none(self):
    left, right = self.make('left'), self.make('right')
    right.handle('silent', lambda sender, body: None)
    left.start()
    right.start()
    self.assertIsNone(left.ask(right.address, 'silent', b'', 0.2))
    self.assertIsNone(left.ask('127.0.0.1:1', 'silent', b'', 0.2))

  def test_question_given_up_on_is_never_sent_late(self):
    left, right = self.make('left'), self.make('right')
    heard = queue.SimpleQueue()
    right.handle('old', lambda sender, body: heard.put(body))
    right.handle('new', lambda sender, body: b'ok')
    right.start()
    address = right.address
    right.stop()
    left.start()
    self.assertIsNone(left.ask(address, 'old', b'late', 0.3))
    again = self.make('right')
    again.address = address
    again.handle('old', lambda sender, body: heard.put(body))
    again.handle('new', lambda sender, body: b'ok')
    again.start()
    self.assertEqual(left.ask(address, 'new', b'', WAIT_S), b'ok')
    self.assertTrue(heard.empty())

  def test_outgoing_connections_use_the_source_ip(self):
    left = self.make('left', source_ip='127.0.0.9')
    right = self.make('right')
    right.handle('echo', lambda sender, body: body)
    left.start()
    right.start()
    self.assertEqual(left.ask(right.address, 'echo', b'x', WAIT_S), b'x')

  def test_failing_handler_does_not_end_the_task(self):
    left, right = self.make('left'), self.make('right')

    def fail(sender, body):
      raise ValueError('on purpose')

    right.handle('bad', fail)
    right.handle('echo', lambda sender, body: body)
    left.start()
    right.start()
    with self.assertLogs(zmq_peers.__name__, 'ERROR'):
      left.ask(right.address, 'bad', b'', 0.3)
      answer = left.ask(right.address, 'echo', b'x', WAIT_S)
    self.assertEqual(answer, b'x')

  def test_many_threads_ask_at_once_and_none_gets_another_answer(self):
    left, right = self.make('left'), self.make('right')
    right.handle('echo', lambda sender, body: body)
    left.start()
    right.start()
    wrong = queue.SimpleQueue()

    def ask(number: int) -> None:
      for turn in range(20):
        body = f'{number}/{turn}'.encode()
        if left.ask(right.address, 'echo', body, WAIT_S) != body:
          wrong.put(body)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(8)]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    self.assertTrue(wrong.empty())

  def test_queues_towards_an_absent_peer_are_bounded(self):
    left = self.make('left', high_water_mark=8)
    left.start()
    for _ in range(100):
      left.tell('127.0.0.1:1', 'news', b'x')
    done = left.ask('127.0.0.1:1', 'news', b'x', 1.5)
    self.assertIsNone(done)
    self.assertGreaterEqual(left.counts().dropped, 92)
