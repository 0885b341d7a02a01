"""Metrics in the Prometheus text format."""

from __future__ import annotations

import itertools
import re

from tarragonlift.components.metrics import recorder

PREFIX = "tarragonlift_"
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})
_INVALID_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")


def render(metrics: recorder.Recorder) -> bytes:
    """Return all counters, gauges and histograms as text."""
    lines: list[str] = []
    for name, count in sorted(metrics.totals.items()):
        lines.append(f"{_format_name(name)}_total {count}")
    for name, gauge in sorted(metrics.gauges.items()):
        lines.append(f"{_format_name(name)} {gauge}")
    for name, labelled in sorted(metrics.labelled_gauges.items()):
        lines += _render_labelled_gauge(_format_name(name), labelled)
    for name, histogram in sorted(metrics.histograms.items()):
        lines += _render_histogram(_format_name(name), histogram)
    return ("\n".join(lines) + "\n").encode()


def _render_labelled_gauge(
    name: str, gauge: recorder.LabelledGauge
) -> list[str]:
    """Return a line for each value of the label."""
    return [
        f'{name}{{{gauge.label}="{key.translate(_LABEL_ESCAPES)}"}} {value}'
        for key, value in sorted(gauge.values.items())
    ]


def _render_histogram(name: str, histogram: recorder.Histogram) -> list[str]:
    """Return the lines of a histogram, with cumulative buckets."""
    bounds = [str(bound) for bound in recorder.BUCKETS_S] + ["+Inf"]
    cumulative = list(itertools.accumulate(histogram.counts))
    lines = [
        f'{name}_bucket{{le="{bound}"}} {count}'
        for bound, count in zip(bounds, cumulative)
    ]
    lines.append(f"{name}_sum {histogram.total}")
    lines.append(f"{name}_count {cumulative[-1]}")
    return lines


def _format_name(name: str) -> str:
    """Return the prefixed name, with invalid characters replaced."""
    return PREFIX + _INVALID_CHARACTERS.sub("_", name)
