"""Requests that crash the replicas that run them.

A request crashes replicas because of its body, whenever it is sent, or because
of one part of its prompt, whatever else it holds.
"""

import enum
from collections.abc import Mapping

# Start of the body of such a request. A value of `CrashPoint` follows.
CRASH_MARKER = b'crash='
# Start of the id of a prompt part that crashes replicas, unless it is the last
# part. The number of a `CrashPoint` in `PART_POINTS` follows, then any digits.
PART_MARKER = 'c0de'
_PARTS_HEADER = 'x-mulberrypick-prefix-hash'
# Events that a stream sends before it crashes its replica.
EVENTS_BEFORE_CRASH = 2


class CrashPoint(enum.Enum):
  """When and how a request crashes the replicas that run it.

  In a silent crash the connections stay open and nothing more is sent, as if
  the machine had lost power.
  """

  PREFILL = 'prefill'
  RUN = 'run'
  STREAM = 'stream'
  SILENT_RUN = 'silent_run'
  SILENT_STREAM = 'silent_stream'

  @property
  def is_silent(self) -> bool:
    """Whether the connections stay open."""
    return self in (CrashPoint.SILENT_RUN, CrashPoint.SILENT_STREAM)


def parse_body(body: bytes) -> CrashPoint | None:
  """Returns where the body of a request makes replicas crash, or None."""
  if not body.startswith(CRASH_MARKER):
    return None
  return CrashPoint(body.removeprefix(CRASH_MARKER).split(b' ')[0].decode())


# Crashes that a part can cause. Reading the prompt alone causes none.
PART_POINTS = (
    CrashPoint.RUN,
    CrashPoint.STREAM,
    CrashPoint.SILENT_RUN,
    CrashPoint.SILENT_STREAM,
)


def make_part(point: CrashPoint, number: int = 0) -> str:
  """Returns the id of a part that crashes replicas."""
  return f'{PART_MARKER}{PART_POINTS.index(point)}{number:03x}'


def body_of(body: bytes, headers: Mapping[str, str]) -> bytes:
  """Returns the body by which a request with these headers crashes replicas.

  Args:
    body: The body of the request.
    headers: Its headers, with names in lower case.
  """
  parts = headers.get(_PARTS_HEADER, '').split(',')
  for part in parts[:-1]:
    key = part.strip().partition(':')[0]
    if key.startswith(PART_MARKER):
      point = PART_POINTS[int(key.removeprefix(PART_MARKER)[0])]
      return CRASH_MARKER + point.value.encode()
  return body
