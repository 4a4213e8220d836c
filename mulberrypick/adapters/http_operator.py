"""HTTP client of the operator endpoints of entries and controllers."""

from http import HTTPStatus
from typing import Any

import msgspec
import urllib3
from urllib3 import exceptions

from mulberrypick.adapters import http_limits
from mulberrypick.core import errors

EXPLAIN_PATH = '/explain/'
STATUS_PATH = '/status'


class OperatorClient:
  """Client of the operator endpoints; raises only `EndpointError`."""

  def __init__(self, timeout_s: float, token: str):
    """Creates the client.

    Args:
      timeout_s: Timeout of a call to one host.
      token: The operators' bearer token, empty for none.
    """
    self._pool = urllib3.PoolManager(
        retries=False, timeout=urllib3.Timeout(total=timeout_s)
    )
    http_limits.limit_pool(self._pool)
    self._headers = {'Authorization': f'Bearer {token}'} if token else {}

  def read_status(self, address: str) -> dict[str, Any]:
    """Reads the status of one host.

    Raises:
      EndpointError: The host did not return its status.
    """
    return self._get(address, STATUS_PATH)

  def explain(self, address: str, request_id: str) -> list[str]:
    """Reads the recorded events of a request from one host, oldest first.

    Raises:
      EndpointError: The host did not return the events.
    """
    return self._get(address, EXPLAIN_PATH + request_id).get('lines', [])

  def _get(self, address: str, path: str) -> dict[str, Any]:
    try:
      response = self._pool.request(
          'GET', f'http://{address}{path}', headers=self._headers
      )
    except exceptions.HTTPError as error:
      message = f'no response ({type(error).__name__})'
      raise errors.EndpointUnreachableError(address, message) from error
    if response.status == HTTPStatus.UNAUTHORIZED:
      message = 'the bearer token is missing or wrong: set --operator-token'
      raise errors.EndpointRefusedError(address, message)
    if response.status != HTTPStatus.OK:
      message = f'unexpected status {response.status}'
      raise errors.EndpointRefusedError(address, message)
    try:
      return msgspec.json.decode(response.data, type=dict)
    except msgspec.MsgspecError as error:
      raise errors.EndpointFailedError(address, str(error)) from error
