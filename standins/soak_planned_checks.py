"""Checks of requests around planned work, from what was seen outside.

The rules LOST, TWICE, REFUSED and MIXED as the platform states them, for runs
without any disturbance.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# A channel may close without a response so long after the last byte (s).
LOSS_SLACK_S = 0.2
# Requests that were sent later than this after SIGTERM are never excused (s).
EXCUSED_SENDS_S = 3.0
# Part of the grace period before the time in which work excuses a cut.
EXCUSED_WORK_FROM = 5 / 6
# Statuses that promise that the request did not run.
REFUSALS = (408, 421, 429, 503)
IDEMPOTENT_ROUTES = ('safe', 'ask')


class Request(NamedTuple):
  """What a caller saw of one request; times are on one clock (s).

  Attributes:
    request: Its id.
    route: Name of the route.
    gateway: Name of the gateway that it was sent to.
    way: How it was sent.
    began_at: When its first byte was sent.
    sent_at: When its last byte was sent, None if it never was.
    closed_at: When its response or the connection ended.
    status: Status of the response, 0 without one.
    is_whole: Whether the response was complete by its framing.
    is_right: Whether the body was that of the endpoint.
    limit_s: The shortest of the time limits that may be in force.
    is_behind_close: Whether an earlier response on the connection said that it
      was the last one.
  """

  request: str
  route: str
  gateway: str
  way: str
  began_at: float
  sent_at: float | None
  closed_at: float
  status: int
  is_whole: bool
  is_right: bool
  limit_s: float
  is_behind_close: bool


class Run(NamedTuple):
  """What an endpoint saw of one execution.

  Attributes:
    began_at: When it began.
    ended_at: When the endpoint had ended its work or its caller had left;
      infinite if neither.
    has_broken_off: Whether the endpoint broke it off by itself.
  """

  began_at: float
  ended_at: float
  has_broken_off: bool = False


class Stop(NamedTuple):
  """A planned stop of a gateway.

  Attributes:
    gateway: Its name.
    at: When SIGTERM was sent.
    grace_s: Time until SIGKILL.
    gone_at: When the process had ended.
    status: Its exit status.
  """

  gateway: str
  at: float
  grace_s: float
  gone_at: float
  status: int


def find_violations(
    requests: Sequence[Request],
    runs: Mapping[str, Sequence[Run]],
    stops: Sequence[Stop],
) -> list[str]:
  """Returns the violations found, one line each."""
  violations = []
  for request in requests:
    own_runs = runs.get(request.request, ())
    is_idempotent = request.route in IDEMPOTENT_ROUTES
    stop = _find_stop(request, stops)
    text = _describe(request, own_runs, stop)
    if _is_lost(request, own_runs, stop):
      violations.append(f'LOST: {text}')
    if not is_idempotent and len(own_runs) > 1:
      violations.append(f'TWICE: {text}')
    if not is_idempotent and own_runs and request.status in REFUSALS:
      violations.append(f'REFUSED: {text}')
    is_success = request.is_whole and 200 <= request.status < 300
    if is_success and not (request.is_right and own_runs):
      violations.append(f'MIXED: {text}')
  for stop in stops:
    took_s = stop.gone_at - stop.at
    if took_s >= stop.grace_s or stop.status:
      violations.append(
          f'ENDED: {stop.gateway} after {took_s:.2f} s of {stop.grace_s} s with'
          f' status {stop.status}'
      )
  return violations


def _find_stop(request: Request, stops: Sequence[Stop]) -> Stop | None:
  for stop in stops:
    if stop.gateway != request.gateway or request.closed_at < stop.at:
      continue
    if request.began_at < stop.gone_at:
      return stop
  return None


def _is_lost(request: Request, runs: Sequence[Run], stop: Stop | None) -> bool:
  """Returns whether a request that was read ended without its answer."""
  if request.is_whole or request.sent_at is None:
    return False
  if request.closed_at >= request.began_at + request.limit_s:
    return False
  if any(run.has_broken_off for run in runs):
    return False
  if not runs:
    # No request is read behind a response that says that it is the last.
    if request.is_behind_close:
      return False
    # A caller that reads slowly sees the end of the connection late.
    closed_at = min(request.closed_at, stop.gone_at if stop else float('inf'))
    return closed_at - request.sent_at > LOSS_SLACK_S
  if stop is None or request.sent_at > stop.at + EXCUSED_SENDS_S:
    return True
  excused_from = stop.at + EXCUSED_WORK_FROM * stop.grace_s
  return all(run.ended_at < excused_from for run in runs)


def _describe(request: Request, runs: Sequence[Run], stop: Stop | None) -> str:
  zero = stop.at if stop else request.began_at
  spans = ' '.join(
      f'{run.began_at - zero:.2f}..{run.ended_at - zero:.2f}' for run in runs
  )
  sent = (
      'never' if request.sent_at is None else (f'{request.sent_at - zero:.2f}')
  )
  since = 'SIGTERM' if stop else 'its first byte'
  return (
      f'{request.request} {request.route} {request.way} at {request.gateway},'
      f' status {request.status}, whole {request.is_whole}, in s after {since}:'
      f' began {request.began_at - zero:.2f}, sent {sent}, closed'
      f' {request.closed_at - zero:.2f}, ran [{spans}]'
  )
