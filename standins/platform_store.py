"""Objects of the simulated platform, with versions and watches.

The version of an object is the platform-wide revision of its last change. So an
object that is deleted and created again never gets a version it had before.
"""

import collections
import threading
import time
from typing import NamedTuple

MISSING_VERSION = 0
CHANGES_PER_BATCH = 1000


class Change(NamedTuple):
  """A change of an object.

  Attributes:
    revision: Platform-wide sequence number of the change.
    key: Key of the object.
    version: New version, `MISSING_VERSION` for a delete.
    value: New value, empty for a delete.
  """

  revision: int
  key: str
  version: int
  value: bytes


class VersionConflictError(Exception):
  """The current version of the object is not the expected one.

  Attributes:
    current: The current version, `MISSING_VERSION` if there is no object.
  """

  def __init__(self, current: int):
    super().__init__(f'current version is {current}')
    self.current = current


class RevisionGoneError(Exception):
  """The changes after the revision are no longer kept."""


class ObjectStore:
  """Objects by key, with a bounded history of changes for watches."""

  def __init__(self, history: int):
    self._changed = threading.Condition()
    self._change_by_key: dict[str, Change] = {}
    self._history = collections.deque[Change](maxlen=history)
    self._revision = 0
    self._interruptions = 0

  def get(self, key: str) -> Change | None:
    """Returns the last change of an object, None if it does not exist."""
    with self._changed:
      return self._change_by_key.get(key)

  def list_objects(self, prefix: str) -> tuple[int, list[Change]]:
    """Returns the current revision and the objects under a prefix."""
    with self._changed:
      changes = [
          change
          for key, change in sorted(self._change_by_key.items())
          if key.startswith(prefix)
      ]
      return self._revision, changes

  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """Writes an object and returns its new version.

    Raises:
      VersionConflictError: The current version is not the expected one.
    """
    with self._changed:
      self._check_version(key, expected_version)
      self._revision += 1
      change = Change(self._revision, key, self._revision, value)
      self._change_by_key[key] = change
      self._append_change(change)
      return change.version

  def delete(self, key: str, expected_version: int) -> None:
    """Deletes an object.

    Raises:
      VersionConflictError: The current version is not the expected one.
    """
    with self._changed:
      self._check_version(key, expected_version)
      if key not in self._change_by_key:
        return
      self._revision += 1
      del self._change_by_key[key]
      self._append_change(Change(self._revision, key, MISSING_VERSION, b''))

  def watch(
      self, prefix: str, after: int, timeout_s: float, interruptions: int
  ) -> tuple[int, list[Change]] | None:
    """Waits for changes under a prefix.

    Args:
      prefix: Prefix of the keys to watch.
      after: Revision after which changes are returned.
      timeout_s: Maximum wait.
      interruptions: Value of `interruptions` when the call was admitted. Any
        interruption since then ends the watch, even one from before it waits.

    Returns:
      The revision for the next watch and the changes; None if interrupted.

    Raises:
      RevisionGoneError: Changes after the revision are no longer kept, or the
        revision does not exist yet.
    """
    deadline = time.monotonic() + timeout_s
    with self._changed:
      seen = after
      while True:
        changes = self._changes_after(prefix, seen)
        seen = max(seen, self._revision)
        remaining_s = deadline - time.monotonic()
        if self._interruptions != interruptions:
          return None
        if changes or remaining_s <= 0:
          break
        self._changed.wait(remaining_s)
    if len(changes) > CHANGES_PER_BATCH:
      changes = changes[:CHANGES_PER_BATCH]
      seen = changes[-1].revision
    return seen, changes

  @property
  def interruptions(self) -> int:
    """Number of times that all watches were interrupted."""
    with self._changed:
      return self._interruptions

  def interrupt_watches(self) -> None:
    """Ends all waiting watches."""
    with self._changed:
      self._interruptions += 1
      self._changed.notify_all()

  def _changes_after(self, prefix: str, after: int) -> list[Change]:
    oldest = self._history[0].revision if self._history else 1
    if after < oldest - 1 or after > self._revision:
      raise RevisionGoneError
    changes = []
    for change in reversed(self._history):
      if change.revision <= after:
        break
      if change.key.startswith(prefix):
        changes.append(change)
    changes.reverse()
    return changes

  def _check_version(self, key: str, expected_version: int) -> None:
    change = self._change_by_key.get(key)
    current = change.version if change else MISSING_VERSION
    if current != expected_version:
      raise VersionConflictError(current)

  def _append_change(self, change: Change) -> None:
    self._history.append(change)
    self._changed.notify_all()


class TokenBucket:
  """A rate limiter with a burst of one second's rate."""

  def __init__(self, per_s: float):
    self._per_s = per_s
    self._tokens = per_s
    self._filled_at = time.monotonic()
    self._lock = threading.Lock()

  def take(self) -> bool:
    """Takes a token of the rate limit; returns whether one was available."""
    with self._lock:
      now = time.monotonic()
      self._tokens += (now - self._filled_at) * self._per_s
      self._tokens = min(self._tokens, self._per_s)
      self._filled_at = now
      if self._tokens < 1:
        return False
      self._tokens -= 1
      return True
