"""What waits for an endpoint, and what decides who goes next.

Requests wait here and not in the engines' queues, because an engine knows
neither tenants nor reserves.
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
  """Returns the name that reports use for a model and its adapter."""
  return f'{model}+{adapter}' if adapter else model


def fingerprint(request: records.InferenceRequest) -> int:
  """Returns the hash of what an endpoint is given to run."""
  text = f'{request.model}|{request.adapter}|{request.prompt}'
  return xxhash.xxh64_intdigest(text.encode())


class WaitingRequest(NamedTuple):
  """A request that waits for an endpoint.

  Attributes:
    request: The request.
    next_index: First token wanted; above 0 for a resume.
    failed_endpoints: Endpoints that it is kept away from.
    cost: What it is expected to take.
    queued_at: When it came to wait.
    is_retry: Whether it ran before; such a request is never refused here for
      want of room.
    fingerprint: Hash of its content.
    blocks: Hashes of the prompt's blocks, chained; may be empty.
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
  """A waiting request that gets its final answer."""

  waiting: WaitingRequest
  error: errors.RequestError


class Admission(abc.ABC):
  """The waiting requests of one entry host, in order of service."""

  def configure(self, config: records.Config) -> None:  # noqa: B027
    """Takes in a newer configuration."""

  def set_capacity(self, queue: str, engines: float) -> None:  # noqa: B027
    """Tells how many engines' worth of a queue's endpoints this host has."""

  def update_peer(  # noqa: B027
      self, peer: str, digest: fleet_usage.UsageDigest, now: float
  ) -> None:
    """Takes in what tenants and ranks used on another host."""

  def digest(self, now: float) -> fleet_usage.UsageDigest:
    """Returns what tenants and ranks used here, for the peers."""
    del now
    return fleet_usage.UsageDigest({}, {}, {}, {})

  def demand(self, queue: str, now: float) -> partition.Demand | None:
    """Returns the demand over the whole fleet, or None if not known."""
    del queue, now

  def own_fraction(self) -> float:
    """Returns the part of the fleet's use that is due to this host."""
    return 0.0

  def fill_fraction(
      self, queue: str, waiting: WaitingRequest, now: float
  ) -> float:
    """Returns the part of an endpoint's room that a request may fill."""
    del queue, waiting, now
    return 1.0

  @abc.abstractmethod
  def offer(
      self, queue: str, waiting: WaitingRequest, now: float
  ) -> errors.RequestError | None:
    """Takes a request in, or returns why it is refused."""

  @abc.abstractmethod
  def heads(self, queue: str, now: float) -> list[WaitingRequest]:
    """Returns the requests of a queue that may go next, in order.

    There is more than one where the first may have to wait for an endpoint
    of a kind that the others don't need.
    """

  @abc.abstractmethod
  def take(self, request_id: str, now: float) -> None:
    """Removes a request that `heads` returned, as it starts now."""

  @abc.abstractmethod
  def withdraw(self, request_id: str) -> WaitingRequest | None:
    """Removes a request whose caller left."""

  @abc.abstractmethod
  def expire(self, now: float) -> list[Refusal]:
    """Removes requests that can't be served in time any more."""

  @abc.abstractmethod
  def queues(self) -> list[str]:
    """Returns the names of the queues that hold requests."""

  @abc.abstractmethod
  def waiting_by_rank(self) -> dict[str, int]:
    """Counts the waiting requests of each rank."""
