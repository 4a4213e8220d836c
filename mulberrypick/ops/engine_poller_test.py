"""Tests of polling engines.

An engine numbers its cache events, and the poller asks only for events after
the last one that it has read. So events of a reply that arrives after the time
limit of its poll must not be dropped: no later poll would read them again.
"""

import threading
import unittest
from unittest import mock

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.ops import engine_poller

MAX_WAIT_S = 20.0
HOST = records.Host(
    'engine-0', 'a', 'engine', 'engine-0:1', 'engine-0:1', '', 1, 'live', True
)


class SlowReader:
  """Fake engine adapter whose reads wait until `released` is set.

  Attributes:
    released: Set to let all reads return.
    events: Cache events of the engine.
  """

  def __init__(self):
    self.released = threading.Event()
    self.events = [engine_adapter.CacheEvent(3, True, 77)]

  def read_cache_events(self, endpoint, address, after_number):
    del endpoint, address
    self.released.wait(MAX_WAIT_S)
    return [event for event in self.events if event.number > after_number]


class TestEnginePoller(unittest.TestCase):

  def test_events_read_after_the_time_limit_are_returned_by_the_next_poll(self):
    reader = SlowReader()
    # With one thread, the late read ends before that of the next poll begins.
    with mock.patch.object(engine_poller, 'POLL_THREADS', 1):
      poller = engine_poller.EnginePoller('entry-0', reader)
    self.addCleanup(poller.stop)
    poller.assign((HOST,), ['entry-0'])
    self.assertEqual((), poller.poll_caches(0.01))
    reader.released.set()
    expected = messages.CacheSeen('engine-0', (77,), ())
    self.assertEqual((expected,), poller.poll_caches(MAX_WAIT_S))


if __name__ == '__main__':
  unittest.main()
