"""Runs one workload of the policy simulation with several policies.

python -m standins.policy_trial swing --lag-s 0.3
"""

import json
import math
import time
import zlib

import click

from mulberrypick.core import admission
from mulberrypick.core import dispatch
from mulberrypick.core import records
from mulberrypick.core import role_planner
from mulberrypick.core import routing
from standins import policy_load
from standins import policy_simulation

ENTRIES = 3
ENGINES = 12
DRAIN_TIMEOUT_S = 45.0
WARM_UP_S = 10.0

PHASE_DURATION_S_BY_SCENARIO = {'swing': 15.0, 'slow-swing': 60.0}
PHASE_LOADS = (11.0, 1.0)
POLICY_BY_NAME = {
    'round-robin': ('round-robin', 'first-come'),
    'least': ('least-in-flight', 'first-come'),
    'admission': ('least-in-flight', 'ranked-fair'),
    'product': ('predicted-time', 'ranked-fair'),
}


def make_streams(
    scenario: str, seconds: float
) -> list[policy_load.ArrivalStream]:
  """Returns the request streams of a scenario, with the warm-up.

  Requests of the first `WARM_UP_S` seconds are excluded from the results.
  """
  stream = policy_load.ArrivalStream
  question, summary = policy_load.QUESTION, policy_load.SUMMARY
  guide = policy_load.GUIDE
  steady = [
      stream(question, 1.5, 0.0, seconds),
      stream(summary, 4.0, 0.0, seconds),
      stream(guide, 3.0, 0.0, seconds),
  ]
  if scenario in ('steady', 'crasher'):
    return steady
  if scenario == 'flood-other':
    flooder = policy_load.FLOODING_TENANT
    return steady + [stream(summary, 60.0, WARM_UP_S, seconds, flooder)]
  if scenario == 'flood-urgent':
    flooder = policy_load.FLOODING_TENANT
    return steady + [stream(question, 60.0, WARM_UP_S, seconds, flooder)]
  streams = [stream(question, 1.5, 0.0, seconds)]
  heavy, light = PHASE_LOADS
  if scenario in ('prompts', 'outputs'):
    loads = (heavy, light) if scenario == 'prompts' else (light, heavy)
    streams.append(stream(summary, loads[0], 0.0, seconds))
    streams.append(stream(guide, loads[1], 0.0, seconds))
    return streams
  phase_s = PHASE_DURATION_S_BY_SCENARIO[scenario]
  for number in range(math.ceil(seconds / phase_s)):
    start, end = number * phase_s, min((number + 1) * phase_s, seconds)
    loads = (heavy, light) if number % 2 == 0 else (light, heavy)
    streams.append(stream(summary, loads[0], start, end))
    streams.append(stream(guide, loads[1], start, end))
  return streams


def route_unevenly(arrival):
  """Sends the flooding tenant and half of the other requests to entry 0."""
  request = arrival.request
  if request.tenant == policy_load.FLOODING_TENANT or is_in_hashed_half(
      request.request_id
  ):
    return arrival._replace(entry=0)
  return arrival


def is_in_hashed_half(text):
  """Returns whether the hash of a text is even, which holds for about half."""
  return zlib.crc32(text.encode()) % 2 == 0


def set_roles(simulation, split):
  """Sets the initial roles of the engines.

  Args:
    simulation: The simulation.
    split: Number of engines for prefill, the others decode; if negative, all
      engines stay mixed.
  """
  if split < 0:
    return
  for number, engine in enumerate(simulation.engine_by_name.values()):
    engine.role = records.ROLE_DECODE
    if number < split:
      engine.role = records.ROLE_PREFILL


def run(
    scenario,
    policy,
    seconds,
    lag_s,
    seed,
    comes_back,
    split=-1,
    planner='keep',
    entries=ENTRIES,
    uneven=False,
):
  """Simulates one workload with one policy, and returns its figures."""
  router, admission_name = POLICY_BY_NAME[policy]

  def make(name, zone, number):
    return dispatch.Dispatcher(
        name,
        zone,
        routing.make_router(router),
        admission.make_admission(admission_name),
        seed=number,
    )

  simulation = policy_simulation.Simulation(
      make, policy_load.make_config(), entries, ENGINES, lag_s
  )
  simulation.retries_refused = comes_back
  set_roles(simulation, split)
  if planner != 'keep':
    simulation.plan_roles(role_planner.make_role_planner(planner))
  streams = make_streams(scenario, seconds)
  for arrival in policy_load.make_arrivals(streams, entries, seed):
    if uneven:
      arrival = route_unevenly(arrival)
    simulation.schedule(
        arrival.request.arrived_at, simulation.submit_arrival, *arrival
    )
  if scenario == 'crasher':
    for arrival in policy_load.make_crashing_requests(WARM_UP_S, seconds):
      simulation.schedule(
          arrival.request.arrived_at, simulation.submit_arrival, *arrival
      )
  simulation.run(seconds + DRAIN_TIMEOUT_S)
  outcomes = []
  for record in simulation.record_by_request_id.values():
    if 'crash=always' in record.request.prompt:
      continue
    outcome = make_outcome(record)
    if outcome.arrived_at >= WARM_UP_S:
      outcomes.append(outcome)
  row = policy_load.summarize(outcomes, seconds - WARM_UP_S)
  busy = [engine.busy_s for engine in simulation.engine_by_name.values()]
  row['max_min_load'] = round(max(busy) / max(1e-9, min(busy)), 2)
  row['busy'] = round(sum(busy) / (seconds * len(busy)), 2)
  changes = [e.role_changes for e in simulation.engine_by_name.values()]
  row['role_changes'] = sum(changes)
  row['roles'] = [e.role[0] for e in simulation.engine_by_name.values()]
  row['crashes'] = simulation.crashes
  cut = sum(1 for o in outcomes if o.total_s is None and o.error is None)
  row['cut'] = cut
  retried = [r for r in simulation.record_by_request_id.values() if r.retries]
  served = sum(1 for r in retried if r.error is None)
  row['returned_served'] = f'{served}/{len(retried)}'
  return row


def make_outcome(record):
  """Returns the outcome of a request of the simulation."""
  request = record.request
  whole = record.error is None and record.generated_tokens >= record.length
  first_s = None
  if record.first_token_at is not None:
    first_s = record.first_token_at - request.arrived_at
  return policy_load.Outcome(
      request.tenant,
      request.rank,
      request.arrived_at,
      record.length,
      first_s,
      record.ended_at - request.arrived_at if whole else None,
      record.error,
      record.refused_after_s,
      record.total_generated_tokens,
      policy_load.engine_seconds(request.service),
  )


@click.command()
@click.argument('scenario')
@click.option('--policies', default='round-robin,least,product')
@click.option('--seconds', default=70.0)
@click.option('--lag-s', default=0.3)
@click.option('--seed', default=11)
@click.option('--comes-back', is_flag=True)
@click.option(
    '--split',
    default=-1,
    help=(
        'Number of engines for prefill, the others decode; negative if all do'
        ' both.'
    ),
)
@click.option('--planner', default='keep')
@click.option('--entries', default=ENTRIES)
@click.option('--uneven', is_flag=True)
def main(
    scenario,
    policies,
    seconds,
    lag_s,
    seed,
    comes_back,
    split,
    planner,
    entries,
    uneven,
):
  """Prints the figures of each policy."""
  for policy in policies.split(','):
    started_at = time.perf_counter()
    row = run(
        scenario,
        policy,
        seconds,
        lag_s,
        seed,
        comes_back,
        split,
        planner,
        entries,
        uneven,
    )
    took_s = time.perf_counter() - started_at
    print(f'{scenario} {policy} took_s={took_s:.1f}')
    for name, value in row.items():
      text = value if isinstance(value, str) else json.dumps(value)
      print(f'  {name}={text}')


if __name__ == '__main__':
  main()
