"""A gateway process, started as the deploy file says, and its settings."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import time
import tomllib

from review.shared import wire

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
# Bounds of the small installations, from the sheet in SYSTEM.md.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 58,
    'recoverS': 12,
    'transitMs': 120,
    'reuseWindowS': 3,
    'fencingEnforced': False,
    'leaseMs': 3000,
    'thawMs': 300,
}


def free_ports(ip: str, count: int) -> list[int]:
  """Returns ports that are free on a loopback address."""
  sockets = [socket.socket() for _ in range(count)]
  try:
    for sock in sockets:
      sock.bind((ip, 0))
    return [sock.getsockname()[1] for sock in sockets]
  finally:
    for sock in sockets:
      sock.close()


class Gateway:
  """One entry host of a small deployment.

  Attributes:
    name: Name of the host.
    ip: Its address.
    front_port: Port for requesters.
    pid: Id of the process.
  """

  def __init__(self, name: str, zone: str, ip: str, folder: pathlib.Path):
    self.name = name
    self.ip = ip
    self._zone = zone
    self._folder = folder / name
    self._folder.mkdir()
    ports = free_ports(ip, 5)
    self.front_port, self._ready_port, self._control_port = ports[:3]
    self._inner_ports = sorted(ports[3:])
    self._program: asyncio.subprocess.Process | None = None
    self._is_first_start = True

  @property
  def control_address(self) -> str:
    """Address that the settings of the others name as a seed."""
    return f'{self.ip}:{self._control_port}'

  @property
  def pid(self) -> int:
    """Id of the process."""
    return self._program.pid

  @property
  def has_ended(self) -> bool:
    """Whether the process has ended."""
    return self._program.returncode is not None

  async def start(self, store: str, seeds: list[str]) -> None:
    """Starts the process with the command of the deploy file."""
    settings = {
        'nodeName': self.name,
        'role': 'gateway',
        'machineClass': 'edge',
        'serves': ['edge', 'control'],
        'ip': self.ip,
        'zone': self._zone,
        'region': 'kyushu',
        'zones': {'fukuoka': 'kyushu', 'oita': 'kyushu'},
        'listen': {
            'frontend': f'{self.ip}:{self.front_port}',
            'ready': f'{self.ip}:{self._ready_port}',
            'controlPlane': self.control_address,
        },
        'internalPorts': self._inner_ports,
        'seeds': seeds,
        'bootstrap': self._is_first_start,
        'lossCounts': False,
        'limits': {'cores': 2, 'memoryMb': 300, 'maxFds': 4100},
        'dataDir': None,
        'discovery': 'platform',
        'ingress': 'vip',
        'heartbeatMs': 1200,
        'bounds': BOUNDS,
        'platform': {
            'address': store,
            'form': 'objects',
            'writesPerS': 400,
            'readsPerS': 2000,
            'historyS': 20,
            'valueBytes': 1048576,
            'ttlMinMs': 1000,
        },
    }
    self._is_first_start = False
    path = self._folder / 'settings.yaml'
    # JSON is YAML.
    path.write_text(json.dumps(settings, indent=1))
    deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
    environment = {
        'MULBERRYPICK_NODE_FILE': str(path),
        'PYTHONPATH': str(REPOSITORY / 'target/deps'),
        'PYTHONDONTWRITEBYTECODE': '1',
    }
    for name in ('PATH', 'HOME', 'LANG'):
      if name in os.environ:
        environment[name] = os.environ[name]
    with (self._folder / 'log.txt').open('ab') as log:
      self._program = await asyncio.create_subprocess_exec(
          *deploy['roles']['gateway']['run'].split(),
          cwd=REPOSITORY,
          env=environment,
          stdout=log,
          stderr=log,
      )
    async with asyncio.timeout(READY_TIMEOUT_S):
      while not await self.is_ready():
        if self.has_ended:
          raise RuntimeError(f'{self.name} has ended')
        await asyncio.sleep(0.05)

  async def is_ready(self) -> bool:
    """Asks whether it is ready, as the platform does."""
    try:
      async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(
            self.ip, self._ready_port
        )
        try:
          writer.write(
              wire.encode_request(
                  'GET', '/mulberrypick/readyz', [('Host', self.ip)], b''
              )
          )
          head = await wire.read_head(reader)
        finally:
          writer.close()
    except (OSError, TimeoutError, wire.NoMessageError):
      return False
    return head.start[1] == '200'

  def send_signal(self, number: signal.Signals) -> float:
    """Sends a signal to the process; returns when."""
    if not self.has_ended:
      self._program.send_signal(number)
    return time.monotonic()

  async def wait(self) -> int:
    """Waits for the end of the process; returns its status."""
    return await self._program.wait()

  async def close(self) -> None:
    """Ends the process if it still runs."""
    if self._program is not None and not self.has_ended:
      self._program.kill()
      await self._program.wait()

  def log_text(self) -> str:
    """Returns what the process has written so far."""
    return (self._folder / 'log.txt').read_text(errors='replace')
