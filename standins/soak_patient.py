"""A caller of a soak run that waits far longer than endpoints are silent."""

import asyncio
from typing import NamedTuple

from mulberrypick.core import errors
from standins import gateway_cluster
from standins import soak_checks
from standins import soak_cluster

INTERVAL_S = 0.04
ROUTES = ('ask', 'read')
DEADLINE_S = 6.0
# Time after its limit at which the caller leaves.
LEAVE_AFTER_S = 1.0
# A request that no endpoint got and whose connection closes so soon may have
# crossed the close of an idle connection.
LOSS_SLACK_S = 0.2
# A run that was given up goes to another endpoint. If that one ends so shortly
# before the stream, the run met its end, and did not begin there.
MET_END_S = 0.05
HEADERS_BY_ROUTE = {
    'ask': {
        'X-Mulberrypick-Token-Usage': '220,70',
        'X-Mulberrypick-Prefix-Hash': 'aa:80,bb:140',
    },
    'read': {
        'X-Mulberrypick-Token-Usage': '900,30',
        'X-Mulberrypick-Prefix-Hash': 'cc:600,dd:300',
    },
}


class PatientCall(NamedTuple):
  """A request of the caller.

  Attributes:
    request: Its id.
    route: Name of the route.
    gateway: Name of the gateway.
    began_at: When it was sent, in seconds after the start.
    ended_at: When its answer ended, in seconds after the start.
    answer: The answer.
  """

  request: str
  route: str
  gateway: str
  began_at: float
  ended_at: float
  answer: gateway_cluster.Answer


class PatientCaller:
  """Sends streams at a constant rate and waits for their end.

  Attributes:
    calls: The requests that ended.
  """

  def __init__(self, cluster: soak_cluster.SoakCluster):
    self.calls: list[PatientCall] = []
    self._cluster = cluster

  async def run(self, duration_s: float) -> None:
    """Sends streams for a time, and waits until all have ended."""
    end_at = self._cluster.now() + duration_s
    number = 0
    async with asyncio.TaskGroup() as group:
      while self._cluster.now() < end_at:
        number += 1
        group.create_task(self._run_one(number))
        await asyncio.sleep(INTERVAL_S)

  async def _run_one(self, number: int) -> None:
    ready = []
    for gateway in self._cluster.gateway_by_name.values():
      if gateway.is_ready:
        ready.append(gateway.host)
    if not ready:
      return
    host = ready[number % len(ready)]
    route = ROUTES[number % len(ROUTES)]
    request = f'patient-{number}'
    headers = {'X-Mulberrypick-Deadline-Ms': f'{DEADLINE_S * 1000:.0f}'}
    began_at = self._cluster.now()
    try:
      answer = await gateway_cluster.call(
          host.listen_port,
          f'/{route}/x',
          request,
          headers | HEADERS_BY_ROUTE[route],
          request.encode(),
          disconnect_after_s=DEADLINE_S + LEAVE_AFTER_S,
      )
    except errors.ConnectError:
      # The gateway was stopped or killed since the last poll.
      return
    ended_at = self._cluster.now()
    self.calls.append(
        PatientCall(request, route, host.name, began_at, ended_at, answer)
    )

  def find_violations(
      self,
      outages: list[soak_checks.Outage],
      endpoint_outages: list[soak_checks.Outage],
  ) -> list[str]:
    """Returns the streams that ended without an answer, or were cut.

    Silence of endpoints, changes of the configuration and planned stops excuse
    none of them, and no stream needs as long as the caller waits.

    Args:
      outages: Periods in which gateways were killed, paused or starting.
      endpoint_outages: Periods in which endpoints crashed, failed or were cut
        off; `gateway` is the name of the endpoint.
    """
    violations = []
    for call in self.calls:
      if call.answer.is_whole or call.answer.status not in (0, 200):
        continue
      took_s = call.ended_at - call.began_at
      ran_at = self._cluster.ran_at(call.request)
      if not call.answer.status and not ran_at and took_s < LOSS_SLACK_S:
        continue
      if _is_excused(call, {call.gateway}, outages) or (
          _is_excused(call, ran_at, endpoint_outages)
          or _met_end(call, endpoint_outages)
      ):
        continue
      violations.append(
          f'LOST: {call.route} {call.request} at {call.gateway},'
          f' {call.began_at:.2f} to {call.ended_at:.2f} s, status'
          f' {call.answer.status}, ran at {sorted(ran_at)}, ended after'
          f' {call.answer.body[-40:]!r}'
      )
    return violations


def _met_end(
    call: PatientCall, endpoint_outages: list[soak_checks.Outage]
) -> bool:
  """Returns whether an endpoint ended right before a stream did."""
  for outage in endpoint_outages:
    if 0.0 <= call.ended_at - outage.began_at < MET_END_S:
      return True
  return False


def _is_excused(
    call: PatientCall, names: set[str], outages: list[soak_checks.Outage]
) -> bool:
  for outage in outages:
    if outage.gateway in names and (
        outage.began_at < call.ended_at and call.began_at < outage.ended_at
    ):
      return True
  return False
