"""The program `mulberrypick-entry`: serves callers on an entry host.

This module is its composition root: it creates the components, connects them,
and stops them in order. A graceful stop first fails the readiness check, serves
until the load balancer has noticed, closes the listener, and exits once all
responses are complete.
"""

import logging
import signal
import threading
import time
from typing import Any
from typing import NamedTuple

from mulberrypick.adapters import http_engine
from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_server
from mulberrypick.adapters import http_service
from mulberrypick.adapters import logs
from mulberrypick.adapters import peer_counts
from mulberrypick.adapters import peer_keys
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import admission
from mulberrypick.core import dispatch
from mulberrypick.core import dispatcher_status
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing
from mulberrypick.ops import config_task
from mulberrypick.ops import dispatch_task
from mulberrypick.ops import edge
from mulberrypick.ops import entry_state
from mulberrypick.ops import fleet_task
from mulberrypick.ops import metrics_task
from mulberrypick.ops import operator_app
from mulberrypick.ops import plain_calls
from mulberrypick.scripts import entry_settings
from mulberrypick.scripts import settings_command

PROGRAM = 'mulberrypick-entry'
PLATFORM_TIMEOUT_S = 5.0
START_POLL_INTERVAL_S = 0.05
START_WARNING_INTERVAL_S = 10.0
OPERATOR_LIMITS = http_server.ServerLimits(threads=4, queue=8)

SETTINGS = entry_settings.SETTINGS

_logger = logging.getLogger(__name__)


class EntryStatus(NamedTuple):
  """Response of `GET /status` of an entry.

  Attributes:
    name: Name of the host.
    zone: Zone of the host.
    generation: Generation of the active configuration.
    is_ready: Whether the entry accepts new callers.
    is_draining: Whether the entry is about to stop.
    dispatcher: Endpoints, queues and refusals.
    metrics: Histograms and outcomes.
    hosts: The list of hosts that the entry uses.
    peers: Traffic between this and other entry hosts since the start.
  """

  name: str
  zone: str
  generation: int
  is_ready: bool
  is_draining: bool
  dispatcher: dispatcher_status.DispatcherStatus
  metrics: metrics_task.MetricsSnapshot
  hosts: tuple[records.Host, ...]
  peers: peer_counts.PeerCounts


class Entry:
  """All components of an entry."""

  def __init__(self, value_by_name: dict[str, Any]):
    """Creates and connects the components without starting them.

    Args:
      value_by_name: The checked settings.
    """
    self._settings = value_by_name
    self._name = value_by_name['name']
    self._zone = value_by_name['zone']
    self._state = entry_state.EntryState()
    self._stop_requested = threading.Event()
    self._make_adapters()
    self._make_tasks()
    self._make_servers()

  def _make_adapters(self) -> None:
    source_ip = self._settings['source_ip']
    self._platform = http_platform.HttpPlatform(
        self._settings['platform_url'],
        source_ip,
        PLATFORM_TIMEOUT_S,
        self._name,
    )
    self._engine = http_engine.HttpEngine(
        source_ip=source_ip, stall_timeout_s=self._settings['stall_s']
    )
    self._service = http_service.HttpPlainService(source_ip=source_ip)
    self._peers = zmq_peers.ZmqPeers(
        str(self._settings['peer_listen']),
        self._name,
        source_ip,
        keys=peer_keys.read_keys(self._settings),
    )
    self._metrics = metrics_task.MetricsTask(self._settings['statsd'])

  def _make_tasks(self) -> None:
    own_address = str(self._settings['peer_listen'])
    seeds = {str(address) for address in self._settings['seeds']}
    dispatcher = dispatch.Dispatcher(
        self._name,
        self._zone,
        routing.make_router(self._settings['router']),
        admission.make_admission(self._settings['admission']),
    )
    self._dispatch = dispatch_task.DispatchTask(dispatcher)
    self._fleet = fleet_task.FleetTask(
        self._name,
        self._zone,
        self._platform,
        self._engine,
        self._peers,
        self._publish,
        self._read_own_load,
        fleet_task.FleetIntervals(),
        tuple(sorted(seeds - {own_address})),
    )
    self._config = config_task.ConfigTask(
        self._platform,
        self._peers,
        own_address,
        self._fleet.list_peer_addresses,
        self._publish_config,
        self._fleet.list_zone_addresses,
    )
    self._calls = plain_calls.PlainCallRunner(
        self._platform,
        self._service,
        self._peers,
        self._name,
        own_address,
        list_peers=self._fleet.list_peer_addresses,
    )

  def _make_servers(self) -> None:
    self._edge = edge.Edge(
        self._name,
        self._state,
        self._dispatch,
        self._engine,
        self._calls,
        self._metrics.record_result,
        edge.EdgeLimits(body_bytes=self._settings['body_bytes']),
    )
    self._caller_server = http_server.HttpServer(
        tuple(self._settings['listen']),
        self._edge,
        http_server.ServerLimits(
            threads=self._settings['threads'],
            request_read_timeout_s=self._settings['send_s'],
        ),
        self._settings['drain_s'],
    )
    self._edge.disconnect_monitor = self._caller_server.disconnect_monitor
    application = operator_app.OperatorApp(
        self.read_status, self._explain, self._settings['operator_token']
    )
    self._operator_server = http_server.HttpServer(
        tuple(self._settings['operator_listen']),
        application,
        OPERATOR_LIMITS,
        1.0,
    )

  def _publish(self, message: messages.Message) -> None:
    if isinstance(message, messages.HostsSeen):
      self._state.update_hosts(message.hosts)
    self._dispatch.post(message)

  def _publish_config(self, config: records.Config) -> None:
    self._state.update_config(config)
    self._dispatch.post(messages.ConfigSeen(config))
    logs.log_event(
        _logger, logging.INFO, 'config_in_force', generation=config.generation
    )

  def _read_own_load(self) -> fleet_task.OwnLoad:
    return self._dispatch.query(
        lambda dispatcher, now: fleet_task.OwnLoad(
            dispatcher.make_peer_message(now), dispatcher.demand_by_model(now)
        )
    )

  def _explain(self, request_id: str) -> list[str]:
    return self._dispatch.query(
        lambda dispatcher, now: dispatcher.explain(request_id)
    )

  def read_status(self) -> EntryStatus:
    """Returns the status of all components."""
    dispatcher = self._dispatch.query(
        lambda dispatcher, now: dispatcher.snapshot(now)
    )
    return EntryStatus(
        self._name,
        self._zone,
        self._state.config.generation,
        self._state.is_ready,
        self._state.is_draining,
        dispatcher,
        self._metrics.snapshot(),
        self._state.hosts,
        self._peers.counts(),
    )

  def run(self) -> int:
    """Runs until SIGTERM or SIGINT, then drains.

    Returns:
      The exit status: 0 after a graceful stop, 1 if a component did not start.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT):
      signal.signal(signal_number, lambda *_: self._stop_requested.set())
    try:
      self._start()
    except Exception:
      _logger.exception('start_failed')
      self._stop_parts()
      return 1
    self._stop_requested.wait()
    self._drain()
    return 0

  def _start(self) -> None:
    self._metrics.start()
    self._dispatch.start()
    self._peers.start()
    self._fleet.start()
    self._config.start()
    self._calls.start()
    self._caller_server.start_in_background()
    self._operator_server.start_in_background()
    self._log_event('listening', address=self._settings['listen'])
    self._wait_for_config_and_hosts()
    self._state.set_started()
    self._log_event('ready', generation=self._state.config.generation)

  def _wait_for_config_and_hosts(self) -> None:
    """Waits for the configuration and the list of hosts."""
    warn_at = time.monotonic() + START_WARNING_INTERVAL_S
    while not (self._config.is_ready and self._fleet.has_hosts):
      if self._stop_requested.wait(START_POLL_INTERVAL_S):
        return
      if time.monotonic() > warn_at:
        self._log_event('waiting_for_config_and_hosts')
        warn_at = time.monotonic() + START_WARNING_INTERVAL_S

  def _drain(self) -> None:
    self._log_event('draining')
    self._state.set_draining()
    # The load balancer needs time to notice that this host is no longer ready,
    # and sends new callers until then.
    time.sleep(self._settings['notice_s'])
    self._stop_parts()
    self._log_event('stopped')

  def _stop_parts(self) -> None:
    for part in (
        self._caller_server,
        self._calls,
        self._config,
        self._fleet,
        self._dispatch,
        self._peers,
        self._metrics,
        self._operator_server,
    ):
      self._stop_part(part)

  def _stop_part(self, part: Any) -> None:
    """Stops a component; a failure must not prevent stopping the others."""
    try:
      part.stop()
    except Exception:
      _logger.exception('stop_failed')

  def _log_event(self, event: str, **fields: object) -> None:
    logs.log_event(_logger, logging.INFO, event, **fields)


def run_entry(value_by_name: dict[str, Any]) -> int:
  """Runs an entry with checked settings; returns the exit status."""
  logs.configure_logging(
      value_by_name['log_level'], PROGRAM, value_by_name['name']
  )
  return Entry(value_by_name).run()


main = settings_command.make_command(
    PROGRAM,
    SETTINGS,
    run_entry,
    'Serves the requests of callers on an entry host.',
    peer_keys.find_faults,
)

if __name__ == '__main__':
  main()
