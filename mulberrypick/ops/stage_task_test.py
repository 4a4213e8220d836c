"""Tests of which hosts see to the balance of the stages."""

import asyncio
import random
import unittest
from unittest import mock

from mulberrypick.adapters import boot_clock
from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import gateway_records
from mulberrypick.core import lease
from mulberrypick.core import pending_reads
from mulberrypick.core import stage_balance
from mulberrypick.core import stage_planner
from mulberrypick.ops import gateway_state
from mulberrypick.ops import stage_task
from mulberrypick.platform import store
from standins import gateway_cluster

PREFILL = gateway_records.Stage.PREFILL
DECODE = gateway_records.Stage.DECODE


class _AskedBalance(stage_balance.StageBalance):
  """Remembers the engines that it was asked about; orders the last decoder."""

  def __init__(self):
    super().__init__()
    self.names: list[str] = []

  def decide(self, uses, now):
    del now
    self.names = sorted(use.endpoint.name for use in uses)
    return [stage_planner.StageOrder(uses[-1].endpoint, PREFILL)]


class DecideTest(unittest.IsolatedAsyncioTestCase):

  def setUp(self):
    host = gateway_cluster.GatewayCluster().make_host()
    self.state = gateway_state.GatewayState(host, random.Random(1))
    self.state.hosts = 9
    make = endpoint_registry_test.make_endpoint
    self.engines = [make('p1', stage=PREFILL)]
    for number in range(4):
      self.engines.append(make(f'd{number}', stage=DECODE))
    self.state.endpoints.replace_all(self.engines, 0.0)
    for engine in self.engines:
      read = pending_reads.PendingRead(1, 1_000, float('inf'), float('inf'))
      self.state.load.own(engine).reads.add(1, read)
    self.task = stage_task.StageTask(self.state, None)
    self.balance = self.task._balance = _AskedBalance()

  async def test_the_first_host_decides_for_all_engines_that_are_well(self):
    now = asyncio.get_running_loop().time()
    self.state.endpoints.suspend_silent(self.engines[2], now)
    self.assertEqual(len(self.task._decide()), 1)
    self.assertEqual(self.balance.names, ['d0', 'd2', 'd3', 'p1'])

  async def test_other_hosts_decide_nothing(self):
    self.state.rank_among_hosts = 1
    self.assertEqual(self.task._decide(), [])

  async def test_next_hosts_observe_the_load_and_others_do_not(self):
    # Guards against a successor that orders nothing for the 20 s for which it
    # does not know the decode load.
    for rank, names in ((1, 5), (stage_task.STANDBY_HOSTS, 5), (3, 0)):
      self.balance.names = []
      self.state.rank_among_hosts = rank
      self.assertEqual(self.task._decide(), [])
      self.assertEqual(len(self.balance.names), names, rank)

  async def test_a_host_that_misses_many_others_decides_nothing(self):
    self.state.hosts, self.state.missed_hosts = 7, 2
    self.assertEqual(len(self.task._decide()), 1)
    self.state.hosts, self.state.missed_hosts = 6, 3
    self.assertEqual(self.task._decide(), [])

  async def test_engines_that_leave_get_no_orders(self):
    self.state.endpoints.last_drain_s = 5.0
    for engine in self.engines[1:]:
      self.state.endpoints.record_said_leaving(engine.incarnation, 0.0)
    self.task._decide()
    self.assertEqual(self.balance.names, ['p1'])

  async def test_the_lease_of_another_host_is_not_read_at_each_check(self):
    client = _HeldLease()
    self.task = stage_task.StageTask(self.state, client)
    self.task._balance = self.balance
    for _ in range(5):
      due = self.task._decide()
      if due:
        await self.task._send_orders(due)
    self.assertEqual(client.reads, 1)

  async def test_the_last_holder_takes_the_lease_again_at_once(self):
    # Guards against an order that waits for the guard time of a stranger's term
    # while the only decode engine is full.
    client = _HeldLease()
    self.task = stage_task.StageTask(self.state, client)
    await self.task._acquire_lease()
    self.assertEqual(client.writes, 0)
    own = _HeldLease(self.task._lease.owner)
    self.task._client = own
    self.task._lease = lease.Lease(own.owner)
    # An older copy of the store may have lost the term of another host.
    self.state.store_era.current = 2
    self.task._observe_era()
    await self.task._acquire_lease()
    self.assertEqual(own.writes, 0)
    self.task._era_seen_at -= stage_task.TERM_S + stage_task.GUARD_S
    await self.task._acquire_lease()
    self.assertEqual(own.writes, 1)
    self.assertTrue(self.task._can_send_order())

  async def test_engine_that_does_not_execute_an_order_gets_no_other(self):
    engine = self.engines[-1]
    self.task._record_order(engine)
    self.assertFalse(self.task._may_change(engine))
    self.assertTrue(self.task._may_change(engine._replace(started_ms=99)))
    later = boot_clock.boot_time() + stage_task.MIN_STAGE_S
    with mock.patch.object(boot_clock, 'boot_time', lambda: later):
      self.assertTrue(self.task._may_change(engine))


class _HeldLease:
  """A store whose lease another host holds."""

  def __init__(self, owner: str = 'other.1'):
    self.reads = 0
    self.writes = 0
    self.owner = owner

  async def read(self, kind: str, name: str) -> store.StoredObject:
    self.reads += 1
    record = lease.LeaseRecord(self.owner, 'n', 7, stage_task.TERM_S)
    return store.StoredObject(name, 5, record._asdict(), False)

  async def put_if_revision(
      self, kind: str, name: str, spec, revision: int
  ) -> store.StoredObject:
    self.writes += 1
    return store.StoredObject(name, revision + 1, spec, False)


if __name__ == '__main__':
  unittest.main()
