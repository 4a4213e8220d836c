"""What must hold in a soak run, judged from what callers and endpoints saw."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Runs that one request may have, by route.
MAX_RUNS_BY_ROUTE = {'unsafe': 1, 'read': 1, 'safe': 2, 'ask': 2}
STREAM_ROUTES = ('ask', 'read')


class Observation(NamedTuple):
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


class Outage(NamedTuple):
  """A stretch of time in which a gateway could not answer, or not in time."""

  gateway: str
  began_at: float
  ended_at: float


def find_violations(
    observations: Iterable[Observation],
    runs: collections.Counter[str],
    outages: list[Outage],
    events: int,
) -> list[str]:
  """Returns what did not hold, one line each.

  Args:
    observations: All requests.
    runs: How often each one ran, over all endpoints.
    outages: When gateways were killed, paused or starting.
    events: Events of a whole stream.
  """
  violations = []
  for observation in observations:
    count = runs[observation.request]
    if count > MAX_RUNS_BY_ROUTE[observation.route]:
      violations.append(f'TWICE: {_describe(observation)} ran {count} times')
    if observation.status in NOT_RUN_STATUSES and count:
      violations.append(
          f'UNTRUE: {_describe(observation)} ran, status {observation.status}'
      )
    if observation.status == 200 and not _is_correct(observation, events):
      violations.append(
          f'WRONG: {_describe(observation)} got {observation.body[-80:]!r}'
      )
    if (observation.status == 0 or observation.is_hung) and not _is_excused(
        observation, outages
    ):
      word = 'HUNG' if observation.is_hung else 'SILENT'
      violations.append(f'{word}: {_describe(observation)} has no answer')
  return violations


def _describe(observation: Observation) -> str:
  return (
      f'{observation.route} {observation.request} at {observation.gateway},'
      f' {observation.began_at:.2f} to {observation.ended_at:.2f} s'
  )


def _is_correct(observation: Observation, events: int) -> bool:
  if observation.route not in STREAM_ROUTES:
    if not observation.is_whole:
      return True
    return observation.body.endswith(b':' + observation.request.encode())
  pieces = observation.body.split(b'\n\n')
  complete_events, remainder = pieces[:-1], pieces[-1]
  for number, piece in enumerate(complete_events, 1):
    if piece != b'id: %d\ndata: piece %d' % (number, number):
      return False
  if observation.is_whole:
    return len(complete_events) == events and not remainder
  # Only whole events are passed on.
  return not remainder


def _is_excused(observation: Observation, outages: list[Outage]) -> bool:
  for outage in outages:
    if outage.gateway != observation.gateway:
      continue
    if (
        observation.began_at < outage.ended_at
        and outage.began_at < observation.ended_at
    ):
      return True
  return False
