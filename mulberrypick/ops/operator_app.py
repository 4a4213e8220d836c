"""The operators' HTTP application of an entry, on an address of its own.

`GET /status` shows the state of the process, `GET /explain/ID` why a request
was routed, refused or retried as it was. Both ask for the operators' token
when one is set.
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
  """A WSGI application that only reads."""

  def __init__(
      self,
      read_status: Callable[[], Any],
      explain: Callable[[str], list[str]],
      token: str,
  ):
    """Makes the application.

    Args:
      read_status: Returns records of the state.
      explain: Returns what is known of a request, oldest first.
      token: The operators' bearer token, empty to ask for none.
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
