"""Operators' requests to drain an engine, stored as `drains/<endpoint>`.

The request lasts while the object exists; deleting the object lets the engine
serve again.
"""

from typing import NamedTuple

import msgspec

DRAIN_PREFIX = 'drains/'


class DrainRequest(NamedTuple):
  """An operator's request to drain an engine.

  Attributes:
    operator: Name of the operator.
    reason: Reason shown to other operators.
  """

  operator: str
  reason: str


def drain_key(endpoint: str) -> str:
  """Returns the key of the drain request for an engine."""
  return DRAIN_PREFIX + endpoint


def endpoint_of(key: str) -> str:
  """Returns the name of the engine in a drain request's key."""
  return key.removeprefix(DRAIN_PREFIX)


def encode_request(request: DrainRequest) -> bytes:
  """Encodes a drain request."""
  return msgspec.json.encode(request._asdict())
