"""Counting on the hot path, sending to statsd once in a while."""

from __future__ import annotations

import collections

import statsd


class Recorder:
    """Adds up counters and gauges; ``flush`` sends them in few packets."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Send through this client; None: keep the figures only."""
        self._client = client
        self._counts: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}

    @property
    def totals(self) -> dict[str, int]:
        """Return all counts since the start."""
        return dict(self._totals + self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """Return the last value of each gauge."""
        return dict(self._gauges)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send what came together since the last time."""
        counts, self._counts = self._counts, collections.Counter()
        self._totals.update(counts)
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, gauge in self._gauges.items():
                pipeline.gauge(name, gauge)
