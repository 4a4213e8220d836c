"""Parses, validates and formats the declared configuration as JSON text.

A configuration is accepted or refused as a whole. The parser reports all faults
with their places in one pass, so that an operator can fix them together. It is
written by hand on top of field tables, because the typed decoders of the JSON
library stop at the first fault and do not report duplicate keys. The canonical
form sorts lists by name, so equal configurations have equal bytes and a small
change gives a small diff.
"""

import json
import math
from typing import Any

from mulberrypick.core import config_fields
from mulberrypick.core import errors
from mulberrypick.core import records

FORMAT = 1
MAX_CONFIG_BYTES = 64_000_000
SHARE_TOLERANCE = 1e-9

SECTIONS = config_fields.SECTIONS


def parse_config(text: bytes, generation: int) -> records.Config:
  """Parses and validates a declared configuration.

  Args:
    text: The JSON text.
    generation: The generation of the resulting configuration.

  Returns:
    The configuration.

  Raises:
    ConfigError: The text is invalid; the error lists all faults.
  """
  faults = []
  data = _decode(text, faults)
  if faults:
    raise errors.ConfigError(faults)
  _check_top_level_keys(data, faults)
  items_by_section = {}
  for section in SECTIONS:
    items = data.get(section, [])
    items_by_section[section] = _parse_section(section, items, faults)
  config = _build(items_by_section, generation)
  _check_references(items_by_section, config, faults)
  _check_sums(config, faults)
  if faults:
    raise errors.ConfigError(faults)
  return config


def check_config(config: records.Config) -> None:
  """Validates a configuration that was built in code.

  Raises:
    ConfigError: The configuration is invalid; the error lists all faults.
  """
  parse_config(format_config(config), config.generation)


def to_data(config: records.Config) -> dict[str, Any]:
  """Returns the canonical form as JSON-compatible data, sorted by name."""
  records_by_section = _records_by_section(config)
  data = {'format': FORMAT}
  for section in SECTIONS:
    record_by_name = records_by_section[section]
    data[section] = [
        record_by_name[name]._asdict() for name in sorted(record_by_name)
    ]
  return data


def format_config(config: records.Config) -> bytes:
  """Returns the canonical JSON text in ASCII, one field per line."""
  text = json.dumps(to_data(config), indent=2, ensure_ascii=True)
  return text.encode('ascii') + b'\n'


def _records_by_section(config: records.Config) -> dict[str, dict]:
  return {
      'models': config.model_by_name,
      'ranks': config.rank_by_name,
      'services': config.service_by_name,
      'tenants': config.tenant_by_name,
  }


def _decode(text: bytes, faults: list[errors.Fault]) -> dict[str, Any]:
  """Decodes JSON; duplicate keys, NaN and infinities are faults."""

  def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = {}
    for key, value in pairs:
      if key in result:
        faults.append(errors.Fault('file', f'the key "{key}" is duplicated'))
      result[key] = value
    return result

  def reject_constant(constant: str) -> None:
    faults.append(errors.Fault('file', f'{constant} is not JSON'))

  if len(text) > MAX_CONFIG_BYTES:
    message = f'is larger than {MAX_CONFIG_BYTES} bytes'
    faults.append(errors.Fault('file', message))
    return {}
  try:
    data = json.loads(
        text, object_pairs_hook=build_object, parse_constant=reject_constant
    )
  except (ValueError, RecursionError) as error:
    faults.append(errors.Fault('file', f'is not JSON: {error}'))
    return {}
  if not isinstance(data, dict):
    faults.append(errors.Fault('file', 'must be a JSON object'))
  return data


def _check_top_level_keys(
    data: dict[str, Any], faults: list[errors.Fault]
) -> None:
  if type(data.get('format')) is not int or data['format'] != FORMAT:
    faults.append(errors.Fault('format', f'must be {FORMAT}'))
  for key in data:
    if key != 'format' and key not in SECTIONS:
      allowed = ', '.join(SECTIONS)
      faults.append(errors.Fault(key, f'is unknown; known keys: {allowed}'))


def _parse_section(
    section: str, items: Any, faults: list[errors.Fault]
) -> list[dict[str, Any]]:
  """Returns the fields of each entry of a section, without invalid ones."""
  if not isinstance(items, list):
    faults.append(errors.Fault(section, 'must be a list'))
    return []
  parsed = []
  index_by_name = {}
  for index, item in enumerate(items):
    place = f'{section}[{index}]'
    values = _parse_item(section, place, item, faults)
    parsed.append(values)
    name = values.get('name')
    if name is None:
      continue
    if name in index_by_name:
      message = f'"{name}" is already used by {section}[{index_by_name[name]}]'
      faults.append(errors.Fault(f'{place}.name', message))
    index_by_name.setdefault(name, index)
  return parsed


def _parse_item(
    section: str, place: str, item: Any, faults: list[errors.Fault]
) -> dict[str, Any]:
  if not isinstance(item, dict):
    faults.append(errors.Fault(place, 'must be an object'))
    return {}
  fields = config_fields.FIELDS_BY_SECTION[section]
  values = {}
  for field in fields:
    value = item.get(field.name, field.default)
    if value is config_fields.REQUIRED:
      faults.append(errors.Fault(f'{place}.{field.name}', 'is missing'))
      continue
    message = field.check(list(value) if value == () else value)
    if message:
      faults.append(errors.Fault(f'{place}.{field.name}', message))
      continue
    values[field.name] = tuple(value) if isinstance(value, list) else value
  known = {field.name for field in fields}
  for key in item:
    if key not in known:
      faults.append(errors.Fault(f'{place}.{key}', 'is unknown'))
  return values


def _build(
    items_by_section: dict[str, list[dict[str, Any]]], generation: int
) -> records.Config:
  """Builds a configuration from the valid items; invalid ones are left out."""
  shared_tuples = {}
  record_by_name_by_section = {}
  for section in SECTIONS:
    record_by_name = {}
    for values in items_by_section[section]:
      if len(values) < len(config_fields.FIELDS_BY_SECTION[section]):
        continue
      for key, value in values.items():
        # Uses one object for equal tuples, to save memory: thousands of
        # tenants have the same few lists.
        if isinstance(value, tuple):
          values[key] = shared_tuples.setdefault(value, value)
        elif isinstance(value, int) and key.endswith('_s'):
          values[key] = float(value)
      for key in ('share', 'reserve'):
        if key in values:
          values[key] = float(values[key])
      record = config_fields.TYPE_BY_SECTION[section](**values)
      record_by_name[record.name] = record
    record_by_name_by_section[section] = record_by_name
  return records.Config(
      generation,
      *(record_by_name_by_section[section] for section in SECTIONS),
  )


def _check_references(
    items_by_section: dict[str, list[dict[str, Any]]],
    config: records.Config,
    faults: list[errors.Fault],
) -> None:
  """Checks references between entries.

  A name counts as known if any entry has it, even an invalid one. An invalid
  entry is thus not reported again by every entry that refers to it.
  """
  known_by_section = {
      section: {values.get('name') for values in items_by_section[section]}
      for section in SECTIONS
  }
  for index, values in enumerate(items_by_section['ranks']):
    _check_rank(f'ranks[{index}]', values, faults)
  for index, values in enumerate(items_by_section['services']):
    place = f'services[{index}]'
    _check_service(place, values, known_by_section, config, faults)
  _check_tenants(items_by_section['tenants'], known_by_section, faults)


def _check_rank(
    place: str, values: dict[str, Any], faults: list[errors.Fault]
) -> None:
  deadline_s = values.get('deadline_s')
  if deadline_s is None:
    return
  for key in ('first_token_s', 'between_tokens_s'):
    if values.get(key, 0.0) > deadline_s:
      message = f'{values[key]} is greater than deadline_s {deadline_s}'
      faults.append(errors.Fault(f'{place}.{key}', message))


def _check_service(
    place: str,
    values: dict[str, Any],
    known_by_section: dict[str, set[str]],
    config: records.Config,
    faults: list[errors.Fault],
) -> None:
  rank = values.get('rank')
  if rank is not None and rank not in known_by_section['ranks']:
    faults.append(errors.Fault(f'{place}.rank', f'unknown rank "{rank}"'))
  if values.get('kind') == records.KIND_PLAIN:
    for key in ('model', 'adapter'):
      if values.get(key):
        message = 'must be empty for a plain service'
        faults.append(errors.Fault(f'{place}.{key}', message))
    return
  if values.get('kind') != records.KIND_MODEL:
    return
  if values.get('is_repeatable') is False:
    message = 'must be true for a model: only plain calls support claims'
    faults.append(errors.Fault(f'{place}.is_repeatable', message))
  model = values.get('model')
  if model is not None and model not in known_by_section['models']:
    message = f'unknown model "{model}"' if model else 'is missing'
    faults.append(errors.Fault(f'{place}.model', message))
    return
  adapter = values.get('adapter')
  declared = config.model_by_name.get(model)
  if adapter and declared and adapter not in declared.adapters:
    message = f'model "{model}" has no adapter "{adapter}"'
    faults.append(errors.Fault(f'{place}.adapter', message))


def _check_tenants(
    items: list[dict[str, Any]],
    known_by_section: dict[str, set[str]],
    faults: list[errors.Fault],
) -> None:
  index_by_token = {}
  for index, values in enumerate(items):
    place = f'tenants[{index}]'
    for section in ('services', 'ranks'):
      for position, name in enumerate(values.get(section, ())):
        if name not in known_by_section[section]:
          message = f'unknown {section.removesuffix("s")} "{name}"'
          faults.append(errors.Fault(f'{place}.{section}[{position}]', message))
    token = values.get('token_sha256')
    if not token:
      continue
    if token in index_by_token:
      message = f'is also the token of tenants[{index_by_token[token]}]'
      faults.append(errors.Fault(f'{place}.token_sha256', message))
    index_by_token.setdefault(token, index)


def _check_sums(config: records.Config, faults: list[errors.Fault]) -> None:
  shares = math.fsum(t.share for t in config.tenant_by_name.values())
  if shares > 1 + SHARE_TOLERANCE:
    message = f'the shares add up to {shares:.6g}, which is more than 1'
    faults.append(errors.Fault('tenants', message))
  reserves = math.fsum(r.reserve for r in config.rank_by_name.values())
  if reserves > 1 + SHARE_TOLERANCE:
    message = f'the reserves add up to {reserves:.6g}, which is more than 1'
    faults.append(errors.Fault('ranks', message))
