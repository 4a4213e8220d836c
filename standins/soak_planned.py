"""Runs planned work in pairs beside callers of all kinds, without faults."""

import asyncio
import collections
import pathlib
import time

from standins import gateway_cluster
from standins import retry_check
from standins import soak_gateway
from standins import soak_planned_caller
from standins import soak_planned_checks
from standins import soak_planned_endpoint
from standins import soak_planned_plan

WORK = soak_planned_plan.Work
# Time limits of routes, before and after a change of the configuration (s).
ROUTE_LIMIT_S = 20.0
CHANGED_LIMIT_S = 6.0
# Limits of heads, bodies and idle connections, longer than a run.
IDLE_LIMIT_MS = 60_000
# Retries that a changed settings file allows in addition.
MORE_SLACK = 10.0
USUAL_RETRIES = retry_check.Bound(0.2, 50.0, 10.0)
# An endpoint that leaves takes requests for so long after its entry says so.
DRAIN_S = 1.0
POLL_S = 0.05
# A process is killed so long after the end of its grace period.
KILL_MARGIN_S = 1.0
REPLICAS = (
    ('desk-1', 'desk', ''),
    ('desk-2', 'desk', ''),
    ('vault-1', 'vault', ''),
    ('reader', 'engine', 'prefill'),
    ('writer-1', 'engine', 'decode'),
    ('writer-2', 'engine', 'decode'),
)
RELEASED = ('desk-1', 'writer-1', 'desk-2', 'writer-2')


class PlannedRun:
  """One run of planned work.

  Attributes:
    summary: What was done and seen, in one line.
  """

  def __init__(
      self,
      plan: soak_planned_plan.Plan,
      folder: pathlib.Path,
      module: str,
  ):
    self.summary = ''
    self._plan = plan
    self._folder = folder
    self._module = module
    self._started_at = time.monotonic()
    self._base = gateway_cluster.GatewayCluster()
    self._book = soak_planned_endpoint.JobBook()
    self._config = _make_config()
    self._gateway_by_name: dict[str, soak_gateway.SoakGateway] = {}
    self._replica_by_name: dict[str, soak_planned_endpoint.PlannedReplica] = {}
    self._replicas: list[soak_planned_endpoint.PlannedReplica] = []
    self._stops: list[soak_planned_checks.Stop] = []

  async def run(self) -> list[str]:
    """Does the planned work; returns the violations, one line each."""
    try:
      await self._start()
      requests = await self._serve()
    finally:
      for gateway in self._gateway_by_name.values():
        await gateway.close()
      for replica in self._replicas:
        replica.stop()
      self._base.store.stop()
    self.summary = self._describe(requests)
    violations = soak_planned_checks.find_violations(
        requests, self._book.runs_by_request, self._stops
    )
    for gateway in self._gateway_by_name.values():
      violations += [f'ENDED: {line}' for line in gateway.unexpected_exits]
    return violations

  async def _start(self) -> None:
    store = self._base.store
    store.era = 1
    await store.start(gateway_cluster.free_ports(1)[0])
    store.put('config', 'main', self._config)
    for name, service, stage in REPLICAS:
      await self._start_replica(name, service, stage)
    seeds: list[str] = []
    for name in soak_planned_plan.GATEWAYS:
      gateway = soak_gateway.SoakGateway(
          self._base,
          self._folder,
          name,
          self._module,
          self._started_at,
          USUAL_RETRIES,
      )
      gateway.grace_s = float(self._plan.grace_s)
      self._gateway_by_name[name] = gateway
      gateway.write(seeds)
      seeds = [*seeds, f'127.0.0.1:{gateway.host.peer_port}']
      await gateway.start()
    for gateway in self._gateway_by_name.values():
      await gateway.wait_until_ready()

  async def _start_replica(self, name: str, service: str, stage: str) -> None:
    replica = soak_planned_endpoint.PlannedReplica(
        name, service, stage, self._book
    )
    old = self._replica_by_name.get(name)
    replica.born = old.born + 1 if old else 1
    await replica.start(gateway_cluster.free_ports(1)[0])
    self._replica_by_name[name] = replica
    self._replicas.append(replica)
    self._base.store.put('servers', name, replica.entry())

  async def _serve(self) -> list[soak_planned_checks.Request]:
    """Sends load, and does the work beside it; returns what callers saw."""
    done = asyncio.Event()
    changes = [step.change for step in self._plan.steps]
    limit_s = CHANGED_LIMIT_S if 'timeout' in changes else ROUTE_LIMIT_S
    callers, calling = [], []
    for connection in self._plan.connections:
      gateway = self._gateway_by_name[connection.gateway]
      caller = soak_planned_caller.PlannedCaller(
          connection,
          gateway.host.listen_port,
          self._book,
          self._plan.grace_s,
          limit_s,
      )
      callers.append(caller)
      calling.append(asyncio.create_task(caller.run(done)))
    background = asyncio.create_task(self._poll())
    stop_at = time.monotonic() + soak_planned_plan.STOP_AT_S
    releasing = []
    async with asyncio.TaskGroup() as group:
      group.create_task(self._stop_gateways(stop_at))
      for step in self._plan.steps:
        if step.work is WORK.RELEASE:
          releasing.append(asyncio.create_task(self._release(stop_at, step)))
        else:
          group.create_task(self._do(stop_at, step))
    done.set()
    await asyncio.gather(*calling)
    background.cancel()
    for task in releasing:
      task.cancel()
    await asyncio.gather(background, *releasing, return_exceptions=True)
    return [request for caller in callers for request in caller.requests]

  async def _poll(self) -> None:
    """Polls the gateways that are not stopped, and records their exits."""
    while True:
      for gateway in self._gateway_by_name.values():
        await gateway.poll()
      await asyncio.sleep(1.0)

  async def _stop_gateways(self, stop_at: float) -> None:
    is_in_turn = any(step.work is WORK.TURN for step in self._plan.steps)
    stopping = []
    for number, name in enumerate(self._plan.stopped()):
      gateway = self._gateway_by_name[name]
      if is_in_turn:
        await _sleep_until(stop_at)
        await self._stop_gateway(gateway)
        await gateway.start_again()
        await gateway.wait_until_ready()
        continue
      await _sleep_until(stop_at + number * soak_planned_plan.SECOND_STOP_S)
      stopping.append(asyncio.create_task(self._stop_gateway(gateway)))
    await asyncio.gather(*stopping)

  async def _stop_gateway(self, gateway: soak_gateway.SoakGateway) -> None:
    at = time.monotonic()
    gateway.terminate()
    status = await gateway.wait_for_exit(self._plan.grace_s + KILL_MARGIN_S)
    self._stops.append(
        soak_planned_checks.Stop(
            gateway.host.name, at, self._plan.grace_s, time.monotonic(), status
        )
    )

  async def _do(self, stop_at: float, step: soak_planned_plan.Step) -> None:
    await _sleep_until(stop_at + step.at_s)
    gateway = self._gateway_by_name[self._plan.target]
    if step.work is WORK.CONFIG:
      _change(self._config, step.change)
      self._base.store.put('config', 'main', self._config)
    elif step.work is WORK.RELOAD:
      gateway.write([], MORE_SLACK)
      gateway.hang_up()
    elif step.work is WORK.AGAIN:
      gateway.terminate()

  async def _release(
      self, stop_at: float, step: soak_planned_plan.Step
  ) -> None:
    """Replaces endpoints one by one; each of them ends its work first."""
    await _sleep_until(stop_at + step.at_s)
    for name in RELEASED:
      replica = self._replica_by_name[name]
      self._base.store.put('servers', name, replica.entry('draining'))
      await asyncio.sleep(DRAIN_S)
      while replica.open_runs:
        await asyncio.sleep(POLL_S)
      self._base.store.remove('servers', name)
      replica.stop()
      await self._start_replica(name, replica.service, replica.stage)

  def _describe(self, requests: list[soak_planned_checks.Request]) -> str:
    count_by_status = collections.Counter(r.status for r in requests)
    count_by_way = collections.Counter(str(r.way) for r in requests)
    cut = sum(not request.is_whole for request in requests)
    steps = ' '.join(f'{s.work}:{s.change}@{s.at_s}' for s in self._plan.steps)
    exits = ' '.join(f'{s.gateway}:{s.gone_at - s.at:.2f}' for s in self._stops)
    return (
        f'graceS {self._plan.grace_s}, {len(requests)} requests'
        f' {dict(count_by_status)} {dict(count_by_way)}, {cut} without a whole'
        f' response, beside {steps}, stopped after {exits} s'
    )


async def _sleep_until(at: float) -> None:
  await asyncio.sleep(max(0.0, at - time.monotonic()))


def _make_config() -> dict[str, object]:
  config = gateway_cluster.make_config(1)
  for route in config['routes']:
    route['timeoutMs'] = int(ROUTE_LIMIT_S * 1000)
  desk = config['services'][0]
  config['services'].append({**desk, 'name': 'vault'})
  config['limits']['headerTimeoutMs'] = IDLE_LIMIT_MS
  config['limits']['idleTimeoutMs'] = IDLE_LIMIT_MS
  return config


def _change(config: dict[str, object], change: str) -> None:
  """Changes a configuration as a step says, under a new version."""
  config['version'] += 1
  routes = config['routes']
  unsafe = next(route for route in routes if route['name'] == 'unsafe')
  if change == 'add':
    routes.append({**unsafe, 'name': 'more', 'pathPrefix': '/more/'})
  elif change == 'remove':
    routes.remove(unsafe)
  elif change == 'move':
    unsafe['service'] = 'vault'
  elif change == 'timeout':
    for route in routes:
      route['timeoutMs'] = int(CHANGED_LIMIT_S * 1000)
