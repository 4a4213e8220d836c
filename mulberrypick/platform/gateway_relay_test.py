"""Tests of many gateways, where relays forward the state of their members."""

import asyncio
import collections
from unittest import mock

from mulberrypick.core import endpoint_registry
from mulberrypick.core import errors
from mulberrypick.core import peer_topology
from mulberrypick.core import store_changes
from mulberrypick.ops import peer_table
from mulberrypick.ops import store_task
from mulberrypick.platform import gateway_test
from mulberrypick.scripts import gateway_app
from standins import fleet_replica
from standins import gateway_cluster

HOSTS = 6
# Time after which no request may be sent to an endpoint that the store removed.
MAX_DRAIN_S = 3.0


class RelayTestCase(gateway_test.GatewayTestCase):
  """Runs six gateways in one zone, which form two groups."""

  async def asyncSetUp(self):
    for name, value in (('MAX_DIRECT_HOSTS', 3), ('GROUP_SIZE', 3)):
      self.enterContext(mock.patch.object(peer_topology, name, value))
    self.store_clients_by_host = collections.defaultdict(list)
    make_client = gateway_app.Gateway._make_store_client

    def make_and_record_client(gateway):
      client = make_client(gateway)
      self.store_clients_by_host[gateway.state.host.name].append(client)
      return client

    self.enterContext(
        mock.patch.object(
            gateway_app.Gateway, '_make_store_client', make_and_record_client
        )
    )
    await super().asyncSetUp()
    for number in range(2, HOSTS + 1):
      await self.start_gateway(f'host-{number}')
    await self.wait_until(self.have_groups_formed)

  def have_groups_formed(self) -> bool:
    roles = [self.neighbors(name).role for name in self.gateway_by_name]
    counts = {g.state.hosts for g in self.gateway_by_name.values()}
    return peer_topology.Role.DIRECT not in roles and counts == {
        len(self.gateway_by_name)
    }

  def neighbors(self, name: str) -> peer_topology.Neighbors:
    return self.gateway_by_name[name]._peers._table.neighbors

  def hosts_with_role(self, role: peer_topology.Role) -> list[str]:
    names = []
    for name in self.gateway_by_name:
      if self.neighbors(name).role is role:
        names.append(name)
    return names

  def reported_store_contact_s(self, name: str) -> float:
    """Returns how long a member's relay has been in contact with the store.

    This is what the relay last reported to the member, 0 if the relay has no
    contact. Without a report it is 1.
    """
    table = self.gateway_by_name[name]._peers._table
    peer = table._peer_by_address.get(table.neighbors.relay)
    return peer.last_message.store_contact_s if peer else 1.0

  def has_endpoint(self, name: str, endpoint: str) -> bool:
    state = self.gateway_by_name[name].state
    return state.endpoints.find(endpoint) is not None

  def disconnect_store(self, name: str) -> None:
    """Fails all calls of one host to the store, also those in progress."""

    async def fail(*args):
      del args
      raise errors.StoreError('test')

    for client in self.store_clients_by_host[name]:
      client._call = fail
      client.close()

  def counts(self) -> set[int]:
    """Returns each host's count of the calls to `desk` that run in the fleet.

    Equal counts are one element, so hosts that agree give a set of one.
    """
    now = asyncio.get_running_loop().time()
    counts = set()
    for gateway in self.gateway_by_name.values():
      count = 0
      for endpoint in gateway.state.endpoints.usable('desk', now):
        count += gateway.state.load.total(endpoint, now).count
      counts.add(count)
    return counts

  def member_calls(self) -> int:
    """Returns the number of calls of all members to the store."""
    calls = 0
    for name in self.hosts_with_role(peer_topology.Role.MEMBER):
      calls += sum(client.calls for client in self.store_clients_by_host[name])
    return calls

  async def change_endpoints(self, count: int) -> None:
    """Adds endpoints, one after the other, and waits until all know them."""
    for number in range(count):
      name = f'added-{number}'
      await self.cluster.add(name, 'desk')
      await self.wait_until(
          lambda name=name: all(
              self.has_endpoint(host, name) for host in self.gateway_by_name
          )
      )


class RelayTest(RelayTestCase):

  async def test_members_learn_changes_without_a_call_to_the_store(self):
    # Guards against a call of each host for each change.
    self.enterContext(
        mock.patch.object(store_task, 'MAX_POLL_INTERVAL_S', 60.0)
    )
    # Members that are waiting go on with the interval that they began with.
    await self.change_endpoints(1)
    before = self.member_calls()
    await self.change_endpoints(5)
    self.cluster.store.put('config', 'main', gateway_cluster.make_config(9))
    await self.wait_until(
        lambda: all(
            gateway.state.config.version == 9
            for gateway in self.gateway_by_name.values()
        )
    )
    await asyncio.sleep(0.5)
    self.assertEqual(self.member_calls() - before, 0)

  async def test_members_read_the_store_if_a_change_was_not_passed_on(self):
    await self.change_endpoints(1)
    with mock.patch.object(
        store_changes.ChangeLog, 'take_unsent', return_value=[]
    ):
      await self.change_endpoints(2)
    before = self.member_calls()
    self.cluster.store.remove('servers', 'added-0')
    await self.wait_until(
        lambda: not any(
            self.has_endpoint(host, 'added-0') for host in self.gateway_by_name
        )
    )
    self.assertLessEqual(self.member_calls() - before, HOSTS)

  async def test_malformed_change_of_a_relay_is_left_out(self):
    # Guards against a message of another host that ends a process.
    bad = store_changes.Change('x', 2, b'{', False)
    batch = store_changes.ChangeBatch('servers', 0, 1 << 40, (bad,))
    members = self.hosts_with_role(peer_topology.Role.MEMBER)
    with self.assertLogs(store_task.__name__, 'WARNING') as lines:
      for name in members:
        self.gateway_by_name[name].state.add_relayed_changes([batch])
      await self.change_endpoints(1)
    text = '\n'.join(lines.output)
    self.assertEqual(text.count('relayed_change_malformed'), len(members))

  async def test_running_calls_are_counted_once_at_every_host(self):
    self.cluster.update_behaviour('desk', work_s=30.0)
    calls = []
    for name, gateway in self.gateway_by_name.items():
      port = gateway.state.host.listen_port
      calls.append(
          asyncio.create_task(
              gateway_cluster.call(
                  port, '/unsafe/x', name, disconnect_after_s=5.0
              )
          )
      )
    await self.wait_until(lambda: self.counts() == {HOSTS})
    for call in calls:
      call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    await self.wait_until(lambda: self.counts() == {0})

  async def test_all_hosts_divide_the_retry_budget_alike(self):
    def counts():
      return {g.state.budget.hosts for g in self.gateway_by_name.values()}

    await self.wait_until(lambda: counts() == {HOSTS})

  async def test_stopped_relay_is_replaced(self):
    relay = next(
        name
        for name in self.hosts_with_role(peer_topology.Role.RELAY)
        if name != 'host-1'
    )
    self.running_by_name[relay].cancel()
    self.gateway_by_name.pop(relay).close()
    await self.wait_until(self.have_groups_formed)
    self.assertNotIn(relay, self.hosts_with_role(peer_topology.Role.RELAY))

  async def test_only_relays_watch_and_members_receive_changes(self):
    members = self.hosts_with_role(peer_topology.Role.MEMBER)
    self.assertGreaterEqual(len(members), HOSTS // 2)
    for name in self.gateway_by_name:
      state = self.gateway_by_name[name].state
      self.assertEqual(state.watches_store, name not in members)
    replica = fleet_replica.FleetReplica('desk-3', 'desk')
    (replica.port,) = gateway_cluster.free_ports(1)
    self.cluster.store.put('servers', 'desk-3', replica.entry())
    for gateway in self.gateway_by_name.values():
      state = gateway.state
      await self.wait_until(
          lambda s=state: s.endpoints.find('desk-3') is not None
      )
    self.cluster.store.remove('servers', 'desk-3')
    for gateway in self.gateway_by_name.values():
      state = gateway.state
      await self.wait_until(lambda s=state: s.endpoints.find('desk-3') is None)

  async def test_members_drop_removed_endpoint_while_relay_lacks_store(self):
    # Members do not watch the store; their relay reports its changes to them.
    # Guards against members that keep a removed endpoint because their relay
    # lost contact with the store, while all other hosts are in contact with it.
    # The timeouts are longer than the test, so that members keep their relay on
    # a busy machine, and do not find the removal by their regular read.
    for module, constant in (
        (peer_topology, 'RELAY_TIMEOUT_S'),
        (peer_table, 'LIVE_TIMEOUT_S'),
        (store_task, 'MAX_POLL_INTERVAL_S'),
    ):
      self.enterContext(mock.patch.object(module, constant, 60.0))
    relay, other_relay = self.hosts_with_role(peer_topology.Role.RELAY)[:2]
    address = f'127.0.0.1:{self.gateway_by_name[relay].state.host.peer_port}'
    members = [
        name
        for name in self.hosts_with_role(peer_topology.Role.MEMBER)
        if self.neighbors(name).relay == address
    ]
    self.assertNotEqual([], members)
    replica = fleet_replica.FleetReplica('desk-3', 'desk')
    (replica.port,) = gateway_cluster.free_ports(1)
    self.cluster.store.put('servers', 'desk-3', replica.entry())
    names = [*members, other_relay]
    for name in names:
      await self.wait_until(lambda n=name: self.has_endpoint(n, 'desk-3'))
    self.disconnect_store(relay)
    for name in members:
      await self.wait_until(lambda n=name: not self.reported_store_contact_s(n))
    self.cluster.store.remove('servers', 'desk-3')
    async with asyncio.timeout(MAX_DRAIN_S):
      for name in names:
        await self.wait_until(lambda n=name: not self.has_endpoint(n, 'desk-3'))

  async def test_members_receive_configuration(self):
    self.cluster.store.put('config', 'main', gateway_cluster.make_config(2))
    for gateway in self.gateway_by_name.values():
      state = gateway.state
      await self.wait_until(lambda s=state: s.config.version == 2)

  async def test_members_drop_what_left_beside_silent_connections(self):
    # Guards against members that take a silent connection of their relay for an
    # outage of the store, and keep an endpoint that has left.
    loop = asyncio.get_running_loop()
    silent_at = loop.time()
    self.cluster.store.silence_connections()
    await asyncio.sleep(0.2)
    self.cluster.store.remove('servers', 'desk-2')
    await self.wait_until(
        lambda: not any(
            self.has_endpoint(name, 'desk-2') for name in self.gateway_by_name
        )
    )
    self.assertLess(loop.time() - silent_at, MAX_DRAIN_S)

  async def test_members_keep_entries_that_expired_during_store_outage(
      self,
  ):
    # On a busy machine the members learn of the outage seconds apart. Each
    # keeps the removed endpoint for 60 s after the outage, so that all of them
    # still have it when it is listed again.
    self.enterContext(
        mock.patch.object(endpoint_registry, 'STORE_RECOVERY_S', 60.0)
    )
    members = self.hosts_with_role(peer_topology.Role.MEMBER)
    self.cluster.store.fail('busy')
    for name in members:
      await self.wait_until(lambda n=name: not self.reported_store_contact_s(n))
    self.cluster.store.remove('servers', 'desk-2')
    self.cluster.store.fail('ok')
    await self.wait_until(
        lambda: all(
            'desk-2'
            in self.gateway_by_name[name].state.endpoints._missing_since
            for name in members
        )
    )
    entry = self.cluster.replica_by_name['desk-2'].entry()
    self.cluster.store.put('servers', 'desk-2', entry)
    await self.wait_until(
        lambda: not any(
            'desk-2'
            in self.gateway_by_name[name].state.endpoints._missing_since
            for name in members
        )
    )
    for name in members:
      endpoints = self.gateway_by_name[name].state.endpoints
      self.assertIsNotNone(endpoints.find('desk-2'))
