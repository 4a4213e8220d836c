"""Client of the platform over HTTP."""

import base64
import urllib.parse
from http import HTTPStatus
from typing import TypedDict

import msgspec
import urllib3
from urllib3 import exceptions

from mulberrypick.adapters import http_common
from mulberrypick.adapters import http_limits
from mulberrypick.adapters import platform
from mulberrypick.core import errors
from mulberrypick.core import records

MAX_CONNECTIONS = 32
NO_EFFECT_STATUSES = (
    HTTPStatus.FORBIDDEN,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


class _Object(TypedDict):
  key: str
  version: int
  value: bytes


class _Objects(TypedDict):
  revision: int
  objects: list[_Object]


class _Changes(TypedDict):
  revision: int
  changes: list[_Object]


class _Version(TypedDict):
  version: int


class _Hosts(TypedDict):
  hosts: list[dict]


class HttpPlatform(platform.Platform):
  """HTTP client of the object API and the list of hosts. Thread-safe."""

  def __init__(
      self, base_url: str, source_ip: str, timeout_s: float, caller: str
  ):
    """Creates the client; it connects when it is first used.

    Args:
      base_url: Base URL, such as `http://127.0.1.1:8080`.
      source_ip: Local IP to connect from, empty for any.
      timeout_s: Timeout of a call.
      caller: Name of this process in the platform's logs.
    """
    self._base_url = base_url.rstrip('/')
    self._timeout_s = timeout_s
    self._headers = {'User-Agent': caller}
    self._pool = http_common.make_pool(source_ip, MAX_CONNECTIONS)
    http_limits.limit_pool(self._pool, has_lists=True)

  def get(self, key: str) -> platform.VersionedValue | None:
    """Reads an object; returns None if it does not exist."""
    response = self._read(_object_path(key), self._timeout_s)
    if response.status == HTTPStatus.NOT_FOUND:
      return None
    return _decode_value(_decode_read(response, _Object))

  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """Writes an object if its version is the expected one."""
    if len(value) > platform.MAX_VALUE_BYTES:
      raise errors.PlatformError(f'{key}: {len(value)} bytes exceed the limit')
    body = msgspec.json.encode(
        {
            'value': base64.b64encode(value).decode(),
            'expected_version': expected_version,
        }
    )
    decoded = self._write('PUT', key, _object_path(key), body, _Version)
    return decoded['version']

  def delete(self, key: str, expected_version: int) -> None:
    """Deletes an object if its version is the expected one."""
    path = f'{_object_path(key)}?expected_version={expected_version}'
    self._write('DELETE', key, path, None, dict)

  def list_objects(self, prefix: str) -> platform.Listing:
    """Reads all objects under a prefix."""
    query = urllib.parse.urlencode({'prefix': prefix})
    response = self._read(f'/objects?{query}', self._timeout_s)
    listing = _decode_read(response, _Objects)
    values = map(_decode_value, listing['objects'])
    return platform.Listing(
        listing['revision'], {value.key: value for value in values}
    )

  def watch(
      self, prefix: str, after_revision: int, timeout_s: float
  ) -> platform.WatchBatch:
    """Waits for changes under a prefix."""
    query = urllib.parse.urlencode(
        {
            'prefix': prefix,
            'after': after_revision,
            'timeout_s': timeout_s,
        }
    )
    response = self._read(f'/watch?{query}', timeout_s + self._timeout_s)
    if response.status == HTTPStatus.GONE:
      raise errors.WatchExpiredError(f'revision {after_revision} has expired')
    batch = _decode_read(response, _Changes)
    changes = [_decode_value(change) for change in batch['changes']]
    return platform.WatchBatch(batch['revision'], changes)

  def list_hosts(self) -> list[records.Host]:
    """Reads the list of live and leaving hosts, which may be out of date."""
    response = self._read('/hosts', self._timeout_s)
    hosts = _decode_read(response, _Hosts)['hosts']
    try:
      return [http_common.decode_record(host, records.Host) for host in hosts]
    except (KeyError, msgspec.ValidationError) as error:
      raise errors.PlatformError(f'malformed list of hosts: {error}') from error

  def _read(self, path: str, timeout_s: float) -> urllib3.BaseHTTPResponse:
    try:
      response = self._request('GET', path, None, timeout_s)
    except exceptions.HTTPError as error:
      raise errors.PlatformUnavailableError(str(error)) from error
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
      raise errors.PlatformUnavailableError(f'status {response.status}')
    return response

  def _write(
      self,
      method: str,
      key: str,
      path: str,
      body: bytes | None,
      response_type: type,
  ):
    try:
      response = self._request(method, path, body, self._timeout_s)
    except (
        exceptions.NewConnectionError,
        exceptions.ConnectTimeoutError,
    ) as error:
      raise errors.PlatformUnavailableError(str(error)) from error
    except exceptions.HTTPError as error:
      raise errors.PlatformAnswerLostError(str(error)) from error
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
      raise errors.PlatformAnswerLostError(f'status {response.status}')
    try:
      if response.status == HTTPStatus.CONFLICT:
        decoded = msgspec.json.decode(response.data, type=_Version)
        raise errors.ConflictError(key, decoded['version'])
      return _decode(response, response_type)
    except msgspec.MsgspecError as error:
      raise errors.PlatformAnswerLostError(
          f'malformed response: {error}'
      ) from error

  def _request(
      self, method: str, path: str, body: bytes | None, timeout_s: float
  ) -> urllib3.BaseHTTPResponse:
    response = self._pool.request(
        method,
        self._base_url + path,
        body=body,
        headers=self._headers,
        timeout=urllib3.Timeout(connect=self._timeout_s, read=timeout_s),
        redirect=False,
    )
    if response.status in NO_EFFECT_STATUSES:
      raise errors.PlatformUnavailableError(
          f'{http_common.error_name(response.data)}: status {response.status}',
          _retry_after_s(response),
      )
    return response


def _object_path(key: str) -> str:
  return '/objects/' + urllib.parse.quote(key, safe='/')


def _retry_after_s(response: urllib3.BaseHTTPResponse) -> float:
  try:
    return float(response.headers.get('Retry-After', '0'))
  except ValueError:
    return 0.0


def _decode(response: urllib3.BaseHTTPResponse, body_type: type):
  if response.status != HTTPStatus.OK:
    name = http_common.error_name(response.data)
    raise errors.PlatformError(f'{name}: status {response.status}')
  return msgspec.json.decode(response.data, type=body_type)


def _decode_read(response: urllib3.BaseHTTPResponse, body_type: type):
  """Decodes the response to a read, which may be retried if truncated."""
  try:
    return _decode(response, body_type)
  except msgspec.MsgspecError as error:
    raise errors.PlatformUnavailableError(
        f'malformed response: {error}'
    ) from error


def _decode_value(fields: _Object) -> platform.VersionedValue:
  return platform.VersionedValue(
      fields['key'], fields['version'], fields['value']
  )
