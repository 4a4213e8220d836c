"""Check of the retries in a soak run, counted at the endpoints."""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from standins import retry_check
from standins import soak_checks

SERVICE_BY_ROUTE = {
    'unsafe': 'desk',
    'safe': 'desk',
    'ask': 'engine',
    'read': 'engine',
}


def find_violations(
    calls: Iterable[retry_check.Arrival],
    observations: Iterable[soak_checks.Observation],
    repeated_at: Mapping[str, float],
    bound: retry_check.Bound,
) -> list[str]:
  """Returns the windows with more extra arrivals than the settings allow.

  Args:
    calls: Calls that arrived at endpoints.
    observations: Observations of the requests of the load. Other requests count
      from their first arrival on.
    repeated_at: When the caller sent a request again under the same id.
    bound: What the settings allow.
  """
  requests = []
  known = set()
  for observation in observations:
    known.add(observation.request)
    service = SERVICE_BY_ROUTE[observation.route]
    requests.append(retry_check.Request(observation.began_at, service))
    if observation.request in repeated_at:
      repeat = retry_check.Request(repeated_at[observation.request], service)
      requests.append(repeat)
  arrivals = []
  for call in sorted(calls, key=lambda call: call.at):
    if call.at >= repeated_at.get(call.request, math.inf):
      call = call._replace(request=f'{call.request} again')
    elif call.request not in known:
      known.add(call.request)
      requests.append(retry_check.Request(call.at, call.service))
    arrivals.append(call)
  violations = []
  for window in retry_check.find_excess(arrivals, requests, bound):
    violations.append(
        f'RETRIES: {window.service} got {window.extra} extra calls in'
        f' {bound.window_s:.0f} s from {window.began_at:.2f} s,'
        f' {window.allowed:.1f} allowed'
    )
  return violations
