"""Tests of the bound of retries with gateway processes and failing endpoints.

The arrivals are counted at the endpoints.
"""

import asyncio
import pathlib
import tempfile
import unittest

from standins import retry_check
from standins import retry_cluster

WINDOW_S = 5.0
SEED = 1
DESKS = {'desk-1': '', 'desk-2': '', 'desk-3': ''}
ENGINES = {
    'reader-1': 'prefill',
    'reader-2': 'prefill',
    'writer-1': 'decode',
    'writer-2': 'decode',
    'writer-3': 'decode',
}
# Time after which a host no longer counts another that it does not hear (s).
SILENCE_S = 2.5
# Least share of the bound that is used when retries are wanted all the time.
MIN_USED_SHARE = 0.4


class RetryProcessTest(unittest.IsolatedAsyncioTestCase):

  async def start(
      self, hosts: int, slack: float, stage_by_replica: dict[str, str]
  ) -> retry_cluster.RetryCluster:
    folder = self.enterContext(tempfile.TemporaryDirectory())
    bound = retry_check.Bound(0.0, slack, WINDOW_S)
    cluster = retry_cluster.RetryCluster(
        pathlib.Path(folder), hosts, bound, SEED
    )
    self.addAsyncCleanup(cluster.stop)
    await cluster.start(stage_by_replica)
    return cluster

  def check_bound(self, cluster: retry_cluster.RetryCluster) -> None:
    lines = [str(window) for window in cluster.excess()]
    for gateway in cluster.gateways:
      for line in gateway.log_text().splitlines():
        if 'event=retry_budget' in line:
          lines.append(line)
    self.assertEqual(cluster.excess(), [], '\n'.join(lines))

  def check_use(self, cluster: retry_cluster.RetryCluster) -> None:
    (worst,) = cluster.worst()
    self.assertGreaterEqual(worst.extra, MIN_USED_SHARE * worst.allowed)

  async def test_retries_of_prefilled_requests_stay_within_the_bound(self):
    cluster = await self.start(1, 30.0, ENGINES)
    cluster.fail(0.2)
    await cluster.send_load(['/ask/x'], 40.0, 1.2 * WINDOW_S)
    self.check_bound(cluster)
    self.check_use(cluster)

  async def test_hosts_that_hear_no_others_stay_within_the_bound(self):
    cluster = await self.start(4, 20.0, DESKS)
    for gateway in cluster.gateways:
      gateway.peer_link.cut()
    await asyncio.sleep(SILENCE_S)
    cluster.fail(0.6)
    await cluster.send_load(['/safe/x'], 40.0, 1.2 * WINDOW_S)
    self.check_bound(cluster)
    self.check_use(cluster)

  async def test_hosts_that_hear_others_late_stay_within_the_bound(self):
    cluster = await self.start(4, 20.0, DESKS)
    for gateway in cluster.gateways:
      gateway.peer_link.delay(2 * SILENCE_S)
    cluster.fail(0.6)
    await cluster.send_load(['/safe/x'], 40.0, 2.4 * WINDOW_S)
    self.check_bound(cluster)
    self.check_use(cluster)

  async def test_hosts_that_are_killed_stay_within_the_bound(self):
    cluster = await self.start(3, 20.0, DESKS)
    cluster.fail(0.6)
    load = asyncio.create_task(
        cluster.send_load(['/safe/x'], 40.0, 2.4 * WINDOW_S)
    )
    while not load.done():
      for gateway in cluster.gateways:
        await asyncio.sleep(1.0)
        await gateway.kill(0.0)
    await load
    self.check_bound(cluster)

  async def test_hosts_that_are_paused_stay_within_the_bound(self):
    cluster = await self.start(3, 20.0, DESKS)
    cluster.fail(0.6)
    load = asyncio.create_task(
        cluster.send_load(['/safe/x'], 40.0, 2.4 * WINDOW_S)
    )
    await asyncio.sleep(0.6)
    for gateway in cluster.gateways[:2]:
      await gateway.pause(0.9 * WINDOW_S)
    await load
    self.check_bound(cluster)
    self.check_use(cluster)


if __name__ == '__main__':
  unittest.main()
