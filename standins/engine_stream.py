"""Streaming of answers, written by the batch thread of a simulated engine.

Waking a thread per stream for each token costs more than the rest of the work
for a token. So the thread that serves the HTTP request sends only the head and
the end of the stream. In between, the batch thread writes to the socket
without blocking; bytes that the socket does not accept are buffered until the
next token.
"""

import os
import threading

import msgspec

from standins import engine_batch
from standins import wire

START_CHECK_INTERVAL_S = 0.05
STREAM_CHECK_INTERVAL_S = 0.5
FOREIGN_HEAD = b'data: {"attempt_id":"foreign/1","index":'
FOREIGN_END = FOREIGN_HEAD + b'1,"done":true,"finish_reason":"stop"}\n\n'


class Sink:
  """Receives the outputs of one request from the batch thread.

  Attributes:
    output: The latest output, None before the first.
    is_aborted: Whether the request ended before its last output.
  """

  def __init__(self):
    self.output: engine_batch.Output | None = None
    self.is_aborted = False
    self._started = threading.Event()
    self._ended = threading.Event()

  def handle_output(self, output: engine_batch.Output) -> None:
    """Stores an output and wakes the waiting threads."""
    self.output = output
    if output.is_last:
      self._ended.set()
    self._started.set()

  def abort(self) -> None:
    """Ends the request before its last output."""
    self.is_aborted = True
    self._ended.set()
    self._started.set()

  def wait_started(self, call: wire.Call) -> bool:
    """Waits for the first output; returns False if the caller disconnects."""
    return _wait_while_connected(self._started, call, START_CHECK_INTERVAL_S)

  def wait_ended(self, call: wire.Call) -> bool:
    """Waits for the last output; returns False if the caller disconnects."""
    return _wait_while_connected(self._ended, call, STREAM_CHECK_INTERVAL_S)


class StreamSink(Sink):
  """A sink that writes its outputs to a chunked HTTP response."""

  def __init__(self, call: wire.Call, work: engine_batch.Work):
    super().__init__()
    self._fd = call.socket.fileno()
    self._socket = call.socket
    self._work = work
    attempt_id = msgspec.json.encode(work.attempt_id)
    self._head = b'data: {"attempt_id":%b,"index":' % attempt_id
    self._lock = threading.Lock()
    self._is_open = False
    # Events that are not in an HTTP chunk yet, and unsent bytes of chunks.
    self._unframed = b''
    self._unsent = b''

  def handle_output(self, output: engine_batch.Output) -> None:
    """Writes an output without blocking and buffers the unsent bytes."""
    event = self._encode_output(output) if output.text else b''
    if not event and not output.is_last:
      # The response starts with the first event, and there is none yet.
      return
    self._write(event)
    super().handle_output(output)

  def take_first_events(self) -> bytes:
    """Returns the first events, to be sent with the HTTP head."""
    with self._lock:
      first = self._unframed
      self._unframed = b''
    return first

  def open(self) -> None:
    """Allows writes by the batch thread; call after the first events."""
    with self._lock:
      self._is_open = True

  def close(self) -> None:
    """Stops writes by the batch thread."""
    with self._lock:
      self._is_open = False

  def finish(self) -> bytes:
    """Sends buffered bytes and returns the last events of the answer."""
    self.close()
    if self._unsent:
      self._socket.sendall(self._unsent)
    return self._unframed + self._encode_end()

  def _write(self, event: bytes) -> None:
    if not event:
      return
    with self._lock:
      self._unframed += event
      if not self._is_open:
        return
      size = len(self._unframed)
      data = b'%b%x\r\n%b\r\n' % (self._unsent, size, self._unframed)
      self._unframed = b''
      try:
        written = os.write(self._fd, data)
      except BlockingIOError:
        written = 0
      except OSError:
        self._is_open = False
        self.abort()
        return
      self._unsent = data[written:]

  def _encode_output(self, output: engine_batch.Output) -> bytes:
    """Returns the encoded events for an output, possibly none."""
    return _encode_token(self._head, output.index, output.text)

  def _encode_end(self) -> bytes:
    work = self._work
    return b'%b%d,"done":true,%b}\n\n' % (
        self._head,
        work.end_index,
        b'"finish_reason":"%b","prompt_tokens":%d,"cached_tokens":%d'
        % (
            work.finish_reason.encode(),
            work.prompt_tokens,
            self.output.sequence.cached_tokens,
        ),
    )


class GarblingSink(StreamSink):
  """A sink that sends foreign, duplicate and reordered events.

  It swaps the two tokens of each pair and sends each of them twice. Before each
  pair it sends events of another attempt: a token with the index of the second
  token of the pair, and an end of the stream.
  """

  def __init__(self, call: wire.Call, work: engine_batch.Work):
    super().__init__(call, work)
    self._delayed_token = b''

  def _encode_output(self, output: engine_batch.Output) -> bytes:
    token = super()._encode_output(output)
    if output.index % 2 == 0 and not output.is_last:
      self._delayed_token = token
      return b''
    foreign = _encode_token(FOREIGN_HEAD, output.index, 'foreign ')
    events = (
        foreign
        + FOREIGN_END
        + token
        + token
        + self._delayed_token
        + self._delayed_token
    )
    self._delayed_token = b''
    return events


def _encode_token(head: bytes, index: int, text: str) -> bytes:
  return b'%b%d,"text":"%b"}\n\n' % (head, index, text.encode())


def _wait_while_connected(
    event: threading.Event, call: wire.Call, check_interval_s: float
) -> bool:
  while not event.wait(check_interval_s):
    if call.is_caller_gone():
      return False
  return True
