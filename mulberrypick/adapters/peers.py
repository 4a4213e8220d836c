"""What entry hosts ask of each other, whatever carries it."""

import abc
from collections.abc import Callable

# A handler gets the sender's name and the body; what it returns goes back to a
# sender that asked, and None leaves the question unanswered.
Handler = Callable[[str, bytes], bytes | None]


class Peers(abc.ABC):
  """Messages to and from other entry hosts; losses are normal.

  All methods may be called from any task: they only post to the task that
  owns the socket. Handlers run on that task and must not block.

  Attributes:
    address: `ip:port` by which other hosts reach this one, known once it
      listens.
  """

  address: str = ''

  @abc.abstractmethod
  def register_handler(self, kind: str, handler: Handler) -> None:
    """Registers the handler of one kind of message; before `start`."""

  @abc.abstractmethod
  def send(self, peer_address: str, kind: str, body: bytes) -> None:
    """Sends a message that needs no answer; lost if the peer is away."""

  @abc.abstractmethod
  def request(
      self, peer_address: str, kind: str, body: bytes, timeout_s: float
  ) -> bytes | None:
    """Sends a question and waits; None if no answer came in time."""
