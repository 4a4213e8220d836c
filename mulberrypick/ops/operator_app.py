"""The HTTP application for operators of an entry host, on a separate address.

`GET /status` returns the state of the process, and `GET /explain/ID` the
decisions to route, refuse or retry a request. Both require the operators' token
if one is set.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from mulberrypick.core import errors
from mulberrypick.ops import http_exchange
from mulberrypick.ops import operator_token

PATH_STATUS = '/status'
PREFIX_EXPLAIN = '/explain/'
MAX_BODY_BYTES = 1_000


class OperatorApp:
  """WSGI application that shows operators the state of an entry host."""

  def __init__(
      self,
      read_status: Callable[[], Any],
      explain: Callable[[str], list[str]],
      token: str,
  ):
    """Creates the application.

    Args:
      read_status: Returns the state of the process as records.
      explain: Returns the decisions about a request, oldest first.
      token: The operators' bearer token, empty to require none.
    """
    self._read_status = read_status
    self._explain = explain
    self._token = operator_token.OperatorToken(token)

  def __call__(
      self, environ: dict[str, Any], start_response: Callable[..., Any]
  ) -> Iterable[bytes]:
    """Serves one request."""
    exchange = http_exchange.Exchange(environ, start_response, 'operator')
    try:
      exchange.read_body(MAX_BODY_BYTES)
      self._token.check(exchange.headers)
      return self._route(exchange)
    except errors.RequestError as error:
      return exchange.respond_error(error)

  def _route(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    exchange.require_method('GET')
    if exchange.path == PATH_STATUS:
      return exchange.respond_json(200, self._read_status())
    if exchange.path.startswith(PREFIX_EXPLAIN):
      request_id = exchange.path[len(PREFIX_EXPLAIN) :]
      lines = self._explain(request_id)
      return exchange.respond_json(
          200, {'request_id': request_id, 'lines': lines}
      )
    raise errors.NotFoundError(f'there is no path {exchange.path!r}')
