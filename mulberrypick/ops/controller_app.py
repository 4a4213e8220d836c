"""The HTTP application of a controller: health, and its status as JSON."""

from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from mulberrypick.core import errors
from mulberrypick.ops import http_exchange

PATH_HEALTH = '/healthz'
PATH_STATUS = '/status'
MAX_BODY_BYTES = 1_000


class ControllerApp:
  """A WSGI application that only reads."""

  def __init__(self, read_status: Callable[[], Any]):
    """Makes the application.

    Args:
      read_status: Returns records of the state.
    """
    self._read_status = read_status

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
      return exchange.answer_error(error)

  def _route(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    if exchange.path == PATH_HEALTH:
      return exchange.answer_json(HTTPStatus.OK, {'status': 'ok'})
    if exchange.path == PATH_STATUS:
      return exchange.answer_json(HTTPStatus.OK, self._read_status())
    raise errors.NotFoundError(f'no path {exchange.path}')
