"""A fault soak: real gateways, faults from outside, promises checked.

    python -m standins.soak --seeds 1-50

Each seed draws faults of hosts, endpoints, links, the store and the
configuration, which come in series and overlap, under load on connections that
callers keep. What must hold is in `soak_checks`; besides, no process ends by
itself, an endpoint that left gets no new work, and after the last fault the
newest configuration is in force everywhere and every kind of request is served.
A failed seed prints what broke and where the logs are; it is kept in
`soak_seeds.txt` with a line on its cause.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

import click

from standins import fleet_town
from standins import soak_checks
from standins import soak_client
from standins import soak_plan
from standins import soak_town

GATEWAY = 'mulberrypick.scripts.gateway'
RATE_PER_S = 80.0
ROUTES = ('unsafe', 'ask', 'safe', 'read', 'unsafe')
LOOK_S = 0.2
# An endpoint that left gets no new work after this; the users' bound is the
# time until a change is known everywhere.
GONE_S = 2.0
# Faults that keep hosts from hearing of a change.
DEAFENING = ('store', 'store_link', 'history', 'pause', 'kill', 'stop')
LAST_CALLS = 24
FAILED_KEPT = pathlib.Path('out/soak')


class Soak:
  """One run."""

  def __init__(
      self,
      faults: list[soak_plan.Fault],
      folder: pathlib.Path,
      module: str = GATEWAY,
  ):
    self._faults = faults
    self._town = soak_town.SoakTown(folder, module)
    self._client = soak_client.SoakClient(self._town.started_at)
    self._broken: list[str] = []
    self._number = 0

  async def run(self) -> list[str]:
    """Runs it; returns what did not hold, one line each."""
    town = self._town
    try:
      await town.start()
      zero_at = self._now()
      looking = asyncio.create_task(self._look())
      sending = asyncio.create_task(self._send())
      async with asyncio.TaskGroup() as group:
        for fault in self._faults:
          group.create_task(self._cause(fault, zero_at))
      left_s = zero_at + soak_plan.DURATION_S - self._now()
      await asyncio.sleep(max(0.0, left_s))
      sending.cancel()
      await self._check_recovery()
      looking.cancel()
      await asyncio.gather(looking, sending, return_exceptions=True)
      self._check_all()
    finally:
      self._client.close()
      await town.stop()
    return self._broken

  def _now(self) -> float:
    return time.monotonic() - self._town.started_at

  async def _look(self) -> None:
    """Watches the gateways as a balancer does."""
    while True:
      for gateway in self._town.gateway_by_name.values():
        await gateway.look()
      await asyncio.sleep(LOOK_S)

  async def _send(self) -> None:
    """Sends requests at their times, whatever comes of them."""
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

  async def _send_one(self) -> soak_checks.Seen | None:
    self._number += 1
    number = self._number
    ready = []
    for gateway in self._town.gateway_by_name.values():
      if gateway.is_ready:
        ready.append(gateway)
    if not ready:
      return None
    gateway = ready[number % len(ready)]
    route = ROUTES[number % len(ROUTES)]
    return await self._client.send(
        gateway.host.name, gateway.host.listen_port, route, f'r{number}'
    )

  async def _cause(self, fault: soak_plan.Fault, zero_at: float) -> None:
    await asyncio.sleep(max(0.0, zero_at + fault.at_s - self._now()))
    await getattr(self, f'_cause_{fault.kind}')(fault)

  async def _cause_kill(self, fault: soak_plan.Fault) -> None:
    await self._town.gateway_by_name[fault.target].kill(fault.for_s)

  async def _cause_stop(self, fault: soak_plan.Fault) -> None:
    await self._town.gateway_by_name[fault.target].stop(fault.for_s)

  async def _cause_pause(self, fault: soak_plan.Fault) -> None:
    await self._town.gateway_by_name[fault.target].pause(fault.for_s)

  async def _cause_reload(self, fault: soak_plan.Fault) -> None:
    gateway = self._town.gateway_by_name[fault.target]
    if fault.how == 'file':
      gateway.write([], 60.0)
      return
    for _ in range(5):
      gateway.reload()
      await asyncio.sleep(fault.for_s / 5)

  async def _cause_crash(self, fault: soak_plan.Fault) -> None:
    town, name = self._town, fault.target
    replica = town.replica_by_name[name]
    replica.stop()
    await asyncio.sleep(fault.for_s / 2)
    town.town.store.remove('servers', name)
    await asyncio.sleep(fault.for_s / 2)
    same = fault.how == 'same_port'
    await town.bear(name, replica.port if same else 0)

  async def _cause_leave(self, fault: soak_plan.Fault) -> None:
    town, name = self._town, fault.target
    if fault.how == 'draining':
      town.list_replica(name, 'draining')
    else:
      town.town.store.remove('servers', name)
    town.left.append((town.replica_by_name[name], self._now()))
    await asyncio.sleep(fault.for_s)
    town.town.store.remove('servers', name)
    await town.bear(name)

  async def _cause_mode(self, fault: soak_plan.Fault) -> None:
    replica = self._town.replica_by_name[fault.target]
    usual = replica.behaviour
    replica.behaviour = usual._replace(mode=fault.how)
    await asyncio.sleep(fault.for_s)
    replica.behaviour = usual

  async def _cause_link(self, fault: soak_plan.Fault) -> None:
    link = self._town.link_by_name[fault.target]
    await self._cause_on(link, fault)

  async def _cause_store_link(self, fault: soak_plan.Fault) -> None:
    link = self._town.gateway_by_name[fault.target].store_link
    await self._cause_on(link, fault)

  async def _cause_on(self, link, fault: soak_plan.Fault) -> None:
    if fault.how == 'delay':
      link.delay(0.03)
    elif fault.how == 'break':
      link.break_connections()
    else:
      getattr(link, fault.how)()
    await asyncio.sleep(fault.for_s)
    link.heal()

  async def _cause_store(self, fault: soak_plan.Fault) -> None:
    store = self._town.town.store
    store.fail(fault.how)
    await asyncio.sleep(fault.for_s)
    store.fail('ok')

  async def _cause_history(self, fault: soak_plan.Fault) -> None:
    del fault
    self._town.town.store.forget_history()

  async def _cause_config(self, fault: soak_plan.Fault) -> None:
    for _ in range(6 if fault.how == 'series' else 1):
      self._town.change_config()
      await asyncio.sleep(fault.for_s / 6)

  async def _check_recovery(self) -> None:
    """Checks that all is served again after the last fault."""
    for gateway in self._town.gateway_by_name.values():
      try:
        await gateway.until_ready()
      except TimeoutError:
        self._broken.append(f'RECOVER: {gateway.host.name} is not ready')
        return
    await asyncio.sleep(soak_town.SETTLE_S)
    path = f'/version-{self._town.version}/x'
    for gateway in self._town.gateway_by_name.values():
      if self._town.version == 1:
        break
      answer = await fleet_town.call(
          gateway.host.listen_port, path, 'version', method='GET'
      )
      if answer.status != 200:
        self._broken.append(
            f'CONFIG: {gateway.host.name} answers {answer.status} for version'
            f' {self._town.version}'
        )
    for _ in range(LAST_CALLS):
      seen = await self._send_one()
      if seen is None or seen.status != 200 or not seen.is_whole:
        self._broken.append(f'RECOVER: {seen}')

  def _check_all(self) -> None:
    away = []
    for gateway in self._town.gateway_by_name.values():
      away += gateway.away
      self._broken += [f'ENDED: {line}' for line in gateway.ends]
    self._broken += soak_checks.judge(
        self._client.seen, self._town.runs(), away, soak_town.EVENTS
    )
    if any(fault.kind in DEAFENING for fault in self._faults):
      return
    for replica, left_at in self._town.left:
      arrived_at = replica.arrived_at - self._town.started_at
      if arrived_at > left_at + GONE_S:
        self._broken.append(
            f'GONE: {replica.name} got work {arrived_at - left_at:.2f} s after'
            ' it left'
        )

  def summary(self) -> str:
    """Returns what was sent and what came of it, in one line."""
    count_by_status: dict[int, int] = {}
    for item in self._client.seen:
      count_by_status[item.status] = count_by_status.get(item.status, 0) + 1
    faults = ' '.join(f'{f.kind}:{f.target}:{f.how}' for f in self._faults)
    return f'{count_by_status} after {faults}'


def run_faults(
    faults: list[soak_plan.Fault], kept: str, module: str = GATEWAY
) -> tuple[list[str], str]:
  """Runs faults; returns what did not hold, and a line on the run.

  Args:
    faults: The faults, earliest first.
    kept: Under which name logs are kept if anything did not hold.
    module: The gateway's module.
  """
  with tempfile.TemporaryDirectory() as name:
    folder = pathlib.Path(name)
    soak = Soak(faults, folder, module)
    broken = asyncio.run(soak.run())
    if broken:
      keep_logs(kept, folder)
  return broken, soak.summary()


def run_seed(seed: int) -> tuple[list[str], str]:
  """Runs one seed; returns what did not hold, and a line on the run."""
  return run_faults(soak_plan.plan_faults(seed), str(seed))


def keep_logs(kept: str, folder: pathlib.Path) -> None:
  """Copies the logs of a failed run to `FAILED_KEPT`."""
  for path in sorted(folder.glob('*/log.txt')):
    copy = FAILED_KEPT / kept / f'{path.parent.name}.txt'
    copy.parent.mkdir(parents=True, exist_ok=True)
    copy.write_bytes(path.read_bytes())


def read_seeds(text: str) -> list[int]:
  """Reads seeds such as `1-50` or `3,7`.

  Raises:
    ValueError: It is neither.
  """
  seeds = []
  for part in text.split(','):
    first, _, last = part.partition('-')
    seeds += range(int(first), int(last or first) + 1)
  return seeds


@click.command()
@click.option('--seeds', default='1-3', help='For example 1-50, or 3,7.')
def main(seeds: str):
  """Runs the seeds one after another; exits 1 if anything did not hold."""
  try:
    numbers = read_seeds(seeds)
  except ValueError as error:
    raise click.BadParameter(f'seeds "{seeds}": {error}') from error
  failed = []
  for seed in numbers:
    broken, line = run_seed(seed)
    click.echo(f'seed {seed}: {"FAILED" if broken else "held"}; {line}')
    for what in broken:
      click.echo(f'  {what}')
    if broken:
      failed.append(seed)
  click.echo(f'{len(numbers)} seeds, failed: {failed or "none"}')
  sys.exit(1 if failed else 0)


if __name__ == '__main__':
  main()
