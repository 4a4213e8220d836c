"""Tests of stage orders, which switch engines between prefill and decode.

A gateway sends such an order only while it holds the lease in the store. The
store and the engines are simulated.
"""

import asyncio
import unittest

from mulberrypick.core import lease
from mulberrypick.ops import stage_task
from mulberrypick.platform import gateway_test
from mulberrypick.platform import protocol


class StageOrderTest(gateway_test.GatewayTestCase):

  def remove_decoders(self):
    for name in ('writer-1', 'writer-2'):
      self.cluster.store.remove('servers', name)

  async def test_last_prefill_engine_is_ordered_to_decode_once(self):
    # Once the last decode engine is removed, no request can be completed until
    # the prefill engine is ordered to decode.
    self.remove_decoders()
    reader = self.cluster.replica_by_name['reader']
    await self.wait_until(lambda: reader.orders)
    order = reader.orders[0]
    self.assertEqual((order['operation'], order['stage']), ('stage', 'decode'))
    self.assertEqual((order['fencingToken'], order['expected']), (1, 0))
    self.assertTrue(order['holder'].startswith('host-1.'))
    reader.stage = 'decode'
    self.cluster.store.put('servers', 'reader', reader.entry())
    await asyncio.sleep(0.5)
    self.assertEqual(len(reader.orders), 1)

  async def test_lease_of_another_holder_is_respected(self):
    record = lease.LeaseRecord('other.1', 'n', 7, stage_task.TERM_S)
    self.cluster.store.put(
        protocol.LEASES_KIND, protocol.STAGES_LEASE, record._asdict()
    )
    self.remove_decoders()
    await asyncio.sleep(1.5)
    self.assertEqual(self.cluster.replica_by_name['reader'].orders, [])

  async def test_lost_response_to_lease_write_is_resolved_by_reading(self):
    self.cluster.store.drops_write_answers = True
    self.remove_decoders()
    reader = self.cluster.replica_by_name['reader']
    await self.wait_until(lambda: reader.orders)
    self.assertEqual(reader.orders[0]['fencingToken'], 1)


if __name__ == '__main__':
  unittest.main()
