"""Decides when an engine has to change its stage, prefill or decode.

If a service loses its last decode engine, its prefill engines alone can't
answer any request, so one of them is ordered to decode. No other situation
justifies an order, because an engine that changes its stage is unavailable for
seconds.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records

# Time without a decode engine before an engine is ordered to decode: the list
# of endpoints is updated in several steps.
CONFIRM_S = 0.5
# The same for a service of which no decode engine was seen since this host
# started: engines enter the list one by one, over several seconds.
CONFIRM_UNSEEN_S = 8.0
# Additional delay for each live host listed before this one, so that only one
# host orders the engine to decode.
HOST_STAGGER_S = 2.0
# Time without further orders after an order: the new stage shows in the list
# only after the engine was unavailable for some seconds.
ORDER_EFFECT_S = 6.0


class StageOrder(NamedTuple):
  """An order to an engine to change its stage.

  Attributes:
    endpoint: The engine.
    stage: Its new stage.
  """

  endpoint: gateway_records.Endpoint
  stage: gateway_records.Stage


class StagePlanner:
  """Decides which engine this host orders to change its stage."""

  def __init__(self):
    self._without_decoder_since: dict[str, float] = {}
    self._ordered_at: dict[str, float] = {}
    self._services_with_decoder: set[str] = set()

  def decide(
      self,
      endpoints: Iterable[gateway_records.Endpoint],
      rank: int,
      now: float,
  ) -> StageOrder | None:
    """Returns the order to be given now, None for none.

    Args:
      endpoints: All listed endpoints, including suspended ones.
      rank: Position of this host among the live hosts, from 0.
      now: Time on a clock that advances while the host is suspended.
    """
    prefillers: dict[str, list[gateway_records.Endpoint]] = {}
    decoding: set[str] = set()
    for endpoint in endpoints:
      if endpoint.stage is gateway_records.Stage.PREFILL:
        prefillers.setdefault(endpoint.service, []).append(endpoint)
      if endpoint.stage is gateway_records.Stage.DECODE:
        decoding.add(endpoint.service)
    self._services_with_decoder |= decoding
    for service in list(self._without_decoder_since):
      if service in decoding or service not in prefillers:
        del self._without_decoder_since[service]
    for service, listed in prefillers.items():
      if service in decoding:
        continue
      since = self._without_decoder_since.setdefault(service, now)
      had_decoder = service in self._services_with_decoder
      confirm_s = CONFIRM_S if had_decoder else CONFIRM_UNSEEN_S
      if now - since < confirm_s + HOST_STAGGER_S * rank:
        continue
      if now - self._ordered_at.get(service, float('-inf')) < ORDER_EFFECT_S:
        continue
      target = min(listed, key=lambda endpoint: endpoint.name)
      return StageOrder(target, gateway_records.Stage.DECODE)
    return None

  def record_order(self, service: str, now: float) -> None:
    """Records that a stage order to a service was sent, or may have been."""
    self._ordered_at[service] = now
