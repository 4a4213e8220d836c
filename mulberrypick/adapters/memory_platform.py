"""In-memory platform with fault injection, for tests.

It implements versions, conditional updates, watches and the list of hosts. It
can simulate an outage, lose the responses to writes that took effect, and run
a hook before each call, by which tests provoke races. One instance is shared
by all threads of a test.
"""

import collections
import threading
import time
from collections.abc import Callable

from mulberrypick.adapters import platform
from mulberrypick.core import errors
from mulberrypick.core import records

MAX_KEPT_CHANGES = 10_000


class MemoryPlatform(platform.Platform):
  """Implementation of `Platform` on a dictionary.

  Attributes:
    calls: Number of calls of each kind, without refused ones.
    refused: Number of calls refused during an outage.
    before_call: Hook called with the kind and key before each call.
  """

  def __init__(self):
    self.calls = collections.Counter()
    self.refused = 0
    self.before_call: Callable[[str, str], None] | None = None
    self._condition = threading.Condition()
    self._value_by_key = {}
    self._changes = collections.deque(maxlen=MAX_KEPT_CHANGES)
    self._revision = 0
    self._versions = collections.Counter()
    self._hosts = []
    self._is_unavailable = False
    self._answers_left_to_lose = 0
    self._lose_answers_prefix = ''

  def set_unavailable(self, is_unavailable: bool) -> None:
    """Starts or ends an outage; open watches raise an error."""
    with self._condition:
      self._is_unavailable = is_unavailable
      self._condition.notify_all()

  def lose_answers(self, count: int, prefix: str = '') -> None:
    """Loses the responses of the next `count` writes under a prefix.

    The writes take effect.
    """
    with self._condition:
      self._answers_left_to_lose = count
      self._lose_answers_prefix = prefix

  def set_hosts(self, hosts: list[records.Host]) -> None:
    """Replaces the list of hosts."""
    with self._condition:
      self._hosts = list(hosts)

  def get(self, key: str) -> platform.VersionedValue | None:
    """See `Platform.get`."""
    self._begin_call('get', key)
    with self._condition:
      return self._value_by_key.get(key)

  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """See `Platform.put`."""
    if len(value) > platform.MAX_VALUE_BYTES:
      raise errors.PlatformError(f'{key}: {len(value)} bytes exceed the limit')
    self._begin_call('put', key)
    with self._condition:
      self._check_version(key, expected_version)
      written = self._record(key, value)
      self._value_by_key[key] = written
      self._lose_answer_if_requested(key)
      return written.version

  def delete(self, key: str, expected_version: int) -> None:
    """See `Platform.delete`."""
    self._begin_call('delete', key)
    with self._condition:
      self._check_version(key, expected_version)
      self._record(key, b'', is_delete=True)
      self._value_by_key.pop(key, None)
      self._lose_answer_if_requested(key)

  def list_objects(self, prefix: str) -> platform.Listing:
    """See `Platform.list_objects`."""
    self._begin_call('list', prefix)
    with self._condition:
      found = {
          key: value
          for key, value in self._value_by_key.items()
          if key.startswith(prefix)
      }
      return platform.Listing(self._revision, found)

  def watch(
      self, prefix: str, after_revision: int, timeout_s: float
  ) -> platform.WatchBatch:
    """See `Platform.watch`."""
    self._begin_call('watch', prefix)
    deadline = time.monotonic() + timeout_s
    with self._condition:
      while True:
        self._check_available()
        self._check_not_expired(after_revision)
        found = [
            change
            for revision, change in self._changes
            if revision > after_revision and change.key.startswith(prefix)
        ]
        remaining_s = deadline - time.monotonic()
        if found or remaining_s <= 0:
          return platform.WatchBatch(self._revision, found)
        self._condition.wait(remaining_s)

  def list_hosts(self) -> list[records.Host]:
    """See `Platform.list_hosts`."""
    self._begin_call('hosts', '')
    with self._condition:
      return list(self._hosts)

  def _begin_call(self, kind: str, key: str) -> None:
    if self.before_call is not None:
      self.before_call(kind, key)
    with self._condition:
      self._check_available()
      self.calls[kind] += 1

  def _check_available(self) -> None:
    if self._is_unavailable:
      self.refused += 1
      raise errors.PlatformUnavailableError('the platform is unavailable')

  def _check_not_expired(self, after_revision: int) -> None:
    if len(self._changes) < MAX_KEPT_CHANGES:
      return
    if after_revision < self._changes[0][0] - 1:
      raise errors.WatchExpiredError(f'revision {after_revision} has expired')

  def _check_version(self, key: str, expected_version: int) -> None:
    current = self._value_by_key.get(key)
    version = current.version if current else platform.MISSING_VERSION
    if version != expected_version:
      raise errors.ConflictError(key, version)

  def _record(
      self, key: str, value: bytes, is_delete: bool = False
  ) -> platform.VersionedValue:
    self._revision += 1
    self._versions[key] += 1
    written = platform.VersionedValue(key, self._versions[key], value)
    event = written._replace(version=0) if is_delete else written
    self._changes.append((self._revision, event))
    self._condition.notify_all()
    return written

  def _lose_answer_if_requested(self, key: str) -> None:
    if self._answers_left_to_lose and key.startswith(self._lose_answers_prefix):
      self._answers_left_to_lose -= 1
      raise errors.PlatformAnswerLostError(f'{key}: no response')
