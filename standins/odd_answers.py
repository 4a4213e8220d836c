"""Answers of faulty replicas; each is used as `FleetReplica.on_run`."""

import asyncio

from mulberrypick.adapters import server_connection

_REQUEST_ID = b'X-Mulberrypick-Request-Id'
_SIGNATURE = (b'X-Mulberrypick-Server-Signature', b'odd.1')
_NOT_RUN = (b'X-Mulberrypick-Not-Executed', b'1')
# Time from the last event of a stream until it breaks off.
BREAK_S = 0.02
# Answers to a request that goes on after an event: status, content type, body.
RESUMED_ANSWERS = {
    'nothing': (200, b'text/event-stream', b''),
    'no_content': (204, b'text/event-stream', b''),
    'event_without_id': (
        200,
        b'text/event-stream',
        b'event: error\ndata: engine failed\n\n',
    ),
    'text': (200, b'text/plain', b'engine failed, try again\n\n'),
    'skipped_id': (200, b'text/event-stream', None),
    'own_event_and_text': (200, b'text/event-stream', None),
}


class RefusalAgain:
  """Refuses the first request of a connection; writes that again later.

  The next request on the connection runs, after the earlier refusal was written
  once more.
  """

  def __init__(self, has_id: bool):
    """Creates the fault.

    Args:
      has_id: Whether refusals bear the id of their request.
    """
    self._has_id = has_id
    self._refused: dict[server_connection.ServerConnection, str] = {}

  async def __call__(
      self,
      request: str,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> bool:
    """Answers a request that is the first one on its connection."""
    del headers
    earlier = self._refused.get(caller)
    if earlier is None:
      self._refused[caller] = request
      self._write(request, caller)
      return True
    self._write(earlier, caller)
    return False

  def _write(
      self, request: str, caller: server_connection.ServerConnection
  ) -> None:
    headers = [_NOT_RUN]
    if self._has_id:
      headers.append((_REQUEST_ID, request.encode()))
    caller.write_response(503, headers, b'')


class OddResumption:
  """Breaks streams off after two events, and resumes them wrongly."""

  def __init__(self, kind: str, is_first_run: bool = False):
    """Creates the fault.

    Args:
      kind: One of `RESUMED_ANSWERS`.
      is_first_run: Whether the first run answers so.
    """
    self._kind = kind
    self._is_first_run = is_first_run

  async def __call__(
      self,
      request: str,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> bool:
    """Answers a request for a stream."""
    if headers.get('x-mulberrypick-stage') == 'prefill':
      return False
    last = int(headers.get('last-event-id', '0'))
    if last or self._is_first_run:
      self._write_rest(request, last, caller)
      return True
    caller.write_head(200, _stream_headers(request), False)
    for number in (1, 2):
      caller.write(_chunk(_event(number)))
    await asyncio.sleep(BREAK_S)
    caller.abort()
    return True

  def _write_rest(
      self, request: str, last: int, caller: server_connection.ServerConnection
  ) -> None:
    status, kind, body = RESUMED_ANSWERS[self._kind]
    if body is None:
      body = _event(last + 1)
      if self._kind == 'skipped_id':
        body += _event(last + 3)
      else:
        body += b'data: engine failed\n\n'
    if status == 204:
      caller.write_response(204, _stream_headers(request)[:2], b'')
      return
    caller.write_head(status, _stream_headers(request, kind), False)
    if body:
      caller.write(_chunk(body))
    caller.write(b'0\r\n\r\n')


class LostEnd:
  """Sends all events of the first run, and breaks off before its end."""

  def __init__(self, events: int):
    """Creates the fault.

    Args:
      events: Number of events.
    """
    self._events = events

  async def __call__(
      self,
      request: str,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> bool:
    """Answers a request that begins a stream."""
    is_prefill = headers.get('x-mulberrypick-stage') == 'prefill'
    if is_prefill or 'last-event-id' in headers:
      return False
    caller.write_head(200, _stream_headers(request), False)
    for number in range(1, self._events + 1):
      caller.write(_chunk(_event(number)))
    await asyncio.sleep(BREAK_S)
    caller.abort()
    return True


class HalfHead:
  """Ends the connection within the head of the answer."""

  def __init__(self, part: bytes):
    """Creates the fault; `part` is what is written, with `ID` for the id."""
    self._part = part

  async def __call__(
      self,
      request: str,
      headers: dict[str, str],
      caller: server_connection.ServerConnection,
  ) -> bool:
    """Answers any request."""
    del headers
    caller.write(self._part.replace(b'ID', request.encode()))
    caller.close()
    return True


def _event(number: int) -> bytes:
  return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _chunk(data: bytes) -> bytes:
  return b'%x\r\n%s\r\n' % (len(data), data)


def _stream_headers(
    request: str, kind: bytes = b'text/event-stream'
) -> list[tuple[bytes, bytes]]:
  return [
      (_REQUEST_ID, request.encode()),
      _SIGNATURE,
      (b'Content-Type', kind),
      (b'Transfer-Encoding', b'chunked'),
  ]
