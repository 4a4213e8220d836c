"""Stand-in of the platform's store: objects, conditions, lists and watches."""

import asyncio
import json
import time
import urllib.parse
from typing import Any

from review.shared import wire

_PREFIX = '/mulberrypick/objects/'


class Store:
  """The store.

  Attributes:
    server: Its server.
  """

  def __init__(self):
    self.server = wire.Server(self._handle)
    self._revision = 1
    self._objects: dict[str, dict[str, dict[str, Any]]] = {}
    self._history: list[tuple[int, str, dict[str, Any], bool]] = []
    self._changed = asyncio.Event()
    self._watching: set[asyncio.StreamWriter] = set()

  def put(self, kind: str, name: str, spec: Any) -> float:
    """Writes an object; returns when it was acknowledged."""
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
    return time.monotonic()

  def remove(self, kind: str, name: str) -> float:
    """Removes an object; returns when that was acknowledged."""
    item = self._objects.get(kind, {}).pop(name, None)
    if item is not None:
      self._revision += 1
      self._record(kind, item, True)
    return time.monotonic()

  def cut_watches(self) -> int:
    """Cuts off the watches that are waiting; returns their number."""
    cut = list(self._watching)
    for writer in cut:
      writer.close()
    return len(cut)

  def _record(self, kind: str, item: dict[str, Any], is_removed: bool) -> None:
    self._history.append((self._revision, kind, item, is_removed))
    changed, self._changed = self._changed, asyncio.Event()
    changed.set()

  async def _handle(
      self, request: wire.Message, writer: asyncio.StreamWriter
  ) -> None:
    path, _, query = request.start[1].partition('?')
    kind, _, name = path.removeprefix(_PREFIX).partition('/')
    values = dict(urllib.parse.parse_qsl(query))
    if 'watch' in values:
      self._watching.add(writer)
      try:
        status, body = await self._watch(kind, values)
      finally:
        self._watching.discard(writer)
    else:
      status, body = self._answer(
          request.start[0], kind, urllib.parse.unquote(name), request.body
      )
    if writer.is_closing():
      return
    headers = [('Content-Type', 'application/json')]
    writer.write(
        wire.encode_response(status, headers, json.dumps(body).encode())
    )
    await writer.drain()

  def _answer(
      self, method: str, kind: str, name: str, raw: bytes
  ) -> tuple[int, Any]:
    by_name = self._objects.get(kind, {})
    if method == 'GET' and name:
      return (200, by_name[name]) if name in by_name else (404, {})
    if method == 'GET':
      items = [by_name[key] for key in sorted(by_name)]
      return 200, {
          'items': items,
          'hasMore': False,
          'currentRev': self._revision,
      }
    if method == 'DELETE':
      if name not in by_name:
        return 404, {}
      self.remove(kind, name)
      return 200, {}
    data = json.loads(raw)
    name = data['metadata']['name']
    found = by_name.get(name)
    if method == 'POST' and found is not None:
      return 409, found
    if method == 'PUT' and found is None:
      return 404, {}
    expected = data['metadata'].get('revision')
    if expected and found and expected != found['metadata']['revision']:
      return 409, found
    if found is None or found['spec'] != data['spec']:
      self.put(kind, name, data['spec'])
    return 200, self._objects[kind][name]

  async def _watch(
      self, kind: str, values: dict[str, str]
  ) -> tuple[int, dict[str, Any]]:
    since = int(values['watch'])
    end_at = time.monotonic() + min(30.0, int(values.get('waitMs', 0)) / 1000)
    while True:
      changed = self._changed
      events = []
      for revision, changed_kind, item, is_removed in self._history:
        if revision > since and changed_kind == kind:
          events.append({'object': item, 'tombstone': is_removed})
      left_s = end_at - time.monotonic()
      if events or left_s <= 0:
        return 200, {'events': events, 'currentRev': self._revision}
      try:
        async with asyncio.timeout(left_s):
          await changed.wait()
      except TimeoutError:
        continue
