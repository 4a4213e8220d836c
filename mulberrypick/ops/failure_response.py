"""Failures of this system's own, as callers see them."""

from mulberrypick.adapters import stream_server
from mulberrypick.platform import requests

# Statuses that are sent only if nothing ran.
_NOT_RUN_STATUSES = (404, 503)


def write_failure(
    caller: stream_server.ServerConnection,
    status: int,
    reason: str,
    request_id: str,
    retry_after_s: float | None,
) -> None:
  """Writes a failure.

  Args:
    caller: Who gets it.
    status: 404 or 503 if nothing ran; 502 or 504 if that is not known.
    reason: A word for callers and logs.
    request_id: The request's id, empty if it has none.
    retry_after_s: When to come back; None if that would not help.
  """
  if caller.is_closed:
    return
  run = 'not_run' if status in _NOT_RUN_STATUSES else 'unknown'
  body = b'{"error":{"type":"%s","run":"%s"}}' % (reason.encode(), run.encode())
  caller.write_response(
      status, requests.error_headers(request_id, retry_after_s), body
  )
