"""Logs when the store is lost and regained."""

from __future__ import annotations

import random

from tarragonlift.components.gateway import const
from tarragonlift.components import logs
from tarragonlift import exceptions


class Dependency:
    """One kind of reading, and how long to pause after it failed."""

    def __init__(self, name: str, rng: random.Random) -> None:
        """Begin as not lost."""
        self._name = name
        self._failed_at: float | None = None
        self._retry_interval_s = const.MIN_RETRY_INTERVAL_S
        self._rng = rng

    def record_failure(
        self, error: exceptions.PlatformError, now: float, daemons: int
    ) -> float:
        """Note a failed reading; return when to try again.

        Pauses grow with each failure, the longer the more daemons there are.
        """
        if self._failed_at is None:
            self._failed_at = now
            logs.log_status(
                "dependency",
                name=self._name,
                lost=True,
                error=type(error).__name__,
            )
        interval_s = self._retry_interval_s
        max_interval_s = min(
            const.MAX_RETRY_INTERVAL_S, daemons / const.MAX_FLEET_RETRIES_PER_S
        )
        self._retry_interval_s = max(
            const.MIN_RETRY_INTERVAL_S, min(2.0 * interval_s, max_interval_s)
        )
        return now + interval_s * (0.5 + self._rng.random())

    def record_success(self, now: float) -> bool:
        """Note a reading; return whether it is the first after failures."""
        if self._failed_at is None:
            return False
        outage_s = round(now - self._failed_at, 3)
        self._failed_at = None
        self._retry_interval_s = const.MIN_RETRY_INTERVAL_S
        logs.log_status(
            "dependency", name=self._name, lost=False, after_s=outage_s
        )
        return True
