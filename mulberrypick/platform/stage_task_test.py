"""Orders to engines under the lease, against stand-ins."""

import asyncio
import unittest

from mulberrypick.core import lease
from mulberrypick.ops import stage_task
from mulberrypick.platform import gateway_test
from mulberrypick.platform import protocol


class StageOrderTest(gateway_test.GatewayTestCase):

  def lose_decoders(self):
    for name in ('writer-1', 'writer-2'):
      self.town.store.remove('servers', name)

  async def test_last_reader_is_ordered_to_decode_once(self):
    # Found by the hunt on zagovina-pick, trouble-2 with seed 131665260117: the
    # last decoding engine was taken away, and nothing was served any more.
    self.lose_decoders()
    reader = self.town.replica_by_name['reader']
    await self.wait_until(lambda: reader.orders)
    order = reader.orders[0]
    self.assertEqual((order['operation'], order['stage']), ('stage', 'decode'))
    self.assertEqual((order['fencingToken'], order['expected']), (1, 0))
    self.assertTrue(order['holder'].startswith('host-1.'))
    reader.stage = 'decode'
    self.town.store.put('servers', 'reader', reader.entry())
    await asyncio.sleep(0.5)
    self.assertEqual(len(reader.orders), 1)

  async def test_lease_of_another_holder_is_respected(self):
    record = lease.LeaseRecord('other.1', 'n', 7, stage_task.TERM_S)
    self.town.store.put(
        protocol.LEASES_KIND, protocol.STAGES_LEASE, record._asdict()
    )
    self.lose_decoders()
    await asyncio.sleep(1.5)
    self.assertEqual(self.town.replica_by_name['reader'].orders, [])

  async def test_lost_answer_to_the_lease_is_settled_by_reading(self):
    self.town.store.loses_answers = True
    self.lose_decoders()
    reader = self.town.replica_by_name['reader']
    await self.wait_until(lambda: reader.orders)
    self.assertEqual(reader.orders[0]['fencingToken'], 1)


if __name__ == '__main__':
  unittest.main()
