"""Task that holds or waits for the lease of its zone.

A term is a period for which this host holds the lease; its fencing number is
higher than those of all earlier terms. The task owns the lease state defined in
`core/lease.py` and the calls to the platform for it. It publishes a `Term`
whenever a write is confirmed, and `TermEnded` when the term ends. A `Term`
stays valid until its end, however late it is read, so the task does not wait
for a reply.
"""

import logging
import queue
import secrets
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platforms
from mulberrypick.core import errors
from mulberrypick.core import lease as leases

# Number of renewals by the holder, or of reads of the lease by a waiting host,
# per lease duration.
CALLS_PER_DURATION = 4
# Number of retries of failed calls per lease duration.
RETRIES_PER_DURATION = 8

_logger = logging.getLogger(__name__)


class Term(NamedTuple):
  """Message that this host holds the lease and may send orders until a time.

  Attributes:
    fence: Fencing number of the term.
    end_at: Monotonic time at which it ends, unless it is renewed.
  """

  fence: int
  end_at: float


class TermEnded(NamedTuple):
  """Message that a term has ended; `fence` is its fencing number."""

  fence: int


class StaleFence(NamedTuple):
  """Message that an engine has seen a higher fencing number than `fence`."""

  fence: int


class Stop(NamedTuple):
  """Message that stops the task.

  Attributes:
    releases: Whether to release the lease; only if no order can be in flight.
  """

  releases: bool


TermMessage = Term | TermEnded


class LeaseHolder:
  """Holds the lease on a thread; `post` delivers messages to it."""

  def __init__(
      self,
      platform: platforms.Platform,
      zone: str,
      name: str,
      timing: leases.Timing,
      publish: Callable[[TermMessage], None],
  ):
    """Initializes the task without starting it.

    Args:
      platform: The platform.
      zone: The zone whose lease it is.
      name: Name of this host; the lease's owner also has a random suffix for
        the process.
      timing: Duration and guard time of the lease.
      publish: Called with each message; must not block.
    """
    self._platform = platform
    self._key = leases.lease_key(zone)
    self._timing = timing
    self._publish = publish
    self._messages = queue.SimpleQueue()
    self._lease = leases.Lease(owner=f'{name}/{secrets.token_hex(6)}')
    self._published = TermEnded(0)
    self._thread = threading.Thread(target=self._run, name='lease', daemon=True)

  @property
  def lease(self) -> leases.Lease:
    """The current lease state, an immutable value."""
    return self._lease

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def post(self, message: StaleFence) -> None:
    """Posts a message to the task."""
    self._messages.put(message)

  def stop(self, releases: bool) -> None:
    """Stops the task and waits for its thread.

    Args:
      releases: Whether to release the lease, so that a successor need not wait
        for it to expire; only if no order can be in flight.
    """
    self._messages.put(Stop(releases))
    if self._thread.is_alive():
      self._thread.join()

  def _run(self) -> None:
    wait_s = 0.0
    while True:
      message = self._next_message(wait_s)
      if isinstance(message, Stop):
        break
      if isinstance(message, StaleFence) and message.fence == self._lease.fence:
        self._set_lease(leases.on_stale(self._lease))
      try:
        wait_s = self._step()
      except errors.PlatformError as error:
        self._log('lease_call_failed', error=str(error))
        wait_s = self._timing.duration_s / RETRIES_PER_DURATION
    if message.releases:
      self._release()

  def _next_message(self, wait_s: float) -> StaleFence | Stop | None:
    try:
      return self._messages.get(timeout=wait_s) if wait_s > 0 else None
    except queue.Empty:
      return None

  def _step(self) -> float:
    """Makes the next call to the platform.

    Returns:
      The seconds to wait before the following call.
    """
    self._set_lease(leases.on_tick(self._lease, time.monotonic()))
    if self._lease.state == leases.HOLDING:
      self._write(leases.begin_renewal)
    else:
      self._read()
      if self._can_take():
        self._write(leases.begin_take)
    return self._wait_s()

  def _can_take(self) -> bool:
    now = time.monotonic()
    return leases.can_take(self._lease, now, self._timing.guard_s)

  def _wait_s(self) -> float:
    interval_s = self._timing.duration_s / CALLS_PER_DURATION
    if self._lease.state == leases.HOLDING:
      return max(self._lease.sent_at + interval_s - time.monotonic(), 0.001)
    return interval_s

  def _read(self) -> None:
    value = self._platform.get(self._key)
    now = time.monotonic()
    version = value.version if value else platforms.MISSING_VERSION
    record = leases.decode_record(value.value) if value else None
    self._set_lease(leases.on_read(self._lease, version, record, now))

  def _write(self, begin: Callable) -> None:
    nonce = secrets.token_hex(8)
    duration_s = self._timing.duration_s
    begun, record = begin(self._lease, time.monotonic(), nonce, duration_s)
    self._lease = begun
    value = leases.encode_record(record)
    try:
      version = self._platform.put(self._key, value, begun.version)
    except errors.ConflictError:
      self._set_lease(leases.on_conflict(begun))
    except errors.PlatformUnavailableError:
      self._set_lease(leases.on_unavailable(begun))
      raise
    except errors.PlatformError:
      # The write may have taken effect despite the error.
      self._set_lease(leases.on_lost(begun))
      raise
    else:
      self._set_lease(leases.on_written(begun, version, record))

  def _release(self) -> None:
    if self._lease.state != leases.HOLDING:
      return
    version = self._lease.version
    released, record = leases.begin_release(self._lease, secrets.token_hex(8))
    self._set_lease(released)
    try:
      self._platform.put(self._key, leases.encode_record(record), version)
    except errors.PlatformError as error:
      self._log('release_failed', error=str(error))

  def _set_lease(self, lease: leases.Lease) -> None:
    """Sets the lease state, and publishes the term if it changed."""
    is_held = leases.is_authorized(lease, time.monotonic())
    self._lease = lease
    message = TermEnded(self._published.fence)
    if is_held:
      message = Term(lease.fence, lease.term_end_at)
    if message == self._published:
      return
    if type(message) is not type(self._published):
      event = 'term_begins' if is_held else 'term_ends'
      self._log(event, fence=message.fence)
    self._published = message
    self._publish(message)

  def _log(self, event: str, **fields: object) -> None:
    logs.log_event(_logger, logging.INFO, event, key=self._key, **fields)
