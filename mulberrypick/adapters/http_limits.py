"""Limits on the size and the time of responses that are read with urllib3.

The library bounds single lines and each single read. A peer that keeps sending
could still be read forever.
"""

import http.client
import io
import time
from typing import Any

import urllib3
from urllib3 import connection

# Bytes of a response with its head, all interim responses and chunk frames; in
# a stream from one frame to the next.
MAX_RESPONSE_BYTES = 16 << 20
# The same for the platform, whose lists hold many objects of up to 1 MB.
MAX_LIST_BYTES = 64 << 20


class ResponseLimitError(OSError):
  """A response is too large, or takes too long although data arrives."""


class _LimitedFile(io.RawIOBase):
  """Reads from the socket of a response within limits."""

  def __init__(self, raw: Any, timeout_s: float | None, max_bytes: int):
    self._raw = raw
    self._max_bytes = max_bytes
    self._received_bytes = 0
    self._ends_at = float('inf')
    self.restart(timeout_s)

  def restart(self, timeout_s: float | None) -> None:
    """Starts both limits anew."""
    self._received_bytes = 0
    if timeout_s is not None:
      self._ends_at = time.monotonic() + timeout_s

  def readable(self) -> bool:
    """Returns whether the file can be read."""
    return True

  def readinto(self, buffer: Any) -> int | None:
    """Reads into a buffer.

    Raises:
      ResponseLimitError: A limit is exceeded.
    """
    if time.monotonic() > self._ends_at:
      raise ResponseLimitError('the response takes too long')
    count = self._raw.readinto(buffer)
    self._received_bytes += count or 0
    if self._received_bytes > self._max_bytes:
      raise ResponseLimitError(f'the response exceeds {self._max_bytes} bytes')
    return count

  def close(self) -> None:
    """Closes the underlying file."""
    if not self.closed:
      self._raw.close()
    super().close()


class _LimitedResponse(http.client.HTTPResponse):
  """A response whose total time is that of one read of its connection."""

  max_bytes = MAX_RESPONSE_BYTES

  def __init__(self, sock: Any, *args: Any, **kwargs: Any):
    super().__init__(sock, *args, **kwargs)
    self.limits = _LimitedFile(
        self.fp.detach(), sock.gettimeout(), self.max_bytes
    )
    self.fp = io.BufferedReader(self.limits)

  def begin(self) -> None:
    """Reads the head.

    Raises:
      ResponseLimitError: The body is too large.
    """
    super().begin()
    if self.length is not None and self.length > self.max_bytes:
      raise ResponseLimitError(f'the body has {self.length} bytes')


class LimitedConnection(connection.HTTPConnection):
  """A connection whose responses are limited."""

  response_class = _LimitedResponse


class _LimitedPool(urllib3.HTTPConnectionPool):

  ConnectionCls = LimitedConnection


class _ListResponse(_LimitedResponse):

  max_bytes = MAX_LIST_BYTES


class _ListConnection(LimitedConnection):

  response_class = _ListResponse


class _ListPool(urllib3.HTTPConnectionPool):

  ConnectionCls = _ListConnection


def limit_pool(pool: urllib3.PoolManager, has_lists: bool = False) -> None:
  """Limits all responses on the connections of a pool.

  Args:
    pool: The pool.
    has_lists: Whether responses are limited by `MAX_LIST_BYTES`.
  """
  pool_class = _ListPool if has_lists else _LimitedPool
  pool.pool_classes_by_scheme = {'http': pool_class}


def restart(response: urllib3.BaseHTTPResponse, timeout_s: float) -> None:
  """Starts the limits of a response anew, after a frame of a stream arrived.

  Args:
    response: The response.
    timeout_s: Time limit until the next call.
  """
  original = response._original_response
  if original is not None:
    original.limits.restart(timeout_s)
