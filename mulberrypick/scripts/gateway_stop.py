"""Stops a gateway in steps, of which none skips the others if it fails."""

import asyncio
import collections
import logging
from collections.abc import Awaitable
from collections.abc import Callable

from mulberrypick.adapters import logs
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_server
from mulberrypick.core import stop_schedule
from mulberrypick.ops import call_log
from mulberrypick.ops import gateway_state
from mulberrypick.ops import stop_guard
from mulberrypick.platform import requests

_log = logging.getLogger(__name__)
# Time between checks whether all connections have ended in a stop (s), and
# whether all bytes are sent at its end.
DRAIN_POLL_S = 0.05
FLUSH_POLL_S = 0.01


class GatewayStop:
  """The stop of one gateway."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      caller_server: stream_server.StreamServer,
      forward_server: stream_server.StreamServer,
      log: call_log.CallLog,
      tell_hosts: Callable[[], None],
      remove_entry: Callable[[], Awaitable[None]],
  ):
    """Creates a stop that has not begun.

    Args:
      state: The state of this host.
      caller_server: Takes requests of callers.
      forward_server: Takes requests of other hosts.
      log: Logs decisions on requests.
      tell_hosts: Tells the other hosts that this one leaves.
      remove_entry: Removes the entry of this host from the store.
    """
    self._state = state
    self._servers = (caller_server, forward_server)
    self._log = log
    self._tell_hosts = tell_hosts
    self._remove_entry = remove_entry
    self._failed_steps: set[str] = set()
    self._closed_idle = 0

  async def run(self, began_at: float) -> None:
    """Stops the gateway by its schedule.

    Args:
      began_at: When SIGTERM came, on the clock of the event loop.
    """
    loop = asyncio.get_running_loop()
    state = self._state
    grace_s = state.host.bounds.grace_s
    schedule = stop_schedule.make_schedule(began_at, grace_s)
    state.is_leaving = True
    state.stop.begin(began_at, schedule.end_requests_at)
    for server in self._servers:
      server.is_leaving = True
    logs.log_event(
        _log,
        logging.INFO,
        'stopping',
        grace_s=grace_s,
        late_s=round(loop.time() - began_at, 3),
        **self._count_connections(),
    )
    self._try('tell_hosts', self._tell_hosts)
    leave_task = loop.create_task(self._leave())
    await asyncio.sleep(schedule.close_port_at - loop.time())
    state.has_stopped_listening = True
    for server in self._servers:
      self._try('close_port', server.stop_listening)
    while self._close_idle() and loop.time() < schedule.end_requests_at:
      await asyncio.sleep(DRAIN_POLL_S)
    given_up = self._try('give_up', state.stop.give_up)
    # What was just written is sent in the next turn of the event loop.
    await asyncio.sleep(FLUSH_POLL_S)
    while self._close_idle() and loop.time() < schedule.exit_at:
      await asyncio.sleep(FLUSH_POLL_S)
    leave_task.cancel()
    self._try('report_undelivered', self._report_undelivered)
    state.stop.is_over = True
    left = self._count_connections()
    self._try('cut_open', self._cut_open)
    # Open requests are cancelled in the next turns, and log their ends.
    await asyncio.sleep(FLUSH_POLL_S)
    logs.log_event(
        _log,
        logging.INFO,
        'stopped',
        took_s=round(loop.time() - began_at, 2),
        given_up=given_up,
        closed_idle=self._closed_idle,
        **left,
        **self._log.count_ended_by_stop(),
    )
    self._log.report_left_out()

  async def _leave(self) -> None:
    try:
      await self._remove_entry()
    except Exception:
      self._log_failure('remove_entry')

  def _report_undelivered(self) -> None:
    for server in self._servers:
      server.report_undelivered(stop_guard.STOPPING)

  def _connections(self) -> list[server_connection.ServerConnection]:
    found = []
    for server in self._servers:
      found.extend(server.connections)
    return found

  def _count_connections(self) -> dict[str, int]:
    """Returns the number of open connections by what they are used for."""
    count_by_activity = collections.Counter(
        self._activity(connection) for connection in self._connections()
    )
    return {
        activity.value: count_by_activity[activity]
        for activity in server_connection.Activity
        if activity is not server_connection.Activity.CLOSED
    }

  def _activity(
      self, connection: server_connection.ServerConnection
  ) -> server_connection.Activity:
    try:
      return connection.activity
    except Exception:
      self._log_failure('activity')
      return server_connection.Activity.ANSWERING

  def _cut_open(self) -> None:
    """Ends what is still open, and logs requests that no handler knows."""
    now = asyncio.get_running_loop().time()
    for connection in self._connections():
      activity = self._activity(connection)
      if activity is server_connection.Activity.RECEIVING:
        self._log.record(
            'unreceived',
            stop_guard.STOPPING,
            now,
            '',
            request=requests.find_id(connection.partial_headers),
            received_bytes=connection.partial_bytes,
        )
      if activity is not server_connection.Activity.ANSWERING:
        continue
      for received in connection.waiting:
        self._log.record(
            'cut',
            stop_guard.STOPPING,
            now,
            '',
            request=requests.find_id(received.headers),
            after_s=round(now - received.received_at, 3),
            ran='not_sent',
        )
      connection.abort()

  def _close_idle(self) -> int:
    """Closes idle connections; returns how many are still in use."""
    busy = 0
    self._closed_idle += self._count_connections()['idle']
    for server in self._servers:
      # One of them at least is in use if this can't be told.
      busy += self._try('close_idle', server.close_idle, 1)
    return busy

  def _try(
      self, step: str, run: Callable[[], int | None], default: int = 0
  ) -> int | None:
    """Runs a step; returns its result, or a default if it raises."""
    try:
      return run()
    except Exception:
      self._log_failure(step)
      return default

  def _log_failure(self, step: str) -> None:
    """Logs the present error, once a step."""
    if step in self._failed_steps:
      return
    self._failed_steps.add(step)
    _log.exception({'event': 'stop_failed', 'step': step})
