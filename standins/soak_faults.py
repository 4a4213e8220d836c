"""Carries out the faults of a soak run."""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable

from standins import crash_point
from standins import fleet_replica
from standins import soak_apart
from standins import soak_checks
from standins import soak_cluster
from standins import soak_endless
from standins import soak_late
from standins import soak_parts
from standins import soak_patient
from standins import soak_plan
from standins import soak_quiet
from standins import soak_streams
from standins import unframed_stream

# Interval at which the caller of a crashing request sends it again.
CRASHER_INTERVAL_S = 0.25
# How long an endpoint is silent, and the time between the begins of silences.
SILENCE_S = 1.1
SILENCE_INTERVAL_S = 1.3
# Share of the runs that failing endpoints break off.
RESET_SHARE = 0.6
# Kinds of faults whose target is an endpoint that then breaks requests.
# How long the store is away before it comes back from an older copy, and until
# the others have written again what it lacks.
OLDER_AWAY_S = 0.3
OLDER_REWRITE_S = 1.2
ENDPOINT_FAULTS = ('crash', 'mode', 'link')


class FaultInjector:
  """Carries out the faults of a soak run.

  Attributes:
    disturbances: Periods in which the store, or a path to it, was disturbed.
    cuts: Periods in which gateways were cut off from all endpoints.
    peer_cuts: Periods in which gateways did not reach each other.
    limited: Endpoints that named a limit, with the limit and the time since
      when.
    told: Endpoints that said that they leave or want nothing, and which.
    body_by_crasher: Body of each crashing request, by the prefix of its ids.
    stream_caller: Caller that takes up streams.
    part_caller: Caller whose requests crash endpoints by a prompt part.
    patient_caller: Caller that waits for silent endpoints.
    late_callers: Callers whose requests end late in the stop of a gateway.
    quiet: Endpoints that left beside silent connections to the store.
    endless: Endpoint that sends bytes without end.
  """

  def __init__(
      self,
      cluster: soak_cluster.SoakCluster,
      send: Callable[[tuple[str, str, bytes]], Awaitable[object]],
  ):
    """Makes the injector.

    Args:
      cluster: The cluster.
      send: Sends a request, given its route, id and body.
    """
    self._cluster = cluster
    self._send = send
    self.disturbances: list[soak_checks.Outage] = []
    self.cuts: list[soak_apart.Cut] = []
    self.peer_cuts: list[soak_checks.Outage] = []
    self.limited: list[tuple[fleet_replica.FleetReplica, float, float]] = []
    self.told: list[tuple[fleet_replica.FleetReplica, str]] = []
    self.body_by_crasher: dict[str, bytes] = {}
    self.stream_caller = soak_streams.StreamCaller(cluster)
    self.part_caller = soak_parts.PartCaller(cluster)
    self.patient_caller = soak_patient.PatientCaller(cluster)
    self.late_callers = soak_late.LateCallers(cluster)
    self.quiet = soak_quiet.QuietStore(cluster)
    self.endless = soak_endless.EndlessEndpoint(cluster, send)

  async def inject(
      self, fault: soak_plan.Fault, schedule_start_at: float
  ) -> None:
    """Waits until a fault is due, and carries it out."""
    await asyncio.sleep(
        max(0.0, schedule_start_at + fault.at_s - self._cluster.now())
    )
    began_at = self._cluster.now()
    await getattr(self, f'_inject_{fault.kind}')(fault)
    if fault.kind in ('store', 'store_link', soak_plan.OLDER_KIND):
      gateway = fault.target if fault.kind == 'store_link' else ''
      self.disturbances.append(
          soak_checks.Outage(gateway, began_at, self._cluster.now())
      )
    if fault.kind in ENDPOINT_FAULTS:
      self._cluster.endpoint_outages.append(
          soak_checks.Outage(fault.target, began_at, self._cluster.now())
      )

  async def _inject_crasher(self, fault: soak_plan.Fault) -> None:
    """Sends a crashing request again and again, each time with a new id."""
    prefix = f'crasher-{fault.target}-{fault.variant}-'
    # The prefix in the body distinguishes the crashes of two such requests.
    body = crash_point.CRASH_MARKER + f'{fault.variant} {prefix}'.encode()
    self.body_by_crasher[prefix] = body
    end_at = self._cluster.now() + fault.duration_s
    async with asyncio.TaskGroup() as group:
      number = 0
      while self._cluster.now() < end_at:
        number += 1
        crasher = (fault.target, f'{prefix}{number}', body)
        group.create_task(self._send(crasher))
        await asyncio.sleep(CRASHER_INTERVAL_S)

  async def _inject_limit(self, fault: soak_plan.Fault) -> None:
    replica = self._cluster.replica_by_name[fault.target]
    replica.limit = float(fault.variant)
    self.limited.append((replica, replica.limit, self._cluster.now()))
    await asyncio.sleep(fault.duration_s)
    replica.limit = 0.0

  async def _inject_told(self, fault: soak_plan.Fault) -> None:
    """Lets an endpoint say that it leaves, or that it wants nothing."""
    replica = self._cluster.replica_by_name[fault.target]
    replica.is_saying_it_leaves = fault.variant == soak_plan.LEAVING
    if not replica.is_saying_it_leaves:
      replica.hold_off = fault.variant
    self.told.append((replica, fault.variant))
    await asyncio.sleep(fault.duration_s)
    replica.hold_off = ''
    if replica.is_saying_it_leaves:
      replica.is_saying_it_leaves = False
      replica.born += 1
      self._cluster.base.store.put('servers', replica.name, replica.entry())

  async def _inject_version(self, fault: soak_plan.Fault) -> None:
    """Adds engines of another version; with `replace`, the others leave."""
    cluster = self._cluster
    for name in soak_plan.NEW_ENGINES:
      await cluster.start_replica(name, software=soak_plan.NEW_SOFTWARE)
    calling = asyncio.create_task(self.stream_caller.run(fault.duration_s))
    if fault.variant == 'replace':
      for name in ('writer-1', 'writer-2'):
        await asyncio.sleep(fault.duration_s / 3)
        cluster.base.store.remove('servers', name)
        await cluster.start_replica(name, software=soak_plan.NEW_SOFTWARE)
    await calling

  async def _inject_silence(self, fault: soak_plan.Fault) -> None:
    """Lets one engine after the other fall silent for about a second."""
    cluster = self._cluster
    names = list(soak_plan.ENGINES)
    if fault.variant == 'few':
      names.remove('writer-2')
      cluster.base.store.remove('servers', 'writer-2')
    end_at = cluster.now() + fault.duration_s
    calling = asyncio.create_task(self.patient_caller.run(fault.duration_s))
    rng = random.Random(repr(fault))
    while cluster.now() < end_at - SILENCE_S:
      await asyncio.sleep(SILENCE_INTERVAL_S - SILENCE_S)
      cluster.replica_by_name[rng.choice(names)].silence.begin(SILENCE_S)
      if fault.variant == 'config':
        cluster.change_config()
      await asyncio.sleep(SILENCE_S)
    await calling
    if fault.variant == 'few':
      cluster.list_replica('writer-2')

  async def _inject_late(self, fault: soak_plan.Fault) -> None:
    await self.late_callers.run(fault.target, fault.variant, fault.duration_s)

  async def _inject_quiet(self, fault: soak_plan.Fault) -> None:
    await self.quiet.run(fault.target, fault.variant, fault.duration_s)

  async def _inject_endless(self, fault: soak_plan.Fault) -> None:
    await self.endless.run(fault.variant, fault.duration_s)

  async def _inject_part(self, fault: soak_plan.Fault) -> None:
    point = crash_point.CrashPoint(fault.variant)
    await self.part_caller.run(point, fault.duration_s)

  async def _inject_failing(self, fault: soak_plan.Fault) -> None:
    """Lets endpoints fail, while gateways can't reach each other if `cut`."""
    cluster = self._cluster
    cluster.fail(RESET_SHARE)
    links = [g.peer_link for g in cluster.gateway_by_name.values()]
    if fault.variant == 'cut':
      for link in links:
        link.cut()
    began_at = cluster.now()
    await asyncio.sleep(fault.duration_s)
    for link in links:
      link.heal()
    if fault.variant == 'cut':
      self.peer_cuts.append(soak_checks.Outage('', began_at, cluster.now()))
    cluster.fail(0.0)
    for name in cluster.replica_by_name:
      cluster.endpoint_outages.append(
          soak_checks.Outage(name, began_at, cluster.now())
      )

  async def _inject_apart(self, fault: soak_plan.Fault) -> None:
    """Cuts gateways off from all endpoints."""
    names = tuple(fault.target.split())
    gateways = [self._cluster.gateway_by_name[name] for name in names]
    began_at = self._cluster.now()
    for gateway in gateways:
      gateway.set_apart(fault.variant)
    await asyncio.sleep(fault.duration_s)
    for gateway in gateways:
      gateway.set_apart('')
    self.cuts.append(soak_apart.Cut(names, began_at, self._cluster.now()))

  async def _inject_unframed(self, fault: soak_plan.Fault) -> None:
    """Lets an endpoint answer with neither a length nor chunks."""
    replica = self._cluster.replica_by_name[fault.target]
    usual = replica.behaviour
    mode = fault.variant if replica.stage else 'unframed'
    replica.behaviour = usual._replace(mode=mode)
    began_at = self._cluster.now()
    await asyncio.sleep(fault.duration_s)
    replica.behaviour = usual
    if mode == unframed_stream.CUT:
      self._cluster.endpoint_outages.append(
          soak_checks.Outage(fault.target, began_at, self._cluster.now())
      )

  async def _inject_kill(self, fault: soak_plan.Fault) -> None:
    await self._cluster.gateway_by_name[fault.target].kill(fault.duration_s)

  async def _inject_stop(self, fault: soak_plan.Fault) -> None:
    await self._cluster.gateway_by_name[fault.target].stop(fault.duration_s)

  async def _inject_pause(self, fault: soak_plan.Fault) -> None:
    await self._cluster.gateway_by_name[fault.target].pause(fault.duration_s)

  async def _inject_reload(self, fault: soak_plan.Fault) -> None:
    gateway = self._cluster.gateway_by_name[fault.target]
    if fault.variant == 'file':
      gateway.write([], soak_plan.MORE_SLACK)
      return
    for _ in range(5):
      gateway.reload()
      await asyncio.sleep(fault.duration_s / 5)

  async def _inject_crash(self, fault: soak_plan.Fault) -> None:
    cluster, name = self._cluster, fault.target
    replica = cluster.replica_by_name[name]
    replica.stop()
    await asyncio.sleep(fault.duration_s / 2)
    cluster.base.store.remove('servers', name)
    await asyncio.sleep(fault.duration_s / 2)
    same = fault.variant == 'same_port'
    await cluster.start_replica(name, replica.port if same else 0)

  async def _inject_leave(self, fault: soak_plan.Fault) -> None:
    cluster, name = self._cluster, fault.target
    if fault.variant == 'draining':
      cluster.list_replica(name, 'draining')
    else:
      cluster.base.store.remove('servers', name)
    cluster.departures.append(
        (cluster.replica_by_name[name], self._cluster.now())
    )
    await asyncio.sleep(fault.duration_s)
    cluster.base.store.remove('servers', name)
    await cluster.start_replica(name)

  async def _inject_mode(self, fault: soak_plan.Fault) -> None:
    replica = self._cluster.replica_by_name[fault.target]
    usual = replica.behaviour
    replica.behaviour = usual._replace(mode=fault.variant)
    await asyncio.sleep(fault.duration_s)
    replica.behaviour = usual

  async def _inject_link(self, fault: soak_plan.Fault) -> None:
    link = self._cluster.link_by_name[fault.target]
    await self._inject_link_fault(link, fault)

  async def _inject_store_link(self, fault: soak_plan.Fault) -> None:
    link = self._cluster.gateway_by_name[fault.target].store_link
    await self._inject_link_fault(link, fault)

  async def _inject_link_fault(self, link, fault: soak_plan.Fault) -> None:
    if fault.variant == 'delay':
      link.delay(0.03)
    elif fault.variant == 'break':
      link.break_connections()
    else:
      getattr(link, fault.variant)()
    await asyncio.sleep(fault.duration_s)
    link.heal()

  async def _inject_store(self, fault: soak_plan.Fault) -> None:
    store = self._cluster.base.store
    store.fail(fault.variant)
    await asyncio.sleep(fault.duration_s)
    store.fail('ok')

  async def _inject_older(self, fault: soak_plan.Fault) -> None:
    store = self._cluster.base.store
    copy = store.copy()
    await asyncio.sleep(fault.duration_s)
    for _ in range(2 if fault.variant == 'twice' else 1):
      await store.come_back_older(copy, OLDER_AWAY_S, OLDER_REWRITE_S)

  async def _inject_history(self, fault: soak_plan.Fault) -> None:
    del fault
    self._cluster.base.store.forget_history()

  async def _inject_config(self, fault: soak_plan.Fault) -> None:
    for _ in range(6 if fault.variant == 'series' else 1):
      self._cluster.change_config()
      await asyncio.sleep(fault.duration_s / 6)
