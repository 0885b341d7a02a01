"""Metrics as text, in the format of Prometheus."""

from __future__ import annotations

import itertools
import re

from tarragonlift.components.metrics import recorder

PREFIX = "tarragonlift_"
_NOT_ALLOWED = re.compile(r"[^a-zA-Z0-9_]")


def render(metrics: recorder.Recorder) -> bytes:
    """Return all counters, gauges and histograms."""
    lines: list[str] = []
    for name, count in sorted(metrics.totals.items()):
        lines.append(f"{_clean(name)}_total {count}")
    for name, gauge in sorted(metrics.gauges.items()):
        lines.append(f"{_clean(name)} {gauge}")
    for name, histogram in sorted(metrics.histograms.items()):
        lines += _histogram(_clean(name), histogram)
    return ("\n".join(lines) + "\n").encode()


def _histogram(name: str, histogram: recorder.Histogram) -> list[str]:
    """Return the lines of a histogram; its buckets add up."""
    bounds = [str(bound) for bound in recorder.BUCKETS_S] + ["+Inf"]
    sums = list(itertools.accumulate(histogram.counts))
    lines = [
        f'{name}_bucket{{le="{bound}"}} {count}'
        for bound, count in zip(bounds, sums)
    ]
    lines.append(f"{name}_sum {histogram.total}")
    lines.append(f"{name}_count {sums[-1]}")
    return lines


def _clean(name: str) -> str:
    """Return the name with the prefix, in allowed characters only."""
    return PREFIX + _NOT_ALLOWED.sub("_", name)
