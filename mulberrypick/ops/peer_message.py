"""What hosts tell each other, and what is kept of each."""

import msgspec

from mulberrypick.core import load_sum
from mulberrypick.core import peer_topology


class PeerMessage(msgspec.Struct, array_like=True, omit_defaults=True):
  """One message to another host.

  Attributes:
    host: Name of the sender.
    zone: Its availability zone.
    address: Where it listens, `IP:PORT`.
    role: A value of `peer_topology.Role`.
    relay: Address of its relay, for a member.
    covers_all_others: Whether a relay tells a member of all other hosts, and
      not of its group alone.
    hosts: Hosts that the message speaks for; with `covers_all_others` all that
      live.
    config_version: Version in force there, 0 for none.
    load: Work by endpoint, of the hosts that the message speaks for.
    parts: Keys and tokens in turn of parts placed since the last message, by
      endpoint.
    leaving: Name and start of endpoints that leave.
    suspects: Requests that may crash endpoints.
    refused: Requests that do.
    store_contact_s: Seconds of contact with the store without a gap.
    store_revision_by_kind: Revision of the last change that it saw, by kind of
      object.
    digest: Equal for hosts that know the same hosts.
    known: Name, zone and address of all hosts that it knows, if the receiver
      knows others.
    requests_config: Whether it asks for the configuration.
    is_control_only: Whether this asks or answers, and says nothing of work.
    config: The configuration, if it was asked for.
    is_leaving: Whether the sender stops.
  """

  host: str
  zone: str
  address: str
  role: int = 0
  relay: str = ''
  covers_all_others: bool = False
  hosts: int = 1
  config_version: int = 0
  load: load_sum.LoadByEndpoint = {}
  parts: dict[str, list[int]] = {}
  leaving: list[tuple[str, int]] = []
  suspects: list[int] = []
  refused: list[int] = []
  store_contact_s: float = 0.0
  store_revision_by_kind: dict[str, int] = {}
  digest: int = 0
  known: list[tuple[str, str, str]] = []
  requests_config: bool = False
  is_control_only: bool = False
  config: bytes = b''
  is_leaving: bool = False

  def __post_init__(self):
    """Refuses what would fail later.

    Raises:
      ValueError: Keys and tokens of parts are no pairs; a decoder makes that
        an error of its own.
    """
    for endpoint, pairs in self.parts.items():
      if len(pairs) % 2:
        raise ValueError(f'parts of endpoint "{endpoint}" are no pairs')


def sender_of(told: PeerMessage) -> peer_topology.PeerHost:
  """Returns the sender of a message."""
  return peer_topology.PeerHost(told.host, told.zone, told.address)


def pack_parts(parts: list[tuple[str, int, int]]) -> dict[str, list[int]]:
  """Groups endpoint, key and tokens of parts by endpoint, in few bytes."""
  packed: dict[str, list[int]] = {}
  for endpoint, key, tokens in parts:
    packed.setdefault(endpoint, []).extend((key, tokens))
  return packed


def unpack_parts(packed: dict[str, list[int]]) -> list[tuple[str, int, int]]:
  """Returns endpoint, key and tokens of each part."""
  parts = []
  for endpoint, pairs in packed.items():
    for key, tokens in zip(pairs[::2], pairs[1::2], strict=True):
      parts.append((endpoint, key, tokens))
  return parts
