"""Tells other hosts which software versions began streams, and asks them.

`core/stream_versions.py` explains which hosts are told and asked.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.core import stream_versions
from mulberrypick.ops import gateway_state
from mulberrypick.ops import list_check
from mulberrypick.ops import peer_message

# Longest time to wait for the replies of other hosts, which normally arrive
# within a few milliseconds.
REPLY_TIMEOUT_S = 0.06


class FoundVersion(NamedTuple):
  """The version of a stream that a caller takes up.

  Attributes:
    software: The version; None if unknown, empty if the stream began at more
      than one.
    source: Who knew it, for logs.
  """

  software: str | None
  source: str


class _Query:
  """A question to other hosts, and its replies."""

  def __init__(self, expected: int):
    self.is_asked = expected > 0
    self.missing = expected
    # Whether each reply so far is of a host that would know the stream.
    self.is_known_to_all = True
    self.software: set[str] = set()
    self.source = ''
    self.is_settled = asyncio.Event()

  @property
  def is_unbound(self) -> bool:
    """Whether no registrar was told of the stream."""
    return (
        self.is_asked
        and not self.missing
        and not self.software
        and self.is_known_to_all
    )


class VersionExchange:
  """Binds streams to versions, and finds the versions of others' streams."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      topology: peer_topology.PeerTopology,
      own: peer_topology.PeerHost,
      new_message: Callable[[], peer_message.PeerMessage],
      send: Callable[[Iterable[str], peer_message.PeerMessage], None],
      check: list_check.ListCheck,
  ):
    self._state = state
    self._check = check
    # The clock stands still while this host is suspended and hears nothing.
    self._started_at = time.monotonic()
    self._topology = topology
    self._own = own
    self._new_message = new_message
    self._send = send
    self._bindings = stream_versions.StreamBindings()
    self._numbers = itertools.count(1)
    self._query_by_number: dict[int, _Query] = {}

  @property
  def _lifetime_s(self) -> float:
    return self._state.versions.lifetime_s

  def bind(self, call: gateway_records.Call, software: str) -> None:
    """Binds a stream that begins or goes on at this host.

    Args:
      call: The request.
      software: The version that writes its next event.
    """
    now = self._observe_versions()
    if self._state.versions.is_certain(call.service, now):
      return
    key = stream_versions.stream_key(call.stream_id, call.fingerprint)
    self._bindings.bind(key, software, self._lifetime_s, now)
    message = self._new_message()
    message.is_control_only = True
    message.binding = peer_message.StreamBinding(key, software)
    hosts = self._topology.registrars()
    self._send(
        stream_versions.choose_registrars(key, hosts, self._own), message
    )

  async def find(self, call: gateway_records.Call) -> FoundVersion:
    """Finds the version of a stream that a caller takes up."""
    key = stream_versions.stream_key(call.stream_id, call.fingerprint)
    query = await self._ask(key)
    found = set(query.software)
    own = self._bindings.find(key)
    if own is not None:
      found.add(own)
    if len(found) > 1:
      return FoundVersion('', 'several')
    if found:
      return FoundVersion(found.pop(), query.source or self._state.host.name)
    return await self._conclude(call.service, query)

  async def _conclude(self, service: str, query: _Query) -> FoundVersion:
    """Returns the version of a stream that no host knows, if there is one."""
    if not self._only_version(service):
      return FoundVersion(None, 'none')
    source = 'only_version'
    if not await self._check.confirm():
      if not query.is_unbound or not self._state.is_list_recent():
        return FoundVersion(None, 'list_not_confirmed')
      source = 'only_version_of_old_list'
    # Another one may have become known meanwhile.
    only = self._only_version(service)
    return FoundVersion(only, source if only else 'none')

  def _only_version(self, service: str) -> str | None:
    now = self._observe_versions()
    return self._state.versions.only_version(service, now)

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Handles bindings, questions and replies of another host."""
    if message.binding is not None:
      binding = message.binding
      self._bindings.bind(binding.key, binding.software, self._lifetime_s, now)
    if message.version_query is not None:
      self._answer(message.address, message.version_query)
    if message.version_reply is not None:
      self._handle_reply(message)

  def _observe_versions(self) -> float:
    """Updates the known versions; returns the time."""
    now = asyncio.get_running_loop().time()
    if self._state.endpoints.is_loaded:
      self._state.versions.observe(self._state.endpoints.all(), now)
    return now

  async def _ask(self, key: int) -> _Query:
    hosts = self._topology.registrars()
    asked = stream_versions.choose_asked(key, hosts, self._own)
    query, number = _Query(len(asked)), next(self._numbers)
    if not asked:
      return query
    self._query_by_number[number] = query
    message = self._new_message()
    message.is_control_only = True
    message.version_query = peer_message.VersionQuery(number, key)
    self._send(asked, message)
    try:
      async with asyncio.timeout(REPLY_TIMEOUT_S):
        await query.is_settled.wait()
    except TimeoutError:
      # The replies that have arrived decide.
      pass
    finally:
      del self._query_by_number[number]
    return query

  def _answer(self, address: str, query: peer_message.VersionQuery) -> None:
    answer = self._new_message()
    answer.is_control_only = True
    answer.version_reply = peer_message.VersionReply(
        query.number, self._bindings.find(query.key)
    )
    answer.keeps_bindings_s = self._keeps_bindings_s()
    self._send((address,), answer)

  def _keeps_bindings_s(self) -> float:
    """Returns for how long this host has kept the bindings that it was told."""
    return time.monotonic() - self._started_at

  def _handle_reply(self, message: peer_message.PeerMessage) -> None:
    reply = message.version_reply
    query = self._query_by_number.get(reply.number)
    if query is None:
      return
    query.missing -= 1
    if message.keeps_bindings_s < self._lifetime_s:
      query.is_known_to_all = False
    if reply.software is not None:
      query.software.add(reply.software)
      query.source = message.host
    if query.software or not query.missing:
      query.is_settled.set()
