"""Counts of what is sent between hosts."""

from typing import NamedTuple


class PeerCounts(NamedTuple):
  """Traffic counters since the start.

  Attributes:
    sent_bytes: Bytes of all frames sent, without TCP and ZeroMQ overhead.
    received_bytes: Bytes of all frames received.
    sent_by_kind: Number of messages sent by kind, without replies.
    dropped: Messages dropped because a queue was full or a peer unreachable.
    refused: Handshakes refused because of a key of another deployment.
  """

  sent_bytes: int
  received_bytes: int
  sent_by_kind: dict[str, int]
  dropped: int
  refused: int = 0
