"""Measures the time of a dispatcher's decisions, and its memory.

    python -m standins.bench_decisions

For each number of replicas and tenants, it runs requests through a dispatcher
with the default policies: first with free endpoints, where each request starts
at once, then with full endpoints, where requests queue until others end.
"""

import random
import time
import tracemalloc

import click

from mulberrypick.core import admission
from mulberrypick.core import dispatch
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing

ZONES = 5
DEADLINE_S = 60.0
IN_FLIGHT_PER_REPLICA = 4
MAX_WAITING = 2000


def make_config(tenants: int) -> records.Config:
  """Returns a configuration whose tenants have equal shares."""
  tenant_by_name = {}
  for number in range(tenants):
    name = f'tenant-{number}'
    tenant_by_name[name] = records.Tenant(name, 1 / tenants, (), (), '')
  return records.Config(
      1,
      {},
      {
          'urgent': records.Rank('urgent', True, 0.5, 0.05, 5.0, 0.5),
          'other': records.Rank('other', False, 4.0, 0.2, DEADLINE_S, 0.3),
      },
      {},
      tenant_by_name,
  )


def make_dispatcher(
    replicas: int, config: records.Config, pieces_free: int
) -> dispatch.Dispatcher:
  """Returns a dispatcher that has a load report of each replica."""
  dispatcher = dispatch.Dispatcher(
      'entry-0',
      'z0',
      routing.make_router('predicted-time'),
      admission.make_admission('ranked-fair'),
      seed=1,
  )
  dispatcher.handle(messages.ConfigSeen(config), 0.0)
  hosts = []
  for number in range(replicas):
    hosts.append(_make_host(number))
  dispatcher.handle(messages.HostsSeen(tuple(hosts)), 0.0)
  for host in hosts:
    dispatcher.handle(_make_report(host.name, pieces_free), 0.0)
  return dispatcher


def _make_host(number: int) -> records.Host:
  return records.Host(
      f'engine-{number}',
      f'z{number % ZONES}',
      records.HOST_ENGINE,
      '127.0.0.1:1',
      '',
      '',
      1,
      records.STATE_LIVE,
      True,
  )


def _make_report(name: str, pieces_free: int) -> messages.ReportSeen:
  running = 0 if pieces_free else 8
  report = records.EngineReport(
      name,
      1,
      records.ROLE_MIXED,
      ('m',),
      0,
      running,
      2000,
      pieces_free,
      False,
      8000.0,
      0.02,
      0.0,
  )
  return messages.ReportSeen(report)


def make_request(
    number: int, tenants: int, now: float, rng: random.Random
) -> records.InferenceRequest:
  """Returns a request of a random tenant."""
  rank = 'urgent' if number % 4 == 0 else 'other'
  return records.InferenceRequest(
      f'r{number}',
      f'tenant-{rng.randrange(tenants)}',
      rank,
      'guide',
      'm',
      '',
      f'prompt {number}',
      200,
      100,
      now,
      now + DEADLINE_S,
  )


class Durations:
  """Durations of dispatcher calls, in microseconds."""

  def __init__(self):
    self.times_us: list[float] = []

  def run(self, dispatcher, message, now) -> list:
    """Handles one message, and records how long it took."""
    started_at = time.perf_counter()
    effects = dispatcher.handle(message, now)
    self.times_us.append((time.perf_counter() - started_at) * 1e6)
    return effects

  def percentile(self, percent: float) -> float:
    """Returns a percentile of the durations."""
    ordered = sorted(self.times_us)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def make_attempt_ended(start: messages.Start) -> messages.AttemptEnded:
  """Returns the message that an attempt ended with a complete answer."""
  attempt = start.attempt
  return messages.AttemptEnded(
      start.request_id,
      attempt.attempt_id,
      attempt.endpoint,
      messages.OUTCOME_WHOLE,
      60,
      200,
      0,
  )


def bench_immediate_starts(
    dispatcher, tenants, count, rng
) -> tuple[Durations, Durations]:
  """Measures calls for requests that start at once, and for ended attempts."""
  submits, ends = Durations(), Durations()
  open_starts = []
  max_in_flight = IN_FLIGHT_PER_REPLICA * 8
  for number in range(count):
    now = number * 0.001
    request = make_request(number, tenants, now, rng)
    open_starts += submits.run(dispatcher, messages.Submit(request, 0, ()), now)
    if len(open_starts) > max_in_flight:
      dispatcher.handle(_make_first_token(open_starts[0]), now)
      ends.run(dispatcher, make_attempt_ended(open_starts.pop(0)), now)
  return submits, ends


def bench_queued_starts(
    dispatcher, tenants, count, rng
) -> tuple[Durations, Durations]:
  """Measures calls for requests that queue, and for ends that start one."""
  submits, ends = Durations(), Durations()
  open_starts = []
  number = 0
  while len(ends.times_us) < count and number < 20 * count:
    now = number * 0.001
    request = make_request(number, tenants, now, rng)
    effects = submits.run(dispatcher, messages.Submit(request, 0, ()), now)
    open_starts += [e for e in effects if isinstance(e, messages.Start)]
    number += 1
    if number % 2 == 0 and open_starts:
      start = open_starts.pop(0)
      dispatcher.handle(_make_first_token(start), now)
      effects = ends.run(dispatcher, make_attempt_ended(start), now)
      open_starts += [e for e in effects if isinstance(e, messages.Start)]
  return submits, ends


def _make_first_token(start: messages.Start) -> messages.FirstToken:
  return messages.FirstToken(start.request_id, start.attempt.attempt_id)


def measure(replicas: int, tenants: int, count: int) -> dict[str, float]:
  """Measures one size; durations are in microseconds, memory in KiB."""
  rng = random.Random(3)
  config = make_config(tenants)
  tracemalloc.start()
  before = tracemalloc.get_traced_memory()[0]
  dispatcher = make_dispatcher(replicas, config, 2000)
  bench_immediate_starts(dispatcher, tenants, count, rng)
  after = tracemalloc.get_traced_memory()[0]
  tracemalloc.stop()
  dispatcher = make_dispatcher(replicas, config, 2000)
  submits, ends = bench_immediate_starts(dispatcher, tenants, count, rng)
  row = {
      'kib': (after - before) / 1024,
      'start_p50': submits.percentile(50),
      'start_p99': submits.percentile(99),
      'end_p50': ends.percentile(50),
  }
  dispatcher = make_dispatcher(replicas, config, 0)
  submits, ends = bench_queued_starts(dispatcher, tenants, count, rng)
  row['wait_p50'] = submits.percentile(50)
  row['wait_p99'] = submits.percentile(99)
  row['next_p50'] = ends.percentile(50) if ends.times_us else 0.0
  row |= measure_messages(dispatcher, replicas)
  return row


def measure_messages(dispatcher, replicas: int) -> dict[str, float]:
  """Measures calls that handle load reports, peer messages and ticks."""
  now = 1000.0
  reports, peers, ticks = Durations(), Durations(), Durations()
  peer_message = dispatcher.make_peer_message(now)
  for number in range(200):
    name = f'engine-{number % replicas}'
    reports.run(dispatcher, _make_report(name, 0), now)
    peers.run(dispatcher, peer_message._replace(peer='entry-1'), now)
    ticks.run(dispatcher, messages.Tick(), now)
    now += 0.02
  return {
      'report_p50': reports.percentile(50),
      'peer_p50': peers.percentile(50),
      'tick_p50': ticks.percentile(50),
  }


@click.command()
@click.option('--replicas', default='8,64,340,1700')
@click.option('--tenants', default='10,1000,43000')
@click.option('--count', default=4000, help='Number of requests for each size.')
def main(replicas: str, tenants: str, count: int):
  """Prints one line of figures for each number of replicas and tenants."""
  is_first = True
  for replica_count in map(int, replicas.split(',')):
    for tenant_count in map(int, tenants.split(',')):
      row = measure(replica_count, tenant_count, count)
      if is_first:
        click.echo('replicas tenants ' + ' '.join(row))
        is_first = False
      figures = ' '.join(f'{value:.0f}' for value in row.values())
      click.echo(f'{replica_count} {tenant_count} {figures}')


if __name__ == '__main__':
  main()
