"""Constants of the configuration part."""

from __future__ import annotations

HEAD_KEY = "configuration/head"
HISTORY_PREFIX = "configuration/history/"
OBJECT_PREFIX = "configuration/"
PULL_SECONDS = 2.0
RETRY_SECONDS = 0.5
PUSH_ATTEMPTS = 8
