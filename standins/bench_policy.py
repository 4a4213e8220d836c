"""Compares policies with real processes: entries, engines, load generators.

    python -m standins.bench_policy --scenarios steady,swing

Each scenario of `policy_scenarios.py` runs once with each policy, one run after
the other, with the same arrivals.
"""

import json
import multiprocessing
import pathlib
import shutil
import threading
import time
from concurrent import futures

import click

from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import local_cluster
from standins import policy_scenarios as scenario_defs

LOG_FOLDER = pathlib.Path('out/bench-policy')
LOAD_PROCESSES = 4
POLICY_BY_NAME = {
    'round-robin': ('round-robin', 'first-come'),
    'least': ('least-in-flight', 'first-come'),
    'product': ('predicted-time', 'ranked-fair'),
    'no-cache': ('predicted-time-without-cache', 'ranked-fair'),
}
ENGINE_FLAGS = (
    '--models',
    'm@1',
    '--prefill-tokens-per-s',
    '1500',
    '--decode-step-s',
    '0.06',
    '--decode-seq-s',
    '0.004',
)


def start_cluster(
    scenario: scenario_defs.Scenario, policy: str, folder: pathlib.Path
):
  """Starts a cluster whose entries use a policy."""
  cluster = local_cluster.LocalCluster(folder, ())
  try:
    for number in range(scenario_defs.ENGINES):
      flags = ENGINE_FLAGS + scenario.engine_flags
      cluster.fleet.start_engine(
          f'engine-{number}', scenario_defs.zone_of_number(number), *flags
      )
    cluster.apply(scenario_defs.make_declaration())
    router, admission = POLICY_BY_NAME[policy]
    for number in range(len(scenario_defs.ZONES)):
      flags = ('--router', router, '--admission', admission)
      cluster.spawn_entry(
          f'entry-{number}',
          scenario_defs.zone_of_number(number),
          *flags,
          '--threads',
          '600',
      )
    cluster.wait_entries()
  except BaseException:
    cluster.fleet.stop()
    raise
  return cluster


def run(
    scenario: scenario_defs.Scenario, policy: str, folder: pathlib.Path
) -> dict:
  """Runs one scenario with one policy, and returns its figures."""
  phases = scenario_defs.make_phases(scenario)
  arrivals = load_plan.plan_arrivals(
      scenario_defs.make_classes(), phases, scenario_defs.SEED
  )
  with start_cluster(scenario, policy, folder) as cluster:
    client = load_client.LoadClient(cluster.list_urls())
    event_threads = []
    if scenario.run_fleet_event is not None:
      event_threads.append(
          threading.Thread(target=scenario.run_fleet_event, args=(cluster,))
      )
    crash_sender = CrashRequestSender(client)
    if scenario.sends_crashing_requests:
      event_threads.append(threading.Thread(target=crash_sender.run))
    for event_thread in event_threads:
      event_thread.start()
    results = send(cluster.list_urls(), arrivals)
    for event_thread in event_threads:
      event_thread.join()
    counts_by_engine = read_engine_counts(cluster)
  seconds = sum(phase.duration_s for phase in phases) - scenario_defs.WARM_UP_S
  row = summarize(
      [r for r in results if r.at_s >= scenario_defs.WARM_UP_S], seconds
  )
  row |= summarize_engines(counts_by_engine, results)
  if scenario.sends_crashing_requests:
    row['crasher_answers'] = crash_sender.kinds
  return row


def send(urls: list[str], arrivals: list) -> list[load_summary.Result]:
  """Sends arrivals from several processes, since one would be too slow."""
  context = multiprocessing.get_context('spawn')
  parts = [arrivals[number::LOAD_PROCESSES] for number in range(LOAD_PROCESSES)]
  starts_at = time.monotonic() + scenario_defs.LOAD_START_DELAY_S
  with futures.ProcessPoolExecutor(LOAD_PROCESSES, context) as pool:
    sent = [pool.submit(send_part, urls, part, starts_at) for part in parts]
    return [result for part in sent for result in part.result()]


def send_part(
    urls: list[str], arrivals: list, starts_at: float
) -> list[load_summary.Result]:
  """Sends one part of the arrivals; runs in a process of its own."""
  client = load_client.LoadClient(urls)
  time.sleep(max(0.0, starts_at - time.monotonic()))
  return load.run_load(client, arrivals)


class CrashRequestSender:
  """Sends requests that crash engines, each several times."""

  def __init__(self, client: load_client.LoadClient):
    self.kinds: list[str] = []
    self._client = client

  def run(self) -> None:
    """Sends two different prompts, each five times in a row."""
    time.sleep(scenario_defs.LOAD_START_DELAY_S + scenario_defs.WARM_UP_S + 2.0)
    by_name = {c.name: c for c in scenario_defs.make_classes()}
    for content in range(2):
      for number in range(5):
        prompt = f'crash=always content {content} length=20'
        arrival = load_plan.Arrival(
            1_000_000 + 10 * content + number,
            0.0,
            by_name[f'crasher-{scenario_defs.FLOODING_TENANT}'],
            prompt,
        )
        result = self._client.run(arrival, time.monotonic())
        self.kinds.append(result.kind or result.outcome)
      time.sleep(4.0)


def read_engine_counts(
    cluster: local_cluster.LocalCluster,
) -> dict[str, dict | None]:
  """Reads the counters of each engine; None if it is not running."""
  counts_by_engine = {}
  for number in range(scenario_defs.ENGINES):
    name = f'engine-{number}'
    program = cluster.fleet.program_by_name[name]
    counts_by_engine[name] = None
    if program.process.poll() is None:
      counts_by_engine[name] = cluster.fleet.call(program, 'GET', '/calls')
  return counts_by_engine


def meets_targets(result: load_summary.Result) -> bool:
  """Returns whether all targets were met; time between tokens as a mean."""
  if not result.is_in_time:
    return False
  if not result.gaps_s:
    return True
  mean_s = sum(result.gaps_s) / len(result.gaps_s)
  return mean_s <= scenario_defs.BETWEEN_TOKENS_S_BY_RANK[result.rank]


def summarize(results: list[load_summary.Result], seconds: float) -> dict:
  """Returns the figures from the view of the callers."""
  row: dict[str, object] = {}
  for rank in scenario_defs.BETWEEN_TOKENS_S_BY_RANK:
    of_rank = [r for r in results if r.rank == rank]
    good = [r for r in of_rank if meets_targets(r)]
    row[f'{rank}_good'] = f'{len(good)}/{len(of_rank)}'
    row[f'{rank}_good_per_s'] = round(len(good) / seconds, 2)
    first = load_summary.percentiles(
        r.first_token_s for r in of_rank if r.tokens
    )
    row[f'{rank}_ttft'] = _spread_text(first)
    between = load_summary.percentiles(g for r in of_rank for g in r.gaps_s)
    row[f'{rank}_between'] = _spread_text(between)
    by_tenant = {}
    for tenant in scenario_defs.SHARE_BY_TENANT:
      of_tenant = [r for r in of_rank if r.tenant == tenant]
      count = sum(1 for r in of_tenant if meets_targets(r))
      by_tenant[tenant] = f'{count}/{len(of_tenant)}'
    row[f'{rank}_by_tenant'] = by_tenant
  summary = load_summary.summarize(results, seconds)
  row['outcomes'] = summary.count_by_outcome
  row['kinds'] = summary.count_by_kind
  row['refusal'] = _spread_text(summary.refusal)
  row['sent_late'] = _spread_text(summary.late)
  return row


def summarize_engines(counts_by_engine, results) -> dict:
  """Returns the work of the engines, and how much of it was wasted."""
  work = []
  tokens = 0
  prefill_tokens = 0
  for counts in counts_by_engine.values():
    if counts is None:
      continue
    tokens += counts['tokens']
    prefill_tokens += counts['prefill_tokens']
    work.append(counts['prefill_tokens'] / 1500 + counts['tokens'] * 0.01)
  useful_tokens = sum(r.tokens for r in results if meets_targets(r))
  return {
      'engines_gone': sum(
          1 for counts in counts_by_engine.values() if counts is None
      ),
      'prefill_tokens': prefill_tokens,
      'wasted_tokens': max(0, tokens - useful_tokens),
      'max_min_load': round(max(work) / max(0.001, min(work)), 2),
  }


def _spread_text(percentiles: load_summary.Percentiles) -> str:
  return '/'.join(f'{value:.3f}' for value in percentiles)


@click.command()
@click.option('--scenarios', default=','.join(scenario_defs.SCENARIO_BY_NAME))
@click.option('--policies', default='least,product')
def main(scenarios: str, policies: str):
  """Prints the figures of each scenario and policy, times as p50/p95/p99."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  for name in scenarios.split(','):
    for policy in policies.split(','):
      folder = LOG_FOLDER / f'{name}-{policy}'
      row = run(scenario_defs.SCENARIO_BY_NAME[name], policy, folder)
      click.echo(f'{name} {policy}')
      for key, value in row.items():
        text = value if isinstance(value, str) else json.dumps(value)
        click.echo(f'  {key}={text}')


if __name__ == '__main__':
  main()
