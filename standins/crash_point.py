"""Requests that crash the replicas that run them."""

import enum

# Start of the body of such a request. A value of `CrashPoint` follows.
CRASH_MARKER = b'crash='
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
