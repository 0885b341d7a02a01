"""Records metrics in memory and sends them to statsd periodically."""

from __future__ import annotations

import bisect
import collections
from collections import abc

import attrs
import statsd

# Upper bounds of the histogram buckets in seconds, by factors of about two.
BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0, 10.0
)  # fmt: skip


class Histogram:
    """Counts values per bucket."""

    def __init__(self) -> None:
        """Initialize an empty histogram."""
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count one value in its bucket."""
        self.counts[bisect.bisect_left(BUCKETS_S, value)] += 1
        self.total += value


@attrs.frozen
class LabelledGauge:
    """A gauge with a value for each value of one label."""

    label: str
    values: dict[str, float]


class Recorder:
    """Collects metrics; ``flush`` sends counters and gauges in few packets."""

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Initialize the recorder; without a client nothing is sent."""
        self._client = client
        self._counts: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._labelled_gauges: dict[str, LabelledGauge] = {}
        self._histograms: dict[str, Histogram] = {}

    @property
    def histograms(self) -> dict[str, Histogram]:
        """Return the histograms by name."""
        return dict(self._histograms)

    @property
    def totals(self) -> dict[str, int]:
        """Return the counter totals since the start."""
        return dict(self._totals + self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """Return the last value of each gauge."""
        return dict(self._gauges)

    @property
    def labelled_gauges(self) -> dict[str, LabelledGauge]:
        """Return the gauges that have a value for each value of a label."""
        return dict(self._labelled_gauges)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def observe(self, name: str, value: float) -> None:
        """Add a value to a histogram."""
        self._histograms.setdefault(name, Histogram()).add(value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def label_gauge(
        self, name: str, label: str, values: abc.Mapping[str, float]
    ) -> None:
        """Set a gauge for each value of a label, and drop all others."""
        self._labelled_gauges[name] = LabelledGauge(label, dict(values))

    def flush(self) -> None:
        """Send the gauges and the counts since the last flush."""
        counts, self._counts = self._counts, collections.Counter()
        self._totals.update(counts)
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, value in counts.items():
                pipeline.incr(name, value)
            for name, gauge in self._gauges.items():
                pipeline.gauge(name, gauge)
            for name, labelled in self._labelled_gauges.items():
                for key, gauge in labelled.values.items():
                    pipeline.gauge(f"{name}.{key}", gauge)
