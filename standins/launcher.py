"""Starts and stops the processes of the demo, benches and process tests.

Every process listens on a free port of the loopback address of its zone,
`127.0.ZONE.1`. Product processes also connect from that address, so that a
stand-in can cut off a zone by source address. Only processes that were started
here are stopped, by process id. Product processes never use this module.
"""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import urllib3

from mulberrypick.core import records

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
PROBE_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 10.0
READY_LINE = 'event=ready'
LOG_TAIL_BYTES = 2000
LISTEN_PORTS = range(10_000, 32_000)


# Random, so that launchers running in parallel rarely try the same port.
_port_order = iter(
    random.SystemRandom().sample(LISTEN_PORTS, k=len(LISTEN_PORTS))
)


class LaunchError(Exception):
  """A process exited early, did not become ready or refused a call."""


class Program(NamedTuple):
  """A process that was started.

  Attributes:
    name: Unique name in the fleet.
    address: `ip:port` that it listens on, empty if it does not listen.
    process: The process.
    log_path: File that receives its standard output and standard error.
  """

  name: str
  address: str
  process: subprocess.Popen
  log_path: pathlib.Path

  @property
  def url(self) -> str:
    """The base URL of the process."""
    return f'http://{self.address}'

  def log(self) -> str:
    """Returns its log so far."""
    return self.log_path.read_text(errors='replace')


class Fleet:
  """A set of processes that the end of a `with` statement kills.

  Attributes:
    program_by_name: All processes that were started and not stopped since.
    platform: The platform stand-in, None before it is started.
  """

  def __init__(self, log_folder: pathlib.Path):
    self.program_by_name: dict[str, Program] = {}
    self.platform: Program | None = None
    self._log_folder = log_folder
    self._incarnation_by_name: dict[str, int] = {}
    self._http = urllib3.PoolManager(retries=False)
    log_folder.mkdir(parents=True, exist_ok=True)

  def __enter__(self) -> 'Fleet':
    return self

  def __exit__(self, *error) -> None:
    self.stop()

  def start_platform(self, *flags: str, zone: int = 0) -> Program:
    """Starts the platform stand-in."""
    address = free_address(zone_ip(zone))
    self.platform = self._start_standin('platform', 'platform', address, flags)
    return self.platform

  def start_engine(
      self,
      name: str,
      zone: int,
      *flags: str,
      checks_fence: bool = True,
      address: str = '',
  ) -> Program:
    """Starts an engine stand-in and adds it to the platform's list of hosts.

    Args:
      name: Unique name; each start under a name raises its incarnation.
      zone: Number of its zone.
      *flags: Further flags of the stand-in.
      checks_fence: Whether it refuses orders with an outdated fencing token.
      address: `ip:port` to listen on, empty for a free one in its zone.
    """
    checks = '--checks-fence' if checks_fence else '--no-checks-fence'
    incarnation = self._next_incarnation(name)
    own_flags = (
        '--name',
        name,
        '--zone',
        zone_name(zone),
        '--incarnation',
        str(incarnation),
        checks,
    )
    address = address or free_address(zone_ip(zone))
    program = self._start_standin(name, 'engine', address, own_flags + flags)
    host = make_host(name, zone, records.HOST_ENGINE, program.address)
    self.put_host(
        host._replace(incarnation=incarnation, checks_fence=checks_fence)
    )
    return program

  def start_service(
      self,
      name: str,
      zone: int,
      service: str,
      *flags: str,
      address: str = '',
  ) -> Program:
    """Starts a plain service stand-in and adds it to the list of hosts.

    Args:
      name: Unique name; each start under a name raises its incarnation.
      zone: Number of its zone.
      service: Name of the service that it provides.
      *flags: Further flags of the stand-in.
      address: `ip:port` to listen on, empty for a free one in its zone.
    """
    own_flags = ('--name', name)
    address = address or free_address(zone_ip(zone))
    program = self._start_standin(name, 'service', address, own_flags + flags)
    host = make_host(name, zone, records.HOST_SERVICE, program.address)
    incarnation = self._next_incarnation(name)
    self.put_host(host._replace(service=service, incarnation=incarnation))
    return program

  def start_program(
      self,
      name: str,
      module: str,
      flags: tuple[str, ...] = (),
      environment: Mapping[str, str] | None = None,
      address: str = '',
      ready_path: str = '',
  ) -> Program:
    """Runs a module of this repository and waits until it is ready.

    Args:
      name: Unique name; its log file is `NAME.log`.
      module: Module to run with `python -m`.
      flags: Command-line flags.
      environment: Environment variables to add.
      address: `ip:port` that it will listen on, empty for none.
      ready_path: Path that answers 200 once it is ready; if empty, the launcher
        waits for `event=ready` in its log.

    Returns:
      The process, which is ready.

    Raises:
      LaunchError: It exited or did not become ready in time.
    """
    program = self.spawn(name, module, flags, environment, address)
    self.wait_ready(program, ready_path)
    return program

  def spawn(
      self,
      name: str,
      module: str,
      flags: tuple[str, ...] = (),
      environment: Mapping[str, str] | None = None,
      address: str = '',
  ) -> Program:
    """Runs a module without waiting until it is ready; see `start_program`."""
    if name in self.program_by_name:
      raise LaunchError(f'a process named {name} is already running')
    log_path = self._log_folder / f'{name}.log'
    with log_path.open('wb') as log_file:
      process = subprocess.Popen(
          [sys.executable, '-m', module, *flags],
          stdin=subprocess.DEVNULL,
          stdout=log_file,
          stderr=log_file,
          env={**os.environ, **(environment or {})},
      )
    program = Program(name, address, process, log_path)
    self.program_by_name[name] = program
    return program

  def wait_ready(self, program: Program, ready_path: str = '') -> None:
    """Waits until a process is ready; see `start_program`.

    Raises:
      LaunchError: It exited or did not become ready in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
      status = program.process.poll()
      if status is not None:
        raise LaunchError(
            _describe_failure(program, f'exited with status {status}')
        )
      if self._is_ready(program, ready_path):
        return
      time.sleep(POLL_INTERVAL_S)
    raise LaunchError(
        _describe_failure(program, 'did not become ready in time')
    )

  def call(
      self,
      program: Program,
      method: str,
      path: str,
      body: object | None = None,
  ) -> dict:
    """Sends a request to a process and returns its JSON response.

    Raises:
      LaunchError: It answered with an error status.
    """
    response = self._http.request(
        method,
        program.url + path,
        body=None if body is None else msgspec.json.encode(body),
        timeout=CALL_TIMEOUT_S,
    )
    if response.status >= HTTPStatus.BAD_REQUEST:
      raise LaunchError(
          f'{program.name}: {method} {path} answered {response.status}'
      )
    return msgspec.json.decode(response.data, type=dict)

  def put_fault(self, program: Program, **faults: object) -> None:
    """Injects faults into a stand-in; WIRE.md lists their names."""
    self.call(program, 'POST', '/faults', faults)

  def put_host(self, host: records.Host) -> None:
    """Adds or replaces a host on the platform's list.

    Does nothing if no platform was started.
    """
    if self.platform is None:
      return
    self.call(self.platform, 'PUT', f'/hosts/{host.name}', host._asdict())

  def delete_host(self, name: str) -> None:
    """Removes a host from the platform's list."""
    self.call(self.platform, 'DELETE', f'/hosts/{name}')

  def kill(self, name: str) -> None:
    """Kills a process with SIGKILL and waits for its end, as in a crash."""
    self._signal_and_wait(name, signal.SIGKILL)

  def terminate(self, name: str) -> int:
    """Sends SIGTERM and waits for the exit; returns the exit status."""
    return self._signal_and_wait(name, signal.SIGTERM)

  def signal(self, name: str, number: int) -> None:
    """Sends a signal to a process."""
    self.program_by_name[name].process.send_signal(number)

  def pause(self, name: str) -> None:
    """Suspends a process with SIGSTOP."""
    self.signal(name, signal.SIGSTOP)

  def resume(self, name: str) -> None:
    """Continues a paused process with SIGCONT."""
    self.signal(name, signal.SIGCONT)

  def wait(self, name: str) -> int:
    """Waits until a process exits; returns its exit status."""
    program = self.program_by_name[name]
    status = program.process.wait(STOP_TIMEOUT_S)
    del self.program_by_name[name]
    return status

  def stop(self) -> None:
    """Kills all processes that were started here and waits for their end."""
    programs = list(self.program_by_name.values())
    self.program_by_name.clear()
    self.platform = None
    for program in programs:
      program.process.kill()
    for program in programs:
      program.process.wait(STOP_TIMEOUT_S)

  def _start_standin(
      self, name: str, kind: str, address: str, flags: tuple[str, ...]
  ) -> Program:
    listen = ('--listen', address)
    return self.start_program(
        name, f'standins.{kind}', listen + flags, address=address
    )

  def _next_incarnation(self, name: str) -> int:
    incarnation = self._incarnation_by_name.get(name, 0) + 1
    self._incarnation_by_name[name] = incarnation
    return incarnation

  def _is_ready(self, program: Program, ready_path: str) -> bool:
    if not ready_path:
      return READY_LINE in program.log()
    try:
      response = self._http.request(
          'GET', program.url + ready_path, timeout=PROBE_TIMEOUT_S
      )
    except urllib3.exceptions.HTTPError:
      return False
    return response.status == HTTPStatus.OK

  def _signal_and_wait(self, name: str, number: int) -> int:
    self.signal(name, number)
    return self.wait(name)


def make_host(name: str, zone: int, kind: str, address: str) -> records.Host:
  """Returns a live host in its first incarnation, for the list of hosts."""
  return records.Host(
      name, zone_name(zone), kind, address, '', '', 1, records.STATE_LIVE, False
  )


def zone_ip(zone: int) -> str:
  """Returns the loopback IP of a zone; zone 0 belongs to the platform."""
  return f'127.0.{zone}.1'


def zone_prefix(zone: int) -> str:
  """Returns the source-address prefix that cuts off a zone in a `cut` fault."""
  return f'127.0.{zone}.'


def zone_name(zone: int) -> str:
  """Returns the name of a zone."""
  return f'zone-{zone}'


def free_address(ip: str) -> str:
  """Returns `ip:port` with a port that is currently free.

  The port lies below the ephemeral range, since an outgoing connection could
  otherwise take it before the intended process binds it. No port is returned
  twice, since the first process may not have bound it yet.

  Raises:
    LaunchError: No port is left.
  """
  for port in _port_order:
    with socket.socket() as probe:
      try:
        probe.bind((ip, port))
      except OSError:
        continue
      return f'{ip}:{port}'
  raise LaunchError(f'no free port is left on {ip}')


def _describe_failure(program: Program, what: str) -> str:
  tail = program.log()[-LOG_TAIL_BYTES:]
  return f'{program.name} {what}; end of its log:\n{tail}'
