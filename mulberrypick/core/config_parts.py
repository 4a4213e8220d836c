"""Splits a configuration into a tree of small objects.

Objects of the platform hold at most a megabyte, and a change of one tenant must
cause little traffic to hundreds of hosts. Tenants are therefore distributed by
hash over leaf parts of a few kilobytes. Index parts name the leaves, and the
head object names the topmost index parts. A change replaces one leaf and the
index parts above it.

A part is named `DIGEST-GENERATION`: a digest of its bytes, and the generation
that first contained it. Because a name determines the bytes, readers cannot mix
generations. A part that has left the tree never returns to it: a generation
reuses names only from the generation it was planned on, and writes all other
parts under its own number. Old parts can therefore be removed without a clock:
no later head can refer to a name whose generation is at most the head's and
which is not in the head's tree. Names made of the digest alone would be unsafe:
a writer that finds its part already present could lose it to a removal that
started earlier (see spec/config_model.py).
"""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash

from mulberrypick.core import errors
from mulberrypick.core import records

HEAD_KEY = 'config/head'
PART_PREFIX = 'config/part/'
TENANTS_PER_LEAF = 24
MAX_TENANTS_PER_LEAF = 48
MIN_TENANTS_PER_LEAF = 8
FAN_OUT = 32
MAX_LEAF_BITS = 20
MAX_HISTORY_ENTRIES = 32
_DIGEST_HEX_DIGITS = 24
_HASH_BITS = 64


class Acceptance(NamedTuple):
  """Identifies the accepted change that created a generation.

  Attributes:
    generation: The generation.
    operator: Name of the operator who applied the change.
    nonce: Random text that identifies the write of this change.
  """

  generation: int
  operator: str
  nonce: str


class Head(NamedTuple):
  """The root object, which names an accepted generation and its parts.

  Attributes:
    generation: The generation.
    fleet: Name of the part with models, ranks and services.
    leaf_bits: Binary logarithm of the number of leaves.
    tenants: Names of the topmost index parts, or of the leaves if there is no
      index part.
    tenant_count: Number of tenants.
    history: The latest accepted changes, newest first, including this one.
  """

  generation: int
  fleet: str
  leaf_bits: int
  tenants: tuple[str, ...]
  tenant_count: int
  history: tuple[Acceptance, ...]


class FleetPart(NamedTuple):
  """The part with everything except tenants."""

  models: tuple[records.Model, ...]
  ranks: tuple[records.Rank, ...]
  services: tuple[records.Service, ...]


class Tree(NamedTuple):
  """The objects of one generation: the head, and its parts by name."""

  head: Head
  part_by_name: dict[str, bytes]


EMPTY_HEAD = Head(0, '', 0, (), 0, ())

_encode = msgspec.json.encode
_head_decoder = msgspec.json.Decoder(Head)
_fleet_decoder = msgspec.json.Decoder(FleetPart)
_leaf_decoder = msgspec.json.Decoder(tuple[records.Tenant, ...])
_index_decoder = msgspec.json.Decoder(tuple[str, ...])


def encode_head(head: Head) -> bytes:
  """Encodes the head object, which names a generation and its parts."""
  return _encode(head)


def decode_head(value: bytes) -> Head:
  """Decodes the head object, which names a generation and its parts.

  Raises:
    ConfigError: The bytes are not a valid head object.
  """
  try:
    return _head_decoder.decode(value)
  except msgspec.MsgspecError as error:
    raise _malformed('config/head', str(error)) from error


def build_tree(
    declared: records.Config, acceptance: Acceptance, old: Tree
) -> Tree:
  """Splits a validated configuration into parts.

  Args:
    declared: The configuration.
    acceptance: The change that creates the new generation; its number overrides
      that of `declared`.
    old: The generation that the change was planned on; unchanged parts are
      reused from it.

  Returns:
    The complete tree, including reused parts.
  """
  builder = _Builder(acceptance.generation, old)
  fleet = FleetPart(
      *(
          tuple(by_name[name] for name in sorted(by_name))
          for by_name in (
              declared.model_by_name,
              declared.rank_by_name,
              declared.service_by_name,
          )
      )
  )
  fleet_name = builder.add(_encode(fleet))
  leaf_bits = choose_leaf_bits(len(declared.tenant_by_name), old.head.leaf_bits)
  leaves = [[] for _ in range(1 << leaf_bits)]
  for name in sorted(declared.tenant_by_name):
    leaves[_leaf_of(name, leaf_bits)].append(declared.tenant_by_name[name])
  names = [builder.add(_encode(tuple(leaf))) for leaf in leaves]
  while len(names) > FAN_OUT:
    groups = [
        tuple(names[start : start + FAN_OUT])
        for start in range(0, len(names), FAN_OUT)
    ]
    names = [builder.add(_encode(group)) for group in groups]
  head = Head(
      acceptance.generation,
      fleet_name,
      leaf_bits,
      tuple(names),
      len(declared.tenant_by_name),
      (acceptance, *old.head.history)[:MAX_HISTORY_ENTRIES],
  )
  return Tree(head, builder.part_by_name)


def choose_leaf_bits(tenant_count: int, old_bits: int) -> int:
  """Chooses the binary logarithm of the number of leaves.

  The number of leaves is kept while they are neither full nor nearly empty,
  because changing it moves every tenant to another part.
  """
  leaves = 1 << old_bits
  is_full = tenant_count > MAX_TENANTS_PER_LEAF * leaves
  is_sparse = old_bits > 0 and tenant_count < MIN_TENANTS_PER_LEAF * leaves
  if not is_full and not is_sparse:
    return old_bits
  wanted = max(1, tenant_count // TENANTS_PER_LEAF)
  return min(MAX_LEAF_BITS, (wanted - 1).bit_length())


def list_missing_parts(
    head: Head, find: Callable[[str], bytes | None]
) -> list[str]:
  """Lists the names of parts of a tree that are known to be missing.

  Args:
    head: The root object of the tree, which names its topmost parts.
    find: Returns the bytes of a part by name, or None if it is missing.

  Returns:
    Names of parts to fetch. Parts below a missing index part are not known yet,
    so fetching a tree can take several rounds.
  """
  missing = []
  if head.fleet and find(head.fleet) is None:
    missing.append(head.fleet)
  names = list(head.tenants)
  for _ in range(_index_levels(head.leaf_bits)):
    below = []
    for name in names:
      value = find(name)
      if value is None:
        missing.append(name)
        continue
      below.extend(_decode_part(name, value, _index_decoder))
    names = below
  missing.extend(name for name in names if find(name) is None)
  return missing


def list_parts(tree: Tree) -> set[str]:
  """Returns the names of all parts of a complete tree."""
  names = set()

  def find(name: str) -> bytes | None:
    names.add(name)
    return tree.part_by_name.get(name)

  list_missing_parts(tree.head, find)
  return names


def is_garbage(name: str, tree: Tree, names: set[str]) -> bool:
  """Returns whether a part can be removed from the platform.

  Args:
    name: Name of a part found on the platform.
    tree: The newest tree.
    names: Names of the parts in that tree, from `list_parts`.
  """
  generation = name.rpartition('-')[2]
  if not generation.isdigit():
    return False
  return int(generation) <= tree.head.generation and name not in names


def check_part(name: str, value: bytes) -> bool:
  """Returns whether the bytes match the digest in a part's name."""
  return name.partition('-')[0] == _digest(value)


def decode_fleet(name: str, value: bytes) -> FleetPart:
  """Decodes the part with models, ranks and services.

  Raises:
    ConfigError: The bytes are not such a part.
  """
  return _decode_part(name, value, _fleet_decoder)


def decode_leaf(name: str, value: bytes) -> tuple[records.Tenant, ...]:
  """Decodes a leaf part, which holds some of the tenants.

  Raises:
    ConfigError: The bytes are not a leaf part.
  """
  return _decode_part(name, value, _leaf_decoder)


def list_leaves(head: Head, find: Callable[[str], bytes | None]) -> list[str]:
  """Returns the names of a tree's leaf parts, which hold the tenants."""
  names = list(head.tenants)
  for _ in range(_index_levels(head.leaf_bits)):
    names = [
        child
        for name in names
        for child in _decode_part(name, find(name), _index_decoder)
    ]
  return names


class _Builder:
  """Collects parts; a part that is in the old tree keeps its old name."""

  def __init__(self, generation: int, old: Tree):
    self.part_by_name = {}
    self._generation = generation
    self._old_name_by_digest = {
        name.partition('-')[0]: name for name in list_parts(old)
    }

  def add(self, value: bytes) -> str:
    digest = _digest(value)
    name = self._old_name_by_digest.get(digest)
    if name is None:
      name = f'{digest}-{self._generation}'
    self.part_by_name[name] = value
    return name


def _index_levels(leaf_bits: int) -> int:
  levels = 0
  count = 1 << leaf_bits
  while count > FAN_OUT:
    count = -(-count // FAN_OUT)
    levels += 1
  return levels


def _leaf_of(tenant: str, leaf_bits: int) -> int:
  return xxhash.xxh64_intdigest(tenant.encode()) >> (_HASH_BITS - leaf_bits)


def _digest(value: bytes) -> str:
  return hashlib.sha256(value).hexdigest()[:_DIGEST_HEX_DIGITS]


def _decode_part(name: str, value: bytes, decoder: msgspec.json.Decoder):
  try:
    return decoder.decode(value)
  except msgspec.MsgspecError as error:
    raise _malformed(name, str(error)) from error


def _malformed(place: str, message: str) -> errors.ConfigError:
  return errors.ConfigError([errors.Fault(place, message)])


EMPTY_TREE = Tree(EMPTY_HEAD, {})
