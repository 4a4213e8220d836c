"""Tests of the gateway processes of the soak."""

import pathlib
import tempfile
import unittest
from unittest import mock

from standins import gateway_cluster
from standins import retry_check
from standins import retry_cluster
from standins import soak_gateway


class SignalsTest(unittest.IsolatedAsyncioTestCase):

  async def test_process_that_is_being_loaded_gets_no_signal(self):
    # Guards against a reload that ends a process right after its restart.
    folder = self.enterContext(tempfile.TemporaryDirectory())
    cluster = gateway_cluster.GatewayCluster()
    self.addCleanup(cluster.stop)
    await cluster.start()
    gateway = retry_cluster.RetryGateway(
        cluster,
        pathlib.Path(folder),
        'host-1',
        retry_check.Bound(0.0, 20.0, 5.0),
    )
    self.addAsyncCleanup(gateway.close)
    gateway.write([])
    usual = soak_gateway.wait_until_signals_are_handled

    async def reload_and_wait(pid: int) -> None:
      gateway.reload()
      await usual(pid)

    with mock.patch.object(
        soak_gateway, 'wait_until_signals_are_handled', reload_and_wait
    ):
      await gateway.start()
      await gateway.wait_until_ready()
      await gateway.kill(0.0)
      await gateway.wait_until_ready()
    gateway.reload()
    await gateway.poll()
    self.assertEqual(gateway.unexpected_exits, [])


if __name__ == '__main__':
  unittest.main()
