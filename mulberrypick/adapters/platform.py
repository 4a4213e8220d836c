"""Interface to the platform, independent of the wire format.

Each method makes one call, and the platform limits the rate of calls. There is
one module per wire format that implements `Platform`; URLs and fields of the
platform are known only there.
"""

import abc
from typing import NamedTuple

from mulberrypick.core import records

MISSING_VERSION = 0
MAX_VALUE_BYTES = 1_000_000


class VersionedValue(NamedTuple):
  """An object at one version.

  Attributes:
    key: Key of the object.
    version: Version, which grows with every change of the object;
      `MISSING_VERSION` in a watch event means that the object was deleted.
    value: Content, at most `MAX_VALUE_BYTES` long.
  """

  key: str
  version: int
  value: bytes


class WatchBatch(NamedTuple):
  """Changes under a prefix.

  Attributes:
    revision: Platform-wide revision from which to continue to watch.
    changes: The changed objects, oldest first; empty after a timeout.
  """

  revision: int
  changes: list[VersionedValue]


class Listing(NamedTuple):
  """All objects under a prefix.

  Attributes:
    revision: Platform-wide revision of the listing.
    value_by_key: The objects by their keys.
  """

  revision: int
  value_by_key: dict[str, VersionedValue]


class Platform(abc.ABC):
  """Client of the platform's object store and list of hosts.

  Every method raises `PlatformUnavailableError` if the platform refused the
  call or could not be reached; the call then had no effect. Every method may
  block up to the timeout with which the client was created.
  """

  @abc.abstractmethod
  def get(self, key: str) -> VersionedValue | None:
    """Reads an object; returns None if it does not exist."""

  @abc.abstractmethod
  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """Writes an object if its version is the expected one.

    Args:
      key: Key of the object.
      value: New content of the object.
      expected_version: Version to replace; `MISSING_VERSION` creates the
        object.

    Returns:
      The new version.

    Raises:
      ConflictError: The object has another version.
      PlatformAnswerLostError: The write may or may not have taken effect.
    """

  @abc.abstractmethod
  def delete(self, key: str, expected_version: int) -> None:
    """Deletes an object if its version is the expected one.

    Raises:
      ConflictError: The object has another version.
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
      after_revision: Only changes after this revision are returned.
      timeout_s: Maximum time to wait; without a change by then, the result has
        no changes.

    Raises:
      WatchExpiredError: The platform no longer keeps changes since then.
    """

  @abc.abstractmethod
  def list_hosts(self) -> list[records.Host]:
    """Reads the list of live and leaving hosts, which may be out of date."""
