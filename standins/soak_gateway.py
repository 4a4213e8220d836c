"""A gateway process of a soak run."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from standins import bench_forwarding
from standins import gateway_cluster
from standins import relay
from standins import relayed_gateway
from standins import retry_check
from standins import soak_checks

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
GRACE_S = 8.0


async def wait_until_signals_are_handled(pid: int) -> None:
  """Waits until a gateway handles SIGTERM, and SIGHUP does not end it.

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
      caught = mask_by_field['SigCgt:']
      # It is ignored during the imports, and caught once the program runs.
      survived = mask_by_field['SigIgn:'] | caught
      if (
          survived >> (signal.SIGHUP - 1) & 1
          and caught >> (signal.SIGTERM - 1) & 1
      ):
        return
      await asyncio.sleep(0.002)


class SoakGateway:
  """A gateway process, its state and its observed failures.

  Attributes:
    host: The host as its settings describe it.
    store_link: The relay to the store.
    peer_link: The relay through which the other gateways reach it.
    is_ready: Whether it was ready at the last poll.
    grace_s: Time between SIGTERM and SIGKILL in its settings.
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
      bound: retry_check.Bound,
  ):
    self.store_link = relay.Relay(f'127.0.0.1:{cluster.store.port}')
    host = cluster.make_host(name)
    listen = f'127.0.0.1:{host.peer_port}'
    self.peer_link = relay.Relay(listen)
    peer_port = int(self.peer_link.address.rpartition(':')[2])
    self.host = host._replace(peer_port=peer_port)
    self.is_ready = False
    self.grace_s = GRACE_S
    self.unexpected_exits: list[str] = []
    self.outages: list[soak_checks.Outage] = []
    self._folder = folder / name
    self._folder.mkdir()
    (self._folder / relayed_gateway.LISTEN_FILE).write_text(listen)
    self._module = module
    self._started_at = started_at
    self._bound = bound
    self._program: asyncio.subprocess.Process | None = None
    self._is_ending = False
    # Serializes kills, stops and pauses of the process.
    self._lock = asyncio.Lock()

  def write(self, seeds: list[str], more_slack: float = 0.0) -> None:
    """Writes the settings file of the gateway.

    Args:
      seeds: Peer addresses of other gateways.
      more_slack: Added to the retries that are allowed.
    """
    port = int(self.store_link.address.rpartition(':')[2])
    bench_forwarding.write_settings(
        self.host,
        self._folder,
        port,
        seeds,
        self._bound.slack + more_slack,
        self._bound.ratio,
        self._bound.window_s,
        self.grace_s,
    )

  def set_apart(self, mode: str) -> None:
    """Cuts the gateway off from all endpoints, or heals the cut if empty."""
    path = self._folder / relayed_gateway.APART_FILE
    written = path.with_suffix('.new')
    written.write_text(mode)
    written.replace(path)

  async def start(self) -> None:
    """Starts the process and waits until it handles signals.

    None is sent before: a process can't handle it while it is being loaded.
    """
    self._is_ending = True
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
    await wait_until_signals_are_handled(self._program.pid)
    self._is_ending = False

  async def _start_again(self) -> None:
    """Starts the process; the whole system has started before."""
    path = self._folder / 'settings.yaml'
    text = path.read_text()
    path.write_text(text.replace('bootstrap: true', 'bootstrap: false'))
    await self.start()

  async def poll(self) -> None:
    """Polls whether the gateway is ready; records an unexpected exit."""
    self._record_exit()
    try:
      async with asyncio.timeout(1.0):
        answer = await gateway_cluster.call(
            self.host.ready_port, '/mulberrypick/readyz', '', method='GET'
        )
      self.is_ready = answer.status == 200
    except (gateway_cluster.stream_client.errors.ConnectError, TimeoutError):
      # A load balancer treats a gateway that does not answer as not ready.
      self.is_ready = False

  def _record_exit(self) -> None:
    """Records if the process has ended by itself."""
    status = self._program.returncode
    if status is not None and not self._is_ending:
      self.unexpected_exits.append(
          f'{self.host.name} exited with status {status}'
      )
      self._is_ending = True

  def _send_signal(self, number: signal.Signals) -> None:
    self._record_exit()
    if self._program.returncode is None:
      self._program.send_signal(number)

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
      self._send_signal(signal.SIGKILL)
      self._is_ending = True
      await self._program.wait()
      await asyncio.sleep(duration_s)
      await self._start_again()
    self.outages.append(
        soak_checks.Outage(self.host.name, began_at, self._now() + 1.0)
    )

  async def stop(self, duration_s: float) -> None:
    """Stops the gateway with SIGTERM, and restarts it after `duration_s`."""
    async with self._lock:
      self._send_signal(signal.SIGTERM)
      self._is_ending = True
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

  def terminate(self) -> None:
    """Sends SIGTERM, also to a gateway that stops already."""
    self._send_signal(signal.SIGTERM)
    self._is_ending = True

  async def wait_for_exit(self, timeout_s: float) -> int:
    """Waits for the exit of the process; returns its status.

    Args:
      timeout_s: Time after which it is killed.
    """
    try:
      async with asyncio.timeout(timeout_s):
        return await self._program.wait()
    except TimeoutError:
      self._program.kill()
      return await self._program.wait()

  async def start_again(self) -> None:
    """Starts the process again after its exit."""
    async with self._lock:
      await self._start_again()

  async def pause(self, duration_s: float) -> None:
    """Suspends the gateway with SIGSTOP for `duration_s`."""
    async with self._lock:
      began_at = self._now()
      self._send_signal(signal.SIGSTOP)
      await asyncio.sleep(duration_s)
      self._send_signal(signal.SIGCONT)
    self.outages.append(
        soak_checks.Outage(self.host.name, began_at, self._now() + 0.5)
    )

  @property
  def pid(self) -> int:
    """Id of the process."""
    return self._program.pid

  def reload(self) -> None:
    """Sends SIGHUP, on which the gateway reloads its settings."""
    if not self._is_ending:
      self._program.send_signal(signal.SIGHUP)

  def hang_up(self) -> None:
    """Sends SIGHUP, also to a gateway that stops."""
    self._send_signal(signal.SIGHUP)

  async def close(self) -> None:
    """Kills the process if it is running, and closes its relay."""
    self._is_ending = True
    if self._program is not None and self._program.returncode is None:
      self._program.kill()
      await self._program.wait()
    self.store_link.close()
    self.peer_link.close()

  def _now(self) -> float:
    return time.monotonic() - self._started_at
