"""Tests of gateways that read odd entries of other writers in the store."""

import asyncio
import unittest
from unittest import mock

import msgspec

from mulberrypick.ops import gateway_peers
from mulberrypick.ops import store_task
from mulberrypick.platform import gateway_test
from mulberrypick.scripts import gateway_app
from standins import gateway_cluster

NESTED = b'[' * 5000 + b']' * 5000
DEEP_OBJECT = b'{"a":' * 5000 + b'1' + b'}' * 5000
HUGE = b'1' + b'0' * 30
ENTRY = (
    b'{"service": "desk", "zone": "z", "version": "v1", "state": "ready",'
    b' "address": %s, "slots": %s, "born": %s, "note": %s}'
)
ADDRESS = b'"127.0.0.1:9"'


def make_entry(address=ADDRESS, slots=b'8', born=b'7', note=b'""') -> bytes:
  return ENTRY % (address, slots, born, note)


ENTRY_BY_NAME = {
    'nested': NESTED,
    'deep': DEEP_OBJECT,
    'nested-address': make_entry(address=NESTED),
    'number-out-of-range': make_entry(slots=b'1e400'),
    'no-utf-8': make_entry(address=b'"\xff"'),
    'port-too-large': make_entry(address=b'"127.0.0.1:70000"'),
    'port-negative': make_entry(address=b'"127.0.0.1:-3"'),
    'port-zero': make_entry(address=b'"127.0.0.1:0"'),
    'port-of-digits': make_entry(address=b'"127.0.0.1:%s"' % (b'9' * 5000)),
    'name-long': make_entry(address=b'"%s:80"' % (b'n' * 300)),
    'name-dot': make_entry(address=b'".:80"'),
    'slots-huge': make_entry(slots=HUGE),
    'slots-nested': make_entry(slots=NESTED),
    'born-huge': make_entry(born=HUGE),
    'born-negative': make_entry(born=b'-1'),
    'text': b'"no object"',
    'null': b'null',
}


class OddEndpointTest(gateway_test.GatewayTestCase):

  async def check_followed(self, gateway, number: int) -> None:
    """Checks that a gateway lists a new endpoint, and serves all requests."""
    name = f'desk-new-{number}'
    await self.cluster.add(name, 'desk')
    await self.wait_until(lambda: gateway.state.endpoints.find(name))
    for request in range(12):
      answer = await gateway_cluster.call(
          gateway.state.host.listen_port, '/unsafe/x', f'r{number}-{request}'
      )
      self.assertEqual(answer.status, 200)
    self.assertFalse(self.running.done())

  async def test_odd_entry_costs_no_more_than_itself(self):
    for number, (name, raw) in enumerate(ENTRY_BY_NAME.items()):
      with self.subTest(entry=name):
        self.cluster.store.put('servers', name, msgspec.Raw(raw))
        await self.check_followed(self.gateway, number)
        self.assertIsNone(self.gateway.state.endpoints.find(name))

  async def test_host_starts_beside_odd_entries(self):
    for name, raw in ENTRY_BY_NAME.items():
      self.cluster.store.put('servers', name, msgspec.Raw(raw))
    other = await self.start_gateway('host-2')
    await self.check_followed(other, 0)

  async def test_endpoint_with_an_odd_field_of_no_use_is_used(self):
    replica = await self.cluster.add('desk-odd', 'desk')
    await self.wait_until(lambda: self.gateway.state.endpoints.find('desk-odd'))
    entry = msgspec.json.encode(replica.entry())
    for note in (NESTED, b'1e400', b'"\xff"'):
      raw = entry[:-1] + b', "note": %s}' % note
      self.cluster.store.put('servers', 'desk-odd', msgspec.Raw(raw))
      other = await self.start_gateway(f'host-{note[:1].decode()}')
      self.assertIsNotNone(other.state.endpoints.find('desk-odd'))


class OddKindsTest(gateway_test.GatewayTestCase):
  """Odd objects of the kinds that gateways write themselves."""

  async def test_host_starts_beside_odd_objects(self):
    address = b'{"zone": "z", "address": "127.0.0.1:99999999"}'
    crash = b'{"crashes": [{"endpoint": "e", "incarnation": %s, %s}]}'
    old = crash % (b'1', b'"crashedAt": 1e308, "hasToken": true')
    large = crash % (HUGE, b'"crashedAt": 1.0, "hasToken": true')
    parts = b'{"parts": [%s], "crashes": [{"endpoint": "e"}]}' % HUGE
    speeds = b'{"speeds": {"engine/v1/read": [1e308, %s]}}'
    for kind, name, raw in (
        ('mulberrypick-hosts', 'host-odd', address),
        ('mulberrypick-hosts', 'host-nested', NESTED),
        ('mulberrypick-refusals', 'f' * 40, old),
        ('mulberrypick-refusals', 'a' * 16, large),
        ('mulberrypick-refusals', 'parts', parts),
        ('mulberrypick-refusals', 'nested', NESTED),
        ('mulberrypick-speeds', 'engines', speeds % (b'9' * 400)),
        ('mulberrypick-evidence', 'e', b'{"writtenAt": %s}' % (b'9' * 400)),
        ('mulberrypick-leases', 'stages', NESTED),
    ):
      self.cluster.store.put(kind, name, msgspec.Raw(raw))
    other = await self.start_gateway('host-2')
    await self.wait_until(lambda: other.state.hosts == 2)
    for request in range(12):
      answer = await gateway_cluster.call(
          other.state.host.listen_port, '/unsafe/x', f'r{request}'
      )
      self.assertEqual(answer.status, 200)
    self.assertFalse(self.running_by_name['host-2'].done())
    self.assertFalse(self.running.done())

  async def test_odd_configuration_leaves_the_present_one_in_force(self):
    config = gateway_cluster.make_config(2)
    config['routes'][0]['timeoutMs'] = msgspec.Raw(b'9' * 400)
    self.cluster.store.put('config', 'main', config)
    self.cluster.store.put('config', 'main', msgspec.Raw(NESTED))
    config = gateway_cluster.make_config(3) | {'note': msgspec.Raw(NESTED)}
    self.cluster.store.put('config', 'main', config)
    await self.wait_until(lambda: self.gateway.state.config.version == 3)
    self.assertFalse(self.running.done())


class UnexpectedErrorTest(gateway_test.GatewayTestCase):

  async def test_task_that_ends_by_an_error_is_started_again(self):
    self.enterContext(mock.patch.object(gateway_app, 'TASK_RESTART_S', 0.01))
    task = store_task.EndpointsTask
    with (
        mock.patch.object(task, 'handle_change', side_effect=RuntimeError('x')),
        self.assertLogs(gateway_app.__name__, 'ERROR') as logged,
    ):
      self.cluster.store.put('servers', 'any', {})
      await asyncio.sleep(0.1)
    self.assertIn('EndpointsTask.run', logged.output[0])
    self.assertIn('RuntimeError', logged.output[0])
    await self.cluster.add('desk-new', 'desk')
    await self.wait_until(lambda: self.gateway.state.endpoints.find('desk-new'))
    self.assertFalse(self.running.done())

  async def test_change_that_always_fails_hides_no_later_one(self):
    self.enterContext(mock.patch.object(gateway_app, 'TASK_RESTART_S', 0.01))
    usual = store_task.EndpointsTask.handle_change

    def handle(task, item):
      if item.name == 'any':
        raise RuntimeError('x')
      usual(task, item)

    with (
        mock.patch.object(store_task.EndpointsTask, 'handle_change', handle),
        self.assertLogs(gateway_app.__name__, 'ERROR'),
    ):
      self.cluster.store.put('servers', 'any', {})
      await self.cluster.add('desk-new', 'desk')
      await self.wait_until(
          lambda: self.gateway.state.endpoints.find('desk-new')
      )

  async def test_message_that_can_not_be_handled_ends_no_host(self):
    other = await self.start_gateway('host-2')
    await self.wait_until(lambda: self.gateway.state.hosts == 2)
    task = gateway_peers.PeerTask
    with (
        self.assertLogs(gateway_peers.__name__, 'ERROR') as logged,
        mock.patch.object(task, '_update_load', side_effect=RuntimeError()),
    ):
      await asyncio.sleep(0.6)
    self.assertLessEqual(len(logged.output), 2)
    self.assertFalse(self.running.done())
    await self.wait_until(lambda: other.state.hosts == 2)

  async def test_address_of_a_host_that_can_not_be_used_ends_no_host(self):
    for address in ('nowhere', '127.0.0.1:99999999', '\0:1', 'n' * 300):
      self.gateway._peers.add_host(address)
    await asyncio.sleep(0.3)
    await self.start_gateway('host-2')
    await self.wait_until(lambda: self.gateway.state.hosts == 2)


if __name__ == '__main__':
  unittest.main()
