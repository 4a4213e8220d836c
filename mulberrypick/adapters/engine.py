"""What the system asks of a model engine, whatever its wire format."""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from mulberrypick.core import records


class CacheEvent(NamedTuple):
  """A prefix block that an engine stored or evicted; late and with gaps.

  Attributes:
    number: Grows by one with every event; a jump is a gap.
    is_stored: False for an eviction.
    block: Chained hash of the prompt up to the end of the block.
  """

  number: int
  is_stored: bool
  block: int


class ExportedKvCache(NamedTuple):
  """KV cache that a prefill engine holds for export.

  Attributes:
    endpoint: Name of the engine that holds it.
    address: `ip:port` of that engine.
    kv_id: Id at that engine.
    tokens: Prompt tokens that it covers.
  """

  endpoint: str
  address: str
  kv_id: str
  tokens: int


class Engine(abc.ABC):
  """Calls to one engine at a time, named by an attempt or an address.

  Every method raises `EndpointUnreachableError` when no byte reached the
  engine, `EndpointDrainingError` or `EndpointRefusedError` when the engine
  says that it did not run the request, and `EndpointFailedError` when the
  connection broke later.
  """

  @abc.abstractmethod
  def generate(
      self,
      attempt: records.Attempt,
      request: records.InferenceRequest,
      kv: ExportedKvCache | None = None,
  ) -> Iterator[records.Frame]:
    """Streams an answer; closing the iterator cancels it on the engine."""

  @abc.abstractmethod
  def prefill(
      self, attempt: records.Attempt, request: records.InferenceRequest
  ) -> ExportedKvCache:
    """Runs the prompt only, and leaves its KV cache for export."""

  @abc.abstractmethod
  def cancel(self, attempt: records.Attempt) -> None:
    """Cancels an attempt; one that is not known is no error."""

  @abc.abstractmethod
  def read_load(self, endpoint: str, address: str) -> records.EngineReport:
    """Reads the lagging load report."""

  @abc.abstractmethod
  def read_state(self, endpoint: str, address: str) -> records.EngineState:
    """Reads roles, models and orders as they are now."""

  @abc.abstractmethod
  def read_cache_events(
      self, endpoint: str, address: str, after_number: int
  ) -> list[CacheEvent]:
    """Reads cache events after a number, oldest first."""

  @abc.abstractmethod
  def send_order(self, address: str, order: records.Order) -> None:
    """Gives an order; returns once the engine has accepted it.

    Raises:
      StaleFenceError: The engine has seen a higher fencing number.
    """
