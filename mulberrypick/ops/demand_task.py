"""The task of a controller that asks entry hosts for the demand on models.

Role planning needs the work that arrives, for prefill and for decode, over the
whole fleet. Entries know their own part; the holder of the lease asks them all
once an interval and takes its zone's share, by its share of the engines.
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
ASK_TIMEOUT_S = 0.5
ASK_THREADS = 8

_DECODER = msgspec.msgpack.Decoder(dict[str, tuple[float, float]])


class DemandSeen(NamedTuple):
  """The demand on the engines of a zone.

  Attributes:
    demand_by_model: By name of the model.
  """

  demand_by_model: dict[str, role_planner.RoleDemand]


class DemandTask:
  """Asks all live entries; posts what they say to the controller task."""

  def __init__(
      self,
      zone: str,
      peers: peers_adapter.Peers,
      list_hosts: Callable[[], tuple[records.Host, ...]],
      publish: Callable[[DemandSeen], None],
      interval_s: float = INTERVAL_S,
  ):
    """Makes the task; nothing runs yet.

    Args:
      zone: The zone of the controller.
      peers: Carries the questions; started and stopped by the caller.
      list_hosts: Returns the newest list of hosts, empty for a standby.
      publish: Gets the demand.
      interval_s: Time between two rounds of questions.
    """
    self._zone = zone
    self._peers = peers
    self._list_hosts = list_hosts
    self._publish = publish
    self._interval_s = interval_s
    self._stopping = threading.Event()
    self._pool = concurrent.futures.ThreadPoolExecutor(
        ASK_THREADS, 'ask-demand'
    )
    self._thread = threading.Thread(
        target=self._run, name='demand', daemon=True
    )

  def start(self) -> None:
    """Starts the task."""
    self._thread.start()

  def stop(self) -> None:
    """Ends the task."""
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
      told = [body for body in self._pool.map(self._ask, addresses) if body]
      if told:
        share = find_zone_share(self._zone, hosts)
        self._publish(DemandSeen(sum_demand(told, share)))

  def _ask(self, address: str) -> bytes | None:
    return self._peers.request(
        address, fleet_task.KIND_DEMAND, b'', ASK_TIMEOUT_S
    )


def find_zone_share(zone: str, hosts: tuple[records.Host, ...]) -> float:
  """Returns the part of all live engines that a zone has, 0 to 1."""
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
  """Adds up what entries told, and takes a share of it.

  Args:
    bodies: Encoded demand of each entry; a malformed one is left out.
    share: Part of the sum to take.

  Returns:
    Demand by model.
  """
  demand_by_model: dict[str, role_planner.RoleDemand] = {}
  for body in bodies:
    try:
      told = _DECODER.decode(body)
    except msgspec.DecodeError:
      continue
    for model, (prefill, decode) in told.items():
      known = demand_by_model.get(model, role_planner.RoleDemand(0.0, 0.0))
      demand_by_model[model] = role_planner.RoleDemand(
          known.prefill + prefill * share, known.decode + decode * share
      )
  return demand_by_model
