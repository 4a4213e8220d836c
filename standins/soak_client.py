"""Client of a soak run; reuses connections until a gateway closes them."""

import asyncio
import time

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from standins import gateway_cluster
from standins import soak_checks

DEADLINE_S = 1.4
# A request without a complete answer this long after its deadline counts as
# hung. The margin is far above the delays that a busy machine causes.
HANG_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 2.0
HEADERS_BY_ROUTE = {
    'ask': (('Token-Usage', '220,70'), ('Prefix-Hash', 'aa:80,bb:140')),
    'read': (('Token-Usage', '9000,300'), ('Prefix-Hash', 'cc:6000,dd:3000')),
}
# Addresses from which requests are sent in turn.
CALLERS = 50


class SoakClient:
  """Sends requests and records what it observes.

  Attributes:
    observations: One observation for each request that ended.
    repeated_at: When requests were sent again under the same id.
  """

  def __init__(self, started_at: float):
    self.observations: list[soak_checks.Observation] = []
    self.repeated_at: dict[str, float] = {}
    self._started_at = started_at
    self._idle_by_port: dict[int, list[stream_client.ClientConnection]] = {}

  async def send(
      self,
      gateway: str,
      port: int,
      route: str,
      request: str,
      body: bytes | None = None,
  ) -> soak_checks.Observation:
    """Sends a request; repeats it if a reused connection closed unanswered."""
    encoded = _encode(route, request, body)
    began_at = time.monotonic() - self._started_at
    observation = None
    for is_fresh in (False, True):
      if is_fresh:
        self.repeated_at[request] = time.monotonic() - self._started_at
      idle = self._idle_by_port.setdefault(port, [])
      connection = None
      while idle and not is_fresh and connection is None:
        reused = idle.pop()
        connection = reused if reused.is_open else None
      was_reused = connection is not None
      try:
        if connection is None:
          # Callers have addresses of their own.
          caller = f'127.0.0.{2 + len(self.observations) % CALLERS}'
          connection = await stream_client.connect(
              '127.0.0.1', port, CONNECT_TIMEOUT_S, (caller, 0)
          )
      except errors.ConnectError:
        observation = self._make_observation(gateway, route, request, began_at)
        break
      observation = await self._exchange(
          connection, idle, gateway, route, request, encoded, began_at
      )
      # A reused connection may close while the request is in flight.
      if observation.status or observation.is_hung or not was_reused:
        break
    self.observations.append(observation)
    return observation

  def close(self) -> None:
    """Closes all idle connections."""
    for idle in self._idle_by_port.values():
      for connection in idle:
        connection.abort()

  async def _exchange(
      self,
      connection: stream_client.ClientConnection,
      idle: list[stream_client.ClientConnection],
      gateway: str,
      route: str,
      request: str,
      encoded: bytes,
      began_at: float,
  ) -> soak_checks.Observation:
    exchange = stream_client.Exchange()
    connection.send(encoded, exchange)
    status, body, head_at, limited_by = 0, b'', 0.0, ''
    is_whole = is_hung = False
    try:
      async with asyncio.timeout(DEADLINE_S + HANG_TIMEOUT_S):
        head = await exchange.read_head()
        status = head.status
        head_at = time.monotonic() - self._started_at
        if head.get(b'server-limit') is not None:
          signature = head.get(b'x-mulberrypick-server-signature') or b''
          limited_by = signature.decode().rpartition('.')[0]
        while data := await exchange.read_some():
          body += data
        is_whole = True
    except TimeoutError:
      is_hung = True
    except errors.ExchangeBrokenError:
      # The caller keeps the part that arrived before the connection broke.
      is_whole = False
    if is_whole and connection.is_open:
      idle.append(connection)
    else:
      connection.abort()
    observation = self._make_observation(
        gateway, route, request, began_at, status, body, is_whole, is_hung
    )
    return observation._replace(head_at=head_at, limited_by=limited_by)

  def _make_observation(
      self,
      gateway: str,
      route: str,
      request: str,
      began_at: float,
      status: int = 0,
      body: bytes = b'',
      is_whole: bool = False,
      is_hung: bool = False,
  ) -> soak_checks.Observation:
    ended_at = time.monotonic() - self._started_at
    return soak_checks.Observation(
        request,
        route,
        gateway,
        began_at,
        ended_at,
        status,
        body,
        is_whole,
        is_hung,
    )


def _encode(route: str, request: str, body: bytes | None) -> bytes:
  lines = [
      (b'Host', gateway_cluster.HOST.encode()),
      (b'X-Mulberrypick-Request-Id', request.encode()),
      (b'X-Mulberrypick-Deadline-Ms', b'%d' % (DEADLINE_S * 1000)),
  ]
  for name, value in HEADERS_BY_ROUTE.get(route, ()):
    lines.append((f'X-Mulberrypick-{name}'.encode(), value.encode()))
  method = b'GET' if route == 'safe' else b'POST'
  if body is None:
    body = b'' if route == 'safe' else b'b'
  return stream_client.encode_request(
      method, f'/{route}/x'.encode(), lines, body
  )
