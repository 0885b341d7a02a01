"""Constants shared by several modules."""

from __future__ import annotations

HEADER_CASE = "Tarragonlift-Help"
HEADER_DEADLINE = "Request-Timeout-Ms"
HEADER_ERROR = "Tarragonlift-Error"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_OUTCOME = "Tarragonlift-Outcome"
HEADER_REPLAYED = "Tarragonlift-Replayed"
HEADER_REQUEST = "Tarragonlift-Request"

# Header fields that a backend server may add to its responses.
HEADER_SERVER_LOAD = "Server-Load"
HEADER_SERVER_START = "Server-Start"
HEADER_SERVER_STATE = "Server-State"

SERVER_STATE_DRAINING = "draining"
SERVER_STATE_SHED = "shed"

PATH_PREFIX_INTERNAL = "/.tarragonlift/"
PATH_LIVE = "/.tarragonlift/live"
PATH_READY = "/.tarragonlift/ready"
PATH_CASES = "/.tarragonlift/cases"

MILLISECONDS_PER_SECOND = 1000
