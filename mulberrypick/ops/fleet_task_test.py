"""Tests of sending host lists and load reports to other entries.

The peer transport is in memory.
"""

import threading
import time
import unittest

import msgspec

from mulberrypick.adapters import engine
from mulberrypick.adapters import memory_platform
from mulberrypick.adapters import peers as peers_adapter
from mulberrypick.core import errors
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.ops import fleet_task

WAIT_S = 20.0
FAST_INTERVALS = fleet_task.FleetIntervals(0.02, 0.02, 0.02, 0.02, 0.2)


class Network:
  """Delivers messages between fake peers on the sender's thread."""

  def __init__(self):
    self.handlers_by_address = {}


class FakePeers(peers_adapter.Peers):

  def __init__(self, network, address):
    self._network = network
    self._handlers = network.handlers_by_address.setdefault(address, {})

  def register_handler(self, kind, handler):
    self._handlers[kind] = handler

  def send(self, peer_address, kind, body):
    self.request(peer_address, kind, body, 0)

  def request(self, peer_address, kind, body, timeout_s):
    handler = self._network.handlers_by_address.get(peer_address, {}).get(kind)
    return handler('peer', body) if handler else None


class FakeEngine:
  """Records which entries poll each engine."""

  def __init__(self):
    self.lock = threading.Lock()
    self.pollers_by_engine = {}

  def make_reader(self, entry):
    return _Reader(self, entry)


class _Reader:

  def __init__(self, engine, entry):
    self._engine = engine
    self._entry = entry

  def read_load(self, endpoint, address):
    with self._engine.lock:
      pollers = self._engine.pollers_by_engine
      pollers.setdefault(endpoint, set()).add(self._entry)
    return records.EngineReport(
        endpoint, 1, 'mixed', ('m',), 0, 0, 9, 9, False, 1.0, 1.0, 0.0
    )

  def read_cache_events(self, endpoint, address, after_number):
    if after_number:
      return []
    return [
        engine.CacheEvent(3, True, 77),
        engine.CacheEvent(5, False, 78),
    ]


def make_host(name, kind):
  address = f'{name}:1'
  return records.Host(name, 'a', kind, address, address, '', 1, 'live', True)


class TestFleetTask(unittest.TestCase):

  def setUp(self):
    self.network = Network()
    self.platform = memory_platform.MemoryPlatform()
    self.engine = FakeEngine()
    self.messages_by_entry = {}
    self.entries = [make_host(f'entry-{n}', 'entry') for n in range(4)]
    self.engines = [make_host(f'engine-{n}', 'engine') for n in range(8)]
    self.platform.set_hosts([*self.entries, *self.engines])

  def create(self, name, seeds=()):
    received = self.messages_by_entry.setdefault(name, [])
    return fleet_task.FleetTask(
        name,
        'a',
        self.platform,
        self.engine.make_reader(name),
        FakePeers(self.network, f'{name}:1'),
        received.append,
        lambda: fleet_task.OwnLoad(
            messages.PeerSeen(name, {}, {}, (), ()), {'m': (1.0, 2.0)}
        ),
        FAST_INTERVALS,
        seeds,
    )

  def start(self, name, seeds=()):
    task = self.create(name, seeds)
    task.start()
    self.addCleanup(task.stop)
    return task

  def wait_until(self, is_true):
    until = time.monotonic() + WAIT_S
    while not is_true():
      self.assertLess(time.monotonic(), until)
      time.sleep(0.01)

  def has_received(self, name, kind, key=lambda message: True):
    return any(
        isinstance(message, kind) and key(message)
        for message in list(self.messages_by_entry[name])
    )

  def test_every_entry_receives_reports_of_engines_polled_by_one_entry(self):
    names = [host.name for host in self.entries]
    for name in names:
      self.start(name)
    for name in names:
      for host in self.engines:
        self.wait_until(
            lambda name=name, host=host: self.has_received(
                name,
                messages.ReportSeen,
                lambda message: message.report.endpoint == host.name,
            )
        )
      self.wait_until(
          lambda name=name: self.has_received(name, messages.PeerSeen)
      )
    # Before an entry has the list of hosts, it may poll all engines. Afterwards
    # exactly one entry polls each engine.
    self.wait_until(self.is_each_engine_polled_by_one)

  def test_every_entry_receives_cache_events(self):
    names = [host.name for host in self.entries]
    # The engine's events are sent once, so that an entry whose handlers are not
    # registered by then does not receive them.
    tasks = [self.create(name) for name in names]
    for task in tasks:
      task.start()
      self.addCleanup(task.stop)
    wanted = messages.CacheSeen('engine-3', (77,), (78,))
    for name in names:
      self.wait_until(
          lambda name=name: wanted in list(self.messages_by_entry[name])
      )

  def test_controllers_receive_the_demand(self):
    self.start('entry-0')
    asker = FakePeers(self.network, 'controller:1')
    encoded = msgspec.msgpack.encode({'m': (1.0, 2.0)})
    self.wait_until(
        lambda: asker.request('entry-0:1', fleet_task.KIND_DEMAND, b'', 1)
        == encoded
    )

  def is_each_engine_polled_by_one(self):
    with self.engine.lock:
      self.engine.pollers_by_engine.clear()
    self.wait_until(lambda: len(self.engine.pollers_by_engine) == 8)
    with self.engine.lock:
      counts = [len(who) for who in self.engine.pollers_by_engine.values()]
    return counts == [1] * 8

  def test_a_new_entry_gets_hosts_from_a_seed_while_the_platform_is_away(
      self,
  ):
    first = self.start('entry-0')
    self.wait_until(lambda: first.has_hosts)
    self.platform.set_unavailable(True)
    with self.assertRaises(errors.PlatformUnavailableError):
      self.platform.list_hosts()
    second = self.start('entry-1', ('entry-0:1',))
    self.wait_until(lambda: second.has_hosts)
    self.assertEqual(set(first.hosts), set(second.hosts))


if __name__ == '__main__':
  unittest.main()
