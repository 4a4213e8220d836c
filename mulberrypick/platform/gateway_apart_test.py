"""Tests of gateways that reach no endpoint, while callers reach them."""

import asyncio
import unittest

from mulberrypick.platform import gateway_test
from standins import apart_host
from standins import gateway_cluster

# Time after the begin of a cut from which first tries are compared.
STABLE_S = 3.0
# First tries at hosts that are cut off are to be served at least this often,
# relative to those at the others.
MIN_SERVED_RATIO = 2 / 3
CHECKED_S = 3.0
INTERVAL_S = 0.05
ROUTES = ('unsafe', 'ask', 'safe', 'read')
HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '1400',
    'X-Mulberrypick-Token-Usage': '900,5',
    'X-Mulberrypick-Prefix-Hash': 'aa:500,bb:400',
}
MODE = apart_host.CutMode


class ApartTestCase(gateway_test.GatewayTestCase):
  """Runs `hosts` gateways, of which `apart` can be cut off."""

  hosts = 5
  apart = 3

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.sent = 0
    for number in range(2, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    self.gateways = list(self.gateway_by_name.values())
    for gateway in self.gateways:
      await self.wait_until(lambda g=gateway: g.state.hosts == self.hosts)
    self.links = [
        apart_host.ApartHost(gateway) for gateway in self.gateways[: self.apart]
    ]

  def cut(self, mode: apart_host.CutMode) -> None:
    for link in self.links:
      link.cut(mode)

  def heal(self) -> None:
    for link in self.links:
      link.heal()

  async def send_at(
      self, number: int, route: str, **options
  ) -> gateway_cluster.Answer:
    """Sends a request with a new id to the gateway of that number."""
    self.sent += 1
    port = self.gateways[number].state.host.listen_port
    headers = HEADERS | options.pop('headers', {})
    request = options.pop('request', f'r{self.sent}')
    return await gateway_cluster.call(
        port, f'/{route}/x', request, headers, b'body', **options
    )

  async def send_for(
      self, duration_s: float, routes: tuple[str, ...] = ROUTES
  ) -> tuple[float, float]:
    """Sends requests to all hosts in turn.

    Returns:
      Shares that were served of those at the hosts that can be cut off, and of
      those at the others.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    tries: list[tuple[bool, asyncio.Task]] = []
    number = 0
    while loop.time() < end_at or number < self.hosts:
      host = number % self.hosts
      route = routes[number // self.hosts % len(routes)]
      task = loop.create_task(self.send_at(host, route))
      tries.append((host < self.apart, task))
      number += 1
      await asyncio.sleep(INTERVAL_S)
    served = {True: [], False: []}
    for is_apart, task in tries:
      answer = await task
      served[is_apart].append(answer.status == 200 and answer.is_whole)
    return tuple(
        sum(found) / len(found) for found in (served[True], served[False])
    )

  async def check_served(
      self,
      mode: apart_host.CutMode,
      routes: tuple[str, ...] = ROUTES,
      before_s: float = STABLE_S,
  ) -> None:
    """Checks that first tries are served during and after a cut.

    Args:
      mode: What happens to connections.
      routes: The routes of the requests.
      before_s: How long requests are sent from the begin of the cut until they
        are compared; before that none are sent.
    """
    await self.send_for(0.5, routes)
    self.cut(mode)
    await asyncio.sleep(STABLE_S - before_s)
    if before_s:
      await self.send_for(before_s, routes)
    apart, others = await self.send_for(CHECKED_S, routes)
    self.assertGreater(others, 0.9)
    self.assertGreaterEqual(apart, MIN_SERVED_RATIO * others)
    self.heal()
    await asyncio.sleep(2.0)
    apart, others = await self.send_for(1.0, routes)
    self.assertGreater(min(apart, others), 0.9)


class ThreeOfFiveTest(ApartTestCase):

  async def test_callers_are_served_if_connections_are_refused(self):
    await self.check_served(MODE.REFUSED)

  async def test_callers_are_served_if_connections_hang(self):
    await self.check_served(MODE.HANGING)

  async def test_callers_are_served_if_only_old_connections_live(self):
    await self.check_served(MODE.OLD_ALIVE)

  async def test_bookings_are_served(self):
    await self.check_served(MODE.REFUSED, ('unsafe',))

  async def test_streams_are_served(self):
    await self.check_served(MODE.HANGING, ('ask', 'read'))

  async def test_callers_are_served_if_none_came_before(self):
    await self.check_served(MODE.HANGING, before_s=0.0)


class EightOfNineTest(ApartTestCase):

  hosts = 9
  apart = 8

  async def test_callers_are_served_if_connections_are_refused(self):
    await self.check_served(MODE.REFUSED)


class TwentyHostsTest(ApartTestCase):
  """Members of groups hear their relay only, which may be cut off too."""

  hosts = 20
  apart = 15
  # All of them start in one process.
  wait_timeout_s = 60.0

  async def test_callers_are_served_if_connections_hang(self):
    await self.check_served(MODE.HANGING)


if __name__ == '__main__':
  unittest.main()
