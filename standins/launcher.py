"""Starts and stops the processes of demo, benches and process tests.

Every process gets a port of its own from the operating system and an address
in its zone, `127.0.ZONE.1`, from which product processes also connect, so that
a stand-in can cut a zone off by the source address. Only what was started here
is ended, by its id. Product processes never use this module.
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


# Other launchers on this machine go through the ports in another order.
_port_order = iter(
    random.SystemRandom().sample(LISTEN_PORTS, k=len(LISTEN_PORTS))
)


class LaunchError(Exception):
  """A process ended or did not get ready in time."""


class Program(NamedTuple):
  """One process that was started.

  Attributes:
    name: Unique name in the fleet.
    address: `ip:port` that it listens on.
    process: The process.
    log_path: Where its standard error goes.
  """

  name: str
  address: str
  process: subprocess.Popen
  log_path: pathlib.Path

  @property
  def url(self) -> str:
    """The base URL."""
    return f'http://{self.address}'

  def log(self) -> str:
    """Returns what it logged."""
    return self.log_path.read_text(errors='replace')


class Fleet:
  """Processes that end with it; use it in a `with` statement.

  Attributes:
    program_by_name: All processes that were started and not ended.
    platform: The platform stand-in, None before it was started.
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
    """Starts an engine stand-in and puts it on the platform's list.

    Args:
      name: Unique name; a name that ran before gets a higher incarnation.
      zone: Number of its zone.
      *flags: Further flags of the stand-in.
      checks_fence: Whether it refuses old fencing numbers.
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
    """Starts a plain service stand-in and puts it on the list.

    Args:
      name: Unique name; a name that ran before gets a higher incarnation.
      zone: Number of its zone.
      service: Name of the service that it serves.
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
    """Starts any module of this repository.

    Args:
      name: Unique name; its log is `NAME.log`.
      module: Module to run with `python -m`.
      flags: Its command line.
      environment: Variables to add to the environment.
      address: `ip:port` that it will listen on, if it does.
      ready_path: Path that answers 200 once it is ready, empty to wait for a
        line with `event=ready` in its log.

    Returns:
      The process, ready.

    Raises:
      LaunchError: It ended or did not get ready in time.
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
    """Starts a module without waiting for it; see `start_program`."""
    if name in self.program_by_name:
      raise LaunchError(f'{name} runs already')
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
    """Waits until a process is ready; see `start_program`."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
      status = program.process.poll()
      if status is not None:
        raise LaunchError(_describe_failure(program, f'ended with {status}'))
      if self._is_ready(program, ready_path):
        return
      time.sleep(POLL_INTERVAL_S)
    raise LaunchError(_describe_failure(program, 'did not get ready'))

  def call(
      self,
      program: Program,
      method: str,
      path: str,
      body: object | None = None,
  ) -> dict:
    """Calls a process and returns its JSON answer."""
    response = self._http.request(
        method,
        program.url + path,
        body=None if body is None else msgspec.json.encode(body),
        timeout=CALL_TIMEOUT_S,
    )
    if response.status >= HTTPStatus.BAD_REQUEST:
      raise LaunchError(f'{program.name}{path}: {response.status}')
    return msgspec.json.decode(response.data, type=dict)

  def put_fault(self, program: Program, **faults: object) -> None:
    """Sets faults of a stand-in, named as in WIRE.md."""
    self.call(program, 'POST', '/faults', faults)

  def put_host(self, host: records.Host) -> None:
    """Puts a host on the platform's list, if there is a platform."""
    if self.platform is None:
      return
    self.call(self.platform, 'PUT', f'/hosts/{host.name}', host._asdict())

  def delete_host(self, name: str) -> None:
    """Takes a host off the platform's list."""
    self.call(self.platform, 'DELETE', f'/hosts/{name}')

  def kill(self, name: str) -> None:
    """Ends a process at once, as a crash does."""
    self._signal_and_wait(name, signal.SIGKILL)

  def terminate(self, name: str) -> int:
    """Asks a process to stop and waits; returns its exit status."""
    return self._signal_and_wait(name, signal.SIGTERM)

  def signal(self, name: str, number: int) -> None:
    """Sends a process a signal."""
    self.program_by_name[name].process.send_signal(number)

  def pause(self, name: str) -> None:
    """Stops a process where it stands."""
    self.signal(name, signal.SIGSTOP)

  def resume(self, name: str) -> None:
    """Lets a paused process go on."""
    self.signal(name, signal.SIGCONT)

  def wait(self, name: str) -> int:
    """Waits for a process to end by itself; returns its exit status."""
    program = self.program_by_name[name]
    status = program.process.wait(STOP_TIMEOUT_S)
    del self.program_by_name[name]
    return status

  def stop(self) -> None:
    """Ends everything that was started here."""
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
  """Makes a line of the list of hosts, live and in its first incarnation."""
  return records.Host(
      name, zone_name(zone), kind, address, '', '', 1, records.STATE_LIVE, False
  )


def zone_ip(zone: int) -> str:
  """Returns the address of a zone; zone 0 is the platform's."""
  return f'127.0.{zone}.1'


def zone_prefix(zone: int) -> str:
  """Returns the prefix that cuts a zone off in a `cut` fault."""
  return f'127.0.{zone}.'


def zone_name(zone: int) -> str:
  """Returns the name of a zone."""
  return f'zone-{zone}'


def free_address(ip: str) -> str:
  """Returns `ip:port` with a port that was free just now.

  The port lies below those that the system gives to outgoing connections: one
  of theirs might take it before the process that it is meant for. No port is
  given out twice, since the first process may not have bound it yet.
  """
  for port in _port_order:
    with socket.socket() as probe:
      try:
        probe.bind((ip, port))
      except OSError:
        continue
      return f'{ip}:{port}'
  raise LaunchError('all ports have been given out')


def _describe_failure(program: Program, what: str) -> str:
  tail = program.log()[-LOG_TAIL_BYTES:]
  return f'{program.name} {what}; the end of its log:\n{tail}'
