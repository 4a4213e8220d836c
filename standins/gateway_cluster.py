"""A cluster on loopback for gateways: the store and replicas of services."""

import asyncio
import fcntl
import os
import pathlib
import socket
import tempfile
from collections.abc import Iterator
from typing import IO
from typing import NamedTuple

from mulberrypick.adapters import stream_client
from mulberrypick.core import gateway_records
from standins import fleet_replica
from standins import fleet_store

HOST = 'town.example'
# Ports below the range that the kernel uses for outgoing connections.
PORTS = range(10_000, 32_000)
# Ports that a process reserves at a time. Others, such as tests that run beside
# it, get none of them until it ends.
PORTS_PER_BLOCK = 100
_BLOCKS = len(PORTS) // PORTS_PER_BLOCK
_LOCKS_FOLDER = pathlib.Path(tempfile.gettempdir()) / 'mulberrypick-ports'
# Time after a crash at which the entry of a replica expires.
ENTRY_EXPIRY_S = 0.4
# Time after a crash at which a replica restarts.
RESTART_S = 0.8


# Locked files of the blocks that this process has reserved, by block.
_lock_by_block: dict[int, IO[bytes]] = {}


def _is_own_or_free(block: int) -> bool:
  """Returns whether this process has a block of ports, reserved now if free."""
  if block in _lock_by_block:
    return True
  _LOCKS_FOLDER.mkdir(exist_ok=True)
  lock = (_LOCKS_FOLDER / str(block)).open('wb')
  try:
    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
  except BlockingIOError:
    lock.close()
    return False
  _lock_by_block[block] = lock
  return True


def _iterate_ports() -> Iterator[int]:
  """Returns the ports of one block after the other, each of them once.

  After all blocks that are free, those of this process come again.

  Raises:
    RuntimeError: Other processes have reserved all blocks.
  """
  first = os.getpid()
  while True:
    is_any = False
    for offset in range(_BLOCKS):
      block = (first + offset) % _BLOCKS
      if not _is_own_or_free(block):
        continue
      is_any = True
      begin = block * PORTS_PER_BLOCK
      yield from PORTS[begin : begin + PORTS_PER_BLOCK]
    if not is_any:
      raise RuntimeError('all ports are reserved by other processes')


_ports = _iterate_ports()


class Answer(NamedTuple):
  """The response that a caller received.

  Attributes:
    status: HTTP status; 0 if the connection closed without one.
    headers: Headers, with names in lower case.
    body: The part of the body that arrived.
    is_whole: Whether the body arrived completely.
  """

  status: int
  headers: dict[str, str]
  body: bytes
  is_whole: bool


def free_ports(count: int) -> list[int]:
  """Returns loopback ports that are currently free.

  The kernel does not assign them to outgoing connections, which other processes
  may open before a port is used. They are reserved for this process.
  """
  ports = []
  while len(ports) < count:
    port = next(_ports)
    with socket.socket() as sock:
      try:
        sock.bind(('127.0.0.1', port))
      except OSError:
        # Another process uses it.
        continue
    ports.append(port)
  return ports


def make_config(version: int, **changes) -> dict[str, object]:
  """Returns a configuration with plain and streaming routes.

  Args:
    version: Version of the configuration.
    **changes: Top-level fields to replace or add.
  """
  routes = []
  for name, service, kind in (
      ('safe', 'desk', 'safe'),
      ('unsafe', 'desk', 'unsafe'),
      ('ask', 'engine', 'streaming'),
      ('read', 'engine', 'streaming'),
  ):
    routes.append(
        {
            'name': name,
            'hostname': HOST,
            'pathPrefix': f'/{name}/',
            'routeType': kind,
            'timeoutMs': 1500,
            'targetLatencyMs': 200,
            'priority': 0 if name == 'ask' else 2,
            'service': service,
            'maxAttempts': 1 if name in ('unsafe', 'read') else 2,
            'sessionAffinity': kind == 'streaming',
            'resumable': name == 'ask',
        }
    )
  config = {
      'version': version,
      'routes': routes,
      'services': [
          {'name': 'desk', 'healthPath': '/healthz', 'maxConnections': 90},
          {
              'name': 'engine',
              'healthPath': '/healthz',
              'maxConnections': 90,
              'engine': {'slots': 64, 'kvCapacity': 1000000},
          },
      ],
      'limits': {
          'maxHeaderBytes': 4096,
          'maxBodyBytes': 65536,
          'headerTimeoutMs': 500,
          'idleTimeoutMs': 2000,
      },
  }
  return config | changes


class GatewayCluster:
  """The store and replicas of services.

  Attributes:
    store: The store.
    replica_by_name: All replicas that were started, the last one of each name.
    crashed_at: Times of crashes caused by requests, on the event loop's clock.
  """

  def __init__(self):
    self.store = fleet_store.FleetStore()
    self.crashed_at: list[float] = []
    self._restarts: list[asyncio.Task] = []
    self._crashed: list[fleet_replica.FleetReplica] = []
    self.replica_by_name: dict[str, fleet_replica.FleetReplica] = {}

  async def start(self) -> None:
    """Starts the store with a configuration, and replicas of each kind."""
    await self.store.start(free_ports(1)[0])
    self.store.put('config', 'main', make_config(1))
    for name, service, stage in (
        ('desk-1', 'desk', ''),
        ('desk-2', 'desk', ''),
        ('reader', 'engine', 'prefill'),
        ('writer-1', 'engine', 'decode'),
        ('writer-2', 'engine', 'decode'),
    ):
      await self.add(name, service, stage)

  async def add(
      self,
      name: str,
      service: str,
      stage: str = '',
      software: str = fleet_replica.DEFAULT_SOFTWARE,
  ) -> fleet_replica.FleetReplica:
    """Starts a replica and lists it in the store."""
    replica = fleet_replica.FleetReplica(name, service, stage)
    replica.software = software
    replica.on_crash = self._handle_crash
    replica.on_stage = self._list_again
    previous = self.replica_by_name.get(name)
    if previous is not None:
      replica.born = previous.born + 1
      replica.behaviour = previous.behaviour
    await replica.start(free_ports(1)[0])
    self.replica_by_name[name] = replica
    self.store.put('servers', name, replica.entry())
    return replica

  def _list_again(self, replica: fleet_replica.FleetReplica) -> None:
    self.store.put('servers', replica.name, replica.entry())

  def crashing_arrivals(self) -> list[tuple[float, str]]:
    """Returns when crashing requests arrived, and their ids, in order."""
    arrivals = []
    for replica in (*self._crashed, *self.replica_by_name.values()):
      arrivals += replica.crashing_arrivals
    return sorted(set(arrivals))

  def _handle_crash(self, replica: fleet_replica.FleetReplica) -> None:
    """Lets the entry of a crashed replica expire, and restarts the replica."""
    loop = asyncio.get_running_loop()
    self.crashed_at.append(loop.time())
    self._crashed.append(replica)
    self._restarts.append(loop.create_task(self._restart(replica)))

  async def _restart(self, replica: fleet_replica.FleetReplica) -> None:
    await asyncio.sleep(ENTRY_EXPIRY_S)
    self.store.remove('servers', replica.name)
    await asyncio.sleep(RESTART_S - ENTRY_EXPIRY_S)
    await self.add(
        replica.name, replica.service, replica.stage, replica.software
    )

  def stop(self) -> None:
    """Stops all replicas and the store."""
    for restart in self._restarts:
      restart.cancel()
    for replica in (*self._crashed, *self.replica_by_name.values()):
      replica.stop()
    self.store.stop()

  def update_behaviour(self, service: str, **changes) -> None:
    """Changes the behaviour of all replicas of a service."""
    for replica in self.replica_by_name.values():
      if replica.service == service:
        replica.behaviour = replica.behaviour._replace(**changes)

  def runs(self, request: str) -> int:
    """Returns the number of executions of a request, over all replicas."""
    return sum(r.runs[request] for r in self.replica_by_name.values())

  def make_host(self, name: str = 'host-1') -> gateway_records.GatewayHost:
    """Returns a gateway host with free ports, as settings would define it."""
    listen, ready, peer, forward = free_ports(4)
    return gateway_records.GatewayHost(
        name=name,
        zone='zone-a',
        ip='127.0.0.1',
        listen_port=listen,
        ready_ip='127.0.0.1',
        ready_port=ready,
        peer_port=peer,
        seeds=(),
        store_ip='127.0.0.1',
        store_port=self.store.port,
        is_first_start=True,
        bounds=gateway_records.PlatformLimits(8.0, 0.2, 50.0, 10.0),
        forward_port=forward,
    )


async def call(
    port: int,
    path: str,
    request: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    method: str = 'POST',
    disconnect_after_s: float | None = None,
    disconnect_after_events: int | None = None,
    caller_ip: str = '127.0.0.1',
) -> Answer:
  """Sends one request on a new connection; returns the response."""
  connection = await stream_client.connect(
      '127.0.0.1', port, 2.0, (caller_ip, 0)
  )
  exchange = stream_client.Exchange()
  lines = [
      (b'Host', HOST.encode()),
      (b'X-Mulberrypick-Request-Id', request.encode()),
  ]
  for name, value in (headers or {}).items():
    lines.append((name.encode(), value.encode()))
  connection.send(
      stream_client.encode_request(method.encode(), path.encode(), lines, body),
      exchange,
  )
  try:
    return await _collect(exchange, disconnect_after_s, disconnect_after_events)
  finally:
    connection.abort()


async def _collect(
    exchange: stream_client.Exchange,
    disconnect_after_s: float | None,
    disconnect_after_events: int | None,
) -> Answer:
  body = b''
  status, headers = 0, {}
  is_whole = False
  try:
    async with asyncio.timeout(disconnect_after_s):
      head = await exchange.read_head()
      status = head.status
      headers = {k.decode().lower(): v.decode() for k, v in head.headers}
      while data := await exchange.read_some():
        body += data
        if disconnect_after_events and (
            body.count(b'\n\n') >= disconnect_after_events
        ):
          return Answer(status, headers, body, False)
      is_whole = True
  except (TimeoutError, stream_client.errors.ExchangeBrokenError):
    # The answer is the part that arrived before the connection broke.
    pass
  return Answer(status, headers, body, is_whole)
