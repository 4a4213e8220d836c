"""Checks the bearer token of operators, for all HTTP applications."""

import hashlib
import hmac
from collections.abc import Mapping

from mulberrypick.core import caller as caller_checks
from mulberrypick.core import errors


class OperatorToken:
  """The token that operators must present; only its digest is stored."""

  def __init__(self, token: str):
    """Stores the digest of the token; an empty token requires none."""
    self._token_sha256 = _digest(token) if token else ''

  def check(self, headers: Mapping[str, str]) -> None:
    """Checks the token of a request in constant time.

    Raises:
      UnauthorizedError: The token is missing or wrong.
    """
    if not self._token_sha256:
      return
    given = headers.get(caller_checks.HEADER_AUTHORIZATION, '')
    digest = _digest(given.removeprefix('Bearer '))
    if not hmac.compare_digest(digest, self._token_sha256):
      raise errors.UnauthorizedError('the operator token is missing or wrong')


def _digest(token: str) -> str:
  return hashlib.sha256(token.encode()).hexdigest()
