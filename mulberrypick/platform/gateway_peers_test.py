"""Tests of two gateways that exchange their state."""

import asyncio
import unittest

from mulberrypick.core import engine_load
from mulberrypick.ops import hosts_task
from mulberrypick.platform import gateway_test
from mulberrypick.scripts import gateway_app


class PeersTest(gateway_test.GatewayTestCase):

  async def start_other(self):
    seed = f'127.0.0.1:{self.host.peer_port}'
    host = self.cluster.make_host('host-2')._replace(seeds=(seed,))
    other = gateway_app.Gateway(host)
    running = asyncio.create_task(other.run())

    async def stop():
      running.cancel()
      await asyncio.gather(running, return_exceptions=True)
      other.close()

    self.addAsyncCleanup(stop)
    await self.wait_until(lambda: other.state.hosts == 2)
    await self.wait_until(lambda: self.gateway.state.hosts == 2)
    return other

  async def test_hosts_discover_each_other_by_seed_and_get_ranks(self):
    other = await self.start_other()
    await self.wait_until(
        lambda: {
            other.state.rank_among_hosts,
            self.gateway.state.rank_among_hosts,
        }
        == {0, 1}
    )

  async def test_configuration_is_fetched_from_peer_during_store_outage(self):
    self.cluster.store.fail('busy')
    other = await self.start_other()
    await self.wait_until(lambda: other.state.config is not None)
    self.assertEqual(
        other.state.config.routes_by_host,
        self.gateway.state.config.routes_by_host,
    )
    self.assertFalse(other.state.is_ready)

  async def test_unreadable_list_of_hosts_is_logged_once(self):
    self.cluster.store.fail('busy')
    with self.assertLogs(hosts_task.__name__, 'WARNING') as lines:
      other = await self.start_other()
      await self.wait_until(lambda: other.state.config is not None)
    warnings = [x for x in lines.output if 'hosts_unread' in x]
    self.assertEqual(len(warnings), 1)

  async def test_running_calls_are_known_at_the_other_host(self):
    self.cluster.update_behaviour('desk', work_s=30.0)
    other = await self.start_other()
    await self.wait_until(lambda: len(list(other.state.endpoints.all())) == 5)
    call_task = asyncio.create_task(
        self.call('/unsafe/x', 'r1', disconnect_after_s=5.0)
    )
    now = asyncio.get_running_loop().time

    def count_known_calls() -> int:
      count = 0
      for endpoint in other.state.endpoints.usable('desk', now()):
        count += other.state.load.total(endpoint, now()).count
      return count

    await self.wait_until(lambda: count_known_calls() == 1)
    call_task.cancel()
    await asyncio.gather(call_task, return_exceptions=True)
    await self.wait_until(lambda: count_known_calls() == 0)

  async def test_leaving_endpoint_is_reported_to_host_without_store(self):
    other = await self.start_other()
    await self.wait_until(lambda: len(list(other.state.endpoints.all())) == 5)
    self.cluster.store.fail('busy')
    await self.wait_until(lambda: other.state.store_contact_since is None)
    now = asyncio.get_running_loop().time()
    self.gateway.state.endpoints.mark_leaving(('desk-1', 1), now)
    self.gateway.state.load_changed.set()
    await self.wait_until(lambda: other.state.endpoints.find('desk-1') is None)

  async def test_host_without_store_reports_no_store_changes(self):
    # A relay that is not yet connected to the store again must not report store
    # changes: a member would take endpoints that expired during the outage for
    # deleted ones.
    state = self.gateway.state
    now = asyncio.get_running_loop().time()
    state.record_store_change('servers', 1_000_000)
    state.store_contact_since = None
    message = self.gateway._peers._build_message(now)
    self.assertEqual(
        (message.store_revision_by_kind, message.store_contact_s), ({}, 0.0)
    )
    state.store_contact_since = now - 0.01
    message = self.gateway._peers._build_message(now)
    self.assertIn('servers', message.store_revision_by_kind)
    self.assertGreater(message.store_contact_s, 0.0)

  async def test_silent_host_still_counts_for_the_retry_budget(self):
    other = await self.start_other()
    await self.wait_until(lambda: other.state.budget.hosts == 2)
    other.close()
    await self.wait_until(lambda: self.gateway.state.hosts == 1)
    self.assertEqual(self.gateway.state.budget.hosts, 2)

  async def test_load_of_silent_host_expires(self):
    state = self.gateway.state
    now = asyncio.get_running_loop().time()
    endpoint = state.endpoints.find('desk-1')
    state.load.update_peer('gone', {'desk-1': engine_load.Load(3, 0, 0)}, now)
    self.assertEqual(state.load.total(endpoint, now).count, 3)
    later = now + engine_load.PEER_TTL_S + 0.1
    self.assertEqual(state.load.total(endpoint, later).count, 0)
    self.assertEqual(state.hosts, 1)


if __name__ == '__main__':
  unittest.main()
