"""Simulated platform: object service and delayed list of hosts."""

import base64
import collections
import threading
import time
from http import HTTPStatus
from typing import NamedTuple
from typing import TypedDict

import click
import msgspec

from mulberrypick.core import records
from standins import platform_store
from standins import wire

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_TIMEOUT_S = 300.0
OBJECTS_PATH = '/objects/'
HOSTS_PATH = '/hosts/'


class PutBody(TypedDict):
  """JSON body of a write; `value` is base64 in JSON."""

  value: bytes
  expected_version: int


class Settings(NamedTuple):
  """Settings of the simulated platform.

  Attributes:
    writes_per_s: Rate limit of puts and deletes.
    reads_per_s: Rate limit of gets, lists, watches and host lists.
    hosts_lag_s: Delay after which a change of the host list becomes visible.
    history: Number of changes kept for watches.
  """

  writes_per_s: float = 400.0
  reads_per_s: float = 2000.0
  hosts_lag_s: float = 1.0
  history: int = 20_000


class HostList:
  """The list of hosts, read with a fixed delay."""

  def __init__(self, lag_s: float):
    self._lag_s = lag_s
    self._lock = threading.Lock()
    self._host_by_name: dict[str, records.Host] = {}
    self._versions = collections.deque([(0.0, ())])

  def put(self, host: records.Host) -> None:
    """Adds or replaces a host."""
    with self._lock:
      self._host_by_name[host.name] = host
      self._append_version()

  def delete(self, name: str) -> None:
    """Removes a host."""
    with self._lock:
      self._host_by_name.pop(name, None)
      self._append_version()

  def read(self) -> tuple[records.Host, ...]:
    """Returns the hosts as of `lag_s` ago."""
    cutoff = time.monotonic() - self._lag_s
    with self._lock:
      while len(self._versions) > 1 and self._versions[1][0] <= cutoff:
        self._versions.popleft()
      return self._versions[0][1]

  def _append_version(self) -> None:
    hosts = tuple(self._host_by_name.values())
    self._versions.append((time.monotonic(), hosts))


class PlatformApp(wire.App):
  """The object API of the platform with rate limits, counters and faults."""

  def __init__(self, settings: Settings):
    super().__init__()
    self._store = platform_store.ObjectStore(settings.history)
    self._hosts = HostList(settings.hosts_lag_s)
    self._writes = platform_store.TokenBucket(settings.writes_per_s)
    self._reads = platform_store.TokenBucket(settings.reads_per_s)
    self._lock = threading.Lock()
    self._calls = dict.fromkeys(
        ('get', 'put', 'delete', 'list', 'watch', 'hosts', 'refused'), 0
    )
    self._outage_until = 0.0
    self._delay_s = 0.0
    self._answers_to_lose = 0
    self._lose_prefix = ''

  def set_fault(self, name: str, value: object) -> None:
    """Sets an outage, a delay, or the number and key prefix of lost answers."""
    if name == 'outage_s':
      self._outage_until = time.monotonic() + float(value)
      self._store.interrupt_watches()
    elif name == 'delay_s':
      self._delay_s = float(value)
    elif name == 'lose_answers':
      self._answers_to_lose = int(value)
      self._lose_prefix = ''
    elif name == 'lose_prefix':
      self._lose_prefix = str(value)
    else:
      raise ValueError(name)

  def handle(self, call: wire.Call) -> wire.Answer:
    """Answers one call of the API."""
    if call.path == '/calls':
      with self._lock:
        return wire.json_answer(dict(self._calls))
    if call.path.startswith(HOSTS_PATH):
      return self._change_host(call)
    kind = _kind_of(call)
    if not kind:
      return wire.error_answer(HTTPStatus.NOT_FOUND, 'path')
    interruptions = self._store.interruptions
    refusal = self._admit(kind)
    if refusal:
      return refusal
    time.sleep(self._delay_s)
    return self._answer(kind, call, interruptions)

  def _admit(self, kind: str) -> wire.Answer | None:
    """Counts a call; returns a refusal in an outage or above the rate limit."""
    is_write = kind in ('put', 'delete')
    bucket = self._writes if is_write else self._reads
    status = 0
    if time.monotonic() < self._outage_until:
      status = HTTPStatus.SERVICE_UNAVAILABLE
    elif not bucket.take():
      status = HTTPStatus.TOO_MANY_REQUESTS
    with self._lock:
      self._calls['refused' if status else kind] += 1
    if not status:
      return None
    error = 'outage' if status == HTTPStatus.SERVICE_UNAVAILABLE else 'rate'
    headers = (('Retry-After', '1'),)
    return wire.json_answer({'error': error}, status, headers)

  def _answer(
      self, kind: str, call: wire.Call, interruptions: int
  ) -> wire.Answer:
    key = call.path.removeprefix(OBJECTS_PATH)
    prefix = call.argument_by_name.get('prefix', '')
    if kind == 'get':
      return self._get(key)
    if kind == 'put':
      return self._put(key, call.body)
    if kind == 'delete':
      return self._delete(key, call)
    if kind == 'list':
      revision, changes = self._store.list_objects(prefix)
      objects = [_as_object(change) for change in changes]
      return wire.json_answer({'revision': revision, 'objects': objects})
    if kind == 'watch':
      return self._watch(prefix, call, interruptions)
    hosts = [host._asdict() for host in self._hosts.read()]
    return wire.json_answer({'hosts': hosts})

  def _get(self, key: str) -> wire.Answer:
    change = self._store.get(key)
    if change is None:
      return wire.error_answer(HTTPStatus.NOT_FOUND, 'missing')
    return wire.json_answer(_as_object(change))

  def _put(self, key: str, body: bytes) -> wire.Answer:
    put = msgspec.json.decode(body, type=PutBody)
    value = put['value']
    if len(value) > MAX_VALUE_BYTES:
      return wire.error_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'size')
    try:
      version = self._store.put(key, value, put['expected_version'])
    except platform_store.VersionConflictError as error:
      return _conflict(error)
    self._lose_answer(key)
    return wire.json_answer({'version': version})

  def _delete(self, key: str, call: wire.Call) -> wire.Answer:
    expected = int(call.argument_by_name['expected_version'])
    try:
      self._store.delete(key, expected)
    except platform_store.VersionConflictError as error:
      return _conflict(error)
    self._lose_answer(key)
    return wire.json_answer({})

  def _watch(
      self, prefix: str, call: wire.Call, interruptions: int
  ) -> wire.Answer:
    after = int(call.argument_by_name['after'])
    timeout_s = float(call.argument_by_name.get('timeout_s', '30'))
    timeout_s = min(timeout_s, MAX_WATCH_TIMEOUT_S)
    try:
      batch = self._store.watch(prefix, after, timeout_s, interruptions)
    except platform_store.RevisionGoneError:
      return wire.error_answer(HTTPStatus.GONE, 'revision')
    if batch is None:
      return wire.error_answer(HTTPStatus.SERVICE_UNAVAILABLE, 'outage')
    revision, changes = batch
    objects = [_as_object(change) for change in changes]
    return wire.json_answer({'revision': revision, 'changes': objects})

  def _lose_answer(self, key: str) -> None:
    with self._lock:
      if self._answers_to_lose < 1 or not key.startswith(self._lose_prefix):
        return
      self._answers_to_lose -= 1
    raise wire.DropConnectionError

  def _change_host(self, call: wire.Call) -> wire.Answer:
    name = call.path.removeprefix(HOSTS_PATH)
    if call.method == 'DELETE':
      self._hosts.delete(name)
      return wire.json_answer({})
    if call.method != 'PUT':
      return wire.error_answer(HTTPStatus.METHOD_NOT_ALLOWED, 'method')
    host = wire.decode_record(call.body, records.Host)
    self._hosts.put(host._replace(name=name))
    return wire.json_answer({})


def _kind_of(call: wire.Call) -> str:
  if call.path.startswith(OBJECTS_PATH):
    kind_by_method = {'GET': 'get', 'PUT': 'put', 'DELETE': 'delete'}
    return kind_by_method.get(call.method, '')
  kind_by_path = {'/objects': 'list', '/watch': 'watch', '/hosts': 'hosts'}
  return kind_by_path.get(call.path, '') if call.method == 'GET' else ''


def _as_object(change: platform_store.Change) -> dict[str, object]:
  value = base64.b64encode(change.value).decode()
  return {'key': change.key, 'version': change.version, 'value': value}


def _conflict(error: platform_store.VersionConflictError) -> wire.Answer:
  return wire.json_answer({'version': error.current}, HTTPStatus.CONFLICT)


@click.command()
@click.option(
    '--listen',
    default='127.0.0.1:0',
    help='ip:port to listen on; port 0 for any free port.',
)
@click.option(
    '--seed', default=0, help='Ignored; the platform is deterministic.'
)
@click.option(
    '--writes-per-s', default=400.0, help='Maximum number of writes per second.'
)
@click.option(
    '--reads-per-s', default=2000.0, help='Maximum number of reads per second.'
)
@click.option(
    '--hosts-lag-s', default=1.0, help='Delay of the list of hosts, in seconds.'
)
@click.option(
    '--history', default=20_000, help='Number of changes kept for watches.'
)
@click.option(
    '--threads',
    default=160,
    help='Maximum number of concurrent calls and watches.',
)
def main(listen: str, seed: int, threads: int, **settings: float):
  """Runs the simulated platform."""
  del seed
  wire.set_up_logs()
  app = PlatformApp(Settings(**settings))
  wire.run(app, listen, threads, 'platform')


if __name__ == '__main__':
  main()
