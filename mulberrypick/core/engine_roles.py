"""Which decode engines also prefill, and which request may use which of them.

Prefill on a decode engine delays the tokens of long streams by more than
callers tolerate, and delays requests whose prompt was prefilled on another
engine. As few engines as the decode load needs are therefore kept for decoding;
the others also prefill. All hosts sort the engines by name, so they choose the
same engines without coordination.
"""

from typing import NamedTuple

from mulberrypick.core import engine_load
from mulberrypick.core import fetch_load
from mulberrypick.core import gateway_records
from mulberrypick.core import placements


class Roles(NamedTuple):
  """Decode engines by what they are used for.

  Attributes:
    decoders: Those that are kept for decoding.
    overflow: Those that also prefill for others.
    draining: Those that will, once the streams that they decode have ended.
  """

  decoders: list[gateway_records.Endpoint]
  overflow: list[gateway_records.Endpoint]
  draining: list[gateway_records.Endpoint]


class EngineRoles:
  """Splits decode engines by the decode load."""

  def __init__(
      self, load: engine_load.EngineLoad, fetches: fetch_load.FetchLoad
  ):
    self._load = load
    self._fetches = fetches

  def split(self, runners: list[gateway_records.Endpoint], now: float) -> Roles:
    """Splits decode engines; the first ones by name decode."""
    ordered = sorted(runners, key=lambda runner: runner.name)
    loads = [self._load.total(runner, now) for runner in ordered]
    count = self._fetches.count_decoders(ordered, loads)
    overflow, draining = [], []
    for runner, load in zip(ordered[count:], loads[count:], strict=True):
      (draining if load.streams else overflow).append(runner)
    return Roles(ordered[:count], overflow, draining)


def runners_for(
    call: gateway_records.Call,
    roles: Roles,
    has_prefillers: bool,
    has_streams: bool,
) -> list[gateway_records.Endpoint]:
  """Returns the engines that may both prefill and decode a request.

  Long streams of all ranks share the engines that decode: a prompt of any rank
  delays each of them by its whole prefill.

  Args:
    call: The request.
    roles: The decode engines.
    has_prefillers: Whether there are prefill engines.
    has_streams: Whether the service has long streams.
  """
  if placements.is_long_output(call):
    return roles.decoders
  if call.route.rank == 0 and not has_streams:
    return roles.decoders + roles.overflow + roles.draining
  if roles.overflow or has_prefillers:
    return roles.overflow
  # All decode engines are needed for decoding.
  return roles.draining or roles.decoders


def spare_runners(
    call: gateway_records.Call,
    roles: Roles,
    candidates: list[gateway_records.Endpoint],
) -> list[gateway_records.Endpoint]:
  """Returns the engines for a request that would be late on all others.

  Load patterns: an urgent prompt finds less urgent ones on all engines that
  prefill, for longer than it may wait. A long stream finds only engines that
  are too slow for it.

  Args:
    call: The request.
    roles: The decode engines.
    candidates: The engines that it may use in any case.
  """
  if placements.is_long_output(call):
    return roles.overflow + roles.draining
  spare = list(roles.draining)
  if call.route.rank == 0:
    spare += roles.decoders
  return [runner for runner in spare if runner not in candidates]
