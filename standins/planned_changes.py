"""Scenario of planned changes under load: drains, versions, roles and stops.

A cluster of two zones serves a steady load. Meanwhile an operator drains
engines, every engine receives new versions of the model, one engine changes its
role every few seconds, a controller stops and another is killed, and an entry
host stops. Every answer is checked token by token, and none may be cut.

`python -m standins.planned_changes` prints the counts.
"""

import collections
import pathlib
import sys
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import click
import msgspec

from mulberrypick.core import drains
from standins import launcher
from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import local_cluster

ZONES = (1, 2)
ENGINES_PER_ZONE = 2
ENTRIES = 3
SEED = 5
ENGINE_FLAGS = ('--load-model-s', '0.5', '--role-change-s', '1.0')
ENGINE_MODELS = ('--models', 'm@1')
CONTROLLER_FLAGS = ('--lease-s', '2', '--guard-s', '0.5')
SWAP_MODULE = 'standins.swap_roles'
CHANGE_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.05
WORK_CLASS = load_plan.WorkClass(
    'ask',
    'ask',
    'm',
    tenant='mills',
    rank='urgent',
    deadline_s=60.0,
    output_tokens=(20, 60),
)


class ScenarioResult(NamedTuple):
  """Result of the scenario.

  Attributes:
    results: Results of the requests.
    cut_attempts: Number of attempts that engines cut. An entry resumes these on
      another engine, so callers do not notice.
    orders_by_action: Number of orders that engines accepted, by action.
    entry_status: Exit status of the entry that was stopped.
    controller_status: Exit status of the controller that was stopped.
    changed_s: Duration of all changes.
  """

  results: list[load_summary.Result]
  cut_attempts: int
  orders_by_action: dict[str, int]
  entry_status: int
  controller_status: int
  changed_s: float


def declare(version: str) -> bytes:
  """Returns a declaration of one model on every engine, and one service."""
  engines = len(ZONES) * ENGINES_PER_ZONE
  table = {
      'format': 1,
      'models': [
          {'name': 'm', 'version': version, 'adapters': [], 'replicas': engines}
      ],
      'ranks': [
          {
              'name': 'urgent',
              'is_urgent': True,
              'first_token_s': 2.0,
              'between_tokens_s': 1.0,
              'deadline_s': 60.0,
              'reserve': 0.9,
          }
      ],
      'services': [
          {
              'name': 'ask',
              'kind': 'model',
              'model': 'm',
              'adapter': '',
              'rank': 'urgent',
              'is_repeatable': True,
              'max_attempts': 6,
              'timeout_s': 60.0,
          }
      ],
      'tenants': [
          {
              'name': 'mills',
              'share': 1.0,
              'services': ['ask'],
              'ranks': ['urgent'],
              'token_sha256': '',
          }
      ],
  }
  return msgspec.json.encode(table)


class Scenario:
  """Runs the changes one after the other on a cluster."""

  def __init__(self, log_folder: pathlib.Path):
    """Starts the cluster; `close` stops it."""
    self._log_folder = log_folder
    self._cluster = local_cluster.LocalCluster(
        log_folder, ('--hosts-lag-s', '0.5')
    )
    self._fleet = self._cluster.fleet
    self._engines = []
    self._controllers = []
    try:
      self._start()
    except BaseException:
      self.close()
      raise

  def close(self) -> None:
    """Stops all processes."""
    self._fleet.stop()

  def _start(self) -> None:
    for zone in ZONES:
      for number in range(ENGINES_PER_ZONE):
        name = f'engine-{zone}-{number}'
        # In each zone one engine checks fencing tokens and one does not.
        self._fleet.start_engine(
            name,
            zone,
            *ENGINE_FLAGS,
            *ENGINE_MODELS,
            checks_fence=bool(number),
        )
        self._engines.append(name)
    self._cluster.apply(declare('1'))
    for number in range(ENTRIES):
      zone = ZONES[number % len(ZONES)]
      self._cluster.spawn_entry(f'entry-{number}', zone, '--notice-s', '1')
    self._cluster.wait_entries()
    for name, zone in (('c1', 1), ('c2', 1), ('c3', 2)):
      self._start_controller(name, zone)

  def _start_controller(self, name: str, zone: int) -> None:
    """Starts a controller; that of zone 1 keeps changing an engine's role."""
    ip = launcher.zone_ip(zone)
    address = launcher.free_address(ip)
    flags = (
        *('--name', name),
        *('--zone', launcher.zone_name(zone)),
        *('--source-ip', ip),
        *('--platform-url', self._cluster.platform_url),
        *('--listen', address),
        *CONTROLLER_FLAGS,
    )
    module = SWAP_MODULE if zone == 1 else local_cluster.CONTROLLER_MODULE
    self._fleet.start_program(
        name, module, flags, address=address, ready_path='/healthz'
    )
    self._controllers.append(name)

  def run(self, rate: float, duration_s: float) -> ScenarioResult:
    """Makes all changes while requests arrive.

    Args:
      rate: Requests per second.
      duration_s: Minimum time during which requests arrive.
    """
    outcome = {}

    def change() -> None:
      started_at = time.monotonic()
      outcome['statuses'] = self._make_changes()
      outcome['changed_s'] = time.monotonic() - started_at

    changing = threading.Thread(target=change)
    changing.start()
    results = []
    client = load_client.LoadClient(self._cluster.list_urls())
    phases = [load_plan.Phase(duration_s, {WORK_CLASS.name: rate})]
    seed = SEED
    while changing.is_alive() or not results:
      arrivals = load_plan.plan_arrivals([WORK_CLASS], phases, seed)
      results += load.run_load(client, arrivals)
      seed += 1
    changing.join()
    entry_status, controller_status = outcome['statuses']
    return ScenarioResult(
        results,
        self._count_cut_attempts(),
        self._count_orders(),
        entry_status,
        controller_status,
        outcome['changed_s'],
    )

  def _make_changes(self) -> tuple[int, int]:
    self._drain('engine-1-1')
    self._cluster.apply(declare('2'), planned_on=1)
    self._wait(lambda: self._all_hold('m@2'))
    controller_status = self._fleet.terminate('c1')
    self._drain('engine-2-0')
    self._fleet.kill('c2')
    self._start_controller('c4', 1)
    entry_status = self._cluster.stop_entry('entry-0')
    self._cluster.apply(declare('3'), planned_on=2)
    self._wait(lambda: self._all_hold('m@3'))
    return entry_status, controller_status

  def _drain(self, engine: str) -> None:
    key = drains.drain_key(engine)
    request = drains.encode_request(drains.DrainRequest('ana', 'new disk'))
    version = self._cluster.platform.put(key, request, 0)
    self._wait(lambda: self._is_drained(engine))
    self._cluster.platform.delete(key, version)
    self._wait(lambda: not self._state(engine)['is_draining'])

  def _state(self, engine: str) -> dict:
    return self._fleet.call(
        self._fleet.program_by_name[engine], 'GET', '/state'
    )

  def _is_drained(self, engine: str) -> bool:
    state = self._state(engine)
    return state['is_draining'] and not state['running']

  def _all_hold(self, model: str) -> bool:
    states = [self._state(engine) for engine in self._engines]
    return all(state['models'] == [model] for state in states)

  def _wait(self, condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + CHANGE_TIMEOUT_S
    while not condition():
      if time.monotonic() > deadline:
        raise launcher.LaunchError(
            f'a change did not complete within {CHANGE_TIMEOUT_S} s'
        )
      time.sleep(POLL_INTERVAL_S)

  def _count_cut_attempts(self) -> int:
    names = [f'entry-{number}' for number in range(ENTRIES)]
    lines = self._find_log_lines(names, 'event=attempt_failed')
    return sum('outcome=failed' in line for line in lines)

  def _count_orders(self) -> dict[str, int]:
    counts = collections.Counter()
    for line in self._find_log_lines(self._controllers, 'event=order_sent'):
      if 'outcome=accepted' in line:
        counts[line.split('action=')[1].split()[0]] += 1
    return dict(counts)

  def _find_log_lines(self, names: list[str], event: str) -> list[str]:
    found = []
    for name in names:
      log = (self._log_folder / f'{name}.log').read_text()
      found += [line for line in log.splitlines() if event in line]
    return found


def count_outcomes(changes: ScenarioResult) -> dict[str, int]:
  """Returns the number of requests by outcome."""
  return dict(collections.Counter(r.outcome for r in changes.results))


@click.command()
@click.option(
    '--rate',
    default=30.0,
    show_default=True,
    help='Number of requests per second.',
)
@click.option('--duration-s', default=40.0, show_default=True)
@click.option('--log-folder', default='out/planned_changes', show_default=True)
def main(rate: float, duration_s: float, log_folder: str) -> None:
  """Makes planned changes under load and prints the outcomes of requests."""
  scenario = Scenario(pathlib.Path(log_folder))
  try:
    changes = scenario.run(rate, duration_s)
  finally:
    scenario.close()
  outcomes = count_outcomes(changes)
  click.echo(
      f'requests={len(changes.results)} outcomes={outcomes}'
      f' cut_attempts={changes.cut_attempts}'
  )
  click.echo(f'orders={changes.orders_by_action}')
  click.echo(
      f'entry_status={changes.entry_status}'
      f' controller_status={changes.controller_status}'
      f' changed_s={changes.changed_s:.1f}'
  )
  for result in changes.results:
    if result.outcome != load_summary.OUTCOME_WHOLE:
      click.echo(f'not whole: {result._replace(gaps_s=())}')
  is_whole = set(outcomes) == {load_summary.OUTCOME_WHOLE}
  sys.exit(0 if is_whole and not changes.cut_attempts else 1)


if __name__ == '__main__':
  main()
