"""Waiting requests, and the interface that decides which one goes next.

Requests are queued here instead of in the engines, because an engine knows
neither tenants nor reserved capacity.
"""

import abc
from typing import NamedTuple

import xxhash

from mulberrypick.core import cost as cost_model
from mulberrypick.core import errors
from mulberrypick.core import fleet_usage
from mulberrypick.core import partition
from mulberrypick.core import records


def queue_name(model: str, adapter: str) -> str:
  """Returns the name of the queue of a model and adapter.

  Load reports name loaded models in the same way.
  """
  return f'{model}+{adapter}' if adapter else model


def fingerprint(request: records.InferenceRequest) -> int:
  """Returns a hash of the model, the adapter and the prompt of a request."""
  text = f'{request.model}|{request.adapter}|{request.prompt}'
  return xxhash.xxh64_intdigest(text.encode())


class WaitingRequest(NamedTuple):
  """A request that waits for an endpoint.

  Attributes:
    request: The request.
    next_index: Index of the first token to generate; above 0 for a resume.
    failed_endpoints: Endpoints that it must not run on, as it failed there.
    cost: Its predicted cost.
    queued_at: Time at which it was queued.
    is_retry: Whether it ran before. A full queue never refuses a retry.
    fingerprint: Hash of its content.
    blocks: Chained hashes of the prompt's blocks; may be empty.
  """

  request: records.InferenceRequest
  next_index: int
  failed_endpoints: tuple[str, ...]
  cost: cost_model.Cost
  queued_at: float
  is_retry: bool
  fingerprint: int
  blocks: tuple[int, ...] = ()


class Refusal(NamedTuple):
  """A waiting request that is refused, and the error for its caller."""

  waiting: WaitingRequest
  error: errors.RequestError


class Admission(abc.ABC):
  """Queues the waiting requests of one entry host, or refuses them."""

  def configure(self, config: records.Config) -> None:  # noqa: B027
    """Applies a newer configuration."""

  def set_capacity(self, queue: str, engines: float) -> None:  # noqa: B027
    """Sets this host's capacity for a queue, as a number of engines."""

  def update_peer(  # noqa: B027
      self, peer: str, digest: fleet_usage.UsageDigest, now: float
  ) -> None:
    """Replaces the usage of tenants and ranks on another host."""

  def digest(self, now: float) -> fleet_usage.UsageDigest:
    """Returns the usage of tenants and ranks on this host, for the peers."""
    del now
    return fleet_usage.UsageDigest({}, {}, {}, {})

  def demand(self, queue: str, now: float) -> partition.Demand | None:
    """Returns the whole fleet's demand for a queue, None if unknown."""
    del queue, now

  def own_fraction(self) -> float:
    """Returns this host's fraction of the fleet's usage, 0 if unknown."""
    return 0.0

  def fill_fraction(
      self, queue: str, waiting: WaitingRequest, now: float
  ) -> float:
    """Returns the load limit for a request, as a fraction of capacity.

    An endpoint loaded above this fraction of its capacity must not run it.
    """
    del queue, waiting, now
    return 1.0

  @abc.abstractmethod
  def offer(
      self, queue: str, waiting: WaitingRequest, now: float
  ) -> errors.RequestError | None:
    """Queues a request, or returns the error by which it is refused."""

  @abc.abstractmethod
  def heads(self, queue: str, now: float) -> list[WaitingRequest]:
    """Returns the requests of a queue that may start next, in order.

    There may be several, because the first may have to wait for a kind of
    endpoint that the others don't need.
    """

  @abc.abstractmethod
  def take(self, request_id: str, now: float) -> None:
    """Removes a request that `heads` returned, because it starts now."""

  @abc.abstractmethod
  def withdraw(self, request_id: str) -> WaitingRequest | None:
    """Removes a request whose caller disconnected."""

  @abc.abstractmethod
  def expire(self, now: float) -> list[Refusal]:
    """Removes and returns requests that can't be served in time any more."""

  @abc.abstractmethod
  def queues(self) -> list[str]:
    """Returns the names of the queues that hold requests."""

  @abc.abstractmethod
  def waiting_by_rank(self) -> dict[str, int]:
    """Returns the number of waiting requests of each rank."""
