"""Planned changes under load, and how long a leaving engine receives new work.

Each change is made while requests stream through all entries. No request may be
cut, wrong, failed or refused. The benchmark runs all changes with a thousand
requests, the tests use fewer.
"""

import datetime
import json
import pathlib
import re
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import drains
from mulberrypick.core import records
from standins import launcher
from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import local_cluster

ZONES = (1, 2)
ENGINES_PER_ZONE = 3
ENTRIES_PER_ZONE = 2
POLL_INTERVAL_S = 0.02
QUIET_PERIOD_S = 3.0
OBSERVATION_S = 1.0
SETTLE_TIMEOUT_S = 60.0
BAD_OUTCOMES = (
    load_summary.OUTCOME_CUT,
    load_summary.OUTCOME_WRONG,
    load_summary.OUTCOME_FAILED,
    load_summary.OUTCOME_REFUSED,
)
_REFUSED = re.compile(
    r'at="(?P<at>[^"]+)".* event=attempt_failed .*endpoint=(?P<endpoint>\S+)'
    r' outcome=refused '
)
ENGINE_FLAGS = (
    '--models',
    'm@1',
    '--role-change-s',
    '1',
    '--load-model-s',
    '1',
)
WORK = load_plan.WorkClass(
    'work',
    'assistant',
    'm',
    tenant='drivers',
    rank='urgent',
    deadline_s=60.0,
    prompt_tokens=(20, 60),
    output_tokens=(10, 120),
)


class ChangeResult(NamedTuple):
  """Result of one change.

  Attributes:
    name: Name of the change.
    requests: Number of requests sent before, during and after the change.
    bad: Number of those that were cut, wrong, failed or refused.
    took_s: Duration of the change.
  """

  name: str
  requests: int
  bad: int
  took_s: float


def declare(version: str) -> bytes:
  """Returns the declaration of the cluster with a given model version."""
  engines = len(ZONES) * ENGINES_PER_ZONE
  return json.dumps(
      {
          'format': 1,
          'models': [{'name': 'm', 'version': version, 'replicas': engines}],
          'ranks': [
              {
                  'name': 'urgent',
                  'is_urgent': True,
                  'first_token_s': 5.0,
                  'between_tokens_s': 1.0,
                  'deadline_s': 60.0,
              }
          ],
          'services': [
              {
                  'name': 'assistant',
                  'kind': 'model',
                  'model': 'm',
                  'rank': 'urgent',
                  'timeout_s': 60.0,
                  'max_attempts': 4,
              }
          ],
          'tenants': [
              {
                  'name': 'drivers',
                  'share': 1.0,
                  'services': ['assistant'],
                  'ranks': ['urgent'],
              }
          ],
      }
  ).encode()


def start_cluster(log_folder: pathlib.Path) -> local_cluster.LocalCluster:
  """Starts a cluster of two zones in which every engine holds the model."""
  cluster = local_cluster.LocalCluster(log_folder, ())
  try:
    for zone in ZONES:
      for number in range(ENGINES_PER_ZONE):
        cluster.fleet.start_engine(
            f'engine-{zone}-{number}', zone, *ENGINE_FLAGS
        )
    cluster.apply(declare('1'))
    for zone in ZONES:
      for number in range(ENTRIES_PER_ZONE):
        cluster.spawn_entry(f'entry-{zone}-{number}', zone, '--notice-s', '1')
        cluster.start_controller(f'controller-{zone}-{number}', zone)
    cluster.wait_entries()
  except BaseException:
    cluster.fleet.stop()
    raise
  return cluster


def run_under_load(
    cluster: local_cluster.LocalCluster,
    name: str,
    change: Callable[[], None],
    rate: float,
    seconds: float,
) -> ChangeResult:
  """Makes a change while requests stream.

  Args:
    cluster: The cluster.
    name: Name of the change.
    change: Makes the change and returns once it is complete.
    rate: Requests per second.
    seconds: How long requests arrive.
  """
  arrivals = load_plan.plan_arrivals(
      [WORK], [load_plan.Phase(seconds, {'work': rate})], seed=len(name)
  )
  client = load_client.LoadClient(cluster.list_urls())
  took_s = []

  def make_change() -> None:
    time.sleep(1.0)
    started_at = time.monotonic()
    change()
    took_s.append(time.monotonic() - started_at)

  thread = threading.Thread(target=make_change)
  thread.start()
  results = load.run_load(client, arrivals)
  thread.join()
  bad = [result for result in results if result.outcome in BAD_OUTCOMES]
  return ChangeResult(name, len(results), len(bad), took_s[0])


def stop_entry(cluster: local_cluster.LocalCluster) -> None:
  """Shuts down an entry gracefully.

  Raises:
    RuntimeError: Its exit status was not 0.
  """
  status = cluster.stop_entry('entry-1-0')
  if status:
    raise RuntimeError(f'entry-1-0 exited with status {status}')


def stop_controller(cluster: local_cluster.LocalCluster) -> None:
  """Shuts down a controller of each zone, whether it holds the lease or not."""
  for zone in ZONES:
    cluster.fleet.terminate(f'controller-{zone}-0')


def drain_engine(cluster: local_cluster.LocalCluster) -> None:
  """Drains an engine by operator request, waits, and returns it to service."""
  name = 'engine-1-0'
  request = drains.encode_request(drains.DrainRequest('operator', 'a test'))
  version = cluster.platform.put(drains.drain_key(name), request, 0)
  wait_for_state(cluster, name, lambda state: state['is_draining'])
  wait_for_state(cluster, name, lambda state: state['running'] == 0)
  cluster.platform.delete(drains.drain_key(name), version)
  wait_for_state(cluster, name, lambda state: not state['is_draining'])


def change_model(cluster: local_cluster.LocalCluster) -> None:
  """Applies another model version and waits until all engines hold it."""
  cluster.apply(declare('2'), planned_on=1)
  for zone in ZONES:
    for number in range(ENGINES_PER_ZONE):
      name = f'engine-{zone}-{number}'
      if name not in cluster.fleet.program_by_name:
        continue
      wait_for_state(
          cluster,
          name,
          lambda state: 'm@2' in state['models'] and not state['is_draining'],
      )


def remove_engine_by_list(cluster: local_cluster.LocalCluster) -> None:
  """Marks an engine as leaving on the platform's list, then stops it."""
  name = 'engine-2-0'
  measure_leaving(cluster, name, lambda: mark_leaving(cluster, name))
  cluster.fleet.delete_host(name)
  cluster.fleet.terminate(name)


def mark_leaving(cluster: local_cluster.LocalCluster, name: str) -> None:
  """Marks an engine as leaving on the platform's list."""
  address = cluster.fleet.program_by_name[name].address
  zone = int(name.split('-')[1])
  host = launcher.make_host(name, zone, records.HOST_ENGINE, address)
  cluster.fleet.put_host(host._replace(state=records.STATE_LEAVING))


def drain_directly(cluster: local_cluster.LocalCluster, name: str) -> None:
  """Sends a drain order directly to the engine, as its own host would."""
  program = cluster.fleet.program_by_name[name]
  state = cluster.fleet.call(program, 'GET', '/state')
  order = records.Order(
      name,
      state['last_sequence'] + 1,
      state['fence'],
      records.ACTION_DRAIN,
      '',
      '',
      '',
      '',
  )
  cluster.fleet.call(program, 'POST', '/orders', order._asdict())


def find_busiest(cluster: local_cluster.LocalCluster, zone: int) -> str:
  """Returns the engine of a zone that currently receives the most requests."""
  prefix = f'engine-{zone}-'
  names = [
      name for name in cluster.fleet.program_by_name if name.startswith(prefix)
  ]
  before = {name: count_received(cluster, name) for name in names}
  time.sleep(OBSERVATION_S)
  return max(
      names, key=lambda name: count_received(cluster, name) - before[name]
  )


def count_received(cluster: local_cluster.LocalCluster, name: str) -> int:
  """Returns the number of requests that an engine has accepted."""
  program = cluster.fleet.program_by_name[name]
  return cluster.fleet.call(program, 'GET', '/calls')['generate']


def measure_leaving(
    cluster: local_cluster.LocalCluster, name: str, leave: Callable[[], None]
) -> float:
  """Measures how long a leaving engine receives new work.

  Args:
    cluster: The cluster, under load.
    name: Name of the engine.
    leave: Announces that the engine leaves.

  Returns:
    Seconds from the announcement to the last request that was sent to the
    engine, whether it accepted or refused the request.
  """
  started_at = time.monotonic()
  started_wall_time = datetime.datetime.now()
  leave()
  last_at = started_at
  received = count_received(cluster, name)
  while time.monotonic() - last_at < QUIET_PERIOD_S:
    now_received = count_received(cluster, name)
    if now_received > received:
      received = now_received
      last_at = time.monotonic()
    time.sleep(POLL_INTERVAL_S)
  wait_for_state(cluster, name, lambda state: state['running'] == 0)
  refused_s = find_last_refusal_s(cluster, name, started_wall_time)
  return max(last_at - started_at, refused_s)


def find_last_refusal_s(
    cluster: local_cluster.LocalCluster,
    name: str,
    started_wall_time: datetime.datetime,
) -> float:
  """Returns when an engine last refused an attempt, from the logs of entries.

  Returns:
    Seconds since `started_wall_time`, 0 if it refused none.
  """
  last_s = 0.0
  for entry in cluster.entry_by_name.values():
    for line in entry.program.log().splitlines():
      match = _REFUSED.match(line)
      if match is None or match['endpoint'] != name:
        continue
      at = datetime.datetime.strptime(match['at'], '%Y-%m-%d %H:%M:%S,%f')
      last_s = max(last_s, (at - started_wall_time).total_seconds())
  return last_s


def wait_for_state(
    cluster: local_cluster.LocalCluster,
    name: str,
    is_wanted: Callable[[dict], bool],
) -> None:
  """Waits until the state of an engine meets a condition.

  Raises:
    RuntimeError: It did not meet the condition in time.
  """
  program = cluster.fleet.program_by_name[name]
  deadline = time.monotonic() + SETTLE_TIMEOUT_S
  while time.monotonic() < deadline:
    if is_wanted(cluster.fleet.call(program, 'GET', '/state')):
      return
    time.sleep(POLL_INTERVAL_S)
  raise RuntimeError(f'{name} did not reach the expected state in time')


CHANGE_BY_NAME: dict[str, Callable[[local_cluster.LocalCluster], None]] = {
    'stop an entry': stop_entry,
    'stop a controller of each zone': stop_controller,
    'drain an engine': drain_engine,
    'leave by the list': remove_engine_by_list,
    'change the model version': change_model,
}
