"""Splits a stream of server-sent events into complete events."""

import re
from typing import NamedTuple

# Longer events are refused.
MAX_EVENT_BYTES = 1 << 20
_EVENT_END = re.compile(rb'\n\n|\r\n\r\n')
# An end may begin in this many bytes before those that are not searched yet.
_END_OVERLAP_BYTES = 3


class Event(NamedTuple):
  """One complete event.

  Attributes:
    raw: Its bytes, including the blank line at the end.
    id: Its numeric id, None if it has none.
  """

  raw: bytes
  id: int | None

  @property
  def is_comment(self) -> bool:
    """Whether it holds nothing for the caller, as to keep a stream alive."""
    lines = self.raw.splitlines()
    return all(line.startswith(b':') for line in lines if line)


class EventSplitter:
  """Buffers bytes until they form complete events."""

  def __init__(self):
    self._partial = bytearray()

  @property
  def has_partial_event(self) -> bool:
    """Whether an incomplete event is buffered."""
    return bool(self._partial)

  @property
  def partial_bytes(self) -> int:
    """Size of the incomplete event that is buffered."""
    return len(self._partial)

  def feed(self, data: bytes) -> list[Event]:
    """Adds bytes and returns the events that they complete.

    Raises:
      ValueError: The buffered event exceeds `MAX_EVENT_BYTES`.
    """
    search_from = max(0, len(self._partial) - _END_OVERLAP_BYTES)
    self._partial += data
    events = []
    start = 0
    for end in _EVENT_END.finditer(self._partial, search_from):
      raw = bytes(memoryview(self._partial)[start : end.end()])
      events.append(Event(raw, _parse_id(raw)))
      start = end.end()
    del self._partial[:start]
    if len(self._partial) > MAX_EVENT_BYTES:
      raise ValueError('server-sent event exceeds the maximum size')
    return events


def _parse_id(raw: bytes) -> int | None:
  for line in raw.splitlines():
    if not line.startswith(b'id:'):
      continue
    value = line[3:].strip()
    if value.isdigit():
      return int(value)
  return None
