"""Order of the store's revisions, also if it comes back from an older copy.

The store counts eras: one more each time that it comes back from a copy that is
some seconds old. Revisions start again from that of the copy, so that the same
number may stand for other content. A position holds both, the era first, and
only grows. Without eras it is the revision.
"""

from collections.abc import Callable

# Bits of a position that hold the revision. With the era in the others it fits
# into 64 bits.
REVISION_BITS = 40
_REVISION_MASK = (1 << REVISION_BITS) - 1


def make_position(era: int, revision: int) -> int:
  """Returns the position of a revision in an era."""
  return era << REVISION_BITS | revision


def era_of(position: int) -> int:
  """Returns the era of a position, 0 if the store counts none."""
  return position >> REVISION_BITS


def revision_of(position: int) -> int:
  """Returns the revision of a position, as the store knows it."""
  return position & _REVISION_MASK


def parse_era(text: bytes | None) -> int | None:
  """Parses the era that the store states; returns None without a usable one."""
  if text is None or not text.isdigit():
    return None
  era = int(text)
  return era if era < 1 << (63 - REVISION_BITS) else None


class StoreEra:
  """The newest era of the store that this host knows of.

  Attributes:
    current: The era, 0 as long as none is known.
    is_known: Whether the store stated one.
    changes: Number of changes since the first one was known.
  """

  def __init__(self):
    self.current = 0
    self.is_known = False
    self.changes = 0
    self._on_change: Callable[[int, int], None] | None = None

  def set_callback(self, on_change: Callable[[int, int], None]) -> None:
    """Sets what is called with the old and the new era at each change."""
    self._on_change = on_change

  def observe(self, era: int) -> None:
    """Records an era that the store or another host states."""
    is_first, self.is_known = not self.is_known, True
    if era <= self.current:
      return
    old, self.current = self.current, era
    if is_first:
      return
    self.changes += 1
    if self._on_change is not None:
      self._on_change(old, era)


class GoneEntries:
  """Entries that were removed, which an older copy of the store lists again.

  An entry that is written again has another revision than the one removed.
  """

  # Removed entries that are remembered.
  MAX_REMEMBERED = 512

  def __init__(self):
    self._revision_by_name: dict[str, int] = {}
    self._gone_revision_by_name: dict[str, int] = {}

  def record(self, name: str, position: int) -> None:
    """Records an entry that is listed."""
    self._revision_by_name[name] = revision_of(position)
    self._gone_revision_by_name.pop(name, None)

  def remove(self, name: str) -> None:
    """Records that an entry is not listed any more."""
    revision = self._revision_by_name.pop(name, None)
    if revision is None:
      return
    self._gone_revision_by_name[name] = revision
    while len(self._gone_revision_by_name) > self.MAX_REMEMBERED:
      del self._gone_revision_by_name[next(iter(self._gone_revision_by_name))]

  def keep_only(self, names: set[str]) -> None:
    """Records a complete list: all other entries are gone."""
    for name in self._revision_by_name.keys() - names:
      self.remove(name)

  def is_gone(self, name: str, position: int) -> bool:
    """Returns whether an entry is one that was removed."""
    return self._gone_revision_by_name.get(name) == revision_of(position)
