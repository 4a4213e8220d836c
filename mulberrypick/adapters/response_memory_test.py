"""Tests of the memory that responses take in all."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.adapters import response_limits
from mulberrypick.adapters import response_memory
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import event_stream

RESPONSES = 1000
READ_BYTES = 262144
HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
# Memory of a host, less that of a process without requests.
MAX_HELD_BYTES = 240 << 20


class Transport:
  """A transport that reads until it is paused or closed."""

  def __init__(self):
    self.is_paused = False
    self.is_closed = False

  def write(self, data):
    del data

  def pause_reading(self):
    self.is_paused = True

  def resume_reading(self):
    self.is_paused = False

  def is_closing(self):
    return self.is_closed

  def abort(self):
    self.is_closed = True


class ResponseMemoryTest(unittest.TestCase):

  def setUp(self):
    self.memory = response_memory.ResponseMemory()

  def test_deleted_response_holds_nothing(self):
    held = self.memory.open('a')
    self.assertTrue(held.set(1000))
    del held
    self.assertEqual((self.memory.total, dict(self.memory.by_source)), (0, {}))

  def test_source_has_a_share(self):
    # Guards against a faulty endpoint that takes the memory of all others.
    large = [self.memory.open('a') for _ in range(60)]
    results = [held.set(1 << 20) for held in large]
    self.assertTrue(results[0])
    self.assertFalse(results[-1])
    self.assertTrue(self.memory.open('b').set(1 << 20))

  def test_small_responses_of_others_are_held_beside_large_ones(self):
    large = [self.memory.open(f'a{n}') for n in range(3)]
    for held in large:
      held.set(25 << 20)
    self.assertFalse(self.memory.open('b').set(1 << 20))
    self.assertTrue(self.memory.open('b').set(100 << 10))

  def test_tiny_responses_are_always_held(self):
    held = self.memory.open('a')
    held.set(1 << 30)
    self.assertTrue(self.memory.open('a').set(1000))


class ManyResponsesTest(unittest.IsolatedAsyncioTestCase):
  """Many responses at a time, each within its own limits."""

  async def asyncSetUp(self):
    memory = response_memory.ResponseMemory()
    self.enterContext(mock.patch.object(response_memory, 'shared', memory))
    self.connections = []
    self.exchanges = []
    for _ in range(RESPONSES):
      connection = stream_client.ClientConnection()
      transport = Transport()
      connection._transport = transport
      exchange = stream_client.Exchange(source='faulty')
      connection.send(b'', exchange)
      self.connections.append((connection, transport))
      self.exchanges.append(exchange)

  def feed_all(self, data: bytes) -> None:
    """Feeds data to the connections in turn until none takes more."""
    is_any = True
    while is_any:
      is_any = False
      for connection, transport in self.connections:
        if not transport.is_paused and not transport.is_closed:
          connection.data_received(data)
          is_any = True

  async def test_unread_bytes_of_all_are_bounded(self):
    # Guards against a process that runs out of memory: each response is within
    # its limit, their sum was not.
    for connection, _ in self.connections:
      connection.data_received(HEAD)
    self.feed_all(b'a' * READ_BYTES)
    held = sum(len(exchange._unread) for exchange in self.exchanges)
    self.assertLess(held, MAX_HELD_BYTES)

  async def test_incomplete_events_of_all_are_bounded(self):
    splitters = [event_stream.EventSplitter() for _ in self.exchanges]
    failed = set()
    for connection, _ in self.connections:
      connection.data_received(HEAD)
    for _ in range(16):
      for number, (connection, transport) in enumerate(self.connections):
        if number in failed or transport.is_closed:
          failed.add(number)
          continue
        connection.data_received(b'a' * 65536)
        exchange = self.exchanges[number]
        try:
          splitters[number].feed(await exchange.read_some())
          exchange.keep(splitters[number].partial_bytes)
        except errors.ExchangeBrokenError:
          failed.add(number)
          splitters[number] = event_stream.EventSplitter()
    held = sum(splitter.partial_bytes for splitter in splitters)
    self.assertLess(held, MAX_HELD_BYTES)
    self.assertTrue(failed)

  async def test_response_that_is_given_up_is_not_complete(self):
    # Guards against a response that is cut for want of memory between two reads
    # of it and passes for complete.
    connection, _ = self.connections[0]
    connection.data_received(HEAD + b'a' * 300_000)
    exchange = self.exchanges[0]
    reading = asyncio.create_task(exchange.read_all(1 << 30))
    await asyncio.sleep(0)
    others = response_memory.shared.open('other')
    others.set(response_memory.MAX_TOTAL_BYTES)
    connection.data_received(b'a' * 300_000)
    with self.assertRaises(errors.ExchangeBrokenError):
      await reading

  async def test_header_lines_are_bounded_before_a_read_is_parsed_whole(self):
    # Guards against lines that take several times their bytes in memory.
    connection, transport = self.connections[0]
    data = b'HTTP/1.1 200 OK\r\n' + b'A: b\r\n' * (READ_BYTES // 6)
    connection.data_received(data)
    self.assertTrue(transport.is_closed)
    self.assertLessEqual(len(connection._headers), response_limits.MAX_HEADERS)


if __name__ == '__main__':
  unittest.main()
