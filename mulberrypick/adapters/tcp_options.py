"""Options of the TCP connections to callers, endpoints and other hosts."""

import socket

# TCP keepalive: idle time before the first probe (s), time between probes (s)
# and number of probes. A peer that lost power is detected in about 3 s, within
# the time allowed for detecting the loss of one host.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The kernel aborts a connection whose bytes stay unacknowledged so long (ms).
USER_TIMEOUT_MS = 3000


def set_tcp_options(sock: socket.socket) -> None:
  """Sets TCP_NODELAY, and the options by which dead peers are detected."""
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  tcp = socket.IPPROTO_TCP
  sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
  sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
  sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
  sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
