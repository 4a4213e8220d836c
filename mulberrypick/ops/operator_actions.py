"""The actions of the operators' command, independent of its command line.

Each function returns a record that the command prints as text or JSON.
"""

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
from typing import Any
from typing import NamedTuple

from mulberrypick.adapters import http_operator
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import config
from mulberrypick.core import config_diff
from mulberrypick.core import drains
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.core import status
from mulberrypick.ops import config_fetch

MAX_PARALLEL_REQUESTS = 16
PLATFORM = 'platform'


class Plan(NamedTuple):
  """The changes that applying a file would make.

  Attributes:
    planned_on: The generation in force, to be passed to `apply`.
    operator: Name of the operator who applied that generation.
    changes: The changes against that generation.
  """

  planned_on: int
  operator: str
  changes: tuple[config_diff.Change, ...]


class DrainResult(NamedTuple):
  """The result of a drain or undrain.

  Attributes:
    endpoint: The endpoint.
    is_wanted: Whether a drain of the endpoint is now requested.
    was_changed: Whether this action changed that.
  """

  endpoint: str
  is_wanted: bool
  was_changed: bool


class Explanation(NamedTuple):
  """The decisions that entry hosts made for a request.

  Attributes:
    request_id: The id of the request.
    lines_by_address: Decisions by address of the entry host, oldest first.
    missing: Entry hosts that did not respond.
  """

  request_id: str
  lines_by_address: dict[str, list[str]]
  missing: tuple[status.MissingHost, ...]


def plan(platform: platform_lib.Platform, text: bytes) -> Plan:
  """Compares a file with the generation in force.

  Raises:
    ConfigError: The file is invalid.
    PlatformError: The platform cannot be read.
  """
  _, current = config_fetch.read_tree(platform)
  generation = current.config.generation
  declared = config.parse_config(text, generation + 1)
  changes = config_diff.diff_configs(current.config, declared)
  history = current.tree.head.history
  operator = history[0].operator if history else ''
  return Plan(generation, operator, tuple(changes))


def check_engine_listed(platform: platform_lib.Platform, endpoint: str) -> None:
  """Checks that the platform lists an engine, to catch mistyped names.

  A drain request for anything but a listed engine would have no effect.

  Raises:
    UnknownEndpointError: The platform lists no engine of this name.
    PlatformError: The list cannot be read.
  """
  names = sorted(
      host.name
      for host in platform.list_hosts()
      if host.kind == records.HOST_ENGINE
  )
  if endpoint not in names:
    raise errors.UnknownEndpointError(endpoint, names)


def drain(
    platform: platform_lib.Platform, endpoint: str, operator: str, reason: str
) -> DrainResult:
  """Requests the drain of an endpoint; the request is idempotent.

  Raises:
    PlatformError: The request could not be written.
  """
  value = drains.encode_request(drains.DrainRequest(operator, reason))
  try:
    platform.put(
        drains.drain_key(endpoint), value, platform_lib.MISSING_VERSION
    )
  except errors.ConflictError:
    return DrainResult(endpoint, True, False)
  except errors.PlatformAnswerLostError:
    # The drain is requested if its object exists, whichever write created it.
    if platform.get(drains.drain_key(endpoint)) is None:
      raise
  return DrainResult(endpoint, True, True)


def undrain(platform: platform_lib.Platform, endpoint: str) -> DrainResult:
  """Withdraws the request to drain an endpoint.

  Raises:
    PlatformError: The request could not be removed.
  """
  key = drains.drain_key(endpoint)
  stored = platform.get(key)
  if stored is None:
    return DrainResult(endpoint, False, False)
  try:
    platform.delete(key, stored.version)
  except (errors.ConflictError, errors.PlatformAnswerLostError):
    if platform.get(key) is not None:
      raise
  return DrainResult(endpoint, False, True)


def read_status(
    platform: platform_lib.Platform | None,
    client: http_operator.OperatorClient,
    entries: Sequence[str],
    controllers: Sequence[str],
) -> status.StatusReport:
  """Reads the status of all hosts in parallel.

  The accepted generation and the requested drains are read from the platform,
  unless it is None.
  """
  missing = []
  generation, operator, wanted = -1, '', ()
  if platform is not None:
    try:
      generation, operator, wanted = _read_platform(platform)
    except (errors.PlatformError, errors.ConfigError) as error:
      missing.append(status.MissingHost(PLATFORM, str(error)))
  entry_by_address = _query_all(entries, client.read_status, missing)
  controller_by_address = _query_all(controllers, client.read_status, missing)
  shown = tuple(entry_by_address.values())
  return status.StatusReport(
      generation,
      operator,
      wanted,
      shown,
      tuple(controller_by_address.values()),
      status.merge_latencies(shown),
      tuple(missing),
  )


def explain(
    client: http_operator.OperatorClient,
    entries: Sequence[str],
    request_id: str,
) -> Explanation:
  """Reads from all entry hosts the decisions that they made for a request."""
  missing = []
  found = _query_all(
      entries, lambda address: client.explain(address, request_id), missing
  )
  lines_by_address = {a: lines for a, lines in found.items() if lines}
  return Explanation(request_id, lines_by_address, tuple(missing))


def _read_platform(
    platform: platform_lib.Platform,
) -> tuple[int, str, tuple[str, ...]]:
  _, current = config_fetch.read_tree(platform)
  history = current.tree.head.history
  listing = platform.list_objects(drains.DRAIN_PREFIX)
  wanted = tuple(sorted(map(drains.endpoint_of, listing.value_by_key)))
  operator = history[0].operator if history else ''
  return current.config.generation, operator, wanted


def _query_all(
    addresses: Sequence[str],
    ask: Callable[[str], Any],
    missing: list[status.MissingHost],
) -> dict[str, Any]:
  """Queries hosts in parallel; adds hosts that do not respond to `missing`."""
  answer_by_address = {}
  with futures.ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as pool:
    pending = [(address, pool.submit(ask, address)) for address in addresses]
    for address, future in pending:
      try:
        answer_by_address[address] = future.result()
      except errors.EndpointError as error:
        missing.append(status.MissingHost(address, str(error)))
  return answer_by_address
