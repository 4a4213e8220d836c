"""Endpoints that leave beside silent connections to the store, in a soak."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from standins import failing_replica
from standins import soak_checks
from standins import soak_cluster

# Time after the endpoint left from which on it gets no request, and time after
# the silence from which on all gateways follow the store again.
DRAIN_S = 2.0
STEADY_S = 3.0
# Time for which the endpoint serves after it left.
SERVES_S = 4.0


class _Departure(NamedTuple):
  """An endpoint that left, and from when on it must get no request."""

  replica: failing_replica.FailingReplica
  bound_at: float


class QuietStore:
  """Silences connections to the store, and lets endpoints leave just after."""

  def __init__(self, cluster: soak_cluster.SoakCluster):
    self._cluster = cluster
    self._departures: list[_Departure] = []

  async def run(self, name: str, variant: str, after_s: float) -> None:
    """Lets an endpoint leave `after_s` after the silence.

    Args:
      name: The endpoint.
      variant: `draining` or `removed`.
      after_s: The time.
    """
    cluster = self._cluster
    cluster.base.store.silence_connections()
    silent_at = cluster.now()
    await asyncio.sleep(after_s)
    replica = cluster.replica_by_name[name]
    if variant == 'draining':
      cluster.list_replica(name, 'draining')
    else:
      cluster.base.store.remove('servers', name)
    bound_at = max(silent_at + STEADY_S, cluster.now() + DRAIN_S)
    self._departures.append(_Departure(replica, bound_at))
    await asyncio.sleep(SERVES_S)
    cluster.base.store.remove('servers', name)
    await cluster.start_replica(name)

  def find_violations(
      self,
      observations: Iterable[soak_checks.Observation],
      disturbances: list[soak_checks.Outage],
  ) -> list[str]:
    """Returns the requests that undisturbed gateways sent too late.

    Args:
      observations: Observations of all requests.
      disturbances: Periods in which gateways, the store or paths to it were
        disturbed.
    """
    by_request = {o.request: o for o in observations}
    violations = []
    for replica, bound_at in self._departures:
      for call in replica.calls:
        at = call.at - self._cluster.started_at
        observation = by_request.get(call.request)
        if at <= bound_at or observation is None:
          continue
        if not soak_checks.is_disturbed(observation, disturbances):
          violations.append(
              f'DRAIN: {call.request} reached {replica.name}'
              f' {at - bound_at:.2f} s too late'
          )
    return violations
