"""Client of the platform's object store; only this module calls the store."""

import asyncio
import logging
import urllib.parse
from typing import Any
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import boot_clock
from mulberrypick.adapters import hedged_call
from mulberrypick.adapters import logs
from mulberrypick.adapters import stream_client
from mulberrypick.adapters import tolerant_json
from mulberrypick.core import errors
from mulberrypick.core import store_contact
from mulberrypick.core import store_era
from mulberrypick.platform import fields
from mulberrypick.platform import protocol

_log = logging.getLogger(__name__)
# Timeout for connecting, which normally takes a few ms. It is short, because
# after a network failure the host must reconnect and follow the store again
# within 3 s.
CONNECT_TIMEOUT_S = 0.5
# Timeout of calls except `watch`; long enough for a slow but working store.
CALL_TIMEOUT_S = 2.0
# Time added to the wait time of a watch to get its timeout.
WATCH_TIMEOUT_MARGIN_S = 1.0
# Time after the wait time of a watch from which on it is late. A second call
# then shows whether its connection went silent.
WATCH_LATE_S = 0.3
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
STATUS_HISTORY_GONE = 410
# With these and with 5xx the store did nothing; it may be away for others too.
STATUS_TOO_MANY = 429
# Levels of an answer in which one unusable value hides no other: the answer,
# its list, an entry of it, the object, its content.
ANSWER_LEVELS = 5


class StoredObject(NamedTuple):
  """An object of the store, possibly a deleted one.

  Attributes:
    name: Name of the object.
    revision: Position of its last change.
    spec: Content of the object.
    is_deleted: Whether the object was deleted.
  """

  name: str
  revision: int
  spec: Any
  is_deleted: bool


class StoredList(NamedTuple):
  """Objects at a position of the store.

  Attributes:
    objects: All objects, or the changed ones.
    revision: Position of the store, from which to watch.
  """

  objects: list[StoredObject]
  revision: int


class StoreClient:
  """Calls the store over a single connection, one call at a time.

  Each task that calls the store needs its own client. Revisions are positions,
  see `store_era`: the store may come back from an older copy.
  """

  def __init__(
      self,
      ip: str,
      port: int,
      era: store_era.StoreEra | None = None,
      contact: store_contact.StoreContact | None = None,
  ):
    """Creates a client without a connection.

    Args:
      ip: Address of the store.
      port: Its port.
      era: What this host knows of the store's eras.
      contact: When the store answered this host; None to note it nowhere.
    """
    self._ip = ip
    self._port = port
    self._era = era or store_era.StoreEra()
    self._contact = contact
    self._is_era_odd = False
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
        revision = data.position()
      if store_era.era_of(revision) != data.era:
        # The pages would be of two copies.
        raise errors.OlderStoreError
      page = _decode_usable(data.items('items'), data.era)
      objects += page
      if not data.has_more():
        return StoredList(objects, revision)
      if not page:
        raise errors.StoreError('no usable entry on a page of a list')
      query = query | {'after': page[-1].name}

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
    self._check_era(revision, self._era.current)
    query = {
        'watch': store_era.revision_of(revision),
        'waitMs': int(wait_s * 1000),
    }
    if may_be_stale:
      query['serializable'] = 1
    data = await self._call_watch(kind, query, wait_s)
    self._check_era(revision, data.era)
    objects = []
    for event in data.items('events'):
      is_deleted = isinstance(event, dict) and bool(event.get('tombstone'))
      item = event.get('object') if isinstance(event, dict) else event
      objects += _decode_usable([item], data.era, is_deleted)
    return StoredList(objects, data.position())

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
    return _decode_object(data.body, data.era, False)

  async def put_if_revision(
      self, kind: str, name: str, spec: Any, revision: int
  ) -> StoredObject | None:
    """Writes an object if it still has the given revision.

    Args:
      kind: Kind of the object.
      name: Name of the object.
      spec: New content.
      revision: Expected position; 0 if the object must not exist.

    Returns:
      The object as written; None if it had another revision. If the store came
      back from an older copy since the revision was read, the object may be
      another one: its era tells.

    Raises:
      StoreError: The store sent no valid response. If the error has no status,
        the object may have been written.
    """
    metadata: dict[str, Any] = {'name': name}
    method, target = 'POST', ''
    if revision:
      if store_era.era_of(revision) != self._era.current:
        return None
      metadata['revision'] = store_era.revision_of(revision)
      method, target = 'PUT', name
    body = {'metadata': metadata, 'spec': spec}
    try:
      data = await self._call(method, kind, target, {}, body, CALL_TIMEOUT_S)
    except errors.StoreError as error:
      if error.status in (404, 409):
        return None
      raise
    return _decode_object(data.body, data.era, False)

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

  async def _call_watch(
      self, kind: str, query: dict[str, Any], wait_s: float
  ) -> '_Answer':
    """Calls a watch; asks for changes on a new connection if it is late."""
    second = StoreClient(self._ip, self._port, self._era, self._contact)

    def ask_again():
      self._record_doubt()
      self.calls += 1
      return second._call(
          'GET', kind, '', query | {'waitMs': 0}, None, CALL_TIMEOUT_S
      )

    try:
      found = await hedged_call.run(
          self._call(
              'GET', kind, '', query, None, wait_s + WATCH_TIMEOUT_MARGIN_S
          ),
          wait_s + WATCH_LATE_S,
          ask_again,
      )
    except errors.StoreError:
      second.close()
      raise
    except BaseException:
      # Neither call has ended.
      second.close()
      self.close()
      raise
    if found.is_second:
      self.close()
      self._connection = second._connection
    else:
      second.close()
    return found.result

  def _record_doubt(self) -> None:
    if self._contact is not None:
      self._contact.record_doubt()

  async def _call(
      self,
      method: str,
      kind: str,
      name: str,
      query: dict[str, Any],
      body: Any,
      timeout_s: float,
  ) -> '_Answer':
    target = f'{protocol.OBJECTS_PATH}/{kind}'
    if name:
      target += f'/{urllib.parse.quote(name, safe="")}'
    if query:
      target += '?' + urllib.parse.urlencode(query)
    self.calls += 1
    era_before = self._era.current
    exchange = stream_client.Exchange(source='store')
    try:
      connection = await self._connect()
      connection.send(self._encode(method, target, body), exchange)
      async with asyncio.timeout(timeout_s):
        head = await exchange.read_head()
        raw = await exchange.read_all(MAX_RESPONSE_BYTES)
    except TimeoutError as error:
      self.close()
      self._record_doubt()
      raise errors.StoreError('silent') from error
    except (errors.ConnectError, errors.ExchangeBrokenError) as error:
      self.close()
      self._record_doubt()
      raise errors.StoreError(str(error)) from error
    self._record_status(head.status)
    era = self._read_era(
        head.get(protocol.STORE_ERA), era_before, 'serializable' in query
    )
    if head.status >= 300:
      raise errors.StoreError(f'status {head.status}', head.status)
    try:
      return _Answer(tolerant_json.decode(raw, ANSWER_LEVELS), era)
    except msgspec.DecodeError as error:
      raise errors.StoreError(f'malformed response: {error}') from error

  def _record_status(self, status: int) -> None:
    """Records whether an answer shows that the store serves its callers."""
    if self._contact is None:
      return
    if status >= 500 or status == STATUS_TOO_MANY:
      self._contact.record_doubt()
      return
    self._contact.record_answer(boot_clock.boot_time())

  def _read_era(
      self, text: bytes | None, era_before: int, may_be_stale: bool
  ) -> int:
    """Returns the era of an answer.

    Args:
      text: What the store states.
      era_before: The era that was known when the call was sent.
      may_be_stale: Whether the answer may be older than that.

    Raises:
      OlderStoreError: The answer is of an era that has ended.
    """
    known = self._era
    era = store_era.parse_era(text)
    if era is not None and era >= known.current:
      known.observe(era)
      return era
    if era is not None and (may_be_stale or era_before < known.current):
      raise errors.OlderStoreError
    if (text is not None or known.is_known) and not self._is_era_odd:
      self._is_era_odd = True
      logs.log_event(
          _log,
          logging.WARNING,
          'store_era_unusable',
          stated=repr(text),
          known=known.current,
      )
    return known.current

  def _check_era(self, revision: int, era: int) -> None:
    """Checks that a watch goes on in the era in which it began.

    Raises:
      StoreError: It does not; the status is that of a lost history.
    """
    if store_era.era_of(revision) != era:
      raise errors.StoreError('another era', STATUS_HISTORY_GONE)

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


class _Answer(NamedTuple):
  """A response of the store.

  Attributes:
    body: Its decoded body.
    era: The era that it is of.
  """

  body: Any
  era: int

  def position(self) -> int:
    """Returns the position of the store when it answered.

    Raises:
      StoreError: The response holds none.
    """
    try:
      revision = fields.read_int(self.body, 'currentRev')
    except fields.MALFORMED as error:
      raise _malformed('response', error) from error
    return store_era.make_position(self.era, revision)

  def items(self, name: str) -> list[Any]:
    """Returns a list in the response.

    Raises:
      StoreError: There is none.
    """
    found = self.body.get(name) if isinstance(self.body, dict) else None
    if not isinstance(found, list):
      raise errors.StoreError(f'malformed response: "{name}" is no list')
    return found

  def has_more(self) -> bool:
    """Returns whether the list goes on."""
    return bool(self.body.get('hasMore')) and bool(self.items('items'))


def _decode_usable(
    items: list[Any], era: int, is_deleted: bool = False
) -> list[StoredObject]:
  """Decodes the objects of a list, and logs those that have no name."""
  objects = []
  for item in items:
    try:
      objects.append(_decode_object(item, era, is_deleted))
    except errors.StoreError as error:
      logs.log_event(
          _log, logging.WARNING, 'store_object_unusable', error=error.reason
      )
  return objects


def _decode_object(item: Any, era: int, is_deleted: bool) -> StoredObject:
  try:
    metadata = item['metadata']
    return StoredObject(
        fields.read_text(metadata, 'name'),
        store_era.make_position(era, fields.read_int(metadata, 'revision')),
        item.get('spec'),
        is_deleted,
    )
  except fields.MALFORMED as error:
    raise _malformed('object', error) from error


def _malformed(what: str, error: BaseException) -> errors.StoreError:
  return errors.StoreError(f'malformed {what}: {fields.describe(error)}')
