"""Plots of the lab's figures."""

from __future__ import annotations

import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - after the choice of backend

QUANTILE_LABELS = ("p50", "p99", "p999")


def plot_policies(results: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Plot the latency of lookups for each policy and load."""
    loads = sorted({result["load"] for result in results})
    figure, axes = pyplot.subplots(
        1, len(loads), figsize=(5 * len(loads), 4), squeeze=False, sharey=True
    )
    for axis, share in zip(axes[0], loads, strict=True):
        for result in results:
            if result["load"] != share:
                continue
            values = [
                result["latency_ms"]["lookup"][label]
                for label in QUANTILE_LABELS
            ]
            axis.plot(
                QUANTILE_LABELS, values, marker="o", label=result["policy"]
            )
        axis.set_title(f"{share:.0%} of capacity")
        axis.set_yscale("log")
        axis.set_ylabel("lookup latency, ms")
        axis.grid(visible=True, which="both", alpha=0.3)
    axes[0][0].legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def plot_data_centre_move(series: dict[str, Any], path: pathlib.Path) -> None:
    """Plot latency and failures by second of a data-centre move."""
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    top.plot(series["second"], series["p99_ms"], marker=".")
    top.set_ylabel("p99 of lookups, ms")
    bottom.bar(series["second"], series["failed"])
    bottom.set_ylabel("failed calls")
    bottom.set_ylim(0, max(1, *series["failed"]) * 1.1)
    bottom.set_xlabel("second")
    for name, mark_s in series.get("marks", {}).items():
        for axis in (top, bottom):
            axis.axvline(mark_s, color="tab:red", linestyle="--")
        top.annotate(name, (mark_s, top.get_ylim()[1]), fontsize="small")
    for axis in (top, bottom):
        axis.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
