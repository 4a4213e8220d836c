"""Checks that gateways keep off endpoints that leave or want nothing.

A restart or a pause of a gateway since the answer excuses it. While it is cut
off from endpoints, others send its requests, so that these do not count; the
answers that it passes on do.
"""

from collections.abc import Iterable
from typing import NamedTuple

from standins import soak_apart
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
# Time after the end of a cut until its gateways send requests themselves again.
RETURN_S = 2.0


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


class _Arrival(NamedTuple):
  """A request that an endpoint received.

  Attributes:
    at: When it was received.
    began_at: When its caller sent it.
    is_own: Whether the gateway that the caller asked has sent it.
  """

  at: float
  began_at: float
  is_own: bool


def find_violations(
    observations: Iterable[soak_checks.Observation],
    endpoint: ToldEndpoint,
    outages: list[soak_checks.Outage],
    cuts: Iterable[soak_apart.Cut] = (),
) -> list[str]:
  """Returns what an endpoint got although it had said that it wants nothing.

  Args:
    observations: Observations of all requests.
    endpoint: The endpoint.
    outages: Periods in which gateways were killed, paused or starting.
    cuts: Periods in which gateways reached no endpoint.
  """
  cut_outages = []
  for cut in cuts:
    for gateway in cut.gateways:
      cut_outages.append(
          soak_checks.Outage(gateway, cut.began_at, cut.ended_at + RETURN_S)
      )
  arrivals_by_gateway = _group(observations, endpoint, cut_outages)
  violations = []
  for gateway, arrivals in arrivals_by_gateway.items():
    own_outages = [o for o in outages if o.gateway == gateway]
    if endpoint.variant == soak_plan.LEAVING:
      late = _count_after_leaving(arrivals, own_outages)
      allowed = 0
    else:
      own_outages += [o for o in cut_outages if o.gateway == gateway]
      late = _count_held_off(arrivals, endpoint.variant, own_outages)
      allowed = MAX_LATE
    if late > allowed:
      violations.append(
          f'TOLD: {endpoint.name} ({endpoint.variant}) got {late} requests of'
          f' {gateway} too late'
      )
  return violations


def _group(
    observations: Iterable[soak_checks.Observation],
    endpoint: ToldEndpoint,
    cut_outages: list[soak_checks.Outage],
) -> dict[str, list[_Arrival]]:
  """Returns the arrivals at an endpoint by the gateway that was asked."""
  sent_by_request = {o.request: o for o in observations}
  arrivals_by_gateway: dict[str, list[_Arrival]] = {}
  for at, request in sorted(endpoint.arrivals):
    sent = sent_by_request.get(request)
    if sent is None:
      continue
    is_own = not any(
        o.gateway == sent.gateway and o.began_at <= at <= o.ended_at
        for o in cut_outages
    )
    arrivals = arrivals_by_gateway.setdefault(sent.gateway, [])
    arrivals.append(_Arrival(at, sent.began_at, is_own))
  return arrivals_by_gateway


def _is_excused(
    told_at: float, at: float, outages: list[soak_checks.Outage]
) -> bool:
  """Returns whether an outage overlaps the time since an answer."""
  return any(o.began_at <= at and told_at <= o.ended_at for o in outages)


def _count_after_leaving(
    arrivals: list[_Arrival], outages: list[soak_checks.Outage]
) -> int:
  """Returns the requests that were sent after the time to drain."""
  late = 0
  for arrival in arrivals:
    if not arrival.is_own:
      continue
    late += any(
        arrival.began_at > told.at + ANSWER_S + DRAIN_S
        and not _is_excused(told.at, arrival.at, outages)
        for told in arrivals
    )
  return late


def _count_held_off(
    arrivals: list[_Arrival], value: str, outages: list[soak_checks.Outage]
) -> int:
  """Returns the most requests within the time of one refusal."""
  try:
    for_s = float(value)
  except ValueError:
    return 0
  worst = 0
  for told in arrivals:
    late = 0
    for arrival in arrivals:
      is_within = told.at + SETTLED_S < arrival.at < told.at + for_s
      late += is_within and not _is_excused(told.at, arrival.at, outages)
    worst = max(worst, late)
  return worst
