"""The check of the operators' bearer token, for every operators' address."""

import hashlib
import hmac
from collections.abc import Mapping

from mulberrypick.core import caller as caller_checks
from mulberrypick.core import errors


class OperatorToken:
  """The token that operators have to show; only its digest is kept."""

  def __init__(self, token: str):
    """Takes the token, empty to ask for none."""
    self._token_sha256 = _digest(token) if token else ''

  def check(self, headers: Mapping[str, str]) -> None:
    """Checks the token of a request, in constant time.

    Raises:
      UnauthorizedError: It is missing or wrong.
    """
    if not self._token_sha256:
      return
    given = headers.get(caller_checks.HEADER_AUTHORIZATION, '')
    digest = _digest(given.removeprefix('Bearer '))
    if not hmac.compare_digest(digest, self._token_sha256):
      raise errors.UnauthorizedError('the operator token is missing or wrong')


def _digest(token: str) -> str:
  return hashlib.sha256(token.encode()).hexdigest()
