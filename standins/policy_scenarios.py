"""Scenarios of `bench_policy`: the load, and the faults during it.

The engines are slowed down so that twelve of them and the load generators fit
on one machine. Load is given in engine seconds per second.
"""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from standins import launcher
from standins import load_plan
from standins import local_cluster

ZONES = (1, 2, 3)
ENGINES = 12
WARM_UP_S = 6.0
LOAD_START_DELAY_S = 2.0
SEED = 23
SHARE_BY_TENANT = {'prevoz': 0.4, 'kumamoto': 0.3, 'yard': 0.2, 'mill': 0.1}
# Number of shared prompt prefixes.
PREFIX_GROUP_COUNT = 2
FLOODING_TENANT = 'mill'
BETWEEN_TOKENS_S_BY_RANK = {'urgent': 0.24, 'other': 0.6}
FIRST_TOKEN_S_BY_RANK = {'urgent': 1.0, 'other': 6.0}
DEADLINE_S_BY_RANK = {'urgent': 15.0, 'other': 40.0}


class Shape(NamedTuple):
  """A kind of request, defined by the lengths of its prompt and answer.

  Attributes:
    rank: Its rank.
    prompt_tokens: Minimum and maximum tokens of the prompt.
    output_tokens: Minimum and maximum tokens of the answer.
    engine_s: Approximate engine seconds that one request takes.
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


class ShapeLoad(NamedTuple):
  """Load of one kind of request in one phase.

  Attributes:
    shape: Name of the kind of request, a key of `SHAPE_BY_NAME`.
    load: Engine seconds of work that arrive per second.
    tenant: The tenant that sends all of this load; if empty, all tenants send
      it in proportion to their shares.
  """

  shape: str
  load: float
  tenant: str = ''


STEADY_LOAD = (
    ShapeLoad('question', 1.5),
    ShapeLoad('summary', 4.0),
    ShapeLoad('guide', 3.0),
)
PROMPT_HEAVY_LOAD = (
    ShapeLoad('question', 1.5),
    ShapeLoad('summary', 11.0),
    ShapeLoad('guide', 1.0),
)
OUTPUT_HEAVY_LOAD = (
    ShapeLoad('question', 1.5),
    ShapeLoad('summary', 1.0),
    ShapeLoad('guide', 14.0),
)


class Scenario(NamedTuple):
  """Load and faults of one run.

  Attributes:
    phases: Duration in seconds and load of each phase, after the warm-up.
    engine_flags: Additional flags of the engines.
    run_fleet_event: Changes or breaks parts of the fleet during the load.
    sends_crashing_requests: Whether requests that crash engines are sent.
  """

  phases: tuple[tuple[float, tuple[ShapeLoad, ...]], ...]
  engine_flags: tuple[str, ...] = ()
  run_fleet_event: Callable[[local_cluster.LocalCluster], None] | None = None
  sends_crashing_requests: bool = False


def crash_and_withdraw(cluster: local_cluster.LocalCluster) -> None:
  """Crashes an engine, and marks another as leaving 4 s later."""
  time.sleep(LOAD_START_DELAY_S + WARM_UP_S + 4.0)
  engine = cluster.fleet.program_by_name['engine-0']
  cluster.fleet.put_fault(engine, crash_after_tokens=1)
  time.sleep(4.0)
  leaving = cluster.fleet.program_by_name['engine-5']
  host = launcher.make_host(
      'engine-5', zone_of_number(5), 'engine', leaving.address
  )
  cluster.fleet.put_host(host._replace(state='leaving', incarnation=1))


SCENARIO_BY_NAME = {
    'steady': Scenario(((20.0, STEADY_LOAD),)),
    'swing': Scenario(
        (
            (10.0, PROMPT_HEAVY_LOAD),
            (10.0, OUTPUT_HEAVY_LOAD),
            (10.0, PROMPT_HEAVY_LOAD),
            (10.0, OUTPUT_HEAVY_LOAD),
        )
    ),
    'flood-other': Scenario(
        ((20.0, (*STEADY_LOAD, ShapeLoad('summary', 60.0, FLOODING_TENANT))),)
    ),
    'flood-urgent': Scenario(
        ((20.0, (*STEADY_LOAD, ShapeLoad('question', 60.0, FLOODING_TENANT))),)
    ),
    'crash-swing': Scenario(
        ((10.0, PROMPT_HEAVY_LOAD), (10.0, OUTPUT_HEAVY_LOAD)),
        run_fleet_event=crash_and_withdraw,
    ),
    'lag': Scenario(
        ((10.0, PROMPT_HEAVY_LOAD), (10.0, OUTPUT_HEAVY_LOAD)),
        ('--load-lag-s', '3.0'),
    ),
    'prefix': Scenario(
        ((20.0, (ShapeLoad('question', 1.5), ShapeLoad('set', 7.0))),)
    ),
    'crasher': Scenario(((24.0, STEADY_LOAD),), sends_crashing_requests=True),
}


def zone_of_number(number: int) -> int:
  """Returns the zone of an engine or entry."""
  return ZONES[number % len(ZONES)]


def make_classes() -> list[load_plan.WorkClass]:
  """Returns one class of requests for each kind of request and tenant."""
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
              deadline_s=DEADLINE_S_BY_RANK[shape.rank],
              first_token_s=FIRST_TOKEN_S_BY_RANK[shape.rank],
              prompt_tokens=shape.prompt_tokens,
              output_tokens=shape.output_tokens,
              max_tokens=256,
              prefix_tokens=1400 if name == 'set' else 0,
              groups=PREFIX_GROUP_COUNT,
          )
      )
  return classes


def make_phases(scenario: Scenario) -> list[load_plan.Phase]:
  """Returns the phases of a run; the warm-up has half the steady load."""
  warm = tuple(part._replace(load=part.load / 2) for part in STEADY_LOAD)
  phases = []
  for duration_s, parts in ((WARM_UP_S, warm), *scenario.phases):
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
  """Returns the configuration of the bench, as JSON."""
  ranks = []
  for name, reserve in (('urgent', 0.5), ('other', 0.3)):
    ranks.append(
        {
            'name': name,
            'is_urgent': name == 'urgent',
            'first_token_s': FIRST_TOKEN_S_BY_RANK[name],
            'between_tokens_s': BETWEEN_TOKENS_S_BY_RANK[name],
            'deadline_s': DEADLINE_S_BY_RANK[name],
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
