"""Compares the forwarding cost of threads with that of one event loop.

Both forward the same plain requests on loopback, from the same callers to the
same stand-in replica. The event loop is the whole gateway. The threads, with
cheroot and urllib3, only forward.
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence

import urllib3
import yaml
from cheroot import wsgi

from standins import gateway_cluster

CALLS = 3000
CALLERS = 16
THREADS = 20
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def run_threaded_forwarder(port: int, target: int) -> None:
  """Forwards with cheroot and urllib3 until the process ends."""
  pool = urllib3.HTTPConnectionPool(
      '127.0.0.1', target, maxsize=THREADS, retries=False
  )

  def forward(environ, start_response):
    headers = {}
    for name, value in environ.items():
      if name.startswith('HTTP_') and name != 'HTTP_CONNECTION':
        headers[name[5:].replace('_', '-').title()] = value
    size = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(size)
    answer = pool.request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        body=body,
        headers=headers,
    )
    start_response(f'{answer.status} OK', list(answer.headers.items()))
    return [answer.data]

  wsgi.Server(('127.0.0.1', port), forward, numthreads=THREADS).start()


def read_cpu_s(pid: int) -> float:
  """Returns the CPU time that a process has used so far."""
  fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
  return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def write_settings(
    host,
    folder: pathlib.Path,
    store_port: int,
    seeds: Sequence[str] = (),
    slack: float = 50.0,
    ratio: float = 0.2,
    window_s: float = 10.0,
    grace_s: float = 8.0,
) -> pathlib.Path:
  """Writes the settings file of a gateway; returns its path."""
  path = folder / 'settings.yaml'
  address = f'127.0.0.1:{host.peer_port}'
  path.write_text(
      yaml.safe_dump(
          {
              'nodeName': host.name,
              'zone': host.zone,
              'ip': host.ip,
              'listen': {
                  'frontend': f'127.0.0.1:{host.listen_port}',
                  'ready': f'127.0.0.1:{host.ready_port}',
                  'controlPlane': address,
              },
              'internalPorts': [host.forward_port, host.forward_port],
              'seeds': list(seeds),
              'bootstrap': host.is_first_start,
              'bounds': {
                  'graceS': grace_s,
                  'retryBudgetRatio': ratio,
                  'retryBudgetSlack': slack,
                  'budgetWindowS': window_s,
              },
              'platform': {'address': f'127.0.0.1:{store_port}'},
          }
      )
  )
  return path


async def measure(port: int, pid: int) -> tuple[float, float, float]:
  """Returns the CPU time per call, and p50 and p99 of latency, in ms."""
  times = []

  async def caller(number: int) -> None:
    for index in range(CALLS // CALLERS):
      began_at = time.monotonic()
      answer = await gateway_cluster.call(
          port, '/unsafe/x', f'r{number}.{index}', body=b'x' * 600
      )
      if answer.status != 200:
        raise RuntimeError(f'status {answer.status}')
      times.append(time.monotonic() - began_at)

  await caller(CALLERS)
  times.clear()
  before = read_cpu_s(pid)
  await asyncio.gather(*(caller(number) for number in range(CALLERS)))
  used_ms = 1000 * (read_cpu_s(pid) - before) / len(times)
  times.sort()
  return (
      used_ms,
      1000 * times[len(times) // 2],
      1000 * times[int(0.99 * len(times))],
  )


async def bench() -> None:
  """Measures both variants."""
  cluster = gateway_cluster.GatewayCluster()
  await cluster.start()
  replica = cluster.replica_by_name['desk-1']
  cluster.store.remove('servers', 'desk-2')
  host = cluster.make_host()
  with tempfile.TemporaryDirectory() as folder:
    settings = write_settings(host, pathlib.Path(folder), cluster.store.port)
    environment = os.environ | {'MULBERRYPICK_NODE_FILE': str(settings)}
    port = gateway_cluster.free_ports(1)[0]
    variants = {
        'one event loop, all of the gateway': (
            host.listen_port,
            [sys.executable, '-m', 'mulberrypick.scripts.gateway'],
        ),
        f'cheroot and urllib3, {THREADS} threads': (
            port,
            [
                sys.executable,
                '-m',
                'standins.bench_forwarding',
                str(port),
                str(replica.port),
            ],
        ),
    }
    for name, (variant_port, command) in variants.items():
      program = subprocess.Popen(
          command, env=environment, stdout=subprocess.DEVNULL
      )
      await asyncio.sleep(2.0)
      try:
        used_ms, p50, p99 = await measure(variant_port, program.pid)
      finally:
        program.kill()
        program.wait()
      print(f'| {name} | {used_ms:.2f} | {p50:.1f} | {p99:.1f} |')
  cluster.stop()


def main() -> None:
  """Runs the bench, or the threaded forwarder as its subprocess."""
  if len(sys.argv) == 3:
    run_threaded_forwarder(int(sys.argv[1]), int(sys.argv[2]))
    return
  asyncio.run(bench())


if __name__ == '__main__':
  main()
