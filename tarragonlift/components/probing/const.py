"""Constants of probing."""

from __future__ import annotations

LEASE_READ_INTERVAL_S = 5.0
TICK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
REPORT_STALE_TIMEOUT_S = 1.0
LOAD_PATH = "/.load"
