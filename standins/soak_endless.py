"""An endpoint that sends bytes without end to many callers, in a soak run."""

import asyncio
import pathlib
import resource
from collections.abc import Awaitable
from collections.abc import Callable

from standins import endless_server
from standins import gateway_cluster
from standins import soak_cluster

NAME = 'endless'
CALLERS = 60
SAMPLE_INTERVAL_S = 0.05
# Memory of a process on a host of the platform.
MAX_MEMORY_BYTES = 300 << 20


class EndlessEndpoint:
  """Lists such an endpoint, calls it, and watches the memory of gateways.

  Attributes:
    violations: Processes that took too much memory.
  """

  def __init__(
      self,
      cluster: soak_cluster.SoakCluster,
      send: Callable[[tuple[str, str, bytes]], Awaitable[object]],
  ):
    """Creates the endpoint.

    Args:
      cluster: The cluster.
      send: Sends a request, given its route, id and body.
    """
    self.violations: list[str] = []
    self._cluster = cluster
    self._send = send

  async def run(self, variant: str, duration_s: float) -> None:
    """Lists the endpoint for some time, and sends many requests at once."""
    cluster = self._cluster
    port = gateway_cluster.free_ports(1)[0]
    server = endless_server.EndlessServer(
        endless_server.Case(variant), port=port
    )
    template = next(iter(cluster.replica_by_name.values()))
    entry = template.entry() | {
        'service': 'desk',
        'address': f'127.0.0.1:{port}',
        'born': 1,
    }
    entry.pop('stage', None)
    cluster.base.store.put('servers', NAME, entry)
    watching = asyncio.create_task(self._watch_memory())
    end_at = cluster.now() + duration_s
    turn = 0
    try:
      while cluster.now() < end_at:
        turn += 1
        calls = []
        for number in range(CALLERS):
          request = f'endless-{turn}-{number}'
          calls.append(self._send(('unsafe', request, request.encode())))
        await asyncio.gather(*calls)
    finally:
      cluster.base.store.remove('servers', NAME)
      watching.cancel()
      await asyncio.to_thread(server.stop)

  async def _watch_memory(self) -> None:
    reported = set()
    while True:
      for name, gateway in self._cluster.gateway_by_name.items():
        size = _resident_bytes(gateway.pid)
        if size > MAX_MEMORY_BYTES and name not in reported:
          reported.add(name)
          self.violations.append(f'MEMORY: {name} took {size >> 20} MB')
      await asyncio.sleep(SAMPLE_INTERVAL_S)


def _resident_bytes(pid: int) -> int:
  """Returns the resident memory of a process, 0 if it has ended."""
  try:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
  except (FileNotFoundError, ProcessLookupError):
    return 0
  return int(pages) * resource.getpagesize()
