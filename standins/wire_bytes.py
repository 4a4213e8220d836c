"""Bytes on the wire of processes, as the kernel counts them.

What a program counts leaves out heartbeats, acknowledgements and headers,
which are most of the bytes of small messages.
"""

import re
import subprocess

# IP and TCP with timestamps.
HEADER_BYTES = 52

_SOCKET_PID = re.compile(r'pid=(\d+)')
_SOCKET_COUNT = re.compile(
    r'(bytes_sent|bytes_received|segs_out|segs_in):(\d+)'
)


def read_wire_bytes(pids: set[int]) -> dict[int, int]:
  """Reads what the kernel counts for the open TCP connections of processes.

  Args:
    pids: The processes.

  Returns:
    Bytes sent and received by each process, with a header for each segment.
    Connections that were closed are not in it any more.
  """
  listed = subprocess.run(
      ['ss', '-tinpOH'], capture_output=True, text=True, check=True
  )
  bytes_by_pid = dict.fromkeys(pids, 0)
  for line in listed.stdout.splitlines():
    found = _SOCKET_PID.search(line)
    if not found or int(found.group(1)) not in pids:
      continue
    for name, count in _SOCKET_COUNT.findall(line):
      unit = HEADER_BYTES if name.startswith('segs') else 1
      bytes_by_pid[int(found.group(1))] += unit * int(count)
  return bytes_by_pid
