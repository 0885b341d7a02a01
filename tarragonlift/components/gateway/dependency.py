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
        self._lost_at: float | None = None
        self._retry_s = const.RETRY_S
        self._rng = rng

    def fail(
        self, error: exceptions.PlatformError, now: float, daemons: int
    ) -> float:
        """Note a failed reading; return when to try again.

        Pauses grow with each failure, the longer the more daemons there are.
        """
        if self._lost_at is None:
            self._lost_at = now
            logs.log_belief(
                "dependency",
                name=self._name,
                lost=True,
                error=type(error).__name__,
            )
        pause = self._retry_s
        most = min(const.RETRY_MOST_S, daemons / const.TRIES_PER_S)
        self._retry_s = max(const.RETRY_S, min(2.0 * pause, most))
        return now + pause * (0.5 + self._rng.random())

    def succeed(self, now: float) -> bool:
        """Note a reading; return whether it is the first after failures."""
        if self._lost_at is None:
            return False
        lost_s = round(now - self._lost_at, 3)
        self._lost_at = None
        self._retry_s = const.RETRY_S
        logs.log_belief(
            "dependency", name=self._name, lost=False, after_s=lost_s
        )
        return True
