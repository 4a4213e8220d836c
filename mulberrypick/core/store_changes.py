"""Changes of the store that a relay passes on to the members of its group.

Answers load pattern: hundreds of hosts, of which each would read each change
from the store, whose calls are limited and priced. A member applies a batch
only if it knows all that came before; otherwise it reads the store itself.
"""

from typing import NamedTuple

# Largest content of the batches in one message. More is read from the store,
# which has a faster link than a small host that sends to ten others.
MAX_BYTES = 16 * 1024


class Change(NamedTuple):
  """One changed object.

  Attributes:
    name: Its name.
    revision: Its revision; that of its last content if it was deleted.
    spec: Its content as JSON.
    is_deleted: Whether it was deleted.
  """

  name: str
  revision: int
  spec: bytes
  is_deleted: bool


class ChangeBatch(NamedTuple):
  """All changes of one kind of objects between two revisions.

  Attributes:
    kind: Kind of the objects.
    after: Revision after which it begins.
    revision: Revision up to which it is complete.
    changes: The changed objects, in order.
  """

  kind: str
  after: int
  revision: int
  changes: tuple[Change, ...]


def fits(batch: ChangeBatch) -> bool:
  """Returns whether a batch is small enough to be passed on."""
  return sum(len(change.spec) for change in batch.changes) <= MAX_BYTES


def take_new(batch: ChangeBatch, revision: int) -> tuple[Change, ...] | None:
  """Returns the changes of a batch that a host applies.

  A host that knows a part of them applies all again, in order: which ones are
  new can't be told, as a deleted object has the revision of its last content.

  Args:
    batch: The batch.
    revision: Revision up to which the host knows all changes of the kind.

  Returns:
    The changes; None if others between them and the revision are missing.
  """
  if batch.after > revision:
    return None
  return batch.changes if revision < batch.revision else ()


class ChangeLog:
  """Batches that a relay has still to send, in order."""

  def __init__(self):
    self._revision_by_kind: dict[str, int] = {}
    self._unsent: list[ChangeBatch] = []

  def record_known(self, kind: str, revision: int) -> None:
    """Records that changes up to a revision are known, and not passed on."""
    self._revision_by_kind[kind] = revision

  def record_changes(
      self, kind: str, revision: int, changes: list[Change]
  ) -> None:
    """Records changes that are passed on."""
    after = self._revision_by_kind.get(kind)
    self._revision_by_kind[kind] = revision
    if after is None:
      return
    batch = ChangeBatch(kind, after, revision, tuple(changes))
    if fits(batch):
      self._unsent.append(batch)

  def take_unsent(self) -> list[ChangeBatch]:
    """Returns the batches for the next message.

    Those that do not fit into one message are left out, and read from the
    store.
    """
    unsent, self._unsent = self._unsent, []
    taken, size = [], 0
    for batch in unsent:
      size += sum(len(change.spec) for change in batch.changes)
      if size <= MAX_BYTES:
        taken.append(batch)
    return taken
