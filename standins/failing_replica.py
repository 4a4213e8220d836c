"""A replica that fails a share of its requests and records all arrivals."""

import asyncio
import random

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from standins import fleet_replica
from standins import retry_check


class FailingReplica(fleet_replica.FleetReplica):
  """A replica whose failures make gateways want retries.

  Attributes:
    reset_share: Share of the runs whose connection it aborts.
    refuse_share: Share of the calls that it refuses as not executed.
    calls: All calls that arrived, except liveness checks and freed handles.
  """

  def __init__(
      self, name: str, service: str, stage: str, rng: random.Random
  ) -> None:
    super().__init__(name, service, stage)
    self.reset_share = 0.0
    self.refuse_share = 0.0
    self.calls: list[retry_check.Arrival] = []
    self._rng = rng

  async def _handle(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    if (
        received.method == b'DELETE'
        or received.method == b'GET'
        or received.target.startswith(b'/mulberrypick/')
    ):
      await super()._handle(received, caller)
      return
    headers = {}
    for name, value in received.headers:
      headers[name.decode().lower()] = value.decode()
    self.calls.append(
        retry_check.Arrival(
            asyncio.get_running_loop().time(),
            headers.get('x-mulberrypick-request-id', ''),
            self.service,
            retry_check.CallKind.CALL,
        )
    )
    await super()._handle(received, caller)

  async def _run(
      self,
      request: str,
      headers: dict[str, str],
      body: bytes,
      caller: server_connection.ServerConnection,
  ) -> None:
    if self._rng.random() < self.refuse_share:
      self._refuse(caller, request)
      return
    if headers.get('x-mulberrypick-stage') == 'prefill':
      self._accept_prefill(request)
      await super()._run(request, headers, body, caller)
      return
    if self._rng.random() < self.reset_share:
      self.runs[request] += 1
      await asyncio.sleep(self.behaviour.work_s)
      caller.abort()
      return
    await super()._run(request, headers, body, caller)

  def _accept_prefill(self, request: str) -> None:
    """Marks the last call of a request as an accepted prefill."""
    for number in range(len(self.calls) - 1, -1, -1):
      if self.calls[number].request == request:
        kind = retry_check.CallKind.PREFILL
        self.calls[number] = self.calls[number]._replace(kind=kind)
        return
