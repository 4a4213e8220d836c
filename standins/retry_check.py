"""Checks the arrivals at a service beyond the first of each request."""

import bisect
import collections
import enum
from collections.abc import Iterable
from typing import NamedTuple


class CallKind(enum.Enum):
  """Kind of a call that arrived at an endpoint."""

  # A request, or a prefill call that the endpoint rejected.
  CALL = 'call'
  # A prefill call that the endpoint accepted; the first of a request is free.
  PREFILL = 'prefill'
  # A call made by a run that was itself a repeat; always a repeat.
  REPEATED = 'repeated'


class Arrival(NamedTuple):
  """A call that arrived at an endpoint.

  Attributes:
    at: When it arrived (s).
    request: Id of the request.
    service: Name of the endpoint's service.
    kind: Kind of the call.
  """

  at: float
  request: str
  service: str
  kind: CallKind


class Request(NamedTuple):
  """A request that a caller sent on a route to a service.

  Attributes:
    at: When it was sent (s).
    service: Name of the service.
  """

  at: float
  service: str


class Bound(NamedTuple):
  """The number of extra arrivals that a service may get in a window.

  Attributes:
    ratio: Extra arrivals allowed per request.
    slack: Further extra arrivals allowed per window.
    window_s: Length of the window.
  """

  ratio: float
  slack: float
  window_s: float


class Window(NamedTuple):
  """A window and its extra arrivals.

  Attributes:
    service: Name of the service.
    began_at: Begin of the window.
    extra: Number of extra arrivals in it.
    allowed: Number of extra arrivals that are allowed.
  """

  service: str
  began_at: float
  extra: int
  allowed: float


def extra_arrivals(arrivals: Iterable[Arrival]) -> list[tuple[float, str]]:
  """Returns time and service of the arrivals that are extra, in order."""
  extra = []
  arrived: set[tuple[str, str]] = set()
  prefilled: set[tuple[str, str]] = set()
  for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
    key = (arrival.service, arrival.request)
    if arrival.kind is CallKind.PREFILL and key not in prefilled:
      prefilled.add(key)
      continue
    if arrival.kind is CallKind.REPEATED or key in arrived:
      extra.append((arrival.at, arrival.service))
    arrived.add(key)
  return extra


def worst_windows(
    arrivals: Iterable[Arrival], requests: Iterable[Request], bound: Bound
) -> list[Window]:
  """Returns, for each service, the window nearest to or most over its bound."""
  worst = []
  for windows in _windows_of_services(arrivals, requests, bound):
    worst.append(_worst(windows))
  return worst


def find_excess(
    arrivals: Iterable[Arrival], requests: Iterable[Request], bound: Bound
) -> list[Window]:
  """Returns windows over the bound: of those that overlap, the worst one."""
  found: list[Window] = []
  for windows in _windows_of_services(arrivals, requests, bound):
    group: list[Window] = []
    for window in windows:
      if window.extra <= window.allowed:
        continue
      if group and window.began_at >= group[0].began_at + bound.window_s:
        found.append(_worst(group))
        group = []
      group.append(window)
    if group:
      found.append(_worst(group))
  return found


def all_windows(
    arrivals: Iterable[Arrival], requests: Iterable[Request], bound: Bound
) -> list[Window]:
  """Returns one window for each set of arrivals and requests that one holds."""
  windows = []
  for of_service in _windows_of_services(arrivals, requests, bound):
    windows += of_service
  return windows


def _worst(windows: list[Window]) -> Window:
  return max(windows, key=lambda window: window.extra - window.allowed)


def _windows_of_services(
    arrivals: Iterable[Arrival], requests: Iterable[Request], bound: Bound
) -> list[list[Window]]:
  extra_by_service = collections.defaultdict(list)
  for at, service in extra_arrivals(arrivals):
    extra_by_service[service].append(at)
  requests_by_service = collections.defaultdict(list)
  for request in sorted(requests):
    requests_by_service[request.service].append(request.at)
  found = []
  for service, extra in sorted(extra_by_service.items()):
    found.append(_windows(service, extra, requests_by_service[service], bound))
  return found


def _windows(
    service: str, extra: list[float], requests: list[float], bound: Bound
) -> list[Window]:
  """Returns one window for each set of arrivals and requests that one holds.

  A window holds its begin and not its end, so that the counts only change just
  after the times at which something enters or leaves a window.
  """
  length = bound.window_s
  begins = set()
  for at in extra:
    begins |= {at, at - length}
  for at in requests:
    begins |= {at - length, at - length / 2, at, at + length / 2, at + length}
  windows = []
  for began_at in sorted(begins):
    most = 0
    for shift in (0.0, length / 2, length):
      most = max(most, _count(requests, began_at - shift, length))
    windows.append(
        Window(
            service,
            began_at,
            _count(extra, began_at, length),
            bound.ratio * most + bound.slack,
        )
    )
  return windows


def _count(times: list[float], began_at: float, length: float) -> int:
  first = bisect.bisect_left(times, began_at)
  return bisect.bisect_left(times, began_at + length) - first
