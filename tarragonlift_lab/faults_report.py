"""Report of the promises that held in the fault matrix."""

from __future__ import annotations

from collections import abc
from typing import Any

import attrs

from tarragonlift_lab import faults
from tarragonlift_lab import promises


@attrs.frozen
class Failure:
    """Plan that violated a promise, with its smallest part that does."""

    plan: faults.Plan
    smallest_plan: faults.Plan
    violation: promises.Violation


@attrs.define
class Report:
    """Results of the plans that were run."""

    runs: int = 0
    held_counts: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys(promises.PROMISES, 0)
    )
    failures: list[Failure] = attrs.field(factory=list)

    def to_document(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        return {
            "runs": self.runs,
            "held": self.held_counts,
            "failures": [
                {
                    "plan": failure.plan.describe(),
                    "smallest": failure.smallest_plan.describe(),
                    "promise": failure.violation.promise,
                    "seen": failure.violation.details,
                }
                for failure in self.failures
            ],
        }


def run(plans: abc.Iterable[faults.Plan]) -> Report:
    """Run the plans and shrink those that violate a promise."""
    report = Report()
    for plan in plans:
        report.runs += 1
        violations = {
            violation.promise: violation for violation in faults.run_plan(plan)
        }
        for promise in promises.PROMISES:
            if promise not in violations:
                report.held_counts[promise] += 1
                continue
            smallest_plan = faults.shrink_plan(plan, promise)
            report.failures.append(
                Failure(plan, smallest_plan, violations[promise])
            )
    return report


def describe(report: Report) -> str:
    """Return the report as a Markdown table followed by the failures."""
    lines = ["| promise | held in |", "|---|---|"]
    for promise, count in report.held_counts.items():
        lines.append(f"| {promise} | {count} of {report.runs} |")
    for failure in report.failures:
        lines.append(
            f"{failure.violation.promise}: "
            f"{failure.smallest_plan.describe()}: {failure.violation.details}"
        )
    return "\n".join(lines)
