"""Options of the TCP connections to callers, endpoints and other hosts."""

import socket

# TCP keepalive: idle time before the first probe (s), time between probes (s)
# and number of probes. A peer that lost power is detected in about 3 s, within
# the time allowed for detecting the loss of one host.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The kernel drops a connection whose bytes stay unacknowledged so long (s), or
# whose peer has no room for them.
USER_TIMEOUT_S = 3.0


def set_tcp_options(
    sock: socket.socket, user_timeout_s: float | None = USER_TIMEOUT_S
) -> None:
  """Sets TCP_NODELAY, and the options by which dead peers are detected.

  Args:
    sock: The socket.
    user_timeout_s: Time that sent bytes may stay unacknowledged, and written
      ones unsent; None for the kernel's own. A peer that lives and reads slowly
      counts as dead after it.
  """
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  tcp = socket.IPPROTO_TCP
  sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
  sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
  sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
  if user_timeout_s is not None:
    user_timeout_ms = round(1000 * user_timeout_s)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
