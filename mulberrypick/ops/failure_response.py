"""Error responses that this system generates itself."""

from mulberrypick.adapters import server_connection
from mulberrypick.ops import forward_server
from mulberrypick.platform import requests

# Statuses that are sent only if the request did not run.
_NOT_RUN_STATUSES = (404, 503)


def write_failure(
    caller: server_connection.ServerConnection | forward_server.ForwardedCaller,
    status: int,
    reason: str,
    request_id: str,
    retry_after_s: float | None,
) -> None:
  """Writes an error response unless the caller has disconnected.

  Args:
    caller: Connection to the caller.
    status: 404 or 503 if the request did not run; 502 or 504 if it may have.
    reason: Identifier of the cause, for callers and logs.
    request_id: The request's id, empty if it has none.
    retry_after_s: Time after which to retry; None if a retry would not help.
  """
  if caller.is_closed:
    return
  run = 'not_run' if status in _NOT_RUN_STATUSES else 'unknown'
  body = b'{"error":{"type":"%s","run":"%s"}}' % (reason.encode(), run.encode())
  caller.write_response(
      status, requests.error_headers(request_id, retry_after_s), body
  )
