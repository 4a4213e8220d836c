"""The cluster of a soak run: gateway processes, and relays for the links."""

import asyncio
import collections
import os
import pathlib
import signal
import sys
import time

from standins import bench_forwarding
from standins import fleet_replica
from standins import gateway_cluster
from standins import relay
from standins import soak_checks
from standins import soak_plan

EVENTS = 12
EVENT_INTERVAL_S = 0.02
# Execution time of a booking, long enough that some bookings are in progress
# when an endpoint crashes.
DESK_WORK_S = 0.12
ENGINE_WORK_S = 0.02
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
# Time for all hosts to settle after a change or the end of a fault. A
# configuration must be in force within 2 to 3 s, and gateways notice within 3 s
# that the store is back.
SETTLE_S = 4.0
STAGE_BY_NAME = {
    'reader': 'prefill',
    'writer-1': 'decode',
    'writer-2': 'decode',
    'writer-3': 'decode',
    'writer-4': 'decode',
}


async def wait_until_signals_are_handled(pid: int) -> None:
  """Waits until a gateway handles SIGTERM and ignores SIGHUP.

  Until the first lines of the program have run, SIGTERM kills it. SIGHUP may be
  ignored from the start, as under nohup.
  """
  status = pathlib.Path(f'/proc/{pid}/status')
  async with asyncio.timeout(READY_TIMEOUT_S):
    while True:
      mask_by_field = {}
      for line in status.read_text().splitlines():
        if line.startswith(('SigIgn:', 'SigCgt:')):
          field, mask = line.split()
          mask_by_field[field] = int(mask, 16)
      # Signal n is bit n - 1 of a mask.
      if (
          mask_by_field['SigIgn:'] >> (signal.SIGHUP - 1) & 1
          and mask_by_field['SigCgt:'] >> (signal.SIGTERM - 1) & 1
      ):
        return
      await asyncio.sleep(0.002)


class SoakGateway:
  """A gateway process, its state and its observed failures.

  Attributes:
    host: The host as its settings describe it.
    store_link: The relay to the store.
    is_ready: Whether it was ready at the last poll.
    unexpected_exits: Descriptions of unrequested exits and failed shutdowns.
    outages: Periods in which it could not answer.
  """

  def __init__(
      self,
      cluster: gateway_cluster.GatewayCluster,
      folder: pathlib.Path,
      name: str,
      module: str,
      started_at: float,
  ):
    self.store_link = relay.Relay(f'127.0.0.1:{cluster.store.port}')
    self.host = cluster.make_host(name)
    self.is_ready = False
    self.unexpected_exits: list[str] = []
    self.outages: list[soak_checks.Outage] = []
    self._folder = folder / name
    self._folder.mkdir()
    self._module = module
    self._started_at = started_at
    self._program: asyncio.subprocess.Process | None = None
    self._is_ending = False
    # Serializes kills, stops and pauses of the process.
    self._lock = asyncio.Lock()

  def write(self, seeds: list[str], slack: float = 50.0) -> None:
    """Writes the settings file of the gateway."""
    port = int(self.store_link.address.rpartition(':')[2])
    bench_forwarding.write_settings(self.host, self._folder, port, seeds, slack)

  async def start(self) -> None:
    """Starts the process and waits until it handles signals."""
    with open(self._folder / 'log.txt', 'ab') as log:
      self._program = await asyncio.create_subprocess_exec(
          sys.executable,
          '-m',
          self._module,
          env=os.environ
          | {'MULBERRYPICK_NODE_FILE': str(self._folder / 'settings.yaml')},
          stdout=log,
          stderr=log,
      )
    self._is_ending = False
    await wait_until_signals_are_handled(self._program.pid)

  async def _start_again(self) -> None:
    """Starts the process; the whole system has started before."""
    path = self._folder / 'settings.yaml'
    text = path.read_text()
    path.write_text(text.replace('bootstrap: true', 'bootstrap: false'))
    await self.start()

  async def poll(self) -> None:
    """Polls whether the gateway is ready; records an unexpected exit."""
    program = self._program
    if program.returncode is not None and not self._is_ending:
      self.unexpected_exits.append(
          f'{self.host.name} exited with status {program.returncode}'
      )
      self._is_ending = True
    try:
      async with asyncio.timeout(1.0):
        answer = await gateway_cluster.call(
            self.host.ready_port, '/mulberrypick/readyz', '', method='GET'
        )
      self.is_ready = answer.status == 200
    except (gateway_cluster.stream_client.errors.ConnectError, TimeoutError):
      # A load balancer treats a gateway that does not answer as not ready.
      self.is_ready = False

  async def wait_until_ready(self) -> None:
    """Waits until the gateway is ready.

    Raises:
      TimeoutError: It did not become ready in time.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
      while not self.is_ready:
        await self.poll()
        await asyncio.sleep(0.05)

  async def kill(self, duration_s: float) -> None:
    """Kills the gateway, and restarts it after `duration_s`."""
    async with self._lock:
      began_at = self._now()
      self._is_ending = True
      self._program.kill()
      await self._program.wait()
      await asyncio.sleep(duration_s)
      await self._start_again()
    self.outages.append(
        soak_checks.Outage(self.host.name, began_at, self._now() + 1.0)
    )

  async def stop(self, duration_s: float) -> None:
    """Stops the gateway with SIGTERM, and restarts it after `duration_s`."""
    async with self._lock:
      self._is_ending = True
      self._program.send_signal(signal.SIGTERM)
      try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
          status = await self._program.wait()
      except TimeoutError:
        self.unexpected_exits.append(
            f'{self.host.name} did not stop after SIGTERM'
        )
        self._program.kill()
        status = await self._program.wait()
      if status:
        self.unexpected_exits.append(
            f'{self.host.name} stopped with status {status}'
        )
      began_at = self._now()
      await asyncio.sleep(duration_s)
      await self._start_again()
    # A load balancer that polls twice a second may still send requests to the
    # closed port.
    self.outages.append(
        soak_checks.Outage(self.host.name, began_at - 0.1, self._now() + 1.0)
    )

  async def pause(self, duration_s: float) -> None:
    """Suspends the gateway with SIGSTOP for `duration_s`."""
    async with self._lock:
      began_at = self._now()
      self._program.send_signal(signal.SIGSTOP)
      await asyncio.sleep(duration_s)
      self._program.send_signal(signal.SIGCONT)
    self.outages.append(
        soak_checks.Outage(self.host.name, began_at, self._now() + 0.5)
    )

  def reload(self) -> None:
    """Sends SIGHUP, on which the gateway reloads its settings."""
    if not self._is_ending:
      self._program.send_signal(signal.SIGHUP)

  async def close(self) -> None:
    """Kills the process if it is running, and closes its relay."""
    self._is_ending = True
    if self._program is not None and self._program.returncode is None:
      self._program.kill()
      await self._program.wait()
    self.store_link.close()

  def _now(self) -> float:
    return time.monotonic() - self._started_at


class SoakCluster:
  """Store, endpoints behind relays, and gateways.

  Attributes:
    base: Runs the store, and makes the settings of the gateways.
    gateway_by_name: The gateways.
    replica_by_name: The current endpoint of each name.
    link_by_name: The relay to each current endpoint.
    departures: Endpoints that left, and when, in seconds after the start.
    crashes: Times, in seconds after the start, at which requests crashed
      endpoints, and the bodies of the requests.
  """

  def __init__(self, folder: pathlib.Path, module: str):
    self.started_at = time.monotonic()
    self.base = gateway_cluster.GatewayCluster()
    self.gateway_by_name: dict[str, SoakGateway] = {}
    self.replica_by_name: dict[str, fleet_replica.FleetReplica] = {}
    self.link_by_name: dict[str, relay.Relay] = {}
    self.departures: list[tuple[fleet_replica.FleetReplica, float]] = []
    self.crashes: list[tuple[float, bytes]] = []
    self._restarts: list[asyncio.Task] = []
    self._all_replicas: list[fleet_replica.FleetReplica] = []
    self._all_links: list[relay.Relay] = []
    self._folder = folder
    self._module = module
    self._version = 1

  def now(self) -> float:
    """Returns the time in seconds after the start."""
    return time.monotonic() - self.started_at

  async def start(self) -> None:
    """Starts all parts, and waits until the gateways are ready."""
    store = self.base.store
    await store.start(gateway_cluster.free_ports(1)[0])
    store.put('config', 'main', gateway_cluster.make_config(1))
    for name in soak_plan.DESKS + soak_plan.ENGINES:
      await self.start_replica(name)
    seeds: list[str] = []
    for name in soak_plan.GATEWAYS:
      gateway = SoakGateway(
          self.base, self._folder, name, self._module, self.started_at
      )
      self.gateway_by_name[name] = gateway
      gateway.write(seeds)
      seeds = [*seeds, f'127.0.0.1:{gateway.host.peer_port}']
      await gateway.start()
    for gateway in self.gateway_by_name.values():
      await gateway.wait_until_ready()

  async def start_replica(
      self, name: str, port: int = 0, software: str = ''
  ) -> None:
    """Starts an endpoint and writes its entry to the store.

    If an endpoint of that name was started before, the new one succeeds it: it
    has the next `born` number, and its entry replaces the old one.

    Args:
      name: Its name.
      port: Its port; 0 for a free one.
      software: Its software version, by default that of its predecessor.
    """
    stage = STAGE_BY_NAME.get(name, '')
    service = 'engine' if stage else 'desk'
    replica = fleet_replica.FleetReplica(name, service, stage)
    replica.behaviour = fleet_replica.Behaviour(
        work_s=ENGINE_WORK_S if stage else DESK_WORK_S,
        events=EVENTS,
        event_interval_s=EVENT_INTERVAL_S,
    )
    replica.on_crash = self._handle_crash
    old = self.replica_by_name.get(name)
    replica.born = old.born + 1 if old else 1
    if software or old:
      replica.software = software or old.software
    await replica.start(port or gateway_cluster.free_ports(1)[0])
    link = relay.Relay(f'127.0.0.1:{replica.port}')
    self.replica_by_name[name] = replica
    self.link_by_name[name] = link
    self._all_replicas.append(replica)
    self._all_links.append(link)
    self.list_replica(name)

  def crashing_arrivals(self) -> list[tuple[float, str]]:
    """Returns when endpoints received crashing requests, and the ids.

    Times are in seconds after the start.
    """
    arrivals = []
    for replica in self._all_replicas:
      for at, request in replica.crashing_arrivals:
        arrivals.append((at - self.started_at, request))
    return sorted(arrivals)

  def _handle_crash(self, replica: fleet_replica.FleetReplica) -> None:
    crashed_at = time.monotonic() - self.started_at
    self.crashes.append((crashed_at, replica.crashed_by))
    restart = asyncio.get_running_loop().create_task(self._restart(replica))
    self._restarts.append(restart)

  async def _restart(self, replica: fleet_replica.FleetReplica) -> None:
    """Restarts a crashed endpoint unless another fault has replaced it."""
    await asyncio.sleep(gateway_cluster.ENTRY_EXPIRY_S)
    if self.replica_by_name[replica.name] is replica:
      self.base.store.remove('servers', replica.name)
    await asyncio.sleep(
        gateway_cluster.RESTART_S - gateway_cluster.ENTRY_EXPIRY_S
    )
    if self.replica_by_name[replica.name] is replica:
      await self.start_replica(replica.name)

  def list_replica(self, name: str, state: str = 'ready') -> None:
    """Writes the entry of an endpoint to the store."""
    entry = self.replica_by_name[name].entry(state)
    entry['address'] = self.link_by_name[name].address
    self.base.store.put('servers', name, entry)

  def change_config(self) -> int:
    """Writes a configuration with a higher version; returns the version."""
    self._version += 1
    config = gateway_cluster.make_config(self._version)
    config['routes'].append(
        config['routes'][0]
        | {
            'name': f'version-{self._version}',
            'pathPrefix': f'/version-{self._version}/',
        }
    )
    self.base.store.put('config', 'main', config)
    return self._version

  @property
  def version(self) -> int:
    """The version of the newest configuration."""
    return self._version

  def runs(self) -> collections.Counter[str]:
    """Returns how often each request ran, over current and past endpoints."""
    total: collections.Counter[str] = collections.Counter()
    for replica in self._all_replicas:
      total.update(replica.runs)
    return total

  async def stop(self) -> None:
    """Stops all gateways, relays and endpoints, and the store."""
    for restart in self._restarts:
      restart.cancel()
    for gateway in self.gateway_by_name.values():
      await gateway.close()
    for link in self._all_links:
      link.close()
    for replica in self._all_replicas:
      replica.stop()
    self.base.store.stop()
