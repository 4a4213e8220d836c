"""Tests of gateways that receive requests with a part that crashes endpoints.

No two of these requests are alike. Sound requests share their caller and their
other parts.
"""

import asyncio
import itertools
import logging
import math
import unittest
from typing import NamedTuple
from unittest import mock

from mulberrypick.platform import gateway_test
from standins import crash_point
from standins import fleet_replica
from standins import gateway_cluster
from standins import open_ended_replica

_log = logging.getLogger(__name__)
# Time after the fifth crash in which gateways may still send such requests.
STABLE_S = 3.0
# Requests that may reach endpoints later than that.
MAX_LATE = 3
CRASHES_UNTIL_STABLE = 5
# Sound requests that begin later than 2 x `STABLE_S` after the fifth crash, as
# a share of those that began before the first one.
MIN_SOUND_SHARE = 0.5
# Number of sound requests in each of the two periods.
MIN_SOUND = 20
# Time for which crashing requests are sent, and the longest for both periods.
DURATION_S = 12.0
MAX_DURATION_S = 60.0
CRASHING_INTERVAL_S = 0.2
SOUND_INTERVAL_S = 0.1
READERS = 3
FIRST_PART = 'aa:5000'
POINT = crash_point.CrashPoint


class SoundCall(NamedTuple):
  """A sound request that was sent once.

  Attributes:
    sent_at: When it was sent, on the event loop's clock.
    is_served: Whether its answer began.
  """

  sent_at: float
  is_served: bool


class CrashingPartTestCase(gateway_test.GatewayTestCase):
  """Runs `hosts` gateways and sends them sound and crashing requests."""

  hosts = 1
  decoders = 10

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.numbers = itertools.count()
    self.sound: list[SoundCall] = []
    self.crashing: list[asyncio.Task] = []
    for number in range(2, READERS + 1):
      await self.cluster.add(f'reader-{number}', 'engine', 'prefill')
    for number in range(3, self.decoders + 1):
      await self.cluster.add(f'writer-{number}', 'engine', 'decode')
    # Long enough for several requests to run on an endpoint when it crashes.
    self.cluster.update_behaviour('engine', events=20, event_interval_s=0.01)
    for number in range(2, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    for gateway in self.gateway_by_name.values():
      await self.wait_until(lambda g=gateway: self.knows_all(g))

  def knows_all(self, gateway) -> bool:
    state = gateway.state
    endpoints = len(list(state.endpoints.all()))
    return state.hosts == self.hosts and endpoints == len(
        self.cluster.replica_by_name
    )

  async def send(
      self,
      number: int,
      parts: list[str],
      path: str = '/read/x',
      request: str = '',
      disconnect_after_events: int | None = None,
      body: bytes = b'',
      **headers: str,
  ) -> gateway_cluster.Answer:
    """Sends a request with its own body and last part to a gateway.

    Args:
      number: Number of the gateway, modulo their count.
      parts: The parts before the last one.
      path: The path.
      request: Its id; empty for a new one.
      disconnect_after_events: When the caller leaves, None for never.
      body: The body; empty for one that no other request has.
      **headers: More headers, with `_` for `-`.
    """
    own = next(self.numbers)
    gateways = list(self.gateway_by_name.values())
    port = gateways[number % len(gateways)].state.host.listen_port
    fields = {
        'X-Mulberrypick-Deadline-Ms': '1400',
        'X-Mulberrypick-Token-Usage': '9000,100',
        'X-Mulberrypick-Prefix-Hash': ','.join([*parts, f'{own:05x}ff:200']),
    }
    for name, value in headers.items():
      fields[name.replace('_', '-')] = value
    return await gateway_cluster.call(
        port,
        path,
        request or f'r{own}',
        fields,
        body or b'body %d' % own,
        disconnect_after_events=disconnect_after_events,
    )

  async def send_sound(self, number: int, path: str) -> None:
    """Sends a sound request and records whether its answer begins."""
    sent_at = asyncio.get_running_loop().time()
    parts = [FIRST_PART, f'b{number % 4}:2000']
    answer = await self.send(number, parts, path)
    is_served = answer.status == 200 and b'data' in answer.body
    self.sound.append(SoundCall(sent_at, is_served))

  async def send_crashing(
      self, number: int, part: str, path: str, **options
  ) -> gateway_cluster.Answer:
    """Sends a request with a crashing part to a gateway."""
    parts = [FIRST_PART, f'b{number % 4}:2000', f'{part}:700']
    return await self.send(number, parts, path, **options)

  async def run_both(self, path: str, *points: crash_point.CrashPoint) -> None:
    """Sends sound requests, then also crashing ones, one part for each point.

    Args:
      path: Path of all requests.
      *points: Where the requests with each part crash endpoints.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + MAX_DURATION_S
    calls = []
    sent = itertools.count()
    began_at = crashing_at = math.inf
    parts = []
    for number, point in enumerate(points):
      parts.append(crash_point.make_part(point, number))
    while loop.time() < end_at:
      if began_at == math.inf and len(self.sound) >= MIN_SOUND:
        began_at = crashing_at = loop.time()
      if loop.time() > began_at + DURATION_S and self.has_enough_sound():
        break
      call = self.send_sound(len(calls), path)
      calls.append(loop.create_task(call))
      if loop.time() >= crashing_at:
        crashing_at += CRASHING_INTERVAL_S
        number = next(sent)
        call = self.send_crashing(number, parts[number % len(parts)], path)
        calls.append(loop.create_task(call))
      await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*calls)

  def has_enough_sound(self) -> bool:
    """Returns whether enough sound requests ended in the second period."""
    if not self.cluster.crashed_at:
      return True
    after = self.stable_since() + 2 * STABLE_S
    return sum(call.sent_at > after for call in self.sound) >= MIN_SOUND

  def stable_since(self) -> float:
    """Returns the time of the fifth crash, or of the last of fewer."""
    crashes = self.cluster.crashed_at
    return crashes[min(len(crashes), CRASHES_UNTIL_STABLE) - 1]

  def count_late(self) -> int:
    """Returns how many crashing requests reached endpoints too late."""
    if len(self.cluster.crashed_at) < CRASHES_UNTIL_STABLE:
      return 0
    late = set()
    for at, request in self.cluster.crashing_arrivals():
      if at > self.stable_since() + STABLE_S:
        late.add(request)
    return len(late)

  def sound_share(self) -> float:
    """Returns the share of sound requests that begin, relative to before."""
    first_at = self.cluster.crashed_at[0]
    after = self.stable_since() + 2 * STABLE_S
    before = [call.is_served for call in self.sound if call.sent_at < first_at]
    late = [call.is_served for call in self.sound if call.sent_at > after]
    self.assertGreaterEqual(min(len(before), len(late)), MIN_SOUND)
    self.assertGreater(sum(before), 0)
    return (sum(late) / len(late)) / (sum(before) / len(before))

  async def check(self, path: str, *points: crash_point.CrashPoint) -> None:
    """Checks that few crashing requests and most sound ones are sent."""
    await self.run_both(path, *points)
    crashes = len(self.cluster.crashed_at)
    self.assertGreaterEqual(crashes, 1)
    figures = (
        f'{crashes} crashes, {self.count_late()} late, share of sound requests'
        f' {self.sound_share():.2f}'
    )
    _log.info('%s: %s', self.id(), figures)
    self.assertLessEqual(self.count_late(), MAX_LATE, figures)
    self.assertGreaterEqual(self.sound_share(), MIN_SOUND_SHARE, figures)


class OneHostTest(CrashingPartTestCase):

  async def test_part_that_crashes_before_the_answer(self):
    await self.check('/read/x', POINT.RUN)

  async def test_part_that_crashes_after_some_events(self):
    await self.check('/ask/x', POINT.STREAM)

  async def test_part_that_crashes_silently(self):
    await self.check('/read/x', POINT.SILENT_RUN)

  async def test_two_crashing_parts_at_once(self):
    await self.check('/read/x', POINT.RUN, POINT.STREAM)


class FewEndpointsTest(CrashingPartTestCase):
  """The crashing requests leave no endpoint up for some time."""

  hosts = 3
  decoders = 3

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.enterContext(mock.patch.object(gateway_cluster, 'RESTART_S', 3.0))

  async def test_part_that_crashes_before_the_answer(self):
    await self.check('/read/x', POINT.RUN)

  async def test_part_that_crashes_after_some_events(self):
    await self.check('/ask/x', POINT.STREAM)


class OpenEndedStreamTest(CrashingPartTestCase):
  """Streams end with their connections, also if their endpoint crashes."""

  async def asyncSetUp(self):
    self.enterContext(
        mock.patch.object(
            fleet_replica, 'FleetReplica', open_ended_replica.OpenEndedReplica
        )
    )
    await super().asyncSetUp()

  async def test_part_that_crashes_after_some_events(self):
    await self.check('/read/x', POINT.STREAM)


class OpenEndedStreamNineHostsTest(OpenEndedStreamTest):

  hosts = 9


class NineHostsTest(CrashingPartTestCase):

  hosts = 9

  async def test_part_that_crashes_before_the_answer(self):
    await self.check('/read/x', POINT.RUN)

  async def test_part_that_crashes_after_some_events(self):
    await self.check('/ask/x', POINT.STREAM)

  async def test_part_that_crashes_silently(self):
    await self.check('/read/x', POINT.SILENT_RUN)

  async def test_two_crashing_parts_at_once(self):
    await self.check('/read/x', POINT.RUN, POINT.STREAM)


class ThirtyHostsTest(CrashingPartTestCase):
  """Relays forward the evidence between groups."""

  hosts = 30
  # All of them start in one process.
  wait_timeout_s = 60.0

  async def test_part_that_crashes_before_the_answer(self):
    await self.check('/read/x', POINT.RUN)


if __name__ == '__main__':
  unittest.main()
