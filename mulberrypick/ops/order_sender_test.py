"""Tests of sending orders whose intent was written late.

An intent is an order that is stored in the platform before it is sent. If the
answer to its write is lost, the write may still take effect later. The order
was then planned on an outdated state of the engine and must not be sent, in
this term of the lease or a later one.
"""

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
  """A platform that can delay a write whose answer is lost.

  Attributes:
    delays_writes: Whether a write takes effect only when `apply_late_write` is
      called.
    late_write: Arguments of the delayed write.
  """

  def __init__(self):
    super().__init__()
    self.delays_writes = False
    self.late_write = ()

  def put(self, key, value, expected_version):
    if not self.delays_writes:
      return super().put(key, value, expected_version)
    self.late_write = (key, value, expected_version)
    raise errors.PlatformAnswerLostError('late')

  def apply_late_write(self):
    self.delays_writes = False
    self.put(*self.late_write)


class FakeEngine:
  """Records the orders that it receives."""

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
    """Settles the orders to an engine that the sender does not know yet.

    The first call only reads whether the engine has an intent. Orders may only
    be planned on an engine state that was read after that.
    """
    self.settle()
    return self.settle()

  def issue_with_late_intent(self, fence):
    """Starts a term and issues an order whose intent is written late."""
    self.sender.begin_term(fence)
    self.assertTrue(self.settle_new_engine())
    self.platform.delays_writes = True
    self.issue(fence)
    self.platform.apply_late_write()

  def test_an_intent_written_late_in_an_earlier_term_is_not_sent(self):
    self.issue_with_late_intent(1)
    self.sender.begin_term(2)
    self.assertTrue(self.settle())
    self.assertEqual([], self.engine.orders)
    self.issue(2)
    # The late intent of term 1 has used sequence number 1.
    sent = [(order.fence, order.sequence) for order in self.engine.orders]
    self.assertEqual([(2, 2)], sent)

  def test_an_intent_written_late_in_the_same_term_is_not_sent(self):
    self.issue_with_late_intent(1)
    # The first call reads and discards the late intent. The next order may only
    # be planned on an engine state that was read after that.
    self.assertFalse(self.settle())
    self.assertTrue(self.settle())
    self.assertEqual([], self.engine.orders)


if __name__ == '__main__':
  unittest.main()
