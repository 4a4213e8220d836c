"""Demo: a cluster of two zones serves all requests while parts of it fail.

The demo starts the stand-ins and the product, applies a declaration and sends
completions and bookings through both zones. Meanwhile it crashes an engine in
mid-stream and stops an entry host. It checks every answer token by token and
the number of executions of every booking, prints a table, and exits 0 only if
no answer was cut, wrong or failed and no booking ran twice.
"""

import concurrent.futures
import pathlib
import shutil
import subprocess
import sys
import threading
import time
from typing import NamedTuple

import click

from standins import bookings
from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import local_cluster

ZONES = (1, 2)
ENTRIES_PER_ZONE = 2
ENGINES_PER_ZONE = 2
SEED = 11
PHASE_S = 12.0
CRASH_AT_S = 4.0
STOP_AT_S = 6.0
BOOKINGS = 60
BOOKINGS_PER_S = 6.0
LOG_FOLDER = pathlib.Path('out/demo')
DECLARATION_MODULE = 'examples.small_town'
OPERATE_MODULE = 'mulberrypick.scripts.operate'

CLASSES = [
    load_plan.WorkClass(
        'questions',
        'dispatch-assistant',
        'yard-talk',
        tenant='drivers',
        rank='urgent',
        deadline_s=20.0,
        first_token_s=0.48,
        prompt_tokens=(20, 60),
        output_tokens=(20, 60),
    ),
    load_plan.WorkClass(
        'summaries',
        'reading-guide',
        'long-read',
        tenant='circles',
        rank='other',
        deadline_s=40.0,
        prompt_tokens=(400, 1200),
        output_tokens=(60, 160),
    ),
]
RATE_BY_CLASS = {'questions': 8.0, 'summaries': 3.0}


class Outcome(NamedTuple):
  """Results of the demo.

  Attributes:
    results: Results of completions.
    bookings: Results of bookings.
    faults: Bookings whose executions do not match their answers.
    stop_status: Exit status of the entry that was stopped.
  """

  results: list[load_summary.Result]
  bookings: list[bookings.BookingResult]
  faults: list[bookings.BookingViolation]
  stop_status: int


def start_cluster(log_folder: pathlib.Path) -> local_cluster.LocalCluster:
  """Starts the cluster of the demo and applies its declaration."""
  cluster = local_cluster.LocalCluster(log_folder, ())
  try:
    for zone in ZONES:
      for number in range(ENGINES_PER_ZONE):
        cluster.fleet.start_engine(
            f'engine-{zone}-{number}',
            zone,
            '--models',
            'yard-talk@1,long-read@1',
        )
      cluster.fleet.start_service(f'desk-{zone}', zone, 'booking-desk')
    apply_declaration(cluster, log_folder / 'small_town.json')
    for zone in ZONES:
      for number in range(ENTRIES_PER_ZONE):
        cluster.spawn_entry(f'entry-{zone}-{number}', zone, '--notice-s', '1')
    for zone in ZONES:
      for number in range(ENTRIES_PER_ZONE):
        cluster.start_controller(f'controller-{zone}-{number}', zone)
    cluster.wait_entries()
  except BaseException:
    cluster.fleet.stop()
    raise
  return cluster


def apply_declaration(
    cluster: local_cluster.LocalCluster, path: pathlib.Path
) -> None:
  """Writes, plans and applies the declaration, as an operator does."""
  path.write_bytes(run_module(DECLARATION_MODULE))
  operate = (OPERATE_MODULE, '--platform-url', cluster.platform_url)
  click.echo(run_module(*operate, 'plan', str(path)).decode())
  apply = ('apply', str(path), '--planned-on', '0')
  click.echo(run_module(*operate, *apply).decode())


def print_status(cluster: local_cluster.LocalCluster) -> None:
  """Prints the status of the whole cluster, as an operator sees it."""
  entries = [host.operator_address for host in cluster.entry_by_name.values()]
  status = run_module(
      OPERATE_MODULE,
      '--platform-url',
      cluster.platform_url,
      '--entries',
      ','.join(entries),
      '--controllers',
      ','.join(cluster.controller_addresses),
      'status',
  )
  click.echo(status.decode())


def run_module(module: str, *arguments: str) -> bytes:
  """Runs a module until it exits; returns its standard output."""
  command = [sys.executable, '-m', module, *arguments]
  return subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout


def run_scenario(cluster: local_cluster.LocalCluster) -> Outcome:
  """Sends all requests while an engine crashes and an entry stops."""
  urls = cluster.list_urls()
  stop_status = []

  def fail_parts() -> None:
    time.sleep(CRASH_AT_S)
    engine = cluster.fleet.program_by_name['engine-1-0']
    cluster.fleet.put_fault(engine, crash_after_tokens=5)
    time.sleep(STOP_AT_S - CRASH_AT_S)
    stop_status.append(cluster.stop_entry('entry-2-0'))

  failing = threading.Thread(target=fail_parts)
  failing.start()
  with concurrent.futures.ThreadPoolExecutor(2) as pool:
    booked = pool.submit(make_bookings, urls)
    phases = [load_plan.Phase(PHASE_S, RATE_BY_CLASS)]
    arrivals = load_plan.plan_arrivals(CLASSES, phases, SEED)
    results = load.run_load(load_client.LoadClient(urls), arrivals)
    made_bookings = booked.result()
  failing.join()
  counts = count_executions(cluster)
  faults = bookings.check_bookings(made_bookings, counts)
  return Outcome(results, made_bookings, faults, stop_status[0])


def make_bookings(urls: list[str]) -> list[bookings.BookingResult]:
  """Sends all bookings, every fifth of them twice at the same time."""
  client = bookings.BookingClient(urls)
  with concurrent.futures.ThreadPoolExecutor(32) as pool:
    futures = []
    for number in range(BOOKINGS):
      booking = bookings.Booking(
          f'pickup-{number}', 'booking-desk', 'mills', '', b'{"bales": 4}'
      )
      futures.append(pool.submit(client.book, booking, number))
      if number % 5 == 0:
        futures.append(pool.submit(client.book, booking, number + 1))
      time.sleep(1 / BOOKINGS_PER_S)
    return [future.result() for future in futures]


def count_executions(cluster: local_cluster.LocalCluster) -> dict[str, int]:
  """Returns the executions by booking key, summed over all booking services."""
  count_by_key: dict[str, int] = {}
  for zone in ZONES:
    desk = cluster.fleet.program_by_name[f'desk-{zone}']
    counts = cluster.fleet.call(desk, 'GET', '/executions')['count_by_key']
    for key, count in counts.items():
      count_by_key[key] = count_by_key.get(key, 0) + count
  return count_by_key


def print_table(outcome: Outcome) -> None:
  """Prints one line per rank, and one for the bookings."""
  header = (
      f'{"rank":10}{"requests":>9}{"whole":>7}{"cut":>5}{"wrong":>7}'
      f'{"refused":>9}{"failed":>8}{"goodput/s":>11}'
      f'{"p50 first":>11}{"p95 first":>11}'
  )
  click.echo(header)
  for rank in ('urgent', 'other'):
    results = [result for result in outcome.results if result.rank == rank]
    summary = load_summary.summarize(results, PHASE_S)
    count = summary.count_by_outcome
    click.echo(
        f'{rank:10}{summary.requests:9}{count.get("whole", 0):7}'
        f'{count.get("cut", 0):5}{count.get("wrong", 0):7}'
        f'{count.get("refused", 0):9}{count.get("failed", 0):8}'
        f'{summary.goodput_per_s:11.2f}'
        f'{summary.first_token.p50_s * 1000:8.0f} ms'
        f'{summary.first_token.p95_s * 1000:8.0f} ms'
    )
  booked = [result for result in outcome.bookings if result.outcome == 'booked']
  click.echo(
      f'bookings: {len(outcome.bookings)} sent, {len(booked)} booked,'
      f' {len(outcome.faults)} with unexpected executions;'
      f' stopped entry exited with {outcome.stop_status}'
  )
  for fault in outcome.faults:
    click.echo(f'  fault: {fault}')


def meets_guarantees(outcome: Outcome) -> bool:
  """Returns whether all checks passed.

  No answer may be cut, wrong or failed, the executions of all bookings must
  match their answers, and the stopped entry must have exited with status 0.
  """
  bad = ('cut', 'wrong', 'failed')
  if any(result.outcome in bad for result in outcome.results):
    return False
  return not outcome.faults and outcome.stop_status == 0


def main() -> int:
  """Runs the demo; returns 0 only if all checks passed."""
  started_at = time.monotonic()
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  with start_cluster(LOG_FOLDER) as cluster:
    outcome = run_scenario(cluster)
    print_status(cluster)
  print_table(outcome)
  verdict = 'passed' if meets_guarantees(outcome) else 'FAILED'
  click.echo(f'checks {verdict}, {time.monotonic() - started_at:.0f} s')
  return 0 if meets_guarantees(outcome) else 1


if __name__ == '__main__':
  sys.exit(main())
