"""The program `mulberrypick-controller`, which sends orders to engines.

This module is its composition root. One controller of each zone holds the
lease, and the others are on standby. A controller may be killed at any time
without interrupting requests.
"""

import logging
import signal
import threading
from typing import Any

from mulberrypick.adapters import http_engine
from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_server
from mulberrypick.adapters import logs
from mulberrypick.adapters import peer_keys
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import errors
from mulberrypick.core import lease as leases
from mulberrypick.core import reconcile
from mulberrypick.core import role_planner
from mulberrypick.core import settings
from mulberrypick.ops import controller_app
from mulberrypick.ops import controller_task
from mulberrypick.ops import demand_task
from mulberrypick.ops import lease_holder
from mulberrypick.ops import order_sender
from mulberrypick.ops import term_watchdog
from mulberrypick.scripts import host_settings
from mulberrypick.scripts import settings_command

PROGRAM = 'mulberrypick-controller'
LIMITS = http_server.ServerLimits(threads=4, queue=8)
# Timeout of platform calls, as a fraction of the lease duration.
PLATFORM_TIMEOUT_FRACTION = 0.25
# Time that an order may stay unacknowledged before the kernel aborts its
# connection, as a fraction of the guard time. The guard time is how long a
# successor waits after the lease duration, to cover delayed orders.
TCP_USER_TIMEOUT_FRACTION = 0.5
# Timeout of engine calls, as a fraction of the guard time.
ENGINE_TIMEOUT_FRACTION = 0.25
# Minimum ratio of the lease duration to the guard time. An order is sent only
# if at least the guard time is left of the term, so a shorter lease would leave
# too little time to send orders between renewals.
MIN_ORDERS_PER_TERM = 2

SETTINGS = (
    host_settings.NAME,
    host_settings.ZONE,
    settings.Setting(
        'listen',
        '127.0.0.1:8083',
        settings.parse_address,
        'ip:port to listen on for /healthz and /status.',
    ),
    host_settings.OPERATOR_TOKEN,
    *peer_keys.SETTINGS,
    host_settings.PLATFORM_URL,
    host_settings.SOURCE_IP,
    settings.Setting(
        'lease_s',
        '6',
        settings.parse_seconds,
        'Duration of the lease, in seconds.',
    ),
    settings.Setting(
        'guard_s',
        '2',
        settings.parse_seconds,
        'Maximum time that an order can be in flight, in seconds.',
    ),
    settings.Setting(
        'round_s',
        '0.25',
        settings.parse_seconds,
        'Time between two rounds of reading the state of engines, in seconds.',
    ),
    settings.Setting(
        'roles',
        'forecast',
        settings.parse_choice(*role_planner.ROLE_PLANNER_BY_NAME),
        'Policy that plans the roles of engines.',
    ),
    host_settings.LOG_LEVEL,
)

_logger = logging.getLogger(__name__)


class Controller:
  """All components of a controller."""

  def __init__(
      self, value_by_name: dict[str, Any], planner: reconcile.RolePlanner
  ):
    """Creates and connects the components without starting them.

    Args:
      value_by_name: The checked settings.
      planner: Plans the roles of engines.
    """
    self._settings = value_by_name
    self._stop_requested = threading.Event()
    name = value_by_name['name']
    zone = value_by_name['zone']
    timing = leases.Timing(value_by_name['lease_s'], value_by_name['guard_s'])
    engine_timeout_s = timing.guard_s * ENGINE_TIMEOUT_FRACTION
    self._lease = lease_holder.LeaseHolder(
        self._make_platform(timing), zone, name, timing, self._post_term
    )
    self._task = controller_task.ControllerTask(
        name,
        zone,
        self._make_platform(timing),
        http_engine.HttpEngine(
            source_ip=value_by_name['source_ip'],
            connect_timeout_s=engine_timeout_s,
            report_timeout_s=engine_timeout_s,
            order_tcp_user_timeout_s=timing.guard_s * TCP_USER_TIMEOUT_FRACTION,
        ),
        planner,
        order_sender.OrderTiming(timing.guard_s, timing.guard_s),
        controller_task.ControllerIntervals(round_s=value_by_name['round_s']),
        self._lease.post,
    )
    own_ip = value_by_name['listen'].ip
    self._peers = zmq_peers.ZmqPeers(
        f'{own_ip}:0',
        name,
        value_by_name['source_ip'],
        keys=peer_keys.read_keys(value_by_name),
    )
    self._demand = demand_task.DemandTask(
        zone, self._peers, lambda: self._task.hosts, self._task.post
    )
    application = controller_app.ControllerApp(
        lambda: self._task.status, value_by_name['operator_token']
    )
    self._server = http_server.HttpServer(
        tuple(value_by_name['listen']), application, LIMITS, 1.0
    )

  def _make_platform(self, timing: leases.Timing) -> http_platform.HttpPlatform:
    return http_platform.HttpPlatform(
        self._settings['platform_url'],
        self._settings['source_ip'],
        timing.duration_s * PLATFORM_TIMEOUT_FRACTION,
        self._settings['name'],
    )

  def _post_term(self, message: lease_holder.TermMessage) -> None:
    self._task.post(message)

  def run(self) -> int:
    """Runs until SIGTERM or SIGINT; returns the exit status."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
      signal.signal(signal_number, lambda *_: self._stop_requested.set())
    term_watchdog.block_sigalrm()
    self._server.start_in_background()
    self._task.start()
    self._lease.start()
    self._peers.start()
    self._demand.start()
    self._log_event('ready', address=self._settings['listen'])
    self._stop_requested.wait()
    self._log_event('stopping')
    self._demand.stop()
    self._peers.stop()
    # The task sends the orders. It is stopped before the lease is released, so
    # that no order is sent after the release.
    self._task.stop()
    self._lease.stop(self._task.is_settled)
    self._server.stop()
    self._log_event('stopped')
    return 0

  def _log_event(self, event: str, **fields: object) -> None:
    logs.log_event(_logger, logging.INFO, event, **fields)


def find_faults(value_by_name: dict[str, Any]) -> list[errors.Fault]:
  """Returns the faults of settings that are invalid in combination."""
  faults = peer_keys.find_faults(value_by_name)
  min_lease_s = MIN_ORDERS_PER_TERM * value_by_name['guard_s']
  if value_by_name['lease_s'] < min_lease_s:
    place = '--lease-s (MULBERRYPICK_LEASE_S)'
    message = f'must be at least {MIN_ORDERS_PER_TERM} times --guard-s'
    faults.append(errors.Fault(place, message))
  return faults


def run_controller(
    value_by_name: dict[str, Any],
    planner: reconcile.RolePlanner | None = None,
) -> int:
  """Runs a controller with checked settings.

  Args:
    value_by_name: The settings.
    planner: Plans the roles of engines; None for the planner in the settings.

  Returns:
    The exit status.
  """
  logs.configure_logging(
      value_by_name['log_level'], PROGRAM, value_by_name['name']
  )
  if planner is None:
    planner = role_planner.make_role_planner(value_by_name['roles'])
  return Controller(value_by_name, planner).run()


main = settings_command.make_command(
    PROGRAM,
    SETTINGS,
    run_controller,
    'Sends orders to the engines of a zone.',
    find_faults,
)

if __name__ == '__main__':
  main()
