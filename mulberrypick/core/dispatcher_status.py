"""What the dispatcher reports of itself."""

from typing import NamedTuple

from mulberrypick.core import fleet


class DispatcherStatus(NamedTuple):
  """The dispatcher's part of `/status`.

  Attributes:
    generation: Generation of the current configuration.
    endpoints: All known endpoints.
    waiting_by_rank: Number of queued requests by rank.
    running: Number of running attempts.
    refused_by_kind: Number of refusals since the start, by error kind.
    quarantined: Number of quarantined requests, which are refused because they
      crashed endpoints.
    demand_by_model: Engine seconds per second requested from this host for each
      model, as (prefill, decode).
  """

  generation: int
  endpoints: tuple[fleet.EndpointStatus, ...]
  waiting_by_rank: dict[str, int]
  running: int
  refused_by_kind: dict[str, int]
  quarantined: int
  demand_by_model: dict[str, tuple[float, float]] = {}
