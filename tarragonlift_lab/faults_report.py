"""The table of what held in the fault matrix."""

from __future__ import annotations

from collections import abc
from typing import Any

import attrs

from tarragonlift_lab import faults
from tarragonlift_lab import promises


@attrs.frozen
class Failure:
    """A plan that broke a promise, and its smallest part that does."""

    plan: faults.Plan
    smallest: faults.Plan
    broken: promises.Broken


@attrs.define
class Report:
    """The results of many plans."""

    runs: int = 0
    held: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(promises.PROMISES, 0)
    )
    failures: list[Failure] = attrs.field(factory=list)

    def to_document(self) -> dict[str, Any]:
        """Return the report as plain data."""
        return {
            "runs": self.runs,
            "held": self.held,
            "failures": [
                {
                    "plan": one.plan.describe(),
                    "smallest": one.smallest.describe(),
                    "promise": one.broken.promise,
                    "seen": one.broken.seen,
                }
                for one in self.failures
            ],
        }


def run(plans: abc.Iterable[faults.Plan]) -> Report:
    """Run all plans."""
    report = Report()
    for plan in plans:
        report.runs += 1
        broken = {one.promise: one for one in faults.run_plan(plan)}
        for promise in promises.PROMISES:
            if promise not in broken:
                report.held[promise] += 1
                continue
            smallest = faults.shrink(plan, promise)
            report.failures.append(Failure(plan, smallest, broken[promise]))
    return report


def describe(report: Report) -> str:
    """Return the report as a table with its failures."""
    lines = ["| promise | held in |", "|---|---|"]
    for promise, count in report.held.items():
        lines.append(f"| {promise} | {count} of {report.runs} |")
    for one in report.failures:
        lines.append(
            f"{one.broken.promise}: {one.smallest.describe()}: "
            f"{one.broken.seen}"
        )
    return "\n".join(lines)
