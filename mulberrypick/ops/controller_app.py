"""HTTP application of a controller: a health check, and its status as JSON.

The status requires the operators' token if one is configured. The health check
does not, because process supervisors hold no token and it exposes no state.
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
  """WSGI application that shows the health and status of a controller."""

  def __init__(self, read_status: Callable[[], Any], token: str = ''):
    """Initializes the application.

    Args:
      read_status: Returns the status of the controller as records.
      token: The operators' bearer token; empty if none is required.
    """
    self._read_status = read_status
    self._token = operator_token.OperatorToken(token)

  def __call__(
      self, environ: dict[str, Any], start_response: Callable[..., Any]
  ) -> Iterable[bytes]:
    """Handles one request."""
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
