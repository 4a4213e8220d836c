"""Applies a configuration change: writes its parts, then its head.

A generation of the configuration is stored as parts, which are small objects,
and one head object, which refers to them. The write of the head is the commit:
no reader sees a part of the change before it. It is a conditional update of the
version that the change was planned on. The operator is told one of four
results: the change was accepted, it was refused because the named operator was
faster, it was not written because the platform was unavailable, or its outcome
is unknown.
"""

import logging
import secrets
from typing import NamedTuple

import tenacity

from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import chart
from mulberrypick.core import config
from mulberrypick.core import config_parts
from mulberrypick.core import errors
from mulberrypick.ops import config_fetch

_logger = logging.getLogger(__name__)
_CHART = chart.load_chart('config_apply')

NONCE_BYTES = 8
MAX_TRIES = 6
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0


class AppliedChange(NamedTuple):
  """An accepted change.

  Attributes:
    generation: The new generation.
    newest: The newest generation when the outcome was determined; above
      `generation` if another change has already followed.
    parts_written: Number of parts that the change wrote.
    bytes_written: Total size of these parts and of the head object.
  """

  generation: int
  newest: int
  parts_written: int
  bytes_written: int


def apply_config(
    platform: platform_lib.Platform,
    text: bytes,
    planned_on: int,
    operator: str,
) -> AppliedChange:
  """Applies a declared configuration as the next generation.

  Args:
    platform: The platform.
    text: The configuration's JSON text.
    planned_on: The generation that the change was planned on.
    operator: Name of the operator, shown to operators whose concurrent change
      is refused.

  Returns:
    The accepted change.

  Raises:
    ConfigError: The text is invalid; nothing was written.
    ConfigRaceError: Another change was faster; no part of this one is in
      force.
    ConfigUnknownError: The response to the write was lost, and the platform
      could not be read afterwards.
    PlatformError: No part of the change is in force.
  """
  generation = planned_on + 1
  declared = config.parse_config(text, generation)
  version, old = config_fetch.read_tree(platform)
  if old.config.generation != planned_on:
    raise _make_race_error(planned_on, old.tree.head)
  nonce = secrets.token_hex(NONCE_BYTES)
  acceptance = config_parts.Acceptance(generation, operator, nonce)
  tree = config_parts.build_tree(declared, acceptance, old.tree)
  size, count = _write_parts(platform, tree, old.tree)
  value = config_parts.encode_head(tree.head)
  newest = _write_head(platform, value, version, acceptance)
  remove_replaced_parts(platform, old.tree, tree)
  return AppliedChange(generation, newest, count, size + len(value))


def remove_replaced_parts(
    platform: platform_lib.Platform,
    old: config_parts.Tree,
    new: config_parts.Tree,
) -> int:
  """Removes the parts that the new generation has replaced.

  Parts that could not be removed are removed later by `tidy`.

  Returns:
    The number of removed parts.
  """
  removed = 0
  kept = config_parts.list_parts(new)
  for name in sorted(config_parts.list_parts(old) - kept):
    removed += _remove(platform, name)
  return removed


def tidy(platform: platform_lib.Platform) -> int:
  """Removes the configuration parts that no generation can refer to any more.

  Such parts are left by changes that lost a race or were interrupted.

  Returns:
    The number of removed parts.
  """
  _, snapshot = config_fetch.read_tree(platform)
  names = config_parts.list_parts(snapshot.tree)
  listing = platform.list_objects(config_parts.PART_PREFIX)
  removed = 0
  for key in sorted(listing.value_by_key):
    name = key.removeprefix(config_parts.PART_PREFIX)
    if config_parts.is_garbage(name, snapshot.tree, names):
      removed += _remove(platform, name)
  return removed


def _remove(platform: platform_lib.Platform, name: str) -> int:
  key = config_parts.PART_PREFIX + name
  try:
    stored = platform.get(key)
    if stored is None:
      return 0
    platform.delete(key, stored.version)
  except errors.PlatformError as error:
    logs.log_event(
        _logger, logging.INFO, 'config_part_kept', part=name, error=str(error)
    )
    return 0
  return 1


def _write_parts(
    platform: platform_lib.Platform,
    tree: config_parts.Tree,
    old: config_parts.Tree,
) -> tuple[int, int]:
  """Writes the new parts, in any order.

  Readers ignore them until the head, which refers to the parts, is written.

  Returns:
    The total size of the new parts in bytes, and their number.
  """
  existing = config_parts.list_parts(old)
  new = {n: v for n, v in tree.part_by_name.items() if n not in existing}
  for name, value in new.items():
    _put_part(platform, config_parts.PART_PREFIX + name, value)
  return sum(map(len, new.values())), len(new)


def _is_worth_retrying(error: BaseException) -> bool:
  return isinstance(
      error, errors.PlatformUnavailableError | errors.PlatformAnswerLostError
  )


_retry = tenacity.retry(
    retry=tenacity.retry_if_exception(_is_worth_retrying),
    stop=tenacity.stop_after_attempt(MAX_TRIES),
    wait=tenacity.wait_random_exponential(INITIAL_BACKOFF_S, MAX_BACKOFF_S),
    reraise=True,
)


@_retry
def _put_part(platform: platform_lib.Platform, key: str, value: bytes) -> None:
  """Creates a part.

  A part that exists already has the same content, because its name is the
  digest of its content.
  """
  try:
    platform.put(key, value, platform_lib.MISSING_VERSION)
  except errors.ConflictError:
    pass


def _write_head(
    platform: platform_lib.Platform,
    value: bytes,
    version: int,
    acceptance: config_parts.Acceptance,
) -> int:
  """Writes the head, which puts the new generation in force.

  The steps follow the state machine `config_apply`.

  Returns:
    The newest generation.
  """
  state = _CHART.initial
  may_be_written = False

  @_retry
  def write() -> str:
    nonlocal may_be_written
    try:
      platform.put(config_parts.HEAD_KEY, value, version)
    except errors.PlatformAnswerLostError:
      may_be_written = True
      raise
    except errors.ConflictError:
      return 'conflict'
    return 'written'

  try:
    event = write()
  except errors.PlatformError as error:
    if not may_be_written:
      raise
    raise _make_unknown_error(acceptance) from error
  state = chart.advance(_CHART, state, event)
  if state == 'accepted':
    return acceptance.generation
  return _resolve_conflict(platform, acceptance, state, may_be_written)


def _resolve_conflict(
    platform: platform_lib.Platform,
    acceptance: config_parts.Acceptance,
    state: str,
    may_be_written: bool,
) -> int:
  """Determines, after a conflict, whether this write changed the head.

  An earlier try may have succeeded although its response was lost.
  """
  try:
    head = _read_head(platform)
  except errors.PlatformError as error:
    raise _make_unknown_error(acceptance) from error
  state = chart.advance(_CHART, state, find_write_event(head, acceptance))
  if state == 'accepted':
    return head.generation
  if state == 'unknown' and may_be_written:
    raise _make_unknown_error(acceptance)
  raise _make_race_error(acceptance.generation - 1, head)


def find_write_event(
    head: config_parts.Head, acceptance: config_parts.Acceptance
) -> str:
  """Determines from the history in a later head whether a write was accepted.

  Returns:
    An event of the state machine `config_apply` in its state `unsettled`.
  """
  for past in head.history:
    if past.generation == acceptance.generation:
      if past.nonce == acceptance.nonce:
        return 'own_nonce_found'
      return 'own_nonce_absent'
  return 'history_too_short'


@_retry
def _read_head(platform: platform_lib.Platform) -> config_parts.Head:
  stored = platform.get(config_parts.HEAD_KEY)
  if stored is None:
    return config_parts.EMPTY_HEAD
  return config_parts.decode_head(stored.value)


def _make_race_error(
    planned_on: int, head: config_parts.Head
) -> errors.ConfigRaceError:
  """Returns an error that names the operator of the winning change."""
  operator = ''
  for past in head.history:
    if past.generation == planned_on + 1:
      operator = past.operator
  if not operator and head.history:
    operator = head.history[0].operator
  return errors.ConfigRaceError(planned_on, head.generation, operator)


def _make_unknown_error(
    acceptance: config_parts.Acceptance,
) -> errors.ConfigUnknownError:
  return errors.ConfigUnknownError(
      f'generation {acceptance.generation} was sent, but it is not known'
      ' whether it was accepted; run `mulberrypick status` when the platform is'
      f' available again, and look for nonce {acceptance.nonce}'
  )
