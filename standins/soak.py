"""Soak test: injects faults around real gateway processes under load.

    python -m standins.soak --seeds 1-50

Each seed determines a schedule of faults of hosts, endpoints, links, the store
and the configuration. Faults occur in series and overlap, while clients send
load over persistent connections. `soak_checks` checks the answers. In addition,
no process may exit by itself, an endpoint that left may receive no new work,
and after the last fault the newest configuration must be in force on all
gateways and every kind of request must be served. For a failed seed the tool
prints the violations and saves the logs in `out/soak`. Seeds that failed are
recorded in `soak_seeds.txt` with the cause. Each seed also determines a run of
planned work without faults; `--kind planned` runs only those.
"""

import asyncio
import pathlib
import sys
import tempfile

import click

from standins import gateway_cluster
from standins import soak_apart
from standins import soak_checks
from standins import soak_client
from standins import soak_cluster
from standins import soak_faults
from standins import soak_plan
from standins import soak_planned
from standins import soak_planned_plan
from standins import soak_retries
from standins import soak_told

GATEWAY = 'standins.relayed_gateway'
RATE_PER_S = 80.0
ROUTES = ('unsafe', 'ask', 'safe', 'read', 'unsafe')
POLL_INTERVAL_S = 0.2
# An endpoint that left may receive new requests for this long, until all
# gateways know of the change.
MAX_WORK_AFTER_LEAVING_S = 2.0
# Faults that delay the propagation of changes to gateways.
FAULTS_DELAYING_UPDATES = (
    'store',
    'store_link',
    'history',
    'older',
    'pause',
    'kill',
    'stop',
    'late',
    'quiet',
)
RECOVERY_REQUESTS = 24
# Interval at which the lateness of this process is measured.
LATENESS_INTERVAL_S = 0.02
FAILED_LOGS_FOLDER = pathlib.Path('out/soak')


class Soak:
  """One soak run with a given schedule of faults."""

  def __init__(
      self,
      faults: list[soak_plan.Fault],
      folder: pathlib.Path,
      module: str = GATEWAY,
  ):
    self._faults = faults
    self._cluster = soak_cluster.SoakCluster(
        folder, module, soak_plan.plan_retries(faults)
    )
    self._client = soak_client.SoakClient(self._cluster.started_at)
    self._injector = soak_faults.FaultInjector(self._cluster, self._send_one)
    self._violations: list[str] = []
    self._request_count = 0
    self._worst_lateness_s = 0.0

  async def run(self) -> list[str]:
    """Runs the schedule; returns the violations found, one line each."""
    cluster = self._cluster
    try:
      await cluster.start()
      schedule_start_at = self._cluster.now()
      polling = asyncio.create_task(self._poll_readiness())
      measuring = asyncio.create_task(self._measure_lateness())
      sending = asyncio.create_task(self._send())
      async with asyncio.TaskGroup() as group:
        for fault in self._faults:
          group.create_task(self._injector.inject(fault, schedule_start_at))
      left_s = (
          schedule_start_at
          + soak_plan.duration_s(self._faults)
          - self._cluster.now()
      )
      await asyncio.sleep(max(0.0, left_s))
      sending.cancel()
      await self._check_recovery()
      polling.cancel()
      measuring.cancel()
      await asyncio.gather(polling, sending, measuring, return_exceptions=True)
      self._check_guarantees()
    finally:
      self._client.close()
      await cluster.stop()
    return self._violations

  async def _poll_readiness(self) -> None:
    """Polls the readiness of the gateways, as a load balancer does."""
    while True:
      for gateway in self._cluster.gateway_by_name.values():
        await gateway.poll()
      await asyncio.sleep(POLL_INTERVAL_S)

  async def _measure_lateness(self) -> None:
    """Measures by how much this process is late, in which all stand-ins run."""
    loop = asyncio.get_running_loop()
    while True:
      due_at = loop.time() + LATENESS_INTERVAL_S
      await asyncio.sleep(LATENESS_INTERVAL_S)
      late_s = loop.time() - due_at
      self._worst_lateness_s = max(self._worst_lateness_s, late_s)

  async def _send(self) -> None:
    """Sends requests at a constant rate, without waiting for their answers."""
    loop = asyncio.get_running_loop()
    running = set()
    try:
      while True:
        await asyncio.sleep(1 / RATE_PER_S)
        task = loop.create_task(self._send_one())
        running.add(task)
        task.add_done_callback(running.discard)
    finally:
      await asyncio.gather(*running)

  async def _send_one(
      self, crasher: tuple[str, str, bytes] | None = None
  ) -> soak_checks.Observation | None:
    """Sends the next request of the load, or another one to the next gateway.

    Args:
      crasher: Route, id and body of the other request.
    """
    self._request_count += 1
    number = self._request_count
    ready = []
    for gateway in self._cluster.gateway_by_name.values():
      if gateway.is_ready:
        ready.append(gateway)
    if not ready:
      return None
    gateway = ready[number % len(ready)]
    if crasher is not None:
      route, request, body = crasher
    else:
      route, request, body = ROUTES[number % len(ROUTES)], f'r{number}', None
    return await self._client.send(
        gateway.host.name, gateway.host.listen_port, route, request, body
    )

  async def _check_recovery(self) -> None:
    """Checks that all requests are served again after the last fault."""
    for gateway in self._cluster.gateway_by_name.values():
      try:
        await gateway.wait_until_ready()
      except TimeoutError:
        self._violations.append(
            f'RECOVER: {gateway.host.name} did not become ready'
        )
        return
    await asyncio.sleep(soak_cluster.SETTLE_S)
    path = f'/version-{self._cluster.version}/x'
    for gateway in self._cluster.gateway_by_name.values():
      if self._cluster.version == 1:
        break
      answer = await gateway_cluster.call(
          gateway.host.listen_port, path, 'version', method='GET'
      )
      if answer.status != 200:
        self._violations.append(
            f'CONFIG: {gateway.host.name} answers {answer.status} for version'
            f' {self._cluster.version}'
        )
    for _ in range(RECOVERY_REQUESTS):
      self._worst_lateness_s = 0.0
      observation = await self._send_one()
      if (
          observation is None
          or observation.status != 200
          or not observation.is_whole
      ):
        self._violations.append(
            f'RECOVER: {observation}, while the stand-ins were up to'
            f' {self._worst_lateness_s:.2f} s late'
        )

  def _check_guarantees(self) -> None:
    outages = []
    for gateway in self._cluster.gateway_by_name.values():
      outages += gateway.outages
      self._violations += [
          f'ENDED: {line}' for line in gateway.unexpected_exits
      ]
    self._violations += soak_checks.find_violations(
        self._client.observations,
        self._cluster.runs(),
        outages,
        soak_cluster.EVENTS,
    )
    # Hosts that can't ask each other don't know the version of a stream.
    self._violations += self._injector.stream_caller.find_violations(
        outages + self._injector.peer_cuts
    )
    self._violations += self._injector.patient_caller.find_violations(
        outages, self._cluster.endpoint_outages
    )
    self._violations += self._injector.part_caller.find_violations(
        outages + self._injector.disturbances
    )
    self._violations += soak_apart.find_violations(
        self._client.observations,
        self._injector.cuts,
        outages + self._injector.disturbances,
        self._injector.peer_cuts,
    )
    self._violations += soak_retries.find_violations(
        self._cluster.calls(),
        self._client.observations,
        self._client.repeated_at,
        soak_plan.allowed_retries(self._faults),
    )
    limited = []
    for replica, limit, named_at in self._injector.limited:
      arrivals = []
      for at, request in replica.limited_arrivals:
        arrivals.append((at - self._cluster.started_at, request))
      limited.append(
          soak_checks.LimitedEndpoint(replica.name, limit, named_at, arrivals)
      )
    self._violations += soak_checks.find_limit_violations(
        self._client.observations, limited, outages
    )
    self._violations += self._injector.late_callers.find_violations()
    self._violations += self._injector.endless.violations
    self._violations += self._injector.quiet.find_violations(
        self._client.observations, outages + self._injector.disturbances
    )
    for replica, variant in self._injector.told:
      arrivals = []
      for at, request in replica.told_arrivals:
        arrivals.append((at - self._cluster.started_at, request))
      self._violations += soak_told.find_violations(
          self._client.observations,
          soak_told.ToldEndpoint(replica.name, variant, arrivals),
          outages,
          self._injector.cuts,
      )
    for prefix, body in self._injector.body_by_crasher.items():
      self._violations += soak_checks.find_late_retries(
          self._client.observations,
          [at for at, by in self._cluster.crashes if by == body],
          self._cluster.crashing_arrivals(),
          outages + self._injector.disturbances,
          prefix,
      )
    if any(fault.kind in FAULTS_DELAYING_UPDATES for fault in self._faults):
      return
    for replica, left_at in self._cluster.departures:
      arrived_at = replica.arrived_at - self._cluster.started_at
      if arrived_at > left_at + MAX_WORK_AFTER_LEAVING_S:
        self._violations.append(
            f'GONE: {replica.name} received work'
            f' {arrived_at - left_at:.2f} s after it left'
        )

  def summary(self) -> str:
    """Returns the number of answers by status and the faults, in one line."""
    count_by_status: dict[int, int] = {}
    for observation in self._client.observations:
      count_by_status[observation.status] = (
          count_by_status.get(observation.status, 0) + 1
      )
    faults = ' '.join(f'{f.kind}:{f.target}:{f.variant}' for f in self._faults)
    crashes = f'{len(self._cluster.crashes)} crashes by requests'
    taken_up = self._injector.stream_caller.taken_up
    gone_on = sum(stream.has_gone_on for stream in taken_up)
    patient = len(self._injector.patient_caller.calls)
    resumed = f'{gone_on} of {len(taken_up)} streams went on'
    streams = f'{patient} patient streams, {resumed}'
    return f'{count_by_status}, {crashes}, {streams}, after {faults}'


def run_faults(
    faults: list[soak_plan.Fault], run_name: str, module: str = GATEWAY
) -> tuple[list[str], str]:
  """Runs a schedule of faults.

  Args:
    faults: The faults, earliest first.
    run_name: Subfolder for the logs, which are saved if a check failed.
    module: Module that starts a gateway.

  Returns:
    The violations found, one line each, and a one-line summary of the run.
  """
  with tempfile.TemporaryDirectory() as name:
    folder = pathlib.Path(name)
    soak = Soak(faults, folder, module)
    violations = ['RUN: the run did not end']
    try:
      violations = asyncio.run(soak.run())
    finally:
      if violations:
        save_logs(run_name, folder)
  return violations, soak.summary()


def run_seed(seed: int) -> tuple[list[str], str]:
  """Runs the schedule of a seed; returns its violations and a summary."""
  return run_faults(soak_plan.plan_faults(seed), str(seed))


def run_planned(
    plan: soak_planned_plan.Plan, run_name: str, module: str = GATEWAY
) -> tuple[list[str], str]:
  """Runs planned work without faults; returns violations and a summary."""
  with tempfile.TemporaryDirectory() as name:
    folder = pathlib.Path(name)
    run = soak_planned.PlannedRun(plan, folder, module)
    violations = ['RUN: the run did not end']
    try:
      violations = asyncio.run(run.run())
    finally:
      if violations:
        save_logs(run_name, folder)
  return violations, run.summary


def run_planned_seed(seed: int) -> tuple[list[str], str]:
  """Runs the planned work of a seed; returns violations and a summary."""
  return run_planned(soak_planned_plan.plan(seed), f'planned-{seed}')


def save_logs(run_name: str, folder: pathlib.Path) -> None:
  """Copies the logs of a failed run to `FAILED_LOGS_FOLDER`."""
  for path in sorted(folder.glob('*/log.txt')):
    copy = FAILED_LOGS_FOLDER / run_name / f'{path.parent.name}.txt'
    copy.parent.mkdir(parents=True, exist_ok=True)
    copy.write_bytes(path.read_bytes())


def read_seeds(text: str) -> list[int]:
  """Parses seeds such as `1-50` or `3,7`.

  Raises:
    ValueError: The text is not a list of numbers and ranges.
  """
  seeds = []
  for part in text.split(','):
    first, _, last = part.partition('-')
    seeds += range(int(first), int(last or first) + 1)
  return seeds


RUNS_BY_KIND = {
    'all': (run_seed, run_planned_seed),
    'faults': (run_seed,),
    'planned': (run_planned_seed,),
}


@click.command()
@click.option(
    '--seeds',
    default='1-3',
    help='Seeds to run, for example 1-50 or 3,7.',
)
@click.option(
    '--kind',
    type=click.Choice(tuple(RUNS_BY_KIND)),
    default='all',
    help='What to run of each seed.',
)
def main(seeds: str, kind: str):
  """Runs the seeds one after another; exits 1 if any check failed."""
  try:
    numbers = read_seeds(seeds)
  except ValueError as error:
    raise click.BadParameter(f'seeds "{seeds}": {error}') from error
  failed = []
  for seed in numbers:
    for run in RUNS_BY_KIND[kind]:
      violations, line = run(seed)
      click.echo(f'seed {seed}: {"FAILED" if violations else "held"}; {line}')
      for violation in violations:
        click.echo(f'  {violation}')
      if violations and seed not in failed:
        failed.append(seed)
  click.echo(f'{len(numbers)} seeds, failed: {failed or "none"}')
  sys.exit(1 if failed else 0)


if __name__ == '__main__':
  main()
