"""What must hold in a soak run, judged from what callers and endpoints saw."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Runs that one request may have, by route.
RUNS_MOST = {'unsafe': 1, 'read': 1, 'safe': 2, 'ask': 2}
STREAMS = ('ask', 'read')


class Seen(NamedTuple):
  """What a caller saw of one request.

  Attributes:
    request: Its id.
    route: Its route.
    gateway: Name of the gateway that it was sent to.
    began_at: When it was sent, in seconds after the start.
    ended_at: When its answer ended.
    status: The status; 0 if the connection ended without one.
    body: What arrived of the body.
    is_whole: Whether the body came to its end.
    is_hung: Whether nothing came long after its deadline.
  """

  request: str
  route: str
  gateway: str
  began_at: float
  ended_at: float
  status: int
  body: bytes
  is_whole: bool
  is_hung: bool


class Span(NamedTuple):
  """A stretch of time in which a gateway could not answer, or not in time."""

  gateway: str
  began_at: float
  ended_at: float


def judge(
    seen: Iterable[Seen],
    runs: collections.Counter[str],
    away: list[Span],
    events: int,
) -> list[str]:
  """Returns what did not hold, one line each.

  Args:
    seen: All requests.
    runs: How often each one ran, over all endpoints.
    away: When gateways were killed, paused or starting.
    events: Events of a whole stream.
  """
  broken = []
  for item in seen:
    count = runs[item.request]
    if count > RUNS_MOST[item.route]:
      broken.append(f'TWICE: {_name(item)} ran {count} times')
    if item.status in PROMISES and count:
      broken.append(f'UNTRUE: {_name(item)} ran, status {item.status}')
    if item.status == 200 and not _is_right(item, events):
      broken.append(f'WRONG: {_name(item)} got {item.body[-80:]!r}')
    if (item.status == 0 or item.is_hung) and not _is_excused(item, away):
      word = 'HUNG' if item.is_hung else 'SILENT'
      broken.append(f'{word}: {_name(item)} has no answer')
  return broken


def _name(item: Seen) -> str:
  return (
      f'{item.route} {item.request} at {item.gateway},'
      f' {item.began_at:.2f} to {item.ended_at:.2f} s'
  )


def _is_right(item: Seen, events: int) -> bool:
  if item.route not in STREAMS:
    if not item.is_whole:
      return True
    return item.body.endswith(b':' + item.request.encode())
  pieces = item.body.split(b'\n\n')
  whole, rest = pieces[:-1], pieces[-1]
  for number, piece in enumerate(whole, 1):
    if piece != b'id: %d\ndata: piece %d' % (number, number):
      return False
  if item.is_whole:
    return len(whole) == events and not rest
  # Only whole events are passed on.
  return not rest


def _is_excused(item: Seen, away: list[Span]) -> bool:
  for span in away:
    if span.gateway != item.gateway:
      continue
    if item.began_at < span.ended_at and span.began_at < item.ended_at:
      return True
  return False
