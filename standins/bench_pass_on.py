"""Measures the processor time of requests that a gateway passes on.

    python -m standins.bench_pass_on

Two gateways on loopback: one of them is cut off from all endpoints, so that
each of its requests takes two hops.
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile

from standins import apart_host
from standins import bench_forwarding
from standins import gateway_cluster
from standins import relayed_gateway

START_S = 3.0


def start(
    cluster: gateway_cluster.GatewayCluster,
    host,
    folder: pathlib.Path,
    seeds: list[str],
) -> subprocess.Popen:
  """Starts a gateway with a folder of its own."""
  folder.mkdir()
  address = f'127.0.0.1:{host.peer_port}'
  (folder / relayed_gateway.LISTEN_FILE).write_text(address)
  settings = bench_forwarding.write_settings(
      host, folder, cluster.store.port, seeds
  )
  environment = os.environ | {'MULBERRYPICK_NODE_FILE': str(settings)}
  return subprocess.Popen(
      [sys.executable, '-m', 'standins.relayed_gateway'],
      env=environment,
      stdout=subprocess.DEVNULL,
  )


async def bench() -> None:
  """Measures requests without and with the second hop."""
  cluster = gateway_cluster.GatewayCluster()
  await cluster.start()
  hosts = [cluster.make_host(f'host-{number}') for number in (1, 2)]
  with tempfile.TemporaryDirectory() as name:
    programs: list[subprocess.Popen] = []
    seeds: list[str] = []
    for host in hosts:
      folder = pathlib.Path(name) / host.name
      programs.append(start(cluster, host, folder, seeds))
      seeds.append(f'127.0.0.1:{host.peer_port}')
    try:
      await asyncio.sleep(START_S)
      await measure('one hop', hosts[0].listen_port, programs)
      apart = pathlib.Path(name) / hosts[0].name / relayed_gateway.APART_FILE
      apart.write_text(apart_host.CutMode.REFUSED.value)
      await asyncio.sleep(START_S)
      await measure('passed on', hosts[0].listen_port, programs)
    finally:
      for program in programs:
        program.kill()
        program.wait()
  cluster.stop()


async def measure(
    name: str, port: int, programs: list[subprocess.Popen]
) -> None:
  """Prints processor time of both gateways and the latency of requests."""
  other = programs[1].pid
  before = bench_forwarding.read_cpu_s(other)
  used_ms, p50, p99 = await bench_forwarding.measure(port, programs[0].pid)
  other_s = bench_forwarding.read_cpu_s(other) - before
  # The first requests only warm up.
  other_ms = 1000 * other_s / bench_forwarding.CALLS
  print(f'| {name} | {used_ms:.2f} | {other_ms:.2f} | {p50:.1f} | {p99:.1f} |')


if __name__ == '__main__':
  asyncio.run(bench())
