"""Tests of the launcher and of the relay."""

import pathlib
import socket
import tempfile
import threading
import unittest

from standins import launcher
from standins import relay

TIMEOUT_S = 20.0


class TestFleet(unittest.TestCase):

  def setUp(self):
    self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
    self.fleet = self.enterContext(launcher.Fleet(self.folder))

  def test_starts_lists_and_stops_processes(self):
    self.fleet.start_platform('--hosts-lag-s', '0')
    first = self.fleet.start_service('desk-1', 2, 'desk')
    self.assertTrue(first.address.startswith('127.0.2.1:'))
    self.fleet.kill('desk-1')
    again = self.fleet.start_service('desk-1', 2, 'desk')
    hosts = self.fleet.call(self.fleet.platform, 'GET', '/hosts')['hosts']
    self.assertEqual(
        [
            (h['name'], h['service'], h['incarnation'], h['address'])
            for h in hosts
        ],
        [('desk-1', 'desk', 2, again.address)],
    )
    processes = [p.process for p in self.fleet.program_by_name.values()]
    self.fleet.stop()
    self.assertTrue(all(p.returncode is not None for p in processes))

  def test_error_for_a_program_that_exits_shows_its_log(self):
    with self.assertRaisesRegex(launcher.LaunchError, 'No such option'):
      self.fleet.start_program('bad', 'standins.service', ('--no-such-flag',))

  def test_environment_reaches_a_program(self):
    program = self.fleet.start_program(
        'env',
        'standins.service',
        ('--listen', launcher.free_address('127.0.1.1')),
        {'PYTHONUNBUFFERED': '1'},
    )
    environment = pathlib.Path(f'/proc/{program.process.pid}/environ')
    self.assertIn(b'PYTHONUNBUFFERED=1', environment.read_bytes())

  def test_a_paused_program_continues(self):
    program = self.fleet.start_service('pause', 1, 'desk')
    self.fleet.pause('pause')
    self.fleet.resume('pause')
    answer = self.fleet.call(program, 'GET', '/executions')
    self.assertEqual(answer['total'], 0)


class TestRelay(unittest.TestCase):

  def setUp(self):
    self.listener = socket.create_server(('127.0.0.1', 0))
    self.addCleanup(self.listener.close)
    threading.Thread(target=self.echo, daemon=True).start()
    host, port = self.listener.getsockname()
    self.link = self.enterContext(relay.Relay(f'{host}:{port}'))

  def echo(self):
    while True:
      try:
        connection, _ = self.listener.accept()
      except OSError:
        return
      threading.Thread(
          target=self.echo_one, args=(connection,), daemon=True
      ).start()

  def echo_one(self, connection):
    with connection:
      while data := connection.recv(1000):
        connection.sendall(data)

  def connect(self):
    host, _, port = self.link.address.rpartition(':')
    made = socket.create_connection((host, int(port)), TIMEOUT_S)
    self.addCleanup(made.close)
    return made

  def test_forwards_both_ways(self):
    made = self.connect()
    made.sendall(b'one')
    self.assertEqual(made.recv(10), b'one')

  def test_a_cut_breaks_old_and_new_connections_until_healed(self):
    old = self.connect()
    old.sendall(b'one')
    old.recv(10)
    self.link.cut()
    self.assertEqual(old.recv(10), b'')
    self.assertEqual(self.connect().recv(10), b'')
    self.link.heal()
    made = self.connect()
    made.sendall(b'two')
    self.assertEqual(made.recv(10), b'two')

  def test_held_bytes_arrive_after_the_link_is_healed(self):
    made = self.connect()
    made.sendall(b'one')
    made.recv(10)
    self.link.hold()
    made.sendall(b'two')
    made.settimeout(0.1)
    with self.assertRaises(TimeoutError):
      made.recv(10)
    made.settimeout(TIMEOUT_S)
    self.link.heal()
    self.assertEqual(made.recv(10), b'two')


if __name__ == '__main__':
  unittest.main()
