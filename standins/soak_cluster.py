"""The cluster of a soak run: gateways, endpoints, and relays for the links."""

import asyncio
import collections
import pathlib
import random
import time

from standins import failing_replica
from standins import fleet_replica
from standins import gateway_cluster
from standins import relay
from standins import retry_check
from standins import soak_checks
from standins import soak_gateway
from standins import soak_plan

EVENTS = 12
EVENT_INTERVAL_S = 0.02
# Execution time of a booking, long enough that some bookings are in progress
# when an endpoint crashes.
DESK_WORK_S = 0.12
ENGINE_WORK_S = 0.02
# Time for which an engine refuses requests while it changes its stage.
SWITCH_S = 1.0
# Time limit of the streaming routes.
STREAM_LIMIT_MS = 8000
# Time limit of idle connections and of bodies, longer than a gateway's stop.
IDLE_LIMIT_MS = 10_000
# Time for all hosts to settle after a change or the end of a fault. A
# configuration must be in force within 2 to 3 s, and gateways notice within 3 s
# that the store is back.
SETTLE_S = 4.0
RESET_SEED = 1
STAGE_BY_NAME = {
    'reader': 'prefill',
    'writer-1': 'decode',
    'writer-2': 'decode',
    'writer-3': 'decode',
    'writer-4': 'decode',
}


class SoakCluster:
  """Store, endpoints behind relays, and gateways.

  Attributes:
    bound: The retries that the settings of the gateways allow.
    base: Runs the store, and makes the settings of the gateways.
    gateway_by_name: The gateways.
    replica_by_name: The current endpoint of each name.
    link_by_name: The relay to each current endpoint.
    departures: Endpoints that left, and when, in seconds after the start.
    crashes: Times, in seconds after the start, at which requests crashed
      endpoints, and the bodies of the requests.
    endpoint_outages: Periods in which endpoints crashed, failed or were cut
      off; `gateway` is the name of the endpoint.
    reset_share: Share of the runs that endpoints break off.
  """

  def __init__(
      self, folder: pathlib.Path, module: str, bound: retry_check.Bound
  ):
    self.bound = bound
    self.started_at = time.monotonic()
    self.base = gateway_cluster.GatewayCluster()
    self.gateway_by_name: dict[str, soak_gateway.SoakGateway] = {}
    self.replica_by_name: dict[str, failing_replica.FailingReplica] = {}
    self.link_by_name: dict[str, relay.Relay] = {}
    self.departures: list[tuple[fleet_replica.FleetReplica, float]] = []
    self.crashes: list[tuple[float, bytes]] = []
    self.reset_share = 0.0
    self._rng = random.Random(RESET_SEED)
    self._restarts: list[asyncio.Task] = []
    self.endpoint_outages: list[soak_checks.Outage] = []
    self._all_replicas: list[failing_replica.FailingReplica] = []
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
    store.era = 1
    await store.start(gateway_cluster.free_ports(1)[0])
    store.put('config', 'main', _make_config(1))
    for name in soak_plan.DESKS + soak_plan.ENGINES:
      await self.start_replica(name)
    seeds: list[str] = []
    for name in soak_plan.GATEWAYS:
      gateway = soak_gateway.SoakGateway(
          self.base,
          self._folder,
          name,
          self._module,
          self.started_at,
          self.bound,
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
    replica = failing_replica.FailingReplica(name, service, stage, self._rng)
    replica.reset_share = self.reset_share
    replica.behaviour = fleet_replica.Behaviour(
        work_s=ENGINE_WORK_S if stage else DESK_WORK_S,
        events=EVENTS,
        event_interval_s=EVENT_INTERVAL_S,
    )
    replica.on_crash = self._handle_crash
    replica.switch_s = SWITCH_S
    replica.on_stage = self._handle_stage
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
    self.endpoint_outages.append(
        soak_checks.Outage(
            replica.name, crashed_at, crashed_at + gateway_cluster.RESTART_S
        )
    )
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

  def _handle_stage(self, replica: fleet_replica.FleetReplica) -> None:
    """Lists an engine again that has changed its stage on an order."""
    if self.replica_by_name[replica.name] is replica:
      self.list_replica(replica.name)

  def list_replica(self, name: str, state: str = 'ready') -> None:
    """Writes the entry of an endpoint to the store."""
    entry = self.replica_by_name[name].entry(state)
    entry['address'] = self.link_by_name[name].address
    self.base.store.put('servers', name, entry)

  def change_config(self) -> int:
    """Writes a configuration with a higher version; returns the version."""
    self._version += 1
    config = _make_config(self._version)
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

  def calls(self) -> list[retry_check.Arrival]:
    """Returns the calls that arrived at endpoints, timed from the start."""
    calls = []
    for replica in self._all_replicas:
      for call in replica.calls:
        calls.append(call._replace(at=call.at - self.started_at))
    return calls

  def fail(self, reset_share: float) -> None:
    """Lets all endpoints break off a share of their runs."""
    self.reset_share = reset_share
    for replica in self.replica_by_name.values():
      replica.reset_share = reset_share

  def ran_at(self, request: str) -> set[str]:
    """Returns the names of the endpoints that ran a request."""
    names = set()
    for replica in self._all_replicas:
      if replica.runs[request]:
        names.add(replica.name)
    return names

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


def _make_config(version: int) -> dict[str, object]:
  """Returns a configuration with long time limits of streams and bodies."""
  config = gateway_cluster.make_config(version)
  for route in config['routes']:
    if route['routeType'] == 'streaming':
      route['timeoutMs'] = STREAM_LIMIT_MS
  config['limits']['idleTimeoutMs'] = IDLE_LIMIT_MS
  return config
