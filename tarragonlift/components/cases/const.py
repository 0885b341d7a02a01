"""Constants of the case manager."""

from __future__ import annotations

ROW_PREFIX = "case/"
OBJECT_PREFIX = "cases/"
STATE_OPEN = "open"
STATE_TAKEN = "taken"
STATE_CLOSED = "closed"
STATES = (STATE_OPEN, STATE_TAKEN, STATE_CLOSED)

MAX_WAITING = 1024
MAX_WAITING_PER_CALLER = 8
MAX_TEXT_BYTES = 16384
RETRY_INTERVAL_S = 1.0
