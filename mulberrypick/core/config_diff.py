"""Describes the differences between two configurations.

Operators read the result, which includes the effects on running requests,
before they apply a change.
"""

from typing import Any
from typing import NamedTuple

from mulberrypick.core import records

ADDED = 'added'
REMOVED = 'removed'
CHANGED = 'changed'


class FieldChange(NamedTuple):
  """One field whose value differs."""

  field: str
  old: Any
  new: Any


class Change(NamedTuple):
  """One entry that differs between two configurations.

  Attributes:
    section: `models`, `ranks`, `services` or `tenants`.
    name: Name of the entry.
    action: `ADDED`, `REMOVED` or `CHANGED`.
    fields: The fields that differ; all fields of an added entry, none of a
      removed one.
    effects: Effects of the change on requests and engines, one sentence each.
  """

  section: str
  name: str
  action: str
  fields: tuple[FieldChange, ...]
  effects: tuple[str, ...]


def diff_configs(old: records.Config, new: records.Config) -> list[Change]:
  """Lists differences by section and name; generations are not compared."""
  changes = []
  pairs = (
      ('models', old.model_by_name, new.model_by_name),
      ('ranks', old.rank_by_name, new.rank_by_name),
      ('services', old.service_by_name, new.service_by_name),
      ('tenants', old.tenant_by_name, new.tenant_by_name),
  )
  for section, old_by_name, new_by_name in pairs:
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
      before, after = old_by_name.get(name), new_by_name.get(name)
      if before == after:
        continue
      changes.append(_describe(section, name, before, after))
  return changes


def format_changes(changes: list[Change]) -> str:
  """Returns changes as lines marked `+` (added), `-` or `~` (changed)."""
  lines = []
  mark_by_action = {ADDED: '+', REMOVED: '-', CHANGED: '~'}
  for change in changes:
    mark = mark_by_action[change.action]
    lines.append(f'{mark} {change.section} {change.name}')
    for field in change.fields:
      lines.append(f'    {_format_field(change.action, field)}')
    for effect in change.effects:
      lines.append(f'    => {effect}')
  return '\n'.join(lines)


def _describe(section: str, name: str, before: Any, after: Any) -> Change:
  if before is None:
    action = ADDED
    fields = tuple(
        FieldChange(field, None, value)
        for field, value in after._asdict().items()
        if field != 'name'
    )
  elif after is None:
    action, fields = REMOVED, ()
  else:
    action = CHANGED
    fields = tuple(
        FieldChange(field, value, getattr(after, field))
        for field, value in before._asdict().items()
        if value != getattr(after, field)
    )
  effects = _EFFECTS_BY_SECTION[section](action, before, after)
  return Change(section, name, action, fields, tuple(effects))


def _format_field(action: str, field: FieldChange) -> str:
  if action == ADDED:
    return f'{field.field}: {_format_value(field.new)}'
  old, new = _format_value(field.old), _format_value(field.new)
  return f'{field.field}: {old} -> {new}'


def _format_value(value: Any) -> str:
  if isinstance(value, tuple):
    return '[' + ', '.join(value) + ']'
  if isinstance(value, bool):
    return 'true' if value else 'false'
  return '""' if value == '' else str(value)


def _model_effects(action: str, old: Any, new: Any) -> list[str]:
  if action == ADDED:
    return [f'{new.replicas} engines drain one at a time and load it']
  if action == REMOVED:
    return ['its engines drain, finish running requests, and unload it']
  effects = []
  if old.version != new.version or old.adapters != new.adapters:
    effects.append(
        'its engines drain one at a time, finish or hand over running requests,'
        ' and load the new version; no request is interrupted'
    )
  if new.replicas > old.replicas:
    effects.append(f'{new.replicas - old.replicas} more engines load it')
  if new.replicas < old.replicas:
    count = old.replicas - new.replicas
    effects.append(
        f'{count} engines drain, finish running requests, and unload it'
    )
  return effects


def _rank_effects(action: str, old: Any, new: Any) -> list[str]:
  if action == REMOVED:
    return ['new requests of this rank are refused; running requests finish']
  if action == ADDED:
    return []
  return ['requests that arrive after the change have the new targets']


def _service_effects(action: str, old: Any, new: Any) -> list[str]:
  if action == REMOVED:
    return ['new requests are refused as not found; running requests finish']
  if action == ADDED:
    return []
  effects = ['running requests finish under the old settings']
  if old.is_repeatable and not new.is_repeatable:
    effects.append('new calls need an Idempotency-Key and create a claim')
  if not old.is_repeatable and new.is_repeatable:
    effects.append('WARNING: calls may run more than once from now on')
  if old.model != new.model:
    effects.append(f'new requests go to engines that have {new.model} loaded')
  return effects


def _tenant_effects(action: str, old: Any, new: Any) -> list[str]:
  if action == REMOVED:
    return ['its new requests are refused; running requests finish']
  if action == ADDED:
    return []
  effects = []
  if old.share != new.share:
    effects.append('queued requests are ordered by the new share')
  if old.token_sha256 != new.token_sha256:
    effects.append('its old token is refused immediately')
  for kind, before, after in (
      ('services', old.services, new.services),
      ('ranks', old.ranks, new.ranks),
  ):
    lost = sorted(set(before) - set(after))
    if lost:
      effects.append(f'new requests to {kind} {", ".join(lost)} are refused')
  return effects


_EFFECTS_BY_SECTION = {
    'models': _model_effects,
    'ranks': _rank_effects,
    'services': _service_effects,
    'tenants': _tenant_effects,
}
