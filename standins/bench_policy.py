"""Measures the policies with real processes: entries, engines and a load tool.

    python -m standins.bench_policy --scenarios steady,swing

Each scenario runs once for each policy, one after the other in the same
session, with the same arrivals. What the scenarios are stands in
`policy_scenarios.py`.
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
from standins import policy_scenarios as scenes
from standins import town

LOG_FOLDER = pathlib.Path('out/bench-policy')
LOADERS = 4
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


def start_town(scenario: scenes.Scenario, policy: str, folder: pathlib.Path):
  """Starts engines and entries with a policy."""
  made = town.Town(folder, ())
  try:
    for number in range(scenes.ENGINES):
      flags = ENGINE_FLAGS + scenario.engine_flags
      made.fleet.start_engine(
          f'engine-{number}', scenes.zone_of(number), *flags
      )
    made.apply(scenes.make_declaration())
    router, admission = POLICY_BY_NAME[policy]
    for number in range(len(scenes.ZONES)):
      flags = ('--router', router, '--admission', admission)
      made.spawn_entry(
          f'entry-{number}', scenes.zone_of(number), *flags, '--threads', '600'
      )
    made.wait_entries()
  except BaseException:
    made.fleet.stop()
    raise
  return made


def run(scenario: scenes.Scenario, policy: str, folder: pathlib.Path) -> dict:
  """Runs one scenario with one policy and returns its figures."""
  phases = scenes.make_phases(scenario)
  arrivals = load_plan.plan_arrivals(scenes.make_classes(), phases, scenes.SEED)
  with start_town(scenario, policy, folder) as made:
    client = load_client.LoadClient(made.list_urls())
    actors = []
    if scenario.act is not None:
      actors.append(threading.Thread(target=scenario.act, args=(made,)))
    crasher = Crasher(client)
    if scenario.crashers:
      actors.append(threading.Thread(target=crasher.run))
    for actor in actors:
      actor.start()
    results = send(made.list_urls(), arrivals)
    for actor in actors:
      actor.join()
    calls = read_calls(made)
  seconds = sum(phase.duration_s for phase in phases) - scenes.WARM_S
  row = summarize([r for r in results if r.at_s >= scenes.WARM_S], seconds)
  row |= summarize_engines(calls, results)
  if scenario.crashers:
    row['crasher_answers'] = crasher.kinds
  return row


def send(urls: list[str], arrivals: list) -> list[load_summary.Result]:
  """Sends arrivals from several processes, as one can't send them in time."""
  context = multiprocessing.get_context('spawn')
  parts = [arrivals[number::LOADERS] for number in range(LOADERS)]
  starts_at = time.monotonic() + scenes.LOADER_START_S
  with futures.ProcessPoolExecutor(LOADERS, context) as pool:
    sent = [pool.submit(send_part, urls, part, starts_at) for part in parts]
    return [result for part in sent for result in part.result()]


def send_part(
    urls: list[str], arrivals: list, starts_at: float
) -> list[load_summary.Result]:
  """Sends a part of the arrivals, from a process of its own."""
  client = load_client.LoadClient(urls)
  time.sleep(max(0.0, starts_at - time.monotonic()))
  return load.run_load(client, arrivals)


class Crasher:
  """Sends a request that crashes engines, again and again."""

  def __init__(self, client: load_client.LoadClient):
    self.kinds: list[str] = []
    self._client = client

  def run(self) -> None:
    """Sends two contents, each five times in a row."""
    time.sleep(scenes.LOADER_START_S + scenes.WARM_S + 2.0)
    by_name = {c.name: c for c in scenes.make_classes()}
    for content in range(2):
      for number in range(5):
        prompt = f'crash=always content {content} length=20'
        arrival = load_plan.Arrival(
            1_000_000 + 10 * content + number,
            0.0,
            by_name[f'crasher-{scenes.FLOODER}'],
            prompt,
        )
        result = self._client.run(arrival, time.monotonic())
        self.kinds.append(result.kind or result.outcome)
      time.sleep(4.0)


def read_calls(made: town.Town) -> dict[str, dict | None]:
  """Reads what each engine did; None for one that is gone."""
  calls = {}
  for number in range(scenes.ENGINES):
    name = f'engine-{number}'
    program = made.fleet.program_by_name[name]
    calls[name] = None
    if program.process.poll() is None:
      calls[name] = made.fleet.call(program, 'GET', '/calls')
  return calls


def is_good(result: load_summary.Result) -> bool:
  """Tells whether all targets were met, between tokens in the mean."""
  if not result.is_in_time:
    return False
  if not result.gaps_s:
    return True
  mean_s = sum(result.gaps_s) / len(result.gaps_s)
  return mean_s <= scenes.BETWEEN_BY_RANK[result.rank]


def summarize(results: list[load_summary.Result], seconds: float) -> dict:
  """Returns the figures that callers see."""
  row: dict[str, object] = {}
  for rank in scenes.BETWEEN_BY_RANK:
    mine = [r for r in results if r.rank == rank]
    good = [r for r in mine if is_good(r)]
    row[f'{rank}_good'] = f'{len(good)}/{len(mine)}'
    row[f'{rank}_good_per_s'] = round(len(good) / seconds, 2)
    first = load_summary.spread(r.first_token_s for r in mine if r.tokens)
    row[f'{rank}_ttft'] = _spread_text(first)
    between = load_summary.spread(g for r in mine for g in r.gaps_s)
    row[f'{rank}_between'] = _spread_text(between)
    by_tenant = {}
    for tenant in scenes.SHARE_BY_TENANT:
      of_tenant = [r for r in mine if r.tenant == tenant]
      count = sum(1 for r in of_tenant if is_good(r))
      by_tenant[tenant] = f'{count}/{len(of_tenant)}'
    row[f'{rank}_by_tenant'] = by_tenant
  whole = load_summary.summarize(results, seconds)
  row['outcomes'] = whole.count_by_outcome
  row['kinds'] = whole.count_by_kind
  row['refusal'] = _spread_text(whole.refusal)
  row['sent_late'] = _spread_text(whole.late)
  return row


def summarize_engines(calls, results) -> dict:
  """Returns what the engines did, and how much of it was for nothing."""
  work = []
  tokens = 0
  prefill_tokens = 0
  for counted in calls.values():
    if counted is None:
      continue
    tokens += counted['tokens']
    prefill_tokens += counted['prefill_tokens']
    work.append(counted['prefill_tokens'] / 1500 + counted['tokens'] * 0.01)
  useful = sum(r.tokens for r in results if is_good(r))
  return {
      'engines_gone': sum(1 for counted in calls.values() if counted is None),
      'prefill_tokens': prefill_tokens,
      'wasted_tokens': max(0, tokens - useful),
      'max_min_load': round(max(work) / max(0.001, min(work)), 2),
  }


def _spread_text(spread: load_summary.Spread) -> str:
  return '/'.join(f'{value:.3f}' for value in spread)


@click.command()
@click.option('--scenarios', default=','.join(scenes.SCENARIO_BY_NAME))
@click.option('--policies', default='least,product')
def main(scenarios: str, policies: str):
  """Prints the figures of each scenario and policy; times p50/p95/p99."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  for name in scenarios.split(','):
    for policy in policies.split(','):
      folder = LOG_FOLDER / f'{name}-{policy}'
      row = run(scenes.SCENARIO_BY_NAME[name], policy, folder)
      click.echo(f'{name} {policy}')
      for key, value in row.items():
        text = value if isinstance(value, str) else json.dumps(value)
        click.echo(f'  {key}={text}')


if __name__ == '__main__':
  main()
