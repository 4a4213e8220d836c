"""Tests of sending orders in successive terms of the lease."""

import time
import unittest

from mulberrypick.adapters import memory_platform
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import lease_holder
from mulberrypick.ops import order_sender

TIMING = order_sender.OrderTiming(2.0, 1.0)
TERM_S = 60.0
ORDER = records.Order('engine-0', 0, 0, records.ACTION_DRAIN, '', '', '', '')
ENGINE = records.EngineState('engine-0', 1, 'mixed', (), 0, 0, False, False, 0)


class LatePlatform(memory_platform.MemoryPlatform):
  """Applies a write only when `apply_late_write` is called."""

  def __init__(self):
    super().__init__()
    self.is_late = False
    self.late_write = ()

  def put(self, key, value, expected_version):
    if not self.is_late:
      return super().put(key, value, expected_version)
    self.late_write = (key, value, expected_version)
    raise errors.PlatformAnswerLostError('late')

  def apply_late_write(self):
    self.is_late = False
    self.put(*self.late_write)


class FakeEngine:
  """Records the orders that arrive."""

  def __init__(self):
    self.orders = []

  def send_order(self, address, order):
    del address
    self.orders.append(order)


class TestOrderSender(unittest.TestCase):

  def setUp(self):
    self.platform = LatePlatform()
    self.engine = FakeEngine()
    self.sender = order_sender.OrderSender(self.platform, self.engine, TIMING)

  def issue(self, fence):
    term = lease_holder.Term(fence, time.monotonic() + TERM_S)
    self.sender.issue(ORDER, 'engine-0:1', 0, term)

  def settle(self):
    return self.sender.settle(ENGINE, time.monotonic())

  def settle_new_engine(self):
    """Settles twice: the engine's stored order is read by the first call."""
    self.settle()
    return self.settle()

  def test_an_intent_written_late_in_an_earlier_term_is_not_sent(self):
    self.sender.begin_term(1)
    self.assertTrue(self.settle_new_engine())
    self.platform.is_late = True
    self.issue(1)
    self.platform.apply_late_write()
    self.sender.begin_term(2)
    self.assertTrue(self.settle())
    self.assertEqual([], self.engine.orders)
    self.issue(2)
    sent = [(order.fence, order.sequence) for order in self.engine.orders]
    self.assertEqual([(2, 2)], sent)

  def test_an_intent_written_late_in_the_same_term_is_not_sent(self):
    self.sender.begin_term(1)
    self.assertTrue(self.settle_new_engine())
    self.platform.is_late = True
    self.issue(1)
    self.platform.apply_late_write()
    self.assertFalse(self.settle())
    self.assertTrue(self.settle())
    self.assertEqual([], self.engine.orders)


if __name__ == '__main__':
  unittest.main()
