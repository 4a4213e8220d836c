"""TCP traffic of processes, as counted by the kernel.

The byte counts of an application omit heartbeats, acknowledgements and headers,
which are most of the traffic of small messages.
"""

import re
import subprocess

# IPv4 header (20), TCP header (20) and TCP timestamp option (12).
HEADER_BYTES = 52

_SOCKET_PID = re.compile(r'pid=(\d+)')
_SOCKET_COUNT = re.compile(
    r'(bytes_sent|bytes_received|segs_out|segs_in):(\d+)'
)


def read_wire_bytes(pids: set[int]) -> dict[int, int]:
  """Returns the traffic of the open TCP connections of processes.

  Args:
    pids: Ids of the processes.

  Returns:
    Bytes sent and received by process id, with headers of `HEADER_BYTES` per
    segment. Connections that are closed already are not included.
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
