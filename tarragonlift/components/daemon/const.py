"""Constants of the entry daemon."""

from __future__ import annotations

TICK_INTERVAL_S = 0.1
METRICS_INTERVAL_S = 1.0
