"""Measures the cost of an entry on the data path.

The same streams go alternately to stand-in engines directly and through an
entry. The output shows what the entry adds to the time to the first token and
between tokens, the load that one of its CPU cores carries, and its memory. CPU
time is that of the entry process alone, so the figure holds even if the
stand-ins or this program are the bottleneck.
"""

import concurrent.futures
import json
import multiprocessing
import os
import pathlib
import shutil
import statistics
import sys
import time
from typing import NamedTuple

import click
import urllib3

from standins import local_cluster

LOG_FOLDER = pathlib.Path('out/bench-entry')
ENGINES = 4
STREAMS = 8
REQUESTS = 200
TOKENS = 60
OPEN_STREAMS = 200
LOAD_PROCESSES = 4
LOAD_STREAMS = 24
LOAD_REQUESTS = 240
LOAD_TOKENS = 250
TARGET_REQUESTS_PER_S = 15
TARGET_TOKENS_PER_S = 3_800
READ_BYTES = 65_536
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
DECLARATION = {
    'format': 1,
    'models': [{'name': 'm', 'version': '1', 'replicas': ENGINES}],
    'ranks': [
        {
            'name': 'urgent',
            'is_urgent': True,
            'first_token_s': 5.0,
            'between_tokens_s': 1.0,
            'deadline_s': 300.0,
        }
    ],
    'services': [
        {
            'name': 'assistant',
            'kind': 'model',
            'model': 'm',
            'rank': 'urgent',
            'timeout_s': 300.0,
        }
    ],
    'tenants': [
        {
            'name': 'bench',
            'share': 1.0,
            'services': ['assistant'],
            'ranks': ['urgent'],
        }
    ],
}


class Timing(NamedTuple):
  """Timing of one stream.

  Attributes:
    first_token_s: Time to the first token.
    between_s: Mean time between tokens.
    tokens: Tokens received.
  """

  first_token_s: float
  between_s: float
  tokens: int


class Target(NamedTuple):
  """Destination of a stream.

  Attributes:
    url: URL to post to.
    is_entry: Whether it is an entry; otherwise it is an engine.
  """

  url: str
  is_entry: bool


def encode_body(target: Target, number: int, tokens: int) -> bytes:
  """Encodes the request body of one stream."""
  prompt = f'request {number} length={tokens}'
  if target.is_entry:
    body = {'model': 'assistant', 'prompt': prompt, 'max_tokens': tokens}
    return json.dumps(body | {'stream': True}).encode()
  body = {
      'attempt_id': f'direct/{number}',
      'model': 'm',
      'adapter': '',
      'prompt': prompt,
      'max_tokens': tokens,
      'start_index': 0,
      'priority': 0,
      'kv': None,
  }
  return json.dumps(body).encode()


def run_stream(
    pool: urllib3.PoolManager, target: Target, number: int, tokens: int
) -> Timing:
  """Runs one stream, and counts its tokens by its events."""
  started_at = time.monotonic()
  response = pool.request(
      'POST',
      target.url,
      body=encode_body(target, number, tokens),
      headers={'X-Mulberry-Tenant': 'bench'},
      preload_content=False,
  )
  if response.status != 200:
    raise RuntimeError(f'{response.status}: {response.read()!r}')
  first_at = 0.0
  events = 0
  while data := response.read1(READ_BYTES):
    if not first_at:
      first_at = time.monotonic()
    events += data.count(b'\n\n')
  ended_at = time.monotonic()
  response.release_conn()
  # The last event of an engine and the last two of an entry carry no token.
  received = events - (2 if target.is_entry else 1)
  between_s = (ended_at - first_at) / max(received - 1, 1)
  return Timing(first_at - started_at, between_s, received)


def run_streams(
    targets: list[Target], streams: int, requests: int, tokens: int
) -> list[Timing]:
  """Runs streams concurrently, spread over the targets in turn."""
  pool = urllib3.PoolManager(maxsize=streams, retries=False, timeout=120.0)
  with concurrent.futures.ThreadPoolExecutor(streams) as executor:
    futures = [
        executor.submit(
            run_stream, pool, targets[number % len(targets)], number, tokens
        )
        for number in range(requests)
    ]
    return [future.result() for future in futures]


def read_cpu_s(pid: int) -> float:
  """Returns the CPU time that a process has used so far."""
  fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
  user, system = fields.split()[11:13]
  return (int(user) + int(system)) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
  """Returns the resident memory of a process."""
  for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
    if line.startswith('VmRSS:'):
      return int(line.split()[1]) / 1024
  raise RuntimeError(f'no VmRSS in /proc/{pid}/status')


def percentile(values: list[float], share: float) -> float:
  """Returns a percentile of unsorted values; `share` is between 0 and 1."""
  ordered = sorted(values)
  return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def print_latency(name: str, timings: list[Timing]) -> None:
  """Prints one line of the latency table."""
  first = [timing.first_token_s * 1000 for timing in timings]
  between = [timing.between_s * 1000 for timing in timings]
  click.echo(
      f'{name:14}{percentile(first, 0.5):12.2f}{percentile(first, 0.95):12.2f}'
      f'{percentile(between, 0.5):12.3f}{percentile(between, 0.95):12.3f}'
  )


def measure_latency(direct: list[Target], entry: list[Target]) -> None:
  """Compares direct streams with streams through the entry."""
  run_streams(direct + entry, STREAMS, STREAMS * 2, TOKENS)
  timings_by_name: dict[str, list[Timing]] = {'direct': [], 'entry': []}
  for _ in range(4):
    for name, targets in (('direct', direct), ('entry', entry)):
      timings_by_name[name] += run_streams(
          targets, STREAMS, REQUESTS // 4, TOKENS
      )
  click.echo(f'{STREAMS} streams at a time, {REQUESTS} of {TOKENS} tokens each')
  click.echo(
      f'{"":14}{"first p50":>12}{"first p95":>12}{"between p50":>12}'
      f'{"between p95":>12}   ms'
  )
  for name, timings in timings_by_name.items():
    print_latency(name, timings)
  direct_first = statistics.median(
      t.first_token_s for t in timings_by_name['direct']
  )
  entry_first = statistics.median(
      t.first_token_s for t in timings_by_name['entry']
  )
  added_ms = (entry_first - direct_first) * 1000
  click.echo(f'added to the first token, median: {added_ms:.2f} ms')


def measure_load(entry: list[Target], pid: int) -> None:
  """Loads the entry from several processes, and measures its CPU time."""
  cpu_before_s = read_cpu_s(pid)
  started_at = time.monotonic()
  with multiprocessing.get_context('spawn').Pool(LOAD_PROCESSES) as pool:
    jobs = [
        pool.apply_async(
            run_streams, (entry, LOAD_STREAMS, LOAD_REQUESTS, LOAD_TOKENS)
        )
        for _ in range(LOAD_PROCESSES)
    ]
    timings = [timing for job in jobs for timing in job.get()]
  elapsed_s = time.monotonic() - started_at
  cpu_s = read_cpu_s(pid) - cpu_before_s
  tokens = sum(timing.tokens for timing in timings)
  click.echo(
      f'load: {len(timings) / elapsed_s:.1f} requests/s,'
      f' {tokens / elapsed_s:.0f} tokens/s with {cpu_s / elapsed_s:.2f} core'
      f' of the entry over {elapsed_s:.1f} s'
  )
  click.echo(
      f'one core of an entry: {len(timings) / cpu_s:.0f} requests/s of'
      f' {LOAD_TOKENS} tokens, {tokens / cpu_s:.0f} tokens/s; the target asks'
      f' {TARGET_REQUESTS_PER_S} and {TARGET_TOKENS_PER_S} of a daemon'
  )


def measure_memory(entry: list[Target], pid: int) -> None:
  """Measures the memory of the entry with many open streams."""
  before_mb = read_memory_mb(pid)
  with concurrent.futures.ThreadPoolExecutor(1) as executor:
    job = executor.submit(
        run_streams, entry, OPEN_STREAMS, OPEN_STREAMS, LOAD_TOKENS
    )
    highest_mb = before_mb
    while not job.done():
      highest_mb = max(highest_mb, read_memory_mb(pid))
      time.sleep(0.02)
    job.result()
  click.echo(
      f'memory: {before_mb:.0f} MB before, {highest_mb:.0f} MB at'
      f' {OPEN_STREAMS} open streams'
  )


def main() -> int:
  """Runs all measurements."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  with local_cluster.LocalCluster(LOG_FOLDER, ()) as cluster:
    direct = []
    for number in range(ENGINES):
      engine = cluster.fleet.start_engine(
          f'engine-{number}',
          1,
          '--models',
          'm@1',
          '--decode-step-s',
          '0.004',
          '--decode-seq-s',
          '0',
      )
      direct.append(Target(engine.url + '/generate', False))
    cluster.apply(json.dumps(DECLARATION).encode())
    host = cluster.spawn_entry('entry', 1, '--log-level', 'warning')
    cluster.wait_entries()
    pid = host.program.process.pid
    time.sleep(1.0)
    click.echo(f'memory: {read_memory_mb(pid):.0f} MB idle')
    entry = [Target(host.program.url + '/v1/completions', True)]
    measure_latency(direct, entry)
    measure_load(entry, pid)
    measure_memory(entry, pid)
  return 0


if __name__ == '__main__':
  sys.exit(main())
