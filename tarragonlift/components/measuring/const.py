"""Constants of measuring."""

from __future__ import annotations

ROWS_SECONDS = 5.0
TICK_SECONDS = 0.1
PROBE_TIMEOUT_S = 1.0
QUIET_SECONDS = 1.0
LOAD_PATH = "/.load"
