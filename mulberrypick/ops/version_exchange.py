"""Tells other hosts which software versions began streams, and asks them.

`core/stream_versions.py` explains which hosts are told and asked.
"""

import asyncio
import itertools
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.core import stream_versions
from mulberrypick.ops import gateway_state
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
    self.missing = expected
    self.software: set[str] = set()
    self.source = ''
    self.is_settled = asyncio.Event()


class VersionExchange:
  """Binds streams to versions, and finds the versions of others' streams."""

  def __init__(
      self,
      state: gateway_state.GatewayState,
      topology: peer_topology.PeerTopology,
      own: peer_topology.PeerHost,
      new_message: Callable[[], peer_message.PeerMessage],
      send: Callable[[Iterable[str], peer_message.PeerMessage], None],
  ):
    self._state = state
    self._topology = topology
    self._own = own
    self._new_message = new_message
    self._send = send
    self._bindings = stream_versions.StreamBindings()
    self._numbers = itertools.count(1)
    self._query_by_number: dict[int, _Query] = {}

  def bind(self, call: gateway_records.Call, software: str) -> None:
    """Binds a stream that begins or goes on at this host.

    Args:
      call: The request.
      software: The version that writes its next event.
    """
    now = self._observe_versions()
    if not self._state.versions.has_several(call.service):
      return
    key = stream_versions.stream_key(call.stream_id, call.fingerprint)
    self._bindings.bind(key, software, now)
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
    now = self._observe_versions()
    only = self._state.versions.only_version(call.service, now)
    return FoundVersion(only, 'only_version' if only else 'none')

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Handles bindings, questions and replies of another host."""
    if message.binding is not None:
      self._bindings.bind(message.binding.key, message.binding.software, now)
    if message.version_query is not None:
      self._answer(message.address, message.version_query)
    if message.version_reply is not None:
      self._handle_reply(message.host, message.version_reply)

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
    self._send((address,), answer)

  def _handle_reply(self, host: str, reply: peer_message.VersionReply) -> None:
    query = self._query_by_number.get(reply.number)
    if query is None:
      return
    query.missing -= 1
    if reply.software is not None:
      query.software.add(reply.software)
      query.source = host
    if query.software or not query.missing:
      query.is_settled.set()
