"""Tests of the HTTP platform client against the stand-in platform process."""

import pathlib
import socket
import tempfile
import threading
import time
import unittest

from mulberrypick.adapters import http_platform
from mulberrypick.adapters import platform
from mulberrypick.core import errors
from mulberrypick.core import records
from standins import launcher

WAIT_TIMEOUT_S = 20.0
TIMEOUT_S = 5.0
LONG_TIMEOUT_S = 60.0


class PlatformTestCase(unittest.TestCase):

  @classmethod
  def setUpClass(cls):
    folder = cls.enterClassContext(tempfile.TemporaryDirectory())
    cls.fleet = cls.enterClassContext(launcher.Fleet(pathlib.Path(folder)))
    cls.program = cls.fleet.start_platform('--hosts-lag-s', '0.2')
    cls.adapter = http_platform.HttpPlatform(
        cls.program.url, '127.0.2.1', TIMEOUT_S, 'test'
    )

  def setUp(self):
    self.key = f'test/{self.id()}'

  def put_fault(self, **faults):
    self.fleet.put_fault(self.program, **faults)


class TestObjects(PlatformTestCase):

  def test_creates_updates_and_deletes(self):
    first = self.adapter.put(self.key, b'one', platform.MISSING_VERSION)
    second = self.adapter.put(self.key, b'two', first)
    self.assertGreater(second, first)
    self.assertEqual(
        self.adapter.get(self.key),
        platform.VersionedValue(self.key, second, b'two'),
    )
    self.adapter.delete(self.key, second)
    self.assertIsNone(self.adapter.get(self.key))

  def test_versions_are_never_reused(self):
    first = self.adapter.put(self.key, b'one', 0)
    self.adapter.delete(self.key, first)
    again = self.adapter.put(self.key, b'one', 0)
    self.assertGreater(again, first)

  def test_unexpected_version_is_a_conflict(self):
    version = self.adapter.put(self.key, b'one', 0)
    for call in (
        lambda: self.adapter.put(self.key, b'two', 0),
        lambda: self.adapter.put(self.key, b'two', version + 1),
        lambda: self.adapter.delete(self.key, version + 1),
    ):
      with self.assertRaises(errors.ConflictError) as caught:
        call()
      self.assertEqual(caught.exception.current_version, version)

  def test_special_characters_in_key_and_value(self):
    key = self.key + '/a b?c=ü&d%2F#e'
    value = bytes(range(256))
    version = self.adapter.put(key, value, 0)
    listing = self.adapter.list_objects(self.key)
    self.assertEqual(
        listing.value_by_key,
        {key: platform.VersionedValue(key, version, value)},
    )

  def test_a_value_over_the_limit_is_an_error(self):
    self.adapter.put(self.key, bytes(platform.MAX_VALUE_BYTES), 0)
    with self.assertRaises(errors.PlatformError):
      self.adapter.put(self.key, bytes(platform.MAX_VALUE_BYTES + 1), 0)


class TestWatch(PlatformTestCase):

  def test_returns_changes_in_order_and_continues(self):
    start = self.adapter.list_objects(self.key).revision
    first = self.adapter.put(self.key, b'one', 0)
    second = self.adapter.put(self.key, b'two', first)
    self.adapter.delete(self.key, second)
    batch = self.adapter.watch(self.key, start, LONG_TIMEOUT_S)
    self.assertEqual(
        [(c.version, c.value) for c in batch.changes],
        [(first, b'one'), (second, b'two'), (0, b'')],
    )
    after = self.adapter.watch(self.key, batch.revision, 0.05)
    self.assertEqual(after.changes, [])

  def test_returns_on_change(self):
    start = self.adapter.list_objects(self.key).revision
    batches = []
    watcher = threading.Thread(
        target=lambda: batches.append(
            self.adapter.watch(self.key, start, LONG_TIMEOUT_S)
        )
    )
    watcher.start()
    self.adapter.put(self.key + '/a', b'one', 0)
    watcher.join(WAIT_TIMEOUT_S)
    self.assertEqual([c.value for c in batches[0].changes], [b'one'])

  def test_future_revision_is_expired(self):
    with self.assertRaises(errors.WatchExpiredError):
      self.adapter.watch(self.key, 10**9, LONG_TIMEOUT_S)

  def test_outage_ends_watch(self):
    start = self.adapter.list_objects(self.key).revision
    raised = []

    def watch():
      try:
        self.adapter.watch(self.key, start, LONG_TIMEOUT_S)
      except errors.PlatformUnavailableError as error:
        raised.append(error)

    watcher = threading.Thread(target=watch)
    before = self.fleet.call(self.program, 'GET', '/calls')['watch']
    watcher.start()
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while self.fleet.call(self.program, 'GET', '/calls')['watch'] == before:
      self.assertLess(time.monotonic(), deadline)
    self.put_fault(outage_s=LONG_TIMEOUT_S)
    self.addCleanup(self.put_fault, outage_s=0)
    watcher.join(WAIT_TIMEOUT_S)
    self.assertEqual(len(raised), 1)


class TestFaults(PlatformTestCase):

  def test_lost_response_is_reported_and_write_took_effect(self):
    self.put_fault(lose_answers=1, lose_prefix=self.key)
    with self.assertRaises(errors.PlatformAnswerLostError):
      self.adapter.put(self.key, b'one', 0)
    found = self.adapter.get(self.key)
    self.assertEqual(found.value, b'one')
    self.put_fault(lose_answers=1)
    with self.assertRaises(errors.PlatformAnswerLostError):
      self.adapter.delete(self.key, found.version)
    self.assertIsNone(self.adapter.get(self.key))

  def test_an_outage_is_unavailable_and_has_no_effect(self):
    self.put_fault(outage_s=LONG_TIMEOUT_S)
    self.addCleanup(self.put_fault, outage_s=0)
    for call in (
        lambda: self.adapter.put(self.key, b'one', 0),
        lambda: self.adapter.get(self.key),
        lambda: self.adapter.list_objects(self.key),
        self.adapter.list_hosts,
    ):
      with self.assertRaises(errors.PlatformUnavailableError) as caught:
        call()
      self.assertGreater(caught.exception.retry_after_s, 0)
    self.put_fault(outage_s=0)
    self.assertIsNone(self.adapter.get(self.key))

  def test_late_response_to_write_counts_as_lost(self):
    impatient_adapter = http_platform.HttpPlatform(
        self.program.url, '', 0.2, 'hasty'
    )
    self.adapter.put(self.key, b'one', 0)
    self.put_fault(delay_s=1.0)
    self.addCleanup(self.put_fault, delay_s=0)
    with self.assertRaises(errors.PlatformAnswerLostError):
      impatient_adapter.put(self.key + '/a', b'one', 0)
    with self.assertRaises(errors.PlatformUnavailableError):
      impatient_adapter.get(self.key)

  def test_platform_behind_network_cut_is_unavailable(self):
    self.put_fault(cut=['127.0.2.'])
    self.addCleanup(self.put_fault, cut=[])
    with self.assertRaises(errors.PlatformUnavailableError):
      self.adapter.put(self.key, b'one', 0)
    other = http_platform.HttpPlatform(
        self.program.url, '127.0.3.1', TIMEOUT_S, 'other'
    )
    self.assertIsNone(other.get(self.key))

  def test_a_refused_connection_is_unavailable(self):
    url = f'http://{launcher.free_address("127.0.0.1")}'
    unreachable_adapter = http_platform.HttpPlatform(url, '', TIMEOUT_S, 'test')
    with self.assertRaises(errors.PlatformUnavailableError):
      unreachable_adapter.put(self.key, b'one', 0)
    with self.assertRaises(errors.PlatformUnavailableError):
      unreachable_adapter.get(self.key)


class TestTruncatedResponses(unittest.TestCase):

  def make_adapter(self, answer):
    listener = socket.create_server(('127.0.0.1', 0))
    self.addCleanup(listener.close)

    def serve():
      connection, _ = listener.accept()
      with connection:
        connection.recv(65_536)
        connection.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()
    url = f'http://127.0.0.1:{listener.getsockname()[1]}'
    return http_platform.HttpPlatform(url, '', TIMEOUT_S, 'test')

  def test_write_is_lost_and_read_is_unavailable(self):
    for answer in (
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 409 Conflict\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"version',
    ):
      with self.subTest(answer):
        with self.assertRaises(errors.PlatformAnswerLostError):
          self.make_adapter(answer).put('a', b'', 0)
        with self.assertRaises(errors.PlatformAnswerLostError):
          self.make_adapter(answer).delete('a', 1)
    for answer in (b'', b'HTTP/1.1 200 OK\r\nContent-Le'):
      with self.assertRaises(errors.PlatformUnavailableError):
        self.make_adapter(answer).get('a')


class TestRates(unittest.TestCase):

  def test_a_call_over_the_rate_is_unavailable_and_counted(self):
    folder = self.enterContext(tempfile.TemporaryDirectory())
    fleet = self.enterContext(launcher.Fleet(pathlib.Path(folder)))
    program = fleet.start_platform('--writes-per-s', '2', '--reads-per-s', '3')
    adapter = http_platform.HttpPlatform(program.url, '', TIMEOUT_S, 'test')
    refused = 0
    for number in range(10):
      try:
        adapter.put(f'key/{number}', b'', 0)
      except errors.PlatformUnavailableError:
        refused += 1
    calls = fleet.call(program, 'GET', '/calls')
    self.assertGreater(refused, 0)
    self.assertEqual((calls['put'], calls['refused']), (10 - refused, refused))


class TestHosts(PlatformTestCase):

  def test_the_list_lags_behind(self):
    host = launcher.make_host('h', 1, records.HOST_ENTRY, '127.0.1.1:1')
    self.fleet.put_host(host)
    self.wait_for([host])
    leaving = host._replace(state=records.STATE_LEAVING)
    self.fleet.put_host(leaving)
    self.wait_for([leaving])
    self.fleet.delete_host('h')
    self.wait_for([])

  def wait_for(self, hosts):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while self.adapter.list_hosts() != hosts:
      self.assertLess(time.monotonic(), deadline)
      time.sleep(0.05)


if __name__ == '__main__':
  unittest.main()
