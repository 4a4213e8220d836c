"""The HTTP application of a controller: health, and its status as JSON.

The status asks for the operators' token when one is set. Health does not: who
looks after processes holds no token, and it tells nothing.
"""

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from mulberrypick.core import errors
from mulberrypick.ops import http_exchange
from mulberrypick.ops import operator_token

PATH_HEALTH = '/healthz'
PATH_STATUS = '/status'
MAX_BODY_BYTES = 1_000


class ControllerApp:
  """A WSGI application that only reads."""

  def __init__(self, read_status: Callable[[], Any], token: str = ''):
    """Makes the application.

    Args:
      read_status: Returns records of the state.
      token: The operators' bearer token, empty to ask for none.
    """
    self._read_status = read_status
    self._token = operator_token.OperatorToken(token)

  def __call__(
      self, environ: dict[str, Any], start_response: Callable[..., Any]
  ) -> Iterable[bytes]:
    """Serves one request."""
    exchange = http_exchange.Exchange(environ, start_response, 'operator')
    try:
      exchange.read_body(MAX_BODY_BYTES)
      exchange.require_method('GET')
      return self._route(exchange)
    except errors.RequestError as error:
      return exchange.respond_error(error)

  def _route(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    if exchange.path == PATH_HEALTH:
      return exchange.respond_json(HTTPStatus.OK, {'status': 'ok'})
    if exchange.path == PATH_STATUS:
      self._token.check(exchange.headers)
      return exchange.respond_json(HTTPStatus.OK, self._read_status())
    raise errors.NotFoundError(f'no path {exchange.path}')
