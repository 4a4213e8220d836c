"""Composition root of `mulberrypick-gateway`.

It creates the components, connects them, and stops them in order.
"""

import asyncio
import logging
import random
import sys
import time
from collections.abc import Callable
from collections.abc import Coroutine

import uvloop

from mulberrypick.adapters import logs
from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_server
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.ops import call_log
from mulberrypick.ops import evidence_task
from mulberrypick.ops import forward_server
from mulberrypick.ops import gateway_metrics
from mulberrypick.ops import gateway_peers
from mulberrypick.ops import gateway_state
from mulberrypick.ops import gateway_task
from mulberrypick.ops import hosts_task
from mulberrypick.ops import list_check
from mulberrypick.ops import reach_task
from mulberrypick.ops import refusals_task
from mulberrypick.ops import speeds_task
from mulberrypick.ops import stage_task
from mulberrypick.ops import store_task
from mulberrypick.platform import settings
from mulberrypick.platform import store
from mulberrypick.scripts import gateway_stop
from mulberrypick.scripts import process_signals

_log = logging.getLogger(__name__)
EXIT_SETTINGS = 2
# Port of the metrics endpoint; must equal the one in `deploy/system.toml`.
METRICS_PORT = 9464
# Time between checks for expired endpoints and idle connections (s).
SWEEP_INTERVAL_S = 0.1
# Interval at which the settings file is read (s); it may change without a
# signal to this process.
SETTINGS_RELOAD_INTERVAL_S = 2.0
# Time after which a task is started again that ended by an unexpected error.
TASK_RESTART_S = 0.5
# Encoding of a request that is passed on, beside its own bytes.
MAX_FORWARDED_EXTRA_BYTES = 65536


class Gateway:
  """All components of the program.

  Attributes:
    state: State shared by the components.
  """

  def __init__(
      self,
      host: gateway_records.GatewayHost,
      signals: process_signals.ProcessSignals | None = None,
  ):
    """Creates the components.

    Args:
      host: The host, from its settings.
      signals: Handles the signals to the program.
    """
    self._signals = signals or process_signals.ProcessSignals()
    self.state = gateway_state.GatewayState(host, random.Random())
    self._call_log = call_log.CallLog()
    self._metrics = gateway_metrics.GatewayMetrics(self.state)
    self._peers = gateway_peers.PeerTask(
        self.state,
        list_check.ListCheck(self.state, self._make_store_client()),
    )
    self._task = gateway_task.GatewayTask(
        self.state, self._call_log, self._metrics, self._peers.versions
    )
    self._caller_server = stream_server.StreamServer(
        self._task.handle, self._task.log_refused
    )
    self._caller_server.on_undelivered = self._task.log_undelivered
    self._forward_server = stream_server.StreamServer(
        forward_server.ForwardServer(
            self.state, self._task.answer_forwarded, self._peers.is_host
        ).handle,
        self._task.log_refused,
    )
    self._forward_server.on_undelivered = self._task.log_undelivered
    # Callers may read slowly, and so does a host that passes a response on to
    # one. Time limits end the requests of dead ones.
    for server in (self._caller_server, self._forward_server):
      server.user_timeout_s = None
    self._readiness_server = stream_server.StreamServer(
        self._task.answer_ready, self._task.log_refused
    )
    self._metrics_server = stream_server.StreamServer(
        self._metrics.answer, self._task.log_refused
    )
    self._hosts = hosts_task.HostsTask(
        self.state, self._peers, self._make_store_client()
    )
    self._stop = gateway_stop.GatewayStop(
        self.state,
        self._caller_server,
        self._forward_server,
        self._call_log,
        self._peers.publish_now,
        self._hosts.leave,
    )
    self._stop_requested = asyncio.Event()
    self._settings_read_at = time.monotonic()
    # Version of the configuration whose limits are in force.
    self._limits_version = 0

  async def run(self) -> None:
    """Runs until SIGTERM or SIGINT."""
    host = self.state.host
    loop = asyncio.get_running_loop()
    self._signals.install()
    self._signals.attach(
        lambda: loop.call_soon_threadsafe(self._stop_requested.set),
        lambda: loop.call_soon_threadsafe(self._reload),
    )
    await self._readiness_server.listen(host.ready_ip, host.ready_port)
    await self._caller_server.listen(host.ip, host.listen_port)
    await self._listen_for_hosts()
    await self._listen_for_metrics()
    tasks = [
        store_task.ConfigTask(self.state, self._make_store_client()).run,
        store_task.EndpointsTask(self.state, self._make_store_client()).run,
        self._hosts.run,
        self._peers.run,
        stage_task.StageTask(self.state, self._make_store_client()).run,
        refusals_task.RefusalsTask(self.state, self._make_store_client()).run,
        evidence_task.EvidenceTask(
            self.state, self._make_store_client(), self._make_store_client()
        ).run,
        speeds_task.SpeedsTask(self.state, self._make_store_client()).run,
        reach_task.ReachTask(self.state, random.Random()).run,
        self._sweep,
    ]
    running = [loop.create_task(_keep_running(task)) for task in tasks]
    stop_task = loop.create_task(self._stop_requested.wait())
    try:
      done, _ = await asyncio.wait(
          [*running, stop_task], return_when=asyncio.FIRST_COMPLETED
      )
      for task in done:
        if task is not stop_task:
          # What it did is missing from now on; what is open can still end.
          logs.log_event(_log, logging.ERROR, 'task_ended', task=repr(task))
      await self._stop.run(self._stop_began_at())
    finally:
      self.state.stop.is_over = True
      self._signals.detach()
      for task in (*running, stop_task):
        task.cancel()

  def _stop_began_at(self) -> float:
    """Returns when SIGTERM came; SIGKILL follows after the grace period."""
    now = asyncio.get_running_loop().time()
    requested_at = self._signals.stop_requested_at
    if requested_at is None:
      return now
    return now - (time.monotonic() - requested_at)

  def close(self) -> None:
    """Closes all sockets immediately."""
    self._peers.close()
    for server in (
        self._caller_server,
        self._forward_server,
        self._readiness_server,
        self._metrics_server,
    ):
      server.stop_listening()
      for connection in list(server.connections):
        connection.abort()

  async def _listen_for_hosts(self) -> None:
    host = self.state.host
    if not host.forward_port:
      return
    try:
      await self._forward_server.listen(host.ip, host.forward_port)
    except OSError as error:
      # Requests of callers are still served; other hosts use another one.
      logs.log_event(
          _log, logging.ERROR, 'forwarded_not_taken', error=str(error)
      )

  async def _listen_for_metrics(self) -> None:
    try:
      await self._metrics_server.listen(self.state.host.ip, METRICS_PORT)
    except OSError as error:
      # Requests are still served. The failure shows when metrics are fetched.
      logs.log_event(
          _log, logging.ERROR, 'metrics_not_served', error=str(error)
      )

  async def _sweep(self) -> None:
    while True:
      await asyncio.sleep(SWEEP_INTERVAL_S)
      now = asyncio.get_running_loop().time()
      expired = self.state.endpoints.expire(
          now, self.state.was_store_steady(now)
      )
      for name in expired:
        self.state.drop_endpoint(name)
        logs.log_event(
            _log,
            logging.INFO,
            'endpoint_dropped',
            endpoint=name,
            reason='not_back',
        )
      for incarnation in self.state.endpoints.take_ended():
        self.state.crash_watch.record_end(incarnation, now)
      self.state.crash_watch.expire(now)
      if self.state.store_contact_since is not None:
        self.state.crash_watch.record_listed(
            self.state.endpoints, self.state.store_contact_since, now
        )
      if self.state.endpoints.is_loaded:
        self.state.versions.observe(self.state.endpoints.all(), now)
      self.state.suspend_silent_endpoints(now)
      self.state.retry_log.log_changes(now)
      self.state.pool.close_expired()
      self.state.forward_links.close_expired()
      if time.monotonic() - self._settings_read_at > SETTINGS_RELOAD_INTERVAL_S:
        self._reload()
      config = self.state.config
      if config is not None and config.version != self._limits_version:
        self._limits_version = config.version
        self._apply_limits(config)

  def _apply_limits(self, config: gateway_records.GatewayConfig) -> None:
    limits = received_request.Limits(*config.limits)
    self._caller_server.limits = limits
    unread_timeout_s = max(limits.idle_timeout_s, config.longest_timeout_s())
    for server in (self._caller_server, self._forward_server):
      server.unread_timeout_s = unread_timeout_s
    # The body of a request that is passed on holds all of it.
    self._forward_server.limits = received_request.Limits(
        max_body_bytes=limits.max_header_bytes
        + limits.max_body_bytes
        + MAX_FORWARDED_EXTRA_BYTES
    )

  def _reload(self) -> None:
    """Reloads the settings; changed addresses apply at the next start."""
    self._settings_read_at = time.monotonic()
    try:
      host = settings.load_settings(settings.settings_path())
    except errors.SettingsError as error:
      logs.log_event(
          _log, logging.ERROR, 'settings_unreadable', error=str(error)
      )
      return
    if host == self.state.host:
      return
    self.state.apply_settings(host)
    for seed in host.seeds:
      self._peers.add_host(seed)
    logs.log_event(_log, logging.INFO, 'reloaded')

  def _make_store_client(self) -> store.StoreClient:
    host = self.state.host
    return store.StoreClient(
        host.store_ip,
        host.store_port,
        self.state.store_era,
        self.state.store_contact,
    )


async def _keep_running(run: Callable[[], Coroutine[None, None, None]]) -> None:
  """Runs a method until cancelled, and again after an unexpected error.

  The other tasks serve callers meanwhile. A process that ends would meet the
  same input again after its restart.
  """
  name = f'{type(run.__self__).__name__}.{run.__name__}'
  while True:
    try:
      # A task group that fails leaves its task with a request to be cancelled,
      # so it gets one of its own.
      await asyncio.create_task(run())
    except asyncio.CancelledError:
      if asyncio.current_task().cancelling():
        raise
      # It was not this task that was cancelled, but what it waited for.
      _log.exception({'event': 'task_fault', 'task': name})
    except Exception:
      _log.exception({'event': 'task_fault', 'task': name})
      if asyncio.current_task().cancelling():
        # The error took the place of the cancellation.
        return
    await asyncio.sleep(TASK_RESTART_S)


async def serve(
    host: gateway_records.GatewayHost, signals: process_signals.ProcessSignals
) -> None:
  """Creates a gateway on the running event loop, and runs it."""
  await Gateway(host, signals).run()


def main() -> None:
  """Runs the program."""
  started_at = time.monotonic()
  try:
    host = settings.load_settings(settings.settings_path())
  except errors.SettingsError as error:
    print(error, file=sys.stderr)
    sys.exit(EXIT_SETTINGS)
  handler = logs.configure_queued_logging('info', 'gateway', host.name)
  logs.log_event(
      _log,
      logging.INFO,
      'starting',
      zone=host.zone,
      is_first_start=host.is_first_start,
      settings_s=round(time.monotonic() - started_at, 3),
  )
  signals = process_signals.ProcessSignals()
  signals.install()
  try:
    uvloop.run(serve(host, signals))
  except Exception:
    _log.exception({'event': 'process_failed'})
    raise
  finally:
    if handler.dropped:
      logs.log_event(
          _log, logging.WARNING, 'lines_dropped', count=handler.dropped
      )
    handler.listener.stop()
