"""Encodes for the store why requests with some prompt parts are refused.

The objects lie beside those of refused requests and name their crashes in the
same way, see `objects.encode_refusal`.
"""

import logging
from typing import Any

import xxhash

from mulberrypick.adapters import logs
from mulberrypick.core import crashing_parts
from mulberrypick.core import part_exchange
from mulberrypick.platform import fields

_log = logging.getLogger(__name__)
_PARTS = 'parts'


def is_part_refusal(spec: Any) -> bool:
  """Returns whether an object is a refusal because of parts."""
  return isinstance(spec, dict) and _PARTS in spec


def encode(
    keys: frozenset[int],
    reports: list[part_exchange.PartCrashReport],
    wall_s: float,
) -> tuple[str, dict[str, Any]]:
  """Encodes the crashes for which requests with some parts are refused.

  Args:
    keys: The parts.
    reports: The crashes.
    wall_s: Unix time.

  Returns:
    Name and content of the object.
  """
  crashes = []
  for report in reports:
    crashes.append(
        {
            'endpoint': report.endpoint,
            'incarnation': report.incarnation,
            'crashedAt': round(wall_s - report.age_s, 3),
            'hasToken': False,
            'requests': [request for request, _ in report.runs],
        }
    )
  name = xxhash.xxh3_64_hexdigest(crashing_parts.format_keys(keys).encode())
  return name, {'crashes': crashes, _PARTS: sorted(keys)}


def decode(
    name: str, spec: Any, wall_s: float
) -> list[part_exchange.PartCrashReport]:
  """Decodes the crashes for which requests with some parts are refused.

  Args:
    name: Name of the object.
    spec: Its content.
    wall_s: Unix time.

  Returns:
    The crashes, empty if the object is malformed.
  """
  try:
    keys = _read_hashes(spec[_PARTS])
    reports = []
    for crash in spec['crashes']:
      runs = tuple((r, keys) for r in _read_hashes(crash['requests']))
      reports.append(
          part_exchange.PartCrashReport(
              fields.read_text(crash, 'endpoint'),
              fields.read_int(crash, 'incarnation'),
              max(0.0, wall_s - fields.read_number(crash, 'crashedAt')),
              runs,
          )
      )
    return reports
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'refusal_malformed',
        name=name,
        error=fields.describe(error),
    )
    return []


def _read_hashes(values: list[Any]) -> tuple[int, ...]:
  hashes = tuple(int(value) for value in values)
  if not all(0 <= value <= fields.MAX_HASH for value in hashes):
    raise ValueError('a hash has more than 64 bits')
  return hashes
