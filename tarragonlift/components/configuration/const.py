"""Constants of the configuration manager."""

from __future__ import annotations

HEAD_KEY = "configuration/head"
HISTORY_PREFIX = "configuration/history/"
OBJECT_PREFIX = "configuration/"
POLL_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
MAX_PUSH_ATTEMPTS = 8
