"""When an engine has to change its stage.

Answers a fleet from which the last decoding engine was taken away: engines that
only read prompts can't answer anybody. An engine that changes its stage is away
for seconds, so that nothing else is worth an order here.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records

# The lack has to last this long before an order: a list is read in steps (s).
CONFIRM_S = 0.5
# The same for a service of which no decoding engine was seen since the start:
# engines enter the list one by one, over several seconds (s).
CONFIRM_UNSEEN_S = 8.0
# Each further host waits longer, so that one of them gives the order (s).
HOST_STAGGER_S = 2.0
# An order shows in the list after the engine was away for some seconds; until
# then no other one is given (s).
ORDER_EFFECT_S = 6.0


class StageOrder(NamedTuple):
  """An order to be given.

  Attributes:
    endpoint: The engine.
    stage: What it shall do.
  """

  endpoint: gateway_records.Endpoint
  stage: gateway_records.Stage


class StagePlanner:
  """Watches one view of the engines."""

  def __init__(self):
    self._lacking_since: dict[str, float] = {}
    self._ordered_at: dict[str, float] = {}
    self._seen_decoding: set[str] = set()

  def decide(
      self,
      endpoints: Iterable[gateway_records.Endpoint],
      rank: int,
      now: float,
  ) -> StageOrder | None:
    """Decides on an order.

    Args:
      endpoints: All listed endpoints, suspended ones too.
      rank: Place of this host among those that live, the first is 0.
      now: Time on a clock that counts while a host is suspended.
    """
    readers: dict[str, list[gateway_records.Endpoint]] = {}
    decoded: set[str] = set()
    for endpoint in endpoints:
      if endpoint.stage is gateway_records.Stage.PREFILL:
        readers.setdefault(endpoint.service, []).append(endpoint)
      if endpoint.stage is gateway_records.Stage.DECODE:
        decoded.add(endpoint.service)
    self._seen_decoding |= decoded
    for service in list(self._lacking_since):
      if service in decoded or service not in readers:
        del self._lacking_since[service]
    for service, listed in readers.items():
      if service in decoded:
        continue
      since = self._lacking_since.setdefault(service, now)
      is_seen = service in self._seen_decoding
      confirm_s = CONFIRM_S if is_seen else CONFIRM_UNSEEN_S
      if now - since < confirm_s + HOST_STAGGER_S * rank:
        continue
      if now - self._ordered_at.get(service, float('-inf')) < ORDER_EFFECT_S:
        continue
      target = min(listed, key=lambda endpoint: endpoint.name)
      return StageOrder(target, gateway_records.Stage.DECODE)
    return None

  def record_order(self, service: str, now: float) -> None:
    """Notes that an order was given, or may have been."""
    self._ordered_at[service] = now
