"""Requests whose last bytes come late in a planned stop, in a soak run."""

import asyncio
import random
from typing import NamedTuple

from standins import late_caller
from standins import soak_checks
from standins import soak_cluster

# The last byte of a body comes so long after SIGTERM; the grace period is 8 s.
FIRST_S = 3.0
LAST_S = 7.38
CALLERS = 24
PIPELINED = 'pipelined'


class LateRequest(NamedTuple):
  """What a caller observed of one request.

  Attributes:
    request: Its id.
    sent_s: When its last byte was sent, in seconds after SIGTERM.
    status: Status of its complete response, 0 without one.
  """

  request: str
  sent_s: float
  status: int


class LateCallers:
  """Callers that keep connections open over the stop of a gateway.

  Attributes:
    requests: The requests that ended.
  """

  def __init__(self, cluster: soak_cluster.SoakCluster):
    self.requests: list[LateRequest] = []
    self._cluster = cluster

  async def run(self, name: str, variant: str, down_s: float) -> None:
    """Stops a gateway while requests to it are half sent.

    Args:
      name: The gateway.
      variant: `PIPELINED` for a second request behind each one.
      down_s: Time until the gateway is started again.
    """
    rng = random.Random(f'{name} {variant} {down_s}')
    gateway = self._cluster.gateway_by_name[name]
    callers = []
    for number in range(CALLERS):
      caller = late_caller.LateCaller()
      await caller.open(gateway.host.listen_port)
      caller.send_head('/unsafe/x', f'late-{name}-{number}-0')
      callers.append(caller)
    stopping = asyncio.create_task(gateway.stop(down_s))
    await asyncio.gather(
        *(
            self._finish(f'late-{name}-{n}', caller, variant, rng.random())
            for n, caller in enumerate(callers)
        )
    )
    await stopping

  async def _finish(
      self,
      prefix: str,
      caller: late_caller.LateCaller,
      variant: str,
      fraction: float,
  ) -> None:
    """Sends the rest of the requests of a connection, and waits."""
    sent_s = FIRST_S + fraction * (LAST_S - FIRST_S)
    await asyncio.sleep(sent_s)
    requests = [f'{prefix}-0']
    caller.send_body(b'xy')
    if variant == PIPELINED:
      requests.append(f'{prefix}-1')
      caller.send('/unsafe/x', requests[-1])
    statuses = late_caller.parse_responses(await caller.wait())
    caller.close()
    statuses += [0] * len(requests)
    for request, status in zip(requests, statuses, strict=False):
      self.requests.append(LateRequest(request, sent_s, status))

  def find_violations(self) -> list[str]:
    """Returns the requests that were lost, or ran after `not run`."""
    violations = []
    runs = self._cluster.runs()
    for request in self.requests:
      count = runs[request.request]
      text = f'{request.request}, whole {request.sent_s:.2f} s after SIGTERM'
      if count and not request.status:
        violations.append(f'LOST: {text}, ran and got no response')
      if count and request.status in soak_checks.NOT_RUN_STATUSES:
        violations.append(f'UNTRUE: {text}, ran, status {request.status}')
      if count > 1:
        violations.append(f'TWICE: {text}, ran {count} times')
    return violations
