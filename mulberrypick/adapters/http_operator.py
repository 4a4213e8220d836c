"""HTTP client of the pages that entries and controllers show to operators."""

from http import HTTPStatus
from typing import Any

import msgspec
import urllib3
from urllib3 import exceptions

from mulberrypick.core import errors

EXPLAIN_PATH = '/explain/'
STATUS_PATH = '/status'


class OperatorClient:
  """Asks hosts; every failure is one that the report can name."""

  def __init__(self, timeout_s: float, token: str):
    """Makes the client.

    Args:
      timeout_s: Longest wait for one host.
      token: The operators' bearer token, empty for none.
    """
    self._pool = urllib3.PoolManager(
        retries=False, timeout=urllib3.Timeout(total=timeout_s)
    )
    self._headers = {'Authorization': f'Bearer {token}'} if token else {}

  def read_status(self, address: str) -> dict[str, Any]:
    """Reads the status of one host.

    Raises:
      EndpointError: The host did not show it.
    """
    return self._get(address, STATUS_PATH)

  def explain(self, address: str, request_id: str) -> list[str]:
    """Reads what one host knows of a request, oldest first.

    Raises:
      EndpointError: The host did not show it.
    """
    return self._get(address, EXPLAIN_PATH + request_id).get('lines', [])

  def _get(self, address: str, path: str) -> dict[str, Any]:
    try:
      response = self._pool.request(
          'GET', f'http://{address}{path}', headers=self._headers
      )
    except exceptions.HTTPError as error:
      message = f'no answer ({type(error).__name__})'
      raise errors.EndpointUnreachableError(address, message) from error
    if response.status == HTTPStatus.UNAUTHORIZED:
      message = 'the token is missing or wrong: set --operator-token'
      raise errors.EndpointRefusedError(address, message)
    if response.status != HTTPStatus.OK:
      message = f'it answered with status {response.status}'
      raise errors.EndpointRefusedError(address, message)
    try:
      return msgspec.json.decode(response.data, type=dict)
    except msgspec.MsgspecError as error:
      raise errors.EndpointFailedError(address, str(error)) from error
