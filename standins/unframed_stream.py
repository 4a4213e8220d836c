"""Streams with neither a length nor chunks, which end with their connection."""

import socket
import struct

from mulberrypick.adapters import server_connection

# How such a stream ends: complete, within an event, by a reset, or by a close
# that looks like the end of a complete one.
COMPLETE = 'open'
CUT = 'open_cut'
RESET = 'open_reset'
MODES = (COMPLETE, CUT, RESET)
# Events before a stream that does not complete ends.
EVENTS_BEFORE_END = 2
_LINGER_RESET = struct.pack('ii', 1, 0)


def end_early(
    mode: str, sent: int, caller: server_connection.ServerConnection
) -> bool:
  """Ends a stream that does not complete after some events.

  Args:
    mode: One of `MODES`.
    sent: Number of events that were sent.
    caller: The connection.

  Returns:
    Whether the stream was ended.
  """
  if sent < EVENTS_BEFORE_END or mode not in (CUT, RESET):
    return False
  if mode == RESET:
    reset(caller)
    return True
  caller.write(b'id: %d\nda' % (sent + 1))
  caller.close()
  return True


def reset(caller: server_connection.ServerConnection) -> None:
  """Closes a connection by a reset instead of a regular end."""
  sock = caller._transport.get_extra_info('socket')
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
  caller.abort()
