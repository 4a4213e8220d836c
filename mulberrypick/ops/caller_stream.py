"""Forwards a streamed response to its caller event by event.

The events of a stream have consecutive ids. An event without one, or with
another one than the next, is not part of the stream: an endpoint that resumes
it may send the text of an error, or the wrong part.
"""

from mulberrypick.adapters import server_connection
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import event_stream
from mulberrypick.ops import forward_server
from mulberrypick.platform import requests

_LAST_CHUNK = b'0\r\n\r\n'


class CallerStream:
  """Response stream to one caller, possibly from several endpoints in turn.

  Attributes:
    last_event: Id of the last event written to the caller, None if there is
      none.
    has_head: Whether a response head was written to the caller.
  """

  def __init__(
      self,
      caller: (
          server_connection.ServerConnection | forward_server.ForwardedCaller
      ),
      forwarded: forward_server.ForwardedCaller | None = None,
  ):
    """Creates a stream.

    Args:
      caller: The caller.
      forwarded: The same if it is that of another host, None otherwise. Parts
        of the response may have reached it by way of others.
    """
    self._caller = caller
    self._forwarded = forwarded
    self.last_event: int | None = None
    self.has_head = False
    if forwarded is not None:
      self.last_event = forwarded.origin.last_event
      self.has_head = forwarded.origin.has_head

  async def write(
      self, head: stream_client.Head, events: list[event_stream.Event]
  ) -> None:
    """Writes events, except those that the caller already has.

    Raises:
      ExchangeBrokenError: An event is not part of the stream. Those before it
        were written.
    """
    new_events = []
    reason = ''
    for event in events:
      reason = self._find_fault(event)
      if reason:
        break
      if event.id is not None:
        if self.last_event is not None and event.id <= self.last_event:
          continue
        self.last_event = event.id
      new_events.append(event.raw)
    if new_events:
      await self._write_events(head, new_events)
    if reason:
      raise errors.ExchangeBrokenError(reason)

  def _find_fault(self, event: event_stream.Event) -> str:
    """Returns why an event is not part of the stream, empty if it may be."""
    if self.last_event is None:
      return ''
    if event.id is None:
      return '' if event.is_comment else 'event_without_id'
    return 'event_missing' if event.id > self.last_event + 1 else ''

  async def _write_events(
      self, head: stream_client.Head, events: list[bytes]
  ) -> None:
    self._write_head(head)
    if self._forwarded is not None:
      self._forwarded.last_event = self.last_event
    data = b''.join(events)
    self._caller.write(b'%x\r\n%s\r\n' % (len(data), data))
    await self._caller.drain()

  def finish(self, head: stream_client.Head) -> None:
    """Writes the end of a complete response."""
    self._write_head(head)
    self.write_end()

  def write_end(self) -> None:
    """Writes the end of a complete response whose head was written."""
    if self._forwarded is not None:
      # The host of the caller writes it.
      self._forwarded.finish()
      return
    self._caller.write(_LAST_CHUNK)

  def _write_head(self, head: stream_client.Head) -> None:
    if self.has_head:
      return
    self.has_head = True
    headers = requests.response_headers(head)
    # Chunks show the caller whether the response is complete, also if that of
    # the endpoint ends with its connection.
    headers.append((b'Transfer-Encoding', b'chunked'))
    self._caller.write_head(head.status, headers, False)
