"""Interface to model engines, independent of the wire format."""

import abc
from collections.abc import Iterator
from typing import NamedTuple

from mulberrypick.core import records


class CacheEvent(NamedTuple):
  """A prefix-cache block that an engine stored or evicted.

  Events may arrive late, and some may be missing.

  Attributes:
    number: Sequence number of the event; a gap in the numbers means that events
      are missing.
    is_stored: True if the block was stored, False if it was evicted.
    block: Chained hash of the prompt up to the end of the block.
  """

  number: int
  is_stored: bool
  block: int


class ExportedKvCache(NamedTuple):
  """KV cache that a prefill engine holds for export.

  Attributes:
    endpoint: Name of the engine that holds the cache.
    address: `ip:port` of that engine.
    kv_id: Id of the cache on that engine.
    tokens: Number of prompt tokens in the cache.
  """

  endpoint: str
  address: str
  kv_id: str
  tokens: int


class Engine(abc.ABC):
  """Client of model engines; each call goes to a single engine.

  Every method raises `EndpointUnreachableError` if no byte reached the
  engine, `EndpointDrainingError` or `EndpointRefusedError` if the engine
  reports that it did not run the request, and `EndpointFailedError` if the
  connection broke later.
  """

  @abc.abstractmethod
  def generate(
      self,
      attempt: records.Attempt,
      request: records.InferenceRequest,
      kv: ExportedKvCache | None = None,
  ) -> Iterator[records.Frame]:
    """Streams a response; closing the iterator cancels the attempt."""

  @abc.abstractmethod
  def prefill(
      self, attempt: records.Attempt, request: records.InferenceRequest
  ) -> ExportedKvCache:
    """Runs only the prefill; the engine keeps the KV cache for export."""

  @abc.abstractmethod
  def cancel(self, attempt: records.Attempt) -> None:
    """Cancels an attempt; an attempt unknown to the engine is no error."""

  @abc.abstractmethod
  def read_load(self, endpoint: str, address: str) -> records.EngineReport:
    """Reads the load report, which may lag behind the engine."""

  @abc.abstractmethod
  def read_state(self, endpoint: str, address: str) -> records.EngineState:
    """Reads the current role, models and orders of an engine."""

  @abc.abstractmethod
  def read_cache_events(
      self, endpoint: str, address: str, after_number: int
  ) -> list[CacheEvent]:
    """Reads an engine's prefix-cache events after a sequence number.

    Returns:
      The events, oldest first.
    """

  @abc.abstractmethod
  def send_order(self, address: str, order: records.Order) -> None:
    """Sends an order; returns once the engine has accepted it.

    Raises:
      StaleFenceError: The engine has seen a higher fencing token.
    """
