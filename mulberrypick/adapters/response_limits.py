"""Limits on what a client connection reads besides the body of its response."""

# Bytes in a row that belong to no body: status line and headers, blank lines
# and interim responses before them.
MAX_HEAD_BYTES = 65536
# Headers of one response. Short ones take several times their bytes in memory.
MAX_HEADERS = 256
# Bytes that are parsed before the limits are checked.
PIECE_BYTES = 16384
# All bytes before the head of the request's own response, among them responses
# to other requests.
MAX_BYTES_BEFORE_RESPONSE = 1 << 20
# Chunk lines, extensions and trailers per byte of the bodies; a chunk of one
# byte has a frame of 5 bytes or more.
MAX_FRAME_BYTES_PER_BODY_BYTE = 16
HEAD_TOO_LONG = 'head_too_long'
FOREIGN_TOO_LONG = 'foreign_too_long'
FRAME_TOO_LONG = 'frame_too_long'


class ResponseMeter:
  """Counts what arrived since a request was sent."""

  def __init__(self):
    self._received_bytes = 0
    self._body_bytes = 0
    self._bytes_since_body = 0
    self._has_body_in_read = False

  def add_body(self, size: int) -> None:
    """Counts bytes of a body, also of one that is skipped."""
    self._body_bytes += size
    self._has_body_in_read = True

  def finish_read(self, size: int, has_head: bool) -> str:
    """Counts the bytes of one read, after they were parsed.

    Args:
      size: Number of the bytes.
      has_head: Whether the head of the request's own response has arrived.

    Returns:
      Why the response must be given up, empty if it is within the limits.
    """
    self._received_bytes += size
    self._bytes_since_body += size
    if self._has_body_in_read:
      self._bytes_since_body = 0
      self._has_body_in_read = False
    frame_bytes = self._received_bytes - self._body_bytes
    if self._bytes_since_body > MAX_HEAD_BYTES or frame_bytes > (
        MAX_HEAD_BYTES + MAX_FRAME_BYTES_PER_BODY_BYTE * self._body_bytes
    ):
      return FRAME_TOO_LONG if has_head else HEAD_TOO_LONG
    if not has_head and self._received_bytes > MAX_BYTES_BEFORE_RESPONSE:
      return FOREIGN_TOO_LONG
    return ''
