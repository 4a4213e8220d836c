"""Tests of gateways whose endpoints run several software versions."""

import asyncio
import unittest
from unittest import mock

from mulberrypick.core import gateway_records
from mulberrypick.ops import version_exchange
from mulberrypick.platform import gateway_test
from standins import event_versions
from standins import gateway_cluster

HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '20000',
    'X-Mulberrypick-Token-Usage': '220,70',
    'X-Mulberrypick-Prefix-Hash': 'aa:80,bb:140',
}
DECODE = gateway_records.Stage.DECODE
EVENTS = 60
REPLY_TIMEOUT_S = 2.0
INTERVAL_S = 0.01
# Events after which callers disconnect in the middle of a stream.
BEGIN_EVENTS = 3
# Time limits that do not end a stream while many gateways share one process.
TIMEOUT_MS = 20_000
# Streams that are taken up in one test.
STREAMS = 12


class VersionTestCase(gateway_test.GatewayTestCase):
  """Runs `hosts` gateways before two engines of each of two versions."""

  hosts = 1
  wait_timeout_s = 60.0

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.cluster.add('writer-3', 'engine', 'decode', 'v2')
    await self.cluster.add('writer-4', 'engine', 'decode', 'v2')
    self.enterContext(
        mock.patch.object(version_exchange, 'REPLY_TIMEOUT_S', REPLY_TIMEOUT_S)
    )
    config = gateway_cluster.make_config(2)
    for route in config['routes']:
      route |= {'timeoutMs': TIMEOUT_MS, 'targetLatencyMs': TIMEOUT_MS}
    self.cluster.store.put('config', 'main', config)
    for number in range(2, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    for gateway in self.gateway_by_name.values():
      await self.wait_until(lambda g=gateway: self.knows_all(g))
    self.parts_by_version = await self.find_parts()
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=INTERVAL_S
    )

  def knows_all(self, gateway) -> bool:
    state = gateway.state
    return (
        state.hosts == self.hosts
        and state.config.version == 2
        and len(list(state.endpoints.all())) == 7
    )

  async def ask(
      self,
      host: str,
      request: str,
      headers: dict[str, str] | None = None,
      disconnect_after_events: int | None = None,
      body: bytes = b'question',
  ) -> gateway_cluster.Answer:
    port = self.gateway_by_name[host].state.host.listen_port
    return await gateway_cluster.call(
        port,
        '/ask/x',
        request,
        HEADERS | (headers or {}),
        body,
        disconnect_after_events=disconnect_after_events,
    )

  async def begin(
      self, host: str, request: str, version: str = 'v1'
  ) -> gateway_cluster.Answer:
    """Begins a stream and disconnects after some events.

    Args:
      host: The host that it is sent to.
      request: Id of the request.
      version: The version at which it probably begins.
    """
    parts = {'X-Mulberrypick-Prefix-Hash': self.parts_by_version[version]}
    answer = await self.ask(
        host,
        request,
        parts,
        disconnect_after_events=BEGIN_EVENTS,
        body=request.encode(),
    )
    self.assertFalse(answer.is_whole)
    self.assertGreater(event_versions.last_event_id(answer.body), 1)
    return answer

  def placing_at(self, host: str, version: str):
    """Returns a context in which a host sends all to an engine of a version."""
    state = self.gateway_by_name[host].state
    for endpoint in state.endpoints.all():
      if endpoint.software == version and endpoint.stage is DECODE:
        break
    usual = state.placer.place

    def place(*args):
      return usual(*args)._replace(endpoint=endpoint, prefiller=None)

    return mock.patch.object(state.placer, 'place', place)

  async def find_parts(self) -> dict[str, str]:
    """Returns a prompt for each version that is placed there if all is idle."""
    parts_by_version: dict[str, str] = {}
    self.cluster.update_behaviour('engine', events=2, event_interval_s=0.0)
    number = 0
    while len(parts_by_version) < 2:
      number += 1
      parts = {'X-Mulberrypick-Prefix-Hash': f'{number:x}:80,bb:140'}
      answer = await self.ask('host-1', f'find-{number}', parts)
      (version,) = event_versions.versions(answer.body)
      parts_by_version[version] = parts['X-Mulberrypick-Prefix-Hash']
    return parts_by_version

  async def take_up(
      self, host: str, request: str, begun: gateway_cluster.Answer
  ) -> gateway_cluster.Answer:
    """Takes up the stream that `begun` is the beginning of.

    Its prompt is one that is usually placed at the other version.
    """
    last = event_versions.last_event_id(begun.body)
    (version,) = event_versions.versions(begun.body)
    other = 'v2' if version == 'v1' else 'v1'
    headers = {
        'Resumes': request,
        'Last-Event-Id': str(last),
        'X-Mulberrypick-Prefix-Hash': self.parts_by_version[other],
    }
    return await self.ask(
        host, f'{request}-again', headers, body=request.encode()
    )


class OneAnswerTest(VersionTestCase):

  async def test_broken_stream_is_not_continued_by_another_version(self):
    for number in range(STREAMS):
      self.cluster.update_behaviour('engine', mode='torn')
      answer = await self.ask('host-1', f'r{number}')
      self.assertEqual(answer.status, 200)
      self.assertEqual(len(event_versions.versions(answer.body)), 1)

  async def test_broken_stream_is_continued_by_the_same_version(self):
    for replica in self.cluster.replica_by_name.values():
      if replica.name in ('writer-1', 'writer-3'):
        replica.behaviour = replica.behaviour._replace(mode='torn')
    for number in range(STREAMS):
      answer = await self.ask('host-1', f'r{number}', body=b'%d' % number)
      self.assertTrue(answer.is_whole)
      self.assertEqual(event_versions.last_event_id(answer.body), EVENTS)
      self.assertEqual(len(event_versions.versions(answer.body)), 1)

  async def test_stream_ends_if_no_endpoint_of_its_version_is_left(self):
    for name in ('writer-2', 'writer-4'):
      self.cluster.store.remove('servers', name)
    await self.wait_until(
        lambda: len(list(self.gateway.state.endpoints.all())) == 5
    )
    self.cluster.update_behaviour('engine', mode='torn')
    answer = await self.ask('host-1', 'r1')
    self.assertFalse(answer.is_whole)
    self.assertEqual(len(event_versions.versions(answer.body)), 1)

  async def test_stalled_stream_is_not_continued_by_another_version(self):
    self.cluster.update_behaviour('engine', mode='still')
    answer = await self.ask('host-1', 'r1')
    self.assertEqual(len(event_versions.versions(answer.body)), 1)


class TakenUpTest(VersionTestCase):
  """Callers come back to the host that began the stream, and to others."""

  hosts = 3

  async def check_taken_up(self, begin_at: str, return_to: str) -> None:
    """Checks that most streams go on, and all of them at their version."""
    gone_on = 0
    for number in range(STREAMS):
      request = f'{begin_at}-{number}'
      version = ('v1', 'v2')[number % 2]
      begun = await self.begin(begin_at, request, version)
      rest = await self.take_up(return_to, request, begun)
      versions = event_versions.versions(begun.body + rest.body)
      self.assertEqual(len(versions), 1, request)
      gone_on += rest.is_whole and rest.status == 200
    self.assertGreaterEqual(gone_on, STREAMS // 2)

  async def test_stream_is_taken_up_at_the_same_host(self):
    await self.check_taken_up('host-1', 'host-1')

  async def test_stream_is_taken_up_at_another_host(self):
    await self.check_taken_up('host-1', 'host-2')

  async def test_stream_of_a_killed_host_is_taken_up(self):
    begun_by_request = {}
    for number in range(STREAMS):
      request = f'r{number}'
      version = ('v1', 'v2')[number % 2]
      begun = await self.begin('host-2', request, version)
      begun_by_request[request] = begun
    self.running_by_name['host-2'].cancel()
    self.gateway_by_name['host-2'].close()
    gone_on = 0
    for request, begun in begun_by_request.items():
      rest = await self.take_up('host-3', request, begun)
      versions = event_versions.versions(begun.body + rest.body)
      self.assertEqual(len(versions), 1, request)
      gone_on += rest.is_whole and rest.status == 200
    self.assertGreaterEqual(gone_on, STREAMS // 2)

  async def test_stream_is_not_taken_up_at_another_version(self):
    begun = await self.begin('host-1', 'r1')
    (version,) = event_versions.versions(begun.body)
    for replica in list(self.cluster.replica_by_name.values()):
      if replica.stage == 'decode' and replica.software == version:
        self.cluster.store.remove('servers', replica.name)
    await self.wait_until(
        lambda: len(list(self.gateway.state.endpoints.all())) == 5
    )
    rest = await self.take_up('host-1', 'r1', begun)
    self.assertEqual(rest.status, 503)
    fresh = await self.ask('host-1', 'r2')
    self.assertTrue(fresh.is_whole)

  async def test_stream_of_unknown_version_is_refused(self):
    headers = {'Resumes': 'unknown', 'Last-Event-Id': '3'}
    answer = await self.ask('host-1', 'r1', headers)
    self.assertEqual(answer.status, 503)
    answer = await self.ask('host-1', 'r2', {'Last-Event-Id': '3'})
    self.assertEqual(answer.status, 503)

  async def test_id_of_another_caller_does_not_bind_a_stream(self):
    begun = await self.begin('host-1', 'same')
    other = await self.ask(
        'host-2', 'same', disconnect_after_events=BEGIN_EVENTS, body=b'other'
    )
    self.assertGreater(event_versions.last_event_id(other.body), 1)
    rest = await self.take_up('host-3', 'same', begun)
    versions = event_versions.versions(begun.body + rest.body)
    self.assertEqual(len(versions), 1)
    self.assertTrue(rest.is_whole)

  async def test_id_that_began_two_streams_binds_none(self):
    for version in ('v1', 'v2'):
      with self.placing_at('host-1', version):
        begun = await self.begin('host-1', 'same', version)
      self.assertEqual(event_versions.versions(begun.body), {version})
    rest = await self.take_up('host-2', 'same', begun)
    self.assertEqual(rest.status, 503)
    self.assertIn(b'"version_unknown"', rest.body)


class ThirtyHostsTest(TakenUpTest):
  """The hosts form groups with relays."""

  hosts = 30


class OneVersionTest(gateway_test.GatewayTestCase):

  async def test_unknown_stream_goes_on_if_one_version_served_for_long(self):
    self.gateway.state.versions.set_lifetime(0.2, 0.0)
    await asyncio.sleep(0.3)
    headers = HEADERS | {'Resumes': 'unknown', 'Last-Event-Id': '3'}
    answer = await self.call('/ask/x', 'r1', headers=headers)
    self.assertEqual(answer.status, 200)
    self.assertTrue(answer.is_whole)

  async def test_unknown_stream_is_refused_by_a_host_that_just_started(self):
    headers = HEADERS | {'Resumes': 'unknown', 'Last-Event-Id': '3'}
    answer = await self.call('/ask/x', 'r1', headers=headers)
    # A host that started a moment ago can't know which versions there were.
    self.assertEqual(answer.status, 503)


if __name__ == '__main__':
  unittest.main()
