"""Tests of streams taken up at a host that missed another software version."""

import asyncio
import collections
import unittest
from unittest import mock

from mulberrypick.core import errors
from mulberrypick.core import stream_versions
from mulberrypick.ops import store_task
from mulberrypick.ops import version_exchange
from mulberrypick.platform import gateway_test
from mulberrypick.scripts import gateway_app
from standins import event_versions
from standins import gateway_cluster

HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '20000',
    'X-Mulberrypick-Token-Usage': '220,70',
    'X-Mulberrypick-Prefix-Hash': 'aa:80,bb:140',
}
EVENTS = 30
BEGIN_EVENTS = 3
STREAMS = 8
# Lifetime of streams in these tests.
LIFETIME_S = 1.0
REPLY_TIMEOUT_S = 0.5
HOSTS = 3
TIMEOUT_MS = 20_000
BEHIND = f'host-{HOSTS}'


class OutOfStepTestCase(gateway_test.GatewayTestCase):
  """Three hosts have known one version for long; the last one is disturbed."""

  async def asyncSetUp(self):
    for name, value in (
        ('STREAM_LIFETIME_S', LIFETIME_S),
        ('LIFETIME_TIMEOUTS', 0.0),
    ):
      self.enterContext(mock.patch.object(stream_versions, name, value))
    self.enterContext(
        mock.patch.object(version_exchange, 'REPLY_TIMEOUT_S', REPLY_TIMEOUT_S)
    )
    self.clients_by_host = collections.defaultdict(list)
    make_client = gateway_app.Gateway._make_store_client

    def make_and_record_client(gateway):
      client = make_client(gateway)
      self.clients_by_host[gateway.state.host.name].append(client)
      return client

    self.enterContext(
        mock.patch.object(
            gateway_app.Gateway, '_make_store_client', make_and_record_client
        )
    )
    await super().asyncSetUp()
    config = gateway_cluster.make_config(2)
    for route in config['routes']:
      route |= {'timeoutMs': TIMEOUT_MS, 'targetLatencyMs': TIMEOUT_MS}
    self.cluster.store.put('config', 'main', config)
    for number in range(2, HOSTS + 1):
      await self.start_gateway(f'host-{number}')
    for gateway in self.gateway_by_name.values():
      state = gateway.state
      await self.wait_until(
          lambda s=state: s.hosts == HOSTS and s.config.version == 2
      )
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=0.01
    )
    await asyncio.sleep(1.2 * LIFETIME_S)

  def cut_from_store(self, host: str) -> None:
    async def fail(*_):
      raise errors.StoreError('cut')

    for client in self.clients_by_host[host]:
      client._call = fail
      client.close()

  def cut_from_hosts(self, host: str) -> None:
    self.gateway_by_name[host]._peers._handle_message = lambda _: None

  async def replace_version(self) -> None:
    """Lets a second version join and the first one leave."""
    for name in ('writer-3', 'writer-4'):
      replica = await self.cluster.add(name, 'engine', 'decode', 'v2')
      replica.behaviour = replica.behaviour._replace(
          events=EVENTS, event_interval_s=0.01
      )
    for name in ('writer-1', 'writer-2'):
      self.cluster.store.remove('servers', name)
    state = self.gateway_by_name['host-1'].state
    await self.wait_until(
        lambda: state.endpoints.find('writer-4')
        and not state.endpoints.find('writer-1')
        and not state.endpoints.find('writer-2')
    )

  async def ask(self, host: str, request: str, **options):
    port = self.gateway_by_name[host].state.host.listen_port
    headers = HEADERS | options.pop('headers', {})
    body = options.pop('body')
    return await gateway_cluster.call(
        port, '/ask/x', request, headers, body, **options
    )

  async def take_up(self, begin_at: str, return_to: str) -> list[int]:
    """Takes up streams, none of which may hold two versions.

    Returns:
      The statuses of the second parts.
    """
    statuses = []
    for number in range(STREAMS):
      request = f'{begin_at}-{return_to}-{number}'
      body = request.encode()
      begun = await self.ask(
          begin_at, request, body=body, disconnect_after_events=BEGIN_EVENTS
      )
      last = event_versions.last_event_id(begun.body)
      self.assertGreater(last, 0)
      headers = {'Resumes': request, 'Last-Event-Id': str(last)}
      rest = await self.ask(
          return_to, f'{request}-again', headers=headers, body=body
      )
      versions = event_versions.versions(begun.body + rest.body)
      self.assertEqual(len(versions), 1, f'{request}: {versions}')
      statuses.append(rest.status)
    return statuses


class OutOfStepTest(OutOfStepTestCase):

  async def test_host_that_is_cut_off_joins_no_versions(self):
    self.cut_from_store(BEHIND)
    self.cut_from_hosts(BEHIND)
    await self.replace_version()
    self.assertEqual(set(await self.take_up('host-1', BEHIND)), {503})

  async def test_host_that_stood_still_joins_no_versions(self):
    # Its tasks have not gone on yet; it can call the store.
    self.cut_from_hosts(BEHIND)
    gone = asyncio.Event()
    usual = store_task.EndpointsTask._handle_changes

    def handle(task, changed):
      if task._state.host.name == BEHIND:
        gone.set()
        return
      usual(task, changed)

    with mock.patch.object(store_task.EndpointsTask, '_handle_changes', handle):
      await self.replace_version()
      await self.wait_until(gone.is_set)
      self.assertEqual(set(await self.take_up('host-1', BEHIND)), {503})

  async def test_stream_goes_on_at_a_host_that_others_tell(self):
    self.cut_from_store(BEHIND)
    await self.replace_version()
    statuses = await self.take_up('host-1', BEHIND)
    # It knows the version, but no endpoint of it.
    self.assertEqual(set(statuses), {503})
    self.assertEqual(set(await self.take_up('host-1', 'host-2')), {200})

  async def test_host_that_lost_its_registrars_goes_on_at_one_version(self):
    self.cut_from_hosts(BEHIND)
    self.assertEqual(set(await self.take_up('host-1', BEHIND)), {200})

  async def test_streams_go_on_while_the_store_is_away(self):
    for host in self.gateway_by_name:
      self.cut_from_store(host)
    self.assertEqual(set(await self.take_up('host-1', BEHIND)), {200})

  async def test_registrars_that_restarted_make_up_for_no_old_list(self):
    self.cut_from_store(BEHIND)
    await self.replace_version()
    begun = await self.ask(
        'host-1', 'r1', body=b'r1', disconnect_after_events=BEGIN_EVENTS
    )
    for name in ('host-1', 'host-2'):
      versions = self.gateway_by_name[name]._peers.versions
      versions._bindings = stream_versions.StreamBindings()
      versions._started_at += 1000.0
    headers = {'Resumes': 'r1', 'Last-Event-Id': '3'}
    rest = await self.ask(BEHIND, 'r2', headers=headers, body=b'r1')
    versions = event_versions.versions(begun.body + rest.body)
    self.assertEqual(len(versions), 1)


class AllHostsKilledTest(OutOfStepTestCase):
  """All hosts end at once and come back; their bindings are gone."""

  async def restart_all(self) -> None:
    hosts = {n: g.state.host for n, g in self.gateway_by_name.items()}
    for name, gateway in self.gateway_by_name.items():
      running = self.running_by_name.get(name, self.running)
      running.cancel()
      await asyncio.gather(running, return_exceptions=True)
      gateway.close()
    for name, host in hosts.items():
      gateway = gateway_app.Gateway(host._replace(is_first_start=False))
      running = asyncio.create_task(gateway.run())
      self.gateway_by_name[name] = gateway
      self.addCleanup(gateway.close)
      self.addCleanup(running.cancel)
    self.running, self.gateway = running, gateway
    for gateway in self.gateway_by_name.values():
      await self.wait_until(lambda g=gateway: g.state.is_ready)

  async def check_taken_up(self) -> None:
    begun_by_request = {}
    for number in range(STREAMS):
      request = f'r{number}'
      begun_by_request[request] = await self.ask(
          f'host-{1 + number % HOSTS}',
          request,
          body=request.encode(),
          disconnect_after_events=BEGIN_EVENTS,
      )
    for name in ('writer-1', 'writer-2'):
      self.cluster.store.remove('servers', name)
    await self.restart_all()
    for number, (request, begun) in enumerate(begun_by_request.items()):
      last = event_versions.last_event_id(begun.body)
      headers = {'Resumes': request, 'Last-Event-Id': str(last)}
      rest = await self.ask(
          f'host-{1 + (number + 1) % HOSTS}',
          f'{request}-again',
          headers=headers,
          body=request.encode(),
      )
      versions = event_versions.versions(begun.body + rest.body)
      self.assertEqual(len(versions), 1, f'{request}: {versions}')
    fresh = await self.ask('host-1', 'fresh', body=b'fresh')
    self.assertEqual(fresh.status, 200)

  async def test_streams_of_two_versions_are_not_joined(self):
    for name in ('writer-3', 'writer-4'):
      replica = await self.cluster.add(name, 'engine', 'decode', 'v2')
      replica.behaviour = replica.behaviour._replace(events=EVENTS)
    await self.check_taken_up()

  async def test_streams_begun_after_the_restart_go_on(self):
    await self.restart_all()
    self.assertEqual(set(await self.take_up('host-1', 'host-2')), {200})


if __name__ == '__main__':
  unittest.main()
