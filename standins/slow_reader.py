"""Reads responses as slowly as wanted."""

import asyncio
from typing import NamedTuple

# What is read at a time.
READ_BYTES = 65536


class Response(NamedTuple):
  """A response, or what arrived of it.

  Attributes:
    status: Its status, 0 if the head is missing.
    body: The part of its body that arrived.
    is_whole: Whether it is complete by its framing.
    is_last: Whether it is the last one of its connection.
  """

  status: int = 0
  body: bytes = b''
  is_whole: bool = False
  is_last: bool = False


async def read_response(
    reader: asyncio.StreamReader, stall_s: float, pause_s: float
) -> Response:
  """Reads a response; it is not whole if the connection ends before.

  Args:
    reader: The connection.
    stall_s: Time between the head and the body in which nothing is read.
    pause_s: Pause after each `READ_BYTES` of the body.
  """
  status, body, is_last = 0, bytearray(), False
  try:
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    status = int(head.split(b' ', 2)[1])
    is_last = b'\r\nconnection: close\r\n' in head
    await asyncio.sleep(stall_s)
    _, _, length = head.partition(b'\r\ncontent-length: ')
    if length:
      size = int(length.split(b'\r\n')[0])
      await _read_some(reader, size, body, pause_s)
    else:
      while size := int(await reader.readuntil(b'\r\n'), 16):
        await _read_some(reader, size, body, pause_s)
        await reader.readexactly(2)
      await reader.readexactly(2)
  except (asyncio.IncompleteReadError, ConnectionError):
    # The connection ended; what arrived before counts.
    return Response(status, bytes(body), False, True)
  return Response(status, bytes(body), True, is_last)


async def _read_some(
    reader: asyncio.StreamReader, size: int, body: bytearray, pause_s: float
) -> None:
  while size:
    part = min(size, READ_BYTES)
    body += await reader.readexactly(part)
    size -= part
    await asyncio.sleep(pause_s * part / READ_BYTES)
