"""What the system asks of the platform, whatever its wire format.

Every method is one counted call. Each wire format is one module that
implements `Platform`; nothing else knows a URL or a field of the platform.
"""

import abc
from typing import NamedTuple

from mulberrypick.core import records

MISSING_VERSION = 0
MAX_VALUE_BYTES = 1_000_000


class VersionedValue(NamedTuple):
  """One object as it stood at a version.

  Attributes:
    key: Key of the object.
    version: Grows with every change of this object; `MISSING_VERSION` in a
      watch event says that the object was deleted.
    value: The bytes, at most `MAX_VALUE_BYTES`.
  """

  key: str
  version: int
  value: bytes


class WatchBatch(NamedTuple):
  """What changed under a prefix.

  Attributes:
    revision: The platform-wide revision to go on from.
    changes: The changed objects, oldest first; empty after a timeout.
  """

  revision: int
  changes: list[VersionedValue]


class Listing(NamedTuple):
  """All objects under a prefix.

  Attributes:
    revision: The platform-wide revision of the listing.
    value_by_key: The objects.
  """

  revision: int
  value_by_key: dict[str, VersionedValue]


class Platform(abc.ABC):
  """The platform's object service and its list of hosts.

  Every method raises `PlatformUnavailableError` when the call had no effect,
  and may block up to the timeout that the implementation was made with.
  """

  @abc.abstractmethod
  def get(self, key: str) -> VersionedValue | None:
    """Reads one object, or None if there is none."""

  @abc.abstractmethod
  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """Writes an object if it stands at the expected version.

    Args:
      key: Key of the object.
      value: The new bytes.
      expected_version: The version to replace; `MISSING_VERSION` creates.

    Returns:
      The new version.

    Raises:
      ConflictError: The object stands at another version.
      PlatformAnswerLostError: The write may or may not have taken effect.
    """

  @abc.abstractmethod
  def delete(self, key: str, expected_version: int) -> None:
    """Deletes an object if it stands at the expected version.

    Raises:
      ConflictError: The object stands at another version.
      PlatformAnswerLostError: The delete may or may not have taken effect.
    """

  @abc.abstractmethod
  def list_objects(self, prefix: str) -> Listing:
    """Reads all objects under a prefix."""

  @abc.abstractmethod
  def watch(
      self, prefix: str, after_revision: int, timeout_s: float
  ) -> WatchBatch:
    """Waits for changes under a prefix.

    Args:
      prefix: Prefix of the keys.
      after_revision: Only changes after this revision are told.
      timeout_s: Longest wait; then the batch is empty.

    Raises:
      WatchExpiredError: The revision is no longer kept.
    """

  @abc.abstractmethod
  def list_hosts(self) -> list[records.Host]:
    """Reads the lagging list of live and leaving hosts."""
