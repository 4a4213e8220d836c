"""Validates a caller's headers against the configuration.

The functions here have no side effects: they map headers and the current
configuration to a validated caller, or raise a `RequestError`. A tenant is
identified by its bearer token, by the tenant header, or by both. If the
configuration has a token for the tenant, the token is always required.
"""

import hashlib
import hmac
import re
from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import errors
from mulberrypick.core import records

HEADER_TENANT = 'X-Mulberry-Tenant'
HEADER_RANK = 'X-Mulberry-Rank'
HEADER_DEADLINE_MS = 'X-Mulberry-Deadline-Ms'
HEADER_REQUEST_ID = 'X-Request-Id'
HEADER_IDEMPOTENCY_KEY = 'Idempotency-Key'
HEADER_AUTHORIZATION = 'Authorization'

MAX_DEADLINE_MS = 3_600_000
MAX_IDEMPOTENCY_KEY_CHARS = 200
_REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]{1,100}')
_KEY = re.compile(r'[\x21-\x7e]+')


class Caller(NamedTuple):
  """A validated caller and what it requests.

  Attributes:
    tenant: The tenant.
    service: The requested service.
    rank: The rank of this request.
    deadline_s: Seconds after arrival by which the complete answer is needed.
  """

  tenant: records.Tenant
  service: records.Service
  rank: records.Rank
  deadline_s: float


def check_caller(
    config: records.Config, headers: Mapping[str, str], service_name: str
) -> Caller:
  """Validates the tenant, service, rank and deadline of a request.

  Args:
    config: The configuration in force.
    headers: Headers of the request, by the `HEADER_` names of this module.
    service_name: The service that the request names.

  Returns:
    The validated caller.

  Raises:
    UnauthorizedError: The token is missing or wrong.
    NotFoundError: There is no such tenant or service.
    ForbiddenError: The tenant may not use the service or the rank.
    BadRequestError: The rank is unknown or the deadline is malformed.
  """
  tenant = find_tenant(config, headers)
  service = config.service_by_name.get(service_name)
  if service is None:
    raise errors.NotFoundError(f'service {service_name!r} does not exist')
  if service.name not in tenant.services:
    raise errors.ForbiddenError(
        f'tenant {tenant.name} may not use service {service.name}'
    )
  rank = _find_rank(config, tenant, service, headers)
  return Caller(tenant, service, rank, _read_deadline_s(rank, headers))


def find_tenant(
    config: records.Config, headers: Mapping[str, str]
) -> records.Tenant:
  """Finds the tenant that a request belongs to.

  Raises:
    UnauthorizedError: The token is missing or wrong.
    NotFoundError: There is no such tenant.
  """
  name = headers.get(HEADER_TENANT, '')
  digest = _read_token_sha256(headers)
  if not name:
    return _find_tenant_by_token(config, digest)
  tenant = config.tenant_by_name.get(name)
  if tenant is None:
    raise errors.NotFoundError(f'tenant {name!r} does not exist')
  if not tenant.token_sha256:
    return tenant
  if not hmac.compare_digest(tenant.token_sha256, digest):
    raise errors.UnauthorizedError('the bearer token is missing or wrong')
  return tenant


def read_request_id(headers: Mapping[str, str], fallback: str) -> str:
  """Returns the request id of the headers if it is valid, else `fallback`."""
  request_id = headers.get(HEADER_REQUEST_ID, '')
  if _REQUEST_ID.fullmatch(request_id):
    return request_id
  return fallback


def read_idempotency_key(
    headers: Mapping[str, str], service: records.Service
) -> str:
  """Returns the idempotency key, or an empty string if none is required.

  Raises:
    BadRequestError: The key is malformed, or missing although required.
  """
  key = headers.get(HEADER_IDEMPOTENCY_KEY, '')
  if not key and service.is_repeatable:
    return ''
  if not key:
    raise errors.BadRequestError(
        f'{HEADER_IDEMPOTENCY_KEY}: calls to service {service.name} are not'
        ' repeatable, so it needs a key'
    )
  if len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not _KEY.fullmatch(key):
    raise errors.BadRequestError(
        f'{HEADER_IDEMPOTENCY_KEY}: must be a single key of 1 to'
        f' {MAX_IDEMPOTENCY_KEY_CHARS} printable ASCII characters, no spaces'
    )
  return key


def _read_token_sha256(headers: Mapping[str, str]) -> str:
  scheme, _, token = headers.get(HEADER_AUTHORIZATION, '').partition(' ')
  if scheme.lower() != 'bearer' or not token:
    return ''
  return hashlib.sha256(token.strip().encode()).hexdigest()


def _find_tenant_by_token(
    config: records.Config, digest: str
) -> records.Tenant:
  if not digest:
    raise errors.UnauthorizedError(
        f'send {HEADER_TENANT} or a bearer token to identify the tenant'
    )
  # The timing of this search can reveal how digests compare, not the token.
  for tenant in config.tenant_by_name.values():
    if hmac.compare_digest(tenant.token_sha256, digest):
      return tenant
  raise errors.UnauthorizedError('no tenant has this bearer token')


def _find_rank(
    config: records.Config,
    tenant: records.Tenant,
    service: records.Service,
    headers: Mapping[str, str],
) -> records.Rank:
  name = headers.get(HEADER_RANK, '') or service.rank
  rank = config.rank_by_name.get(name)
  if rank is None:
    raise errors.BadRequestError(f'{HEADER_RANK}: rank {name!r} does not exist')
  if rank.name not in tenant.ranks:
    raise errors.ForbiddenError(
        f'tenant {tenant.name} may not use rank {rank.name}'
    )
  return rank


def _read_deadline_s(rank: records.Rank, headers: Mapping[str, str]) -> float:
  text = headers.get(HEADER_DEADLINE_MS, '')
  if not text:
    return rank.deadline_s
  if not (text.isascii() and text.isdigit() and len(text) <= 9):
    raise errors.BadRequestError(
        f'{HEADER_DEADLINE_MS}: must be an integer number of milliseconds'
    )
  deadline_ms = int(text)
  if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
    raise errors.BadRequestError(
        f'{HEADER_DEADLINE_MS}: must be from 1 to {MAX_DEADLINE_MS} ms'
    )
  return deadline_ms / 1000
