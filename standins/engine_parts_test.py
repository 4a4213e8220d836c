"""Tests for the orders and cache events of the simulated engine."""

import time
import unittest

import msgspec

from mulberrypick.core import records
from standins import engine_events
from standins import engine_memory
from standins import engine_orders

TIMEOUT_S = 20.0


class TestOrders(unittest.TestCase):

  def setUp(self):
    self.aborted_names = []

  def make(self, checks_fence=True, role_change_s=0.0):
    settings = engine_orders.Settings('e', 1, checks_fence, role_change_s, 0.0)
    return engine_orders.Orders(
        settings,
        ('m@1', 'm@1+a'),
        records.ROLE_MIXED,
        self.aborted_names.append,
    )

  def send_order(self, orders, sequence, fence=1, action='undrain', **fields):
    order = records.Order('e', sequence, fence, action, '', '', '', '')
    answer = orders.accept(order._replace(**fields))
    return answer.status, msgspec.json.decode(answer.body)

  def wait_until_applied(self, orders):
    deadline = time.monotonic() + TIMEOUT_S
    while orders.state(0).is_changing:
      self.assertLess(time.monotonic(), deadline)
      time.sleep(0.005)
    return orders.state(0)

  def test_old_fences_and_old_sequences_are_refused(self):
    for checks, steps in (
        (True, ['1 5 ok', '2 4 fence', '2 5 ok', '3 6 ok']),
        (False, ['1 5 ok', '2 4 ok', '3 5 ok']),
        (True, ['4 5 ok', '4 5 ok', '3 5 sequence', '5 9 ok', '6 8 fence']),
    ):
      orders = self.make(checks)
      for step in steps:
        sequence, fence, expected = step.split()
        _, body = self.send_order(orders, int(sequence), int(fence))
        with self.subTest(checks=checks, step=step):
          self.assertEqual(body.get('error', 'ok'), expected)
        self.wait_until_applied(orders)

  def test_repeated_order_is_accepted_but_executed_once(self):
    orders = self.make()
    self.send_order(orders, 1, 1, 'load', model='x', version='1')
    self.wait_until_applied(orders)
    status, _ = self.send_order(orders, 1, 2, 'load', model='x', version='1')
    self.assertEqual((status, orders.accepted), (202, 1))
    status, body = self.send_order(orders, 1, 2, 'load', model='x', version='2')
    self.assertEqual((status, body), (409, {'error': 'sequence'}))

  def test_order_during_another_order_is_refused(self):
    orders = self.make(role_change_s=TIMEOUT_S)
    self.send_order(orders, 1, 1, 'role', role='decode')
    status, body = self.send_order(orders, 2, 1)
    self.assertEqual((status, body), (409, {'error': 'changing'}))
    refusal = orders.refusal('m', '')
    self.assertEqual(msgspec.json.decode(refusal.body), {'error': 'role'})

  def test_loads_and_unloads_models(self):
    orders = self.make()
    self.send_order(orders, 1, 1, 'load', model='m', version='2')
    self.wait_until_applied(orders)
    self.send_order(orders, 2, 1, 'unload', model='m', version='1')
    state = self.wait_until_applied(orders)
    self.assertEqual(state.models, ('m@1+a', 'm@2'))
    self.assertEqual(orders.served_models(), ('m+a', 'm'))
    self.send_order(orders, 3, 1, 'unload', model='m', version='2')
    self.wait_until_applied(orders)
    deadline = time.monotonic() + TIMEOUT_S
    while not self.aborted_names:
      self.assertLess(time.monotonic(), deadline)
    # Only unloading the last version of a model aborts its requests.
    self.assertEqual(self.aborted_names, ['m'])


class TestEvents(unittest.TestCase):

  def test_events_are_delayed_and_lost_events_leave_gaps_in_the_numbers(self):
    changes = [engine_memory.Change(True, block) for block in range(400)]
    delayed = engine_events.CacheEvents(60.0, 0.0, 1)
    delayed.add(changes)
    self.assertEqual(delayed.read(0), [])
    lossy = engine_events.CacheEvents(0.0, 0.5, 1)
    lossy.add(changes)
    events = lossy.read(0)
    self.assertTrue(0 < len(events) < 400)
    self.assertTrue(all(e.number == e.block + 1 for e in events))
    self.assertEqual(lossy.read(events[5].number), events[6:])


if __name__ == '__main__':
  unittest.main()
