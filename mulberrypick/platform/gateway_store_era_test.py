"""Tests of gateways whose store comes back from an older copy."""

import asyncio
from unittest import mock

from mulberrypick.core import errors
from mulberrypick.core import store_era
from mulberrypick.ops import hosts_task
from mulberrypick.ops import stage_task
from mulberrypick.platform import gateway_relay_test
from mulberrypick.platform import gateway_test
from mulberrypick.platform import protocol
from mulberrypick.platform import store
from standins import fleet_store
from standins import gateway_cluster

AWAY_S = 0.2
# Time until the operator and the endpoints have written again.
REWRITE_S = 0.8
# A change must be known everywhere within this time.
MAX_CHANGE_S = 2.0
FINGERPRINT = 0xABCDEF


class StoreEraTestCase(gateway_test.GatewayTestCase):
  """Starts a store that states its era."""

  async def asyncSetUp(self):
    self.enterContext(mock.patch.object(fleet_store.FleetStore, 'first_era', 1))
    self.enterContext(mock.patch.object(hosts_task, 'RESTORE_WITHIN_S', 0.2))
    await super().asyncSetUp()
    self.store = self.cluster.store

  def put_config(self, version: int):
    config = gateway_cluster.make_config(version)
    self.store.put('config', 'main', config)

  def config_versions(self) -> set[int]:
    gateways = self.gateway_by_name.values()
    return {g.state.config.version for g in gateways}

  async def come_back(
      self, copy: fleet_store.StoreCopy, away_s: float = AWAY_S
  ):
    await self.store.come_back_older(copy, away_s, REWRITE_S)

  async def wait_for_change(self, condition):
    async with asyncio.timeout(MAX_CHANGE_S):
      while not condition():
        await asyncio.sleep(0.01)


class OneGatewayTest(StoreEraTestCase):

  async def test_configuration_does_not_go_back(self):
    copy = self.store.copy()
    self.put_config(2)
    await self.wait_for_change(lambda: self.config_versions() == {2})
    coming_back = asyncio.create_task(self.come_back(copy))
    while not coming_back.done():
      self.assertEqual(self.config_versions(), {2})
      await asyncio.sleep(0.01)
    self.put_config(3)
    await self.wait_for_change(lambda: self.config_versions() == {3})

  async def check_new_endpoint(self, away_s: float):
    copy = self.store.copy()
    entry = self.cluster.replica_by_name['desk-1'].entry()
    self.store.put('servers', 'desk-new', entry)
    await self.wait_for_change(lambda: self.has_endpoint('desk-new'))
    coming_back = asyncio.create_task(self.come_back(copy, away_s))
    while not coming_back.done():
      self.assertTrue(self.has_endpoint('desk-new'))
      await asyncio.sleep(0.01)

  async def test_endpoint_that_the_copy_lacks_stays_usable(self):
    await self.check_new_endpoint(AWAY_S)

  async def test_endpoint_that_the_copy_lacks_if_only_watches_are_cut(self):
    await self.check_new_endpoint(0.0)

  async def check_removed_endpoint(self, away_s: float):
    entry = self.cluster.replica_by_name['desk-1'].entry()
    self.store.put('servers', 'desk-old', entry)
    await self.wait_for_change(lambda: self.has_endpoint('desk-old'))
    copy = self.store.copy()
    self.store.remove('servers', 'desk-old')
    await self.wait_for_change(lambda: not self.has_endpoint('desk-old'))
    coming_back = asyncio.create_task(self.come_back(copy, away_s))
    while not coming_back.done():
      self.assertFalse(self.has_endpoint('desk-old'))
      await asyncio.sleep(0.01)

  async def test_endpoint_that_was_removed_does_not_come_back(self):
    await self.check_removed_endpoint(AWAY_S)

  async def test_removed_endpoint_if_only_watches_are_cut(self):
    await self.check_removed_endpoint(0.0)

  def has_endpoint(self, name: str) -> bool:
    return self.gateway.state.endpoints.find(name) is not None

  async def test_change_under_a_revision_that_was_given_out_before(self):
    # Guards against a watch that goes on from a revision of the era before, and
    # lacks what was written under smaller ones since.
    copy = self.store.copy()
    for number in range(5):
      self.store.put('other', f'x{number}', {})
    self.put_config(2)
    await self.wait_for_change(lambda: self.config_versions() == {2})
    coming_back = asyncio.create_task(
        self.store.come_back_older(copy, AWAY_S, 60.0)
    )
    await asyncio.sleep(AWAY_S / 2)
    while self.store.era == 1:
      await asyncio.sleep(0)
    self.put_config(3)
    for number in range(20):
      self.store.put('other', f'x{number}', {})
    await self.wait_for_change(lambda: self.config_versions() == {3})
    coming_back.cancel()

  async def test_entry_of_a_host_is_written_again_once(self):
    copy = self.store.copy()
    await self.start_gateway('host-2')
    await self.wait_for_change(
        lambda: 'host-2' in self.store.names(protocol.HOSTS_KIND)
    )
    await self.come_back(copy)
    await self.wait_for_change(
        lambda: 'host-2' in self.store.names(protocol.HOSTS_KIND)
    )
    await asyncio.sleep(0.5)
    writes = [
        self.store.calls.get((method, protocol.HOSTS_KIND), 0)
        for method in ('POST', 'PUT')
    ]
    # Each host wrote its entry at its start, and one again.
    self.assertEqual(sum(writes), 3)

  async def test_refusal_is_written_again(self):
    watch = self.gateway.state.crash_watch
    copy = self.store.copy()
    now = asyncio.get_running_loop().time()
    for key in (('e1', 1), ('e2', 1)):
      watch.record_break(key, FINGERPRINT, False, now)
    kind = protocol.REFUSALS_KIND
    await self.wait_for_change(lambda: self.store.names(kind))
    for _ in range(2):
      await self.come_back(copy)
      await self.wait_for_change(lambda: self.store.names(kind))

  async def test_requests_are_served_meanwhile(self):
    copy = self.store.copy()
    self.put_config(2)
    await self.wait_for_change(lambda: self.config_versions() == {2})
    coming_back = asyncio.create_task(self.come_back(copy))
    number = 0
    while not coming_back.done():
      number += 1
      answer = await self.call('/unsafe/x', f'r{number}')
      self.assertEqual(answer.status, 200)
      await asyncio.sleep(0.02)

  async def test_orders_after_it_have_higher_fences_and_wait_for_a_term(self):
    self.enterContext(mock.patch.object(stage_task, 'TERM_S', 2.0))
    self.enterContext(mock.patch.object(stage_task, 'GUARD_S', 0.5))
    copy = self.store.copy()
    for name in ('writer-1', 'writer-2'):
      self.store.remove('servers', name)
    reader = self.cluster.replica_by_name['reader']
    await self.wait_until(lambda: reader.orders)
    loop = asyncio.get_running_loop()
    first = reader.orders[0]['fencingToken']
    # The copy lacks the lease; the engines write again that two have left.
    coming_back = asyncio.create_task(
        self.store.come_back_older(copy, AWAY_S, 0.0)
    )
    while self.store.era == 1:
      await asyncio.sleep(0.01)
    back_at = loop.time()
    await coming_back
    task = self.gateway_task('stage')
    task._plan = type(task._plan)()
    await self.wait_until(lambda: len(reader.orders) > 1)
    self.assertGreaterEqual(
        loop.time() - back_at, stage_task.TERM_S + stage_task.GUARD_S
    )
    self.assertGreater(reader.orders[1]['fencingToken'], first)
    self.assertGreater(
        reader.orders[1]['fencingToken'], 2 * stage_task.FENCES_PER_ERA
    )

  def gateway_task(self, _: str) -> stage_task.StageTask:
    for task in asyncio.all_tasks():
      frame = task.get_coro().cr_frame
      run = frame.f_locals.get('run') if frame is not None else None
      owner = getattr(run, '__self__', None)
      if isinstance(owner, stage_task.StageTask):
        return owner
    raise AssertionError('no stage task')


class RelayedTest(gateway_relay_test.RelayTestCase):
  """Six gateways, of which the members hear of changes from relays."""

  async def asyncSetUp(self):
    self.enterContext(mock.patch.object(fleet_store.FleetStore, 'first_era', 1))
    await super().asyncSetUp()

  def config_versions(self) -> set[int]:
    gateways = self.gateway_by_name.values()
    return {g.state.config.version for g in gateways}

  async def test_next_configuration_is_in_force_everywhere(self):
    copy = self.cluster.store.copy()
    for version in range(2, 12):
      config = gateway_cluster.make_config(version)
      self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.config_versions() == {11})
    await self.cluster.store.come_back_older(copy, AWAY_S, REWRITE_S)
    config = gateway_cluster.make_config(12)
    self.cluster.store.put('config', 'main', config)
    async with asyncio.timeout(MAX_CHANGE_S):
      while self.config_versions() != {12}:
        await asyncio.sleep(0.01)

  async def test_a_host_without_the_store_learns_of_the_era(self):
    name = 'host-6'
    self.disconnect_store(name)
    await self.cluster.store.come_back_older(
        self.cluster.store.copy(), AWAY_S, REWRITE_S
    )
    self.cluster.store.put('servers', 'filler', {})
    era = self.gateway_by_name[name].state.store_era
    await self.wait_until(lambda: era.current == 2)


class NoEraTest(gateway_relay_test.RelayTestCase):
  """A store that states no era, as by the older protocol."""

  async def test_nothing_is_logged_of_eras(self):
    with self.assertNoLogs(store.__name__, 'WARNING'):
      for version in range(2, 5):
        config = gateway_cluster.make_config(version)
        self.cluster.store.put('config', 'main', config)
        await asyncio.sleep(0.3)
    for gateway in self.gateway_by_name.values():
      self.assertFalse(gateway.state.store_era.is_known)


class ClientTest(StoreEraTestCase):

  def make_client(self, current: int) -> store.StoreClient:
    era = store_era.StoreEra()
    era.observe(current)
    client = store.StoreClient('127.0.0.1', self.store.port, era)
    self.addCleanup(client.close)
    return client

  async def test_late_answer_of_an_era_that_has_ended(self):
    client = self.make_client(2)
    with self.assertRaises(errors.OlderStoreError):
      client._read_era(b'1', 1, False)

  async def test_stale_answer_of_an_era_that_has_ended(self):
    with self.assertRaises(errors.OlderStoreError):
      await self.make_client(2).list_objects('servers', may_be_stale=True)

  async def test_era_that_goes_back_or_is_missing(self):
    for era in (1, None):
      with self.subTest(era=era):
        self.store.era = era
        client = self.make_client(2)
        with self.assertLogs(store.__name__, 'WARNING') as lines:
          listed = await client.list_objects('servers')
          await client.list_objects('servers')
        self.assertEqual(store_era.era_of(listed.revision), 2)
        self.assertEqual(len(lines.output), 1)
        self.assertIn('store_era_unusable', lines.output[0])

  async def test_watch_of_another_era_has_no_history(self):
    client = self.make_client(1)
    listed = await client.list_objects('servers')
    self.store.era = 2
    with self.assertRaises(errors.StoreError) as raised:
      await client.watch('servers', listed.revision, 0.0)
    self.assertEqual(raised.exception.status, store.STATUS_HISTORY_GONE)

  async def test_revision_of_another_era_changes_nothing(self):
    client = self.make_client(1)
    written = await client.put_if_revision('x', 'y', {'n': 1}, 0)
    self.store.era = 2
    await client.list_objects('x')
    changed = await client.put_if_revision('x', 'y', {'n': 2}, written.revision)
    self.assertIsNone(changed)
    found = await client.read('x', 'y')
    self.assertEqual(found.spec, {'n': 1})
