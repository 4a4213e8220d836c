"""Checks that gateways keep off endpoints that leave or want nothing."""

from collections.abc import Iterable
from typing import NamedTuple

from standins import soak_checks
from standins import soak_plan

# Time after the first answer that says that an endpoint leaves, from which on
# no new request may be sent to it, as on the platform.
DRAIN_S = 2.0
# Time after a refusal from which on an endpoint must get nothing, and the
# requests that may arrive all the same.
SETTLED_S = 0.5
MAX_LATE = 2
# Longest time by which a gateway passes an answer on after the request arrived.
ANSWER_S = 0.5


class ToldEndpoint(NamedTuple):
  """An endpoint that said that it leaves, or wants nothing for a while.

  Attributes:
    name: Its name.
    variant: `soak_plan.LEAVING`, or the value of its Retry-After.
    arrivals: When requests arrived from then on, in seconds after the start,
      and their ids.
  """

  name: str
  variant: str
  arrivals: list[tuple[float, str]]


def find_violations(
    observations: Iterable[soak_checks.Observation],
    endpoint: ToldEndpoint,
    outages: list[soak_checks.Outage],
) -> list[str]:
  """Returns what an endpoint got although it had said that it wants nothing.

  Args:
    observations: Observations of all requests.
    endpoint: The endpoint.
    outages: Periods in which gateways were killed, paused or starting.
  """
  sent_by_request = {o.request: o for o in observations}
  arrivals_by_gateway: dict[str, list[tuple[float, float]]] = {}
  for at, request in endpoint.arrivals:
    sent = sent_by_request.get(request)
    if sent is None or any(o.gateway == sent.gateway for o in outages):
      continue
    arrivals = arrivals_by_gateway.setdefault(sent.gateway, [])
    arrivals.append((at, sent.began_at))
  violations = []
  for gateway, arrivals in arrivals_by_gateway.items():
    arrivals.sort()
    if endpoint.variant == soak_plan.LEAVING:
      late = _count_after_leaving(arrivals)
      allowed = 0
    else:
      late = _count_held_off(arrivals, endpoint.variant)
      allowed = MAX_LATE
    if late > allowed:
      violations.append(
          f'TOLD: {endpoint.name} ({endpoint.variant}) got {late} requests of'
          f' {gateway} too late'
      )
  return violations


def _count_after_leaving(arrivals: list[tuple[float, float]]) -> int:
  """Returns the requests that were sent after the time to drain."""
  late_from = arrivals[0][0] + ANSWER_S + DRAIN_S
  return sum(began_at > late_from for _, began_at in arrivals)


def _count_held_off(arrivals: list[tuple[float, float]], value: str) -> int:
  """Returns the most requests within the time of one refusal."""
  try:
    for_s = float(value)
  except ValueError:
    return 0
  worst = 0
  for refused_at, _ in arrivals:
    late = 0
    for at, _ in arrivals:
      late += refused_at + SETTLED_S < at < refused_at + for_s
    worst = max(worst, late)
  return worst
