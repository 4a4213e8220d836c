"""Messages by which a host passes a request on to another one, the helper.

The request is the body of a POST to `PATH` on a port that callers do not reach.
The response is a sequence of frames, each with its length in front. The last
one is `Whole`, `End` or `Declined`; without it the response is incomplete.
Closing the connection ends the request.
"""

from collections.abc import Iterator

import msgspec

PATH = b'/forward'
METHOD = b'POST'
LENGTH_BYTES = 4
# Largest frame that is accepted: a whole answer of an endpoint and its headers.
MAX_FRAME_BYTES = 17 * 1024 * 1024

Headers = list[tuple[bytes, bytes]]


class ForwardedRequest(msgspec.Struct, array_like=True):
  """A request of a caller, as its host received it.

  Attributes:
    host: Name of the host that received it.
    method: The method.
    target: Path and query.
    headers: All headers.
    body: The body.
    peer: IP address of the caller.
    elapsed_s: Time since it was received.
    config_version: Version of the configuration of that host.
    runs: Number of endpoints that may have run it.
    is_repeat: Whether it was sent to an endpoint before; its host has taken a
      retry for it then, but none for its prompt to be read again.
    has_head: Whether the caller has the head of a stream.
    last_event: Id of the last event that the caller has, None without one.
    software: Software version that the stream is bound to, None if to none.
  """

  host: str
  method: bytes
  target: bytes
  headers: Headers
  body: bytes
  peer: str
  elapsed_s: float
  config_version: int
  runs: int = 0
  has_head: bool = False
  last_event: int | None = None
  software: str | None = None
  is_repeat: bool = False


class Whole(msgspec.Struct, array_like=True, tag='whole'):
  """A whole response, other than a stream.

  Attributes:
    status: The status.
    headers: All headers.
    body: The body.
    leaving: Name and start time of the endpoint that sent it, if it said that
      it leaves.
  """

  status: int
  headers: Headers
  body: bytes
  leaving: tuple[str, int] | None = None


class Head(msgspec.Struct, array_like=True, tag='head'):
  """The head of a stream.

  Attributes:
    status: The status.
    headers: All headers.
    software: The software version that began the stream.
    leaving: As in `Whole`.
  """

  status: int
  headers: Headers
  software: str | None
  leaving: tuple[str, int] | None = None


class Data(msgspec.Struct, array_like=True, tag='data'):
  """A part of a stream as it is written to the caller.

  Attributes:
    data: The bytes.
    last_event: Id of the last event in them, None if there is none yet.
  """

  data: bytes
  last_event: int | None


class End(msgspec.Struct, array_like=True, tag='end'):
  """The stream is complete."""


class Declined(msgspec.Struct, array_like=True, tag='declined'):
  """The helper did not take the request, and no endpoint ran it.

  Attributes:
    reason: Identifier of the cause.
    has_sent: Whether an endpoint received it, to read its prompt.
  """

  reason: str
  has_sent: bool = False


Frame = Whole | Head | Data | End | Declined

_request_decoder = msgspec.msgpack.Decoder(ForwardedRequest)
_frame_decoder = msgspec.msgpack.Decoder(Frame)


def encode_request(request: ForwardedRequest) -> bytes:
  """Encodes a request."""
  return msgspec.msgpack.encode(request)


def decode_request(data: bytes) -> ForwardedRequest:
  """Decodes a request.

  Raises:
    msgspec.DecodeError: The bytes are no request.
  """
  return _request_decoder.decode(data)


def encode_frame(frame: Frame) -> bytes:
  """Encodes a frame with its length."""
  encoded = msgspec.msgpack.encode(frame)
  return len(encoded).to_bytes(LENGTH_BYTES, 'big') + encoded


class FrameReader:
  """Splits received bytes into frames."""

  def __init__(self):
    self._buffer = bytearray()

  @property
  def partial_bytes(self) -> int:
    """Size of the incomplete frame that is buffered."""
    return len(self._buffer)

  def feed(self, data: bytes) -> Iterator[Frame]:
    """Returns the frames that are complete with more bytes.

    Raises:
      ValueError: The bytes are no frames.
    """
    self._buffer += data
    while len(self._buffer) >= LENGTH_BYTES:
      size = int.from_bytes(self._buffer[:LENGTH_BYTES], 'big')
      if size > MAX_FRAME_BYTES:
        raise ValueError(f'frame of {size} bytes is over {MAX_FRAME_BYTES}')
      end = LENGTH_BYTES + size
      if len(self._buffer) < end:
        return
      encoded = bytes(self._buffer[LENGTH_BYTES:end])
      del self._buffer[:end]
      yield _frame_decoder.decode(encoded)
