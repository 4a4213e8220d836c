"""Measures completions and bookings during an outage of the platform.

Both kinds of requests run in two zones while the platform refuses every call
for minutes. For each phase, prints the completions and bookings by outcome and
the platform calls per second by kind, which would show a burst of calls after
the outage.
"""

import concurrent.futures
import itertools
import pathlib
import shutil
import sys
import time
from typing import NamedTuple

import click

from standins import bookings
from standins import demo
from standins import load
from standins import load_client
from standins import load_plan
from standins import local_cluster

LOG_FOLDER = pathlib.Path('out/bench-outage')
PHASE_DURATION_S = 20.0
OUTAGE_S = 150.0
BOOKINGS_PER_S = 4.0
RATE_BY_CLASS = {'questions': 8.0, 'summaries': 2.0}
CALL_KINDS = ('get', 'put', 'delete', 'list', 'watch', 'hosts', 'refused')


class PhaseResult(NamedTuple):
  """Results of one phase.

  Attributes:
    name: Name of the phase.
    calls_per_s: Platform calls per second, by kind.
    count_by_outcome: Completions by outcome.
    count_by_booking_outcome: Attempts at bookings by status and error type.
    slowest_refusal_s: Longest time until a booking was refused.
  """

  name: str
  calls_per_s: dict[str, float]
  count_by_outcome: dict[str, int]
  count_by_booking_outcome: dict[str, int]
  slowest_refusal_s: float


def book_once(client: bookings.BookingClient, number: int) -> tuple[str, float]:
  """Sends a booking once; returns its outcome and how long it took."""
  booking = bookings.Booking(
      f'outage-{number}', 'booking-desk', 'mills', '', b'{}'
  )
  started_at = time.monotonic()
  answer = client.send(booking, number)
  took_s = time.monotonic() - started_at
  if answer.kind:
    return f'{answer.status} {answer.kind} {answer.run}', took_s
  return f'{answer.status}', took_s


def run_phase(
    cluster: local_cluster.LocalCluster,
    name: str,
    seconds: float,
    numbers: itertools.count,
) -> PhaseResult:
  """Runs both kinds of requests for a phase, and counts the outcomes."""
  before = cluster.fleet.call(cluster.fleet.platform, 'GET', '/calls')
  urls = cluster.list_urls()
  arrivals = load_plan.plan_arrivals(
      demo.CLASSES, [load_plan.Phase(seconds, RATE_BY_CLASS)], len(name)
  )
  client = bookings.BookingClient(urls)
  with concurrent.futures.ThreadPoolExecutor(64) as pool:
    loading = pool.submit(load.run_load, load_client.LoadClient(urls), arrivals)
    booked = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
      booked.append(pool.submit(book_once, client, next(numbers)))
      time.sleep(1 / BOOKINGS_PER_S)
    answers = [future.result() for future in booked]
    after = cluster.fleet.call(cluster.fleet.platform, 'GET', '/calls')
    results = loading.result()
  return PhaseResult(
      name,
      {kind: (after[kind] - before[kind]) / seconds for kind in CALL_KINDS},
      _count(result.outcome for result in results),
      _count(answer for answer, _ in answers),
      max((took for answer, took in answers if answer != '200'), default=0.0),
  )


def _count(values) -> dict[str, int]:
  count_by_value: dict[str, int] = {}
  for value in values:
    count_by_value[value] = count_by_value.get(value, 0) + 1
  return count_by_value


def print_phase(phase: PhaseResult) -> None:
  """Prints the results of one phase."""
  calls = ' '.join(
      f'{kind}={rate:.2f}' for kind, rate in phase.calls_per_s.items()
  )
  click.echo(f'{phase.name}:')
  click.echo(f'  platform calls a second: {calls}')
  click.echo(f'  completions: {phase.count_by_outcome}')
  click.echo(f'  bookings: {phase.count_by_booking_outcome}')
  click.echo(f'  slowest refusal: {phase.slowest_refusal_s:.3f} s')


def main() -> int:
  """Measures before, during and after an outage; 0 if no booking ran twice."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  numbers = itertools.count()
  with demo.start_cluster(LOG_FOLDER) as cluster:
    print_phase(run_phase(cluster, 'before', PHASE_DURATION_S, numbers))
    cluster.fleet.put_fault(cluster.fleet.platform, outage_s=OUTAGE_S)
    print_phase(run_phase(cluster, 'outage', OUTAGE_S, numbers))
    print_phase(run_phase(cluster, 'first 5 s after', 5.0, numbers))
    print_phase(run_phase(cluster, 'after', PHASE_DURATION_S, numbers))
    counts = demo.count_executions(cluster)
  doubled = {key: count for key, count in counts.items() if count > 1}
  click.echo(f'bookings run twice: {len(doubled)}')
  return 1 if doubled else 0


if __name__ == '__main__':
  sys.exit(main())
