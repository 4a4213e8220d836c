"""Measures the policies with real processes: entries, engines and a load tool.

    python -m standins.bench_policy --scenarios steady,swing

Each scenario runs once for each policy, one after the other in the same
session, with the same arrivals. Engines are slowed so that a dozen of them and
their load fit on one machine; loads are given in engine seconds a second.
"""

import json
import multiprocessing
import pathlib
import shutil
import threading
import time
from collections.abc import Callable
from concurrent import futures
from typing import NamedTuple

import click

from standins import launcher
from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import town

LOG_FOLDER = pathlib.Path('out/bench-policy')
ZONES = (1, 2, 3)
ENGINES = 12
WARM_S = 6.0
LOADERS = 4
LOADER_START_S = 2.0
SEED = 23
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
SHARE_BY_TENANT = {'prevoz': 0.4, 'kumamoto': 0.3, 'yard': 0.2, 'mill': 0.1}
# Reading sets, each shared by a circle.
SETS = 6
FLOODER = 'mill'
BETWEEN_BY_RANK = {'urgent': 0.24, 'other': 0.6}
FIRST_BY_RANK = {'urgent': 1.0, 'other': 6.0}
DEADLINE_BY_RANK = {'urgent': 15.0, 'other': 40.0}


class Shape(NamedTuple):
  """One kind of request.

  Attributes:
    rank: Its rank.
    prompt_tokens: Least and most tokens of the prompt.
    output_tokens: Least and most tokens of the answer.
    engine_s: Engine seconds that one takes, about.
  """

  rank: str
  prompt_tokens: tuple[int, int]
  output_tokens: tuple[int, int]
  engine_s: float


SHAPE_BY_NAME = {
    'question': Shape('urgent', (40, 80), (30, 50), 0.35),
    'summary': Shape('other', (1500, 2500), (30, 50), 1.7),
    'guide': Shape('other', (60, 100), (90, 150), 0.85),
    'set': Shape('other', (1500, 2500), (30, 50), 1.7),
    'crasher': Shape('other', (40, 60), (20, 20), 0.2),
}


class Part(NamedTuple):
  """Load of one shape in one phase, in engine seconds a second.

  Attributes:
    shape: Name of the shape.
    load: The load.
    tenant: The only tenant, or empty for all by their shares.
  """

  shape: str
  load: float
  tenant: str = ''


STEADY = (Part('question', 1.5), Part('summary', 4.0), Part('guide', 3.0))
PROMPTS = (Part('question', 1.5), Part('summary', 11.0), Part('guide', 1.0))
OUTPUTS = (Part('question', 1.5), Part('summary', 1.0), Part('guide', 14.0))


class Scenario(NamedTuple):
  """What happens in one run.

  Attributes:
    phases: Duration in seconds and load of each phase, after the warm-up.
    engine_flags: More flags of the engines.
    act: Runs beside the load, if anything happens to the fleet.
    crashers: Whether crashing requests are sent.
  """

  phases: tuple[tuple[float, tuple[Part, ...]], ...]
  engine_flags: tuple[str, ...] = ()
  act: Callable[[town.Town], None] | None = None
  crashers: bool = False


def crash_and_withdraw(made: town.Town) -> None:
  """Crashes an engine, and withdraws another a little later."""
  time.sleep(LOADER_START_S + WARM_S + 4.0)
  engine = made.fleet.program_by_name['engine-0']
  made.fleet.put_fault(engine, crash_after_tokens=1)
  time.sleep(4.0)
  leaving = made.fleet.program_by_name['engine-5']
  host = launcher.make_host('engine-5', zone_of(5), 'engine', leaving.address)
  made.fleet.put_host(host._replace(state='leaving', incarnation=1))


SCENARIO_BY_NAME = {
    'steady': Scenario(((20.0, STEADY),)),
    'swing': Scenario(
        ((10.0, PROMPTS), (10.0, OUTPUTS), (10.0, PROMPTS), (10.0, OUTPUTS))
    ),
    'flood-other': Scenario(
        ((20.0, (*STEADY, Part('summary', 60.0, FLOODER))),)
    ),
    'flood-urgent': Scenario(
        ((20.0, (*STEADY, Part('question', 60.0, FLOODER))),)
    ),
    'crash-swing': Scenario(
        ((10.0, PROMPTS), (10.0, OUTPUTS)), act=crash_and_withdraw
    ),
    'lag': Scenario(
        ((10.0, PROMPTS), (10.0, OUTPUTS)), ('--load-lag-s', '3.0')
    ),
    'prefix': Scenario(((20.0, (Part('question', 1.5), Part('set', 7.0))),)),
    'crasher': Scenario(((24.0, STEADY),), crashers=True),
}


def zone_of(number: int) -> int:
  """Returns the zone of an engine or entry."""
  return ZONES[number % len(ZONES)]


def make_classes() -> list[load_plan.WorkClass]:
  """Makes one class for each shape and tenant."""
  classes = []
  for name, shape in SHAPE_BY_NAME.items():
    for tenant in SHARE_BY_TENANT:
      classes.append(
          load_plan.WorkClass(
              f'{name}-{tenant}',
              name,
              'm',
              tenant=tenant,
              rank=shape.rank,
              deadline_s=DEADLINE_BY_RANK[shape.rank],
              first_token_s=FIRST_BY_RANK[shape.rank],
              prompt_tokens=shape.prompt_tokens,
              output_tokens=shape.output_tokens,
              max_tokens=256,
              prefix_tokens=1400 if name == 'set' else 0,
              groups=SETS,
          )
      )
  return classes


def make_phases(scenario: Scenario) -> list[load_plan.Phase]:
  """Makes the phases of a run, with half a load as warm-up."""
  warm = tuple(part._replace(load=part.load / 2) for part in STEADY)
  phases = []
  for duration_s, parts in ((WARM_S, warm), *scenario.phases):
    rate_by_class: dict[str, float] = {}
    for part in parts:
      rate = part.load / SHAPE_BY_NAME[part.shape].engine_s
      shares = {part.tenant: 1.0} if part.tenant else SHARE_BY_TENANT
      for tenant, share in shares.items():
        name = f'{part.shape}-{tenant}'
        rate_by_class[name] = rate_by_class.get(name, 0.0) + rate * share
    phases.append(load_plan.Phase(duration_s, rate_by_class))
  return phases


def make_declaration() -> bytes:
  """Makes the configuration of the bench."""
  ranks = []
  for name, reserve in (('urgent', 0.5), ('other', 0.3)):
    ranks.append(
        {
            'name': name,
            'is_urgent': name == 'urgent',
            'first_token_s': FIRST_BY_RANK[name],
            'between_tokens_s': BETWEEN_BY_RANK[name],
            'deadline_s': DEADLINE_BY_RANK[name],
            'reserve': reserve,
        }
    )
  services = []
  for name, shape in SHAPE_BY_NAME.items():
    services.append(
        {
            'name': name,
            'kind': 'model',
            'model': 'm',
            'rank': shape.rank,
            'timeout_s': 60.0,
        }
    )
  tenants = []
  for name, share in SHARE_BY_TENANT.items():
    tenants.append(
        {
            'name': name,
            'share': share,
            'services': list(SHAPE_BY_NAME),
            'ranks': ['urgent', 'other'],
        }
    )
  declaration = {
      'format': 1,
      'models': [{'name': 'm', 'version': '1', 'replicas': ENGINES}],
      'ranks': ranks,
      'services': services,
      'tenants': tenants,
  }
  return json.dumps(declaration).encode()


def start_town(scenario: Scenario, policy: str, folder: pathlib.Path):
  """Starts engines and entries with a policy."""
  made = town.Town(folder, ())
  try:
    for number in range(ENGINES):
      flags = ENGINE_FLAGS + scenario.engine_flags
      made.fleet.start_engine(f'engine-{number}', zone_of(number), *flags)
    made.apply(make_declaration())
    router, admission = POLICY_BY_NAME[policy]
    for number in range(len(ZONES)):
      flags = ('--router', router, '--admission', admission)
      made.spawn_entry(
          f'entry-{number}', zone_of(number), *flags, '--threads', '600'
      )
    made.wait_entries()
  except BaseException:
    made.fleet.stop()
    raise
  return made


def run(scenario: Scenario, policy: str, folder: pathlib.Path) -> dict:
  """Runs one scenario with one policy and returns its figures."""
  phases = make_phases(scenario)
  arrivals = load_plan.plan_arrivals(make_classes(), phases, SEED)
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
  seconds = sum(phase.duration_s for phase in phases) - WARM_S
  row = summarize([r for r in results if r.at_s >= WARM_S], seconds)
  row |= summarize_engines(calls, results)
  if scenario.crashers:
    row['crasher_answers'] = crasher.kinds
  return row


def send(urls: list[str], arrivals: list) -> list[load_summary.Result]:
  """Sends arrivals from several processes, as one can't send them in time."""
  context = multiprocessing.get_context('spawn')
  parts = [arrivals[number::LOADERS] for number in range(LOADERS)]
  starts_at = time.monotonic() + LOADER_START_S
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
    time.sleep(LOADER_START_S + WARM_S + 2.0)
    by_name = {c.name: c for c in make_classes()}
    for content in range(2):
      for number in range(5):
        prompt = f'crash=always content {content} length=20'
        arrival = load_plan.Arrival(
            1_000_000 + 10 * content + number,
            0.0,
            by_name[f'crasher-{FLOODER}'],
            prompt,
        )
        result = self._client.run(arrival, time.monotonic())
        self.kinds.append(result.kind or result.outcome)
      time.sleep(4.0)


def read_calls(made: town.Town) -> dict[str, dict | None]:
  """Reads what each engine did; None for one that is gone."""
  calls = {}
  for number in range(ENGINES):
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
  return mean_s <= BETWEEN_BY_RANK[result.rank]


def summarize(results: list[load_summary.Result], seconds: float) -> dict:
  """Returns the figures that callers see."""
  row: dict[str, object] = {}
  for rank in BETWEEN_BY_RANK:
    mine = [r for r in results if r.rank == rank]
    good = [r for r in mine if is_good(r)]
    row[f'{rank}_good'] = f'{len(good)}/{len(mine)}'
    row[f'{rank}_good_per_s'] = round(len(good) / seconds, 2)
    first = load_summary.spread(r.first_token_s for r in mine if r.tokens)
    row[f'{rank}_ttft'] = _spread_text(first)
    between = load_summary.spread(g for r in mine for g in r.gaps_s)
    row[f'{rank}_between'] = _spread_text(between)
    by_tenant = {}
    for tenant in SHARE_BY_TENANT:
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
@click.option('--scenarios', default=','.join(SCENARIO_BY_NAME))
@click.option('--policies', default='least,product')
def main(scenarios: str, policies: str):
  """Prints the figures of each scenario and policy; times p50/p95/p99."""
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  for name in scenarios.split(','):
    for policy in policies.split(','):
      folder = LOG_FOLDER / f'{name}-{policy}'
      row = run(SCENARIO_BY_NAME[name], policy, folder)
      click.echo(f'{name} {policy}')
      for key, value in row.items():
        text = value if isinstance(value, str) else json.dumps(value)
        click.echo(f'  {key}={text}')


if __name__ == '__main__':
  main()
