"""Retry intervals and log entries for outages of the store."""

from __future__ import annotations

import random

from tarragonlift.components.gateway import const
from tarragonlift.components import logs
from tarragonlift import exceptions


class Dependency:
    """State of one kind of store call, with its retry interval."""

    def __init__(self, name: str, rng: random.Random) -> None:
        """Initialize the dependency as available."""
        self._name = name
        self._failed_at: float | None = None
        self._retry_interval_s = const.MIN_RETRY_INTERVAL_S
        self._rng = rng

    @property
    def is_lost(self) -> bool:
        """Return whether the last call failed."""
        return self._failed_at is not None

    def record_failure(
        self, error: exceptions.PlatformError, now: float, daemons: int
    ) -> float:
        """Record a failed call and return the time of the next try.

        The interval grows with each failure, up to a limit that grows with the
        number of daemons.
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
        """Record a successful call; return whether it ended an outage."""
        if self._failed_at is None:
            return False
        outage_s = round(now - self._failed_at, 3)
        self._failed_at = None
        self._retry_interval_s = const.MIN_RETRY_INTERVAL_S
        logs.log_status(
            "dependency", name=self._name, lost=False, after_s=outage_s
        )
        return True
