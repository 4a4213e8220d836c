"""Requests of operators to drain an engine: `drains/<endpoint>` objects.

The object's presence is the request; deleting it lets the engine serve again.
"""

from typing import NamedTuple

import msgspec

DRAIN_PREFIX = 'drains/'


class DrainRequest(NamedTuple):
  """Who wants an engine drained, and why.

  Attributes:
    operator: Name of the operator.
    reason: For other operators to read.
  """

  operator: str
  reason: str


def drain_key(endpoint: str) -> str:
  """Returns the key of the request for an engine."""
  return DRAIN_PREFIX + endpoint


def endpoint_of(key: str) -> str:
  """Returns the engine that a key is about."""
  return key.removeprefix(DRAIN_PREFIX)


def encode_request(request: DrainRequest) -> bytes:
  """Encodes a request."""
  return msgspec.json.encode(request._asdict())
