"""Checks of a soak run, based on what callers and endpoints observed."""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from standins import event_versions
from standins import limit_check

# Statuses that guarantee that the request did not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Maximum number of executions of one request, by route.
MAX_RUNS_BY_ROUTE = {'unsafe': 1, 'read': 1, 'safe': 2, 'ask': 2}
STREAM_ROUTES = ('ask', 'read')
# A request that crashed this many endpoints may reach others in at most
# `MAX_LATE_RETRIES` requests sent later than `STABLE_S` after the last of these
# crashes, by gateways that were undisturbed for `STABLE_S`.
CRASHES_BEFORE_REFUSAL = 3
MAX_LATE_RETRIES = 3
STABLE_S = 3.0
# Time after the end of an outage in which a gateway learns what others know.
RESTART_MARGIN_S = 1.0


class Observation(NamedTuple):
  """What a caller observed of one request.

  Attributes:
    request: Id of the request.
    route: Name of the route.
    gateway: Name of the gateway that it was sent to.
    began_at: When it was sent, in seconds after the start of the run.
    ended_at: When its answer ended, in seconds after the start of the run.
    status: HTTP status; 0 if the connection closed without one.
    body: The part of the body that arrived.
    is_whole: Whether the body arrived completely.
    is_hung: Whether the answer was incomplete long after the deadline.
    head_at: When the head of its answer arrived, in seconds after the start.
    limited_by: Name of the endpoint that named a limit in its answer, empty if
      none did.
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
  head_at: float = 0.0
  limited_by: str = ''


class LimitedEndpoint(NamedTuple):
  """An endpoint that limited the requests per second.

  Attributes:
    name: Its name.
    limit: The limit.
    named_at: When it began to name the limit, in seconds after the start.
    arrivals: When requests arrived from then on, and their ids.
  """

  name: str
  limit: float
  named_at: float
  arrivals: list[tuple[float, str]]


class Outage(NamedTuple):
  """A period in which a gateway could not answer, or not in time."""

  gateway: str
  began_at: float
  ended_at: float


def find_violations(
    observations: Iterable[Observation],
    runs: collections.Counter[str],
    outages: list[Outage],
    events: int,
) -> list[str]:
  """Returns the violations found, one line each.

  Args:
    observations: Observations of all requests.
    runs: Number of executions by request id, over all endpoints.
    outages: Periods in which gateways were killed, paused or starting.
    events: Number of events in a complete stream.
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
    versions = event_versions.versions(observation.body)
    if observation.route in STREAM_ROUTES and len(versions) > 1:
      violations.append(
          f'ORDER: {_describe(observation)} has events of {sorted(versions)}'
      )
    if (observation.status == 0 or observation.is_hung) and not _is_excused(
        observation, outages
    ):
      word = 'HUNG' if observation.is_hung else 'SILENT'
      violations.append(f'{word}: {_describe(observation)} has no answer')
  return violations


def find_late_retries(
    observations: Iterable[Observation],
    crashes: list[float],
    arrivals: list[tuple[float, str]],
    disturbances: list[Outage],
    prefix: str,
    crashes_before: int = CRASHES_BEFORE_REFUSAL,
) -> list[str]:
  """Returns a violation if a crashing request was sent too often, too late.

  Args:
    observations: Observations of all requests.
    crashes: When this request crashed endpoints, in order.
    arrivals: When endpoints received crashing requests, and the ids.
    disturbances: Periods in which a gateway, its path to the store, or the
      store was disturbed.
    prefix: Prefix of the ids of this request.
    crashes_before: Number of crashes after which the bound holds.
  """
  if len(crashes) < crashes_before:
    return []
  late_from = crashes[crashes_before - 1] + STABLE_S
  late_requests = set()
  for at, request in arrivals:
    if request.startswith(prefix) and at > late_from:
      late_requests.add(request)
  late = []
  for observation in observations:
    if observation.request not in late_requests:
      continue
    if not is_disturbed(observation, disturbances):
      late.append(observation.request)
  if len(late) <= MAX_LATE_RETRIES:
    return []
  return [
      f'BUDGET: {prefix} reached endpoints in {len(late)} retries after'
      f' {late_from:.2f} s, {len(crashes)} endpoints crashed'
  ]


def find_limit_violations(
    observations: Iterable[Observation],
    endpoints: Iterable[LimitedEndpoint],
    outages: list[Outage],
) -> list[str]:
  """Returns the endpoints that got more requests than they asked for.

  `STABLE_S` after an endpoint named its limit, all gateways count as told.
  Gateways that were killed or paused are excused for a second more.

  Args:
    observations: Observations of all requests.
    endpoints: The endpoints.
    outages: Periods in which gateways were killed, paused or starting.
  """
  gateway_by_request = {}
  told_by_endpoint: dict[str, dict[str, float]] = {}
  for observation in observations:
    gateway = observation.gateway
    gateway_by_request[observation.request] = gateway
    if observation.limited_by:
      told = told_by_endpoint.setdefault(observation.limited_by, {})
      told[gateway] = min(told.get(gateway, math.inf), observation.head_at)
  violations = []
  for endpoint in endpoints:
    binding_at = endpoint.named_at + STABLE_S
    told = told_by_endpoint.get(endpoint.name, {})
    told_at_by_host = {}
    for gateway in {'', *gateway_by_request.values()}:
      told_at = max(told.get(gateway, math.inf), endpoint.named_at)
      told_at_by_host[gateway] = min(told_at, binding_at)
    arrivals = []
    for at, request in endpoint.arrivals:
      gateway = gateway_by_request.get(request, '')
      if not _is_out(gateway, at, outages):
        arrivals.append(limit_check.Arrival(at, gateway))
    worst = limit_check.count_worst_window(
        arrivals, told_at_by_host, binding_at
    )
    if worst > limit_check.allowed_requests(endpoint.limit):
      violations.append(
          f'LIMIT: {endpoint.name} with {endpoint.limit} requests per second'
          f' got {worst} in {limit_check.WINDOW_S} s'
      )
  return violations


def _is_out(gateway: str, at: float, outages: list[Outage]) -> bool:
  for outage in outages:
    if outage.gateway == gateway and (
        outage.began_at <= at <= outage.ended_at + RESTART_MARGIN_S
    ):
      return True
  return False


def is_disturbed(observation: Observation, disturbances: list[Outage]) -> bool:
  """Returns whether a disturbance, or its aftermath, concerns a request."""
  for outage in disturbances:
    if outage.gateway not in ('', observation.gateway):
      continue
    if (
        outage.began_at < observation.ended_at
        and outage.ended_at + STABLE_S > observation.began_at
    ):
      return True
  return False


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
    lines = piece.split(b'\n')
    if lines[:2] != [b'id: %d' % number, b'data: piece %d' % number]:
      return False
    # A comment may name the software version.
    if any(not line.startswith(b': ') for line in lines[2:]):
      return False
  if observation.is_whole:
    return len(complete_events) == events and not remainder
  # A gateway forwards only complete events.
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
