"""Simulated object store of the users' platform, with failure modes."""

import asyncio
import urllib.parse
from typing import Any
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_server

# Number of changes kept for watchers. A watch from an older revision is
# answered 410.
MAX_HISTORY_CHANGES = 200


# Kinds that others than the gateways write.
REWRITTEN_KINDS = ('config', 'servers')


class StoreCopy(NamedTuple):
  """The content of the store at a revision.

  Attributes:
    revision: The revision.
    objects: Objects by kind and name.
  """

  revision: int
  objects: dict[str, dict[str, dict[str, Any]]]


class FleetStore:
  """An object store over HTTP; objects have a kind and a name.

  Attributes:
    mode: `ok`; `busy` answers 503; `silent` reads requests and never answers;
      `reset` closes connections.
    drops_write_answers: Whether writes are applied, and then the connection is
      closed without an answer.
    calls: Number of calls by method and kind.
    port: Port that it listens on, 0 before the start.
    era: Number of times that it came back from an older copy, stated in all
      answers; None if it states none.
  """

  # The era that a new store states.
  first_era: int | None = None

  def __init__(self):
    self.mode = 'ok'
    self.drops_write_answers = False
    self.calls: dict[tuple[str, str], int] = {}
    self.port = 0
    self.era = self.first_era
    self._revision = 1
    self._objects: dict[str, dict[str, dict[str, Any]]] = {}
    self._history: list[tuple[int, str, dict[str, Any], bool]] = []
    self._oldest_revision = 1
    self._changed = asyncio.Event()
    self._server = stream_server.StreamServer(self._handle, lambda *_: None)
    self._silenced: set[server_connection.ServerConnection] = set()

  async def start(self, port: int) -> None:
    """Listens on a loopback port."""
    self.port = port
    await self._server.listen('127.0.0.1', port)

  def stop(self) -> None:
    """Closes the port and aborts all connections."""
    self._server.stop_listening()
    for connection in list(self._server.connections):
      connection.abort()

  def put(self, kind: str, name: str, spec: Any) -> int:
    """Writes an object and returns its revision."""
    self._revision += 1
    item = {
        'metadata': {
            'name': name,
            'revision': self._revision,
            'created': self._revision,
            'finalizers': [],
            'deleting': False,
        },
        'spec': spec,
        'status': None,
    }
    self._objects.setdefault(kind, {})[name] = item
    self._record(kind, item, False)
    return self._revision

  def remove(self, kind: str, name: str) -> bool:
    """Removes an object; returns whether it existed."""
    item = self._objects.get(kind, {}).pop(name, None)
    if item is None:
      return False
    self._revision += 1
    self._record(kind, item, True)
    return True

  def names(self, kind: str) -> list[str]:
    """Returns the names of all objects of a kind."""
    return sorted(self._objects.get(kind, {}))

  def forget_history(self) -> None:
    """Drops the history, so watches from older revisions are answered 410."""
    self._history.clear()
    self._oldest_revision = self._revision + 1
    self._notify_watchers()

  def copy(self) -> StoreCopy:
    """Returns a copy of the present content."""
    objects = {kind: dict(by_name) for kind, by_name in self._objects.items()}
    return StoreCopy(self._revision, objects)

  async def come_back_older(
      self, copy: StoreCopy, away_s: float, rewrite_after_s: float
  ) -> None:
    """Is away for a moment, then comes back with an older copy.

    Args:
      copy: The copy.
      away_s: How long it is away; 0 if only its watches are cut.
      rewrite_after_s: Time until the operator and the endpoints have written
        again what the copy lacks.
    """
    if away_s:
      self.fail('reset')
      await asyncio.sleep(away_s)
    latest = self.copy()
    self._revision = copy.revision
    self._objects = {
        kind: dict(by_name) for kind, by_name in copy.objects.items()
    }
    self._history.clear()
    self._oldest_revision = self._revision + 1
    self.era = (self.era or 0) + 1
    self.fail('ok')
    await asyncio.sleep(rewrite_after_s)
    for kind in REWRITTEN_KINDS:
      self._write_again(
          kind, copy.objects.get(kind, {}), latest.objects.get(kind, {})
      )

  def _write_again(
      self,
      kind: str,
      old: dict[str, dict[str, Any]],
      new: dict[str, dict[str, Any]],
  ) -> None:
    """Writes what changed between two states, unless it changed since."""
    present = self._objects.get(kind, {})
    for name in old.keys() | new.keys():
      if old.get(name) == new.get(name) or present.get(name) != old.get(name):
        continue
      if name in new:
        self.put(kind, name, new[name]['spec'])
      else:
        self.remove(kind, name)

  def fail(self, mode: str) -> None:
    """Sets the failure mode for open and new connections."""
    self.mode = mode
    if mode in ('reset', 'silent'):
      for connection in list(self._server.connections):
        if mode == 'reset':
          connection.abort()
    self._notify_watchers()

  def silence_connections(self) -> int:
    """Lets the open connections go silent for good; new ones work.

    Returns:
      Their number.
    """
    self._silenced |= self._server.connections
    return len(self._silenced)

  def _record(self, kind: str, item: dict[str, Any], is_removed: bool) -> None:
    self._history.append((self._revision, kind, item, is_removed))
    while len(self._history) > MAX_HISTORY_CHANGES:
      self._oldest_revision = self._history.pop(0)[0] + 1
    self._notify_watchers()

  def _notify_watchers(self) -> None:
    self._changed.set()
    self._changed = asyncio.Event()

  async def _handle(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    path, _, query = received.target.decode().partition('?')
    kind, _, name = path.removeprefix('/mulberrypick/objects/').partition('/')
    method = received.method.decode()
    self.calls[method, kind] = self.calls.get((method, kind), 0) + 1
    values = dict(urllib.parse.parse_qsl(query))
    status, body = await self._answer(method, kind, name, values, received.body)
    if await self._is_failing(caller):
      return
    if self.drops_write_answers and method != 'GET':
      caller.abort()
      return
    caller.write_response(status, self._headers(), msgspec.json.encode(body))

  def _headers(self) -> list[tuple[bytes, bytes]]:
    if self.era is None:
      return []
    return [(b'Store-Era', b'%d' % self.era)]

  async def _is_failing(
      self, caller: server_connection.ServerConnection
  ) -> bool:
    if self.mode == 'silent' or caller in self._silenced:
      await asyncio.Event().wait()
    if self.mode == 'reset':
      caller.abort()
      return True
    if self.mode == 'busy':
      caller.write_response(503, self._headers(), b'{}')
      return True
    return False

  async def _answer(
      self,
      method: str,
      kind: str,
      name: str,
      values: dict[str, str],
      raw: bytes,
  ) -> tuple[int, Any]:
    if self.mode == 'busy':
      return 503, {}
    if method == 'GET' and 'watch' in values:
      return await self._watch(kind, values)
    if method == 'GET' and name:
      found = self._objects.get(kind, {}).get(name)
      return (404, {}) if found is None else (200, found)
    if method == 'GET':
      items = list(self._objects.get(kind, {}).values())
      return 200, {
          'items': items,
          'hasMore': False,
          'currentRev': self._revision,
      }
    if method == 'DELETE':
      return (200, {}) if self.remove(kind, name) else (404, {})
    data = msgspec.json.decode(raw)
    own_name = data['metadata']['name']
    found = self._objects.get(kind, {}).get(own_name)
    if method == 'POST' and found is not None:
      return 409, found
    expected = data['metadata'].get('revision')
    if expected and found and expected != found['metadata']['revision']:
      return 409, found
    self.put(kind, own_name, data['spec'])
    return 200, self._objects[kind][own_name]

  async def _watch(self, kind: str, values: dict[str, str]) -> tuple[int, Any]:
    since = int(values['watch'])
    wait_s = int(values.get('waitMs', '0')) / 1000
    end_at = asyncio.get_running_loop().time() + wait_s
    while True:
      if since + 1 < self._oldest_revision or since > self._revision:
        return 410, {}
      events = []
      for revision, changed, item, is_removed in self._history:
        if revision > since and changed == kind:
          events.append({'object': item, 'tombstone': is_removed})
      remaining_s = end_at - asyncio.get_running_loop().time()
      if events or remaining_s <= 0:
        return 200, {'events': events, 'currentRev': self._revision}
      changed_event = self._changed
      try:
        async with asyncio.timeout(remaining_s):
          await changed_event.wait()
      except TimeoutError:
        continue
