"""Decodes and encodes JSON of which some values are unusable.

A list of the platform holds entries of many writers. One value that is nested
too deeply, a number out of range or text that is not UTF-8 must not hide the
others.
"""

import re
from typing import Any

import msgspec

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|[,:]', re.DOTALL)
_OPENING = (b'[', b'{')
_CLOSING = (b']', b'}')
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
_ENCODE_ERRORS = (
    msgspec.MsgspecError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)


class _Unreadable:
  """Type of `UNREADABLE`."""

  def __repr__(self) -> str:
    return 'UNREADABLE'


# Takes the place of a value that can't be decoded.
UNREADABLE = _Unreadable()


def decode(raw: bytes, levels: int = 0) -> Any:
  """Decodes JSON.

  Args:
    raw: The JSON.
    levels: Number of levels of lists and objects in which unusable values are
      replaced by `UNREADABLE`. Members with an unusable key are left out.

  Raises:
    msgspec.DecodeError: It can't be decoded as a whole.
  """
  value = _decode(raw, levels)
  if value is UNREADABLE:
    raise msgspec.DecodeError('not JSON, or a value in it is out of range')
  return value


def encode(value: Any) -> bytes:
  """Encodes a value as JSON.

  Members of an object that can't be encoded are left out; any other such value
  becomes null.
  """
  try:
    return msgspec.json.encode(value)
  except _ENCODE_ERRORS:
    # Its members are tried one by one.
    pass
  if not isinstance(value, dict):
    return b'null'
  usable = {}
  for key, member in value.items():
    try:
      msgspec.json.encode(member)
    except _ENCODE_ERRORS:
      continue
    usable[key] = member
  return msgspec.json.encode(usable)


def _decode(raw: bytes, levels: int) -> Any:
  try:
    return msgspec.json.decode(raw)
  except _DECODE_ERRORS:
    # Its members are tried one by one.
    pass
  raw = raw.strip()
  is_list = raw.startswith(b'[') and raw.endswith(b']')
  is_object = raw.startswith(b'{') and raw.endswith(b'}')
  members = None
  if levels and (is_list or is_object):
    members = _split(raw[1:-1])
  if members is None:
    return UNREADABLE
  if is_list:
    return [_decode(value, levels - 1) for _, value in members]
  found = {}
  for raw_key, value in members:
    key = _decode(raw_key, 0)
    if isinstance(key, str):
      found[key] = _decode(value, levels - 1)
  return found


def _split(raw: bytes) -> list[tuple[bytes, bytes]] | None:
  """Splits the inside of a list or an object into its members.

  Returns:
    Key and value of each member, the key empty without a colon; None if the
    brackets in it do not match.
  """
  members = []
  key = b''
  depth = begin = 0
  for token in _TOKEN.finditer(raw):
    first = token[0][:1]
    if first in _OPENING:
      depth += len(token[0])
    elif first in _CLOSING:
      depth -= len(token[0])
      if depth < 0:
        return None
    elif not depth and first == b',':
      members.append((key, raw[begin : token.start()]))
      key, begin = b'', token.end()
    elif not depth and first == b':' and not key:
      key, begin = raw[begin : token.start()], token.end()
  if depth:
    return None
  if key or raw[begin:].strip():
    members.append((key, raw[begin:]))
  return members
