"""Tests of gateways whose endpoints limit the requests per second."""

import asyncio
import itertools
import unittest

from mulberrypick.platform import gateway_test
from standins import gateway_cluster
from standins import limit_check

LIMIT = 1.5
# Time after which the limit is binding; shorter than on the platform.
STABLE_S = 2.0
# Time for which load is sent: more than `STABLE_S` and two windows.
DURATION_S = 10.0
SEND_INTERVAL_S = 0.02
DESK_HEADERS = {'X-Mulberrypick-Deadline-Ms': '1400'}
ENGINE_HEADERS = DESK_HEADERS | {
    'X-Mulberrypick-Token-Usage': '9000,100',
    'X-Mulberrypick-Prefix-Hash': 'aa:5000,bb:4000',
}


class LimitTestCase(gateway_test.GatewayTestCase):
  """Runs `hosts` gateways and sends load to them in turn."""

  hosts = 1
  wait_timeout_s = 60.0

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.host_by_request: dict[str, str] = {}
    self.told_at_by_host: dict[str, dict[str, float]] = {}
    self.statuses: list[int] = []
    self.retry_afters: list[str | None] = []
    # Long enough that requests overlap and all endpoints are used.
    self.cluster.update_behaviour('desk', work_s=0.05)
    for number in range(2, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    for gateway in self.gateway_by_name.values():
      await self.wait_until(lambda g=gateway: g.state.hosts == self.hosts)

  def limit(self, *names: str) -> None:
    """Lets endpoints name the limit from now on."""
    for name in names:
      self.cluster.replica_by_name[name].limit = LIMIT

  async def send(self, number: int, path: str) -> None:
    names = list(self.gateway_by_name)
    host = names[number % len(names)]
    request = f'r{number}'
    self.host_by_request[request] = host
    headers = DESK_HEADERS if path.startswith('/unsafe') else ENGINE_HEADERS
    answer = await gateway_cluster.call(
        self.gateway_by_name[host].state.host.listen_port,
        path,
        request,
        headers,
        b'body %d' % number,
    )
    self.statuses.append(answer.status)
    if answer.status == 503:
      self.retry_afters.append(answer.headers.get('retry-after'))
    if 'server-limit' in answer.headers:
      sender = answer.headers['x-mulberrypick-server-signature'].split('.')[0]
      told = self.told_at_by_host.setdefault(sender, {})
      told.setdefault(host, asyncio.get_running_loop().time())

  async def send_load(self, paths: tuple[str, ...], duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    path = itertools.cycle(paths)
    tasks = []
    while loop.time() < end_at:
      number = len(self.host_by_request)
      tasks.append(loop.create_task(self.send(number, next(path))))
      # Keeps the numbers of requests unique.
      self.host_by_request[f'r{number}'] = ''
      await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*tasks)

  def worst_window(self, name: str, checked_from: float) -> int:
    """Returns the most requests that an endpoint got in a window."""
    arrivals = []
    for at, request in self.cluster.replica_by_name[name].limited_arrivals:
      # Calls without an id come from a host that is not known here; all hosts
      # that were told count as one.
      host = self.host_by_request.get(request, '')
      arrivals.append(limit_check.Arrival(at, host))
    told = self.told_at_by_host.get(name)
    if told is None:
      # An engine that only reads prompts sends nothing to callers: all hosts
      # count as told when the limit has been binding for a while.
      told = dict.fromkeys(self.gateway_by_name, checked_from)
    told = told | {'': min(told.values())}
    return limit_check.count_worst_window(arrivals, told, checked_from)

  async def check_limited(self, path: str, *names: str) -> None:
    """Checks that limited endpoints get what they asked for at most."""
    await self.send_load((path,), 1.0)
    named_at = asyncio.get_running_loop().time()
    self.limit(*names)
    await self.send_load((path,), DURATION_S)
    allowed = limit_check.allowed_requests(LIMIT)
    for name in names:
      self.assertTrue(self.told_at_by_host.get(name) or 'writer' not in name)
      worst = self.worst_window(name, named_at + STABLE_S)
      self.assertLessEqual(worst, allowed, name)


class OneHostTest(LimitTestCase):

  async def test_limited_endpoint_gets_no_more_than_it_asked_for(self):
    await self.check_limited('/unsafe/x', 'desk-1')
    self.assertEqual(set(self.statuses), {200})

  async def test_limited_decode_engine_gets_no_more_than_it_asked_for(self):
    await self.check_limited('/read/x', 'writer-1')

  async def test_limited_prefill_engine_gets_no_more_than_it_asked_for(self):
    await self.check_limited('/read/x', 'reader')

  async def test_all_endpoints_limited(self):
    await self.check_limited('/unsafe/x', 'desk-1', 'desk-2')
    # Requests beyond the limits are refused at once, with a time to return.
    self.assertEqual(set(self.statuses), {200, 503})
    self.assertNotIn(None, self.retry_afters)
    # The limits are used: at least half of what they allow in the window.
    for name in ('desk-1', 'desk-2'):
      arrivals = self.cluster.replica_by_name[name].limited_arrivals
      used = sum(at > arrivals[-1][0] - DURATION_S / 2 for at, _ in arrivals)
      self.assertGreaterEqual(used, LIMIT * DURATION_S / 2 / 2, name)


class NineHostsTest(LimitTestCase):

  hosts = 9

  async def test_limited_endpoint_gets_no_more_than_it_asked_for(self):
    await self.check_limited('/unsafe/x', 'desk-1')
    self.assertEqual(set(self.statuses), {200})

  async def test_all_endpoints_limited(self):
    await self.check_limited('/unsafe/x', 'desk-1', 'desk-2')


class ChangeTest(LimitTestCase):
  """The limit ends, or the host that issues permits is gone."""

  hosts = 5

  def issuer(self, name: str) -> str:
    """Returns the name of the host that issues permits for an endpoint."""
    gateway = self.gateway_by_name['host-1']
    address = gateway._peers._permits.issuer.issuer_of(name)
    for host, other in self.gateway_by_name.items():
      if other._peers._address == address:
        return host
    raise AssertionError(f'no host has address "{address}"')

  async def test_endpoint_whose_limit_ended_serves_as_before(self):
    self.limit('desk-1', 'desk-2')
    await self.send_load(('/unsafe/x',), 3.0)
    self.assertIn(503, self.statuses)
    for name in ('desk-1', 'desk-2'):
      self.cluster.replica_by_name[name].limit = 0.0
    await self.send_load(('/unsafe/x',), 3.0)
    self.statuses.clear()
    await self.send_load(('/unsafe/x',), 1.0)
    self.assertEqual(set(self.statuses), {200})
    for gateway in self.gateway_by_name.values():
      self.assertEqual(gateway.state.limits.limited(), [])

  async def test_limit_is_kept_while_its_issuer_is_killed(self):
    named_at = asyncio.get_running_loop().time()
    self.limit('desk-1', 'desk-2')
    await self.send_load(('/unsafe/x',), 4.0)
    killed = self.issuer('desk-1')
    if killed == 'host-1':
      self.running.cancel()
    else:
      self.running_by_name[killed].cancel()
    self.gateway_by_name.pop(killed).close()
    self.statuses.clear()
    await self.send_load(('/unsafe/x',), 9.0)
    for name in ('desk-1', 'desk-2'):
      worst = self.worst_window(name, named_at + STABLE_S)
      self.assertLessEqual(worst, limit_check.allowed_requests(LIMIT), name)
    # The successor issues permits once all hosts know it.
    arrivals = self.cluster.replica_by_name['desk-1'].limited_arrivals
    now = asyncio.get_running_loop().time()
    self.assertTrue([at for at, _ in arrivals if at > now - 3.0])


class ThirtyHostsTest(LimitTestCase):
  """Relays forward between groups what a gateway learned."""

  hosts = 30

  async def test_limited_endpoint_gets_no_more_than_it_asked_for(self):
    await self.check_limited('/unsafe/x', 'desk-1')

  async def test_all_engines_limited(self):
    await self.check_limited('/read/x', 'reader', 'writer-1', 'writer-2')


if __name__ == '__main__':
  unittest.main()
