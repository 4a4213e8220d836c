"""Tests of gateways that receive a request which crashes endpoints.

The caller sends the request again and again, each time with a new id and to
another gateway.
"""

import asyncio
import time
import unittest
from unittest import mock

from mulberrypick.core import crash_exchange
from mulberrypick.core import quarantine
from mulberrypick.ops import crash_watch
from mulberrypick.ops import refusals_task
from mulberrypick.platform import gateway_test
from mulberrypick.platform import objects
from mulberrypick.platform import protocol
from standins import crash_point
from standins import gateway_cluster

# Time after the third crash in which gateways may still send the request.
STABLE_S = 3.0
# Requests that may reach endpoints later than that.
MAX_LATE_RETRIES = 3
# Time within which a request is served again that was refused wrongly.
MAX_WRONG_REFUSAL_S = 5.0
INTERVAL_S = 0.9
# Long enough for three crashes, `STABLE_S` and more than `MAX_LATE_RETRIES`.
DURATION_S = 12.0
HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '1400',
    'X-Mulberrypick-Token-Usage': '9000,100',
    'X-Mulberrypick-Prefix-Hash': 'aa:5000,bb:4000',
}
POINT = crash_point.CrashPoint


class CrashTestCase(gateway_test.GatewayTestCase):
  """Runs `hosts` gateways, and sends requests that crash endpoints.

  Attributes:
    hosts: Number of gateways.
    callers: Number of addresses from which a request is sent in turn.
  """

  hosts = 1
  callers = 1

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.sent = 0
    for number in (3, 4):
      await self.cluster.add(f'desk-{number}', 'desk')
      await self.cluster.add(f'writer-{number}', 'engine', 'decode')
    for number in range(2, self.hosts + 1):
      await self.start_gateway(f'host-{number}')
    for gateway in self.gateway_by_name.values():
      await self.wait_until(lambda g=gateway: self.knows_all(g))

  def knows_all(self, gateway) -> bool:
    state = gateway.state
    return state.hosts == self.hosts and len(list(state.endpoints.all())) == 9

  async def send_at(
      self,
      number: int,
      path: str,
      body: bytes,
      disconnect_after_s: float | None = None,
  ) -> gateway_cluster.Answer:
    """Sends a request with a new id to the gateway of that number."""
    gateways = list(self.gateway_by_name.values())
    port = gateways[number % len(gateways)].state.host.listen_port
    self.sent += 1
    return await gateway_cluster.call(
        port,
        path,
        f'r{self.sent}',
        HEADERS,
        body,
        disconnect_after_s=disconnect_after_s,
        caller_ip=f'127.0.0.{1 + self.sent % self.callers}',
    )

  async def send_to_all_in_turn(
      self, path: str, body: bytes, disconnect_after_s: float | None
  ) -> None:
    """Sends a request every `INTERVAL_S`, each time to the next gateway."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    calls = []
    while loop.time() - began_at < DURATION_S:
      call = self.send_at(len(calls), path, body, disconnect_after_s)
      calls.append(loop.create_task(call))
      await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*calls)

  def count_late_retries(self) -> int:
    """Returns how many requests reached endpoints too late."""
    if len(self.cluster.crashed_at) < 3:
      return 0
    third_at = self.cluster.crashed_at[2]
    late = set()
    for at, request in self.cluster.crashing_arrivals():
      if at > third_at + STABLE_S:
        late.add(request)
    return len(late)

  async def check_point(
      self,
      path: str,
      point: crash_point.CrashPoint,
      disconnect_after_s: float | None = None,
  ) -> None:
    """Checks that a crashing request reaches few endpoints."""
    body = crash_point.CRASH_MARKER + point.value.encode()
    await self.send_to_all_in_turn(path, body, disconnect_after_s)
    crashes = len(self.cluster.crashed_at)
    self.assertGreaterEqual(crashes, 2)
    self.assertLessEqual(
        self.count_late_retries(), MAX_LATE_RETRIES, f'{crashes} crashes'
    )
    # Other requests of the same caller are served.
    answer = await self.send_at(0, path, b'sound')
    self.assertEqual(answer.status, 200)


class OneHostTest(CrashTestCase):

  async def test_request_that_crashes_before_its_answer(self):
    await self.check_point('/unsafe/x', POINT.RUN)

  async def test_request_that_crashes_after_some_events(self):
    await self.check_point('/ask/x', POINT.STREAM)

  async def test_request_that_crashes_during_prefill(self):
    await self.check_point('/read/x', POINT.PREFILL)

  async def test_refused_request_is_not_sent_after_a_broken_prefill(self):
    for number in range(2, 5):
      name = f'reader-{number}'
      await self.cluster.add(name, 'engine', 'prefill')
      await self.wait_until(
          lambda n=name: self.gateway.state.endpoints.find(n) is not None
      )
    await self.send_at(0, '/read/x', b'crash=prefill')
    self.assertLessEqual(
        len(self.cluster.crashed_at), quarantine.CRASHES_TO_REFUSE
    )


class SilentCrashTest(CrashTestCase):
  """The connections to a crashed endpoint stay open."""

  async def test_request_that_crashes_before_its_answer(self):
    await self.check_point('/safe/x', POINT.SILENT_RUN)

  async def test_request_that_crashes_after_some_events(self):
    await self.check_point('/read/x', POINT.SILENT_STREAM)

  async def test_request_whose_caller_left(self):
    await self.check_point('/unsafe/x', POINT.SILENT_RUN, 0.3)


class SoundRequestTest(CrashTestCase):
  """Connections break off, but the endpoints are alive."""

  hosts = 2

  async def test_request_is_served_again_after_connections_were_reset(self):
    self.cluster.update_behaviour('desk', mode='reset')
    answer = await self.send_at(0, '/safe/x', b'sound')
    self.assertEqual(answer.status, 502)
    # Endpoints that failed are used as soon as the others have a queue.
    self.cluster.update_behaviour('desk', mode='ok', work_s=0.05)
    for host in (0, 1):
      async with asyncio.timeout(MAX_WRONG_REFUSAL_S):
        while answer.status != 200:
          # Enough at a time to keep all endpoints busy.
          await asyncio.gather(
              *(self.send_at(host, '/unsafe/x', b'other') for _ in range(40))
          )
          answer = await self.send_at(host, '/safe/x', b'sound')
          await asyncio.sleep(0.1)
      answer = answer._replace(status=0)

  async def test_request_is_served_again_at_hosts_without_other_requests(self):
    self.enterContext(
        mock.patch.object(crash_watch, 'MAX_LISTED_AFTER_CRASH_S', 1.0)
    )
    self.cluster.update_behaviour('desk', mode='reset')
    await self.send_at(0, '/safe/x', b'sound')
    self.cluster.update_behaviour('desk', mode='ok')
    await self.wait_until(
        lambda: all(
            gateway.state.quarantine.refused(asyncio.get_running_loop().time())
            for gateway in self.gateway_by_name.values()
        )
    )
    answer = await self.send_at(1, '/safe/x', b'sound')
    self.assertEqual(answer.status, 503)
    for host in (0, 1):
      async with asyncio.timeout(MAX_WRONG_REFUSAL_S):
        while answer.status != 200:
          await asyncio.sleep(0.1)
          answer = await self.send_at(host, '/safe/x', b'sound')
      answer = answer._replace(status=0)


class RestartTest(CrashTestCase):

  hosts = 3

  async def test_refused_request_is_refused_after_all_hosts_restarted(self):
    for number in range(3):
      await self.send_at(number, '/unsafe/x', b'crash=run')
      await asyncio.sleep(0.2)
    crashes = len(self.cluster.crashed_at)
    self.assertEqual(crashes, quarantine.CRASHES_TO_REFUSE)
    await self.wait_until(
        lambda: self.cluster.store.names(protocol.REFUSALS_KIND)
    )
    await self.restart_all()
    for number in range(3):
      answer = await self.send_at(number, '/unsafe/x', b'crash=run')
      self.assertEqual(answer.status, 503)
      answer = await self.send_at(number, '/unsafe/x', b'sound')
      self.assertEqual(answer.status, 200)
    self.assertEqual(len(self.cluster.crashed_at), crashes)

  async def test_refusal_that_a_cut_caused_is_removed_from_the_store(self):
    state = self.gateway.state
    now = asyncio.get_running_loop().time()
    for name in ('desk-1', 'desk-2'):
      state.crash_watch.record_break((name, 1), 7, False, now)
    await self.wait_until(
        lambda: self.cluster.store.names(protocol.REFUSALS_KIND)
    )
    state.crash_watch.withdraw_own(now - 0.1, now + 0.1)
    await self.wait_until(
        lambda: not self.cluster.store.names(protocol.REFUSALS_KIND)
    )

  async def test_expired_refusals_are_removed_from_the_store(self):
    for name, age_s in (('0a', 700.0), ('0b', 10.0)):
      report = crash_exchange.CrashReport('desk-1', 1, age_s, False, ())
      _, spec = objects.encode_refusal(0, [report], time.time())
      self.cluster.store.put(protocol.REFUSALS_KIND, name, spec)
    self.enterContext(
        mock.patch.object(refusals_task, 'CLEANUP_INTERVAL_S', 0.1)
    )
    await self.restart_all()
    await self.wait_until(
        lambda: self.cluster.store.names(protocol.REFUSALS_KIND) == ['0b']
    )

  async def restart_all(self) -> None:
    """Kills all gateways and starts new ones without memory."""
    for running in (self.running, *self.running_by_name.values()):
      running.cancel()
    for gateway in self.gateway_by_name.values():
      gateway.close()
    self.gateway_by_name.clear()
    for number in range(1, self.hosts + 1):
      await self.start_gateway(f'host-{number}')


class NineHostsTest(CrashTestCase):

  hosts = 9

  async def test_request_that_crashes_before_its_answer(self):
    await self.check_point('/unsafe/x', POINT.RUN)

  async def test_request_that_crashes_after_some_events(self):
    await self.check_point('/read/x', POINT.STREAM)


class ManyCallersTest(CrashTestCase):
  """Each copy of the request comes from another caller."""

  hosts = 9
  callers = 100

  async def test_request_that_crashes_before_its_answer(self):
    await self.check_point('/unsafe/x', POINT.RUN)

  async def test_request_that_crashes_after_some_events(self):
    await self.check_point('/read/x', POINT.STREAM)


class ThirtyHostsTest(CrashTestCase):
  """Relays forward between groups what a gateway learned."""

  hosts = 30
  # All of them start in one process.
  wait_timeout_s = 60.0

  async def test_request_that_crashes_before_its_answer(self):
    await self.check_point('/unsafe/x', POINT.RUN)


class ThirtyHostsManyCallersTest(ThirtyHostsTest):
  """Each copy of the request comes from another caller."""

  callers = 100


if __name__ == '__main__':
  unittest.main()
