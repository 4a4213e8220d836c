"""A local cluster: platform, engines, services, entries and controllers.

The demo, the benches and the process tests all start their processes with this
module, which builds on the launcher. Each entry that is started is added to the
platform's list of hosts, as the platform itself would do.
"""

import pathlib
from typing import NamedTuple

import urllib3

from mulberrypick.adapters import http_platform
from mulberrypick.core import records
from mulberrypick.ops import config_apply
from standins import launcher

ENTRY_MODULE = 'mulberrypick.scripts.entry'
CONTROLLER_MODULE = 'mulberrypick.scripts.controller'
READY_PATH = '/readyz'
PLATFORM_TIMEOUT_S = 5.0
OPERATOR = 'demo-operator'


class EntryHost(NamedTuple):
  """One entry host of the cluster.

  Attributes:
    name: Name of the host.
    zone: Number of its zone.
    program: The entry process.
    operator_address: `ip:port` that serves its status to operators.
    peer_address: `ip:port` at which other entries reach it.
  """

  name: str
  zone: int
  program: launcher.Program
  operator_address: str
  peer_address: str


class LocalCluster:
  """Starts the processes of a local cluster; its `fleet` stops them all."""

  def __init__(self, log_folder: pathlib.Path, platform_flags: tuple[str, ...]):
    """Starts the platform.

    Args:
      log_folder: Folder for one log file per process.
      platform_flags: Command-line flags of the platform stand-in.
    """
    self.fleet = launcher.Fleet(log_folder)
    self.entry_by_name: dict[str, EntryHost] = {}
    self.controller_addresses: list[str] = []
    self._http = urllib3.PoolManager(retries=False)
    program = self.fleet.start_platform(*platform_flags)
    self.platform_url = program.url
    self.platform = http_platform.HttpPlatform(
        program.url, '', PLATFORM_TIMEOUT_S, OPERATOR
    )

  def __enter__(self) -> 'LocalCluster':
    return self

  def __exit__(self, *error: object) -> None:
    self.fleet.stop()

  def apply(self, text: bytes, planned_on: int = 0) -> int:
    """Applies a declared configuration; returns its generation."""
    applied = config_apply.apply_config(
        self.platform, text, planned_on, OPERATOR
    )
    return applied.generation

  def spawn_entry(self, name: str, zone: int, *flags: str) -> EntryHost:
    """Starts an entry without waiting until it is ready."""
    ip = launcher.zone_ip(zone)
    address = launcher.free_address(ip)
    operator_address = launcher.free_address(ip)
    peer_address = launcher.free_address(ip)
    own_flags = (
        *self._common_flags(name, zone),
        '--listen',
        address,
        '--operator-listen',
        operator_address,
        '--peer-listen',
        peer_address,
    )
    program = self.fleet.spawn(
        name, ENTRY_MODULE, own_flags + flags, address=address
    )
    host = launcher.make_host(name, zone, records.HOST_ENTRY, address)
    self.fleet.put_host(host._replace(peer_address=peer_address))
    entry = EntryHost(name, zone, program, operator_address, peer_address)
    self.entry_by_name[name] = entry
    return entry

  def wait_entries(self) -> None:
    """Waits until all entries are ready."""
    for entry in self.entry_by_name.values():
      self.fleet.wait_ready(entry.program, READY_PATH)

  def start_controller(self, name: str, zone: int, *flags: str) -> None:
    """Starts a controller and waits until its health check succeeds."""
    address = launcher.free_address(launcher.zone_ip(zone))
    own_flags = (*self._common_flags(name, zone), '--listen', address)
    self.controller_addresses.append(address)
    self.fleet.start_program(
        name,
        CONTROLLER_MODULE,
        own_flags + flags,
        address=address,
        ready_path='/healthz',
    )

  def stop_entry(self, name: str) -> int:
    """Shuts down an entry gracefully; returns its exit status."""
    self.fleet.delete_host(name)
    del self.entry_by_name[name]
    return self.fleet.terminate(name)

  def read_status(self, entry: EntryHost) -> dict:
    """Returns the status that an entry reports to operators."""
    response = self._http.request(
        'GET', f'http://{entry.operator_address}/status'
    )
    return response.json()

  def list_urls(self) -> list[str]:
    """Returns the base URLs of all entries."""
    return [entry.program.url for entry in self.entry_by_name.values()]

  def _common_flags(self, name: str, zone: int) -> tuple[str, ...]:
    return (
        '--name',
        name,
        '--zone',
        launcher.zone_name(zone),
        '--source-ip',
        launcher.zone_ip(zone),
        '--platform-url',
        self.platform_url,
    )
