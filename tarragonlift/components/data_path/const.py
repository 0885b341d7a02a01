"""Constants of the data path."""

from __future__ import annotations

import select

READ_BYTES = 65536
MAX_JOINED_WRITE_BYTES = 65536
HIGH_WATERMARK_BYTES = 262144
LOW_WATERMARK_BYTES = 65536
MAX_ACCEPTS_PER_EVENT = 64
LISTEN_BACKLOG = 1024
HANDSHAKE_TIMEOUT_MS = 5
# asm-generic/socket.h; the socket module doesn't name it.
SO_ATTACH_FILTER = 26

MAX_HEAD_BYTES = 32768
MAX_RECORDED_BODY_BYTES = 65536
MAX_DRAINED_BODY_BYTES = 1 << 20

HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
RESPONSE_STALL_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 1.0
BACKEND_IDLE_TIMEOUT_S = 20.0
# Seconds by which a connection is closed before the server's own idle
# timeout. Longer than a sweep interval plus a round trip.
KEEP_ALIVE_MARGIN_S = 2.0
SWEEP_INTERVAL_S = 1.0

# Number of idle connections kept for each backend server.
MAX_IDLE_CONNECTIONS = 64

# TCP keepalive detects a silent connection after the idle time plus all
# probes: 3 seconds, the longest time that a partition may last before changes
# must have arrived another way.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time after which unacknowledged data ends a connection.
TCP_USER_TIMEOUT_MS = 3000

MAX_SERVE_S = 0.1
# Time in seconds beyond the longest wait after which the process counts as
# paused: what it knew before may have changed since.
PAUSE_THRESHOLD_S = 1.0

MASK_READ = select.EPOLLIN
MASK_WRITE = select.EPOLLOUT
MASK_CLOSED = select.EPOLLHUP | select.EPOLLERR
