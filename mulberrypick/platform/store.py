"""The client of the platform's store: the only code that calls it."""

import asyncio
import urllib.parse
from typing import Any
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.platform import protocol

# A connection to the store opens within a few ms; after a cut the next try has
# to come soon, since a host has to have caught up within its settling time.
CONNECT_TIMEOUT_S = 0.5
# A plain call; the slowest store that still serves answers within this.
CALL_TIMEOUT_S = 2.0
# What a waiting watch may take beyond its own time before it counts as silent.
WATCH_TIMEOUT_MARGIN_S = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class StoredObject(NamedTuple):
  """An object, or news of its end.

  Attributes:
    name: Its name.
    revision: The revision of its last change.
    spec: What it holds.
    is_deleted: Whether it was removed.
  """

  name: str
  revision: int
  spec: Any
  is_deleted: bool


class StoredList(NamedTuple):
  """Objects as of one revision.

  Attributes:
    objects: The objects, or what has changed.
    revision: The revision of the store, to watch from.
  """

  objects: list[StoredObject]
  revision: int


class StoreClient:
  """Calls the store over one connection, one call at a time.

  Each task that calls the store has a client of its own.
  """

  def __init__(self, ip: str, port: int):
    self._ip = ip
    self._port = port
    self._connection: stream_client.ClientConnection | None = None
    self.calls = 0

  async def list_objects(self, kind: str) -> StoredList:
    """Reads all objects of a kind.

    Raises:
      StoreError: The store gave no usable answer.
    """
    objects: list[StoredObject] = []
    revision = None
    query: dict[str, Any] = {}
    while True:
      data = await self._call('GET', kind, '', query, None, CALL_TIMEOUT_S)
      if revision is None:
        revision = data['currentRev']
      for item in data['items']:
        objects.append(_decode_object(item, False))
      if not data.get('hasMore') or not data['items']:
        return StoredList(objects, revision)
      query = {'after': objects[-1].name}

  async def watch(self, kind: str, revision: int, wait_s: float) -> StoredList:
    """Waits for changes of a kind.

    Args:
      kind: The kind.
      revision: Where the last answer ended.
      wait_s: How long the store may wait.

    Raises:
      StoreError: No usable answer; status 410 if the history is gone.
    """
    query = {'watch': revision, 'waitMs': int(wait_s * 1000)}
    data = await self._call(
        'GET', kind, '', query, None, wait_s + WATCH_TIMEOUT_MARGIN_S
    )
    objects = []
    for event in data.get('events', ()):
      objects.append(
          _decode_object(event['object'], bool(event.get('tombstone')))
      )
    return StoredList(objects, data['currentRev'])

  async def read(self, kind: str, name: str) -> StoredObject | None:
    """Reads an object, None if there is none.

    Raises:
      StoreError: The store gave no usable answer.
    """
    try:
      data = await self._call('GET', kind, name, {}, None, CALL_TIMEOUT_S)
    except errors.StoreError as error:
      if error.status == 404:
        return None
      raise
    return _decode_object(data, False)

  async def put_if_revision(
      self, kind: str, name: str, spec: Any, revision: int
  ) -> StoredObject | None:
    """Writes an object if it still stands at a revision.

    Args:
      kind: Its kind.
      name: Its name.
      spec: What it shall hold.
      revision: The revision; 0 if there must be none.

    Returns:
      The object as written; None if it stood at another revision.

    Raises:
      StoreError: No usable answer; without a status it may have been written.
    """
    metadata: dict[str, Any] = {'name': name}
    method, target = 'POST', ''
    if revision:
      metadata['revision'] = revision
      method, target = 'PUT', name
    body = {'metadata': metadata, 'spec': spec}
    try:
      data = await self._call(method, kind, target, {}, body, CALL_TIMEOUT_S)
    except errors.StoreError as error:
      if error.status in (404, 409):
        return None
      raise
    return _decode_object(data, False)

  async def put(self, kind: str, name: str, spec: Any) -> None:
    """Writes an object, whether or not it is there already.

    Raises:
      StoreError: No usable answer; it may have been written.
    """
    body = {'metadata': {'name': name}, 'spec': spec}
    try:
      await self._call('POST', kind, '', {}, body, CALL_TIMEOUT_S)
    except errors.StoreError as error:
      if error.status != 409:
        raise
      await self._call('PUT', kind, name, {}, body, CALL_TIMEOUT_S)

  async def remove(self, kind: str, name: str) -> None:
    """Removes an object.

    Raises:
      StoreError: No usable answer; it may have been removed.
    """
    await self._call('DELETE', kind, name, {}, None, CALL_TIMEOUT_S)

  def close(self) -> None:
    """Ends the connection."""
    if self._connection is not None:
      self._connection.abort()
      self._connection = None

  async def _call(
      self,
      method: str,
      kind: str,
      name: str,
      query: dict[str, Any],
      body: Any,
      timeout_s: float,
  ) -> dict[str, Any]:
    target = f'{protocol.OBJECTS_PATH}/{kind}'
    if name:
      target += f'/{urllib.parse.quote(name, safe="")}'
    if query:
      target += '?' + urllib.parse.urlencode(query)
    self.calls += 1
    exchange = stream_client.Exchange(lambda _: True)
    try:
      connection = await self._connect()
      connection.send(self._encode(method, target, body), exchange)
      async with asyncio.timeout(timeout_s):
        head = await exchange.read_head()
        raw = await exchange.read_all(MAX_RESPONSE_BYTES)
    except TimeoutError as error:
      self.close()
      raise errors.StoreError('silent') from error
    except (errors.ConnectError, errors.ExchangeBrokenError) as error:
      self.close()
      raise errors.StoreError(str(error)) from error
    if head.status >= 300:
      raise errors.StoreError(f'status {head.status}', head.status)
    try:
      return msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
      raise errors.StoreError(f'answer unreadable: {error}') from error

  async def _connect(self) -> stream_client.ClientConnection:
    if self._connection is None or not self._connection.is_open:
      self._connection = await stream_client.connect(
          self._ip, self._port, CONNECT_TIMEOUT_S
      )
    return self._connection

  def _encode(self, method: str, target: str, body: Any) -> bytes:
    headers = [(b'Host', f'{self._ip}:{self._port}'.encode())]
    raw = b''
    if body is not None:
      raw = msgspec.json.encode(body)
      headers.append((b'Content-Type', b'application/json'))
    return stream_client.encode_request(
        method.encode(), target.encode(), headers, raw
    )


def _decode_object(item: dict[str, Any], is_deleted: bool) -> StoredObject:
  try:
    metadata = item['metadata']
    return StoredObject(
        str(metadata['name']),
        int(metadata['revision']),
        item.get('spec'),
        is_deleted,
    )
  except (KeyError, TypeError, ValueError) as error:
    raise errors.StoreError(f'object unreadable: {error!r}') from error
