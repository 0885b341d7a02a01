"""Constants of the data path."""

from __future__ import annotations

import select

READ_BYTES = 65536
JOIN_BYTES_MOST = 65536
BUFFER_HIGH_BYTES = 262144
BUFFER_LOW_BYTES = 65536
ACCEPT_MOST = 64
LISTEN_BACKLOG = 1024

HEAD_BYTES_MOST = 32768
RECORD_BYTES_MOST = 65536
DRAIN_BYTES_MOST = 1 << 20

HEAD_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
ANSWER_STALL_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 1.0
BACKEND_IDLE_TIMEOUT_S = 20.0
# Connections are closed this much before the server would, in seconds: more
# than a sweep and a round trip.
IDLE_LIMIT_MARGIN_S = 2.0
SWEEP_SECONDS = 1.0

IDLE_CONNECTIONS_MOST = 64

# A silent connection is found after idle time plus all probes: 3 seconds,
# as long as a partition may last before news must have come another way.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Data that is not acknowledged ends a connection after this time.
UNACKED_MOST_MS = 3000

SERVE_SECONDS_MOST = 0.1

MASK_READ = select.EPOLLIN
MASK_WRITE = select.EPOLLOUT
MASK_CLOSED = select.EPOLLHUP | select.EPOLLERR
