"""Controller task that collects the demand on models from the entry hosts.

Role planning needs the arriving work for prefill and decode over the whole
fleet. Each entry knows only its own demand, so the lease holder queries all
entries at regular intervals and scales the sum to its zone's share of the
engines.
"""

import concurrent.futures
import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import peers as peers_adapter
from mulberrypick.core import records
from mulberrypick.core import role_planner
from mulberrypick.ops import fleet_task

INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 0.5
QUERY_THREADS = 8

_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[float, float]])


class DemandSeen(NamedTuple):
  """Message with the demand on the engines of a zone.

  Attributes:
    demand_by_model: Arriving work for prefill and decode, by name of the model.
  """

  demand_by_model: dict[str, role_planner.RoleDemand]


class DemandTask:
  """Queries all live entries and publishes the demand of the zone."""

  def __init__(
      self,
      zone: str,
      peers: peers_adapter.Peers,
      list_hosts: Callable[[], tuple[records.Host, ...]],
      publish: Callable[[DemandSeen], None],
      interval_s: float = INTERVAL_S,
  ):
    """Initializes the task without starting it.

    Args:
      zone: The zone of the controller.
      peers: Transport of the queries; started and stopped by the caller.
      list_hosts: Returns the current list of hosts, empty for a standby.
      publish: Called with the demand.
      interval_s: Seconds between two rounds of queries.
    """
    self._zone = zone
    self._peers = peers
    self._list_hosts = list_hosts
    self._publish = publish
    self._interval_s = interval_s
    self._stopping = threading.Event()
    self._pool = concurrent.futures.ThreadPoolExecutor(
        QUERY_THREADS, 'ask-demand'
    )
    self._thread = threading.Thread(
        target=self._run, name='demand', daemon=True
    )

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def stop(self) -> None:
    """Stops the task and waits for its thread."""
    self._stopping.set()
    if self._thread.is_alive():
      self._thread.join()
    self._pool.shutdown(wait=False, cancel_futures=True)

  def _run(self) -> None:
    while not self._stopping.wait(self._interval_s):
      hosts = self._list_hosts()
      addresses = [
          host.peer_address
          for host in hosts
          if host.kind == records.HOST_ENTRY
          and host.state == records.STATE_LIVE
      ]
      bodies = [body for body in self._pool.map(self._query, addresses) if body]
      if bodies:
        share = find_zone_share(self._zone, hosts)
        self._publish(DemandSeen(sum_demand(bodies, share)))

  def _query(self, address: str) -> bytes | None:
    return self._peers.request(
        address, fleet_task.KIND_DEMAND, b'', QUERY_TIMEOUT_S
    )


def find_zone_share(zone: str, hosts: tuple[records.Host, ...]) -> float:
  """Returns the fraction of all live engines that are in a zone."""
  engines = [
      host
      for host in hosts
      if host.kind == records.HOST_ENGINE and host.state == records.STATE_LIVE
  ]
  if not engines:
    return 0.0
  return sum(host.zone == zone for host in engines) / len(engines)


def sum_demand(
    bodies: list[bytes], share: float
) -> dict[str, role_planner.RoleDemand]:
  """Returns a fraction of the total demand reported by the entries.

  Args:
    bodies: Encoded demand of each entry; malformed ones are ignored.
    share: Fraction of the total to return.

  Returns:
    Demand by model.
  """
  demand_by_model: dict[str, role_planner.RoleDemand] = {}
  for body in bodies:
    try:
      reported = _DECODER.decode(body)
    except msgspec.DecodeError:
      continue
    for model, (prefill, decode) in reported.items():
      known = demand_by_model.get(model, role_planner.RoleDemand(0.0, 0.0))
      demand_by_model[model] = role_planner.RoleDemand(
          known.prefill + prefill * share, known.decode + decode * share
      )
  return demand_by_model
