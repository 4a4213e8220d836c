"""Tests of leaving endpoints beside silent connections and store outages."""

import asyncio
import unittest

from mulberrypick.core import endpoint_registry
from mulberrypick.platform import gateway_test

SEND_INTERVAL_S = 0.02
# Time within which a host must follow the store again after its connections
# went silent.
STEADY_S = 3.0
# Time for which requests may reach an endpoint after its entry changed.
DRAIN_S = 2.0
# Time that the store is away; all entries expire meanwhile.
AWAY_S = 6.0
# Time after its return at which the entries are written again.
REGISTERED_AFTER_S = 1.6
LATEST_ARRIVAL_S = 5.0


class StoreTroubleTestCase(gateway_test.GatewayTestCase):
  """Sends requests to plain endpoints all the time."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    # Requests overlap, so that all endpoints are used.
    self.cluster.update_behaviour('desk', work_s=0.05)
    self.statuses: list[int] = []
    self.loop = asyncio.get_running_loop()
    self.load = asyncio.create_task(self.send_load())
    self.addCleanup(self.load.cancel)

  async def send_load(self) -> None:
    calls = set()
    number = 0
    while True:
      number += 1
      call = asyncio.create_task(self.send(f'r{number}'))
      calls.add(call)
      call.add_done_callback(calls.discard)
      await asyncio.sleep(SEND_INTERVAL_S)

  async def send(self, request: str) -> None:
    answer = await self.call('/safe/x', request)
    self.statuses.append(answer.status)

  def replica(self, name: str):
    return self.cluster.replica_by_name[name]

  def last_arrival_after(self, name: str, since: float) -> float:
    """Returns when a request reached an endpoint last, after a time (s)."""
    return self.replica(name).arrived_at - since


class SilenceTest(StoreTroubleTestCase):
  """All connections to the store go silent; new ones work at once."""

  async def check_leaving(self, after_s: float, entry=None) -> None:
    """Lets an endpoint leave some time after the silence.

    Args:
      after_s: Time between the two.
      entry: Its entry from then on; None if it is removed.
    """
    silent_at = self.loop.time()
    self.assertGreater(self.cluster.store.silence_connections(), 0)
    await asyncio.sleep(after_s)
    changed_at = self.loop.time()
    if entry is None:
      self.cluster.store.remove('servers', 'desk-1')
    else:
      self.cluster.store.put('servers', 'desk-1', entry)
    await asyncio.sleep(STEADY_S + DRAIN_S)
    bound_at = max(silent_at + STEADY_S, changed_at + DRAIN_S)
    self.assertLess(self.last_arrival_after('desk-1', bound_at), 0.0)
    self.assertEqual(set(self.statuses), {200})

  async def test_endpoint_removed_right_after_the_silence(self):
    # Guards against taking a silent connection for an outage of the store, in
    # which entries expire and are kept for a while.
    await self.check_leaving(0.2)

  async def test_endpoint_removed_before_the_silence_is_noticed(self):
    await self.check_leaving(1.0)

  async def test_endpoint_that_drains_after_the_silence(self):
    # Guards against noticing a silent connection too late.
    entry = self.replica('desk-1').entry() | {'state': 'draining'}
    await self.check_leaving(0.2, entry)

  async def test_silence_again_and_again(self):
    # Guards against a time for which missing entries are kept that each failed
    # call makes longer.
    for _ in range(2):
      self.cluster.store.silence_connections()
      await asyncio.sleep(2.5)
    await self.check_leaving(0.2)


class OutageTest(StoreTroubleTestCase):

  async def test_entries_that_expired_in_an_outage_are_kept(self):
    # Guards against dropping at once what is missing after an outage, and
    # against using for long what does not come back.
    store = self.cluster.store
    entries = {
        name: replica.entry()
        for name, replica in self.cluster.replica_by_name.items()
    }
    store.fail('reset')
    await asyncio.sleep(AWAY_S / 2)
    for name in entries:
      store.remove('servers', name)
    await asyncio.sleep(AWAY_S / 2)
    store.fail('ok')
    back_at = self.loop.time()
    await asyncio.sleep(REGISTERED_AFTER_S)
    self.assertGreater(self.last_arrival_after('desk-2', back_at), 0.0)
    for name, entry in entries.items():
      if name != 'desk-2':
        store.put('servers', name, entry)
    await asyncio.sleep(LATEST_ARRIVAL_S)
    self.assertEqual(set(self.statuses), {200})
    late_s = self.last_arrival_after('desk-2', back_at)
    self.assertLess(late_s, 2 * endpoint_registry.STORE_RECOVERY_S)


if __name__ == '__main__':
  unittest.main()
