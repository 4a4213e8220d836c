"""The thread that reads and watches the configuration in the platform.

A generation of the configuration is stored as parts, which are small objects,
and one head object, which refers to them. Every host reads the head once at the
start, because a process that holds no generation needs one before it is ready.
After that a host calls the platform only while it is elected. Failed calls are
retried with exponential backoff and jitter. The backoff is longer for hosts
further down in the order of the election, so the platform receives few calls at
a time when it recovers.

Parts are watched as well as the head. They are written before the head, so a
watching host has received them when the head arrives and needs no further
reads. An outage right after an acceptance thus does not delay the change.
"""

import collections
import logging
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import config_parts
from mulberrypick.core import errors
from mulberrypick.ops import config_fetch

_logger = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 10.0
IDLE_POLL_INTERVAL_S = 0.5
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
WATCHED_PREFIX = 'config/'
MAX_BUFFERED_PARTS = 128
MAX_BUFFERED_BYTES = 2_000_000


class PlatformRead(NamedTuple):
  """A generation read from the platform: its head, and parts new to this host.

  Attributes:
    head: The head, `EMPTY_HEAD` if the platform holds none.
    part_by_name: The fetched parts.
  """

  head: config_parts.Head
  part_by_name: dict[str, bytes]


class _PartBuffer:
  """A bounded buffer of the latest parts received before their head.

  The head is the object that refers to the parts of a generation.
  """

  def __init__(self):
    self._value_by_name = collections.OrderedDict()
    self._size = 0

  def add(self, stored: platform_lib.VersionedValue) -> None:
    """Adds a part; evicts the oldest parts if the buffer is full."""
    name = stored.key.removeprefix(config_parts.PART_PREFIX)
    if name in self._value_by_name:
      return
    self._value_by_name[name] = stored.value
    self._size += len(stored.value)
    while (
        len(self._value_by_name) > MAX_BUFFERED_PARTS
        or self._size > MAX_BUFFERED_BYTES
    ):
      _, value = self._value_by_name.popitem(last=False)
      self._size -= len(value)

  def read(self, names: list[str]) -> dict[str, bytes]:
    """Returns those of the named parts that are in the buffer."""
    return {
        name: self._value_by_name[name]
        for name in names
        if name in self._value_by_name
    }


class ConfigWatch:
  """Watches the platform while this host is elected; see `set_elected`.

  Attributes:
    calls: Number of calls to the platform by kind.
    fetched: Number and bytes of the fetched parts.
    is_elected: Whether this host is elected to watch the platform.
    is_watch_healthy: Whether it is watching, and its last call succeeded.
  """

  def __init__(
      self,
      platform: platform_lib.Platform,
      find_part: Callable[[str], bytes | None],
      list_start_sources: Callable[[], list[config_fetch.Source]],
      post: Callable[[PlatformRead], None],
  ):
    """Creates the watch without starting its thread.

    Args:
      platform: The platform.
      find_part: Returns a part of the generation in force on this host.
      list_start_sources: Returns the peers from which parts are requested
        before the platform is called, if many parts are missing.
      post: Called with each `PlatformRead`.
    """
    self.calls = collections.Counter()
    self.fetched = collections.Counter()
    self.is_elected = False
    self.is_watch_healthy = False
    self._platform = platform
    self._find_part = find_part
    self._list_start_sources = list_start_sources
    self._post = post
    self._part_buffer = _PartBuffer()
    self._position = 0
    self._failures = 0
    self._has_read = False
    self._stopping = threading.Event()
    self._wake = threading.Event()
    self._thread = threading.Thread(
        target=self._run, name='config-watch', daemon=True
    )

  def set_elected(self, is_elected: bool, position: int) -> None:
    """Sets whether to watch the platform.

    Args:
      is_elected: Whether this host is elected.
      position: Number of hosts before this one in the order of the election.
    """
    self._position = position
    if is_elected == self.is_elected:
      return
    self.is_elected = is_elected
    logs.log_event(_logger, logging.INFO, 'config_watch', elected=is_elected)
    self._wake.set()

  def skip_first_read(self) -> None:
    """Skips the initial read, as peers have provided the configuration."""
    self._has_read = True

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def stop(self) -> None:
    """Asks the thread to end; a running watch may delay it for seconds."""
    self._stopping.set()
    self._wake.set()

  def _run(self) -> None:
    while not self._stopping.is_set():
      if self._has_read and not self.is_elected:
        self.is_watch_healthy = False
        self._wake.wait(IDLE_POLL_INTERVAL_S)
        self._wake.clear()
        continue
      try:
        self._read_and_watch()
      except (errors.PlatformError, errors.ConfigError) as error:
        self.is_watch_healthy = False
        self._back_off(error)

  def _read_and_watch(self) -> None:
    """Reads the head, then watches it and the parts while elected."""
    self.calls['list'] += 1
    listing = self._platform.list_objects(config_parts.HEAD_KEY)
    stored = listing.value_by_key.get(config_parts.HEAD_KEY)
    self._process_head(stored.value if stored else None)
    self._failures = 0
    self._has_read = True
    revision = listing.revision
    while self.is_elected and not self._stopping.is_set():
      self.is_watch_healthy = True
      self.calls['watch'] += 1
      batch = self._platform.watch(WATCHED_PREFIX, revision, WATCH_TIMEOUT_S)
      revision = batch.revision
      self._process_changes(batch.changes)

  def _process_changes(
      self, changes: list[platform_lib.VersionedValue]
  ) -> None:
    """Buffers the changed parts, and processes the newest changed head.

    Args:
      changes: Changed objects that one watch call returned, oldest first.
    """
    newest = None
    for change in changes:
      if change.key == config_parts.HEAD_KEY:
        newest = change
      elif change.version != platform_lib.MISSING_VERSION:
        self._part_buffer.add(change)
    if newest is None:
      return
    if newest.version == platform_lib.MISSING_VERSION:
      logs.log_event(_logger, logging.ERROR, 'config_head_deleted')
      return
    self._process_head(newest.value)

  def _process_head(self, value: bytes | None) -> None:
    """Fetches the parts of a generation that this host lacks.

    Posts them together with the head.

    Args:
      value: The encoded head; None if the platform holds none.
    """
    if value is None:
      self._post(PlatformRead(config_parts.EMPTY_HEAD, {}))
      return
    head = config_parts.decode_head(value)
    sources = [self._part_buffer.read, self._read_platform]
    missing = config_parts.list_missing_parts(head, self._find_part)
    if len(missing) > config_fetch.MAX_SINGLE_READS or not self._has_read:
      sources = [*self._list_start_sources(), *sources]
    fetched = config_fetch.fetch_parts(head, self._find_part, sources)
    if fetched is None:
      fault = errors.Fault(
          config_parts.HEAD_KEY, 'parts of this head could not be fetched'
      )
      raise errors.ConfigError([fault])
    self.fetched['parts'] += len(fetched)
    self.fetched['bytes'] += sum(map(len, fetched.values()))
    self._post(PlatformRead(head, fetched))

  def _read_platform(self, names: list[str]) -> dict[str, bytes]:
    kind, count = config_fetch.count_calls(names)
    self.calls[kind] += count
    return config_fetch.make_platform_source(self._platform)(names)

  def _back_off(self, error: Exception) -> None:
    """Waits after a failed call, with exponential backoff and jitter.

    The backoff grows with the position of this host in the election.
    """
    self._failures += 1
    logs.log_event(
        _logger, logging.INFO, 'config_platform_away', error=str(error)
    )
    exponent = min(self._failures - 1, 10)
    backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**exponent)
    if self._has_read:
      backoff_s *= 1 + self._position // 2
    self._stopping.wait(backoff_s * random.uniform(0.5, 1.0))
