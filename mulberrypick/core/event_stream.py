"""Splits a stream of server-sent events into complete events."""

from typing import NamedTuple

# Longer events are refused.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
  """One complete event.

  Attributes:
    raw: Its bytes, including the blank line at the end.
    id: Its numeric id, None if it has none.
  """

  raw: bytes
  id: int | None


class EventSplitter:
  """Buffers bytes until they form complete events."""

  def __init__(self):
    self._partial = b''

  @property
  def has_partial_event(self) -> bool:
    """Whether an incomplete event is buffered."""
    return bool(self._partial)

  def feed(self, data: bytes) -> list[Event]:
    """Adds bytes and returns the events that they complete.

    Raises:
      ValueError: The buffered event exceeds `MAX_EVENT_BYTES`.
    """
    data = self._partial + data
    events = []
    start = 0
    while True:
      end = _find_end(data, start)
      if end < 0:
        break
      raw = data[start:end]
      events.append(Event(raw, _parse_id(raw)))
      start = end
    self._partial = data[start:]
    if len(self._partial) > MAX_EVENT_BYTES:
      raise ValueError('server-sent event exceeds the maximum size')
    return events


def _find_end(data: bytes, start: int) -> int:
  ends = []
  for separator in (b'\n\n', b'\r\n\r\n'):
    at = data.find(separator, start)
    if at >= 0:
      ends.append(at + len(separator))
  return min(ends) if ends else -1


def _parse_id(raw: bytes) -> int | None:
  for line in raw.splitlines():
    if not line.startswith(b'id:'):
      continue
    value = line[3:].strip()
    if value.isdigit():
      return int(value)
  return None
