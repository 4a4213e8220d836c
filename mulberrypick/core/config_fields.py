"""The fields of a declared configuration and the check for each value.

A check gets a single value and returns an error message, empty if the value is
valid. References between entries are checked in `config`.
"""

import re
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from mulberrypick.core import records

SECTIONS = ('models', 'ranks', 'services', 'tenants')
MAX_ATTEMPTS = 10
MAX_DURATION_S = 86_400.0
MAX_REPLICAS = 100_000

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
_LABEL = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DIGEST = re.compile(r'([0-9a-f]{64})?')
REQUIRED = object()


class Field(NamedTuple):
  """One field of an entry.

  Attributes:
    name: Name of the field, the same in JSON and in the record.
    check: Returns an error message for a value, empty if the value is valid.
    default: Value used if the field is absent, or `REQUIRED`.
  """

  name: str
  check: Callable[[Any], str]
  default: Any = REQUIRED


def _check_name(value: Any) -> str:
  if isinstance(value, str) and _NAME.fullmatch(value):
    return ''
  return (
      'must be 1 to 63 characters of a-z, 0-9, ".", "_" and "-", starting with'
      ' a letter or digit'
  )


def _check_reference(value: Any) -> str:
  return '' if value == '' else _check_name(value)


def _check_label(value: Any) -> str:
  if isinstance(value, str) and _LABEL.fullmatch(value):
    return ''
  return 'must be 1 to 63 characters of letters, digits, ".", "_" and "-"'


def _check_names(value: Any) -> str:
  if not isinstance(value, list):
    return 'must be a list of names'
  for item in value:
    if _check_name(item):
      return f'{item!r} {_check_name(item)}'
  if len(set(value)) < len(value):
    return 'has duplicate names'
  return ''


def _check_kind(value: Any) -> str:
  if value in (records.KIND_MODEL, records.KIND_PLAIN):
    return ''
  return f'must be "{records.KIND_MODEL}" or "{records.KIND_PLAIN}"'


def _check_bool(value: Any) -> str:
  return '' if isinstance(value, bool) else 'must be true or false'


def _is_number(value: Any) -> bool:
  return isinstance(value, int | float) and not isinstance(value, bool)


def _check_share(value: Any) -> str:
  if _is_number(value) and 0 <= value <= 1:
    return ''
  return 'must be a number from 0 to 1'


def _check_duration(value: Any) -> str:
  if _is_number(value) and 0 < value <= MAX_DURATION_S:
    return ''
  return f'must be greater than 0 and at most {MAX_DURATION_S:.0f} seconds'


def _check_attempts(value: Any) -> str:
  if type(value) is int and 1 <= value <= MAX_ATTEMPTS:
    return ''
  return f'must be an integer from 1 to {MAX_ATTEMPTS}'


def _check_replicas(value: Any) -> str:
  if type(value) is int and 0 <= value <= MAX_REPLICAS:
    return ''
  return f'must be an integer from 0 to {MAX_REPLICAS}'


def _check_digest(value: Any) -> str:
  if isinstance(value, str) and _DIGEST.fullmatch(value):
    return ''
  return 'must be empty or 64 lowercase hexadecimal digits'


FIELDS_BY_SECTION = {
    'models': (
        Field('name', _check_name),
        Field('version', _check_label),
        Field('adapters', _check_names, ()),
        Field('replicas', _check_replicas),
    ),
    'ranks': (
        Field('name', _check_name),
        Field('is_urgent', _check_bool),
        Field('first_token_s', _check_duration),
        Field('between_tokens_s', _check_duration),
        Field('deadline_s', _check_duration),
        Field('reserve', _check_share, 0.0),
    ),
    'services': (
        Field('name', _check_name),
        Field('kind', _check_kind),
        Field('model', _check_reference, ''),
        Field('adapter', _check_reference, ''),
        Field('rank', _check_name),
        Field('is_repeatable', _check_bool, True),
        Field('max_attempts', _check_attempts, 3),
        Field('timeout_s', _check_duration),
    ),
    'tenants': (
        Field('name', _check_name),
        Field('share', _check_share),
        Field('services', _check_names),
        Field('ranks', _check_names),
        Field('token_sha256', _check_digest, ''),
    ),
}

TYPE_BY_SECTION = {
    'models': records.Model,
    'ranks': records.Rank,
    'services': records.Service,
    'tenants': records.Tenant,
}
