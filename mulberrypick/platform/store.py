"""Client of the platform's object store; only this module calls the store."""

import asyncio
import urllib.parse
from typing import Any
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.platform import protocol

# Timeout for connecting, which normally takes a few ms. It is short, because
# after a network failure the host must reconnect and follow the store again
# within 3 s.
CONNECT_TIMEOUT_S = 0.5
# Timeout of calls except `watch`; long enough for a slow but working store.
CALL_TIMEOUT_S = 2.0
# Time added to the wait time of a watch to get its timeout.
WATCH_TIMEOUT_MARGIN_S = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class StoredObject(NamedTuple):
  """An object of the store, possibly a deleted one.

  Attributes:
    name: Name of the object.
    revision: Revision of its last change.
    spec: Content of the object.
    is_deleted: Whether the object was deleted.
  """

  name: str
  revision: int
  spec: Any
  is_deleted: bool


class StoredList(NamedTuple):
  """Objects at a revision of the store.

  Attributes:
    objects: All objects, or the changed ones.
    revision: Revision of the store, from which to watch.
  """

  objects: list[StoredObject]
  revision: int


class StoreClient:
  """Calls the store over a single connection, one call at a time.

  Each task that calls the store needs its own client.
  """

  def __init__(self, ip: str, port: int):
    self._ip = ip
    self._port = port
    self._connection: stream_client.ClientConnection | None = None
    self.calls = 0

  async def list_objects(
      self, kind: str, may_be_stale: bool = False
  ) -> StoredList:
    """Reads all objects of a kind.

    Args:
      kind: Kind of the objects.
      may_be_stale: Whether the result may be seconds old, which costs less.

    Raises:
      StoreError: The store sent no valid response.
    """
    objects: list[StoredObject] = []
    revision = None
    query: dict[str, Any] = {'serializable': 1} if may_be_stale else {}
    while True:
      data = await self._call('GET', kind, '', query, None, CALL_TIMEOUT_S)
      if revision is None:
        revision = data['currentRev']
      for item in data['items']:
        objects.append(_decode_object(item, False))
      if not data.get('hasMore') or not data['items']:
        return StoredList(objects, revision)
      query = query | {'after': objects[-1].name}

  async def watch(
      self,
      kind: str,
      revision: int,
      wait_s: float,
      may_be_stale: bool = False,
  ) -> StoredList:
    """Waits for changes of a kind.

    Args:
      kind: Kind of the objects.
      revision: Revision of the previous list or watch.
      wait_s: Time that the store may wait for a change.
      may_be_stale: Whether the result may be seconds old, which costs less.

    Raises:
      StoreError: The store sent no valid response. Its status is 410 if the
        store no longer has the changes since `revision`.
    """
    query = {'watch': revision, 'waitMs': int(wait_s * 1000)}
    if may_be_stale:
      query['serializable'] = 1
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
    """Reads an object; returns None if it does not exist.

    Raises:
      StoreError: The store sent no valid response.
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
    """Writes an object if it still has the given revision.

    Args:
      kind: Kind of the object.
      name: Name of the object.
      spec: New content.
      revision: Expected revision; 0 if the object must not exist.

    Returns:
      The object as written; None if it had another revision.

    Raises:
      StoreError: The store sent no valid response. If the error has no status,
        the object may have been written.
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

  async def put(
      self, kind: str, name: str, spec: Any, exists: bool = False
  ) -> None:
    """Creates or replaces an object.

    Args:
      kind: Kind of the object.
      name: Name of the object.
      spec: New content.
      exists: Whether it is likely to exist, which saves a call.

    Raises:
      StoreError: The store sent no valid response; the object may have been
        written.
    """
    body = {'metadata': {'name': name}, 'spec': spec}
    calls = [('POST', '', 409), ('PUT', name, 404)]
    if exists:
      calls.reverse()
    (method, target, failure), (other_method, other_target, _) = calls
    try:
      await self._call(method, kind, target, {}, body, CALL_TIMEOUT_S)
    except errors.StoreError as error:
      if error.status != failure:
        raise
      await self._call(
          other_method, kind, other_target, {}, body, CALL_TIMEOUT_S
      )

  async def remove(self, kind: str, name: str) -> None:
    """Deletes an object.

    Raises:
      StoreError: The store sent no valid response; the object may have been
        deleted.
    """
    await self._call('DELETE', kind, name, {}, None, CALL_TIMEOUT_S)

  def close(self) -> None:
    """Closes the connection."""
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
      raise errors.StoreError(f'malformed response: {error}') from error

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
    raise errors.StoreError(f'malformed object: {error!r}') from error
