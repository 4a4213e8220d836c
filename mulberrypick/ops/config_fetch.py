"""Reads a generation of the configuration from the platform or from a peer.

A generation consists of parts, which are small objects, and a head object,
which names the topmost parts; see `core/config_parts.py`. Used by the
configuration task of entry hosts and by the operators' commands.
"""

from collections.abc import Callable

import msgspec

from mulberrypick.adapters import peers as peers_lib
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import config_parts
from mulberrypick.core import config_store
from mulberrypick.core import errors

KIND_PARTS = 'config.parts'
PEER_TIMEOUT_S = 2.0
MAX_NAMES_PER_REQUEST = 256
MAX_REPLY_BYTES = 1_000_000
# For more parts than this, listing is cheaper than reading them one by one.
# Parts are listed by the first digit of their digests, which bounds the size
# of each response.
MAX_SINGLE_READS = 16
MAX_FETCH_ROUNDS = 64

# Function that reads parts by name from the platform or from a peer. Its result
# omits parts that are not available there.
Source = Callable[[list[str]], dict[str, bytes]]

_decode_names = msgspec.json.Decoder(list[str]).decode
_decode_parts = msgspec.msgpack.Decoder(dict[str, bytes]).decode


def encode_parts_reply(names: bytes, store: config_store.Snapshot) -> bytes:
  """Encodes the reply to a peer that requests parts.

  Args:
    names: The requested names, in JSON.
    store: Snapshot of the generation in force on this host.

  Returns:
    The requested parts that this host holds, up to `MAX_REPLY_BYTES`.
  """
  found = {}
  size = 0
  for name in _decode_names(names)[:MAX_NAMES_PER_REQUEST]:
    value = store.tree.part_by_name.get(name)
    if value is None:
      continue
    size += len(value)
    if found and size > MAX_REPLY_BYTES:
      break
    found[name] = value
  return msgspec.msgpack.encode(found)


def make_peer_source(peers: peers_lib.Peers, address: str) -> Source:
  """Returns a function that requests parts from one peer."""

  def read(names: list[str]) -> dict[str, bytes]:
    encoded_names = msgspec.json.encode(names[:MAX_NAMES_PER_REQUEST])
    reply = peers.request(address, KIND_PARTS, encoded_names, PEER_TIMEOUT_S)
    if reply is None:
      return {}
    try:
      return _decode_parts(reply)
    except msgspec.MsgspecError:
      return {}

  return read


def make_platform_source(platform: platform_lib.Platform) -> Source:
  """Returns a function that reads parts from the platform.

  The function raises the platform's errors.
  """

  def read(names: list[str]) -> dict[str, bytes]:
    if len(names) > MAX_SINGLE_READS:
      return _list_parts(platform, set(names))
    found = {}
    for name in names:
      stored = platform.get(config_parts.PART_PREFIX + name)
      if stored is not None:
        found[name] = stored.value
    return found

  return read


def count_calls(names: list[str]) -> tuple[str, int]:
  """Returns the kind and number of platform calls needed to read parts."""
  if len(names) > MAX_SINGLE_READS:
    return 'list', len({name[0] for name in names})
  return 'get', len(names)


def _list_parts(
    platform: platform_lib.Platform, names: set[str]
) -> dict[str, bytes]:
  found = {}
  for digit in sorted({name[0] for name in names}):
    prefix = config_parts.PART_PREFIX
    listing = platform.list_objects(prefix + digit)
    for key, stored in listing.value_by_key.items():
      # The listing also holds parts to which only a missing part refers. They
      # are not requested yet, but will be needed.
      found[key.removeprefix(prefix)] = stored.value
  return found


def fetch_parts(
    head: config_parts.Head,
    find: Callable[[str], bytes | None],
    sources: list[Source],
) -> dict[str, bytes] | None:
  """Fetches those parts of a generation that this host does not hold yet.

  Args:
    head: The object that lists the topmost parts of the generation.
    find: Returns a part that this host holds, or None.
    sources: Functions that read parts, tried in this order.

  Returns:
    The fetched parts, or None if some could not be fetched.
  """
  fetched = {}

  def find_any(name: str) -> bytes | None:
    value = find(name)
    return fetched.get(name) if value is None else value

  source_index = 0
  for _ in range(MAX_FETCH_ROUNDS):
    missing = config_parts.list_missing_parts(head, find_any)
    if not missing:
      return fetched
    if source_index == len(sources):
      return None
    wanted = set(missing)
    before = len(fetched)
    for name, value in sources[source_index](missing).items():
      if config_parts.check_part(name, value):
        fetched[name] = value
    if len(fetched) == before or not wanted & fetched.keys():
      source_index += 1
  return None


def read_tree(
    platform: platform_lib.Platform,
) -> tuple[int, config_store.Snapshot]:
  """Reads the newest generation from the platform.

  Returns:
    The version of the head object, and the generation.

  Raises:
    PlatformError: The platform can't be read.
    ConfigError: A part is missing or damaged.
  """
  for _ in range(MAX_FETCH_ROUNDS):
    stored = platform.get(config_parts.HEAD_KEY)
    if stored is None:
      return platform_lib.MISSING_VERSION, config_store.EMPTY_SNAPSHOT
    head = config_parts.decode_head(stored.value)
    store = config_store.ConfigStore()
    part_by_name = fetch_parts(
        head, store.find, [make_platform_source(platform)]
    )
    # If a part is gone, a newer generation replaced it: read the head again.
    if part_by_name is not None:
      store.adopt(head, part_by_name)
      return stored.version, store.snapshot
  place = config_parts.HEAD_KEY
  fault = errors.Fault(
      place, 'parts of this head are missing or are replaced too quickly'
  )
  raise errors.ConfigError([fault])
