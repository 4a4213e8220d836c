"""Builds the timeline of one request from the logs of all hosts."""

import re
from collections.abc import Iterable
from typing import NamedTuple

# Time before the first and after the last line of a request within which lines
# about its endpoints are included.
CONTEXT_WINDOW_S = 3.0
# The same for lines about the life of its processes: a stop begins a whole
# grace period before it ends requests.
LIFE_WINDOW_S = 60.0
LIFE_EVENTS = (
    'starting',
    'stopping',
    'stop_failed',
    'task_ended',
    'stopped',
    'process_failed',
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r'(\d\d):(\d\d):(\d\d),(\d{3})')
_DAY_S = 86400.0


class LogLine(NamedTuple):
  """One line of a log.

  Attributes:
    at_s: Time in seconds since midnight.
    value_by_field: Values of all fields, by name.
  """

  at_s: float
  value_by_field: dict[str, str]


def parse_line(text: str) -> LogLine | None:
  """Parses a key=value line; returns None if it has no time or no event."""
  value_by_field = {}
  for key, value in _FIELD.findall(text):
    value_by_field[key] = value.strip('"')
  found = _TIME.search(value_by_field.get('at', ''))
  if found is None or 'event' not in value_by_field:
    return None
  hours, minutes, seconds, millis = (int(part) for part in found.groups())
  at_s = hours * 3600 + minutes * 60 + seconds + millis / 1000
  return LogLine(at_s, value_by_field)


def build_timeline(lines: Iterable[str], request_id: str) -> list[str]:
  """Returns the log lines that concern a request, ordered by time.

  Args:
    lines: Log lines of all hosts, in any order.
    request_id: The request's id.

  Returns:
    All lines of the request. Among them, each indented by two spaces, are the
    lines of all hosts about requests with the same content, and other lines
    that its hosts logged at about that time, see `CONTEXT_WINDOW_S` and
    `LIFE_WINDOW_S`: those about its endpoints, and those about no endpoint,
    for example about the store or the configuration.
  """
  parsed = []
  for text in lines:
    line = parse_line(text)
    if line is not None:
      parsed.append(line)
  own = [line for line in parsed if _mentions(line, request_id)]
  if not own:
    return []
  endpoints, hosts, hashes = set(), set(), set()
  for line in own:
    hashes.add(line.value_by_field.get('request_hash', ''))
    hosts.add(line.value_by_field.get('host', ''))
    for field in ('endpoint', 'reader'):
      endpoints.add(line.value_by_field.get(field, ''))
  endpoints.discard('')
  hashes.discard('')
  first, last = own[0].at_s, own[0].at_s
  for line in own:
    first, last = min(first, line.at_s), max(last, line.at_s)
  timeline = []
  for line in parsed:
    is_own = _mentions(line, request_id)
    has_same_content = line.value_by_field.get('request_hash') in hashes
    if not (
        is_own
        or has_same_content
        or _is_around(line, first, last, endpoints, hosts)
    ):
      continue
    timeline.append((line.at_s, '' if is_own else '  ', line))
  timeline.sort(key=lambda item: item[0])
  return [indent + _format(line) for _, indent, line in timeline]


def _mentions(line: LogLine, request_id: str) -> bool:
  fields = line.value_by_field
  return request_id in (fields.get('request'), fields.get('request_id'))


def _is_around(
    line: LogLine,
    first: float,
    last: float,
    endpoints: set[str],
    hosts: set[str],
) -> bool:
  fields = line.value_by_field
  window_s = CONTEXT_WINDOW_S
  if fields['event'] in LIFE_EVENTS:
    window_s = LIFE_WINDOW_S
  if not first - window_s <= line.at_s <= last + window_s:
    return False
  if 'request' in fields or fields.get('host') not in hosts:
    return False
  if 'endpoint' in fields:
    return fields['endpoint'] in endpoints
  return True


def _format(line: LogLine) -> str:
  fields = dict(line.value_by_field)
  for name in ('at', 'level', 'program'):
    fields.pop(name, None)
  event = fields.pop('event')
  host = fields.pop('host', '')
  seconds = line.at_s % _DAY_S
  minutes, seconds = divmod(seconds, 60)
  hours, minutes = divmod(int(minutes), 60)
  rest = ' '.join(f'{key}={value}' for key, value in fields.items() if value)
  return f'{hours:02}:{minutes:02}:{seconds:06.3f} {host} {event} {rest}'
