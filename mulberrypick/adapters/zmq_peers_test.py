"""Tests of messages between entry hosts over real ZeroMQ sockets."""

import collections
import queue
import threading
import time
import unittest

import zmq

from mulberrypick.adapters import peer_keys
from mulberrypick.adapters import zmq_peers

WAIT_TIMEOUT_S = 10.0


class TestZmqPeers(unittest.TestCase):

  def make(self, name: str, **kwargs) -> zmq_peers.ZmqPeers:
    node = zmq_peers.ZmqPeers('127.0.0.1:0', name, **kwargs)
    self.addCleanup(node.stop)
    return node

  def test_request_gets_reply_of_handler(self):
    left, right = self.make('left'), self.make('right')
    right.register_handler(
        'echo', lambda sender, body: sender.encode() + b':' + body
    )
    left.start()
    right.start()
    answer = left.request(right.address, 'echo', b'hello', WAIT_TIMEOUT_S)
    self.assertEqual(answer, b'left:hello')

  def test_message_arrives_once(self):
    left, right = self.make('left'), self.make('right')
    received = queue.SimpleQueue()
    right.register_handler(
        'news', lambda sender, body: received.put((sender, body))
    )
    left.start()
    right.start()
    left.send(right.address, 'news', b'1')
    self.assertEqual(received.get(timeout=WAIT_TIMEOUT_S), ('left', b'1'))
    self.assertTrue(received.empty())

  def test_request_without_reply_returns_none(self):
    left, right = self.make('left'), self.make('right')
    right.register_handler('silent', lambda sender, body: None)
    left.start()
    right.start()
    self.assertIsNone(left.request(right.address, 'silent', b'', 0.2))
    self.assertIsNone(left.request('127.0.0.1:1', 'silent', b'', 0.2))

  def test_request_that_timed_out_is_never_sent(self):
    left, right = self.make('left'), self.make('right')
    received = queue.SimpleQueue()
    right.register_handler('old', lambda sender, body: received.put(body))
    right.register_handler('new', lambda sender, body: b'ok')
    right.start()
    address = right.address
    right.stop()
    left.start()
    self.assertIsNone(left.request(address, 'old', b'late', 0.3))
    restarted = self.make('right')
    restarted.address = address
    restarted.register_handler('old', lambda sender, body: received.put(body))
    restarted.register_handler('new', lambda sender, body: b'ok')
    restarted.start()
    self.assertEqual(left.request(address, 'new', b'', WAIT_TIMEOUT_S), b'ok')
    self.assertTrue(received.empty())

  def test_outgoing_connections_use_source_ip(self):
    left = self.make('left', source_ip='127.0.0.9')
    right = self.make('right')
    right.register_handler('echo', lambda sender, body: body)
    left.start()
    right.start()
    self.assertEqual(
        left.request(right.address, 'echo', b'x', WAIT_TIMEOUT_S), b'x'
    )

  def test_failing_handler_does_not_end_the_thread(self):
    left, right = self.make('left'), self.make('right')

    def fail(sender, body):
      raise ValueError('on purpose')

    right.register_handler('bad', fail)
    right.register_handler('echo', lambda sender, body: body)
    left.start()
    right.start()
    with self.assertLogs(zmq_peers.__name__, 'ERROR'):
      left.request(right.address, 'bad', b'', 0.3)
      answer = left.request(right.address, 'echo', b'x', WAIT_TIMEOUT_S)
    self.assertEqual(answer, b'x')

  def test_concurrent_requests_get_their_own_replies(self):
    left, right = self.make('left'), self.make('right')
    right.register_handler('echo', lambda sender, body: body)
    left.start()
    right.start()
    wrong = queue.SimpleQueue()

    def request(number: int) -> None:
      for turn in range(20):
        body = f'{number}/{turn}'.encode()
        if left.request(right.address, 'echo', body, WAIT_TIMEOUT_S) != body:
          wrong.put(body)

    threads = [threading.Thread(target=request, args=(n,)) for n in range(8)]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    self.assertTrue(wrong.empty())

  def test_queue_to_unreachable_peer_is_bounded(self):
    left = self.make('left', high_water_mark=8)
    left.start()
    for _ in range(100):
      left.send('127.0.0.1:1', 'news', b'x')
    reply = left.request('127.0.0.1:1', 'news', b'x', 1.5)
    self.assertIsNone(reply)
    self.assertGreaterEqual(left.counts().dropped, 92)


def make_keys() -> peer_keys.PeerKeys:
  """Creates a key pair for a deployment."""
  public, secret = zmq.curve_keypair()
  return peer_keys.PeerKeys(public.decode(), secret.decode())


class TestKeys(unittest.TestCase):

  def setUp(self):
    self.keys = make_keys()
    # For each node, the names of the senders whose messages it received.
    self.senders_by_node = collections.defaultdict(list)
    self.right = self.make('right', self.keys)

  def make(
      self,
      name: str,
      keys: peer_keys.PeerKeys | None,
      address: str = '127.0.0.1:0',
  ) -> zmq_peers.ZmqPeers:
    node = zmq_peers.ZmqPeers(address, name, keys=keys)
    self.addCleanup(node.stop)
    received = self.senders_by_node[name]

    def answer(sender: str, body: bytes) -> bytes:
      received.append(sender)
      return body

    node.register_handler('echo', answer)
    node.start()
    return node

  def assert_rejected(
      self, invalid_peer: zmq_peers.ZmqPeers, address: str, name: str
  ) -> None:
    invalid_peer.send(address, 'echo', b'x')
    self.assertIsNone(invalid_peer.request(address, 'echo', b'x', 0.5))
    self.assertEqual(self.senders_by_node[name], [])

  def assert_valid_peer_accepted(self) -> None:
    valid_peer = self.make('friend', self.keys)
    answer = valid_peer.request(
        self.right.address, 'echo', b'x', WAIT_TIMEOUT_S
    )
    self.assertEqual(answer, b'x')
    self.assertEqual(self.senders_by_node['right'], ['friend'])

  def test_peer_with_the_key_pair_is_accepted(self):
    self.assert_valid_peer_accepted()
    self.assertEqual(self.right.counts().refused, 0)

  def test_unencrypted_peer_is_rejected(self):
    plain = self.make('plain', None)
    self.assert_rejected(plain, self.right.address, 'right')
    self.assert_valid_peer_accepted()

  def test_peer_of_another_deployment_is_rejected(self):
    other = self.make('other', make_keys())
    self.assert_rejected(other, self.right.address, 'right')
    self.assert_valid_peer_accepted()

  def test_peer_with_only_the_public_key_is_rejected(self):
    context = zmq.Context()
    self.addCleanup(context.destroy, linger=0)
    invalid_peer = context.socket(zmq.DEALER)
    self.addCleanup(invalid_peer.close, linger=0)
    own = make_keys()
    invalid_peer.setsockopt_string(zmq.CURVE_SERVERKEY, self.keys.public)
    invalid_peer.setsockopt_string(zmq.CURVE_PUBLICKEY, own.public)
    invalid_peer.setsockopt_string(zmq.CURVE_SECRETKEY, own.secret)
    invalid_peer.connect(f'tcp://{self.right.address}')
    invalid_peer.send_multipart([b'echo', b'12345678', b'stranger', b'x'])
    self.assertEqual(invalid_peer.poll(500), 0)
    self.assertEqual(self.senders_by_node['right'], [])
    self.assertEqual(self.right.counts().refused, 1)
    self.assert_valid_peer_accepted()

  def test_listener_without_the_key_pair_gets_no_messages(self):
    for keys in (None, make_keys()):
      impostor = self.make('impostor', keys)
      self.assert_rejected(self.right, impostor.address, 'impostor')

  def test_peer_is_reached_after_its_key_is_corrected(self):
    for keys in (None, make_keys()):
      wrong = self.make('wrong', keys)
      self.assert_rejected(self.right, wrong.address, 'wrong')
      wrong.stop()
      self.make('mended', self.keys, wrong.address)
      deadline = time.monotonic() + WAIT_TIMEOUT_S
      answer = None
      while answer is None and time.monotonic() < deadline:
        answer = self.right.request(wrong.address, 'echo', b'x', 0.5)
      self.assertEqual(answer, b'x')
      self.assertEqual(self.senders_by_node['wrong'], [])
