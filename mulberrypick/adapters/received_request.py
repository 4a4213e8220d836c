"""Requests of callers, and what they may take."""

from typing import NamedTuple


class Limits(NamedTuple):
  """Limits for requests of callers.

  Attributes:
    max_header_bytes: Maximum size of the head of a request.
    max_body_bytes: Maximum size of the body of a request.
    header_timeout_s: Time for receiving a head, from its first byte.
    idle_timeout_s: Time that a connection may stay idle between requests.
  """

  max_header_bytes: int = 16384
  max_body_bytes: int = 4194304
  header_timeout_s: float = 3.0
  idle_timeout_s: float = 15.0


class ReceivedRequest(NamedTuple):
  """A completely received request.

  Attributes:
    method: The method.
    target: Path and query, as received.
    headers: Pairs of name and value; names are spelled as received.
    body: The body.
    peer: IP address of the caller.
    received_at: When it was complete, on the clock of the event loop.
    follows_close: Whether it crossed the head of a response that says that the
      connection closes. Its caller may ignore the response, so that the request
      must not run.
  """

  method: bytes
  target: bytes
  headers: list[tuple[bytes, bytes]]
  body: bytes
  peer: str
  received_at: float
  follows_close: bool = False
