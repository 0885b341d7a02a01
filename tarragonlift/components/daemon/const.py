"""Constants of the daemon."""

from __future__ import annotations

TICK_SECONDS = 0.1
METRICS_SECONDS = 1.0
