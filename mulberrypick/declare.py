"""Library to declare a deployment in Python and print it as JSON.

    deployment = declare.Deployment()
    urgent = deployment.add_rank('urgent', is_urgent=True, ...)
    ...
    deployment.print_json()

Each `add_` method checks its arguments against the entries declared before, and
raises `ConfigError` with all faults. So the traceback points to the line with
the mistake, and the printed configuration is valid. The JSON is canonical: the
same declaration prints the same bytes, in whatever order entries of one kind
are added.
"""

import hashlib
import re
import sys
from typing import TextIO

from mulberrypick.core import config
from mulberrypick.core import errors
from mulberrypick.core import records

_FAULT_PLACE = re.compile(r'(models|ranks|services|tenants)\[(\d+)\](.*)')

DEFAULT_ATTEMPTS = 3


def hash_token(token: str) -> str:
  """Returns the digest of a tenant's bearer token.

  The token itself belongs in a secret store, never in a declaration.
  """
  return hashlib.sha256(token.encode()).hexdigest()


class Deployment:
  """Models, ranks, services and tenants of a fleet."""

  def __init__(self):
    self._model_by_name = {}
    self._rank_by_name = {}
    self._service_by_name = {}
    self._tenant_by_name = {}
    self._name_by_token = {}
    self._total_share = 0.0

  def add_model(
      self,
      name: str,
      *,
      version: str,
      replicas: int,
      adapters: tuple[str, ...] = (),
  ) -> records.Model:
    """Declares a model.

    Args:
      name: Unique name.
      version: Version of the weights in the weight store.
      replicas: Number of engines in the whole fleet that hold the model.
      adapters: Names of the adapters to load with the model.

    Returns:
      The model, to be passed to `add_model_service`.

    Raises:
      ConfigError: The model is invalid; the error lists all faults.
    """
    model = records.Model(name, version, tuple(adapters), replicas)
    self._check_new('models', self._model_by_name, model)
    self._model_by_name[name] = model
    return model

  def add_rank(
      self,
      name: str,
      *,
      is_urgent: bool,
      first_token_s: float,
      between_tokens_s: float,
      deadline_s: float,
      reserve: float = 0.0,
  ) -> records.Rank:
    """Declares a rank, which is a class of requests with latency targets.

    Args:
      name: Unique name.
      is_urgent: Whether its requests precede those of non-urgent ranks.
      first_token_s: Target for the time to the first token, in seconds.
      between_tokens_s: Target for the time between two tokens, in seconds.
      deadline_s: Time for the complete response if the caller sets no deadline.
      reserve: Share of the fleet that is reserved for the rank under overload,
        0 to 1; the reserves of all ranks sum to at most 1.

    Returns:
      The rank, to be passed to services and tenants.

    Raises:
      ConfigError: The rank is invalid; the error lists all faults.
    """
    rank = records.Rank(
        name, is_urgent, first_token_s, between_tokens_s, deadline_s, reserve
    )
    self._check_new('ranks', self._rank_by_name, rank)
    self._rank_by_name[name] = rank
    return rank

  def add_model_service(
      self,
      name: str,
      *,
      model: records.Model,
      rank: records.Rank,
      timeout_s: float,
      adapter: str = '',
      max_attempts: int = DEFAULT_ATTEMPTS,
  ) -> records.Service:
    """Declares a service that is served by a model.

    Args:
      name: Unique name, by which callers address the service.
      model: The model.
      rank: Rank of requests that name none.
      timeout_s: Timeout of one attempt.
      adapter: One of the model's adapters, empty for none.
      max_attempts: Maximum number of attempts for a request.

    Returns:
      The service, to name it in tenants.

    Raises:
      ConfigError: The service is wrong; the error holds every fault.
    """
    service = records.Service(
        name,
        records.KIND_MODEL,
        model.name,
        adapter,
        rank.name,
        True,
        max_attempts,
        timeout_s,
    )
    return self._add_service(service)

  def add_plain_service(
      self,
      name: str,
      *,
      rank: records.Rank,
      is_repeatable: bool,
      timeout_s: float,
      max_attempts: int = DEFAULT_ATTEMPTS,
  ) -> records.Service:
    """Declares a plain service, which runs on no model engine.

    Args:
      name: Unique name, under which the platform lists the endpoints.
      rank: Rank of requests that name none.
      is_repeatable: Whether a call may be executed again. If not, callers send
        an idempotency key, and a call is executed at most once.
      timeout_s: Timeout of one attempt.
      max_attempts: Maximum number of attempts for a request. A call that is not
        repeatable is not retried once its first byte was sent.

    Returns:
      The service, to name it in tenants.

    Raises:
      ConfigError: The service is wrong; the error holds every fault.
    """
    service = records.Service(
        name,
        records.KIND_PLAIN,
        '',
        '',
        rank.name,
        is_repeatable,
        max_attempts,
        timeout_s,
    )
    return self._add_service(service)

  def add_tenant(
      self,
      name: str,
      *,
      share: float,
      services: tuple[records.Service, ...],
      ranks: tuple[records.Rank, ...],
      token_sha256: str = '',
  ) -> records.Tenant:
    """Declares a tenant.

    Args:
      name: Unique name.
      share: Share of the fleet that the tenant may claim, 0 to 1; the shares of
        all tenants sum to at most 1.
      services: Services that the tenant may call.
      ranks: Ranks that the tenant may use.
      token_sha256: Digest of the bearer token, see `hash_token`; empty if the
        tenant needs no token.

    Returns:
      The tenant.

    Raises:
      ConfigError: The tenant is invalid; the error lists all faults.
    """
    tenant = records.Tenant(
        name,
        share,
        tuple(service.name for service in services),
        tuple(rank.name for rank in ranks),
        token_sha256,
    )
    self._check_new('tenants', self._tenant_by_name, tenant)
    self._check_share(tenant)
    self._check_token(tenant)
    self._total_share += tenant.share
    self._name_by_token[token_sha256] = name
    self._tenant_by_name[name] = tenant
    return tenant

  def build(self) -> records.Config:
    """Returns the complete configuration after checking it as a whole.

    Raises:
      ConfigError: The configuration is invalid; the error lists all faults.
    """
    configuration = self._make_config(self._tenant_by_name)
    _check_config(configuration)
    return configuration

  def print_json(self, file: TextIO | None = None) -> None:
    """Prints the canonical JSON, for review and for `mulberrypick plan`.

    Args:
      file: Where to print, standard output if None.

    Raises:
      ConfigError: The configuration is invalid.
    """
    text = config.format_config(self.build()).decode('ascii')
    (file or sys.stdout).write(text)

  def _make_config(
      self, tenant_by_name: dict[str, records.Tenant]
  ) -> records.Config:
    return records.Config(
        0,
        dict(self._model_by_name),
        dict(self._rank_by_name),
        dict(self._service_by_name),
        tenant_by_name,
    )

  def _add_service(self, service: records.Service) -> records.Service:
    self._check_new('services', self._service_by_name, service)
    self._service_by_name[service.name] = service
    return service

  def _check_new(self, section: str, by_name: dict, record) -> None:
    """Checks an entry against the entries that it may refer to.

    Other tenants are not checked here, so that declaring thousands of tenants
    stays fast; `build` checks all of them.
    """
    if not isinstance(record.name, str):
      raise _make_error(section, 'the name must be text')
    if record.name in by_name:
      raise _make_error(f'{section} {record.name}', 'is declared twice')
    configuration = self._make_config({})
    field = f'{section.removesuffix("s")}_by_name'
    entries = {**getattr(configuration, field), record.name: record}
    _check_config(configuration._replace(**{field: entries}))

  def _check_share(self, tenant: records.Tenant) -> None:
    if self._total_share + tenant.share <= 1 + config.SHARE_TOLERANCE:
      return
    message = (
        f'{tenant.share:g} is more than the {max(0, 1 - self._total_share):.6g}'
        ' that the other tenants leave'
    )
    raise _make_error(f'tenants {tenant.name}.share', message)

  def _check_token(self, tenant: records.Tenant) -> None:
    other = self._name_by_token.get(tenant.token_sha256)
    if tenant.token_sha256 and other is not None:
      place = f'tenants {tenant.name}.token_sha256'
      raise _make_error(place, f'is the token of {other} too')


def _make_error(place: str, message: str) -> errors.ConfigError:
  return errors.ConfigError([errors.Fault(place, message)])


def _check_config(declared: records.Config) -> None:
  """Checks a configuration; faults refer to entries by name, not by index."""
  try:
    config.check_config(declared)
  except errors.ConfigError as error:
    data = config.to_data(declared)
    faults = []
    for fault in error.faults:
      match = _FAULT_PLACE.fullmatch(fault.place)
      if match:
        section, index, rest = match.groups()
        name = data[section][int(index)]['name']
        fault = fault._replace(place=f'{section} {name}{rest}')
      faults.append(fault)
    raise errors.ConfigError(faults) from error
  except TypeError as error:
    raise _make_error('declaration', str(error)) from error
