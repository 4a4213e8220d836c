"""Messages between the gateways of all hosts."""

from typing import NamedTuple

import msgspec

from mulberrypick.core import crash_exchange
from mulberrypick.core import endpoint_limits
from mulberrypick.core import engine_models
from mulberrypick.core import load_sum
from mulberrypick.core import part_exchange
from mulberrypick.core import peer_topology
from mulberrypick.core import permits
from mulberrypick.core import stage_switches
from mulberrypick.core import store_changes


class StreamBinding(NamedTuple):
  """The software version that began a stream.

  Attributes:
    key: Key of the stream, see `stream_versions.stream_key`.
    software: The version.
  """

  key: int
  software: str


class VersionQuery(NamedTuple):
  """A question for the version of a stream.

  Attributes:
    number: Number of the question at the host that asks.
    key: Key of the stream.
  """

  number: int
  key: int


class VersionReply(NamedTuple):
  """The reply to a question for the version of a stream.

  Attributes:
    number: Number of the question.
    software: The version, empty if the stream began at several; None if it is
      unknown.
  """

  number: int
  software: str | None


class HelperReport(NamedTuple):
  """A host that reaches endpoints, as a relay reports it to its members.

  Attributes:
    host: Name of the host.
    zone: Its availability zone.
    ip: Its IP address.
    port: Port on which it takes requests of other hosts.
    taken: Requests of other hosts that it works on.
    reached_age_s: Time since it last reached an endpoint.
  """

  host: str
  zone: str
  ip: str
  port: int
  taken: int
  reached_age_s: float


class ReachReport(NamedTuple):
  """Whether the sender reaches endpoints, and whether it can help.

  Attributes:
    state: A value of `endpoint_reach.Reach`.
    reached_age_s: Time since it last reached an endpoint.
    port: Port on which it takes requests of other hosts.
    taken: Requests of other hosts that it works on.
    helpers: From a relay to a member that is cut off: other hosts that help.
  """

  state: str
  reached_age_s: float
  port: int
  taken: int
  helpers: tuple[HelperReport, ...] = ()


class PeerMessage(msgspec.Struct, array_like=True, omit_defaults=True):
  """One message to another host; encoded as an array without field names.

  Attributes:
    host: Name of the sender.
    zone: Availability zone of the sender.
    address: Address on which the sender listens, `IP:PORT`.
    role: Role of the sender, a value of `peer_topology.Role`.
    relay: Address of the sender's relay if the sender is a member.
    covers_all_others: Whether a relay sends the load of all other hosts to a
      member, rather than that of its own group.
    hosts: Number of hosts that the message covers; with `covers_all_others`
      the number of all live hosts.
    config_version: Version of the configuration in force, 0 for none.
    load: Load by endpoint of the hosts that the message covers.
    parts: Prompt parts placed since the last message, by endpoint: keys and
      token counts in alternation.
    leaving: Name and start time of endpoints that are leaving.
    crash_news: Crashes of endpoints, with the requests that ran there.
    store_contact_s: Duration of the current contact with the store.
    store_revision_by_kind: Position of the last known change in the store by
      kind of object.
    digest: Digest of the hosts known to the sender.
    known: Name, zone and address of all hosts known to the sender, if the
      receiver's digest differs.
    requests_config: Whether the sender requests the configuration.
    is_control_only: Whether this is only a query or a reply, without load.
    config: The configuration, if it was requested.
    is_leaving: Whether the sender is shutting down.
    limits: Limits that endpoints named, or that ended.
    issuers: Addresses of the hosts that issue permits, for a relay's members.
    permit_request: Request for a permit to send to a limited endpoint.
    permit_reply: Reply to such a request.
    binding: Version of a stream that began at the sender.
    version_query: Question for the version of a stream.
    version_reply: Reply to such a question.
    relayed_contact_s: Longest current contact of another relay with the store,
      if a relay without contact reports its changes to the members.
    part_news: Crashes of endpoints, with the prompt parts that were there.
    is_starting: Whether the sender has just started and knows of no crashes.
    reach: Whether the sender reaches endpoints; not in all messages.
    speeds: What the hosts that the message covers observed of the speed of
      engines, by model; empty in most messages.
    relayed_changes: From a relay to its members: new changes of the store.
    has_store_era: Whether revisions of the store are positions, see
      `store_era`; older builds send them without the era.
    switches: Engines that are changing their stage on an order.
    keeps_bindings_s: With a reply for a stream: time for which the sender has
      kept the versions that it was told; older builds name none.
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
  crash_news: crash_exchange.CrashNews = crash_exchange.CrashNews()
  store_contact_s: float = 0.0
  store_revision_by_kind: dict[str, int] = {}
  digest: int = 0
  known: list[tuple[str, str, str]] = []
  requests_config: bool = False
  is_control_only: bool = False
  config: bytes = b''
  is_leaving: bool = False
  limits: list[endpoint_limits.LimitReport] = []
  issuers: list[str] = []
  permit_request: permits.PermitRequest | None = None
  permit_reply: permits.PermitReply | None = None
  binding: StreamBinding | None = None
  version_query: VersionQuery | None = None
  version_reply: VersionReply | None = None
  relayed_contact_s: float = 0.0
  part_news: part_exchange.PartNews = part_exchange.PartNews()
  is_starting: bool = False
  reach: ReachReport | None = None
  speeds: engine_models.SumsByModel = {}
  relayed_changes: list[store_changes.ChangeBatch] = []
  has_store_era: bool = False
  switches: list[stage_switches.SwitchReport] = []
  keeps_bindings_s: float = 0.0

  @property
  def known_contact_s(self) -> float:
    """Contact with the store of the host that the changes come from."""
    return self.store_contact_s or self.relayed_contact_s

  def __post_init__(self):
    """Validates the prompt parts.

    Raises:
      ValueError: Keys and tokens of parts do not form pairs; msgspec decoders
        convert this to a `DecodeError`.
    """
    for endpoint, pairs in self.parts.items():
      if len(pairs) % 2:
        raise ValueError(
            f'parts of endpoint "{endpoint}" are not pairs of key and tokens'
        )


def sender_of(message: PeerMessage) -> peer_topology.PeerHost:
  """Returns the sender of a message."""
  return peer_topology.PeerHost(message.host, message.zone, message.address)


def pack_parts(parts: list[tuple[str, int, int]]) -> dict[str, list[int]]:
  """Groups prompt parts by endpoint for a compact encoding.

  Args:
    parts: Endpoint, key and token count of each prompt part.
  """
  packed: dict[str, list[int]] = {}
  for endpoint, key, tokens in parts:
    packed.setdefault(endpoint, []).extend((key, tokens))
  return packed


def unpack_parts(packed: dict[str, list[int]]) -> list[tuple[str, int, int]]:
  """Returns endpoint, key and token count of each packed prompt part."""
  parts = []
  for endpoint, pairs in packed.items():
    for key, tokens in zip(pairs[::2], pairs[1::2], strict=True):
      parts.append((endpoint, key, tokens))
  return parts
