"""Interface for messages between entry hosts, independent of the transport."""

import abc
from collections.abc import Callable

# Handler(sender name, body) returns the reply to a request. No reply is sent if
# it returns None or if the message is not a request.
Handler = Callable[[str, bytes], bytes | None]


class Peers(abc.ABC):
  """Sends and receives messages of entry hosts. Messages may be lost.

  All methods may be called from any thread: they only pass the message to the
  thread that owns the sockets. Handlers run on that thread and must not block.

  Attributes:
    address: `ip:port` at which other hosts reach this one, known once it
      listens.
  """

  address: str = ''

  @abc.abstractmethod
  def register_handler(self, kind: str, handler: Handler) -> None:
    """Registers the handler for a kind of message, before `start`."""

  @abc.abstractmethod
  def send(self, peer_address: str, kind: str, body: bytes) -> None:
    """Sends a message without a reply; lost if the peer is unreachable."""

  @abc.abstractmethod
  def request(
      self, peer_address: str, kind: str, body: bytes, timeout_s: float
  ) -> bytes | None:
    """Sends a request and waits; returns the reply, None after a timeout."""
