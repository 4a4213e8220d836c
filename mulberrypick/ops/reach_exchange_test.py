"""Tests of what hosts tell each other of their connections to endpoints."""

import asyncio
import random
import unittest

from mulberrypick.core import endpoint_reach
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message
from mulberrypick.ops import reach_exchange

REACH = endpoint_reach.Reach


def make_state(name: str) -> gateway_state.GatewayState:
  host = gateway_records.GatewayHost(
      name=name,
      zone='zone-a',
      ip='10.0.0.1',
      listen_port=1,
      ready_ip='10.0.0.1',
      ready_port=2,
      peer_port=3,
      seeds=(),
      store_ip='10.0.0.9',
      store_port=4,
      is_first_start=True,
      bounds=gateway_records.PlatformLimits(8.0, 0.2, 50.0, 10.0),
      forward_port=5,
  )
  return gateway_state.GatewayState(host, random.Random(1))


def make_message(
    name: str, state: REACH = REACH.CONNECTED, zone: str = 'zone-a', **changes
) -> peer_message.PeerMessage:
  report = peer_message.ReachReport(state.value, 0.1, 5, 0)
  return peer_message.PeerMessage(
      host=name,
      zone=zone,
      address=f'{name}:3',
      reach=report._replace(**changes),
  )


class ReachExchangeTest(unittest.IsolatedAsyncioTestCase):

  async def asyncSetUp(self):
    self.state = make_state('host-1')
    self.exchange = reach_exchange.ReachExchange(self.state)
    self.now = asyncio.get_running_loop().time()

  def hear(self, *args, **changes) -> None:
    self.exchange.handle_message(make_message(*args, **changes), self.now)

  def report_at(self, at: float) -> peer_message.ReachReport | None:
    message = peer_message.PeerMessage('host-1', 'zone-a', 'host-1:3')
    self.exchange.fill_message(message, at)
    return message.reach

  async def test_reports_are_sent_at_intervals_and_at_changes(self):
    self.assertIsNotNone(self.report_at(self.now))
    self.assertIsNone(self.report_at(self.now + 0.1))
    self.assertIsNotNone(self.report_at(self.now + 0.3))
    self.state.reach.record_doubt()
    report = self.report_at(self.now + 0.31)
    self.assertEqual(report.state, REACH.SUSPECTED.value)

  async def test_host_that_is_asked_answers_with_a_new_sign(self):
    self.report_at(self.now - 0.1)
    self.hear('host-2', REACH.SUSPECTED)
    self.assertIsNone(self.report_at(self.now + 0.01))
    self.assertTrue(self.state.reach.known.is_probe_due(self.now + 0.01))
    self.state.reach.record_opened()
    self.assertIsNotNone(self.report_at(self.now + 0.02))

  async def test_hosts_that_are_apart_or_leaving_do_not_help(self):
    for name in ('host-2', 'host-3', 'host-4'):
      self.hear(name)
    self.hear('host-3', REACH.APART)
    self.hear('host-2', REACH.SUSPECTED)
    leaving = make_message('host-4')
    leaving.is_leaving = True
    self.exchange.handle_message(leaving, self.now)
    usable = self.state.helpers.usable(self.now)
    self.assertEqual([helper.name for helper in usable], ['host-2'])

  async def test_relay_tells_members_that_are_apart_who_helps(self):
    self.hear('far', zone='zone-b')
    self.hear('busy', taken=9)
    self.hear('near')
    self.hear('member', REACH.APART)
    message = make_message('member', REACH.APART)
    report = self.exchange.helpers_for(message, self.now)
    names = [helper.host for helper in report.helpers]
    self.assertEqual(names, ['near', 'busy', 'far'])
    self.hear('member', REACH.SUSPECTED)
    self.assertIsNotNone(self.exchange.helpers_for(message, self.now))
    sound = make_message('near')
    self.assertIsNone(self.exchange.helpers_for(sound, self.now))

  async def test_member_uses_the_helpers_of_its_relay(self):
    helper = peer_message.HelperReport(
        'host-7', 'zone-a', '10.0.0.7', 5, 0, 0.2
    )
    own = helper._replace(host='host-1')
    self.hear('relay', REACH.APART, helpers=(helper, own))
    usable = self.state.helpers.usable(self.now)
    self.assertEqual([helper.name for helper in usable], ['host-7'])


if __name__ == '__main__':
  unittest.main()
