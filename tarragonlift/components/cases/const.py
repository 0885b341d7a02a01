"""Constants of cases."""

from __future__ import annotations

ROW_PREFIX = "case/"
OBJECT_PREFIX = "cases/"
STATE_OPEN = "open"
STATE_TAKEN = "taken"
STATE_CLOSED = "closed"
STATES = (STATE_OPEN, STATE_TAKEN, STATE_CLOSED)

WAITING_MOST = 1024
WAITING_OF_A_CALLER_MOST = 8
TEXT_BYTES_MOST = 16384
RETRY_SECONDS = 1.0
